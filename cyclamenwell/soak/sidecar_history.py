"""Records of a soak run of sidecar nodes, the only input of its checks."""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock

__all__ = ["CallSeen", "FaultSeen", "RunSeen", "SidecarHistory", "StopSeen"]

_ZERO = clock.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class CallSeen:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    path : str
        Path, whose first part names the route.
    may_repeat : bool
        Whether the request is idempotent and may run more than once.
    node : int
        Index of the node that the request was sent to.
    sent, ended : clock.Milliseconds
        Times of sending and of the outcome.
    status : int
        Status of the answer, 0 if there was none.
    body : bytes
        Body of the answer.
    is_unread : bool
        Whether the node refused the connection, or the connection closed
        without an answer and no node has logged the request.
    """

    request_id: str
    path: str
    may_repeat: bool
    node: int
    sent: clock.Milliseconds
    ended: clock.Milliseconds = _ZERO
    status: int = 0
    body: bytes = b""
    is_unread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunSeen:
    """A request that a target started to run.

    Parameters
    ----------
    request_id, path, caller_service : str
        Values that the target received.
    target : int
        Index of the target.
    at : clock.Milliseconds
        Time of arrival.
    """

    request_id: str
    path: str
    caller_service: str
    target: int
    at: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class FaultSeen:
    """A fault that was injected.

    Parameters
    ----------
    kind : str
        Kind of the fault.
    node : int
        Index of the node or target, -1 for a fault of the store.
    begin, end : clock.Milliseconds
        Times of its begin and end.
    """

    kind: str
    node: int
    begin: clock.Milliseconds
    end: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StopSeen:
    """Exit of a node's process.

    Parameters
    ----------
    node : int
        Index of the node.
    asked : clock.Milliseconds or None
        Time of SIGTERM, None if the process exited without a signal.
    ended : clock.Milliseconds
        Time of the exit.
    code : int
        Exit status.
    was_ready : bool
        Whether the node reported that it was ready just before SIGTERM.
    """

    node: int
    asked: clock.Milliseconds | None
    ended: clock.Milliseconds
    code: int
    was_ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarHistory:
    """All records of a run.

    Parameters
    ----------
    calls : tuple of CallSeen
        Requests of callers.
    runs : tuple of RunSeen
        Requests at targets.
    faults : tuple of FaultSeen
        Injected faults.
    stops : tuple of StopSeen
        Exits of processes, except of killed ones.
    services : tuple of str
        Service of each node.
    grace : clock.Milliseconds
        Time that a node has to stop after SIGTERM.
    calm_from : clock.Milliseconds
        End of the recovery time that follows the last fault.
    """

    calls: tuple[CallSeen, ...]
    runs: tuple[RunSeen, ...]
    faults: tuple[FaultSeen, ...]
    stops: tuple[StopSeen, ...]
    services: tuple[str, ...]
    grace: clock.Milliseconds
    calm_from: clock.Milliseconds
