"""Execution of one soak run."""

from __future__ import annotations

import threading

import urllib3

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.load import processes
from cyclamenwell.soak import callers as caller_threads
from cyclamenwell.soak import fleet as fleets
from cyclamenwell.soak import history as histories
from cyclamenwell.soak import monitor as monitors
from cyclamenwell.soak import plans
from cyclamenwell.standin import target as targets

__all__ = ["run_plan"]

_STACK_BYTES = 256 * 1024  # Each relayed connection has a thread.
_START_DELAY = clock.Milliseconds(500)
# A fault near the end of the run may still stop a node and start another.
_FAULT_TIMEOUT = clock.Milliseconds(45_000)
_RETRIES = 3  # Default value in the `fleet` document.
_FAILURES = (
    exceptions.CyclamenwellError,
    urllib3.exceptions.HTTPError,
    OSError,
)


def run_plan(plan: plans.Plan) -> histories.History:
    """Carry out a plan and return the recorded history.

    Raises
    ------
    deployments.DeploymentError
        If a process does not start.
    """
    threading.stack_size(_STACK_BYTES)
    with processes.ProcessGroup() as group:
        fleet = fleets.Fleet(group, plan)
        try:
            return _run(fleet)
        finally:
            fleet.close()


def _run(fleet: fleets.Fleet) -> histories.History:
    plan = fleet.plan
    fleet.start_all()
    fleet.start = fleets.read_time() + _START_DELAY.value
    monitor = monitors.Monitor(fleet)
    monitor.start()
    faults = [
        threading.Thread(target=_inject, args=(fault, fleet), daemon=True)
        for fault in plan.faults
    ]
    for thread in faults:
        thread.start()
    callers = caller_threads.Callers(fleet)
    if not callers.run():
        fleet.errors.append("a caller thread did not finish in time")
    end = fleets.read_time() + _FAULT_TIMEOUT.value
    for thread in faults:
        thread.join(max(end - fleets.read_time(), 0) / 1000)
        if thread.is_alive():
            fleet.errors.append("a fault injection did not finish in time")
    return _collect(fleet, callers, monitor)


def _inject(fault: plans.Fault, fleet: fleets.Fleet) -> None:
    fleet.wait_until(fault.at_ms)
    if fleet.ended.is_set():
        return
    begin = fleets.read_time()
    try:
        kind, subjects, detail = fleets.inject_fault(fault, fleet)
    except _FAILURES as error:
        fleet.errors.append(f"{fault}: {error}")
        return
    fleet.faults.append(
        histories.FaultRecord(
            kind=kind or "not-possible",
            subjects=subjects,
            begin=begin,
            end=fleets.read_time(),
            detail=detail,
            whole_side=_isolates(fault),
        )
    )


def _isolates(fault: plans.Fault) -> bool:
    """Return whether a fault cuts instances off from all others."""
    return isinstance(fault, plans.CutLinks) and not fault.others


def _collect(
    fleet: fleets.Fleet,
    callers: caller_threads.Callers,
    monitor: monitors.Monitor,
) -> histories.History:
    errors = tuple(fleet.list_errors())
    runs = tuple(targets.RunRecord(**record) for record in fleet.read_records())
    refusals = (
        histories.FaultRecord("relay", (receiver,), at, at, "node not there")
        for at, receiver in tuple(fleet.links.refusals)
    )
    return histories.History(
        calls=tuple(callers.records),
        runs=runs,
        faults=(*fleet.faults, *refusals),
        lives=fleet.list_lives(),
        publications=tuple(fleet.publications),
        polls=tuple(sorted(monitor.polls, key=lambda poll: poll.at)),
        stalls=monitor.list_stalls(),
        bursts=plans.BURSTS,
        cold_limit=fleets.COLD_LIMIT,
        retries=_RETRIES,
        peer_chunks=fleet.links.chunks,
        peer_leaks=tuple(sorted(fleet.links.leaks)),
        errors=errors,
    )
