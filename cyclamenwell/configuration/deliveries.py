"""Versions that are on their way to this node."""

from __future__ import annotations

from collections.abc import Iterable
import threading

from cyclamenwell import clock

__all__ = ["LIST", "PendingDeliveries"]

LIST = ""  # Name of the instance list among the deliveries.


class PendingDeliveries:
    """Keeps a version from being sent by several neighbours at once.

    Parameters
    ----------
    time : clock.Clock
        Clock of the expiry.
    duration : clock.Milliseconds
        How long a sender has; after that, another one may send.
    """

    def __init__(self, time: clock.Clock, duration: clock.Milliseconds) -> None:
        self._time = time
        self._duration = duration
        self._lock = threading.Lock()
        self._pending: dict[str, tuple[int, clock.Milliseconds]] = {}

    def begin(self, name: str, version: int) -> bool:
        """Note that a version is on its way, unless it or a newer one is."""
        now = self._time.now()
        with self._lock:
            pending = self._pending.get(name)
            if pending and pending[0] >= version and pending[1] > now:
                return False
            self._pending[name] = (version, now + self._duration)
            return True

    def end(self, names: Iterable[str]) -> None:
        """Forget deliveries that arrived or failed."""
        with self._lock:
            for name in names:
                self._pending.pop(name, None)
