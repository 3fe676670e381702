"""Requests at the gate and what they show of the target."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell.generated import enumerations

__all__ = [
    "Admission",
    "Cancellation",
    "GateLoad",
    "Observation",
    "Result",
    "Ticket",
]


class Cancellation(Protocol):
    """Tells that the caller of a request has gone away."""

    cancelled: bool

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Run a function on cancellation, at once if it has happened."""

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Forget a function, if it has not been run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that wants to pass the gate.

    Parameters
    ----------
    organisation : str
        Organisation the request runs for, empty on open routes.
    weight : float
        Entitled rate of the organisation in requests a second, 0 on open
        routes.
    importance : enumerations.Importance
        Importance of the root request.
    deadline : clock.Milliseconds
        Monotonic time after which an answer is of no use.
    """

    organisation: str
    weight: float
    importance: enumerations.Importance
    deadline: clock.Milliseconds


class Result(enum.Enum):
    """What became of an admitted request."""

    ANSWERED = 1
    FAILED = 2
    SHED = 3
    UNREACHABLE = 4
    TIMED_OUT = 5
    CANCELLED = 6
    NOT_SENT = 7
    BROKEN = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an admitted request showed of the target.

    Parameters
    ----------
    result : Result
        What became of the request.
    duration : clock.Milliseconds
        Time at the target.
    """

    result: Result
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Right to send one request to the target.

    Parameters
    ----------
    admitted_at : clock.Milliseconds
        Monotonic time of the admission.
    epoch : int
        Epoch of the limit under which the request was admitted.
    """

    admitted_at: clock.Milliseconds
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the gate.

    Parameters
    ----------
    in_progress : int
        Requests at the target.
    queued : int
        Requests that wait.
    limit : int
        Requests admitted at once.
    cold : bool
        Whether the target is warming up.
    """

    in_progress: int
    queued: int
    limit: int
    cold: bool
