"""Tests of the slots, the queue and the cold start of a target."""

import pytest

from cyclamenwell import clock
from cyclamenwell.admission import slots
from cyclamenwell.admission.tests import slot_builders as builders

ZERO = clock.ZERO


def test_order_is_nested_calls_then_priority_then_arrival():
    """Guards against refusing nested calls in favour of root requests."""
    scheduler = builders.build_scheduler(1)
    assert scheduler.offer(builders.build_ticket(0), ZERO)[0] is (
        slots.Decision.ADMIT
    )
    late = builders.build_ticket(1, priority=2)
    important = builders.build_ticket(2, priority=0)
    further = builders.build_ticket(3, priority=3, is_nested=True)
    second = builders.build_ticket(4, priority=0)
    for ticket in (late, important, further, second):
        assert scheduler.offer(ticket, ZERO)[0] is slots.Decision.WAIT
    order = []
    for _ in range(4):
        scheduler.release(None)
        order += scheduler.admit_waiting(ZERO)
    assert order == [further, important, second, late]


def test_request_that_would_wait_too_long_is_refused_at_once():
    """Guards against queueing requests that are certain to expire."""
    scheduler = builders.build_scheduler(1)
    scheduler.offer(builders.build_ticket(0), ZERO)
    decision, retry_after = scheduler.offer(
        builders.build_ticket(1, 50.0), ZERO
    )
    assert decision is slots.Decision.REFUSE
    assert retry_after >= clock.Milliseconds(100)


def test_withdrawn_and_expired_requests_take_no_slot():
    """Guards against admitting requests whose callers have left."""
    scheduler = builders.build_scheduler(1)
    scheduler.offer(builders.build_ticket(0), ZERO)
    gone, expired, kept = (
        builders.build_ticket(1),
        builders.build_ticket(2, 400.0),
        builders.build_ticket(3),
    )
    for ticket in (gone, expired, kept):
        scheduler.offer(ticket, ZERO)
    scheduler.withdraw(gone)
    later = clock.Milliseconds(500)
    assert scheduler.drop_expired(later) == [expired]
    scheduler.release(None)
    assert scheduler.admit_waiting(later) == [kept]


def test_cost_of_a_release_does_not_grow_with_the_queue():
    """Guards against a scan of the whole queue at each release.

    The test counts comparisons of expiries; a queue of 500 may need a few more
    than a short one.
    """
    counted = {length: count_comparisons(length) for length in (10, 500)}
    assert counted[500] <= 3 * counted[10] + 10


def count_comparisons(length):
    """Return the number of time comparisons for one release."""
    compared = []

    class Counted(clock.Milliseconds):
        def __lt__(self, other):
            compared.append(other)
            return self.value < other.value

        def __le__(self, other):
            compared.append(other)
            return self.value <= other.value

    scheduler = builders.build_scheduler(1)
    scheduler.offer(builders.build_ticket(0), ZERO)
    for number in range(1, length + 1):
        ticket = slots.Ticket((0, 0), number, Counted(1_000_000.0))
        assert scheduler.offer(ticket, ZERO)[0] is slots.Decision.WAIT
    compared.clear()
    scheduler.release(None)
    scheduler.drop_expired(ZERO)
    scheduler.admit_waiting(ZERO)
    scheduler.find_next_event(ZERO)
    return len(compared)


def test_running_requests_never_exceed_the_limit():
    """Guards against sending a target more requests than its slots."""
    scheduler = builders.build_scheduler()
    for number in range(100):
        scheduler.offer(builders.build_ticket(number), ZERO)
        scheduler.admit_waiting(ZERO)
    assert scheduler.running == scheduler.limit <= builders.SLOTS


