"""Tests of the gate with a manual clock."""

import threading

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import tickets
from cyclamenwell.admission.tests import builders
from cyclamenwell.generated import enumerations
from cyclamenwell.node import cancellation as cancellations

_Kind = enumerations.ErrorKind
_Importance = enumerations.Importance
_Result = tickets.Result
_ANSWER = tickets.Observation(_Result.ANSWERED, clock.Milliseconds(100))


def join_expecting_refusal(gate, kind, **values):
    with pytest.raises(exceptions.RefusedError) as caught:
        gate.join(builders.build_ticket(**values))
    assert caught.value.kind is kind
    return caught.value


def test_deadline_that_can_not_be_met_is_refused():
    """Guards against running requests that would miss their deadline."""
    time = clock.ManualClock(clock.Milliseconds(1000))
    gate = builders.build_gate(time, cold_limit=1, max_in_progress=1)
    late = clock.Milliseconds(1000)
    join_expecting_refusal(gate, _Kind.DEADLINE_PASSED, deadline=late)
    for _ in range(40):
        gate.leave(gate.join(builders.build_ticket()).admission, _ANSWER)
    first = gate.join(builders.build_ticket())
    soon = clock.Milliseconds(1020)
    join_expecting_refusal(gate, _Kind.OVERLOADED, deadline=soon)
    gate.leave(first.admission, _ANSWER)
    # An idle target always gets a request, as only that shows its recovery.
    assert gate.join(builders.build_ticket(deadline=soon)).settled


def test_full_queue_refuses_and_evicts():
    """Guards against an unbounded queue and shedding critical requests."""
    gate = builders.build_gate(clock.ManualClock(), cold_limit=1, max_queued=1)
    gate.join(builders.build_ticket())
    low = gate.join(builders.build_ticket(importance=_Importance.LOW))
    refusal = join_expecting_refusal(
        gate, _Kind.COLD, importance=_Importance.LOW
    )
    assert refusal.retry_after > clock.ZERO
    billing = gate.join(builders.build_ticket(importance=_Importance.CRITICAL))
    assert low.refusal.kind is _Kind.COLD
    assert not billing.settled


def test_standing_queue_shortens_the_wait():
    """Guards against a standing queue in which all requests expire."""
    time = clock.ManualClock()
    gate = builders.build_gate(time, cold_limit=1)
    gate.join(builders.build_ticket())
    assert gate.join(builders.build_ticket()).give_up_at.value == 200
    time.advance(clock.Milliseconds(201))
    assert gate.join(builders.build_ticket()).give_up_at.value == 251


@pytest.mark.parametrize("cancelled_first", [True, False])
def test_cancelled_call_leaves_the_queue_as_not_run(cancelled_first):
    """Guards against a slot for a caller that has gone away."""
    gate = builders.build_gate(
        clock.SystemClock(), 1, max_queue_wait=clock.Milliseconds(60_000)
    )
    gate.join(builders.build_ticket())
    cancellation = cancellations.Cancellation()
    refusals = []

    def enter():
        try:
            gate.enter(builders.build_ticket(), cancellation)
        except exceptions.RefusedError as refusal:
            refusals.append(refusal)

    if cancelled_first:
        cancellation.cancel()
    thread = threading.Thread(target=enter)
    thread.start()
    cancellation.cancel()
    thread.join(20)
    assert [refusal.kind for refusal in refusals] == [_Kind.ABANDONED]
    assert gate.read_load().queued == 0


def test_waiting_thread_is_admitted_when_a_slot_becomes_free():
    """Guards against a lost wake-up."""
    gate = builders.build_gate(
        clock.SystemClock(), 1, max_queue_wait=clock.Milliseconds(60_000)
    )
    held = gate.join(builders.build_ticket())
    admitted = threading.Event()

    def enter():
        gate.enter(builders.build_ticket(), cancellations.Cancellation())
        admitted.set()

    thread = threading.Thread(target=enter)
    thread.start()
    gate.leave(held.admission, _ANSWER)
    assert admitted.wait(20)
    thread.join(20)


def test_new_document_and_health_cap_are_applied():
    """Guards against bounds that only change after a restart."""
    gate = builders.build_gate(clock.ManualClock(), cold_limit=2)
    entries = [gate.join(builders.build_ticket()) for _ in range(4)]
    assert [entry.settled for entry in entries] == [True, True, False, False]
    gate.configure(3, 50)
    assert [entry.settled for entry in entries] == [True, True, True, False]
    gate.cap_limit(1)
    assert gate.read_load().limit == 1
    gate.cap_limit(100)
    assert gate.read_load().limit == 3


_steps = st.one_of(
    st.tuples(
        st.just("join"),
        st.sampled_from(list(_Importance)),
        st.sampled_from(["a", "b", ""]),
    ),
    st.tuples(
        st.just("leave"),
        st.sampled_from(list(_Result)),
        st.floats(0.1, 500),
    ),
    st.tuples(st.just("advance"), st.floats(0, 300)),
    st.tuples(st.just("configure"), st.integers(1, 6), st.integers(1, 20)),
    st.tuples(st.just("give_up")),
)


@settings(deadline=None, derandomize=True, max_examples=200)
@given(st.lists(_steps, max_size=150))
def test_entries_are_settled_once_and_within_the_limit(steps):
    """Guards against lost entries and violations of the limit."""
    time = clock.ManualClock()
    gate = builders.build_gate(time, cold_limit=2, max_queued=5)
    entries, running = [], []
    for name, *values in steps:
        before = gate.read_load()
        if name == "join":
            ticket = builders.build_ticket(
                importance=values[0],
                organisation=values[1],
                deadline=time.now() + clock.Milliseconds(400),
            )
            try:
                entries.append(gate.join(ticket))
            except exceptions.RefusedError:
                continue
        elif name == "leave" and running:
            entry = running.pop(0)
            duration = clock.Milliseconds(values[1])
            gate.leave(
                entry.admission, tickets.Observation(values[0], duration)
            )
        elif name == "advance":
            time.advance(clock.Milliseconds(values[0]))
        elif name == "configure":
            gate.configure(*values)
        elif name == "give_up" and entries:
            gate.give_up(entries[0], "test")
        admitted = [one for one in entries if one.admission is not None]
        running += admitted
        entries = [one for one in entries if not one.settled]
        load = gate.read_load()
        assert load.in_progress == len(running)
        assert load.queued == len(entries) <= 5
        if admitted:
            assert load.in_progress <= load.limit or name == "configure"
        assert load.in_progress <= max(load.limit, before.in_progress)
