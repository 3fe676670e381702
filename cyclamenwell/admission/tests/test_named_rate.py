"""Tests of the rate limit that a target names in its answers."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.admission import named_rate
from cyclamenwell.admission.tests import slot_builders as builders

ZERO = clock.ZERO
# A target may get 1.5 times what it names in 4 s, and 5 requests.
WINDOW = clock.Milliseconds(4000)
EXCESS = 1.5
SLACK = 5
MAX_WAIT = 300.0


def simulate_offers(scheduler, offers_per_second, duration, act=None):
    """Return the times in ms at which requests of a steady stream start."""
    starts = []
    gap = 1000.0 / offers_per_second
    next_offer = 0.0
    number = 0
    for step in range(int(duration.value)):
        now = clock.Milliseconds(float(step))
        if act is not None:
            act(now)
        running = scheduler.running
        scheduler.drop_expired(now)
        while next_offer <= step:
            ticket = builders.build_ticket(number, step + MAX_WAIT)
            scheduler.offer(ticket, now)
            next_offer += gap
            number += 1
        scheduler.admit_waiting(now)
        started = scheduler.running - running
        starts += [now.value] * started
        for _ in range(started):
            scheduler.release(clock.Milliseconds(50))
    return starts


def count_most(starts, begin=0.0):
    """Return the most starts in any window after a time."""
    starts = [start for start in starts if start >= begin]
    return max(
        (
            sum(first <= start < first + WINDOW.value for start in starts)
            for first in starts
        ),
        default=0,
    )


@pytest.mark.parametrize("rate", [1.0, 7.5, 30.0, 200.0])
def test_a_target_gets_what_it_names_and_no_more(rate):
    """Guards against overload of a target that has named its limit."""
    scheduler = builders.build_scheduler(1000)
    scheduler.named_rate.note_answer(rate, ZERO)
    duration = clock.Milliseconds(12_000)
    starts = simulate_offers(scheduler, 500.0, duration)
    assert count_most(starts) <= rate * WINDOW.seconds * EXCESS + SLACK
    assert len(starts) >= 0.9 * rate * duration.seconds


def test_a_lower_limit_holds_soon_after_a_higher_one():
    """Guards against tokens of an earlier, higher limit."""
    scheduler = builders.build_scheduler(1000)

    def name_limit(now):
        rate = 200.0 if now.value < 3000 else 10.0
        scheduler.named_rate.note_answer(rate, now)

    starts = simulate_offers(
        scheduler, 500.0, clock.Milliseconds(9000), name_limit
    )
    assert count_most(starts, 3000.0) <= 10.0 * WINDOW.seconds * EXCESS + SLACK


def test_a_cold_target_that_names_a_limit_gets_the_lower_of_both_rates():
    """Guards against one bound that hides the other."""
    for named, cold in ((5.0, 50.0), (50.0, 5.0)):
        scheduler = builders.build_scheduler(1000)
        scheduler.begin_cold(ZERO, clock.Milliseconds(60_000), cold)
        scheduler.named_rate.note_answer(named, ZERO)
        starts = simulate_offers(scheduler, 200.0, clock.Milliseconds(8000))
        assert count_most(starts) <= 5.0 * WINDOW.seconds * EXCESS + SLACK
        assert len(starts) >= 35


def test_a_target_that_takes_nothing_is_asked_again_and_used_again():
    """Guards against a target that is never used again after a limit of 0."""
    scheduler = builders.build_scheduler(1000)
    scheduler.named_rate.note_answer(0.0, ZERO)
    starts = simulate_offers(scheduler, 100.0, clock.Milliseconds(20_000))
    assert 1 <= count_most(starts) <= SLACK
    end = clock.Milliseconds(20_000)
    scheduler.named_rate.note_answer(None, end)
    assert not scheduler.named_rate.is_active


def test_answers_that_do_not_name_a_limit_end_it_only_after_a_time():
    """Guards against a limit that counts for every other request only."""
    limiter = named_rate.NamedRateLimiter()
    generator = random.Random(3)
    for step in range(200):
        now = clock.Milliseconds(step * 100.0)
        is_named = generator.random() < 0.5
        limiter.note_answer(20.0 if is_named else None, now)
        assert limiter.is_active or step < 10
    limiter.note_answer(20.0, now)
    assert not limiter.note_answer(None, now + clock.Milliseconds(900))
    assert limiter.note_answer(None, now + clock.Milliseconds(1100))
    assert not limiter.is_active


def test_waiting_requests_are_told_when_the_rate_has_room():
    """Guards against a Retry-After at which the target is still limited."""
    scheduler = builders.build_scheduler(1000)
    scheduler.named_rate.note_answer(2.0, ZERO)
    decision, retry_after = scheduler.offer(
        builders.build_ticket(1, expiry=100.0), ZERO
    )
    assert decision.name == "REFUSE"
    assert 450.0 <= retry_after.value <= 550.0
    assert scheduler.find_pace_wait(ZERO).value == pytest.approx(501.0)
