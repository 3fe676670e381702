"""Record of saturated targets, for single requests and in simulated load."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.load import fleet_simulation
from cyclamenwell.load.tests import fleet_builders as builders
from cyclamenwell.routing import saturation

Kind = enumerations.ErrorKind
RANK = (1, 1)
WAIT = clock.Milliseconds(300)
EXPECTED_WAIT = clock.Milliseconds(400)
DURATION = clock.Milliseconds(20_000)


@pytest.fixture
def time():
    return clock.ManualClock(clock.Milliseconds(1000))


@pytest.fixture
def saturated(time):
    saturated = saturation.SaturatedTargets(time, random.Random(1))
    saturated.note_refusal("t-1", RANK, Kind.OVERLOADED, WAIT, EXPECTED_WAIT)
    return saturated


def test_a_saturated_target_gets_no_similar_requests(saturated):
    """Guards against two messages for each refusal that is foreseeable."""
    assert saturated.list_saturated(["t-1", "t-2"], RANK, WAIT) == {"t-1"}
    assert saturated.list_saturated(["t-1"], RANK, WAIT * 0.5) == {"t-1"}
    assert saturated.find_expected_wait({"t-1"}, RANK) == EXPECTED_WAIT


def test_a_request_of_higher_rank_or_longer_wait_is_offered(saturated):
    """Guards against refusals of others that block important requests."""
    assert not saturated.list_saturated(["t-1"], (1, 0), WAIT)
    assert not saturated.list_saturated(["t-1"], (0, 2), WAIT)
    assert not saturated.list_saturated(["t-1"], RANK, WAIT * 2)


def test_refusals_apply_to_one_rank_only(saturated):
    """Guards against starvation of a rank by the refusals of others.

    A target reserves some of its slots for requests of lower ranks.
    """
    assert not saturated.list_saturated(["t-1"], (1, 2), WAIT * 0.5)
    saturated.note_refusal("t-1", (1, 3), Kind.OVERLOADED, WAIT, EXPECTED_WAIT)
    assert not saturated.list_saturated(["t-1"], (1, 2), WAIT)
    assert saturated.list_saturated(["t-1"], RANK, WAIT) == {"t-1"}


def test_the_kind_is_that_of_all_refusals(saturated):
    """Guards against cold targets that are taken for overloaded ones."""
    assert saturated.find_kind({"t-1"}, RANK) is Kind.OVERLOADED
    saturated.note_refusal("t-2", RANK, Kind.COLD, WAIT, EXPECTED_WAIT)
    assert saturated.find_kind({"t-2"}, RANK) is Kind.COLD
    assert saturated.find_kind({"t-1", "t-2"}, RANK) is Kind.OVERLOADED


def test_refusals_of_removed_targets_are_dropped(saturated):
    """Guards against a memory leak by replaced targets."""
    saturated.note_refusal("t-2", RANK, Kind.OVERLOADED, WAIT, EXPECTED_WAIT)
    saturated.keep_only({"t-2"})
    assert saturated.list_saturated(["t-1", "t-2"], RANK, WAIT) == {"t-2"}


@pytest.mark.parametrize("expected_wait", [0.0, 10.0, 400.0, 60_000.0])
def test_a_refusal_expires_soon(time, expected_wait):
    """Guards against targets that stay idle after a surge."""
    saturated = saturation.SaturatedTargets(time, random.Random(2))
    saturated.note_refusal(
        "t-1", RANK, Kind.OVERLOADED, WAIT, clock.Milliseconds(expected_wait)
    )
    time.advance(clock.Milliseconds(350))
    assert not saturated.list_saturated(["t-1"], RANK, WAIT)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_costs_few_offers_and_leaves_no_slot_empty(seed):
    """Guards against overload that multiplies the messages between nodes.

    The demand is 1.5 times the capacity of all slots, and callers retry once.
    A baseline that always asks two targets makes 2.7 offers for a request.
    """
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(targets, utilisation=1.5)
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    offers = sum(o.offers for o in outcomes) / len(outcomes)
    assert offers <= 1.2
    served = sum(bool(o.target_id) for o in outcomes)
    capacity = 4 * 40 * 0.95 / builders.WORK.seconds * DURATION.seconds
    assert served >= 0.95 * capacity
    in_time = sum(o.is_in_time for o in outcomes)
    assert in_time >= 0.95 * served


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_important_requests_are_served_through_an_overload(seed):
    """Guards against important requests that less important ones block."""
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(
        targets, utilisation=0.4, priority=0
    ) + builders.spread_demand(targets, utilisation=1.1, priority=2)
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    first = [o for o in outcomes if not o.demand.priority]
    assert sum(o.is_in_time for o in first) >= 0.99 * len(first)


def test_a_surge_that_ends_leaves_nothing_refused():
    """Guards against refusals that continue after the overload."""
    targets = builders.build_targets(4, slots=40)
    outcomes = fleet_simulation.simulate_demand(
        targets,
        builders.spread_demand(targets, utilisation=1.5),
        clock.Milliseconds(5000),
        4,
    )
    last = max(o.arrived_at.value for o in outcomes)
    # The callers of the last 100 ms retry when the targets are idle.
    late = [o for o in outcomes if o.arrived_at.value > last - 100.0]
    assert sum(bool(o.target_id) for o in late) >= 0.95 * len(late)
