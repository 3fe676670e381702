"""Program ``cyclamenwell-load``: experiments, load generation, benchmark."""

from __future__ import annotations

import json
import pathlib
import threading
from typing import Annotated

import typer

from cyclamenwell import exceptions
from cyclamenwell.load import bench as benches
from cyclamenwell.load import experiment as runs
from cyclamenwell.load import figures
from cyclamenwell.load import generator
from cyclamenwell.load import plans
from cyclamenwell.load import processes
from cyclamenwell.load import report

__all__ = ["run"]

app = typer.Typer(
    help="Generate load and run measurements on loopback.", add_completion=False
)
_EXIT_MISSED = 1
_EXIT_BAD_INPUT = 2
_EXIT_FAILED = 3
_STACK_BYTES = 256 * 1024  # Small, as each client has a thread.


@app.command("experiment")
def run_experiments(
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Experiment files.")
    ],
    baseline: Annotated[
        bool, typer.Option(help="Also run the baseline forwarder.")
    ] = True,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for JSON results.")
    ] = None,
) -> None:
    """Run experiments and check their results against the bounds.

    Exit status: 0 if all bounds were met, 1 if one was missed, 2 if a file
    is invalid, 3 if a run failed.
    """
    processes.raise_on_signals()
    try:
        for path in files:
            plans.load_experiment(path)
        met = [_run_file(path, baseline, output) for path in files]
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    except exceptions.CyclamenwellError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_FAILED) from error
    if not all(met):
        raise typer.Exit(_EXIT_MISSED)


@app.command("generate")
def generate(
    file: Annotated[pathlib.Path, typer.Argument(help="Experiment file.")],
    caller_ports: Annotated[
        str, typer.Option(help="Comma-separated ports on loopback.")
    ],
    start_ms: Annotated[
        float, typer.Option(help="Monotonic start time in milliseconds.")
    ],
    output: Annotated[
        pathlib.Path, typer.Option(help="Output file for samples.")
    ],
    part: Annotated[
        str, typer.Option(help="Partition of the load, as index/count.")
    ] = "0/1",
) -> None:
    """Send one partition of the load of an experiment."""
    threading.stack_size(_STACK_BYTES)
    index, _, count = part.partition("/")
    listed = tuple(int(port) for port in caller_ports.split(","))
    load = generator.build_part(file, listed, start_ms, int(index), int(count))
    generator.write_samples(output, generator.run_part(load))


@app.command("bench")
def run_bench(
    seconds: Annotated[
        float, typer.Option(help="Seconds for each measurement.")
    ] = 10.0,
    profile: Annotated[
        bool, typer.Option(help="Profile the processor time of a call instead.")
    ] = False,
) -> None:
    """Measure the latency and processor time that nodes add."""
    processes.raise_on_signals()
    if profile:
        typer.echo(benches.profile_call())
        return
    try:
        typer.echo(benches.measure_paths(seconds))
    except exceptions.CyclamenwellError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_FAILED) from error


def _run_file(
    path: pathlib.Path, with_baseline: bool, output: pathlib.Path | None
) -> bool:
    """Run one experiment and return whether all bounds were met."""
    experiment = plans.load_experiment(path)
    typer.echo(
        f"{experiment.name}: seed {experiment.seed}, capacity "
        f"{plans.compute_capacity(experiment):.1f} root requests/s"
    )
    names = (runs.SYSTEM, runs.BASELINE) if with_baseline else (runs.SYSTEM,)
    sides = {}
    failures = {}
    for side in names:
        completed = runs.run_experiment(path, side)
        sides[side] = figures.compute_figures(completed)
        failures[side] = figures.count_failures(completed)
    system = sides[runs.SYSTEM]
    verdicts = report.check_bounds(experiment.bounds, system)
    typer.echo(
        report.render_table(system, sides.get(runs.BASELINE, ()), verdicts)
    )
    typer.echo(report.render_failures(failures))
    missed = sum(not verdict.met for verdict in verdicts)
    typer.echo(f"{experiment.name}: {missed} of {len(verdicts)} bounds missed")
    if output is not None:
        output.mkdir(parents=True, exist_ok=True)
        text = json.dumps(
            report.build_json(experiment, sides, failures, verdicts), indent=1
        )
        (output / f"{experiment.name}.json").write_text(text, "utf-8")
    return not missed


def run() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    run()
