"""Parsing of experiments and computation of their capacity."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib

from cyclamenwell import exceptions
from cyclamenwell.generated import experiments
from cyclamenwell.schema import reader

__all__ = [
    "compute_capacity",
    "compute_phase_starts",
    "find_phase",
    "list_called_services",
    "load_experiment",
    "read_experiment",
]


def load_experiment(path: pathlib.Path) -> experiments.Experiment:
    """Read and validate an experiment file.

    Raises
    ------
    exceptions.SettingsError
        If the file cannot be read or `read_experiment` rejects its content.
    """
    text = reader.read_text(path, exceptions.SettingsError)
    return read_experiment(text, str(path))


def read_experiment(text: str, source: str) -> experiments.Experiment:
    """Parse and validate an experiment.

    Parameters
    ----------
    text : str
        YAML text.
    source : str
        Name of the file for error messages.

    Raises
    ------
    exceptions.SettingsError
        If a field is unknown, missing, of the wrong type or out of range, or
        if a reference does not resolve.
    """
    loaded = reader.read_struct(
        experiments.Experiment, text, source, exceptions.SettingsError
    )
    problems = tuple(f"{source}: {p}" for p in _find_problems(loaded))
    if problems:
        raise exceptions.SettingsError(problems)
    return loaded


def compute_capacity(experiment: experiments.Experiment) -> float:
    """Return the rate of root requests that the targets can sustain.

    Notes
    -----
    The rate is in requests/s. A request occupies a slot for its own service
    time and for the time of its nested calls, which run sequentially. The
    service with the fewest slots relative to its load is the bottleneck.
    """
    slot_times = {
        service.name: _compute_slot_time(experiment, service.name)
        for service in experiment.services
    }
    demand = dict.fromkeys(slot_times, 0.0)
    total = sum(plan.share for plan in experiment.classes)
    for plan in experiment.classes:
        for name in list_called_services(experiment, plan.service):
            demand[name] += plan.share / total
    rates = []
    for service in experiment.services:
        count = service.instances_per_data_centre * experiment.data_centres
        whole = count * service.slots * 1000 / slot_times[service.name]
        if demand[service.name]:
            rates.append(whole / demand[service.name])
    return min(rates)


def find_phase(
    experiment: experiments.Experiment, name: str
) -> experiments.PhasePlan:
    """Return the phase with the given name."""
    return next(phase for phase in experiment.phases if phase.name == name)


def compute_phase_starts(
    experiment: experiments.Experiment,
) -> dict[str, float]:
    """Return the start of each phase in milliseconds from the load start."""
    starts = {}
    at = 0.0
    for phase in experiment.phases:
        starts[phase.name] = at
        at += phase.duration.value
    return starts


def _find_service(
    experiment: experiments.Experiment, name: str
) -> experiments.ServicePlan:
    return next(
        service for service in experiment.services if service.name == name
    )


def _compute_slot_time(experiment: experiments.Experiment, name: str) -> float:
    """Return the milliseconds for which a request occupies a slot."""
    service = _find_service(experiment, name)
    return service.service_time.value + sum(
        _compute_slot_time(experiment, further) for further in service.further
    )


def list_called_services(
    experiment: experiments.Experiment, name: str
) -> Iterator[str]:
    """Yield a service and all services that it calls, depth first."""
    yield name
    for further in _find_service(experiment, name).further:
        yield from list_called_services(experiment, further)


def _find_problems(experiment: experiments.Experiment) -> list[str]:
    services = [service.name for service in experiment.services]
    phases = [phase.name for phase in experiment.phases]
    organisations = [plan.name for plan in experiment.organisations]
    classes = [plan.name for plan in experiment.classes]
    problems = []
    for what, names in (
        ("services", services),
        ("phases", phases),
        ("organisations", organisations),
        ("classes", classes),
    ):
        if len(set(names)) < len(names):
            problems.append(f"{what}: names must be unique")
    problems += _find_unknown_services(experiment, services)
    problems += _find_unknown_phases(experiment, phases)
    for phase in experiment.phases:
        busy = phase.busy_organisation
        if busy and busy not in organisations:
            problems.append(
                f"phase {phase.name}: unknown organisation {busy!r}"
            )
    for outage in experiment.outages:
        if outage.data_centre > experiment.data_centres:
            problems.append(
                f"outages: unknown data centre {outage.data_centre}"
            )
    return problems


def _find_unknown_services(
    experiment: experiments.Experiment, services: list[str]
) -> list[str]:
    problems = []
    for position, service in enumerate(experiment.services):
        # Only calls to later services are valid, which rules out cycles.
        later = services[position + 1 :]
        problems += [
            f"service {service.name}: further service {name!r} must be "
            "defined after it"
            for name in service.further
            if name not in later
        ]
    references = [plan.service for plan in experiment.classes]
    references += [fault.service for fault in experiment.slow_faults]
    return problems + [
        f"unknown service {name!r}"
        for name in references
        if name not in services
    ]


def _find_unknown_phases(
    experiment: experiments.Experiment, phases: list[str]
) -> list[str]:
    references = [experiment.before, experiment.recovery]
    references += [bound.phase for bound in experiment.bounds]
    return [
        f"unknown phase {name!r}"
        for name in references
        if name and name not in phases
    ]
