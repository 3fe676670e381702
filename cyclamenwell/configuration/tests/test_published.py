"""Tests of merging published items from the store and from other nodes."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import prefix_replica
from cyclamenwell.configuration import published
from cyclamenwell.configuration.tests import published_builders as builders
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

REAPPEARANCE = clock.Milliseconds(2000)


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def state(time):
    return published.PublishedState(time, REAPPEARANCE)


def test_an_older_configuration_never_comes_back(state):
    """Guards against a node that reverts to a replaced configuration."""
    state.apply_operators(
        builders.list_all(10, builders.build_configuration(7, 10))
    )
    state.apply_operators(
        builders.list_all(9, builders.build_configuration(6, 9))
    )
    assert state.configuration.version == 7
    state.apply_operators(
        builders.list_after(10, 12, builders.build_configuration(5, 12))
    )
    assert state.configuration.version == 7


def test_changes_that_leave_a_gap_are_not_applied(state):
    """Guards against a list that appears complete but lacks items."""
    state.apply_targets(builders.list_all(10, builders.build_target("i-1", 4)))
    state.apply_targets(
        builders.list_after(12, 20, builders.build_target("i-2", 15))
    )
    assert set(state.entries) == {"i-1"}
    assert state.targets.revision == 10


def test_changes_after_a_list_with_a_newer_page_are_applied(state, time):
    """Guards against a node that refuses all later changes as a gap.

    A list is complete up to the revision of its first page; items of later
    pages may be newer.
    """
    state.apply_targets(
        builders.list_all(
            5, builders.build_target("i-1", 3), builders.build_target("i-2", 8)
        )
    )
    peer = published.PublishedState(time, REAPPEARANCE)
    peer.apply_targets(builders.list_all(4, builders.build_target("i-1", 3)))
    peer.apply_targets(
        builders.list_after(
            4,
            9,
            builders.build_target("i-3", 7),
            builders.build_target("i-2", 8),
        )
    )
    peer.apply_targets(
        builders.list_after(9, 10, builders.build_removal("i-2", 10))
    )
    changes = peer.targets.list_changes(state.targets.known_revision)
    state.apply_targets(changes)
    assert set(state.entries) == {"i-1", "i-3"}


def test_a_removed_target_does_not_come_back_from_an_older_list(state):
    """Guards against requests to a target that a stale peer still lists."""
    state.apply_targets(builders.list_all(10, builders.build_target("i-1", 4)))
    state.apply_targets(
        builders.list_after(10, 14, builders.build_removal("i-1", 14))
    )
    assert state.list_targets("meter") == ()
    state.apply_targets(
        builders.list_after(9, 14, builders.build_target("i-1", 4))
    )
    assert state.list_targets("meter") == ()


def test_a_whole_list_removes_what_it_does_not_hold(state):
    """Guards against targets that stay for ever after history was lost."""
    state.apply_targets(
        builders.list_all(
            10, builders.build_target("i-1", 4), builders.build_target("i-2", 5)
        )
    )
    state.apply_targets(builders.list_all(20, builders.build_target("i-2", 5)))
    assert set(state.entries) == {"i-2"}


def test_a_target_that_expired_in_an_outage_has_time_to_return(state, time):
    """Guards against refusing everything after an outage of the store.

    Entries expire during the outage, so the store is empty when it is available
    again, although the targets are alive.
    """
    state.apply_targets(builders.list_all(10, builders.build_target("i-1", 4)))
    state.note_outage_end()
    state.apply_targets(
        builders.list_after(10, 14, builders.build_removal("i-1", 14))
    )
    assert [e.target_id for e in state.list_targets("meter")] == ["i-1"]
    time.advance(REAPPEARANCE)
    assert state.list_targets("meter") == ()


def test_a_target_that_left_on_purpose_does_not_stay_after_an_outage(state):
    """Guards against requests to a target that drained and then stopped."""
    state.apply_targets(builders.list_all(10, builders.build_target("i-1", 4)))
    state.note_outage_end()
    state.apply_targets(
        builders.list_after(
            10,
            14,
            builders.build_target(
                "i-1", 12, state=enumerations.InstanceState.LEAVING
            ),
            builders.build_removal("i-1", 14),
        )
    )
    assert state.list_targets("meter") == ()


def test_a_second_outage_begins_no_grace_time_anew(state, time):
    """Guards against a target that has gone and is used while outages come.

    Only entries that are missing since the second outage get its grace time.
    """
    state.apply_targets(
        builders.list_all(
            10,
            builders.build_target("i-1", 4),
            builders.build_target("i-2", 5, host="10.0.0.2"),
        )
    )
    state.note_outage_end()
    state.apply_targets(
        builders.list_after(10, 14, builders.build_removal("i-1", 14))
    )
    time.advance(REAPPEARANCE * 0.75)
    state.note_outage_end()
    state.apply_targets(
        builders.list_after(14, 16, builders.build_removal("i-2", 16))
    )
    time.advance(REAPPEARANCE * 0.5)
    assert [e.target_id for e in state.list_targets("meter")] == ["i-2"]
    time.advance(REAPPEARANCE * 0.5)
    assert state.list_targets("meter") == ()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_end_of_an_outage_does_not_move_while_nodes_talk(time, seed):
    """Guards against targets that are used long after they have gone.

    200 nodes tell each other some hundred times a second how long ago the
    store has returned; each message takes up to 40 ms. Entries that are
    removed after the return may stay in use for the grace period only.
    """
    generator = random.Random(seed)
    states = [published.PublishedState(time, REAPPEARANCE) for _ in range(200)]
    states[0].note_outage_end()
    messages = []
    while any(state.since_outage is not None for state in states):
        sender, receiver = generator.sample(states, 2)
        if (age := sender.since_outage) is not None:
            arrives_at = time.now() + clock.Milliseconds(
                generator.uniform(1.0, 40.0)
            )
            messages.append((arrives_at, receiver, age))
        time.advance(clock.Milliseconds(0.5))
        for message in [m for m in messages if m[0] <= time.now()]:
            messages.remove(message)
            message[1].note_outage_end(message[2])
        assert time.now() < REAPPEARANCE + clock.Milliseconds(600)


def test_a_removal_without_an_outage_applies_at_once(state):
    """Guards against requests to a target that has stopped."""
    state.apply_targets(builders.list_all(10, builders.build_target("i-1", 4)))
    state.apply_targets(
        builders.list_after(10, 14, builders.build_removal("i-1", 14))
    )
    assert state.list_targets("meter") == ()


def test_a_target_whose_address_is_reused_gets_nothing(state):
    """Guards against offers to dead targets whose addresses are reused.

    After a loss of power, the entries of the earlier targets stay until they
    expire, beside those of the new targets at the same addresses.
    """
    state.apply_targets(
        builders.list_all(
            10,
            builders.build_target("i-1", 4, started_ms=1000),
            builders.build_target("i-2", 5, started_ms=2000),
            builders.build_target("i-3", 6, host="10.0.0.2", started_ms=500),
            builders.build_target(
                "i-4", 7, host="10.0.0.2", service="billing", started_ms=3000
            ),
        )
    )
    assert [e.target_id for e in state.list_targets("meter")] == ["i-2"]
    assert [e.target_id for e in state.list_targets("billing")] == ["i-4"]


def test_the_latest_entry_of_an_address_counts(state):
    """Guards against mistaking a restarted target for its predecessor."""
    state.apply_targets(
        builders.list_all(
            10,
            builders.build_target("i-new", 9, started_ms=2000),
            builders.build_target("i-old", 4, started_ms=1000),
        )
    )
    assert state.find_target_at("10.0.0.1", 80).target_id == "i-new"


def test_a_target_whose_clock_was_set_back_replaces_its_predecessor(state):
    """Guards against a dead target that hides its successor at an address."""
    state.apply_targets(
        builders.list_all(
            10, builders.build_target("i-old", 4, started_ms=2000)
        )
    )
    state.apply_targets(
        builders.list_after(
            10, 12, builders.build_target("i-new", 12, started_ms=1000)
        )
    )
    assert state.find_target_at("10.0.0.1", 80).target_id == "i-new"
    assert [e.target_id for e in state.list_targets("meter")] == ["i-new"]


def test_data_centres_are_taken_out_and_restored(state):
    """Guards against a data centre that stays out after its item is removed."""
    out = deployment.PublishedItem("op/evacuate/a", 5, data_centre_out="a")
    state.apply_operators(builders.list_all(5, out))
    assert state.data_centres_out == {"a"}
    back = deployment.PublishedItem("op/evacuate/a", 8, removed=True)
    state.apply_operators(builders.list_after(5, 8, back))
    assert state.data_centres_out == frozenset()


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "remove", "read", "watch", "learn"]),
        strategies.sampled_from(["i-1", "i-2", "i-3"]),
        strategies.integers(0, 1),
    ),
    max_size=30,
)


@hypothesis.given(STEPS)
@hypothesis.settings(max_examples=300, deadline=None)
def test_replicas_that_exchange_changes_agree_with_the_store(steps):
    """Guards against items that are lost or restored by merging.

    Each step changes the store, lets a node read or watch it, or lets a node
    learn from the other node. At the end, one node watches the store and the
    other learns from it.
    """
    store = builders.StoreModel()
    nodes = [prefix_replica.PrefixReplica(), prefix_replica.PrefixReplica()]

    def read(node):
        node.apply(store.read())

    def watch(node):
        if node.revision:
            node.apply(store.watch(node.revision))
        else:
            read(node)

    def learn(node, other):
        if other.change_revision > node.change_revision:
            node.apply(other.list_changes(node.change_revision))

    for step, target_id, index in steps:
        if step == "put":
            store.put(target_id)
        elif step == "remove":
            store.remove(target_id)
        elif step == "read":
            read(nodes[index])
        elif step == "watch":
            watch(nodes[index])
        else:
            learn(nodes[index], nodes[1 - index])
    watch(nodes[0])
    learn(nodes[1], nodes[0])
    for node in nodes:
        assert {i.key: i.revision for i in node.items} == store.revisions
