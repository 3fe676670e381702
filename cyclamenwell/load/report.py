"""Comparison of figures with bounds, and output as a table or as JSON."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

from cyclamenwell.generated import experiments
from cyclamenwell.load import figures

__all__ = [
    "Verdict",
    "build_json",
    "check_bounds",
    "render_failures",
    "render_rows",
    "render_table",
]

_UNBOUNDED_BELOW = -1e12
_UNBOUNDED_ABOVE = 1e12


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Comparison of a figure with its bound.

    Parameters
    ----------
    bound : experiments.BoundPlan
        Bound on the figure.
    value : float
        Measured value, NaN if it is missing.
    met : bool
        Whether the value is within the bound.
    """

    bound: experiments.BoundPlan
    value: float
    met: bool


def check_bounds(
    bounds: Sequence[experiments.BoundPlan],
    measured: Sequence[figures.Figure],
) -> tuple[Verdict, ...]:
    """Compare figures with bounds; a missing figure violates its bound."""
    values = {(item.name, item.phase): item.value for item in measured}
    verdicts = []
    for bound in bounds:
        value = values.get((bound.figure, bound.phase), math.nan)
        # Comparisons with NaN are false, so NaN never meets a bound.
        met = bound.at_least <= value <= bound.at_most
        verdicts.append(Verdict(bound, value, met))
    return tuple(verdicts)


def render_table(
    system: Sequence[figures.Figure],
    baseline: Sequence[figures.Figure],
    verdicts: Sequence[Verdict],
) -> str:
    """Return the figures of system and baseline and the bounds as a table."""
    others = {(item.name, item.phase): item.value for item in baseline}
    verdict_by_key = {(v.bound.figure, v.bound.phase): v for v in verdicts}
    rows = [("figure", "phase", "system", "baseline", "bound", "verdict")]
    listed = [(item.name, item.phase, item.value) for item in system]
    known = {(name, phase) for name, phase, _ in listed}
    listed += [(*key, math.nan) for key in verdict_by_key if key not in known]
    for name, phase, value in listed:
        verdict = verdict_by_key.get((name, phase))
        rows.append(
            (
                name,
                phase or "-",
                _format_value(value),
                _format_value(others.get((name, phase), math.nan)),
                _format_bound(verdict.bound) if verdict else "",
                _format_verdict(verdict),
            )
        )
    return render_rows(rows)


def render_failures(
    failures: Mapping[str, Mapping[str, Mapping[str, int]]],
) -> str:
    """Return one line of failure counts for each side and phase."""
    lines = []
    for side, phases in failures.items():
        for phase, counts in phases.items():
            shown = ", ".join(f"{n} {kind}" for kind, n in counts.items())
            lines.append(f"failures, {side}, {phase}: {shown or 'none'}")
    return "\n".join(lines)


def render_rows(rows: Sequence[Sequence[str]]) -> str:
    """Return rows of cells as text with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def build_json(
    experiment: experiments.Experiment,
    sides: Mapping[str, Sequence[figures.Figure]],
    failures: Mapping[str, Mapping[str, Mapping[str, int]]],
    verdicts: Sequence[Verdict],
) -> dict[str, Any]:
    """Return all figures and verdicts as JSON-compatible values."""
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "sides": {
            side: [
                {
                    "name": f.name,
                    "phase": f.phase,
                    "value": _convert_value(f.value),
                }
                for f in measured
            ]
            for side, measured in sides.items()
        },
        "failures": failures,
        "bounds": [
            {
                "figure": verdict.bound.figure,
                "phase": verdict.bound.phase,
                "bound": _format_bound(verdict.bound),
                "value": _convert_value(verdict.value),
                "met": verdict.met,
            }
            for verdict in verdicts
        ],
    }


def _convert_value(value: float) -> float | str:
    """Return a number, or its text if JSON cannot represent it."""
    return value if math.isfinite(value) else str(value)


def _format_value(value: float) -> str:
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "never" if value > 0 else "none"
    return f"{value:.3f}".rstrip("0").rstrip(".")


def _format_bound(bound: experiments.BoundPlan) -> str:
    parts = []
    if bound.at_least > _UNBOUNDED_BELOW:
        parts.append(f">= {_format_value(bound.at_least)}")
    if bound.at_most < _UNBOUNDED_ABOVE:
        parts.append(f"<= {_format_value(bound.at_most)}")
    return " and ".join(parts)


def _format_verdict(verdict: Verdict | None) -> str:
    if verdict is None:
        return ""
    return "met" if verdict.met else "MISSED"
