"""Tests of what stays in force when the store returns from an older copy."""

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import published
from cyclamenwell.configuration.tests import published_builders as builders
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

REAPPEARANCE = clock.Milliseconds(2000)
REWRITE_TIME = clock.Milliseconds(10_000)
LEAVING = enumerations.InstanceState.LEAVING


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def state(time):
    return build_state(time)


def build_state(time):
    """Return a state that knows a configuration of era 1."""
    state = published.PublishedState(time, REAPPEARANCE)
    apply_operators(state, 1, 20, builders.build_configuration(9, 18))
    return state


def apply_targets(state, era, revision, *items):
    """Let the store confirm a list of targets."""
    changes = builders.in_era(era, builders.list_all(revision, *items))
    state.apply_targets(changes, is_confirmed=True)


def apply_operators(state, era, revision, *items):
    """Let the store confirm a list of operators' items."""
    changes = builders.in_era(era, builders.list_all(revision, *items))
    state.apply_operators(changes, is_confirmed=True)


def list_ids(state):
    """Return the identifiers of the targets that get requests."""
    return {
        entry.target_id
        for entry in state.list_targets("meter")
        if entry.state is not LEAVING
    }


def test_a_target_that_has_left_is_not_used_again(state, time):
    """Guards against requests to a target that a copy still lists."""
    apply_targets(state, 1, 10, builders.build_target("i-1", 5))
    apply_targets(state, 1, 20)
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))
    assert list_ids(state) == set()
    # An entry that has not lapsed by then belongs to a living target.
    time.advance(REWRITE_TIME)
    assert list_ids(state) == {"i-1"}


@pytest.mark.parametrize("changes", [{"started_ms": 2000}, {"sequence": 9}])
def test_a_target_that_has_come_back_is_used(state, changes):
    """Guards against a living target that is taken for one that has left."""
    apply_targets(state, 1, 10, builders.build_target("i-1", 5))
    apply_targets(state, 1, 20)
    apply_targets(state, 2, 12, builders.build_target("i-1", 12, **changes))
    assert list_ids(state) == {"i-1"}


def test_a_target_that_registers_after_the_return_is_used(state):
    """Guards against a hold that outlasts the next report of the target."""
    apply_targets(state, 1, 10, builders.build_target("i-1", 5))
    apply_targets(state, 1, 20)
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))
    apply_targets(state, 2, 13, builders.build_target("i-1", 13))
    assert list_ids(state) == {"i-1"}


def test_a_leaving_target_does_not_serve_again(state, time):
    """Guards against requests to a target that has begun to leave."""
    apply_targets(state, 1, 20, builders.build_target("i-1", 15, state=LEAVING))
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))
    assert list_ids(state) == set()
    time.advance(REAPPEARANCE)
    assert list_ids(state) == set()


def test_an_earlier_start_does_not_replace_a_later_one(state):
    """Guards against requests for a process that has been replaced."""
    apply_targets(
        state, 1, 20, builders.build_target("i-1", 15, started_ms=2000)
    )
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))
    (entry,) = state.list_targets("meter")
    assert entry.started_ms == 2000


def test_a_target_that_the_copy_lacks_has_time_to_register(state, time):
    """Guards against targets that are lost with what the store has lost."""
    apply_targets(state, 1, 20, builders.build_target("i-1", 15))
    apply_targets(state, 2, 12)
    time.advance(REAPPEARANCE * 0.9)
    assert list_ids(state) == {"i-1"}
    time.advance(REAPPEARANCE * 0.1)
    assert list_ids(state) == set()


def test_a_data_centre_stays_out_until_it_is_written_again(state, time):
    """Guards against requests into a data centre that was taken out."""
    apply_operators(state, 1, 22, builders.build_evacuation("a", 22))
    apply_operators(state, 2, 12, builders.build_configuration(5, 8))
    assert state.data_centres_out == {"a"}
    time.advance(REAPPEARANCE)
    state.expire_held()
    assert state.data_centres_out == {"a"}
    apply_operators(state, 2, 14, builders.build_evacuation("a", 14))
    apply_operators(state, 2, 16)
    assert state.data_centres_out == frozenset()


