"""How recently the view of this node was confirmed."""

from __future__ import annotations

import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories

__all__ = ["Freshness"]

_NO_ANSWER_MS = -1  # Age sent while no platform answer is known.


class Freshness:
    """Decides whether the view is recent enough for keyed calls.

    Parameters
    ----------
    time : clock.Clock
        Monotonic clock, which goes on while the process is paused.
    peers : settings.PeerSettings
        Bounds of the ages and the policy in isolation.
    instance : str
        Name of this instance.
    directory : directories.Directory
        Tells whether other instances are listed.

    Notes
    -----
    Only finished exchanges that this node started count, dated from their
    start. A request that a peer sent may have waited in a socket buffer while
    this process was paused, so it proves nothing about the present.
    """

    def __init__(
        self,
        time: clock.Clock,
        peers: settings.PeerSettings,
        instance: str,
        directory: directories.Directory,
    ) -> None:
        self._time = time
        self._peers = peers
        self._instance = instance
        self._directory = directory
        self._lock = threading.Lock()
        self._confirmed_at: clock.Milliseconds | None = None
        self._platform_at: clock.Milliseconds | None = None

    def confirm(self, started: clock.Milliseconds) -> None:
        """Take a finished exchange, dated from its start."""
        with self._lock:
            known = self._confirmed_at
            if known is None or started > known:
                self._confirmed_at = started

    def note_platform(self, answered_at: clock.Milliseconds) -> None:
        """Take the monotonic time of an answer of the platform."""
        with self._lock:
            known = self._platform_at
            if known is None or answered_at > known:
                self._platform_at = answered_at

    def note_platform_age(self, started: clock.Milliseconds, age: int) -> None:
        """Take the age that a peer gave in an exchange.

        Parameters
        ----------
        started : clock.Milliseconds
            Start of the exchange; the age was read later, so the result never
            looks younger than it is.
        age : int
            Age in milliseconds, negative for none.
        """
        if age >= 0:
            self.note_platform(started - clock.Milliseconds(age))

    def find_view_age(self) -> clock.Milliseconds | None:
        """Return the time since the last confirmation, None for none."""
        confirmed_at = self._confirmed_at
        return None if confirmed_at is None else self._time.now() - confirmed_at

    def find_platform_age(self) -> clock.Milliseconds | None:
        """Return the age of the youngest platform answer, None for none."""
        answered_at = self._platform_at
        return None if answered_at is None else self._time.now() - answered_at

    def report_platform_age(self) -> int:
        """Return the platform age as messages carry it."""
        age = self.find_platform_age()
        return _NO_ANSWER_MS if age is None else int(age.value)

    def is_alone(self) -> bool:
        """Return whether a list is known and names no other instance."""
        current = self._directory.current
        others = len(current.entries) - (self._instance in current.entries)
        return current.revision > 0 and others == 0

    def is_confirmed(self) -> bool:
        """Return whether the view is confirmed or nobody could confirm it."""
        if self.is_alone():
            return True
        age = self.find_view_age()
        return age is not None and age <= self._peers.max_view_age

    def check(self) -> None:
        """Refuse keyed calls under an unconfirmed view.

        Raises
        ------
        exceptions.RefusedError
            As STALE_VIEW.
        """
        policy = self._peers.isolation
        if policy is enumerations.IsolationPolicy.REFUSE:
            self._check_view()
        if self._peers.max_platform_age:
            self._check_platform()

    def _check_view(self) -> None:
        if not self.is_confirmed():
            raise exceptions.RefusedError(
                enumerations.ErrorKind.STALE_VIEW,
                "no peer has confirmed the configuration for "
                f"{self._peers.max_view_age.value:g} ms",
            )

    def _check_platform(self) -> None:
        age = self.find_platform_age()
        if age is None or age > self._peers.max_platform_age:
            raise exceptions.RefusedError(
                enumerations.ErrorKind.STALE_VIEW,
                "no answer of the platform is younger than "
                f"{self._peers.max_platform_age.value:g} ms",
            )
