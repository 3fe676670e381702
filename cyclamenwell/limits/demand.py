"""Estimate of the request rate of an organisation at this node."""

from __future__ import annotations

import math

from cyclamenwell import clock

__all__ = ["DemandMeter"]

_SLOW_TIME_CONSTANT = clock.Milliseconds(1000)
_FAST_TIME_CONSTANT = clock.Milliseconds(200)
_FAST_MIN_COUNT = 5.0  # Fewer arrivals do not give a usable rate estimate.


class DemandMeter:
    """Exponentially smoothed arrival rate.

    Parameters
    ----------
    now : clock.Milliseconds
        Time from which arrivals are counted.

    Notes
    -----
    The estimate is the higher of two exponentially decaying averages. The
    average with the short time constant follows a surge within a few hundred
    milliseconds. The one with the long time constant keeps the estimate from
    dropping at once in a short pause.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self._slow_count = 0.0
        self._fast_count = 0.0
        self._updated_at = now

    def add(self, now: clock.Milliseconds) -> None:
        """Count one arrival."""
        self._decay(now)
        self._slow_count += 1.0
        self._fast_count += 1.0

    def estimate(self, now: clock.Milliseconds) -> float:
        """Return the estimated rate in arrivals per second."""
        self._decay(now)
        slow_rate = self._slow_count / _SLOW_TIME_CONSTANT.seconds
        if self._fast_count < _FAST_MIN_COUNT:
            return slow_rate
        return max(slow_rate, self._fast_count / _FAST_TIME_CONSTANT.seconds)

    def _decay(self, now: clock.Milliseconds) -> None:
        elapsed = (now - self._updated_at).value
        if elapsed <= 0:
            return
        self._updated_at = now
        self._slow_count *= math.exp(-elapsed / _SLOW_TIME_CONSTANT.value)
        self._fast_count *= math.exp(-elapsed / _FAST_TIME_CONSTANT.value)
