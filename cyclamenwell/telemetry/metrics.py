"""Metrics of a node."""

from __future__ import annotations

import functools

import prometheus_client

from cyclamenwell import clock

__all__ = ["count_call", "render"]

_CACHED_CHILDREN = 4096

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
    counter, histogram = _find_children(service, refusal)
    counter.inc()
    histogram.observe(duration.seconds)


@functools.lru_cache(maxsize=_CACHED_CHILDREN)
def _find_children(
    service: str, refusal: str
) -> tuple[prometheus_client.Counter, prometheus_client.Histogram]:
    """Return the metrics of one service; `labels` takes a lock each time."""
    return _calls.labels(service, refusal), _call_seconds.labels(service)


def render() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest()
