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

_SHOWN_TRACES = 3  # For each check; the JSON file has more.
_SHEDDING = ("overloaded", "cold", "target-shed", "no-instance")


def build_text(
    plan: plans.Plan,
    history: histories.History,
    results: Iterable[checks.CheckResult],
) -> str:
    """Return the run's figures, a line for each check and the first traces."""
    collected = tuple(results)
    figures = _build_figures(plan, history)
    lines = [f"{name}: {json.dumps(value)}" for name, value in figures.items()]
    lines.append(
        f"{'check':34} {'looked at':>10} {'allowed':>8} {'violations':>11}"
    )
    lines += [
        f"{result.number:>3} {result.name:30} {result.examined:>10} "
        f"{result.allowed:>8} {result.violations:>11}"
        + ("" if result.examined else "  (nothing to look at)")
        for result in collected
    ]
    for result in collected:
        for violation in result.traces[:_SHOWN_TRACES]:
            lines.append(f"violation of {result.number} {result.name}: ")
            lines.append(f"  {violation.message}")
            lines += _build_trace(violation.trace)
    return "\n".join(lines)


def build_json(
    plan: plans.Plan,
    history: histories.History,
    results: Iterable[checks.CheckResult],
) -> dict[str, Any]:
    """Return the results as values that JSON can represent."""
    return {
        "figures": _build_figures(plan, history),
        "checks": [
            {
                "number": result.number,
                "name": result.name,
                "looked": result.examined,
                "allowed": result.allowed,
                "violations": result.violations,
                "traces": [
                    {"message": violation.message, **violation.trace}
                    for violation in result.traces
                ],
            }
            for result in results
        ],
    }


def _build_trace(trace: dict[str, Any]) -> list[str]:
    lines = []
    for name, value in trace.items():
        values = value if isinstance(value, list) else [value]
        lines += [f"    {name}: {json.dumps(item)}" for item in values if item]
    return lines


def _build_figures(
    plan: plans.Plan, history: histories.History
) -> dict[str, Any]:
    faults = collections.Counter(
        f"{fault.kind} {fault.detail.partition(' ')[0]}".strip()
        if fault.kind in ("links", "platform")
        else fault.kind
        for fault in history.faults
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
    """Count shed requests by importance (requirement 2)."""
    counts: dict[str, list[int]] = {}
    for call in history.calls:
        pair = counts.setdefault(call.importance, [0, 0])
        pair[0] += call.kind in _SHEDDING
        pair[1] += 1
    return {
        name: f"{shed} of {total}"
        for name, (shed, total) in sorted(counts.items())
    }
