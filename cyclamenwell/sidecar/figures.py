"""Counters and latency histograms of a sidecar node.

Counting is plain arithmetic; `prometheus_client` is loaded when the metrics
are first asked for, since it takes 60 ms of processor time at the start.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator

from cyclamenwell import clock

__all__ = ["Figures"]

_PREFIX = "cyclamenwell_sidecar_"
_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# Counters with their labels.
_COUNTERS = {
    "exchanges": ("Comparisons of state with other nodes.", ("outcome",)),
    "offers": ("Requests for the target beside the node.", ("outcome",)),
    "requests": ("Requests of callers.", ("route", "outcome")),
    "share_requests": (
        "Messages about limits of organisations.",
        ("kind", "outcome"),
    ),
    "store_calls": ("Calls to the platform's store.", ("kind", "outcome")),
}


class Figures:
    """Counts what a node does."""

    def __init__(self) -> None:
        self._counters: dict[str, collections.Counter[tuple[str, ...]]] = (
            collections.defaultdict(collections.Counter)
        )
        self._histograms: dict[str, list[int]] = {}
        self._sums: dict[str, float] = collections.defaultdict(float)
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, *labels: str) -> None:
        """Add one to a counter.

        Parameters
        ----------
        name : str
            Name out of the table of counters.
        labels : str
            Values of its labels, in order.
        """
        self._counters[name][labels] += 1

    def observe(self, name: str, duration: clock.Milliseconds) -> None:
        """Add a duration to a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(_BOUNDS_SECONDS) + 1)
        buckets[bisect.bisect_left(_BOUNDS_SECONDS, duration.seconds)] += 1
        self._sums[name] += duration.seconds

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read when metrics are asked for."""
        self._gauges[name] = read

    def collect(self) -> Iterator[object]:
        """Yield metric families for `prometheus_client`."""
        from prometheus_client import core  # See the module's docstring.

        for name, counter in self._counters.items():
            text, labels_of = _COUNTERS[name]
            family = core.CounterMetricFamily(
                _PREFIX + name, text, labels=labels_of
            )
            for labels, value in counter.items():
                family.add_metric(labels, value)
            yield family
        for name, buckets in self._histograms.items():
            total = 0
            cumulated = []
            limits = [str(bound) for bound in _BOUNDS_SECONDS] + ["+Inf"]
            for limit, value in zip(limits, buckets, strict=True):
                total += value
                cumulated.append((limit, total))
            yield core.HistogramMetricFamily(
                _PREFIX + name + "_seconds",
                f"Duration: {name}.",
                buckets=cumulated,
                sum_value=self._sums[name],
            )
        for name, read in self._gauges.items():
            yield core.GaugeMetricFamily(_PREFIX + name, name, value=read())

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        import prometheus_client  # See the module's docstring.

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)
