"""Metrics of a node."""

from __future__ import annotations

import dataclasses

import prometheus_client

from cyclamenwell import clock

__all__ = [
    "ConfigurationFigures",
    "count_call",
    "count_platform_read",
    "count_spread",
    "count_stale_answer",
    "note_configuration",
    "render",
]

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
_spread_messages = prometheus_client.Counter(
    "cyclamenwell_spread_messages",
    "Configuration messages between nodes, by request and side.",
    ["request", "side"],
)
_spread_bytes = prometheus_client.Counter(
    "cyclamenwell_spread_bytes",
    "Bytes of configuration messages and their replies, by direction.",
    ["direction"],
)
_SPREAD_REQUESTS = frozenset(
    {
        "AnnounceRequest",
        "DeliverRequest",
        "ExchangeRequest",
        "FetchRequest",
        "ListRequest",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFigures:
    """Figures about the configuration that are read when they are asked for.

    Parameters
    ----------
    documents : int
        Documents in force.
    refused : int
        Documents whose newest version was refused.
    view_age : clock.Milliseconds or None
        Time since the last confirmation.
    platform_age : clock.Milliseconds or None
        Age of the youngest platform answer.
    """

    documents: int
    refused: int
    view_age: clock.Milliseconds | None
    platform_age: clock.Milliseconds | None


def note_configuration(figures: ConfigurationFigures) -> None:
    """Set the gauges of the configuration."""
    _documents.set(figures.documents)
    _refused_documents.set(figures.refused)
    _view_age_seconds.set(_read_age(figures.view_age))
    _platform_age_seconds.set(_read_age(figures.platform_age))


def _read_age(age: clock.Milliseconds | None) -> float:
    return float("inf") if age is None else age.seconds


def count_platform_read(kind: str) -> None:
    """Count a read of ``documents`` or ``instances``."""
    _platform_reads.labels(kind).inc()


def count_stale_answer(kind: str) -> None:
    """Count an answer that was behind what this node has."""
    _stale_answers.labels(kind).inc()


def count_spread(request: str, side: str, sent: int, received: int) -> None:
    """Count a finished request between nodes if it is about configuration.

    Parameters
    ----------
    request : str
        Name of the request's class.
    side : str
        ``asked`` or ``answered``.
    sent, received : int
        Bytes that this node sent and received.
    """
    if request not in _SPREAD_REQUESTS:
        return
    _spread_messages.labels(request, side).inc()
    _spread_bytes.labels("sent").inc(sent)
    _spread_bytes.labels("received").inc(received)


def count_call(
    service: str, refusal: str, duration: clock.Milliseconds
) -> None:
    """Count a call.

    Parameters
    ----------
    service : str
        Service that the caller named; callers of no known service are
        counted together, so that they can not grow the metrics.
    refusal : str
        Name of the error kind, ``NONE`` for a whole answer.
    duration : clock.Milliseconds
        Time until the answer.
    """
    if refusal == "NO_SUCH_SERVICE":
        service = "unknown"
    _calls.labels(service, refusal).inc()
    _call_seconds.labels(service).observe(duration.seconds)


def render() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest()
