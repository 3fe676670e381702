"""Comparing figures with bounds and writing them as a table or JSON."""

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
    "build_failures",
    "build_json",
    "build_table",
    "judge",
    "render_rows",
]

_NO_LEAST = -1e12
_NO_MOST = 1e12


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Comparison of a figure with its bound.

    Parameters
    ----------
    bound : experiments.BoundPlan
        The bound.
    value : float
        Measured value, NaN if it is missing.
    met : bool
        Whether the bound was kept.
    """

    bound: experiments.BoundPlan
    value: float
    met: bool


def judge(
    bounds: Sequence[experiments.BoundPlan],
    measured: Sequence[figures.Figure],
) -> tuple[Verdict, ...]:
    """Compare figures with bounds; a missing figure misses its bound."""
    values = {(one.name, one.phase): one.value for one in measured}
    verdicts = []
    for bound in bounds:
        value = values.get((bound.figure, bound.phase), math.nan)
        # A comparison with NaN is false, so a missing value is never met.
        met = bound.at_least <= value <= bound.at_most
        verdicts.append(Verdict(bound, value, met))
    return tuple(verdicts)


def build_table(
    system: Sequence[figures.Figure],
    baseline: Sequence[figures.Figure],
    verdicts: Sequence[Verdict],
) -> str:
    """Return the figures of both sides and the bounds as a table."""
    others = {(one.name, one.phase): one.value for one in baseline}
    found = {(v.bound.figure, v.bound.phase): v for v in verdicts}
    rows = [("figure", "phase", "system", "baseline", "bound", "verdict")]
    listed = [(one.name, one.phase, one.value) for one in system]
    known = {(name, phase) for name, phase, _ in listed}
    listed += [(*key, math.nan) for key in found if key not in known]
    for name, phase, value in listed:
        verdict = found.get((name, phase))
        rows.append(
            (
                name,
                phase or "-",
                _show(value),
                _show(others.get((name, phase), math.nan)),
                _show_bound(verdict.bound) if verdict else "",
                _show_verdict(verdict),
            )
        )
    return render_rows(rows)


def build_failures(
    failures: Mapping[str, Mapping[str, Mapping[str, int]]],
) -> str:
    """Return the kinds of failures of each side and phase, one line each."""
    lines = []
    for side, phases in failures.items():
        for phase, counts in phases.items():
            shown = ", ".join(f"{n} {kind}" for kind, n in counts.items())
            lines.append(f"failures, {side}, {phase}: {shown or 'none'}")
    return "\n".join(lines)


def render_rows(rows: Sequence[Sequence[str]]) -> str:
    """Return rows of cells with aligned columns."""
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
    """Return all figures and verdicts as plain values."""
    return {
        "experiment": experiment.name,
        "seed": experiment.seed,
        "sides": {
            side: [
                {"name": f.name, "phase": f.phase, "value": _plain(f.value)}
                for f in measured
            ]
            for side, measured in sides.items()
        },
        "failures": failures,
        "bounds": [
            {
                "figure": one.bound.figure,
                "phase": one.bound.phase,
                "bound": _show_bound(one.bound),
                "value": _plain(one.value),
                "met": one.met,
            }
            for one in verdicts
        ],
    }


def _plain(value: float) -> float | str:
    """Return a value that JSON can hold."""
    return value if math.isfinite(value) else str(value)


def _show(value: float) -> str:
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "never" if value > 0 else "none"
    return f"{value:.3f}".rstrip("0").rstrip(".")


def _show_bound(bound: experiments.BoundPlan) -> str:
    parts = []
    if bound.at_least > _NO_LEAST:
        parts.append(f">= {_show(bound.at_least)}")
    if bound.at_most < _NO_MOST:
        parts.append(f"<= {_show(bound.at_most)}")
    return " and ".join(parts)


def _show_verdict(verdict: Verdict | None) -> str:
    if verdict is None:
        return ""
    return "met" if verdict.met else "MISSED"
