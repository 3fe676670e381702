"""Execution of an experiment with the system or with the baseline."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import functools
import json
import pathlib
import threading
import time

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import experiments
from cyclamenwell.load import deployment as deployments
from cyclamenwell.load import figures
from cyclamenwell.load import generator
from cyclamenwell.load import plans
from cyclamenwell.load import processes

__all__ = [
    "BASELINE",
    "ExperimentError",
    "SYSTEM",
    "list_events",
    "run_experiment",
]

SYSTEM = "system"
BASELINE = "baseline"
# Time allowed for the load processes to start before the first arrival.
_START_LEAD = clock.Milliseconds(3_000)
_END_TIMEOUT = clock.Milliseconds(45_000)
# Time before the return of a data centre at which its targets accept
# connections again.
_RECONNECT_LEAD = clock.Milliseconds(500)
_NESTED_CALL_PATH = "/further/{id}"


class ExperimentError(exceptions.CyclamenwellError):
    """A run of an experiment failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Scheduled action during the load.

    Parameters
    ----------
    at : clock.Milliseconds
        Time from the load start.
    apply : callable
        Action to perform.
    """

    at: clock.Milliseconds
    apply: Callable[[], None]


def run_experiment(path: pathlib.Path, side: str) -> figures.Run:
    """Run an experiment once with one side.

    Parameters
    ----------
    path : pathlib.Path
        Experiment file.
    side : str
        `SYSTEM` or `BASELINE`.

    Returns
    -------
    figures.Run
        Samples of the clients and records of the targets.

    Raises
    ------
    ExperimentError
        If a load process or an event failed, or a process exited early.
    deployments.DeploymentError
        If a process failed to start.
    """
    experiment = plans.load_experiment(path)
    with processes.ProcessGroup() as group:
        deployment = deployments.Deployment(group)
        _start_deployment(deployment, experiment, side)
        start = time.monotonic_ns() / 1e6 + _START_LEAD.value
        outputs = _start_load(group, deployment, path, experiment, start)
        failures: list[str] = []
        events = sorted(
            list_events(deployment, experiment), key=lambda event: event.at
        )
        thread = threading.Thread(
            target=_apply_events, args=(events, start, failures), daemon=True
        )
        thread.start()
        samples = _wait_for_load(group, experiment, outputs)
        thread.join(_END_TIMEOUT.seconds)
        _check_run(group, failures)
        records = deployment.read_records()
    return figures.Run(
        experiment=experiment,
        samples=tuple(samples),
        records=tuple(_shift_times(record, start) for record in records),
        data_centres={m.instance: m.data_centre for m in deployment.members},
    )


def list_events(
    deployment: deployments.Deployment, experiment: experiments.Experiment
) -> list[Event]:
    """Return the events of all injected faults of an experiment."""
    faults = (
        *experiment.slow_faults,
        *experiment.cold_faults,
        *experiment.outages,
    )
    return [
        event for fault in faults for event in _build_events(fault, deployment)
    ]


@functools.singledispatch
def _build_events(
    fault: object, deployment: deployments.Deployment
) -> Iterator[Event]:
    """Return the events that inject and clear one fault."""
    raise TypeError(f"unsupported fault type {type(fault).__name__}")


@_build_events.register
def _(
    fault: experiments.SlowFault, deployment: deployments.Deployment
) -> Iterator[Event]:
    def set_factor(factor: float) -> None:
        for member in deployment.members:
            if member.service == fault.service:
                body = json.dumps({"slow_factor": factor})
                deployment.control_target(member, "plan", body)

    yield Event(fault.at, lambda: set_factor(fault.factor))
    yield Event(fault.at + fault.duration, lambda: set_factor(1.0))


@_build_events.register
def _(
    fault: experiments.ColdFault, deployment: deployments.Deployment
) -> Iterator[Event]:
    def turn_cold() -> None:
        for member in deployment.members:
            deployment.control_target(member, "cold", "")

    yield Event(fault.at, turn_cold)


@_build_events.register
def _(
    fault: experiments.OutageFault, deployment: deployments.Deployment
) -> Iterator[Event]:
    name = f"dc-{fault.data_centre}"

    def set_connections(mode: str) -> None:
        for member in deployment.members:
            if member.data_centre == name:
                deployment.control_target(member, "connections", mode)

    end = fault.at + fault.duration
    yield Event(fault.at, lambda: deployment.publish_fleet(name))
    yield Event(fault.at + fault.dark_after, lambda: set_connections("refuse"))
    yield Event(end - _RECONNECT_LEAD, lambda: set_connections("accept"))
    yield Event(end, deployment.publish_fleet)


def _start_deployment(
    deployment: deployments.Deployment,
    experiment: experiments.Experiment,
    side: str,
) -> None:
    deployment.start_platform()
    deployment.assign_ports(
        (f"{service.name}-{number}{letter}", service.name, f"dc-{number}")
        for service in experiment.services
        for number in range(1, experiment.data_centres + 1)
        for letter in "abcdefgh"[: service.instances_per_data_centre]
    )
    deployment.publish_list()
    documents = _publish_documents(deployment, experiment)
    services = {service.name: service for service in experiment.services}
    for index, member in enumerate(deployment.members):
        deployment.start_target(
            member,
            _build_target_plan(experiment, services[member.service], index),
        )
    if side == BASELINE:
        keys = {
            deployments.build_key(plan.name): plan.name
            for plan in experiment.organisations
        }
        for member in deployment.members:
            deployment.start_forwarder(member, keys)
        deployment.wait_for_targets()
        deployment.wait_for_forwarders()
        return
    for member in deployment.members:
        deployment.start_node(member)
    deployment.wait_for_targets()
    deployment.wait_for_nodes(documents)


def _build_target_plan(
    experiment: experiments.Experiment,
    service: experiments.ServicePlan,
    index: int,
) -> dict[str, object]:
    return {
        "service_ms": service.service_time.value,
        "further_services": list(service.further),
        "further_path": "/further/1",
        "slots": service.slots,
        "variation": service.variation,
        "queue_penalty": service.queue_penalty,
        "max_queued": service.max_queued,
        "cold_slots": service.cold_slots,
        "warm_requests": service.warm_requests,
        # Targets start warm; a cold start is injected as a fault.
        "starts_cold": False,
        "seed": experiment.seed + index,
    }


def _publish_documents(
    deployment: deployments.Deployment, experiment: experiments.Experiment
) -> int:
    """Publish all documents and return their count."""
    for service in experiment.services:
        document = _build_service(experiment, service)
        deployment.publish(f"service/{service.name}", document)
    for plan in experiment.organisations:
        deployment.publish_organisation(
            plan.name, deployments.build_key(plan.name)
        )
    deployment.publish_fleet()
    return len(experiment.services) + len(experiment.organisations) + 1


def _build_service(
    experiment: experiments.Experiment, service: experiments.ServicePlan
) -> dict[str, object]:
    routes = [
        {
            "path": f"/{plan.name}/{{id}}",
            "methods": ["GET" if plan.idempotent else "POST"],
            "idempotent": plan.idempotent,
            "importance": plan.importance.name.lower(),
            "timeout": plan.timeout.value,
        }
        for plan in experiment.classes
        if plan.service == service.name
    ]
    further = {
        "path": _NESTED_CALL_PATH,
        "methods": ["GET"],
        "idempotent": True,
    }
    callers = [
        {
            "organisation": plan.name,
            "rate_per_second": plan.rate_per_second,
            "burst": plan.burst,
        }
        for plan in experiment.organisations
    ]
    return {
        "service": service.name,
        "owner": f"team-{service.name}",
        "routes": [*routes, further],
        "callers": callers,
        "cold_limit": service.cold_slots,
    }


def _start_load(
    group: processes.ProcessGroup,
    deployment: deployments.Deployment,
    path: pathlib.Path,
    experiment: experiments.Experiment,
    start: float,
) -> list[pathlib.Path]:
    caller_ports = [member.caller_port for member in deployment.members]
    count = experiment.load_processes
    outputs = []
    for index in range(count):
        output = group.directory / f"samples-{index}.json"
        group.start(
            f"load-{index}",
            "cyclamenwell.load",
            "generate",
            str(path),
            "--caller-ports",
            ",".join(map(str, caller_ports)),
            "--start-ms",
            str(start),
            "--part",
            f"{index}/{count}",
            "--output",
            str(output),
        )
        outputs.append(output)
    return outputs


def _wait_for_load(
    group: processes.ProcessGroup,
    experiment: experiments.Experiment,
    outputs: list[pathlib.Path],
) -> list[generator.Sample]:
    duration_seconds = sum(
        phase.duration.seconds for phase in experiment.phases
    )
    timeout = (
        _START_LEAD
        + clock.Milliseconds.from_seconds(duration_seconds)
        + _END_TIMEOUT
    )
    samples = []
    for index, output in enumerate(outputs):
        name = f"load-{index}"
        if group.wait(name, timeout) != 0:
            raise ExperimentError(f"{name} failed: {group.read_log(name)}")
        samples += generator.read_samples(output)
    return samples


def _apply_events(
    events: list[Event], start: float, failures: list[str]
) -> None:
    for event in events:
        remaining = start + event.at.value - time.monotonic_ns() / 1e6
        time.sleep(max(remaining, 0) / 1000)
        try:
            event.apply()
        except Exception as error:  # The main thread reports it.
            failures.append(f"event at {event.at.value} ms failed: {error}")


def _check_run(group: processes.ProcessGroup, failures: list[str]) -> None:
    ended = [name for name in group.find_ended() if name[:5] != "load-"]
    problems = failures + [
        f"{name} exited during the run: {group.read_log(name)[-1000:]}"
        for name in ended
    ]
    if problems:
        raise ExperimentError("; ".join(problems))


def _shift_times(record: dict[str, object], start: float) -> dict[str, object]:
    """Return a record with times relative to the load start."""
    return record | {
        "start": record["start"] - start,
        "end": record["end"] - start,
    }
