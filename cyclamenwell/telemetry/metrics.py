"""Prometheus metrics of a node."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools

import prometheus_client

from cyclamenwell import clock

__all__ = [
    "ConfigurationGauges",
    "GateGauges",
    "count_call",
    "count_configuration_exchange",
    "count_gate_refusal",
    "count_platform_read",
    "count_rate_refusal",
    "count_stale_answer",
    "render",
    "set_configuration_gauges",
    "set_gate_gauges",
    "set_share_gauges",
]

_MAX_CACHED_CHILDREN = 4096

_calls = prometheus_client.Counter(
    "cyclamenwell_calls",
    "Calls that entered at this node, by service and kind of refusal.",
    ["service", "refusal"],
)
_call_seconds = prometheus_client.Histogram(
    "cyclamenwell_call_seconds",
    "Time from the whole request to the answer, by service.",
    ["service"],
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 5),
)
_documents = prometheus_client.Gauge(
    "cyclamenwell_documents",
    "Documents in force, removed ones included.",
)
_refused_documents = prometheus_client.Gauge(
    "cyclamenwell_refused_documents",
    "Documents whose newest version was refused.",
)
_view_age_seconds = prometheus_client.Gauge(
    "cyclamenwell_view_age_seconds",
    "Time since an exchange confirmed the view; infinite before the first.",
)
_platform_age_seconds = prometheus_client.Gauge(
    "cyclamenwell_platform_age_seconds",
    "Age of the youngest platform answer known; infinite before the first.",
)
_platform_reads = prometheus_client.Counter(
    "cyclamenwell_platform_reads",
    "Reads of the platform by this node, waiting watches included.",
    ["kind"],
)
_stale_answers = prometheus_client.Counter(
    "cyclamenwell_platform_stale_answers",
    "Platform answers that were behind what this node has.",
    ["kind"],
)
_configuration_messages = prometheus_client.Counter(
    "cyclamenwell_spread_messages",
    "Configuration messages between nodes, by request and side.",
    ["request", "side"],
)
_configuration_bytes = prometheus_client.Counter(
    "cyclamenwell_spread_bytes",
    "Bytes of configuration messages and their replies, by direction.",
    ["direction"],
)
_rate_refusals = prometheus_client.Counter(
    "cyclamenwell_rate_refusals",
    "Requests refused at this node for want of a token, by organisation.",
    ["organisation"],
)
_share_units = prometheus_client.Gauge(
    "cyclamenwell_share_units",
    "Millionths of an organisation's limit: held, borrowed or lent.",
    ["organisation", "kind"],
)
_gate_in_progress = prometheus_client.Gauge(
    "cyclamenwell_gate_in_progress", "Requests at the target."
)
_gate_queued = prometheus_client.Gauge(
    "cyclamenwell_gate_queued", "Requests that wait at the gate."
)
_gate_limit = prometheus_client.Gauge(
    "cyclamenwell_gate_limit", "Requests that may be at the target at once."
)
_gate_cold = prometheus_client.Gauge(
    "cyclamenwell_gate_cold", "1 while the target warms up, else 0."
)
_gate_refusals = prometheus_client.Counter(
    "cyclamenwell_gate_refusals",
    "Requests refused at the gate, by kind of refusal and importance.",
    ["kind", "importance"],
)
_CONFIGURATION_REQUESTS = frozenset(
    {
        "AnnounceRequest",
        "DeliverRequest",
        "ExchangeRequest",
        "FetchRequest",
        "ListRequest",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationGauges:
    """Values of the configuration gauges, set when metrics are requested.

    Parameters
    ----------
    documents : int
        Documents in force.
    refused : int
        Documents whose newest version was refused.
    view_age : clock.Milliseconds or None
        Time since an exchange confirmed the view, None before the first one.
    platform_age : clock.Milliseconds or None
        Age of the youngest known response of the platform, None before the
        first one.
    """

    documents: int
    refused: int
    view_age: clock.Milliseconds | None
    platform_age: clock.Milliseconds | None


@dataclasses.dataclass(frozen=True, slots=True)
class GateGauges:
    """Values of the admission gate's gauges, set when metrics are requested.

    Parameters
    ----------
    in_progress : int
        Requests at the target.
    queued : int
        Requests that wait at the gate.
    limit : int
        Requests that may be at the target at once.
    cold : bool
        Whether the target is warming up.
    """

    in_progress: int
    queued: int
    limit: int
    cold: bool


def set_gate_gauges(gauges: GateGauges) -> None:
    """Set the gauges of the admission gate."""
    _gate_in_progress.set(gauges.in_progress)
    _gate_queued.set(gauges.queued)
    _gate_limit.set(gauges.limit)
    _gate_cold.set(gauges.cold)


def count_gate_refusal(kind: str, importance: str) -> None:
    """Count a request that was refused at the admission gate."""
    _gate_refusals.labels(kind, importance).inc()


def set_configuration_gauges(gauges: ConfigurationGauges) -> None:
    """Set the gauges of the configuration."""
    _documents.set(gauges.documents)
    _refused_documents.set(gauges.refused)
    _view_age_seconds.set(_convert_age(gauges.view_age))
    _platform_age_seconds.set(_convert_age(gauges.platform_age))


def _convert_age(age: clock.Milliseconds | None) -> float:
    return float("inf") if age is None else age.seconds


def count_platform_read(kind: str) -> None:
    """Count a read of the platform; the kind is documents or instances."""
    _platform_reads.labels(kind).inc()


def count_stale_answer(kind: str) -> None:
    """Count a platform response that is older than the state of this node."""
    _stale_answers.labels(kind).inc()


def count_configuration_exchange(
    request: str, side: str, sent: int, received: int
) -> None:
    """Count a finished exchange between nodes if it is about configuration.

    Exchanges with other types of requests are ignored.

    Parameters
    ----------
    request : str
        Name of the class of the request.
    side : str
        ``asked`` on the client, ``answered`` on the server.
    sent, received : int
        Bytes that this node sent and received.
    """
    if request not in _CONFIGURATION_REQUESTS:
        return
    _configuration_messages.labels(request, side).inc()
    _configuration_bytes.labels("sent").inc(sent)
    _configuration_bytes.labels("received").inc(received)


def count_call(
    service: str, refusal: str, duration: clock.Milliseconds
) -> None:
    """Count a call and record its duration.

    Parameters
    ----------
    service : str
        Service with a document, or ``unknown``. Other names sent by callers
        are not used, so that callers cannot add time series.
    refusal : str
        Name of the error kind, ``NONE`` for a complete response.
    duration : clock.Milliseconds
        Time from the complete request to the response.
    """
    counter, histogram = _find_children(service, refusal)
    counter.inc()
    histogram.observe(duration.seconds)


@functools.lru_cache(maxsize=_MAX_CACHED_CHILDREN)
def _find_children(
    service: str, refusal: str
) -> tuple[prometheus_client.Counter, prometheus_client.Histogram]:
    """Return the labelled metrics of a service.

    The result is cached, since `labels` takes a lock on each call.
    """
    return _calls.labels(service, refusal), _call_seconds.labels(service)


def count_rate_refusal(organisation: str) -> None:
    """Count a request refused because the token bucket was empty."""
    _rate_refusals.labels(organisation).inc()


def set_share_gauges(units: Mapping[str, tuple[int, int, int]]) -> None:
    """Set the gauges of the share units of this node.

    Parameters
    ----------
    units : mapping of str to tuple of int
        Units held, borrowed and lent by organisation.
    """
    for organisation, (held, borrowed, lent) in units.items():
        _share_units.labels(organisation, "held").set(held)
        _share_units.labels(organisation, "borrowed").set(borrowed)
        _share_units.labels(organisation, "lent").set(lent)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
