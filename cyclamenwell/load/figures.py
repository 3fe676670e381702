"""Figures of a run, computed from samples of clients and records of targets."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math
from typing import Any

from cyclamenwell import clock
from cyclamenwell.generated import experiments
from cyclamenwell.load import generator
from cyclamenwell.load import plans

__all__ = [
    "Attempt",
    "Figure",
    "Run",
    "compute_entitlements",
    "compute_figures",
    "compute_recovery",
    "compute_window_excess",
    "count_failures",
    "count_refusals_within_rate",
]

_WINDOW = clock.Milliseconds(1_000)
_STEP = clock.Milliseconds(250)
_RECOVERED_PART = 0.95
# The token is taken before the gate's queue, in which a request waits up to
# AdmissionSettings.max_queue_wait; the starts at the target are therefore
# closer together than the tokens by up to this time.
_QUEUE_WAIT = clock.Milliseconds(200)
# Time after which a data centre taken out may get no new work.
_OUT_DELAY = clock.Milliseconds(4_000)
_RATE_LIMITED = "rate-limited"
_MIN_ENTITLED_REQUESTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Parameters
    ----------
    name : str
        Name, as bounds use it.
    phase : str
        Phase, empty for the whole run.
    value : float
        Value; infinite if it was never reached, NaN if there is nothing to
        measure.
    """

    name: str
    phase: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What a run left behind; all times from the start of the load.

    Parameters
    ----------
    experiment : experiments.Experiment
        The experiment.
    samples : tuple of generator.Sample
        Requests of the clients.
    records : tuple of dict
        Records of the targets.
    data_centres : dict of str to str
        Data centre of each target.
    """

    experiment: experiments.Experiment
    samples: tuple[generator.Sample, ...]
    records: tuple[Mapping[str, Any], ...]
    data_centres: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request that a client sent.

    Parameters
    ----------
    at : float
        Time of sending in milliseconds.
    chain : tuple of str
        Services that it needs, in the order of the calls.
    kind : str
        Kind of failure, empty for a whole answer.
    """

    at: float
    chain: tuple[str, ...]
    kind: str


def compute_figures(run: Run) -> tuple[Figure, ...]:
    """Return all figures of a run."""
    found = []
    starts = plans.compute_starts(run.experiment)
    for phase in run.experiment.phases:
        start = starts[phase.name]
        span = (start, start + phase.duration.value)
        for name, value in _compute_phase(run, span).items():
            found.append(Figure(name, phase.name, value))
    for name, value in _compute_whole(run, starts).items():
        found.append(Figure(name, "", value))
    return tuple(found)


def count_failures(run: Run) -> dict[str, collections.Counter[str]]:
    """Return how often each kind of last failure occurred in each phase."""
    counts = {}
    starts = plans.compute_starts(run.experiment)
    for phase in run.experiment.phases:
        start = starts[phase.name]
        arrived = _select(run.samples, (start, start + phase.duration.value))
        counts[phase.name] = collections.Counter(
            one.attempts[-1][1] or "late"
            for one in arrived
            if one.outcome != generator.WHOLE
        )
    return counts


def compute_recovery(
    samples: Sequence[generator.Sample],
    before: tuple[float, float],
    after: tuple[float, float],
) -> float:
    """Return the milliseconds until goodput is back to its former level.

    Parameters
    ----------
    samples : sequence of generator.Sample
        Requests of the clients.
    before : tuple of float
        Span of ordinary service.
    after : tuple of float
        Span that begins when the disturbance ends.

    Returns
    -------
    float
        Time from the start of `after` from which every window of one second
        has 95% of the goodput of `before`; infinite if the last has not.

    Notes
    -----
    Goodput is taken as a part of the requests that arrived in the window, so
    that the random number of arrivals does not count as a loss.
    """
    wanted = _RECOVERED_PART * _compute_whole_share(samples, before)
    recovered = 0.0
    start = after[0]
    while start + _WINDOW.value <= after[1]:
        share = _compute_whole_share(samples, (start, start + _WINDOW.value))
        start += _STEP.value
        if share < wanted:
            recovered = start - after[0]
    last_start = start - _STEP.value - after[0]
    return math.inf if recovered > last_start else recovered


def compute_window_excess(
    starts: Iterable[float], rate_per_second: float, burst: float
) -> float:
    """Return by how many requests the worst window exceeds its limit.

    Parameters
    ----------
    starts : iterable of float
        Times of the starts in milliseconds.
    rate_per_second : float
        Permitted rate.
    burst : float
        Permitted burst.

    Returns
    -------
    float
        Greatest value of ``count - burst - rate * length`` over every window;
        not above 0 if the limit was kept. Minus infinity without any start.
    """
    worst = -math.inf
    least = math.inf
    # A window from start i to start j has j - i + 1 requests.
    for count, start in enumerate(sorted(starts)):
        value = count - rate_per_second * start / 1000
        least = min(least, value)
        worst = max(worst, value - least + 1 - burst)
    return worst


