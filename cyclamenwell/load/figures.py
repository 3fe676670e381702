"""Figures of a run, computed from client samples and target records."""

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
    "compute_fair_shares",
    "compute_figures",
    "compute_recovery",
    "compute_window_excess",
    "count_failures",
    "count_refusals_within_rate",
]

_WINDOW = clock.Milliseconds(1_000)
_WINDOW_STEP = clock.Milliseconds(250)
_RECOVERED_FRACTION = 0.95
# A request takes its rate limit token before the admission queue, in which it
# waits up to AdmissionSettings.max_queue_wait. Starts at a target can therefore
# be closer together than the tokens by up to this time.
_MAX_QUEUE_WAIT = clock.Milliseconds(200)
# Time after which a data centre out of service must not start new requests.
_EXCLUSION_DELAY = clock.Milliseconds(4_000)
_RATE_LIMITED = "rate-limited"
_MIN_FAIR_SHARE_REQUESTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured value.

    Parameters
    ----------
    name : str
        Name by which bounds refer to it.
    phase : str
        Phase, empty for the whole run.
    value : float
        Value; infinite if the condition was never reached, NaN if there is no
        data.
    """

    name: str
    phase: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Raw data of a run; times are relative to the load start.

    Parameters
    ----------
    experiment : experiments.Experiment
        Experiment that was run.
    samples : tuple of generator.Sample
        Root requests of the clients.
    records : tuple of dict
        Request records of the targets.
    data_centres : dict of str to str
        Data centre of each target.
    """

    experiment: experiments.Experiment
    samples: tuple[generator.Sample, ...]
    records: tuple[Mapping[str, Any], ...]
    data_centres: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt of a client.

    Parameters
    ----------
    at : float
        Send time in milliseconds.
    chain : tuple of str
        Services that it calls, in call order.
    kind : str
        Kind of failure, empty for a complete answer.
    """

    at: float
    chain: tuple[str, ...]
    kind: str


def compute_figures(run: Run) -> tuple[Figure, ...]:
    """Return all figures of a run."""
    found = []
    starts = plans.compute_phase_starts(run.experiment)
    for phase in run.experiment.phases:
        start = starts[phase.name]
        span = (start, start + phase.duration.value)
        for name, value in _compute_phase_figures(run, span).items():
            found.append(Figure(name, phase.name, value))
    for name, value in _compute_run_figures(run, starts).items():
        found.append(Figure(name, "", value))
    return tuple(found)


def count_failures(run: Run) -> dict[str, collections.Counter[str]]:
    """Return the counts of final failures by phase and kind."""
    counts = {}
    starts = plans.compute_phase_starts(run.experiment)
    for phase in run.experiment.phases:
        start = starts[phase.name]
        arrived = _select(run.samples, (start, start + phase.duration.value))
        counts[phase.name] = collections.Counter(
            sample.attempts[-1][1] or "late"
            for sample in arrived
            if sample.outcome != generator.WHOLE
        )
    return counts


def compute_recovery(
    samples: Sequence[generator.Sample],
    before: tuple[float, float],
    after: tuple[float, float],
) -> float:
    """Return the recovery time of goodput in milliseconds.

    Parameters
    ----------
    samples : sequence of generator.Sample
        Root requests of the clients.
    before : tuple of float
        Reference span before the disturbance.
    after : tuple of float
        Span that begins when the disturbance ends.

    Returns
    -------
    float
        Time from the start of `after` from which every window of one second
        has at least 95% of the goodput of `before`; infinite if the last
        window has not.

    Notes
    -----
    Goodput is normalised by the arrivals in the window, so that random
    variation of the arrival rate does not count as a loss.
    """
    threshold = _RECOVERED_FRACTION * _compute_success_share(samples, before)
    recovered = 0.0
    start = after[0]
    while start + _WINDOW.value <= after[1]:
        share = _compute_success_share(samples, (start, start + _WINDOW.value))
        start += _WINDOW_STEP.value
        if share < threshold:
            recovered = start - after[0]
    last_start = start - _WINDOW_STEP.value - after[0]
    return math.inf if recovered > last_start else recovered


def compute_window_excess(
    starts: Iterable[float], rate_per_second: float, burst: float
) -> float:
    """Return the largest excess of requests over the limit in any window.

    Parameters
    ----------
    starts : iterable of float
        Start times of the requests in milliseconds.
    rate_per_second : float
        Permitted rate in requests/s.
    burst : float
        Permitted burst in requests.

    Returns
    -------
    float
        Maximum of ``count - burst - rate * length`` over all windows; at most
        0 if the limit was respected, minus infinity without any start.
    """
    worst = -math.inf
    least = math.inf
    # The window from start i to start j contains j - i + 1 requests.
    for count, start in enumerate(sorted(starts)):
        value = count - rate_per_second * start / 1000
        least = min(least, value)
        worst = max(worst, value - least + 1 - burst)
    return worst


def count_refusals_within_rate(
    attempts: Iterable[Attempt], rate_per_second: float, burst: float
) -> int:
    """Return how many requests were refused although a token was available.

    Parameters
    ----------
    attempts : iterable of Attempt
        Attempts of one organisation.
    rate_per_second, burst : float
        Rate limit of the organisation at each service.

    Notes
    -----
    The reference model has one fleet-wide token bucket for each service. A
    request takes a token at every service of its call chain, up to the one
    that refused it for its rate.
    """
    buckets: dict[str, tuple[float, float]] = {}
    refused = 0
    for attempt in sorted(attempts, key=lambda attempt: attempt.at):
        limiting_service = _find_limiting_service(attempt)
        for service in attempt.chain:
            tokens, last = buckets.get(service, (burst, attempt.at))
            gained = rate_per_second * (attempt.at - last) / 1000
            tokens = min(burst, tokens + gained)
            # A wrongly refused request consumes its token; otherwise one unused
            # token would make all later refusals count as wrong.
            has_token = tokens >= 1
            left = max(tokens - 1, 0)
            if service == limiting_service:
                buckets[service] = left if has_token else tokens, attempt.at
                refused += has_token
                break
            buckets[service] = left, attempt.at
    return refused


def _find_limiting_service(attempt: Attempt) -> str:
    """Return the service that refused for its rate limit, empty if none."""
    kind, _, service = attempt.kind.partition(" at ")
    if kind != _RATE_LIMITED:
        return ""
    return service or attempt.chain[0]


def compute_fair_shares(
    demands: Mapping[str, float],
    weights: Mapping[str, float],
    capacity: float,
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    Parameters
    ----------
    demands : mapping of str to float
        Demand of each organisation.
    weights : mapping of str to float
        Weight of each organisation.
    capacity : float
        Capacity to divide, in the unit of the demands.
    """
    granted: dict[str, float] = {}
    unsatisfied = set(demands)
    left = capacity
    while unsatisfied:
        total = sum(weights[name] for name in unsatisfied)
        share_per_weight = left / total
        satisfied = {
            n
            for n in unsatisfied
            if demands[n] <= share_per_weight * weights[n]
        }
        if not satisfied:
            return granted | {
                n: share_per_weight * weights[n] for n in unsatisfied
            }
        for name in satisfied:
            granted[name] = demands[name]
            left -= demands[name]
        unsatisfied -= satisfied
    return granted


