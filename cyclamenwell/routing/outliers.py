"""Outlier detection from the results of calls of this node."""

from __future__ import annotations

import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["Penalty", "OutlierTracker"]

_Kind = enumerations.ErrorKind

_OVERLOAD_PENALTY = clock.Milliseconds(1000)
_MIN_UNAVAILABLE_PENALTY = clock.Milliseconds(1000)
_MAX_UNAVAILABLE_PENALTY = clock.Milliseconds(10_000)

# The target or its admission control had no capacity, or was slow.
_OVERLOAD_KINDS = frozenset(
    {
        _Kind.OVERLOADED,
        _Kind.COLD,
        _Kind.TARGET_SHED,
        _Kind.TIMED_OUT,
        _Kind.INCOMPLETE_ANSWER,
    }
)
# The instance can run no request at all for now.
_UNAVAILABLE_KINDS = frozenset(
    {
        _Kind.LEAVING,
        _Kind.DATA_CENTRE_OUT,
        _Kind.STALE_VIEW,
        _Kind.WRONG_INSTANCE,
        _Kind.TARGET_UNREACHABLE,
        _Kind.PEER_UNREACHABLE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Penalty:
    """Penalty of an instance for a failed call, which decays linearly.

    Parameters
    ----------
    since : clock.Milliseconds
        Monotonic time of the last failure.
    duration : clock.Milliseconds
        Time until the penalty has decayed.
    unavailable : bool
        Whether the instance could run no request at all.
    """

    since: clock.Milliseconds
    duration: clock.Milliseconds
    unavailable: bool

    def compute_weight(self, now: clock.Milliseconds) -> float:
        """Return the remaining fraction of the penalty, from 1 down to 0."""
        progress = (now.value - self.since.value) / self.duration.value
        return max(1.0 - progress, 0.0)


class OutlierTracker:
    """Counts outstanding calls and records recent failures of instances.

    Parameters
    ----------
    time : clock.Clock
        Clock for the decay of penalties.

    Notes
    -----
    Reads take no lock, because each is one look-up of an immutable value in a
    dictionary.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._lock = threading.Lock()
        self._outstanding: dict[str, int] = {}
        self._penalties: dict[str, Penalty] = {}

    def count_outstanding(self, instance: str) -> int:
        """Return the number of calls of this node that an instance runs."""
        return self._outstanding.get(instance, 0)

    def find_penalty(self, instance: str) -> Penalty | None:
        """Return the last penalty of an instance, even if it has decayed."""
        return self._penalties.get(instance)

    def begin(self, instance: str) -> None:
        """Count a call that is sent to an instance."""
        with self._lock:
            count = self._outstanding.get(instance, 0)
            self._outstanding[instance] = count + 1

    def end(
        self, instance: str, refusal: exceptions.RefusedError | None
    ) -> None:
        """Record the result of a call to an instance.

        Parameters
        ----------
        instance : str
            Instance that the call was sent to.
        refusal : exceptions.RefusedError or None
            Failure of the call, None for a complete answer.
        """
        with self._lock:
            count = self._outstanding.pop(instance, 1) - 1
            if count > 0:
                self._outstanding[instance] = count
            if refusal is None:
                self._penalties.pop(instance, None)
            elif refusal.kind in _OVERLOAD_KINDS:
                self._set_penalty(
                    instance, _OVERLOAD_PENALTY, unavailable=False
                )
            elif refusal.kind in _UNAVAILABLE_KINDS:
                self._set_penalty(
                    instance, self._find_unavailable_penalty(instance), True
                )

    def _find_unavailable_penalty(self, instance: str) -> clock.Milliseconds:
        """Return the next penalty of an instance, with exponential backoff."""
        known = self._penalties.get(instance)
        if known is None or not known.unavailable:
            return _MIN_UNAVAILABLE_PENALTY
        if known.compute_weight(self._time.now()) > 0:
            return known.duration  # Concurrent calls that fail count once.
        return min(known.duration * 2, _MAX_UNAVAILABLE_PENALTY)

    def _set_penalty(
        self, instance: str, duration: clock.Milliseconds, unavailable: bool
    ) -> None:
        self._penalties[instance] = Penalty(
            self._time.now(), duration, unavailable
        )
