"""Age of the last confirmation of this node's view."""

from __future__ import annotations

import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories

__all__ = ["Freshness"]

_UNKNOWN_AGE_MS = -1  # Sent while no platform answer is known.


class Freshness:
    """Decides whether the view is recent enough for keyed calls.

    Parameters
    ----------
    time : clock.Clock
        Monotonic clock, which continues while the process is paused.
    peers : settings.PeerSettings
        Bounds of the ages and the isolation policy.
    instance : str
        Name of this instance.
    directory : directories.Directory
        Tells whether other instances are listed.

    Notes
    -----
    Only completed exchanges that this node started count, dated from their
    start. A request from a peer may have waited in a socket buffer while this
    process was paused, so it does not show that the view is recent.
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
        """Record a completed exchange as a confirmation.

        Parameters
        ----------
        started : clock.Milliseconds
            Monotonic time at which the exchange started.
        """
        with self._lock:
            known = self._confirmed_at
            if known is None or started > known:
                self._confirmed_at = started

    def note_platform(self, answered_at: clock.Milliseconds) -> None:
        """Record an answer of the platform.

        Parameters
        ----------
        answered_at : clock.Milliseconds
            Monotonic time from which the answer is dated.
        """
        with self._lock:
            known = self._platform_at
            if known is None or answered_at > known:
                self._platform_at = answered_at

    def note_platform_age(self, started: clock.Milliseconds, age: int) -> None:
        """Record the platform age that a peer reported in an exchange.

        Parameters
        ----------
        started : clock.Milliseconds
            Start of the exchange. The peer read the age later, so the result is
            never younger than the actual answer.
        age : int
            Age in milliseconds, negative if the peer knows no answer.
        """
        if age >= 0:
            self.note_platform(started - clock.Milliseconds(age))

    def find_view_age(self) -> clock.Milliseconds | None:
        """Return the time since the last confirmation, None without one."""
        confirmed_at = self._confirmed_at
        return None if confirmed_at is None else self._time.now() - confirmed_at

    def find_platform_age(self) -> clock.Milliseconds | None:
        """Return the age of the last platform answer, None without one."""
        answered_at = self._platform_at
        return None if answered_at is None else self._time.now() - answered_at

    def report_platform_age(self) -> int:
        """Return the platform age in the form used in messages."""
        age = self.find_platform_age()
        return _UNKNOWN_AGE_MS if age is None else int(age.value)

    def is_sole_instance(self) -> bool:
        """Return whether the list is known and has no other instance."""
        current = self._directory.current_list
        others = len(current.entries) - (self._instance in current.entries)
        return current.revision > 0 and others == 0

    def is_confirmed(self) -> bool:
        """Return whether the view is confirmed.

        The view of a sole instance needs no confirmation.
        """
        if self.is_sole_instance():
            return True
        age = self.find_view_age()
        return age is not None and age <= self._peers.max_view_age

    def check_freshness(self) -> None:
        """Refuse keyed calls if the view is too old.

        Raises
        ------
        exceptions.RefusedError
            With the kind STALE_VIEW, if the isolation policy requires a
            confirmed view and there is none, or if the last platform answer is
            too old.
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
