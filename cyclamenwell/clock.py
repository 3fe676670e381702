"""Duration type in milliseconds, and clocks."""

from __future__ import annotations

import dataclasses
import time

__all__ = [
    "Clock",
    "ManualClock",
    "Milliseconds",
    "SystemClock",
    "TurnClock",
    "ZERO",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Milliseconds:
    """A duration, or a point in time of a particular clock.

    Parameters
    ----------
    value : float
        Milliseconds.

    Examples
    --------
    >>> Milliseconds(1500) + Milliseconds(500)
    Milliseconds(value=2000)
    >>> Milliseconds(1500).seconds
    1.5
    """

    value: float

    def __add__(self, other: Milliseconds) -> Milliseconds:
        return Milliseconds(self.value + other.value)

    def __sub__(self, other: Milliseconds) -> Milliseconds:
        return Milliseconds(self.value - other.value)

    def __mul__(self, factor: float) -> Milliseconds:
        return Milliseconds(self.value * factor)

    # Comparisons that a data class generates take twice the time.
    def __lt__(self, other: Milliseconds) -> bool:
        return self.value < other.value

    def __le__(self, other: Milliseconds) -> bool:
        return self.value <= other.value

    def __gt__(self, other: Milliseconds) -> bool:
        return self.value > other.value

    def __ge__(self, other: Milliseconds) -> bool:
        return self.value >= other.value

    def __bool__(self) -> bool:
        return self.value != 0

    @property
    def seconds(self) -> float:
        """The duration in seconds, as the standard library expects it."""
        return self.value / 1000.0

    @classmethod
    def from_seconds(cls, seconds: float) -> Milliseconds:
        """Create a duration from seconds."""
        return cls(seconds * 1000.0)


ZERO = Milliseconds(0)


class Clock:
    """Source of the current time.

    Notes
    -----
    Deadlines, leases and timeouts use `now`, which is monotonic. Only
    incarnations, the age of idempotency keys and the time stamps of log lines
    and audit entries use `wall`.
    """

    def now(self) -> Milliseconds:
        """Return the monotonic time."""
        raise NotImplementedError

    def wall_time(self) -> Milliseconds:
        """Return the time since the Unix epoch."""
        raise NotImplementedError


# Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the machine is
# suspended, so that a node notices such a pause.
_MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class SystemClock(Clock):
    """Clocks of the operating system."""

    def now(self) -> Milliseconds:
        """Return the monotonic time, which includes suspension on Linux."""
        return Milliseconds(time.clock_gettime_ns(_MONOTONIC_CLOCK) / 1e6)

    def wall_time(self) -> Milliseconds:
        """Return the time since the Unix epoch."""
        return Milliseconds(time.time_ns() / 1e6)


class TurnClock(SystemClock):
    """Clock of an event loop that reads it once in each of its turns.

    Notes
    -----
    A request asks for the time some fifteen times on each node that it passes,
    mostly several times in the same turn, which lasts less than a millisecond.
    """

    def __init__(self) -> None:
        self.advance_turn()

    def now(self) -> Milliseconds:
        """Return the monotonic time at the beginning of the turn."""
        return self._now

    def advance_turn(self) -> None:
        """Read the clock at the beginning of a turn."""
        self._now = Milliseconds(time.clock_gettime_ns(_MONOTONIC_CLOCK) / 1e6)


class ManualClock(Clock):
    """Clock that advances only when `advance` is called, for tests.

    Parameters
    ----------
    start : Milliseconds
        Initial value of the monotonic clock.
    epoch : Milliseconds
        Initial value of the wall clock.
    """

    def __init__(
        self,
        start: Milliseconds = ZERO,
        epoch: Milliseconds = Milliseconds(1_700_000_000_000),
    ) -> None:
        self._now = start
        self._offset = epoch - start

    def now(self) -> Milliseconds:
        """Return the monotonic time."""
        return self._now

    def wall_time(self) -> Milliseconds:
        """Return the wall time, which advances with the monotonic time."""
        return self._now + self._offset

    def advance(self, duration: Milliseconds) -> None:
        """Advance both clocks.

        Raises
        ------
        ValueError
            If the duration is negative.
        """
        if duration.value < 0:
            raise ValueError(
                f"cannot advance the clock by {duration}: negative"
            )
        self._now = self._now + duration
