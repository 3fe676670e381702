"""Checks of the requirements of the design page, section 1."""

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
_TRACE_MS = 12_000.0  # Faults this long before a violation are in its trace.
_MAX_TRACES = 20
_WARM_RUNS = 100  # Successes after which a gate counts as warmed up.
_BURST_SLACK = 1.0  # Rounding of tokens to whole requests.
# What a stop could do to a call; an unfinished deadline shows overload.
_CUT_KINDS = ("incomplete-answer", "internal", "cancelled")
# A relay takes a connection for a node that has just closed its port.
_DISTURBING = ("kill", "pause", "links", "stop", "relay")
_EXIT_OK = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A requirement that did not hold.

    Parameters
    ----------
    message : str
        What was seen.
    trace : dict of str to object
        Records around it.
    """

    message: str
    trace: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of one check.

    Parameters
    ----------
    number : str
        Number of the requirement, empty for a check beyond these.
    name : str
        Short name.
    looked : int
        Items that the check looked at.
    violations : int
        Items that violate the requirement.
    allowed : int
        Items that only an allowance of the design page covers.
    traces : tuple of Violation
        The first violations.
    """

    number: str
    name: str
    looked: int
    violations: int
    allowed: int
    traces: tuple[Violation, ...]


class _Tally:
    """Counts what a check looks at."""

    def __init__(self) -> None:
        self.looked = 0
        self.allowed = 0
        self.violations: list[Violation] = []

    def fail(self, message: str, trace: dict[str, Any]) -> None:
        self.violations.append(Violation(message, trace))


class _Index:
    """Look-ups in a history."""

    def __init__(self, history: histories.History) -> None:
        self.history = history
        self.bounds = times.Bounds(history)
        self.calls = {call.request_id: call for call in history.calls}
        # A target that sheds has run nothing.
        self.ran = [run for run in history.runs if run.result != _SHED]
        self.runs_of = _group(history.runs, lambda run: run.request_id)
        self.at_target = _group(self.ran, lambda run: run.target)
        self.lives_of = _group(history.lives, lambda life: life.instance)
        self.versions_of = _group(history.publications, lambda p: p.name)

    def trace(
        self, *items: Any, at: float, request_id: str = ""
    ) -> dict[str, Any]:
        """Return records that help to find the cause of a violation."""
        history = self.history
        call = self.calls.get(request_id)
        instances = {run.target for run in self.runs_of.get(request_id, ())}
        return {
            "at_ms": at,
            "items": [_describe(item) for item in items],
            "call": None if call is None else _describe(call),
            "runs": [_describe(r) for r in self.runs_of.get(request_id, ())],
            "faults": [
                _describe(fault)
                for fault in history.faults
                if fault.overlaps(at - _TRACE_MS, at)
            ],
            "nodes": [
                _describe(life)
                for name in sorted(instances)
                for life in self.lives_of.get(name, ())
            ],
        }


def run_checks(history: histories.History) -> tuple[CheckResult, ...]:
    """Return the results of all checks."""
    index = _Index(history)
    return tuple(
        _run(check, number, name, index) for number, name, check in _CHECKS
    )


def _run(
    check: Callable[[_Index, _Tally], None],
    number: str,
    name: str,
    index: _Index,
) -> CheckResult:
    tally = _Tally()
    check(index, tally)
    return CheckResult(
        number,
        name,
        tally.looked,
        len(tally.violations),
        tally.allowed,
        tuple(tally.violations[:_MAX_TRACES]),
    )


def _check_retries(index: _Index, tally: _Tally) -> None:
    """Count what reached targets for one sending of a call at one service."""
    counts = collections.Counter(
        (run.request_id, run.service) for run in index.history.runs
    )
    most = 1 + index.history.retries
    for (request_id, service), count in counts.items():
        tally.looked += 1
        if count > most:
            first = index.runs_of[request_id][0]
            tally.fail(
                f"call {request_id} reached targets of {service} {count} "
                f"times, at most {most} are allowed",
                index.trace(at=first.end, request_id=request_id),
            )


