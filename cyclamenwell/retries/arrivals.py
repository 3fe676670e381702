"""Bound on repeated arrivals of requests at the targets of a service.

The load that this answers: when targets of a service fail, every entry node
wants to repeat its requests at once. The fleet may repeat a fixed part of the
requests of a window and a fixed number more; each node keeps to its part of
both, so that no messages are needed.
"""

from __future__ import annotations

import collections

from cyclamenwell import clock

__all__ = ["ArrivalBudget"]

# Part of the fleet's ratio that a node uses itself. The rest covers calls of
# repeated runs, which count as repeats at the services that they call.
_USED_RATIO = 0.5
# The number beyond the ratio is divided between the nodes; half of it is kept
# for nodes that do not know each other.
_USED_SLACK = 0.5


class ArrivalBudget:
    """Counts requests and repeats of each service in a sliding window.

    Parameters
    ----------
    time : clock.Clock
        Clock of the window.
    ratio : float
        Repeated arrivals for each request that the fleet may make.
    slack : float
        Repeated arrivals beyond the ratio in a window, over the fleet.
    window : clock.Milliseconds
        Length of the window.
    """

    def __init__(
        self,
        time: clock.Clock,
        ratio: float,
        slack: float,
        window: clock.Milliseconds,
    ) -> None:
        self._time = time
        self._ratio = ratio * _USED_RATIO
        self._slack = slack * _USED_SLACK
        self._window = window
        self._requests: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}
        self._nodes = 1

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes between which the slack is divided."""
        self._nodes = max(nodes, 1)

    def note_request(self, service: str) -> None:
        """Count a request for a service."""
        self._trim(self._requests, service).append(self._time.now().value)

    def spend(self, service: str) -> bool:
        """Count a repeat and return True, if the budget allows one."""
        repeats = self._trim(self._repeats, service)
        requests = self._trim(self._requests, service)
        allowed = self._ratio * len(requests) + self._slack / self._nodes
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(self._time.now().value)
        return True

    def _trim(
        self, table: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        oldest = self._time.now().value - self._window.value
        while times and times[0] < oldest:
            times.popleft()
        return times
