"""Tests of experiments and process groups, with real processes."""

import pytest

from cyclamenwell.load import arrivals
from cyclamenwell.load import experiment as runs
from cyclamenwell.load import figures
from cyclamenwell.load import generator
from cyclamenwell.load import processes
from cyclamenwell.load.tests import builders


@pytest.mark.parametrize("side", [runs.SYSTEM, runs.BASELINE])
def test_every_arrival_is_measured(tmp_path, side):
    """Guards against requests missing from the samples of the clients."""
    path = tmp_path / "small.yaml"
    path.write_text(builders.EXPERIMENT, "utf-8")
    run = runs.run_experiment(path, side)
    schedule = arrivals.build_schedule(run.experiment)
    assert {s.number for s in run.samples} == {a.number for a in schedule}
    ran = {r["request_id"] for r in run.records if r["result"] == "complete"}
    whole = {
        f"{s.number}.{len(s.attempts) - 1}"
        for s in run.samples
        if s.outcome == generator.WHOLE
    }
    assert whole
    assert whole <= ran
    assert figures.compute_figures(run)


def test_processes_stop_when_the_parent_fails():
    """Guards against processes that keep running after a failed run."""
    group = processes.ProcessGroup()
    with pytest.raises(RuntimeError), group:
        group.start("wait", "timeit", "-n", "1", "import time; time.sleep(60)")
        process = group._processes["wait"]
        raise RuntimeError("the run failed")
    assert process.returncode is not None
    assert not group.directory.exists()
