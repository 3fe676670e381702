"""Tests of priorities and fair queueing."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenwell.admission import queue as queues
from cyclamenwell.admission.tests import builders
from cyclamenwell.generated import enumerations

_Importance = enumerations.Importance


def drain(queue):
    return [queue.pop() for _ in range(len(queue))]


def test_surge_of_one_organisation_does_not_delay_another():
    """Guards against first-in first-out order within one importance."""
    queue = queues.OrderedQueue()
    for number in range(100):
        queue.add(builders.build_entry(number, organisation="surge"))
    for number in range(100, 105):
        queue.add(builders.build_entry(number, organisation="quiet"))
    first = [entry.ticket.organisation for entry in drain(queue)[:10]]
    assert first.count("quiet") == 5


def test_shares_follow_entitled_rates():
    """Guards against equal shares for unequal entitled rates."""
    queue = queues.OrderedQueue()
    for number in range(300):
        name, weight = (("large", 90.0), ("small", 30.0), ("", 0.0))[number % 3]
        queue.add(
            builders.build_entry(number, organisation=name, weight=weight)
        )
    first = [entry.ticket.organisation for entry in drain(queue)[:50]]
    assert 28 <= first.count("large") <= 32
    assert abs(first.count("small") - first.count("")) <= 1


def test_new_request_evicts_newest_of_lowest_importance():
    """Guards against shedding a more important request first."""
    queue = queues.OrderedQueue()
    for number, importance in enumerate(
        (_Importance.LOW, _Importance.LOW, _Importance.NORMAL)
    ):
        queue.add(builders.build_entry(number, importance=importance))
    critical = builders.build_ticket(importance=_Importance.CRITICAL)
    assert queue.evict(critical).number == 1
    low = builders.build_ticket(importance=_Importance.LOW)
    assert queue.evict(low) is None


def test_full_queue_of_one_organisation_makes_room_for_another():
    """Guards against a surge that occupies the whole queue."""
    queue = queues.OrderedQueue()
    for number in range(10):
        queue.add(builders.build_entry(number, organisation="surge"))
    quiet = builders.build_ticket(organisation="quiet")
    assert queue.evict(quiet).number == 9
    surge = builders.build_ticket(organisation="surge")
    assert queue.evict(surge) is None


_entries = st.tuples(
    st.sampled_from(["a", "b", "c", ""]),
    st.floats(0, 1e5),
    st.sampled_from(list(_Importance)),
)


@settings(deadline=None, derandomize=True)
@given(st.lists(st.one_of(_entries, st.sampled_from(["pop", "remove"]))))
def test_no_entry_is_lost_or_served_twice(steps):
    """Guards against inconsistent state when a queue becomes empty."""
    queue = queues.OrderedQueue()
    waiting = []
    for number, step in enumerate(steps):
        if isinstance(step, tuple):
            name, weight, importance = step
            entry = builders.build_entry(
                number,
                organisation=name,
                weight=weight,
                importance=importance,
            )
            queue.add(entry)
            waiting.append(entry)
        elif waiting and step == "pop":
            entry = queue.pop()
            highest = min(one.ticket.importance for one in waiting)
            assert entry.ticket.importance is highest
            waiting.remove(entry)
        elif waiting:
            queue.remove(waiting.pop(number % len(waiting)))
        assert len(queue) == len(waiting)
    assert set(drain(queue)) == set(waiting)
