"""Tests of a store that returns from an older copy, in a new era."""

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import prefix_replica
from cyclamenwell.configuration import published
from cyclamenwell.configuration.tests import published_builders as builders

REAPPEARANCE = clock.Milliseconds(2000)


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def state(time):
    """Return a state of era 1 at revision 20 with one target."""
    state = published.PublishedState(time, REAPPEARANCE)
    state.apply_targets(
        builders.in_era(
            1, builders.list_all(20, builders.build_target("i-1", 20))
        )
    )
    return state


def list_ids(state):
    """Return the identifiers of the targets in use."""
    return {entry.target_id for entry in state.list_targets("meter")}


def test_changes_of_a_new_era_apply_at_lower_revisions(state, time):
    """Guards against changes that are ignored after the store went back."""
    state.apply_targets(
        builders.in_era(
            2, builders.list_all(12, builders.build_target("i-1", 11))
        )
    )
    time.advance(REAPPEARANCE)
    state.apply_targets(
        builders.in_era(
            2,
            builders.list_after(
                12,
                14,
                builders.build_target("i-2", 13, host="10.0.0.2"),
                builders.build_removal("i-1", 14),
            ),
        )
    )
    assert list_ids(state) == {"i-2"}
    assert (state.targets.era, state.targets.revision) == (2, 14)


def test_a_late_answer_of_an_earlier_era_changes_nothing(state):
    """Guards against a return to what the store held before it went back."""
    state.apply_targets(
        builders.in_era(
            2, builders.list_all(12, builders.build_target("i-1", 11))
        )
    )
    late = builders.list_all(
        30, builders.build_target("i-9", 25, host="10.0.0.9")
    )
    state.apply_targets(builders.in_era(1, late))
    assert list_ids(state) == {"i-1"}


def test_changes_of_a_new_era_without_a_list_leave_a_gap(state):
    """Guards against lost changes at revisions that were given out again."""
    state.apply_targets(
        builders.in_era(
            2,
            builders.list_after(
                20, 22, builders.build_target("i-2", 22, host="10.0.0.2")
            ),
        )
    )
    assert list_ids(state) == {"i-1"}
    assert state.targets.era == 1


def test_a_revision_given_out_again_replaces_the_lost_change(state):
    """Guards against lost content that stays under an equal revision."""
    state.apply_targets(
        builders.in_era(
            2,
            builders.list_all(
                20, builders.build_target("i-1", 20, host="10.0.0.7")
            ),
        )
    )
    assert state.find_target_at("10.0.0.7", 80).target_id == "i-1"
    assert state.find_target_at("10.0.0.1", 80) is None


def test_two_returns_in_a_row_are_followed(state):
    """Guards against a node that follows the first return only."""
    for era, revision in ((2, 12), (3, 8)):
        state.apply_targets(
            builders.in_era(
                era,
                builders.list_all(
                    revision, builders.build_target("i-1", revision)
                ),
            )
        )
        assert (state.targets.era, state.targets.revision) == (era, revision)


def test_the_version_in_force_does_not_go_back(state):
    """Guards against a withdrawn key that is valid while the copy is older."""
    state.apply_operators(
        builders.in_era(
            1, builders.list_all(20, builders.build_configuration(9, 20))
        )
    )
    state.apply_operators(
        builders.in_era(
            2, builders.list_all(12, builders.build_configuration(5, 10))
        )
    )
    assert state.configuration.version == 9
    state.apply_operators(
        builders.in_era(
            2, builders.list_after(12, 13, builders.build_configuration(12, 13))
        )
    )
    assert state.configuration.version == 12


def test_a_fresh_list_replaces_a_stale_one_from_before_the_return(time):
    """Guards against lost changes of a node that starts during a return.

    Its first read shows an item from before the return in the new era, at a
    revision that the store has not reached again.
    """
    state = published.PublishedState(time, REAPPEARANCE)
    state.targets.is_provisional = True
    state.apply_targets(
        builders.in_era(
            2, builders.list_all(20, builders.build_target("i-old", 20))
        )
    )
    fresh = builders.list_all(
        13, builders.build_target("i-new", 13, host="10.0.0.2")
    )
    state.apply_targets(builders.in_era(2, fresh), is_confirmed=True)
    assert list_ids(state) == {"i-new"}
    assert state.targets.revision == 13


def test_nodes_of_a_version_without_eras_are_understood(state):
    """Guards against a fleet that falls apart during a rollout."""
    state.apply_targets(
        builders.list_after(
            20, 22, builders.build_target("i-2", 22, host="10.0.0.2")
        )
    )
    assert list_ids(state) == {"i-1", "i-2"}
    assert state.targets.lacks(None, 23)
    assert state.targets.is_ahead_of(None, 21)
    assert state.targets.list_changes(21).base == 21


def test_lost_changes_are_not_taken_from_nodes_without_eras(state):
    """Guards against an earlier era that returns during a rollout."""
    state.apply_targets(
        builders.in_era(
            2, builders.list_all(12, builders.build_target("i-1", 11))
        )
    )
    state.apply_targets(
        builders.list_all(25, builders.build_target("i-2", 22, host="10.0.0.2"))
    )
    assert list_ids(state) == {"i-1"}
    assert not state.targets.lacks(None, 25)
    assert state.targets.list_changes(11).base == -1


def test_each_era_is_told_once(state):
    """Guards against a change of the era that nobody sees in the logs."""
    changes = []
    state.add_era_listener(changes.append)
    for _ in range(2):
        state.apply_targets(
            builders.in_era(
                2, builders.list_all(12, builders.build_target("i-1", 11))
            )
        )
    assert changes == [published.EraChange(1, 2, 20, 12, 0)]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["put", "remove", "read", "watch", "learn", "back"]
        ),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
    ),
    max_size=40,
)


@hypothesis.given(STEPS)
@hypothesis.settings(max_examples=400, deadline=None)
def test_replicas_agree_with_a_store_that_goes_back(steps):
    """Guards against nodes of one fleet that differ after a return.

    Steps change the store, let it go back some revisions, let a node read or
    watch it, or let a node learn from another one that knows more.
    """
    store = builders.StoreModel()
    nodes = [prefix_replica.PrefixReplica() for _ in range(3)]

    def watch(node):
        if node.revision and node.era == store.era:
            node.apply(store.watch(node.revision), is_confirmed=True)
        else:
            node.apply(store.read(), is_confirmed=True)

    def learn(node, other):
        if other.is_ahead_of(node.era, node.known_revision):
            node.apply(other.list_changes(node.known_revision, node.era))

    for number, (step, first, second) in enumerate(steps):
        if step == "put":
            store.put(f"i-{first}", started_ms=number)
        elif step == "remove":
            store.remove(f"i-{first}")
        elif step == "read":
            nodes[first].apply(store.read(), is_confirmed=True)
        elif step == "watch":
            watch(nodes[first])
        elif step == "learn":
            learn(nodes[first], nodes[second])
        else:
            store.go_back(store.revision - first)
    watch(nodes[0])
    learn(nodes[1], nodes[0])
    learn(nodes[2], nodes[1])
    for node in nodes:
        assert {item.key: item for item in node.items} == store.items
