"""What calls of this node have shown of the instances they were sent to."""

from __future__ import annotations

import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["Penalty", "OutlierTracker"]

_Kind = enumerations.ErrorKind

_OVERLOAD_PENALTY = clock.Milliseconds(1000)
_MIN_ABSENCE_PENALTY = clock.Milliseconds(1000)
_MAX_ABSENCE_PENALTY = clock.Milliseconds(10_000)

# The target or its gate had no room, or was slow: a busier choice.
_BUSY = frozenset(
    {
        _Kind.OVERLOADED,
        _Kind.COLD,
        _Kind.TARGET_SHED,
        _Kind.TIMED_OUT,
        _Kind.INCOMPLETE_ANSWER,
    }
)
# Nothing at the instance can run any request for now.
_ABSENT = frozenset(
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
    """Consequence of the failures of an instance.

    Parameters
    ----------
    since : clock.Milliseconds
        Monotonic time of the last failure.
    duration : clock.Milliseconds
        Time until the penalty has decayed.
    absent : bool
        Whether the instance could run nothing at all.
    """

    since: clock.Milliseconds
    duration: clock.Milliseconds
    absent: bool

    def weigh(self, now: clock.Milliseconds) -> float:
        """Return the remaining part of the penalty, from 1 down to 0."""
        passed = (now.value - self.since.value) / self.duration.value
        return max(1.0 - passed, 0.0)


class OutlierTracker:
    """Counts calls on their way and remembers recent failures.

    Parameters
    ----------
    time : clock.Clock
        Clock of the penalties.

    Notes
    -----
    Reads take no lock: each is one look-up in a dictionary of immutable
    values.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._lock = threading.Lock()
        self._outstanding: dict[str, int] = {}
        self._penalties: dict[str, Penalty] = {}

    def count_outstanding(self, instance: str) -> int:
        """Return the calls of this node that run at an instance."""
        return self._outstanding.get(instance, 0)

    def find_penalty(self, instance: str) -> Penalty | None:
        """Return the penalty of an instance, decayed or not."""
        return self._penalties.get(instance)

    def begin(self, instance: str) -> None:
        """Count a call that is sent to an instance."""
        with self._lock:
            count = self._outstanding.get(instance, 0)
            self._outstanding[instance] = count + 1

    def end(
        self, instance: str, refusal: exceptions.RefusedError | None
    ) -> None:
        """Note how a call to an instance ended.

        Parameters
        ----------
        instance : str
            The instance.
        refusal : exceptions.RefusedError or None
            Its failure, None for a whole answer.
        """
        with self._lock:
            count = self._outstanding.pop(instance, 1) - 1
            if count > 0:
                self._outstanding[instance] = count
            if refusal is None:
                self._penalties.pop(instance, None)
            elif refusal.kind in _BUSY:
                self._punish(instance, _OVERLOAD_PENALTY, absent=False)
            elif refusal.kind in _ABSENT:
                self._punish(instance, self._find_absence(instance), True)

    def _find_absence(self, instance: str) -> clock.Milliseconds:
        """Return twice the last absence penalty of an instance."""
        known = self._penalties.get(instance)
        if known is None or not known.absent:
            return _MIN_ABSENCE_PENALTY
        if known.weigh(self._time.now()) > 0:
            return known.duration  # Calls sent at the same time count once.
        return min(known.duration * 2, _MAX_ABSENCE_PENALTY)

    def _punish(
        self, instance: str, duration: clock.Milliseconds, absent: bool
    ) -> None:
        self._penalties[instance] = Penalty(self._time.now(), duration, absent)
