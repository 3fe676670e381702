"""Builders of test data for soak runs of sidecar nodes."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.soak import sidecar_history as histories

GRACE = clock.Milliseconds(6000)


def build_call(request_id: str = "s-1", **changes) -> histories.CallSeen:
    """Return a request that was sent at 10 s and answered."""
    values = {
        "request_id": request_id,
        "path": f"/pay/{request_id}",
        "may_repeat": False,
        "node": 0,
        "sent": clock.Milliseconds(10_000),
        "ended": clock.Milliseconds(10_050),
        "status": 200,
        "body": f"whole answer of {request_id}".encode(),
    }
    return histories.CallSeen(**(values | changes))


def build_run(request_id: str = "s-1", **changes) -> histories.RunSeen:
    """Return a request at target 1 that was sent to node 0."""
    values = {
        "request_id": request_id,
        "path": f"/pay/{request_id}",
        "caller_service": "desk",
        "target": 1,
        "at": clock.Milliseconds(10_010),
    }
    return histories.RunSeen(**(values | changes))


def build_fault(
    kind: str, node: int, begin: float, end: float
) -> histories.FaultSeen:
    """Return a fault."""
    return histories.FaultSeen(
        kind, node, clock.Milliseconds(begin), clock.Milliseconds(end)
    )


def build_stop(
    asked: float | None,
    ended: float,
    node: int = 0,
    code: int = 0,
    was_ready: bool = True,
) -> histories.StopSeen:
    """Return the exit of a process."""
    return histories.StopSeen(
        node,
        None if asked is None else clock.Milliseconds(asked),
        clock.Milliseconds(ended),
        code,
        was_ready,
    )


def build_history(**changes) -> histories.SidecarHistory:
    """Return a history without violations."""
    values = {
        "calls": (build_call(),),
        "runs": (build_run(),),
        "faults": (),
        "stops": (),
        "services": ("desk", "meter"),
        "grace": GRACE,
        "calm_from": clock.Milliseconds(9000),
    }
    return histories.SidecarHistory(**(values | changes))