def test_a_data_centre_that_is_not_written_again_comes_back(state, time):
    """Guards against a data centre that stays out for good."""
    apply_operators(state, 1, 22, builders.build_evacuation("a", 22))
    apply_operators(state, 2, 12)
    time.advance(REWRITE_TIME)
    state.expire_held()
    assert state.data_centres_out == frozenset()


def test_a_data_centre_that_is_back_is_not_taken_out_again(state, time):
    """Guards against the loss of a data centre that a copy shows as out."""
    apply_operators(state, 1, 22, builders.build_evacuation("a", 21))
    apply_operators(state, 1, 24)
    apply_operators(state, 2, 22, builders.build_evacuation("a", 21))
    assert state.data_centres_out == frozenset()
    # Without a removal by then, it has been taken out again.
    time.advance(REAPPEARANCE)
    state.expire_held()
    assert state.data_centres_out == {"a"}


def test_a_second_return_is_judged_by_what_was_known_before_the_first(state):
    """Guards against lost knowledge when the store goes back twice.

    The second copy is older than the first, and only it still lists the
    target that has left.
    """
    apply_targets(state, 1, 10, builders.build_target("i-1", 5))
    apply_targets(state, 1, 20)
    apply_targets(state, 2, 15)
    apply_targets(state, 3, 8, builders.build_target("i-1", 5))
    assert list_ids(state) == set()


def test_items_of_a_stale_read_are_not_held(time):
    """Guards against a target that has left and comes back by a restart."""
    state = published.PublishedState(time, REAPPEARANCE)
    state.targets.is_provisional = True
    state.apply_targets(
        builders.in_era(
            1, builders.list_all(20, builders.build_target("i-1", 15))
        )
    )
    apply_targets(state, 2, 12)
    assert list_ids(state) == set()


def exchange(asker, replier, **changes):
    """Let a node ask another one for what it lacks."""
    message = deployment.StateExchange(
        **{
            "operator_era": asker.operators.era,
            "operator_revision": asker.operators.known_revision,
            "target_era": asker.targets.era,
            "target_revision": asker.targets.known_revision,
            "store_age_ms": 50.0,
            "configuration_version": asker.version,
            "uptime_ms": 60_000.0,
        }
        | changes
    )
    for apply, missing in (
        (asker.apply_operators, replier.list_missing_operators(message)),
        (asker.apply_targets, replier.list_missing_targets(message)),
    ):
        if missing is not None:
            apply(missing, is_confirmed=True)


def let_return(state):
    """Let the store return from a copy that is older in every respect."""
    apply_operators(
        state,
        2,
        12,
        builders.build_configuration(5, 8),
        builders.build_evacuation("b", 9),
    )
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))


@pytest.fixture
def returned(state):
    """Return a state that has seen all that its returned store has lost."""
    apply_operators(state, 1, 30, builders.build_evacuation("b", 9))
    apply_operators(
        state,
        1,
        32,
        builders.build_configuration(9, 18),
        builders.build_evacuation("a", 31),
    )
    apply_targets(state, 1, 10, builders.build_target("i-1", 5))
    apply_targets(
        state, 1, 32, builders.build_target("i-2", 30, host="10.0.0.2")
    )
    let_return(state)
    return state


def assert_nothing_went_back(state):
    assert state.configuration.version == 9
    assert state.data_centres_out == {"a"}
    assert list_ids(state) == {"i-2"}


def test_a_node_in_an_earlier_era_learns_what_is_held(returned, time):
    """Guards against nodes that differ after they learned of a return."""
    assert_nothing_went_back(returned)
    follower = build_state(time)
    apply_targets(follower, 1, 10, builders.build_target("i-1", 5))
    exchange(follower, returned)
    assert_nothing_went_back(follower)


