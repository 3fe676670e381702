"""Checks of the records of callers and targets of sidecar nodes."""

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

# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_MAX_ATTEMPTS = 3  # Of the routes in the published configuration.
# Bounds from the platform's documentation: a leaving target gets no requests
# after this time, and a machine is connected again when it has had no fault for
# this long.
_DRAIN_TIMEOUT = clock.Milliseconds(2000)
_RECONNECT_TIME = clock.Milliseconds(3000)
# Tolerance of the cold rate limit, as in the defaults of the settings.
_COLD_EXCESS_FACTOR = 1.5
_COLD_SLACK_REQUESTS = 5.0
_SECOND = clock.Milliseconds(1000)
_MIN_SERVED_FRACTION = 0.95
# An answer is late if it arrives this long after the caller's deadline.
_LATE_TOLERANCE = clock.Milliseconds(500)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of one check.

    Parameters
    ----------
    name : str
        Name of the check.
    examined : int
        Number of items that the check examined.
    violations : tuple of str
        Description of each violation.
    """

    name: str
    examined: int
    violations: tuple[str, ...]


_Findings = Iterator[str | None]  # One for each item, None without violation.


def check_once(history: histories.SidecarHistory) -> _Findings:
    """Find requests that are not idempotent and ran more than once."""
    runs = _count_runs(history)
    for call in history.calls:
        if not call.may_repeat:
            count = runs[call.request_id]
            yield f"{call.request_id} ran {count} times" if count > 1 else None


def check_attempts(history: histories.SidecarHistory) -> _Findings:
    """Find requests that ran more often than their route allows."""
    for request_id, count in _count_runs(history).items():
        holds = count <= _MAX_ATTEMPTS
        yield None if holds else f"{request_id} ran {count} times"


def check_refusals(history: histories.SidecarHistory) -> _Findings:
    """Find requests that ran although their refusal says otherwise."""
    runs = _count_runs(history)
    for call in history.calls:
        if call.may_repeat or call.status not in _NOT_RUN_STATUSES:
            continue
        ran = runs[call.request_id]
        yield f"{call.request_id} got {call.status} and ran" if ran else None


def check_answers(history: histories.SidecarHistory) -> _Findings:
    """Find successes without the complete answer to their own request."""
    runs = _count_runs(history)
    for call in history.calls:
        if call.status != 200:
            continue
        expected = b"whole answer of " + call.request_id.encode()
        if call.body != expected:
            yield f"{call.request_id} got {call.body[:60]!r}"
        elif not runs[call.request_id]:
            yield f"{call.request_id} was answered but never ran"
        else:
            yield None


def check_asked(history: histories.SidecarHistory) -> _Findings:
    """Find requests at targets that differ from what a caller sent."""
    sent = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = sent.get(run.request_id)
        if call is None:
            yield f"{run.request_id} was never sent"
        elif call.path != run.path:
            yield f"{run.request_id} ran as {run.path}, was sent as {call.path}"
        elif history.services[call.node] != run.caller_service:
            yield f"{run.request_id} ran for service {run.caller_service!r}"
        else:
            yield None


def check_leaving(history: histories.SidecarHistory) -> _Findings:
    """Find leaving targets that get requests after the drain time."""
    for fault in history.faults:
        if fault.kind != "leave":
            continue
        late_requests = [
            run.request_id
            for run in history.runs
            if run.target == fault.node
            and fault.begin + _DRAIN_TIMEOUT < run.at < fault.end
            and not _is_disturbed(history, fault.node, fault.begin, run.at)
        ]
        yield (
            f"target {fault.node} got {late_requests[:5]}"
            if late_requests
            else None
        )


def check_cold(history: histories.SidecarHistory) -> _Findings:
    """Find cold targets that get more requests in a second than allowed."""
    limit = COLD_PER_SECOND * _COLD_EXCESS_FACTOR + _COLD_SLACK_REQUESTS
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
        holds = worst <= limit
        yield None if holds else f"target {fault.node} got {worst} in a second"


def check_stops(history: histories.SidecarHistory) -> _Findings:
    """Find processes that exit unexpectedly, too late or with an error."""
    for stop in history.stops:
        if stop.asked is None:
            yield f"node {stop.node} exited unexpectedly, status {stop.code}"
            continue
        if _is_paused(history, stop.node, stop.asked, stop.ended):
            continue
        duration = stop.ended - stop.asked
        # SIGTERM kills a process that has not started to serve yet.
        is_early = not stop.was_ready and stop.code == -signal.SIGTERM
        holds = duration < history.grace and (stop.code == 0 or is_early)
        yield (
            None
            if holds
            else (
                f"node {stop.node} took {duration.value:.0f} ms to stop, "
                f"status {stop.code}"
            )
        )


def check_cut_requests(history: histories.SidecarHistory) -> _Findings:
    """Find requests that a graceful stop alone cut off."""
    runs = _count_runs(history)
    for stop in history.stops:
        if stop.asked is None or _is_disturbed(
            history, stop.node, stop.asked - _RECONNECT_TIME, stop.ended
        ):
            continue
        cut = [
            f"{call.request_id} (sent {(call.sent - stop.asked).value:.0f} ms, "
            f"cut off {(call.ended - stop.asked).value:.0f} ms after SIGTERM, "
            f"ran {runs[call.request_id]} times)"
            for call in history.calls
            if call.node == stop.node
            and call.sent < stop.ended
            and call.ended >= stop.asked
            and not call.status
            and not (call.is_unread and not runs[call.request_id])
        ]
        duration = (stop.ended - stop.asked).value
        yield f"node {stop.node}, {duration:.0f} ms: {cut[:5]}" if cut else None


def check_late(history: histories.SidecarHistory) -> _Findings:
    """Find late answers of nodes that had no fault."""
    for call in history.calls:
        if call.is_unread or _is_disturbed(
            history, call.node, call.sent - _RECONNECT_TIME, call.ended
        ):
            continue
        duration = call.ended - call.sent
        holds = duration <= CALL_DEADLINE + _LATE_TOLERANCE
        yield (
            None if holds else f"{call.request_id} took {duration.value:.0f} ms"
        )


def check_recovery(history: histories.SidecarHistory) -> _Findings:
    """Find a run in which the fleet does not recover from the faults."""
    calls = [call for call in history.calls if call.sent >= history.calm_from]
    if not calls:
        yield "no request was sent after the recovery time"
        return
    served_fraction = sum(call.status == 200 for call in calls) / len(calls)
    holds = served_fraction >= _MIN_SERVED_FRACTION
    yield (
        None if holds else f"{served_fraction:.3f} of {len(calls)} were served"
    )


# Rate limit of a cold target in the published configuration.
COLD_PER_SECOND = 25.0
CALL_DEADLINE = clock.Milliseconds(3000)  # Deadline that callers send.
CHECKS: tuple[Callable[[histories.SidecarHistory], _Findings], ...] = (
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
    """Return the results of all checks."""
    results = []
    for check in CHECKS:
        findings = list(check(history))
        violations = tuple(
            finding for finding in findings if finding is not None
        )
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
    """Return whether a node or the store had a fault in a time span.

    A fault counts until the node has had time to reconnect.
    """
    return any(
        fault.begin < end and begin < fault.end + _RECONNECT_TIME
        for fault in history.faults
        if fault.kind in _DISTURBING_FAULTS and fault.node in (node, -1)
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


_DISTURBING_FAULTS = frozenset({"kill", "pause", "store"})
