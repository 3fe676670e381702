"""Program ``cyclamenwell-load``: load, experiments and added time of calls."""

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
    help="Load for measurements on loopback.", add_completion=False
)
_EXIT_MISSED = 1
_EXIT_BAD_INPUT = 2
_EXIT_FAILED = 3
_STACK_BYTES = 256 * 1024  # A thread for each client.


@app.command("experiment")
def run_experiments(
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Files of experiments.")
    ],
    baseline: Annotated[
        bool, typer.Option(help="Also run the forwarder without limits.")
    ] = True,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for JSON results.")
    ] = None,
) -> None:
    """Run experiments and compare their figures with their bounds.

    Exit status: 0 if every bound was met, 1 if one was missed, 2 for a bad
    file, 3 if a run could not be carried out.
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
    file: Annotated[pathlib.Path, typer.Argument(help="Experiment.")],
    caller_ports: Annotated[
        str, typer.Option(help="Ports on loopback, separated by commas.")
    ],
    start_ms: Annotated[
        float, typer.Option(help="Monotonic time of the start, milliseconds.")
    ],
    output: Annotated[pathlib.Path, typer.Option(help="File for samples.")],
    part: Annotated[
        str, typer.Option(help="Part of the load, as index/count.")
    ] = "0/1",
) -> None:
    """Send one part of the load of an experiment."""
    threading.stack_size(_STACK_BYTES)
    index, _, count = part.partition("/")
    listed = tuple(int(port) for port in caller_ports.split(","))
    load = generator.build_part(file, listed, start_ms, int(index), int(count))
    generator.write_samples(output, generator.run_part(load))


@app.command("bench")
def run_bench(
    seconds: Annotated[
        float, typer.Option(help="Length of each measurement.")
    ] = 10.0,
    profile: Annotated[
        bool, typer.Option(help="Show where the time of a call goes.")
    ] = False,
) -> None:
    """Measure the time that a node adds to a call."""
    processes.raise_on_signals()
    if profile:
        typer.echo(benches.profile_call())
        return
    try:
        typer.echo(benches.measure(seconds))
    except exceptions.CyclamenwellError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_FAILED) from error


def _run_file(
    path: pathlib.Path, with_baseline: bool, output: pathlib.Path | None
) -> bool:
    """Run one experiment and return whether every bound was met."""
    experiment = plans.load_experiment(path)
    typer.echo(
        f"{experiment.name}: seed {experiment.seed}, capacity "
        f"{plans.compute_capacity(experiment):.1f} root requests/s"
    )
    names = (runs.SYSTEM, runs.BASELINE) if with_baseline else (runs.SYSTEM,)
    sides = {}
    failures = {}
    for side in names:
        made = runs.run_once(path, side)
        sides[side] = figures.compute_figures(made)
        failures[side] = figures.count_failures(made)
    system = sides[runs.SYSTEM]
    verdicts = report.judge(experiment.bounds, system)
    typer.echo(
        report.build_table(system, sides.get(runs.BASELINE, ()), verdicts)
    )
    typer.echo(report.build_failures(failures))
    missed = sum(not one.met for one in verdicts)
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