def count_refusals_within_rate(
    attempts: Iterable[Attempt], rate_per_second: float, burst: float
) -> int:
    """Return how many requests were refused although a token was due.

    Parameters
    ----------
    attempts : iterable of Attempt
        Requests of one organisation.
    rate_per_second, burst : float
        What the organisation may send to each service.

    Notes
    -----
    The reference has one token bucket for each service over the whole fleet.
    A request takes a token of every service of its chain, up to the one that
    refused it for its rate.
    """
    buckets: dict[str, tuple[float, float]] = {}
    refused = 0
    for one in sorted(attempts, key=lambda attempt: attempt.at):
        refuser = _find_refuser(one)
        for service in one.chain:
            tokens, last = buckets.get(service, (burst, one.at))
            gained = rate_per_second * (one.at - last) / 1000
            tokens = min(burst, tokens + gained)
            # A refused request takes the token that was due to it, so that
            # one unused token does not make all later refusals false ones.
            is_due = tokens >= 1
            left = max(tokens - 1, 0)
            if service == refuser:
                buckets[service] = left if is_due else tokens, one.at
                refused += is_due
                break
            buckets[service] = left, one.at
    return refused


def _find_refuser(attempt: Attempt) -> str:
    """Return the service that refused for the rate, empty for none."""
    kind, _, service = attempt.kind.partition(" at ")
    if kind != _RATE_LIMITED:
        return ""
    return service or attempt.chain[0]


