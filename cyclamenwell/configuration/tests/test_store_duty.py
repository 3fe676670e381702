"""Tests of the choice of the nodes that read the store."""

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import store_duty


def build_fleet(*sizes):
    """Return hosts of data centres with the given sizes."""
    return {
        f"dc-{number}": {f"10.{number}.0.{i}" for i in range(size)}
        for number, size in enumerate(sizes)
    }


@pytest.mark.parametrize(
    ("sizes", "most"),
    [((5, 4, 4, 4), 17), ((18, 17, 17, 17, 17), 20), ((33,) * 6, 18)],
)
def test_readers_do_not_grow_with_the_fleet(sizes, most):
    """Guards against calls to the store that grow with the fleet."""
    fleet = build_fleet(*sizes)
    readers = store_duty.choose_readers(fleet)
    assert 2 * len(sizes) <= len(readers) <= most
    for hosts in fleet.values():
        assert len(readers & hosts) >= 2


def test_the_loss_of_a_host_replaces_only_its_own_duty():
    """Guards against readers that all change with each change of the fleet."""
    fleet = build_fleet(30, 30, 30)
    before = store_duty.choose_readers(fleet)
    lost = next(iter(before))
    after = store_duty.choose_readers(
        {name: hosts - {lost} for name, hosts in fleet.items()}
    )
    assert len(before - after) == 1
    assert len(after - before) == 1


def build_learner(time):
    """Return the duty of a node that is not among the readers."""
    fleet = build_fleet(30, 30)
    readers = store_duty.choose_readers(fleet)
    host = next(iter(fleet["dc-0"] - readers))
    duty = store_duty.StoreDuty(time, host)
    duty.set_fleet(fleet)
    return duty


def test_a_node_without_contact_reads_for_itself():
    """Guards against a node that is cut off from the others only."""
    time = clock.ManualClock()
    duty = build_learner(time)
    assert duty.has_learners
    for _ in range(10):
        time.advance(clock.Milliseconds(1000))
        duty.note_contact(clock.ZERO)
        assert not duty.is_reader
    time.advance(clock.Milliseconds(2000))
    assert duty.is_reader
    duty.note_contact(clock.ZERO)
    assert not duty.is_reader


def test_a_node_reads_for_itself_if_the_readers_do_not_reach_the_store():
    """Guards against a fleet in which nobody notices a change."""
    time = clock.ManualClock()
    duty = build_learner(time)
    for second in range(30):
        time.advance(clock.Milliseconds(1000))
        duty.note_contact(clock.Milliseconds(second * 1000.0))
    assert duty.is_reader
    duty.note_store_answer()
    assert not duty.is_reader
    assert duty.store_age == clock.ZERO


def test_a_node_that_no_other_node_knows_reads_for_itself():
    """Guards against a new node that waits for others to call it."""
    time = clock.ManualClock()
    duty = store_duty.StoreDuty(time, "10.9.9.9")
    assert duty.is_reader
    duty.set_fleet(build_fleet(30, 30))
    duty.note_contact(clock.ZERO)
    assert duty.is_reader
