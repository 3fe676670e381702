"""Requests for admission and observations of the target."""

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
    """Cancellation of a request whose caller has disconnected."""

    cancelled: bool

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Call a function on cancellation, at once if already cancelled."""

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove a function that has not been called yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request for admission.

    Parameters
    ----------
    organisation : str
        Organisation of the request, empty on open routes.
    weight : float
        Entitled rate of the organisation in requests a second, 0 on open
        routes.
    importance : enumerations.Importance
        Importance of the root request.
    deadline : clock.Milliseconds
        Monotonic time after which the answer has no value.
    """

    organisation: str
    weight: float
    importance: enumerations.Importance
    deadline: clock.Milliseconds


class Result(enum.Enum):
    """Outcome of an admitted request."""

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
    """Outcome and duration of an admitted request.

    Parameters
    ----------
    result : Result
        Outcome of the request.
    duration : clock.Milliseconds
        Time that the request spent at the target.
    """

    result: Result
    duration: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Permit to send one request to the target.

    Parameters
    ----------
    admitted_at : clock.Milliseconds
        Monotonic time of the admission.
    epoch : int
        Epoch of the concurrency limit at the time of the admission.
    """

    admitted_at: clock.Milliseconds
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of the target and its queue.

    Parameters
    ----------
    in_progress : int
        Number of requests at the target.
    queued : int
        Number of requests in the queue.
    limit : int
        Concurrency limit in force.
    cold : bool
        Whether the target is warming up.
    """

    in_progress: int
    queued: int
    limit: int
    cold: bool
