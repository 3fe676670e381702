"""Memory of targets without room, one by one and under load."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.load import fleet_model
from cyclamenwell.load.tests import fleet_builders as builders
from cyclamenwell.routing import fullness

RANK = (1, 1)
WAIT = clock.Milliseconds(300)
ROOM = clock.Milliseconds(400)
DURATION = clock.Milliseconds(20_000)


@pytest.fixture
def time():
    return clock.ManualClock(clock.Milliseconds(1000))


@pytest.fixture
def full(time):
    full = fullness.FullTargets(time, random.Random(1))
    full.note_refusal("t-1", RANK, WAIT, ROOM)
    return full


def test_a_request_that_would_be_refused_again_is_not_offered(full):
    """Guards against two messages for each certain refusal."""
    assert full.list_full(["t-1", "t-2"], RANK, WAIT) == {"t-1"}
    assert full.list_full(["t-1"], (1, 2), WAIT * 0.5) == {"t-1"}
    assert full.find_room({"t-1"}) == ROOM


def test_a_request_that_goes_first_or_waits_longer_is_offered(full):
    """Guards against important requests that pay for unimportant ones."""
    assert not full.list_full(["t-1"], (1, 0), WAIT)
    assert not full.list_full(["t-1"], (0, 2), WAIT)
    assert not full.list_full(["t-1"], RANK, WAIT * 2)


def test_a_refusal_of_a_lesser_request_does_not_hide_a_stronger_one(full):
    """Guards against offers that a refusal has already answered."""
    full.note_refusal("t-1", (1, 3), WAIT, ROOM)
    assert full.list_full(["t-1"], RANK, WAIT) == {"t-1"}


@pytest.mark.parametrize("room", [0.0, 10.0, 400.0, 60_000.0])
def test_a_target_is_asked_again_soon(time, room):
    """Guards against targets that stand empty after a surge."""
    full = fullness.FullTargets(time, random.Random(2))
    full.note_refusal("t-1", RANK, WAIT, clock.Milliseconds(room))
    time.advance(clock.Milliseconds(350))
    assert not full.list_full(["t-1"], RANK, WAIT)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_costs_few_offers_and_leaves_no_slot_empty(seed):
    """Guards against an overload that multiplies the work of its nodes.

    Callers ask 1.5 times what all slots can run, and come back once. A
    baseline that always asks two targets makes 2.7 offers for a request.
    """
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(targets, fill=1.5)
    outcomes = fleet_model.play_demand(targets, demands, DURATION, seed)
    offers = sum(o.offers for o in outcomes) / len(outcomes)
    assert offers <= 1.2
    served = sum(bool(o.target_id) for o in outcomes)
    capacity = 4 * 40 * 0.95 / builders.WORK.seconds * DURATION.seconds
    assert served >= 0.95 * capacity
    in_time = sum(o.is_in_time for o in outcomes)
    assert in_time >= 0.95 * served


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_important_requests_are_served_through_an_overload(seed):
    """Guards against important requests kept from targets by others."""
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(
        targets, fill=0.4, priority=0
    ) + builders.spread_demand(targets, fill=1.1, priority=2)
    outcomes = fleet_model.play_demand(targets, demands, DURATION, seed)
    first = [o for o in outcomes if not o.demand.priority]
    assert sum(o.is_in_time for o in first) >= 0.99 * len(first)


def test_a_surge_that_ends_leaves_nothing_refused():
    """Guards against refusals that outlive their cause."""
    targets = builders.build_targets(4, slots=40)
    outcomes = fleet_model.play_demand(
        targets,
        builders.spread_demand(targets, fill=1.5),
        clock.Milliseconds(5000),
        4,
    )
    last = max(o.begun.value for o in outcomes)
    # Those who came at the very end return to idle targets.
    late = [o for o in outcomes if o.begun.value > last - 100.0]
    assert sum(bool(o.target_id) for o in late) >= 0.95 * len(late)
