"""Gate that admits requests to the target beside the node."""

from __future__ import annotations

import dataclasses
import enum
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["Admission", "Gate", "GateLoad", "Observation", "Result", "Ticket"]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that wants to pass the gate.

    Parameters
    ----------
    organisation : str
        Organisation the request runs for, empty on open routes.
    weight : float
        Entitled rate of the organisation in requests a second.
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
    """

    admitted_at: clock.Milliseconds


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


class Gate:
    """Limits the requests at the target.

    Parameters
    ----------
    time : clock.Clock
        Clock of the deadlines.
    limit : int
        Requests admitted at once.
    """

    def __init__(self, time: clock.Clock, limit: int) -> None:
        self._time = time
        self._limit = limit
        self._lock = threading.Lock()
        self._in_progress = 0

    def enter(self, ticket: Ticket) -> Admission:
        """Admit a request.

        Raises
        ------
        exceptions.RefusedError
            As OVERLOADED if the target has as many requests as it may.
        """
        del ticket
        with self._lock:
            if self._in_progress >= self._limit:
                raise exceptions.RefusedError(
                    enumerations.ErrorKind.OVERLOADED,
                    f"{self._limit} requests are in progress",
                )
            self._in_progress += 1
        return Admission(self._time.now())

    def leave(self, admission: Admission, observation: Observation) -> None:
        """Return an admission."""
        del admission, observation
        with self._lock:
            self._in_progress -= 1

    def read_load(self) -> GateLoad:
        """Return the present load."""
        return GateLoad(self._in_progress, 0, self._limit, False)
