"""Versions that are on their way to this node."""

from __future__ import annotations

from collections.abc import Iterable
import threading

from cyclamenwell import clock

__all__ = ["LIST", "Claims"]

LIST = ""  # Name of the instance list among the claims.


class Claims:
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
        self._claims: dict[str, tuple[int, clock.Milliseconds]] = {}

    def claim(self, name: str, version: int) -> bool:
        """Claim a version unless it or a newer one is on its way."""
        now = self._time.now()
        with self._lock:
            claimed = self._claims.get(name)
            if claimed and claimed[0] >= version and claimed[1] > now:
                return False
            self._claims[name] = (version, now + self._duration)
            return True

    def release(self, names: Iterable[str]) -> None:
        """Give claims back after an arrival or a failure."""
        with self._lock:
            for name in names:
                self._claims.pop(name, None)
