"""Tests of the adaptive limit with a simulated target."""

import pytest

from cyclamenwell.admission.tests import builders
from cyclamenwell.generated import enumerations

# Required share of the capacity at three times the load that the target serves.
_MIN_GOODPUT_RATIO = 0.9
_CAPACITY = 500.0  # 20 slots, 40 ms.
_PLAN = builders.TargetPlan(slots=20, service_ms=40)
_OVERLOAD = builders.Traffic(3 * _CAPACITY)


def run_warm(plan=_PLAN, seed=1, **values):
    simulation = builders.Simulation(plan, seed, **values)
    simulation.run(5, _OVERLOAD)
    return simulation


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("sheds", [False, True])
@pytest.mark.parametrize("load", [1.5, 3])
def test_goodput_holds_under_lasting_overload(sheds, load, seed):
    """Guards against a goodput that drops when the load grows."""
    plan = builders.TargetPlan(slots=20, service_ms=40, sheds=sheds)
    simulation = builders.Simulation(plan, seed)
    traffic = builders.Traffic(load * _CAPACITY)
    simulation.run(5, traffic)
    assert simulation.run(20, traffic) >= _MIN_GOODPUT_RATIO * _CAPACITY


def test_baseline_does_not_drift_up_under_lasting_overload():
    """Guards against a limit that grows because of its own queue."""
    simulation = run_warm()
    simulation.run(30, _OVERLOAD)
    assert sorted(simulation.limits)[len(simulation.limits) // 2] <= 60


def test_slow_target_lowers_the_limit_and_recovery_raises_it():
    """Guards against queueing in a slow target and a limit that stays low."""
    simulation = run_warm()
    before = simulation.gate.read_load().limit
    simulation.target.change(service_ms=400.0)
    simulation.run(2, _OVERLOAD)
    assert min(simulation.limits) <= before / 2
    simulation.target.change(service_ms=40.0)
    simulation.run(5, _OVERLOAD)
    assert simulation.run(5, _OVERLOAD) >= _MIN_GOODPUT_RATIO * _CAPACITY


def test_slow_downstream_service_does_not_lower_the_limit():
    """Guards against a limit lowered by a slow downstream service."""
    simulation = run_warm()
    simulation.target.change(service_ms=120.0)
    simulation.run(10, _OVERLOAD)
    goodput = simulation.run(20, _OVERLOAD)
    assert goodput >= _MIN_GOODPUT_RATIO * _CAPACITY / 3


@pytest.mark.parametrize(
    "sheds, change", [(False, {"listens": False}), (True, {"slots": 0})]
)
def test_refused_connections_and_sheds_fall_back_at_once(sheds, change):
    """Guards against full load on a target that has just restarted."""
    plan = builders.TargetPlan(slots=20, service_ms=40, sheds=sheds)
    simulation = run_warm(plan)
    assert simulation.gate.read_load().limit > 10
    simulation.target.change(**change)
    simulation.run(0.2, _OVERLOAD)
    assert simulation.gate.read_load().limit <= 4


def test_target_that_becomes_cold_without_failures_warms_up_again():
    """Guards against a cold target that never recovers from full load."""
    simulation = run_warm()
    simulation.target.change(cold_answers=100)
    simulation.run(1.5, _OVERLOAD)
    assert min(simulation.limits) <= 4
    simulation.run(8, _OVERLOAD)
    assert simulation.run(5, _OVERLOAD) >= _MIN_GOODPUT_RATIO * _CAPACITY


def test_limit_at_a_warm_target_grows_quickly_but_only_under_load():
    """Guards against slow growth after a start, and growth without load."""
    simulation = builders.Simulation(_PLAN)
    simulation.run(0.05, _OVERLOAD)
    assert max(simulation.limits) == 4
    simulation.run(2, _OVERLOAD)
    assert simulation.gate.read_load().limit >= 16
    idle = builders.Simulation(_PLAN)
    idle.run(20, builders.Traffic(2))
    assert idle.gate.read_load().limit <= 4


def test_quiet_organisation_keeps_its_share_during_a_surge():
    """Guards against starvation by the surge of another organisation."""
    simulation = builders.Simulation(_PLAN)
    surge = builders.Traffic(1500, organisation="surge")
    quiet = builders.Traffic(150, organisation="quiet")
    simulation.run(5, surge, quiet)
    simulation.run(10, surge, quiet)
    assert simulation.answers["quiet"] >= 10 * 150 * 0.9


def test_important_requests_are_shed_last():
    """Guards against refusing critical requests while others are served."""
    simulation = builders.Simulation(_PLAN)
    critical = builders.Traffic(
        200,
        organisation="billing",
        importance=enumerations.Importance.CRITICAL,
    )
    simulation.run(5, _OVERLOAD, critical)
    simulation.run(10, _OVERLOAD, critical)
    assert simulation.answers["billing"] >= 10 * 200 * 0.95


def test_interrupted_exchanges_do_not_lower_the_baseline():
    """Guards against a baseline lowered by early time-outs."""
    simulation = run_warm()
    limit = simulation.gate.read_load().limit
    short = builders.Traffic(1500, timeout_ms=5)
    simulation.run(5, short, _OVERLOAD)
    assert simulation.gate.read_load().limit >= limit / 3
