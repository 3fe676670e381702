"""Running an experiment with the system or with the baseline."""

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

__all__ = ["BASELINE", "ExperimentError", "SYSTEM", "list_events", "run_once"]

SYSTEM = "system"
BASELINE = "baseline"
# Time for the load processes to start before the first arrival.
_LEAD = clock.Milliseconds(3_000)
_END_TIMEOUT = clock.Milliseconds(45_000)
# Time before the return of a data centre at which its targets accept again.
_LIGHT_BEFORE_RETURN = clock.Milliseconds(500)
_FURTHER_PATH = "/further/{id}"


class ExperimentError(exceptions.CyclamenwellError):
    """A run could not be carried out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that happens during the load.

    Parameters
    ----------
    at : clock.Milliseconds
        Time from the start of the load.
    apply : callable
        What to do.
    """

    at: clock.Milliseconds
    apply: Callable[[], None]


def run_once(path: pathlib.Path, side: str) -> figures.Run:
    """Run an experiment once.

    Parameters
    ----------
    path : pathlib.Path
        File of the experiment.
    side : str
        `SYSTEM` or `BASELINE`.

    Returns
    -------
    figures.Run
        Samples and records.

    Raises
    ------
    ExperimentError
        If a load process failed.
    deployments.DeploymentError
        If a process did not start.
    """
    experiment = plans.load_experiment(path)
    with processes.ProcessGroup() as group:
        deployment = deployments.Deployment(group)
        _start_all(deployment, experiment, side)
        start = time.monotonic_ns() / 1e6 + _LEAD.value
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
        _check(group, failures)
        records = deployment.read_records()
    return figures.Run(
        experiment=experiment,
        samples=tuple(samples),
        records=tuple(_shift(one, start) for one in records),
        data_centres={m.instance: m.data_centre for m in deployment.members},
    )


def list_events(
    deployment: deployments.Deployment, experiment: experiments.Experiment
) -> list[Event]:
    """Return the events of all faults of an experiment."""
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
    """Return the events of one fault."""
    raise TypeError(f"no events for {type(fault).__name__}")


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
    yield Event(end - _LIGHT_BEFORE_RETURN, lambda: set_connections("accept"))
    yield Event(end, deployment.publish_fleet)


def _start_all(
    deployment: deployments.Deployment,
    experiment: experiments.Experiment,
    side: str,
) -> None:
    deployment.start_platform()
    deployment.choose_members(
        (f"{service.name}-{number}{letter}", service.name, f"dc-{number}")
        for service in experiment.services
        for number in range(1, experiment.data_centres + 1)
        for letter in "abcdefgh"[: service.instances_per_data_centre]
    )
    deployment.publish_list()
    documents = _publish_documents(deployment, experiment)
    by_name = {one.name: one for one in experiment.services}
    for index, member in enumerate(deployment.members):
        deployment.start_target(
            member, _plan_target(experiment, by_name[member.service], index)
        )
    if side == BASELINE:
        keys = {
            deployments.build_key(one.name): one.name
            for one in experiment.organisations
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


def _plan_target(
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
        # An experiment begins in ordinary service; a fault turns targets cold.
        "starts_cold": False,
        "seed": experiment.seed + index,
    }


def _publish_documents(
    deployment: deployments.Deployment, experiment: experiments.Experiment
) -> int:
    """Publish all documents and return their number."""
    for service in experiment.services:
        document = _build_service(experiment, service)
        deployment.publish(f"service/{service.name}", document)
    for one in experiment.organisations:
        deployment.publish_organisation(
            one.name, deployments.build_key(one.name)
        )
    deployment.publish_fleet()
    return len(experiment.services) + len(experiment.organisations) + 1


def _build_service(
    experiment: experiments.Experiment, service: experiments.ServicePlan
) -> dict[str, object]:
    routes = [
        {
            "path": f"/{one.name}/{{id}}",
            "methods": ["GET" if one.idempotent else "POST"],
            "idempotent": one.idempotent,
            "importance": one.importance.name.lower(),
            "timeout": one.timeout.value,
        }
        for one in experiment.classes
        if one.service == service.name
    ]
    further = {"path": _FURTHER_PATH, "methods": ["GET"], "idempotent": True}
    callers = [
        {
            "organisation": one.name,
            "rate_per_second": one.rate_per_second,
            "burst": one.burst,
        }
        for one in experiment.organisations
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
    length = sum(phase.duration.seconds for phase in experiment.phases)
    timeout = _LEAD + clock.Milliseconds.from_seconds(length) + _END_TIMEOUT
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
        except Exception as error:  # Reported by the main thread.
            failures.append(f"event at {event.at.value} ms: {error}")


def _check(group: processes.ProcessGroup, failures: list[str]) -> None:
    ended = [name for name in group.find_ended() if name[:5] != "load-"]
    problems = failures + [
        f"{name} ended during the run: {group.read_log(name)[-1000:]}"
        for name in ended
    ]
    if problems:
        raise ExperimentError("; ".join(problems))


def _shift(record: dict[str, object], start: float) -> dict[str, object]:
    return record | {
        "start": record["start"] - start,
        "end": record["end"] - start,
    }
