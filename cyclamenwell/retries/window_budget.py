"""Retry budget of a node for requests that reach the targets of a service.

Prevents a retry storm: when targets of a service fail, every entry node retries
its requests at once. In each window the fleet may retry a fixed part of the
requests and a fixed number more. Each node stays within its share of both, so
the nodes need no messages to coordinate.
"""

from __future__ import annotations

import collections
import random

from cyclamenwell import clock

__all__ = ["WindowRetryBudget"]

# Part of the fleet's ratio that a node uses. The rest covers nested calls of
# retried requests, which count as retries at the services that they call.
_USED_RATIO = 0.5
# Part of the fleet's slack that is divided between the nodes. The other half is
# reserved for nodes that do not know each other.
_USED_SLACK = 0.5


class WindowRetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Parameters
    ----------
    time : clock.Clock
        Clock of the sliding window.
    ratio : float
        Retries that the fleet may send for each request.
    slack : float
        Retries beyond the ratio that the fleet may send in a window.
    window : clock.Milliseconds
        Length of the sliding window.
    generator : random.Random
        Rounds the part of a node, which may be a fraction of a retry. A fleet
        of hundreds of nodes that round down would never use its slack.
    """

    def __init__(
        self,
        time: clock.Clock,
        ratio: float,
        slack: float,
        window: clock.Milliseconds,
        generator: random.Random,
    ) -> None:
        self._time = time
        self._ratio = ratio * _USED_RATIO
        self._slack = slack * _USED_SLACK
        self._window = window
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}
        self._random = generator
        # For each service, what is added to the part before it is rounded
        # down, drawn again after each retry and each window.
        self._roundings: dict[str, tuple[float, float]] = {}
        self._fleet_size = 1

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes that share the slack."""
        self._fleet_size = max(nodes, 1)

    def record_request(self, service: str) -> None:
        """Count a request for a service."""
        self._get_times_in_window(self._requests, service).append(
            self._time.now().value
        )

    def spend(self, service: str) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        retries = self._get_times_in_window(self._retries, service)
        requests = self._get_times_in_window(self._requests, service)
        allowed = self._ratio * len(requests) + self._slack / self._fleet_size
        if len(retries) + 1 > allowed + self._find_rounding(service):
            return False
        retries.append(self._time.now().value)
        self._roundings.pop(service, None)
        return True

    def _find_rounding(self, service: str) -> float:
        """Return a number from 0 to 1 that is uniform over the nodes."""
        now = self._time.now().value
        rounding, expiry = self._roundings.get(service, (0.0, 0.0))
        if expiry <= now:
            rounding = self._random.random()
            self._roundings[service] = (rounding, now + self._window.value)
        return rounding

    def _get_times_in_window(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        window_start = self._time.now().value - self._window.value
        while times and times[0] < window_start:
            times.popleft()
        return times
