"""Command line program of the soak runs."""

from __future__ import annotations

import json
import pathlib
from typing import Annotated

import typer

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.load import processes
from cyclamenwell.soak import checks
from cyclamenwell.soak import plans
from cyclamenwell.soak import report
from cyclamenwell.soak import runner

__all__ = ["run"]

_EXIT_VIOLATED = 1
_EXIT_FAILED = 3


def soak(
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    duration: Annotated[
        float, typer.Option(help="Length of the load in seconds.", min=5.0)
    ] = 60.0,
    nodes: Annotated[
        int, typer.Option(help="Number of instances.", min=6, max=40)
    ] = 14,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for the result.")
    ] = None,
) -> None:
    """Run nodes under random faults and check the invariants.

    Exit status: 0 if all checks passed, 1 if a check failed, 3 if the run
    could not be carried out.
    """
    processes.raise_on_signals()
    plan = plans.build_plan(
        seed, clock.Milliseconds.from_seconds(duration), nodes
    )
    typer.echo(f"seed {seed}, {duration:g} s, {nodes} nodes")
    try:
        history = runner.run_plan(plan)
    except exceptions.CyclamenwellError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_FAILED) from error
    results = checks.run_checks(history)
    typer.echo(report.build_text(plan, history, results))
    if output is not None:
        output.mkdir(parents=True, exist_ok=True)
        document = report.build_json(plan, history, results)
        text = json.dumps(document, indent=1)
        path = output / f"soak-{seed}.json"
        path.write_text(text, "utf-8")
        typer.echo(f"result: {path}")
    if any(result.violations for result in results):
        raise typer.Exit(_EXIT_VIOLATED)


def run() -> None:
    """Run the command line program."""
    typer.run(soak)


if __name__ == "__main__":
    run()
