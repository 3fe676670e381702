"""Checks of the requirements in section 1 of the design page."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import math
from typing import Any

from cyclamenwell.soak import bounds as times
from cyclamenwell.soak import history as histories
from cyclamenwell.standin import target as targets

__all__ = ["CheckResult", "Violation", "run_checks"]

_Outcome = histories.Outcome
_SHED = "shed"
_COMPLETE = "complete"
# A trace holds the faults of this time before the violation.
_TRACE_WINDOW_MS = 12_000.0
_MAX_TRACES = 20
_WARM_UP_RUNS = 100  # Successes after which admission counts as warmed up.
_BURST_SLACK = 1.0  # Tokens are rounded to whole requests.
# Kinds of failure that a stop can cause. A passed deadline is not among them,
# as it indicates overload.
_CUT_OFF_KINDS = ("incomplete-answer", "internal", "cancelled")
# "relay": a relay accepted a connection although its node had just closed the
# port.
_DISTURBING_FAULTS = ("kill", "pause", "links", "stop", "relay")
_EXIT_OK = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a requirement.

    Parameters
    ----------
    message : str
        What was observed.
    trace : dict of str to object
        Related records.
    """

    message: str
    trace: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of one check.

    Parameters
    ----------
    number : str
        Number of the requirement, empty for a check without one.
    name : str
        Short name.
    examined : int
        Number of items that the check examined.
    violations : int
        Number of items that violate the requirement.
    allowed : int
        Number of items that pass only due to an exception in the design page.
    traces : tuple of Violation
        The first violations.
    """

    number: str
    name: str
    examined: int
    violations: int
    allowed: int
    traces: tuple[Violation, ...]


class _Findings:
    """Collects the findings of one check."""

    def __init__(self) -> None:
        self.examined = 0
        self.allowed = 0
        self.violations: list[Violation] = []

    def add_violation(self, message: str, trace: dict[str, Any]) -> None:
        self.violations.append(Violation(message, trace))


class _HistoryIndex:
    """Indexes the records of a history."""

    def __init__(self, history: histories.History) -> None:
        self.history = history
        self.bounds = times.Bounds(history)
        self.calls = {call.request_id: call for call in history.calls}
        # A request that the target shed has not run.
        self.ran = [run for run in history.runs if run.result != _SHED]
        self.runs_by_request = _group(history.runs, lambda run: run.request_id)
        self.runs_at_target = _group(self.ran, lambda run: run.target)
        self.lives_by_instance = _group(
            history.lives, lambda life: life.instance
        )
        self.versions_by_document = _group(
            history.publications, lambda publication: publication.name
        )

    def trace(
        self, *items: Any, at: float, request_id: str = ""
    ) -> dict[str, Any]:
        """Return the records that help to explain a violation."""
        history = self.history
        call = self.calls.get(request_id)
        instances = {
            run.target for run in self.runs_by_request.get(request_id, ())
        }
        return {
            "at_ms": at,
            "items": [_describe(item) for item in items],
            "call": None if call is None else _describe(call),
            "runs": [
                _describe(run)
                for run in self.runs_by_request.get(request_id, ())
            ],
            "faults": [
                _describe(fault)
                for fault in history.faults
                if fault.overlaps(at - _TRACE_WINDOW_MS, at)
            ],
            "nodes": [
                _describe(life)
                for name in sorted(instances)
                for life in self.lives_by_instance.get(name, ())
            ],
        }


def run_checks(history: histories.History) -> tuple[CheckResult, ...]:
    """Return the results of all checks."""
    index = _HistoryIndex(history)
    return tuple(
        _run(check, number, name, index) for number, name, check in _CHECKS
    )


def _run(
    check: Callable[[_HistoryIndex, _Findings], None],
    number: str,
    name: str,
    index: _HistoryIndex,
) -> CheckResult:
    findings = _Findings()
    check(index, findings)
    return CheckResult(
        number,
        name,
        findings.examined,
        len(findings.violations),
        findings.allowed,
        tuple(findings.violations[:_MAX_TRACES]),
    )


def _check_retries(index: _HistoryIndex, findings: _Findings) -> None:
    """Count the attempts of each request that reached targets of a service."""
    counts = collections.Counter(
        (run.request_id, run.service) for run in index.history.runs
    )
    max_attempts = 1 + index.history.retries
    for (request_id, service), count in counts.items():
        findings.examined += 1
        if count > max_attempts:
            first = index.runs_by_request[request_id][0]
            findings.add_violation(
                f"request {request_id} reached targets of {service} {count} "
                f"times, at most {max_attempts} are allowed",
                index.trace(at=first.end, request_id=request_id),
            )


def _check_organisation(index: _HistoryIndex, findings: _Findings) -> None:
    for run in index.history.runs:
        call = index.calls.get(run.request_id)
        if call is None:
            continue
        findings.examined += 1
        expected = "" if call.open_to_all else call.organisation
        if run.organisation != expected:
            findings.add_violation(
                f"call {run.request_id} of {expected!r} ran for "
                f"{run.organisation!r}",
                index.trace(run, at=run.start, request_id=run.request_id),
            )
    for call in index.history.calls:
        expected = "" if call.open_to_all else call.organisation
        findings.examined += len(call.answered_for)
        if any(name != expected for name in call.answered_for):
            findings.add_violation(
                f"the answer to call {call.request_id} of {expected!r} was "
                f"made for {call.answered_for}",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_key_exposure(index: _HistoryIndex, findings: _Findings) -> None:
    for run in index.history.runs:
        findings.examined += 1
        if run.saw_key:
            findings.add_violation(
                f"target {run.target} received a caller's key",
                index.trace(run, at=run.start, request_id=run.request_id),
            )
    findings.examined += index.history.peer_chunks
    for link in index.history.peer_leaks:
        findings.add_violation(f"a key was sent between nodes: {link}", {})


def _check_withdrawn_keys(index: _HistoryIndex, findings: _Findings) -> None:
    withdrawn = _find_withdrawals(index.history.publications)
    find_deadline = functools.cache(
        lambda at, instance: index.bounds.find_deadline(
            at,
            instance,
            times.PROPAGATION_MS + times.MAX_VIEW_AGE_MS,
            keyed=True,
        )
    )
    findings.examined += sum(
        call.sent > withdrawn.get(call.key, math.inf)
        for call in index.history.calls
    )
    for run in index.ran:
        call = index.calls.get(run.request_id)
        if call is None or call.open_to_all or call.key not in withdrawn:
            continue
        at = withdrawn[call.key]
        if run.start < at:
            continue
        strict, allowed = find_deadline(at, run.target)
        if run.start <= strict:
            continue
        if run.start <= allowed or index.bounds.was_recently_paused(
            run.target, run.start
        ):
            findings.allowed += 1
            continue
        findings.add_violation(
            f"call {run.request_id} ran {run.start - at:.0f} ms after its key "
            "was withdrawn",
            index.trace(run, at=run.start, request_id=run.request_id),
        )


def _find_withdrawals(
    publications: Iterable[histories.Publication],
) -> dict[str, float]:
    """Return the time at which each withdrawn key was removed."""
    known: dict[str, tuple[str, ...]] = {}
    withdrawn = {}
    for publication in publications:
        for key in known.get(publication.name, ()):
            if key not in publication.keys:
                withdrawn[key] = publication.at
        known[publication.name] = publication.keys
    return withdrawn


def _check_rates(index: _HistoryIndex, findings: _Findings) -> None:
    runs = _group(
        (run for run in index.ran if run.organisation),
        lambda run: (run.service, run.organisation),
    )
    for (service, organisation), group_runs in runs.items():
        findings.examined += len(group_runs)
        _check_rate(index, findings, service, organisation, group_runs)


def _check_rate(
    index: _HistoryIndex,
    findings: _Findings,
    service: str,
    organisation: str,
    runs: list[targets.RunRecord],
) -> None:
    """Check a rate limit in all windows that begin and end with a run.

    Notes
    -----
    With A(t) the tokens that the rate has added to the token bucket until t,
    the window from run i to run j exceeds the limit if
    (j - i + 1) > A(t_j) - A(t_i - wait) + burst. The wait is needed as a call
    takes its token before it waits in the admission queue.
    """
    tokens = _TokenSupply(index, service, organisation)
    burst = index.history.bursts[organisation] + _BURST_SLACK
    runs.sort(key=lambda run: run.start)
    lowest, first = math.inf, runs[0]
    exempt = 0
    worst: tuple[float, targets.RunRecord, targets.RunRecord] | None = None
    for number, run in enumerate(runs):
        # The call may have taken its token before the pause.
        if index.bounds.was_recently_paused(run.target, run.start):
            exempt += 1
            findings.allowed += 1
        counted = number - exempt
        stalled = index.bounds.sum_stalls(
            run.start - times.PROPAGATION_MS, run.start, run.target
        )
        begin = tokens.count(run.start - times.QUEUE_WAIT_MS - stalled)
        if counted - begin < lowest:
            lowest, first = counted - begin, run
        excess = counted + 1 - tokens.count(run.start) - lowest - burst
        if excess > 0 and (worst is None or excess > worst[0]):
            worst = (excess, first, run)
    if worst is None:
        return
    excess, first, last = worst
    count = sum(first.start <= run.start <= last.start for run in runs)
    length = (last.start - first.start) / 1000
    findings.add_violation(
        f"{organisation} ran {count} calls of {service} within {length:.2f} s, "
        f"{excess:.1f} more than rate and burst {burst - _BURST_SLACK:g} allow",
        index.trace(
            *index.versions_by_document.get(f"service/{service}", ()),
            at=last.start,
            request_id=last.request_id,
        ),
    )


class _TokenSupply:
    """Tokens that the rates in effect add to a token bucket over time."""

    def __init__(
        self, index: _HistoryIndex, service: str, organisation: str
    ) -> None:
        spans = self._build_spans(index, service, organisation)
        points = sorted({0.0, *(edge for span in spans for edge in span[:2])})
        self._points = [point for point in points if point < math.inf]
        # The higher rate applies while either of two versions may be in effect.
        self._rates = [
            max(
                (rate for begin, end, rate in spans if begin <= point < end),
                default=0.0,
            )
            for point in self._points
        ]
        self._totals = [0.0]
        for number in range(1, len(self._points)):
            length = self._points[number] - self._points[number - 1]
            gained = length * self._rates[number - 1] / 1000
            self._totals.append(self._totals[-1] + gained)

    def count(self, at: float) -> float:
        """Return the tokens added until a time."""
        number = max(bisect.bisect_right(self._points, at) - 1, 0)
        since = at - self._points[number]
        return self._totals[number] + since * self._rates[number] / 1000

    def _build_spans(
        self, index: _HistoryIndex, service: str, organisation: str
    ) -> list[tuple[float, float, float]]:
        versions = index.versions_by_document.get(f"service/{service}", [])
        instances = {
            life.instance
            for life in index.history.lives
            if life.service == service
        }
        spans = []
        for publication, following in zip(
            versions, [*versions[1:], None], strict=True
        ):
            end = math.inf
            if following is not None:
                end = max(
                    index.bounds.find_deadline(
                        following.at, name, times.PROPAGATION_MS
                    )[1]
                    for name in instances
                )
            spans.append(
                (publication.at, end, publication.rates.get(organisation, 0.0))
            )
        return spans


def _check_cold(index: _HistoryIndex, findings: _Findings) -> None:
    """Compare the concurrency at a target with its admission limit.

    Notes
    -----
    Admission control raises the concurrency limit only on success, so the
    concurrency never exceeds the cold limit plus the successes so far. A
    target learns later than its node that a caller has disconnected, so only
    complete runs of calls whose caller waited for the answer are counted.
    """
    limit = index.history.cold_limit
    for life in index.history.lives:
        runs = [
            run
            for run in index.runs_at_target.get(life.instance, ())
            if run.result == _COMPLETE
            and life.started <= run.start < life.ended
            and _was_waited_for(index, run)
        ]
        runs.sort(key=lambda run: run.start)
        for number, run in enumerate(runs[:_WARM_UP_RUNS]):
            before = runs[:number]
            completed = sum(earlier.end <= run.start for earlier in before)
            at_once = number - completed + 1
            findings.examined += 1
            if at_once > limit + completed:
                findings.add_violation(
                    f"target {run.target} ran {at_once} requests at once after "
                    f"{completed} successes, its cold limit is {limit}",
                    index.trace(
                        life, run, at=run.start, request_id=run.request_id
                    ),
                )


def _was_waited_for(index: _HistoryIndex, run: targets.RunRecord) -> bool:
    call = index.calls.get(run.request_id)
    return call is not None and call.outcome in (
        _Outcome.WHOLE,
        _Outcome.FAILED,
    )


def _check_data_centres(index: _HistoryIndex, findings: _Findings) -> None:
    versions = index.versions_by_document.get("fleet", [])
    places = {life.instance: life.data_centre for life in index.history.lives}
    find_deadline = functools.cache(index.bounds.find_deadline)
    for run in index.ran:
        data_centre = places.get(run.target)
        findings.examined += _is_any_out(versions, run.start)
        out_at = _find_out_since(versions, data_centre, run.start)
        if out_at is None:
            continue
        call = index.calls.get(run.request_id)
        keyed = call is not None and not call.open_to_all
        strict, allowed = find_deadline(
            out_at, run.target, times.PROPAGATION_MS + times.QUEUE_WAIT_MS
        )
        if run.start <= strict:
            continue
        if keyed:
            # A node that is cut off from all others refuses calls with a key.
            _, allowed = find_deadline(
                out_at,
                run.target,
                times.PROPAGATION_MS + times.MAX_VIEW_AGE_MS,
                keyed=True,
            )
        was_paused = index.bounds.was_recently_paused(run.target, run.start)
        disturbed = _was_disturbed(index, run, out_at)
        if was_paused or (disturbed and run.start <= allowed):
            findings.allowed += 1
            continue
        findings.add_violation(
            f"target {run.target} received call {run.request_id} "
            f"{run.start - out_at:.0f} ms after {data_centre} was taken out",
            index.trace(run, at=run.start, request_id=run.request_id),
        )


def _was_disturbed(
    index: _HistoryIndex, run: targets.RunRecord, since: float
) -> bool:
    """Return whether a target's node was paused or cut off before a run."""
    return any(
        run.target in fault.subjects
        and (fault.kind == "pause" or fault.whole_side)
        and fault.overlaps(since, run.start)
        for fault in index.history.faults
    )