def _select(
    samples: Sequence[generator.Sample], span: tuple[float, float]
) -> list[generator.Sample]:
    return [sample for sample in samples if span[0] <= sample.arrival < span[1]]


def _compute_success_share(
    samples: Sequence[generator.Sample], span: tuple[float, float]
) -> float:
    arrived = _select(samples, span)
    if not arrived:
        return 1.0
    return _count_successes(arrived) / len(arrived)


def _count_successes(samples: Iterable[generator.Sample]) -> int:
    return sum(sample.outcome == generator.WHOLE for sample in samples)


def _compute_phase_figures(
    run: Run, span: tuple[float, float]
) -> dict[str, float]:
    arrived = _select(run.samples, span)
    seconds = (span[1] - span[0]) / 1000
    # Goodput counts answers by completion time, as queueing delays them.
    ended = sum(
        sample.outcome == generator.WHOLE and span[0] <= sample.end < span[1]
        for sample in run.samples
    )
    capacity = plans.compute_capacity(run.experiment)
    goodput = ended / seconds
    latencies = sorted(
        sample.end - sample.arrival
        for sample in arrived
        if sample.outcome == generator.WHOLE
    )
    return {
        "offered": len(arrived) / seconds,
        "goodput": goodput,
        "goodput_of_capacity": goodput / capacity,
        "whole_share": _compute_success_share(run.samples, span),
        "latency_p50_ms": _find_quantile(latencies, 0.5),
        "latency_p99_ms": _find_quantile(latencies, 0.99),
        # Far below the timeouts unless there are too few clients for the load.
        "send_delay_p99_ms": _find_quantile(
            sorted(item.attempts[0][0] - item.arrival for item in arrived), 0.99
        ),
        "worst_organisation_share": _compute_worst_share(run, arrived, seconds),
        "important_lost": float(_count_important_lost(run, arrived)),
    }