def _check_organisation(index: _Index, tally: _Tally) -> None:
    for run in index.history.runs:
        call = index.calls.get(run.request_id)
        if call is None:
            continue
        tally.looked += 1
        expected = "" if call.open_to_all else call.organisation
        if run.organisation != expected:
            tally.fail(
                f"call {run.request_id} of {expected!r} ran for "
                f"{run.organisation!r}",
                index.trace(run, at=run.start, request_id=run.request_id),
            )
    for call in index.history.calls:
        expected = "" if call.open_to_all else call.organisation
        tally.looked += len(call.answered_for)
        if any(one != expected for one in call.answered_for):
            tally.fail(
                f"the answer to call {call.request_id} of {expected!r} was "
                f"made for {call.answered_for}",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_secrecy(index: _Index, tally: _Tally) -> None:
    for run in index.history.runs:
        tally.looked += 1
        if run.saw_key:
            tally.fail(
                f"target {run.target} saw a caller's key",
                index.trace(run, at=run.start, request_id=run.request_id),
            )
    tally.looked += index.history.peer_chunks
    for link in index.history.peer_leaks:
        tally.fail(f"a key went from node to node: {link}", {})


def _check_withdrawn_keys(index: _Index, tally: _Tally) -> None:
    withdrawn = _find_withdrawals(index.history.publications)
    find = functools.cache(
        lambda at, instance: index.bounds.find_deadline(
            at,
            instance,
            times.IN_FORCE_MS + times.MAX_VIEW_AGE_MS,
            keyed=True,
        )
    )
    tally.looked += sum(
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
        strict, allowed = find(at, run.target)
        if run.start <= strict:
            continue
        if run.start <= allowed or index.bounds.just_woke(
            run.target, run.start
        ):
            tally.allowed += 1
            continue
        tally.fail(
            f"call {run.request_id} ran {run.start - at:.0f} ms after its key "
            "was withdrawn",
            index.trace(run, at=run.start, request_id=run.request_id),
        )


def _find_withdrawals(
    publications: Iterable[histories.Publication],
) -> dict[str, float]:
    """Return the time at which each withdrawn key left its document."""
    known: dict[str, tuple[str, ...]] = {}
    withdrawn = {}
    for one in publications:
        for key in known.get(one.name, ()):
            if key not in one.keys:
                withdrawn[key] = one.at
        known[one.name] = one.keys
    return withdrawn


def _check_rates(index: _Index, tally: _Tally) -> None:
    runs = _group(
        (run for run in index.ran if run.organisation),
        lambda run: (run.service, run.organisation),
    )
    for (service, organisation), found in runs.items():
        tally.looked += len(found)
        _check_rate(index, tally, service, organisation, found)


def _check_rate(
    index: _Index,
    tally: _Tally,
    service: str,
    organisation: str,
    runs: list[targets.RunRecord],
) -> None:
    """Check all windows that begin and end with a run.

    Notes
    -----
    With A(t) the tokens that the rate gives until t, the window from run i to
    run j is too full if (j - i + 1) > A(t_j) - A(t_i - wait) + burst. A call
    takes its token before it waits at the gate, hence the wait.
    """
    tokens = _Tokens(index, service, organisation)
    burst = index.history.bursts[organisation] + _BURST_SLACK
    runs.sort(key=lambda run: run.start)
    lowest, first = math.inf, runs[0]
    woken = 0
    worst: tuple[float, targets.RunRecord, targets.RunRecord] | None = None
    for number, run in enumerate(runs):
        # Its token may be as old as the pause.
        if index.bounds.just_woke(run.target, run.start):
            woken += 1
            tally.allowed += 1
        counted = number - woken
        stalled = index.bounds.sum_stalls(
            run.start - times.IN_FORCE_MS, run.start, run.target
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
    tally.fail(
        f"{organisation} ran {count} calls of {service} within {length:.2f} s, "
        f"{excess:.1f} more than rate and burst {burst - _BURST_SLACK:g} allow",
        index.trace(
            *index.versions_of.get(f"service/{service}", ()),
            at=last.start,
            request_id=last.request_id,
        ),
    )


class _Tokens:
    """Tokens that the rates in force give until a time."""

    def __init__(self, index: _Index, service: str, organisation: str) -> None:
        spans = self._build_spans(index, service, organisation)
        points = sorted({0.0, *(edge for span in spans for edge in span[:2])})
        self._points = [point for point in points if point < math.inf]
        # The higher rate counts while two versions may be in force.
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
        """Return the tokens until a time."""
        number = max(bisect.bisect_right(self._points, at) - 1, 0)
        since = at - self._points[number]
        return self._totals[number] + since * self._rates[number] / 1000

    def _build_spans(
        self, index: _Index, service: str, organisation: str
    ) -> list[tuple[float, float, float]]:
        versions = index.versions_of.get(f"service/{service}", [])
        instances = {
            life.instance
            for life in index.history.lives
            if life.service == service
        }
        spans = []
        for one, following in zip(versions, [*versions[1:], None], strict=True):
            end = math.inf
            if following is not None:
                end = max(
                    index.bounds.find_deadline(
                        following.at, name, times.IN_FORCE_MS
                    )[1]
                    for name in instances
                )
            spans.append((one.at, end, one.rates.get(organisation, 0.0)))
        return spans


def _check_cold(index: _Index, tally: _Tally) -> None:
    """Compare requests at once at a target with what its gate may admit.

    Notes
    -----
    A gate raises its limit on success only, so there are never more requests
    at once than the cold limit and the successes so far. The target learns
    later than its node of callers that went away, so only complete runs of
    calls that were waited for are counted.
    """
    limit = index.history.cold_limit
    for life in index.history.lives:
        runs = [
            run
            for run in index.at_target.get(life.instance, ())
            if run.result == _COMPLETE
            and life.started <= run.start < life.ended
            and _was_waited_for(index, run)
        ]
        runs.sort(key=lambda run: run.start)
        for number, run in enumerate(runs[:_WARM_RUNS]):
            before = runs[:number]
            done = sum(one.end <= run.start for one in before)
            at_once = number - done + 1
            tally.looked += 1
            if at_once > limit + done:
                tally.fail(
                    f"target {run.target} had {at_once} requests at once after "
                    f"{done} successes, its cold limit is {limit}",
                    index.trace(
                        life, run, at=run.start, request_id=run.request_id
                    ),
                )


def _was_waited_for(index: _Index, run: targets.RunRecord) -> bool:
    call = index.calls.get(run.request_id)
    return call is not None and call.outcome in (
        _Outcome.WHOLE,
        _Outcome.FAILED,
    )


def _check_data_centres(index: _Index, tally: _Tally) -> None:
    versions = index.versions_of.get("fleet", [])
    places = {life.instance: life.data_centre for life in index.history.lives}
    find = functools.cache(index.bounds.find_deadline)
    for run in index.ran:
        data_centre = places.get(run.target)
        tally.looked += _is_any_out(versions, run.start)
        out_at = _find_out_since(versions, data_centre, run.start)
        if out_at is None:
            continue
        call = index.calls.get(run.request_id)
        keyed = call is not None and not call.open_to_all
        strict, allowed = find(
            out_at, run.target, times.IN_FORCE_MS + times.QUEUE_WAIT_MS
        )
        if run.start <= strict:
            continue
        if keyed:
            # A node that is cut off alone refuses keyed calls by itself.
            _, allowed = find(
                out_at,
                run.target,
                times.IN_FORCE_MS + times.MAX_VIEW_AGE_MS,
                keyed=True,
            )
        woke = index.bounds.just_woke(run.target, run.start)
        disturbed = _was_disturbed(index, run, out_at)
        if woke or (disturbed and run.start <= allowed):
            tally.allowed += 1
            continue
        tally.fail(
            f"target {run.target} got call {run.request_id} "
            f"{run.start - out_at:.0f} ms after {data_centre} was taken out",
            index.trace(run, at=run.start, request_id=run.request_id),
        )


def _was_disturbed(index: _Index, run: targets.RunRecord, since: float) -> bool:
    """Return whether the node of a target was paused or cut off."""
    return any(
        run.target in fault.subjects
        and (fault.kind == "pause" or fault.whole_side)
        and fault.overlaps(since, run.start)
        for fault in index.history.faults
    )


def _is_any_out(versions: list[histories.Publication], at: float) -> bool:
    """Return whether a data centre has to be without new work at a time."""
    return any(
        _find_out_since(versions, name, at - times.IN_FORCE_MS) is not None
        for name in {name for one in versions for name in one.out}
    )


def _find_out_since(
    versions: list[histories.Publication],
    data_centre: str | None,
    at: float,
) -> float | None:
    """Return since when a data centre is out at a time, None if it is in."""
    since = None
    for one in versions:
        if one.at > at:
            break
        if data_centre not in one.out:
            since = None
        elif since is None:
            since = one.at
    return since


def _check_leaving(index: _Index, tally: _Tally) -> None:
    for life in index.history.lives:
        if life.stop_sent == math.inf:
            continue
        latest = life.stop_sent + times.LEAVING_MS + times.QUEUE_WAIT_MS
        latest += index.bounds.sum_stalls(life.stop_sent, latest, life.instance)
        tally.looked += sum(
            run.service == life.service and latest < run.start < life.ended
            for run in index.ran
        )
        for run in index.at_target.get(life.instance, ()):
            if not life.stop_sent < run.start < life.ended:
                continue
            if run.start > latest:
                tally.fail(
                    f"target {run.target} got call {run.request_id} "
                    f"{run.start - life.stop_sent:.0f} ms after its node "
                    "began to leave",
                    index.trace(
                        life, run, at=run.start, request_id=run.request_id
                    ),
                )


def _check_own_answer(index: _Index, tally: _Tally) -> None:
    own = _group(index.history.calls, lambda call: call.call)
    for call in index.history.calls:
        if call.outcome != _Outcome.WHOLE:
            continue
        tally.looked += 1
        expected = {call.request_id}
        if call.idempotency_key:
            # A repeated request gets the kept answer of an earlier one.
            expected = {one.request_id for one in own[call.call]}
        if call.echo not in expected:
            tally.fail(
                f"call {call.request_id} got the answer to {call.echo!r}",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_not_run(index: _Index, tally: _Tally) -> None:
    ran = _group(index.ran, lambda run: run.request_id)
    for call in index.history.calls:
        if call.outcome not in (_Outcome.NOT_RUN, _Outcome.UNSENT):
            continue
        tally.looked += 1
        if call.request_id in ran:
            tally.fail(
                f"call {call.request_id} was refused as {call.kind} and not "
                "run, but it ran",
                index.trace(at=call.ended, request_id=call.request_id),
            )


def _check_at_most_once(index: _Index, tally: _Tally) -> None:
    keyed = (run for run in index.ran if run.idempotency_key)
    for key, runs in _group(keyed, lambda run: run.idempotency_key).items():
        tally.looked += 1
        if len(runs) > 1:
            calls = [
                call
                for call in index.history.calls
                if call.idempotency_key == key
            ]
            tally.fail(
                f"the request with idempotency key {key} ran {len(runs)} times",
                index.trace(
                    *calls,
                    *runs,
                    at=max(run.start for run in runs),
                    request_id=runs[0].request_id,
                ),
            )


def _check_stops(index: _Index, tally: _Tally) -> None:
    for life in index.history.lives:
        if life.stop_sent == math.inf:
            continue
        tally.looked += 1
        if life.status != _EXIT_OK:
            tally.fail(
                f"node {life.instance} ended with status {life.status}",
                index.trace(life, at=life.stop_sent),
            )
        for call in index.history.calls:
            during = call.sent <= life.ended and call.ended >= life.stop_sent
            if not during or _may_be_cut(index, life, call):
                continue
            tally.looked += 1
            if _was_cut(call):
                tally.fail(
                    f"call {call.request_id} ended as {call.outcome} "
                    f"{call.kind} while node {life.instance} stopped",
                    index.trace(
                        life, at=call.ended, request_id=call.request_id
                    ),
                )


def _may_be_cut(
    index: _Index, life: histories.NodeLife, call: histories.CallRecord
) -> bool:
    """Return whether something else can have cut a call.

    Notes
    -----
    The entry node answers before it stops, whatever happens elsewhere.
    """
    if index.bounds.sum_stalls(call.sent, call.ended, call.entry):
        return True
    own = call.entry == life.instance
    answered = call.outcome not in (_Outcome.BROKEN, _Outcome.TIMEOUT)
    if own and not (answered and _was_cut(call)):
        return index.bounds.just_woke(call.entry, call.sent)
    return any(
        fault.kind in _DISTURBING
        and not (fault.kind == "stop" and life.instance in fault.subjects)
        and fault.overlaps(call.sent - times.WAKE_MS, call.ended)
        for fault in index.history.faults
    )


def _was_cut(call: histories.CallRecord) -> bool:
    if call.outcome in (_Outcome.BROKEN, _Outcome.TIMEOUT):
        return True
    # A failure at a deeper service has its name after its kind.
    kind, _, _ = call.kind.partition(" at ")
    return call.outcome != _Outcome.NOT_RUN and kind in _CUT_KINDS


def _check_in_force(index: _Index, tally: _Tally) -> None:
    find = functools.cache(index.bounds.find_deadline)
    for poll in index.history.polls:
        if poll.state != "serving":
            continue
        for name, versions in index.versions_of.items():
            # Published long enough ago for every bound.
            older = [one for one in versions if one.at < poll.at]
            if not older:
                continue
            tally.looked += 1
            held = poll.versions.get(name, 0)
            missing = [one for one in older if one.version > held]
            if not missing:
                continue
            strict, allowed = find(
                missing[0].at, poll.instance, times.IN_FORCE_MS
            )
            if poll.at <= strict:
                continue
            if poll.at <= allowed:
                tally.allowed += 1
                continue
            tally.fail(
                f"node {poll.instance} had version {held} of {name} "
                f"{poll.at - missing[0].at:.0f} ms after version "
                f"{missing[0].version} was published",
                index.trace(
                    poll,
                    missing[0],
                    *index.lives_of.get(poll.instance, ()),
                    at=poll.at,
                ),
            )


def _check_no_reverting(index: _Index, tally: _Tally) -> None:
    highest: dict[tuple[str, int], dict[str, int]] = {}
    for poll in index.history.polls:
        process = (poll.instance, poll.incarnation)
        known = highest.setdefault(process, {})
        for name in {*known, *poll.versions}:
            tally.looked += 1
            version = poll.versions.get(name, 0)
            if version < known.get(name, 0):
                tally.fail(
                    f"node {poll.instance} went back from version "
                    f"{known[name]} to {version} of {name}",
                    index.trace(poll, at=poll.at),
                )
            known[name] = max(version, known.get(name, 0))


def _check_errors(index: _Index, tally: _Tally) -> None:
    tally.looked += len(index.history.lives)
    for error in index.history.errors:
        tally.fail(error, {})


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
    ("4", "no key at targets and peers", _check_secrecy),
    ("5", "withdrawn keys stop", _check_withdrawn_keys),
    ("6", "rate and burst", _check_rates),
    ("7", "cold limit of a new gate", _check_cold),
    ("8", "data centre out", _check_data_centres),
    ("9", "own whole answer", _check_own_answer),
    ("10", "not-run is true", _check_not_run),
    ("11", "at most one run", _check_at_most_once),
    ("12", "leaving target", _check_leaving),
    ("13", "graceful stops", _check_stops),
    ("14", "configuration in force", _check_in_force),
    ("14", "versions never go down", _check_no_reverting),
    ("", "no unexpected errors", _check_errors),
)
