"""Program that measures the costs of a node and writes the capacity page."""

from __future__ import annotations

import pathlib
from typing import Annotated

import jinja2
import typer

from cyclamenwell.capacity import figures
from cyclamenwell.capacity import measures
from cyclamenwell.capacity import model
from cyclamenwell.load import processes

__all__ = ["read_bench", "render", "run"]

_PACKAGE_DIRECTORY = pathlib.Path(__file__).parent
_DOCS = _PACKAGE_DIRECTORY.parents[1] / "docs"
_P99_COLUMN, _PROCESSOR_COLUMN = -2, -1


def read_bench(text: str) -> tuple[float, float]:
    """Return the p99 latency and processor time that two nodes add to a call.

    Parameters
    ----------
    text : str
        Page with result tables of ``cyclamenwell-load bench``. The last row for
        two nodes and one caller applies.

    Returns
    -------
    tuple of float
        Latency and processor time in milliseconds.
    """
    rows = [
        [cell.strip() for cell in line.strip("| ").split("|")]
        for line in text.splitlines()
        if line.startswith("|") and "| 1 | two nodes |" in line
    ]
    last = rows[-1]
    return float(last[_P99_COLUMN]), float(last[_PROCESSOR_COLUMN])


def render(measured: figures.Measurements) -> str:
    """Return the capacity page for a set of measurements."""
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(_PACKAGE_DIRECTORY),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    burst = [
        row
        for row in model.build_rows(measured, model.BURST_PER_SECOND)
        if row.role != "at most once"
    ]
    return environment.get_template("page.md.jinja").render(
        measured=measured,
        model=model,
        targets=model.build_targets(measured),
        rows=model.build_rows(measured),
        burst_traffic=sum(row.traffic for row in burst),
        burst_processor=sum(row.processor_ms for row in burst),
        projected=model.compute_projection(measured),
    )


def _main(
    output: Annotated[pathlib.Path, typer.Option(help="Output file.")] = _DOCS
    / "CAPACITY.md",
    added_p99_ms: Annotated[
        float | None,
        typer.Option(
            help="Added p99 latency; default from docs/measurements.md."
        ),
    ] = None,
    added_processor_ms: Annotated[
        float | None,
        typer.Option(
            help="Added processor time; default from docs/measurements.md."
        ),
    ] = None,
) -> None:
    """Measure the costs of a node and write the capacity page."""
    processes.raise_on_signals()
    p99, processor = read_bench((_DOCS / "measurements.md").read_text("utf-8"))
    measured = figures.Measurements(
        measures.measure_slopes(),
        measures.measure_bytes(),
        measures.measure_idle_rss(),
        p99 if added_p99_ms is None else added_p99_ms,
        processor if added_processor_ms is None else added_processor_ms,
    )
    output.write_text(render(measured), "utf-8")
    typer.echo(f"wrote {output}")


def run() -> None:
    """Run the program."""
    typer.run(_main)
