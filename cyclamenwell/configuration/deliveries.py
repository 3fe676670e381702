"""Deliveries of versions that are in progress towards this node."""

from __future__ import annotations

from collections.abc import Iterable
import threading

from cyclamenwell import clock

__all__ = ["LIST", "PendingDeliveries"]

LIST = ""  # Delivery name of the instance list.


class PendingDeliveries:
    """Prevents several neighbours from sending the same version at once.

    Parameters
    ----------
    time : clock.Clock
        Clock of the expiry.
    duration : clock.Milliseconds
        Time that a sender has; after that, another one may send.
    """

    def __init__(self, time: clock.Clock, duration: clock.Milliseconds) -> None:
        self._time = time
        self._duration = duration
        self._lock = threading.Lock()
        self._pending: dict[str, tuple[int, clock.Milliseconds]] = {}

    def begin(self, name: str, version: int) -> bool:
        """Reserve the delivery of a version.

        Returns
        -------
        bool
            False if a delivery of this version or a newer one is in progress.
        """
        now = self._time.now()
        with self._lock:
            pending = self._pending.get(name)
            if pending and pending[0] >= version and pending[1] > now:
                return False
            self._pending[name] = (version, now + self._duration)
            return True

    def end(self, names: Iterable[str]) -> None:
        """Release deliveries that have arrived or failed."""
        with self._lock:
            for name in names:
                self._pending.pop(name, None)
