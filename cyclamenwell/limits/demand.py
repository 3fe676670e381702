"""Estimate of the requests that an organisation sends to this node."""

from __future__ import annotations

import math

from cyclamenwell import clock

__all__ = ["DemandMeter"]

_SLOW = clock.Milliseconds(1000)
_FAST = clock.Milliseconds(200)
_FAST_MIN_COUNT = 5.0  # Fewer arrivals say little about a rate.


class DemandMeter:
    """Smoothed rate of arrivals.

    Notes
    -----
    Two exponentially decaying counts are kept. The fast one follows a surge
    within a few hundred milliseconds, the slow one does not drop at once.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self._slow = 0.0
        self._fast = 0.0
        self._updated_at = now

    def add(self, now: clock.Milliseconds) -> None:
        """Count one arrival."""
        self._decay(now)
        self._slow += 1.0
        self._fast += 1.0

    def estimate(self, now: clock.Milliseconds) -> float:
        """Return arrivals a second."""
        self._decay(now)
        slow = self._slow / _SLOW.seconds
        if self._fast < _FAST_MIN_COUNT:
            return slow
        return max(slow, self._fast / _FAST.seconds)

    def _decay(self, now: clock.Milliseconds) -> None:
        elapsed = (now - self._updated_at).value
        if elapsed <= 0:
            return
        self._updated_at = now
        self._slow *= math.exp(-elapsed / _SLOW.value)
        self._fast *= math.exp(-elapsed / _FAST.value)
