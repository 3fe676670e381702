"""Short soak runs with fixed seeds, and one of a broken build."""

import collections

import pytest

from cyclamenwell import clock
from cyclamenwell.soak import checks
from cyclamenwell.soak import fleet as fleets
from cyclamenwell.soak import plans
from cyclamenwell.soak import report
from cyclamenwell.soak import runner
from cyclamenwell.soak.tests import builders

NODES = 8
DURATION = clock.Milliseconds(18_000)
SEED = 3


def run_soak(seed):
    plan = plans.build_plan(seed, DURATION, NODES)
    history = runner.run_plan(plan)
    results = checks.run_checks(history)
    return results, report.build_text(plan, history, results)


def test_plan_depends_on_the_seed_alone():
    """Guards against runs that can not be repeated."""
    first = plans.build_plan(SEED, DURATION, NODES)
    assert first == plans.build_plan(SEED, DURATION, NODES)
    assert first != plans.build_plan(SEED + 1, DURATION, NODES)
    kinds = collections.Counter(type(one).__name__ for one in first.faults)
    assert len(kinds) >= 10


@pytest.mark.parametrize("closed", [False, True])
def test_no_process_starts_after_the_end(tmp_path, closed):
    """Guards against replacements that outlive an interrupted run."""
    group = builders.IdleGroup(tmp_path)
    fleet = fleets.Fleet(group, plans.build_plan(SEED, DURATION, NODES))
    fleet.choose_ports()
    if closed:
        fleet.close()
    fleet.start_node("meters-1")
    fleet.close()
    assert group.started == ([] if closed else ["node-meters-1"])


def test_everything_holds_under_faults():
    """Guards against violations of the requirements of the design page."""
    results, text = run_soak(SEED)
    assert not any(one.violations for one in results), text


def test_broken_build_is_found(tmp_path, monkeypatch):
    """Guards against checks that pass over real violations."""
    builders.break_nodes(tmp_path)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    results, text = run_soak(SEED)
    violated = {one.number for one in results if one.violations}
    assert {"4", "5", "14"} <= violated, text