def test_a_node_that_starts_after_a_return_learns_what_is_held(returned, time):
    """Guards against a withdrawn key that is valid again after a restart.

    The new node has read the returned store itself.
    """
    time.advance(clock.Milliseconds(500))
    newcomer = published.PublishedState(time, REAPPEARANCE)
    let_return(newcomer)
    assert newcomer.configuration.version == 5
    exchange(newcomer, returned, uptime_ms=300.0)
    assert_nothing_went_back(newcomer)
    # It holds them no longer than others do.
    time.advance(REAPPEARANCE - clock.Milliseconds(500))
    assert list_ids(newcomer) == list_ids(returned) == set()


def test_a_node_with_an_unconfirmed_read_gets_a_whole_list(returned, time):
    """Guards against items older than the era in which they were read."""
    newcomer = published.PublishedState(time, REAPPEARANCE)
    newcomer.targets.is_provisional = True
    newcomer.apply_targets(
        builders.in_era(
            2, builders.list_all(31, builders.build_target("i-9", 31))
        )
    )
    exchange(newcomer, returned, store_age_ms=None, uptime_ms=0.0)
    assert_nothing_went_back(newcomer)


def test_a_node_with_a_lower_version_learns_the_one_in_force(returned, time):
    """Guards against nodes that differ although both have read the store."""
    follower = published.PublishedState(time, REAPPEARANCE)
    apply_operators(follower, 1, 16, builders.build_configuration(7, 14))
    let_return(follower)
    assert follower.configuration.version == 7
    message = deployment.StateExchange(
        operator_era=2,
        operator_revision=12,
        configuration_version=returned.version,
    )
    assert follower.lacks_changes_of(message)
    exchange(follower, returned)
    assert follower.configuration.version == 9


def test_a_lower_version_written_again_ends_no_hold(returned, time):
    """Guards against a restarted node with a version that was replaced."""
    returned.apply_operators(
        builders.in_era(
            2, builders.list_after(12, 13, builders.build_configuration(7, 13))
        )
    )
    newcomer = published.PublishedState(time, REAPPEARANCE)
    apply_operators(newcomer, 2, 13, builders.build_configuration(7, 13))
    apply_targets(newcomer, 2, 12, builders.build_target("i-1", 5))
    time.advance(clock.Milliseconds(100))
    exchange(newcomer, returned, uptime_ms=10.0)
    assert newcomer.configuration.version == 9


def test_a_stale_read_brings_no_era_to_other_nodes(state, time):
    """Guards against a fleet that follows a stale read of a starting node.

    It shows an item of the earlier era, at a revision that the store has not
    reached again, so its changes up to there would not be seen.
    """
    newcomer = published.PublishedState(time, REAPPEARANCE)
    newcomer.targets.is_provisional = True
    newcomer.apply_targets(
        builders.in_era(
            2, builders.list_all(31, builders.build_target("i-9", 31))
        )
    )
    apply_targets(state, 1, 20, builders.build_target("i-1", 5))
    exchange(state, newcomer)
    assert state.targets.era == 1
    apply_targets(state, 2, 12, builders.build_target("i-1", 5))
    assert state.targets.revision == 12


def test_a_node_in_an_earlier_era_confirms_nothing(returned, time):
    """Guards against a stale read that is confirmed by older knowledge."""
    older = build_state(time)
    message = deployment.StateExchange(operator_era=2, target_era=2)
    assert older.is_in_earlier_era(message)
    assert not returned.is_in_earlier_era(message)
    assert older.list_missing_operators(message) is None


def test_nothing_is_held_for_nodes_without_eras(returned, time):
    """Guards against messages that other versions do not understand."""
    message = deployment.StateExchange(operator_revision=5, target_revision=5)
    changes = returned.list_missing_operators(message)
    assert changes.base == -1
    assert changes.held == ()