@pytest.mark.parametrize("rate", [5.0, 25.0, 100.0])
@pytest.mark.parametrize(("excess", "slack"), [(1.5, 5.0), (1.1, 1.0)])
def test_cold_target_gets_no_more_than_it_sustains(rate, excess, slack):
    """Guards against overload of a target right after its start."""
    scheduler = slots.SlotScheduler(slots.ColdStartLimiter(excess, slack))
    scheduler.set_slots(1000)
    scheduler.begin_cold(ZERO, clock.Milliseconds(60_000), rate)
    starts = []
    for step in range(10_000):
        now = clock.Milliseconds(step)
        scheduler.offer(builders.build_ticket(step, step + 100.0), now)
        starts += [now.value] * len(scheduler.admit_waiting(now))
        running = scheduler.running
        starts += [now.value] * (running - (len(starts)))
        scheduler.drop_expired(now)
    bound = rate * excess + slack
    for index, start in enumerate(starts):
        in_window = [s for s in starts[index:] if s < start + 1000.0]
        assert len(in_window) <= bound
    # The rate must not be far below what the target sustains either.
    assert len(starts) >= rate * 9


def test_important_requests_are_served_during_an_overload():
    """Guards against shedding regardless of priority.

    The load is three times the capacity of the target, and a quarter of it is
    important. First-in first-out order would serve a third of each priority.
    """
    capacity = builders.SLOTS / builders.SERVICE_TIME.seconds
    outcome = builders.simulate_load(
        7,
        {0: capacity * 0.75, 2: capacity * 2.25},
        clock.Milliseconds(300),
        20.0,
    )
    assert outcome.served[0] >= 0.99 * outcome.offered[0]
    assert outcome.served[2] >= 0.05 * outcome.offered[2]
    total = sum(outcome.served.values())
    assert total >= 0.9 * capacity * 0.95 * 20.0
    assert outcome.longest_refusal <= clock.Milliseconds(400)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lowest_rank_does_not_starve_during_an_overload(seed):
    """Guards against starvation of less important requests.

    Important requests need 1.4 times the capacity of the target, the others a
    thirtieth of it. Strict priority order would serve none of the others during
    the overload, and only one in thirty more of the important ones.
    """
    rates = {0: 266.0, 2: 6.0}
    outcome = builders.simulate_load(
        seed, rates, clock.Milliseconds(300), seconds=20.0
    )
    assert outcome.served[2] >= 0.8 * outcome.offered[2]
    capacity = 0.95 * builders.SLOTS / builders.SERVICE_TIME.seconds * 20.0
    assert sum(outcome.served.values()) >= 0.95 * capacity
    assert outcome.served[0] >= 0.9 * capacity


def test_lowest_rank_gets_only_its_reserved_admissions():
    """Guards against priority inversion beyond the reserved admissions."""
    scheduler = builders.build_scheduler(1)
    scheduler.offer(builders.build_ticket(0), ZERO)
    for number in range(1, 101):
        scheduler.offer(builders.build_ticket(number, 1e9, priority=0), ZERO)
    for number in range(101, 201):
        scheduler.offer(builders.build_ticket(number, 1e9, priority=2), ZERO)
    admitted = []
    for _ in range(96):
        scheduler.release(builders.SERVICE_TIME)
        admitted += scheduler.admit_waiting(ZERO)
    lower = [ticket.number for ticket in admitted if ticket.rank[1] == 2]
    assert lower == [101, 102, 103, 104, 105, 106]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nested_calls_take_no_admissions_of_a_cold_target_from_roots(seed):
    """Guards against a recovery in which next to nothing is finished.

    After a loss of power, nested calls at ten times the rate that a cold target
    sustains took all of its admissions, and most of their callers failed. A
    root request that arrives 26 ms or more after the last one needs one token,
    which comes within its wait: exp(-20 * 0.026) = 0.59 of them.
    """
    assert builders.simulate_cold_target(seed, 20.0, 0.0, 20.0) >= 0.9
    assert builders.simulate_cold_target(seed, 20.0, 400.0, 20.0) >= 0.59
