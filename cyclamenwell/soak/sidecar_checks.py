"""Checks of what callers and targets of sidecar nodes have seen."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import signal

from cyclamenwell import clock
from cyclamenwell.soak import sidecar_history as histories

__all__ = ["CHECKS", "CheckResult", "run_checks"]

# Statuses that promise that a request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_MAX_ATTEMPTS = 3  # Of the route in the published configuration.
# The bounds of the platform's pages: a leaving target gets nothing after this
# time, and a machine is in touch when nothing was wrong with it for this long.
_DRAIN = clock.Milliseconds(2000)
_IN_TOUCH = clock.Milliseconds(3000)
# Tolerance of the pace, as the defaults of the settings say.
_COLD_EXCESS = 1.5
_COLD_SLACK = 5.0
_SECOND = clock.Milliseconds(1000)
_SERVED_WHEN_CALM = 0.95
# A late answer is one that comes so long after the caller's time.
_LATE = clock.Milliseconds(500)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Outcome of one check.

    Parameters
    ----------
    name : str
        What must hold.
    looked_at : int
        Items that it judged.
    violations : tuple of str
        Description of each violation.
    """

    name: str
    looked_at: int
    violations: tuple[str, ...]


_Finding = Iterator[str | None]  # One for each item, None if it is right.


def check_once(history: histories.SidecarHistory) -> _Finding:
    """Find requests that may run once and ran more often."""
    runs = _count_runs(history)
    for call in history.calls:
        if not call.may_repeat:
            count = runs[call.request_id]
            yield f"{call.request_id} ran {count} times" if count > 1 else None


def check_attempts(history: histories.SidecarHistory) -> _Finding:
    """Find requests that ran on more targets than their route allows."""
    for request_id, count in _count_runs(history).items():
        ok = count <= _MAX_ATTEMPTS
        yield None if ok else f"{request_id} ran {count} times"


def check_refusals(history: histories.SidecarHistory) -> _Finding:
    """Find requests whose refusal says that they have not run, and did."""
    runs = _count_runs(history)
    for call in history.calls:
        if call.may_repeat or call.status not in _PROMISES:
            continue
        ran = runs[call.request_id]
        yield f"{call.request_id} got {call.status} and ran" if ran else None


def check_answers(history: histories.SidecarHistory) -> _Finding:
    """Find successes that are not the whole answer to their request."""
    runs = _count_runs(history)
    for call in history.calls:
        if call.status != 200:
            continue
        expected = b"whole answer of " + call.request_id.encode()
        if call.body != expected:
            yield f"{call.request_id} got {call.body[:60]!r}"
        elif not runs[call.request_id]:
            yield f"{call.request_id} was answered and never ran"
        else:
            yield None


def check_asked(history: histories.SidecarHistory) -> _Finding:
    """Find requests at targets that no caller sent in that form."""
    sent = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = sent.get(run.request_id)
        if call is None:
            yield f"{run.request_id} was never sent"
        elif call.path != run.path:
            yield f"{run.request_id} ran as {run.path}, sent {call.path}"
        elif history.services[call.node] != run.caller_service:
            yield f"{run.request_id} ran for service {run.caller_service!r}"
        else:
            yield None


def check_leaving(history: histories.SidecarHistory) -> _Finding:
    """Find leaving targets that get requests after the bound."""
    for fault in history.faults:
        if fault.kind != "leave":
            continue
        late = [
            run.request_id
            for run in history.runs
            if run.target == fault.node
            and fault.begin + _DRAIN < run.at < fault.end
            and not _is_disturbed(history, fault.node, fault.begin, run.at)
        ]
        yield f"target {fault.node} got {late[:5]}" if late else None


def check_cold(history: histories.SidecarHistory) -> _Finding:
    """Find cold targets that get more requests in a second than they bear."""
    most = COLD_PER_SECOND * _COLD_EXCESS + _COLD_SLACK
    for fault in history.faults:
        if fault.kind != "cold":
            continue
        times = sorted(
            run.at
            for run in history.runs
            if run.target == fault.node and fault.begin < run.at < fault.end
        )
        counts = [
            bisect.bisect_left(times, begin + _SECOND) - index
            for index, begin in enumerate(times)
        ]
        worst = max(counts, default=0)
        ok = worst <= most
        yield None if ok else f"target {fault.node} got {worst} in a second"


