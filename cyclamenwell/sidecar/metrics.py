"""Counters and latency histograms of a sidecar node.

Values are kept in plain Python objects. `prometheus_client` is imported at the
first scrape, since the import takes 60 ms of processor time.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator

from cyclamenwell import clock

__all__ = ["Metrics"]

_PREFIX = "cyclamenwell_sidecar_"
_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# Help text and label names of each counter.
_COUNTERS = {
    "exchanges": ("Comparisons of state with other nodes.", ("outcome",)),
    "lost_runs": (
        "Requests that failed at the target as a nested call was refused.",
        ("route",),
    ),
    "offers": ("Requests for the target beside the node.", ("outcome",)),
    "rejected_entries": (
        "Entries of configurations that are not decoded or only in part.",
        (),
    ),
    "requests": ("Requests of callers.", ("route", "outcome")),
    "share_requests": (
        "Messages about limits of organisations.",
        ("kind", "outcome"),
    ),
    "store_eras": ("Eras of the platform's store that were taken over.", ()),
    "store_calls": ("Calls to the platform's store.", ("kind", "outcome")),
}


class Metrics:
    """Metrics of a sidecar node."""

    def __init__(self) -> None:
        self._counters: dict[str, collections.Counter[tuple[str, ...]]] = (
            collections.defaultdict(collections.Counter)
        )
        self._histograms: dict[str, list[int]] = {}
        self._sums: dict[str, float] = collections.defaultdict(float)
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, *labels: str) -> None:
        """Increment a counter by one.

        Parameters
        ----------
        name : str
            Key of the table of counters.
        labels : str
            Label values, in the order of the label names.
        """
        self._counters[name][labels] += 1

    def observe(self, name: str, duration: clock.Milliseconds) -> None:
        """Record a duration in a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(_BOUNDS_SECONDS) + 1)
        buckets[bisect.bisect_left(_BOUNDS_SECONDS, duration.seconds)] += 1
        self._sums[name] += duration.seconds

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each scrape."""
        self._gauges[name] = read

    def collect(self) -> Iterator[object]:
        """Yield the metric families for `prometheus_client`."""
        from prometheus_client import core  # See the module docstring.

        for name, counter in self._counters.items():
            help_text, label_names = _COUNTERS[name]
            family = core.CounterMetricFamily(
                _PREFIX + name, help_text, labels=label_names
            )
            for labels, value in counter.items():
                family.add_metric(labels, value)
            yield family
        for name, buckets in self._histograms.items():
            total = 0
            cumulative = []
            bounds = [str(bound) for bound in _BOUNDS_SECONDS] + ["+Inf"]
            for bound, value in zip(bounds, buckets, strict=True):
                total += value
                cumulative.append((bound, total))
            yield core.HistogramMetricFamily(
                _PREFIX + name + "_seconds",
                f"Duration: {name}.",
                buckets=cumulative,
                sum_value=self._sums[name],
            )
        for name, read in self._gauges.items():
            yield core.GaugeMetricFamily(_PREFIX + name, name, value=read())

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        import prometheus_client  # See the module docstring.

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)
