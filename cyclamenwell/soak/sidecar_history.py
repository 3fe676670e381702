"""What a soak run of sidecar nodes has seen; the checks look at this only."""

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
        Identity.
    path : str
        Path, whose first part names the route.
    may_repeat : bool
        Whether it may run more than once.
    node : int
        Number of the node that it was sent to.
    sent, ended : clock.Milliseconds
        Times.
    status : int
        Status of the answer; 0 if there was none.
    body : bytes
        Body of the answer.
    is_unread : bool
        Whether the node refused the connection, or the connection ended
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
    """A request that a target began to run.

    Parameters
    ----------
    request_id, path, caller_service : str
        As the target was told.
    target : int
        Number of the target.
    at : clock.Milliseconds
        When it came.
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
        Name of the fault.
    node : int
        Node or target, -1 if it has none.
    begin, end : clock.Milliseconds
        When it held.
    """

    kind: str
    node: int
    begin: clock.Milliseconds
    end: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class StopSeen:
    """End of a node's process.

    Parameters
    ----------
    node : int
        Number of the node.
    asked : clock.Milliseconds or None
        When SIGTERM was sent, None if it ended by itself.
    ended : clock.Milliseconds
        When the process was gone.
    code : int
        Exit status.
    was_ready : bool
        Whether the node said that it was ready just before.
    """

    node: int
    asked: clock.Milliseconds | None
    ended: clock.Milliseconds
    code: int
    was_ready: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarHistory:
    """Everything that a run has seen.

    Parameters
    ----------
    calls : tuple of CallSeen
        Requests of callers.
    runs : tuple of RunSeen
        Requests at targets.
    faults : tuple of FaultSeen
        Injected faults.
    stops : tuple of StopSeen
        Ended processes, killed ones left out.
    services : tuple of str
        Service of each node.
    grace : clock.Milliseconds
        Time between SIGTERM and SIGKILL.
    calm_from : clock.Milliseconds
        When the last fault had been over for the time of recovery.
    """

    calls: tuple[CallSeen, ...]
    runs: tuple[RunSeen, ...]
    faults: tuple[FaultSeen, ...]
    stops: tuple[StopSeen, ...]
    services: tuple[str, ...]
    grace: clock.Milliseconds
    calm_from: clock.Milliseconds