def check_stops(history: histories.SidecarHistory) -> _Finding:
    """Find processes that end unasked, late after SIGTERM or badly."""
    for stop in history.stops:
        if stop.asked is None:
            yield f"node {stop.node} ended by itself, status {stop.code}"
            continue
        if _is_paused(history, stop.node, stop.asked, stop.ended):
            continue
        took = stop.ended - stop.asked
        # SIGTERM kills a process that has not yet begun to serve.
        is_early = not stop.was_ready and stop.code == -signal.SIGTERM
        ok = took < history.grace and (stop.code == 0 or is_early)
        yield (
            None
            if ok
            else (
                f"node {stop.node} took {took.value:.0f} ms, status {stop.code}"
            )
        )


def check_cut_requests(history: histories.SidecarHistory) -> _Finding:
    """Find requests cut by a graceful stop without other faults."""
    runs = _count_runs(history)
    for stop in history.stops:
        if stop.asked is None or _is_disturbed(
            history, stop.node, stop.asked - _IN_TOUCH, stop.ended
        ):
            continue
        cut = [
            f"{call.request_id} (sent {(call.sent - stop.asked).value:.0f} ms "
            f"and cut {(call.ended - stop.asked).value:.0f} ms after SIGTERM, "
            f"ran {runs[call.request_id]} times)"
            for call in history.calls
            if call.node == stop.node
            and call.sent < stop.ended
            and call.ended >= stop.asked
            and not call.status
            and not (call.is_unread and not runs[call.request_id])
        ]
        took = (stop.ended - stop.asked).value
        yield f"node {stop.node}, {took:.0f} ms: {cut[:5]}" if cut else None


def check_late(history: histories.SidecarHistory) -> _Finding:
    """Find callers of sound nodes without an answer in their time."""
    for call in history.calls:
        if call.is_unread or _is_disturbed(
            history, call.node, call.sent - _IN_TOUCH, call.ended
        ):
            continue
        took = call.ended - call.sent
        ok = took <= CALL_TIME + _LATE
        yield None if ok else f"{call.request_id} took {took.value:.0f} ms"


def check_recovery(history: histories.SidecarHistory) -> _Finding:
    """Find a run in which the fleet does not recover."""
    calm = [c for c in history.calls if c.sent >= history.calm_from]
    if not calm:
        yield "no request after the last fault"
        return
    part = sum(call.status == 200 for call in calm) / len(calm)
    ok = part >= _SERVED_WHEN_CALM
    yield None if ok else f"{part:.3f} of {len(calm)} were served"


# Pace of a cold target in the published configuration.
COLD_PER_SECOND = 25.0
CALL_TIME = clock.Milliseconds(3000)  # What callers state as their time.
CHECKS: tuple[Callable[[histories.SidecarHistory], _Finding], ...] = (
    check_once,
    check_attempts,
    check_refusals,
    check_answers,
    check_asked,
    check_leaving,
    check_cold,
    check_stops,
    check_cut_requests,
    check_late,
    check_recovery,
)


def run_checks(history: histories.SidecarHistory) -> list[CheckResult]:
    """Return the outcome of every check."""
    results = []
    for check in CHECKS:
        findings = list(check(history))
        violations = tuple(f for f in findings if f is not None)
        results.append(CheckResult(check.__name__, len(findings), violations))
    return results


def _count_runs(
    history: histories.SidecarHistory,
) -> collections.Counter[str]:
    return collections.Counter(run.request_id for run in history.runs)


def _is_disturbed(
    history: histories.SidecarHistory,
    node: int,
    begin: clock.Milliseconds,
    end: clock.Milliseconds,
) -> bool:
    """Return whether a node or the store had a fault in a time.

    A fault of the node counts until the node has been in touch again.
    """
    return any(
        fault.begin < end and begin < fault.end + _IN_TOUCH
        for fault in history.faults
        if fault.kind in _DISTURBING and fault.node in (node, -1)
    )


def _is_paused(
    history: histories.SidecarHistory,
    node: int,
    begin: clock.Milliseconds,
    end: clock.Milliseconds,
) -> bool:
    return any(
        fault.begin < end and begin < fault.end
        for fault in history.faults
        if fault.kind == "pause" and fault.node == node
    )


_DISTURBING = frozenset({"kill", "pause", "store"})