def _is_any_out(versions: list[histories.Publication], at: float) -> bool:
    """Return whether any data centre must not get new calls at a time."""
    return any(
        _find_out_since(versions, name, at - times.PROPAGATION_MS) is not None
        for name in {
            name for publication in versions for name in publication.out
        }
    )


def _find_out_since(
    versions: list[histories.Publication],
    data_centre: str | None,
    at: float,
) -> float | None:
    """Return since when a data centre is out at a time, None if it is in."""
    since = None
    for publication in versions:
        if publication.at > at:
            break
        if data_centre not in publication.out:
            since = None
        elif since is None:
            since = publication.at
    return since


def _check_leaving(index: _HistoryIndex, findings: _Findings) -> None:
    for life in index.history.lives:
        if life.stop_sent == math.inf:
            continue
        latest = life.stop_sent + times.LEAVING_MS + times.QUEUE_WAIT_MS
        latest += index.bounds.sum_stalls(life.stop_sent, latest, life.instance)
        findings.examined += sum(
            run.service == life.service and latest < run.start < life.ended
            for run in index.ran
        )
        for run in index.runs_at_target.get(life.instance, ()):
            if not life.stop_sent < run.start < life.ended:
                continue
            if run.start > latest:
                findings.add_violation(
                    f"target {run.target} received call {run.request_id} "
                    f"{run.start - life.stop_sent:.0f} ms after its node "
                    "began to leave",
                    index.trace(
                        life, run, at=run.start, request_id=run.request_id
                    ),
                )


