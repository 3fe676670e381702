"""Metrics of a node."""

from __future__ import annotations

from collections.abc import Mapping

import prometheus_client

from cyclamenwell import clock

__all__ = ["count_call", "count_rate_refusal", "record_units", "render"]

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


def count_rate_refusal(organisation: str) -> None:
    """Count a request that was refused for want of a token."""
    _rate_refusals.labels(organisation).inc()


def record_units(units: Mapping[str, tuple[int, int, int]]) -> None:
    """Record the share units of a node.

    Parameters
    ----------
    units : Mapping of str to tuple of int
        Units held, borrowed and lent by organisation.
    """
    for organisation, (held, borrowed, lent) in units.items():
        _share_units.labels(organisation, "held").set(held)
        _share_units.labels(organisation, "borrowed").set(borrowed)
        _share_units.labels(organisation, "lent").set(lent)


def render() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest()
