"""Builders of runs that end well or lose a nested call."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.admission import run_throttle
from cyclamenwell.generated import enumerations

_RUN_TIME = clock.Milliseconds(50)
_INTERVAL = clock.Milliseconds(10)


class RunPlayer:
    """Offers runs of one route at a constant rate of 100 a second."""

    def __init__(self) -> None:
        self.throttles = run_throttle.RunThrottles()
        self.now = clock.Milliseconds(1000)
        self._running: list[clock.Milliseconds] = []
        self._lost = 0.0

    def play(self, count: int, lost_share: float, route: str = "read") -> int:
        """Offer runs and return how many were admitted.

        An even share of the runs that end loses a nested call.
        """
        admitted = 0
        for _ in range(count):
            self.now += _INTERVAL
            self._end_runs(route, lost_share)
            if self.throttles.admit(route, self.now):
                self._running.append(self.now)
                admitted += 1
        return admitted

    def _end_runs(self, route: str, lost_share: float) -> None:
        while self._running and self._running[0] + _RUN_TIME <= self.now:
            self._lost += lost_share
            is_lost = self._lost >= 1.0
            if is_lost:
                self._lost -= 1.0
                self.throttles.note_refused_call(
                    enumerations.ErrorKind.OVERLOADED, self.now
                )
            begun_at = self._running.pop(0)
            self.throttles.note_end(route, begun_at, self.now, is_lost)
