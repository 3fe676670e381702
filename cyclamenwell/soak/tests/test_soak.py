"""Short soak runs with a fixed seed, one of them with broken nodes."""

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


def test_plan_depends_only_on_its_arguments():
    """Guards against runs that cannot be repeated."""
    first = plans.build_plan(SEED, DURATION, NODES)
    assert first == plans.build_plan(SEED, DURATION, NODES)
    assert first != plans.build_plan(SEED + 1, DURATION, NODES)
    kinds = collections.Counter(type(fault).__name__ for fault in first.faults)
    assert len(kinds) >= 10


@pytest.mark.parametrize("closed", [False, True])
def test_no_process_starts_after_close(tmp_path, closed):
    """Guards against replacements that outlive an interrupted run."""
    group = builders.FakeProcessGroup(tmp_path)
    fleet = fleets.Fleet(group, plans.build_plan(SEED, DURATION, NODES))
    fleet.choose_ports()
    if closed:
        fleet.close()
    fleet.start_node("meters-1")
    fleet.close()
    assert group.started == ([] if closed else ["node-meters-1"])


def test_run_passes_all_checks_under_faults():
    """Guards against violations of the requirements of the design page."""
    results, text = run_soak(SEED)
    assert not any(result.violations for result in results), text


def test_violations_of_broken_nodes_are_found(tmp_path, monkeypatch):
    """Guards against checks that miss real violations."""
    builders.break_nodes(tmp_path)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    results, text = run_soak(SEED)
    violated = {result.number for result in results if result.violations}
    assert {"4", "5", "14"} <= violated, text
