"""Limits the runs that a target begins while its nested calls are refused.

Answers the load of a chain of services whose deepest one has too few slots. A
run that needs several calls is lost with the first of them that is refused, and
the calls that were served for it have then taken slots that would have finished
another run. The more runs are begun, the fewer end well, and callers who repeat
failed requests keep it so when the reason is over. The node beside a target
therefore begins no more runs of a route than can be finished. The others are
refused before they run, so that the services above learn of it in the same way
and the callers of root requests are told when to return.
"""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock
from cyclamenwell.admission import refused_calls
from cyclamenwell.generated import enumerations
from cyclamenwell.limits import bucket

__all__ = ["RunEnd", "RunThrottle", "RunThrottles", "ThrottleChange"]

# Share of the runs that may lose a call. It is above 0, since the rate that
# the services below bear shows only when it is reached.
_LOST_SHARE_TARGET = 0.1
# Ended runs that decide on a change, and the time after which fewer do.
_MIN_SAMPLE = 8
_MIN_INTERVAL = clock.Milliseconds(200)
_MAX_INTERVAL = clock.Milliseconds(500)
# Part of the rate that is taken off if all runs are lost, and the least one.
_DECREASE = 0.3
_MIN_DECREASE = 0.1
# The rate grows by this share, twice as much each time that no run is lost.
_FIRST_INCREASE = 0.3
_MAX_INCREASE = 1.0
_MIN_RATE_PER_SECOND = 2.0
# The limit ends when it is this far above the rate of the runs.
_UNUSED_FACTOR = 2.0
_BURST_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleChange:
    """A change of the limit of a route.

    Parameters
    ----------
    rate_per_second : float or None
        New limit in runs a second, None if it ends.
    ended, lost : int
        Runs that have ended since the last change, and those of them that
        failed because a call was refused.
    """

    rate_per_second: float | None
    ended: int
    lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """What the end of a run has shown.

    Parameters
    ----------
    is_lost : bool
        Whether it failed because a nested call was refused.
    change : ThrottleChange or None
        Change of the limit of its route that follows, None for none.
    """

    is_lost: bool
    change: ThrottleChange | None


class RunThrottle:
    """Limit on the rate of the runs of one route at one target.

    Parameters
    ----------
    now : clock.Milliseconds
        Present monotonic time.

    Notes
    -----
    Only runs that began after the last change count for the next one, so that
    the limit moves once in the time that a run takes.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self._bucket: bucket.TokenBucket | None = None
        self._increase = _FIRST_INCREASE
        self._changed_at = now
        self._begun = 0
        self._ended = 0
        self._lost = 0
        self._is_decided = False

    @property
    def is_unused(self) -> bool:
        """Whether the last decision was that no limit is needed."""
        return self._is_decided and self._bucket is None

    @property
    def rate_per_second(self) -> float | None:
        """Limit in runs a second, None while there is none."""
        return None if self._bucket is None else self._bucket.rate_per_second

    def admit(self, now: clock.Milliseconds) -> bool:
        """Return whether a run may begin."""
        if self._bucket is not None and not self._bucket.take(now):
            return False
        self._begun += 1
        return True

    def find_wait(self, now: clock.Milliseconds) -> clock.Milliseconds:
        """Return the time until a run may begin."""
        if self._bucket is None:
            return clock.ZERO
        self._bucket.refill(now)
        return self._bucket.find_wait() or clock.ZERO

    def note_end(
        self,
        begun_at: clock.Milliseconds,
        now: clock.Milliseconds,
        is_lost: bool,
    ) -> ThrottleChange | None:
        """Note that a run has ended; return the change that follows, if any.

        Parameters
        ----------
        begun_at, now : clock.Milliseconds
            Begin and end of the run.
        is_lost : bool
            Whether it failed because a nested call was refused.
        """
        if begun_at < self._changed_at:
            return None
        self._ended += 1
        self._lost += is_lost
        elapsed = now - self._changed_at
        if elapsed < _MIN_INTERVAL:
            return None
        if self._ended < _MIN_SAMPLE and elapsed < _MAX_INTERVAL:
            return None
        return self._decide(now, elapsed)

    def _decide(
        self, now: clock.Milliseconds, elapsed: clock.Milliseconds
    ) -> ThrottleChange | None:
        lost_share = self._lost / self._ended
        used_rate = self._begun / elapsed.seconds
        rate = self.rate_per_second
        if lost_share > _LOST_SHARE_TARGET:
            cut = max(lost_share * _DECREASE, _MIN_DECREASE)
            base = used_rate if rate is None else min(rate, used_rate)
            rate = max(base * (1.0 - cut), _MIN_RATE_PER_SECOND)
            self._increase = _FIRST_INCREASE
        elif rate is not None:
            rate *= 1.0 + self._increase
            if not self._lost:
                self._increase = min(self._increase * 2.0, _MAX_INCREASE)
            if rate > used_rate * _UNUSED_FACTOR:
                rate = None
        change = ThrottleChange(rate, self._ended, self._lost)
        is_changed = rate is not None or self._bucket is not None
        self._set_rate(rate, now)
        self._changed_at = now
        self._is_decided = True
        self._begun = self._ended = self._lost = 0
        return change if is_changed else None

    def _set_rate(self, rate: float | None, now: clock.Milliseconds) -> None:
        if rate is None:
            self._bucket = None
            return
        if self._bucket is None:
            self._bucket = bucket.TokenBucket(now)
        self._bucket.resize(rate, max(rate * _BURST_SECONDS, 1.0), now)


class RunThrottles:
    """Limits of the routes of one target.

    Notes
    -----
    Only routes that have lost runs have a limit, so routes whose requests make
    no calls are never limited.
    """

    def __init__(self) -> None:
        self._refused_calls = refused_calls.RefusedCalls()
        self._throttles: dict[str, RunThrottle] = {}

    def admit(self, route: str, now: clock.Milliseconds) -> bool:
        """Return whether a run of a route may begin."""
        throttle = self._throttles.get(route)
        return throttle is None or throttle.admit(now)

    def find_wait(
        self, route: str, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the time until a run of a route may begin."""
        throttle = self._throttles.get(route)
        return clock.ZERO if throttle is None else throttle.find_wait(now)

    def note_refused_call(
        self, kind: enumerations.ErrorKind, now: clock.Milliseconds
    ) -> None:
        """Note that a nested call of the target was refused."""
        self._refused_calls.note_refusal(kind, now)

    def note_end(
        self,
        route: str,
        begun_at: clock.Milliseconds,
        now: clock.Milliseconds,
        is_failed: bool,
    ) -> RunEnd:
        """Note that a run has ended.

        Parameters
        ----------
        route : str
            Route of the request.
        begun_at, now : clock.Milliseconds
            Begin and end of the run.
        is_failed : bool
            Whether the target has answered with a failure or not at all.
        """
        is_lost = is_failed and self._refused_calls.claim(now)
        throttle = self._throttles.get(route)
        if throttle is None:
            if is_lost:
                self._throttles[route] = RunThrottle(now)
            return RunEnd(is_lost, None)
        change = throttle.note_end(begun_at, now, is_lost)
        if throttle.is_unused:
            del self._throttles[route]
        return RunEnd(is_lost, change)