def _find_quantile(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return math.nan
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def _compute_worst_share(
    run: Run, arrived: Sequence[generator.Sample], seconds: float
) -> float:
    """Return the lowest ratio of goodput to fair share of any organisation."""
    offered = collections.Counter(sample.organisation for sample in arrived)
    whole = collections.Counter(
        sample.organisation
        for sample in arrived
        if sample.outcome == generator.WHOLE
    )
    rates = {o.name: o.rate_per_second for o in run.experiment.organisations}
    fair_shares = compute_fair_shares(
        {n: min(offered[n] / seconds, rate) for n, rate in rates.items()},
        rates,
        plans.compute_capacity(run.experiment),
    )
    shares = [
        whole[name] / seconds / value
        for name, value in fair_shares.items()
        if value * seconds >= _MIN_FAIR_SHARE_REQUESTS
    ]
    return min(shares, default=math.nan)


def _count_important_lost(run: Run, arrived: Sequence[generator.Sample]) -> int:
    """Count failed requests of the most important classes.

    Notes
    -----
    A failure counts if a less important request that shares a service and
    arrived in the same second was answered in time. Requests that the rate
    limit of their organisation refused do not count.
    """
    top, rivals = _split_classes(run.experiment)
    lost: collections.Counter[int] = collections.Counter()
    served = set()
    for sample in arrived:
        window = int(sample.arrival // _WINDOW.value)
        if sample.request_class in rivals and sample.outcome == generator.WHOLE:
            served.add(window)
        if sample.request_class in top and sample.outcome != generator.WHOLE:
            kind = sample.attempts[-1][1]
            lost[window] += not kind.startswith(_RATE_LIMITED)
    return sum(count for window, count in lost.items() if window in served)


def _split_classes(
    experiment: experiments.Experiment,
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the most important classes and those competing with them."""
    first = min(plan.importance for plan in experiment.classes)
    top = [plan for plan in experiment.classes if plan.importance == first]
    needed = {
        name
        for plan in top
        for name in plans.list_called_services(experiment, plan.service)
    }
    rivals = [
        plan.name
        for plan in experiment.classes
        if plan.importance != first
        and needed.intersection(
            plans.list_called_services(experiment, plan.service)
        )
    ]
    return frozenset(plan.name for plan in top), frozenset(rivals)


def _compute_run_figures(
    run: Run, starts: Mapping[str, float]
) -> dict[str, float]:
    ran = [item for item in run.records if item["result"] != "shed"]
    values = {
        "window_excess": _compute_worst_excess(run, ran),
        "refused_within_rate": float(_count_within_rate(run)),
        "max_runs_per_key": _count_most_frequent(
            (item["service"], item["idempotency_key"])
            for item in ran
            if item["idempotency_key"]
        ),
        "max_attempts_per_call": _count_most_frequent(
            (item["service"], item["request_id"]) for item in run.records
        ),
        "client_attempts": sum(len(item.attempts) for item in run.samples)
        / max(len(run.samples), 1),
        "runs_per_root": len(ran)
        / max(sum(len(item.attempts) for item in run.samples), 1),
        "wasted_work_share": _compute_wasted_share(run, ran),
    }
    if run.experiment.recovery:
        values["recovery_ms"] = compute_recovery(
            run.samples,
            _find_span(run.experiment, starts, run.experiment.before),
            _find_span(run.experiment, starts, run.experiment.recovery),
        )
    if run.experiment.outages:
        values["work_in_data_centre_out"] = float(
            _count_excluded_starts(run, ran)
        )
    return values


def _find_span(
    experiment: experiments.Experiment,
    starts: Mapping[str, float],
    name: str,
) -> tuple[float, float]:
    phase = plans.find_phase(experiment, name)
    return starts[name], starts[name] + phase.duration.value


def _count_most_frequent(keys: Iterable[Any]) -> float:
    return float(max(collections.Counter(keys).values(), default=0))


def _compute_worst_excess(run: Run, ran: Sequence[Mapping[str, Any]]) -> float:
    by_pair = collections.defaultdict(list)
    for record in ran:
        by_pair[record["service"], record["organisation"]].append(
            record["start"]
        )
    worst = -math.inf
    for plan in run.experiment.organisations:
        rate = plan.rate_per_second
        burst = plan.burst + rate * _MAX_QUEUE_WAIT.seconds
        for service in run.experiment.services:
            starts = by_pair[service.name, plan.name]
            worst = max(worst, compute_window_excess(starts, rate, burst))
    return worst


def _count_within_rate(run: Run) -> int:
    chains = {
        plan.name: tuple(
            plans.list_called_services(run.experiment, plan.service)
        )
        for plan in run.experiment.classes
    }
    attempts = collections.defaultdict(list)
    for sample in run.samples:
        chain = chains[sample.request_class]
        attempts[sample.organisation] += [
            Attempt(at, chain, kind) for at, kind in sample.attempts
        ]
    return sum(
        count_refusals_within_rate(
            attempts[plan.name], plan.rate_per_second, plan.burst
        )
        for plan in run.experiment.organisations
    )


def _compute_wasted_share(run: Run, ran: Sequence[Mapping[str, Any]]) -> float:
    """Return the fraction of work that led to no complete answer in time."""
    useful = {
        f"{sample.number}.{len(sample.attempts) - 1}"
        for sample in run.samples
        if sample.outcome == generator.WHOLE
    }
    whole = wasted = 0.0
    for record in ran:
        spent = record["end"] - record["start"]
        whole += spent
        if record["request_id"] not in useful:
            wasted += spent
    return wasted / whole if whole else 0.0


def _count_excluded_starts(run: Run, ran: Sequence[Mapping[str, Any]]) -> int:
    """Count requests started in a data centre while it is out of service."""
    count = 0
    for outage in run.experiment.outages:
        name = f"dc-{outage.data_centre}"
        first = (outage.at + _EXCLUSION_DELAY).value
        last = (outage.at + outage.duration).value
        count += sum(
            run.data_centres[record["target"]] == name
            and first <= record["start"] < last
            for record in ran
        )
    return count