def _check_own_answer(index: _HistoryIndex, findings: _Findings) -> None:
    calls_by_number = _group(index.history.calls, lambda call: call.call)
    for call in index.history.calls:
        if call.outcome != _Outcome.WHOLE:
            continue
        findings.examined += 1
        expected = {call.request_id}
        if call.idempotency_key:
            # A repeated request may get the stored answer to an earlier one.
            expected = {
                sibling.request_id for sibling in calls_by_number[call.call]
            }
        if call.echo not in expected:
            findings.add_violation(
                f"call {call.request_id} got the answer to {call.echo!r}",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_not_run(index: _HistoryIndex, findings: _Findings) -> None:
    ran = _group(index.ran, lambda run: run.request_id)
    for call in index.history.calls:
        if call.outcome not in (_Outcome.NOT_RUN, _Outcome.UNSENT):
            continue
        findings.examined += 1
        if call.request_id in ran:
            findings.add_violation(
                f"call {call.request_id} was refused with {call.kind} as not "
                "run, but a target ran it",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_at_most_once(index: _HistoryIndex, findings: _Findings) -> None:
    keyed = (run for run in index.ran if run.idempotency_key)
    for key, runs in _group(keyed, lambda run: run.idempotency_key).items():
        findings.examined += 1
        if len(runs) > 1:
            calls = [
                call
                for call in index.history.calls
                if call.idempotency_key == key
            ]
            findings.add_violation(
                f"the request with idempotency key {key} ran {len(runs)} times",
                index.trace(
                    *calls,
                    *runs,
                    at=max(run.start for run in runs),
                    request_id=runs[0].request_id,
                ),
            )


def _check_stops(index: _HistoryIndex, findings: _Findings) -> None:
    for life in index.history.lives:
        if life.stop_sent == math.inf:
            continue
        findings.examined += 1
        if life.status != _EXIT_OK:
            findings.add_violation(
                f"node {life.instance} exited with status {life.status}",
                index.trace(life, at=life.stop_sent),
            )
        for call in index.history.calls:
            overlaps_stop = (
                call.sent <= life.ended and call.ended >= life.stop_sent
            )
            if not overlaps_stop or _may_be_cut_off(index, life, call):
                continue
            findings.examined += 1
            if _was_cut_off(call):
                findings.add_violation(
                    f"call {call.request_id} ended as {call.outcome} "
                    f"{call.kind} while node {life.instance} was stopping",
                    index.trace(
                        life, at=call.ended, request_id=call.request_id
                    ),
                )


def _may_be_cut_off(
    index: _HistoryIndex, life: histories.NodeLife, call: histories.CallRecord
) -> bool:
    """Return whether something other than a stop may have cut a call off.

    Notes
    -----
    An entry node answers its calls before it stops, whatever happens
    elsewhere.
    """
    if index.bounds.sum_stalls(call.sent, call.ended, call.entry):
        return True
    is_entry = call.entry == life.instance
    answered = call.outcome not in (_Outcome.BROKEN, _Outcome.TIMEOUT)
    if is_entry and not (answered and _was_cut_off(call)):
        return index.bounds.was_recently_paused(call.entry, call.sent)
    return any(
        fault.kind in _DISTURBING_FAULTS
        and not (fault.kind == "stop" and life.instance in fault.subjects)
        and fault.overlaps(call.sent - times.RESUME_MS, call.ended)
        for fault in index.history.faults
    )


def _was_cut_off(call: histories.CallRecord) -> bool:
    if call.outcome in (_Outcome.BROKEN, _Outcome.TIMEOUT):
        return True
    # The kind of a failure at a nested service ends with " at " and its name.
    kind, _, _ = call.kind.partition(" at ")
    return call.outcome != _Outcome.NOT_RUN and kind in _CUT_OFF_KINDS


def _check_propagation(index: _HistoryIndex, findings: _Findings) -> None:
    find_deadline = functools.cache(index.bounds.find_deadline)
    for poll in index.history.polls:
        if poll.state != "serving":
            continue
        for name, versions in index.versions_by_document.items():
            # Versions that were published before the poll.
            older = [
                publication
                for publication in versions
                if publication.at < poll.at
            ]
            if not older:
                continue
            findings.examined += 1
            held = poll.versions.get(name, 0)
            missing = [
                publication
                for publication in older
                if publication.version > held
            ]
            if not missing:
                continue
            strict, allowed = find_deadline(
                missing[0].at, poll.instance, times.PROPAGATION_MS
            )
            if poll.at <= strict:
                continue
            if poll.at <= allowed:
                findings.allowed += 1
                continue
            findings.add_violation(
                f"node {poll.instance} still had version {held} of {name} "
                f"{poll.at - missing[0].at:.0f} ms after version "
                f"{missing[0].version} was published",
                index.trace(
                    poll,
                    missing[0],
                    *index.lives_by_instance.get(poll.instance, ()),
                    at=poll.at,
                ),
            )


def _check_version_order(index: _HistoryIndex, findings: _Findings) -> None:
    highest: dict[tuple[str, int], dict[str, int]] = {}
    for poll in index.history.polls:
        process = (poll.instance, poll.incarnation)
        known = highest.setdefault(process, {})
        for name in {*known, *poll.versions}:
            findings.examined += 1
            version = poll.versions.get(name, 0)
            if version < known.get(name, 0):
                findings.add_violation(
                    f"node {poll.instance} reverted from version "
                    f"{known[name]} to {version} of {name}",
                    index.trace(poll, at=poll.at),
                )
            known[name] = max(version, known.get(name, 0))


def _check_errors(index: _HistoryIndex, findings: _Findings) -> None:
    findings.examined += len(index.history.lives)
    for error in index.history.errors:
        findings.add_violation(error, {})


def _group(items: Iterable[Any], key: Callable[[Any], Any]) -> dict:
    grouped: dict[Any, list[Any]] = {}
    for item in items:
        grouped.setdefault(key(item), []).append(item)
    return grouped


def _describe(item: Any) -> dict[str, Any]:
    return {"record": type(item).__name__, **dataclasses.asdict(item)}


_CHECKS = (
    ("1", "retries bounded", _check_retries),
    ("3", "organisation of the key only", _check_organisation),
    ("4", "no key at targets and peers", _check_key_exposure),
    ("5", "withdrawn keys stop", _check_withdrawn_keys),
    ("6", "rate and burst", _check_rates),
    ("7", "cold limit of a new gate", _check_cold),
    ("8", "data centre out", _check_data_centres),
    ("9", "own whole answer", _check_own_answer),
    ("10", "not-run is true", _check_not_run),
    ("11", "at most one run", _check_at_most_once),
    ("12", "leaving target", _check_leaving),
    ("13", "graceful stops", _check_stops),
    ("14", "configuration in force", _check_propagation),
    ("14", "versions never go down", _check_version_order),
    ("", "no unexpected errors", _check_errors),
)