def compute_entitlements(
    demands: Mapping[str, float],
    weights: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Divide a capacity among organisations, weighted max-min fair.

    Parameters
    ----------
    demands : mapping of str to float
        What each wants.
    weights : mapping of str to float
        Weight of each.
    capacity : float
        What there is.
    """
    granted: dict[str, float] = {}
    open_names = set(demands)
    left = capacity
    while open_names:
        total = sum(weights[name] for name in open_names)
        level = left / total
        content = {n for n in open_names if demands[n] <= level * weights[n]}
        if not content:
            return granted | {n: level * weights[n] for n in open_names}
        for name in content:
            granted[name] = demands[name]
            left -= demands[name]
        open_names -= content
    return granted


def _select(
    samples: Sequence[generator.Sample], span: tuple[float, float]
) -> list[generator.Sample]:
    return [one for one in samples if span[0] <= one.arrival < span[1]]


def _compute_whole_share(
    samples: Sequence[generator.Sample], span: tuple[float, float]
) -> float:
    arrived = _select(samples, span)
    if not arrived:
        return 1.0
    return _count_whole(arrived) / len(arrived)


def _count_whole(samples: Iterable[generator.Sample]) -> int:
    return sum(one.outcome == generator.WHOLE for one in samples)


def _compute_phase(run: Run, span: tuple[float, float]) -> dict[str, float]:
    arrived = _select(run.samples, span)
    seconds = (span[1] - span[0]) / 1000
    # Goodput counts answers where they end, as a queue delays them.
    ended = sum(
        one.outcome == generator.WHOLE and span[0] <= one.end < span[1]
        for one in run.samples
    )
    capacity = plans.compute_capacity(run.experiment)
    goodput = ended / seconds
    latencies = sorted(
        one.end - one.arrival
        for one in arrived
        if one.outcome == generator.WHOLE
    )
    return {
        "offered": len(arrived) / seconds,
        "goodput": goodput,
        "goodput_of_capacity": goodput / capacity,
        "whole_share": _compute_whole_share(run.samples, span),
        "latency_p50_ms": _find_quantile(latencies, 0.5),
        "latency_p99_ms": _find_quantile(latencies, 0.99),
        # Far below the timeouts as long as the clients keep up with the load.
        "send_delay_p99_ms": _find_quantile(
            sorted(one.attempts[0][0] - one.arrival for one in arrived), 0.99
        ),
        "worst_organisation_share": _compute_worst(run, arrived, seconds),
        "important_lost": float(_count_important_lost(run, arrived)),
    }


def _find_quantile(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return math.nan
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def _compute_worst(
    run: Run, arrived: Sequence[generator.Sample], seconds: float
) -> float:
    """Return the least part of its due that an organisation got."""
    offered = collections.Counter(one.organisation for one in arrived)
    whole = collections.Counter(
        one.organisation for one in arrived if one.outcome == generator.WHOLE
    )
    rates = {o.name: o.rate_per_second for o in run.experiment.organisations}
    due = compute_entitlements(
        {n: min(offered[n] / seconds, rate) for n, rate in rates.items()},
        rates,
        plans.compute_capacity(run.experiment),
    )
    shares = [
        whole[name] / seconds / value
        for name, value in due.items()
        if value * seconds >= _MIN_ENTITLED_REQUESTS
    ]
    return min(shares, default=math.nan)


def _count_important_lost(run: Run, arrived: Sequence[generator.Sample]) -> int:
    """Count lost requests of the most important class.

    Notes
    -----
    A loss counts if a less important request that needs one of the same
    services and arrived in the same second was answered. Requests beyond the
    rate of their organisation do not count.
    """
    top, rivals = _split_classes(run.experiment)
    lost: collections.Counter[int] = collections.Counter()
    served = set()
    for one in arrived:
        window = int(one.arrival // _WINDOW.value)
        if one.request_class in rivals and one.outcome == generator.WHOLE:
            served.add(window)
        if one.request_class in top and one.outcome != generator.WHOLE:
            kind = one.attempts[-1][1]
            lost[window] += not kind.startswith(_RATE_LIMITED)
    return sum(count for window, count in lost.items() if window in served)


def _split_classes(
    experiment: experiments.Experiment,
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the most important classes and those that compete with them."""
    first = min(one.importance for one in experiment.classes)
    top = [one for one in experiment.classes if one.importance == first]
    needed = {
        name
        for one in top
        for name in plans.list_calls(experiment, one.service)
    }
    rivals = [
        one.name
        for one in experiment.classes
        if one.importance != first
        and needed.intersection(plans.list_calls(experiment, one.service))
    ]
    return frozenset(one.name for one in top), frozenset(rivals)


def _compute_whole(run: Run, starts: Mapping[str, float]) -> dict[str, float]:
    ran = [one for one in run.records if one["result"] != "shed"]
    values = {
        "window_excess": _compute_worst_excess(run, ran),
        "refused_within_rate": float(_count_within_rate(run)),
        "max_runs_per_key": _count_most(
            (one["service"], one["idempotency_key"])
            for one in ran
            if one["idempotency_key"]
        ),
        "max_attempts_per_call": _count_most(
            (one["service"], one["request_id"]) for one in run.records
        ),
        "client_attempts": sum(len(one.attempts) for one in run.samples)
        / max(len(run.samples), 1),
        "runs_per_root": len(ran)
        / max(sum(len(one.attempts) for one in run.samples), 1),
        "wasted_work_share": _compute_waste(run, ran),
    }
    if run.experiment.recovery:
        values["recovery_ms"] = compute_recovery(
            run.samples,
            _find_span(run.experiment, starts, run.experiment.before),
            _find_span(run.experiment, starts, run.experiment.recovery),
        )
    if run.experiment.outages:
        values["work_in_data_centre_out"] = float(_count_out(run, ran))
    return values


def _find_span(
    experiment: experiments.Experiment,
    starts: Mapping[str, float],
    name: str,
) -> tuple[float, float]:
    phase = plans.find_phase(experiment, name)
    return starts[name], starts[name] + phase.duration.value


def _count_most(keys: Iterable[Any]) -> float:
    return float(max(collections.Counter(keys).values(), default=0))


def _compute_worst_excess(run: Run, ran: Sequence[Mapping[str, Any]]) -> float:
    by_pair = collections.defaultdict(list)
    for one in ran:
        by_pair[one["service"], one["organisation"]].append(one["start"])
    worst = -math.inf
    for plan in run.experiment.organisations:
        rate = plan.rate_per_second
        burst = plan.burst + rate * _QUEUE_WAIT.seconds
        for service in run.experiment.services:
            begun = by_pair[service.name, plan.name]
            worst = max(worst, compute_window_excess(begun, rate, burst))
    return worst


def _count_within_rate(run: Run) -> int:
    chains = {
        one.name: tuple(plans.list_calls(run.experiment, one.service))
        for one in run.experiment.classes
    }
    attempts = collections.defaultdict(list)
    for one in run.samples:
        chain = chains[one.request_class]
        attempts[one.organisation] += [
            Attempt(at, chain, kind) for at, kind in one.attempts
        ]
    return sum(
        count_refusals_within_rate(
            attempts[one.name], one.rate_per_second, one.burst
        )
        for one in run.experiment.organisations
    )


def _compute_waste(run: Run, ran: Sequence[Mapping[str, Any]]) -> float:
    """Return the part of the work that belongs to no whole answer."""
    useful = {
        f"{one.number}.{len(one.attempts) - 1}"
        for one in run.samples
        if one.outcome == generator.WHOLE
    }
    whole = wasted = 0.0
    for one in ran:
        spent = one["end"] - one["start"]
        whole += spent
        if one["request_id"] not in useful:
            wasted += spent
    return wasted / whole if whole else 0.0


def _count_out(run: Run, ran: Sequence[Mapping[str, Any]]) -> int:
    """Count requests started in a data centre well after it was taken out."""
    count = 0
    for outage in run.experiment.outages:
        name = f"dc-{outage.data_centre}"
        first = (outage.at + _OUT_DELAY).value
        last = (outage.at + outage.duration).value
        count += sum(
            run.data_centres[one["target"]] == name
            and first <= one["start"] < last
            for one in ran
        )
    return count
