"""Choice of targets, for single requests and in simulated load."""

import collections
import dataclasses
import random

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.load import fleet_simulation
from cyclamenwell.load.tests import fleet_builders as builders
from cyclamenwell.routing import target_balancer

DURATION = clock.Milliseconds(20_000)


def find_fraction(outcomes, is_counted):
    return sum(is_counted(o) for o in outcomes) / len(outcomes)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_near_targets_serve_most_requests_below_capacity(seed):
    """Guards against needless hops to other nodes at moderate load."""
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(targets, utilisation=0.4)
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    near = find_fraction(outcomes, lambda o: o.target_id == o.demand.host)
    assert near >= 0.7
    assert find_fraction(outcomes, lambda o: o.is_in_time) >= 0.99


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_uneven_demand_spreads_before_requests_are_refused(seed):
    """Guards against a full near target while distant ones have free slots.

    One node gets 1.6 times the capacity of its own target; the capacity of all
    targets together suffices.
    """
    targets = builders.build_targets(4, slots=40)
    demands = builders.spread_demand(
        targets, utilisation=0.8, parts=(2.0, 0.8, 0.7, 0.5)
    )
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    assert find_fraction(outcomes, lambda o: o.is_in_time) >= 0.97
    assert find_fraction(outcomes, lambda o: o.retried) <= 0.02


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_other_targets_carry_what_limited_targets_do_not_take(seed):
    """Guards against refusals while other targets have free slots.

    Four of six targets name a limit of a fifteenth of their demand; the other
    two can carry all the rest.
    """
    limited = {0, 1, 2, 3}
    targets = tuple(
        dataclasses.replace(
            target, named_rate=10.0 if index in limited else None
        )
        for index, target in enumerate(builders.build_targets(6, slots=80))
    )
    demands = builders.spread_demand(targets, utilisation=0.19)
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    assert find_fraction(outcomes, lambda o: o.is_in_time) >= 0.99
    assert find_fraction(outcomes, lambda o: o.retried) <= 0.02
    served = collections.Counter(outcome.target_id for outcome in outcomes)
    for index in limited:
        target_id = targets[index].target_id
        assert served[target_id] <= 10.0 * DURATION.seconds * 1.1
        assert served[target_id] >= 10.0 * DURATION.seconds * 0.6


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_slow_target_gets_less_and_is_used_again(seed):
    """Guards against a slow near target that still gets the requests."""
    phase = fleet_simulation.SlowPhase(
        clock.Milliseconds(4000), clock.Milliseconds(12_000), 6.0
    )
    targets = builders.build_targets(4, slots=40, slow={0: phase})
    demands = builders.spread_demand(targets, utilisation=0.5)
    outcomes = fleet_simulation.simulate_demand(
        targets, demands, DURATION, seed
    )
    first = targets[0].target_id
    served = builders.find_served_arrivals(outcomes, first)
    # Requests that began in the middle of the slow phase, and well after it.
    assert served.compute_rate(6000, 12_000) <= 0.35 * served.compute_rate(
        14_000, 20_000
    )
    # With a random choice, a quarter of them would take six times as long.
    assert find_fraction(outcomes, lambda o: o.is_in_time) >= 0.93


def test_a_choice_in_a_large_service_is_spread_over_targets():
    """Guards against costs that grow with the service, and against herding.

    A sample of the targets is compared. None of 40 may get far more than its
    share of the requests of one node, and near ones are still preferred.
    """
    time = clock.ManualClock(clock.Milliseconds(1000))
    targets = builders.build_targets(40, slots=10)
    balancer = target_balancer.TargetBalancer(
        time, "t-1", "dc-1", random.Random(1)
    )
    entries = builders.build_entries(targets)
    near = balancer.choose(entries, (), (), "read", 0)
    assert near.target_id == "t-1"
    counts = collections.Counter(
        balancer.choose(entries, (), {"t-1"}, "read", 0).target_id
        for _ in range(3900)
    )
    assert len(counts) == 39
    # The mean is 100; the bound is five standard deviations above it.
    assert max(counts.values()) <= 150


def test_targets_that_are_paused_are_tried_last():
    """Guards against requests to an unreachable node."""
    time = clock.ManualClock(clock.Milliseconds(1000))
    balancer = target_balancer.TargetBalancer(
        time, "t-1", "a", random.Random(1)
    )
    entries = builders.build_entries(builders.build_targets(3, slots=10))
    balancer.pause("t-1")
    chosen = {
        balancer.choose(entries, (), (), "read", 0).target_id for _ in range(50)
    }
    assert chosen == {"t-2", "t-3"}
    only = balancer.choose(entries, (), {"t-2", "t-3"}, "read", 0)
    assert only.target_id == "t-1"


def test_excluded_data_centres_get_nothing():
    """Guards against requests to a data centre that operators excluded."""
    time = clock.ManualClock(clock.Milliseconds(1000))
    balancer = target_balancer.TargetBalancer(
        time, "t-1", "a", random.Random(1)
    )
    entries = builders.build_entries(builders.build_targets(2, slots=10))
    excluded = {entries[0].data_centre}
    for _ in range(20):
        chosen = balancer.choose(entries, excluded, (), "read", 0)
        assert chosen == entries[1]
    assert balancer.choose(entries, excluded, {"t-2"}, "read", 0) is None


def test_warm_targets_are_preferred_to_cold_ones():
    """Guards against requests that wait in the queue of a cold target."""
    time = clock.ManualClock(clock.Milliseconds(1000))
    balancer = target_balancer.TargetBalancer(
        time, "t-1", "a", random.Random(1)
    )
    entries = builders.build_entries(builders.build_targets(2, slots=10))
    balancer.note_load(deployment.TargetLoad("t-1", limit=10, is_cold=True))
    for _ in range(20):
        assert balancer.choose(entries, (), (), "read", 0) == entries[1]


def test_a_target_that_says_it_leaves_gets_nothing_until_it_starts_anew():
    """Guards against requests to a target that the platform still lists."""
    time = clock.ManualClock()
    balancer = target_balancer.TargetBalancer(
        time, "t-0", "dc-1", random.Random(1)
    )
    entries = builders.build_entries(builders.build_targets(2, slots=10))
    balancer.note_load(
        deployment.TargetLoad("t-1", is_leaving=True, started_ms=0)
    )
    for _ in range(20):
        chosen = balancer.choose(entries, (), (), "read", 0)
        assert chosen.target_id == "t-2"
    assert balancer.choose(entries[:1], (), (), "read", 0) is None
    returned = dataclasses.replace(entries[0], started_ms=7)
    assert balancer.choose((returned,), (), (), "read", 0) is returned
