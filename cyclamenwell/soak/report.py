"""Report of a soak run as text and as JSON."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import json
from typing import Any

from cyclamenwell.soak import checks
from cyclamenwell.soak import history as histories
from cyclamenwell.soak import plans

__all__ = ["build_json", "build_text"]

_SHOWN_TRACES = 3  # Of each check; the JSON file has more.
_SHEDDING = ("overloaded", "cold", "target-shed", "no-instance")


def build_text(
    plan: plans.Plan,
    history: histories.History,
    results: Iterable[checks.CheckResult],
) -> str:
    """Return figures, one line for each check, and the first traces."""
    found = tuple(results)
    figures = _build_figures(plan, history)
    lines = [f"{name}: {json.dumps(value)}" for name, value in figures.items()]
    lines.append(
        f"{'check':34} {'looked at':>10} {'allowed':>8} {'violations':>11}"
    )
    lines += [
        f"{one.number:>3} {one.name:30} {one.looked:>10} {one.allowed:>8} "
        f"{one.violations:>11}"
        + ("" if one.looked else "  (nothing to look at)")
        for one in found
    ]
    for one in found:
        for violation in one.traces[:_SHOWN_TRACES]:
            lines.append(f"violation of {one.number} {one.name}: ")
            lines.append(f"  {violation.message}")
            lines += _build_trace(violation.trace)
    return "\n".join(lines)


def build_json(
    plan: plans.Plan,
    history: histories.History,
    results: Iterable[checks.CheckResult],
) -> dict[str, Any]:
    """Return the result as JSON values."""
    return {
        "figures": _build_figures(plan, history),
        "checks": [
            {
                "number": one.number,
                "name": one.name,
                "looked": one.looked,
                "allowed": one.allowed,
                "violations": one.violations,
                "traces": [
                    {"message": v.message, **v.trace} for v in one.traces
                ],
            }
            for one in results
        ],
    }


def _build_trace(trace: dict[str, Any]) -> list[str]:
    lines = []
    for name, value in trace.items():
        values = value if isinstance(value, list) else [value]
        lines += [f"    {name}: {json.dumps(one)}" for one in values if one]
    return lines


def _build_figures(
    plan: plans.Plan, history: histories.History
) -> dict[str, Any]:
    faults = collections.Counter(
        f"{one.kind} {one.detail.partition(' ')[0]}".strip()
        if one.kind in ("links", "platform")
        else one.kind
        for one in history.faults
    )
    outcomes = collections.Counter(call.outcome for call in history.calls)
    kinds = collections.Counter(
        call.kind for call in history.calls if call.kind
    )
    stalled = sum(stall.end - stall.begin for stall in history.stalls)
    return {
        "seed": plan.seed,
        "duration_ms": plan.duration_ms,
        "nodes": len(plan.places),
        "faults planned": len(plan.faults),
        "faults injected": dict(sorted(faults.items())),
        "calls planned": len(plan.arrivals),
        "calls sent": len(history.calls),
        "runs at targets": len(history.runs),
        "outcomes": dict(sorted(outcomes.items())),
        "kinds": dict(sorted(kinds.items())),
        "shed by importance": _count_shed(history),
        "stalls_ms": round(stalled),
    }


def _count_shed(history: histories.History) -> dict[str, str]:
    """Count shed requests of each importance, for requirement 2."""
    counts: dict[str, list[int]] = {}
    for call in history.calls:
        pair = counts.setdefault(call.importance, [0, 0])
        pair[0] += call.kind in _SHEDDING
        pair[1] += 1
    return {
        name: f"{shed} of {whole}"
        for name, (shed, whole) in sorted(counts.items())
    }
