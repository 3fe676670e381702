"""Reading experiments and working out the capacity of their services."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib

from cyclamenwell import exceptions
from cyclamenwell.generated import experiments
from cyclamenwell.schema import reader

__all__ = [
    "compute_capacity",
    "find_phase",
    "list_calls",
    "load_experiment",
    "read_experiment",
    "compute_starts",
]


def load_experiment(path: pathlib.Path) -> experiments.Experiment:
    """Read the file of an experiment.

    Raises
    ------
    exceptions.SettingsError
        If the file can not be read, or for the reasons of `read_experiment`.
    """
    text = reader.read_text(path, exceptions.SettingsError)
    return read_experiment(text, str(path))


def read_experiment(text: str, source: str) -> experiments.Experiment:
    """Read an experiment.

    Parameters
    ----------
    text : str
        YAML text.
    source : str
        Name of the file for error messages.

    Raises
    ------
    exceptions.SettingsError
        If a field is unknown, missing, of a wrong type or out of bounds, or if
        a name refers to nothing.
    """
    loaded = reader.read_struct(
        experiments.Experiment, text, source, exceptions.SettingsError
    )
    problems = tuple(f"{source}: {p}" for p in _find_problems(loaded))
    if problems:
        raise exceptions.SettingsError(problems)
    return loaded


def compute_capacity(experiment: experiments.Experiment) -> float:
    """Return the root requests a second that the targets can complete.

    Notes
    -----
    A target holds a slot for its own time and for the time of its further
    calls, which follow one another. The service with the least slots for its
    load bounds the whole.
    """
    holds = {
        service.name: _compute_hold(experiment, service.name)
        for service in experiment.services
    }
    demand = dict.fromkeys(holds, 0.0)
    total = sum(one.share for one in experiment.classes)
    for one in experiment.classes:
        for name in list_calls(experiment, one.service):
            demand[name] += one.share / total
    rates = []
    for service in experiment.services:
        count = service.instances_per_data_centre * experiment.data_centres
        whole = count * service.slots * 1000 / holds[service.name]
        if demand[service.name]:
            rates.append(whole / demand[service.name])
    return min(rates)


def find_phase(
    experiment: experiments.Experiment, name: str
) -> experiments.PhasePlan:
    """Return the phase with a name."""
    return next(one for one in experiment.phases if one.name == name)


def compute_starts(experiment: experiments.Experiment) -> dict[str, float]:
    """Return the start of each phase, in milliseconds of the load."""
    starts = {}
    at = 0.0
    for phase in experiment.phases:
        starts[phase.name] = at
        at += phase.duration.value
    return starts


def _find_service(
    experiment: experiments.Experiment, name: str
) -> experiments.ServicePlan:
    return next(one for one in experiment.services if one.name == name)


def _compute_hold(experiment: experiments.Experiment, name: str) -> float:
    service = _find_service(experiment, name)
    return service.service_time.value + sum(
        _compute_hold(experiment, further) for further in service.further
    )


def list_calls(experiment: experiments.Experiment, name: str) -> Iterator[str]:
    """List the services that a request to a service reaches, with itself."""
    yield name
    for further in _find_service(experiment, name).further:
        yield from list_calls(experiment, further)


def _find_problems(experiment: experiments.Experiment) -> list[str]:
    services = [one.name for one in experiment.services]
    phases = [one.name for one in experiment.phases]
    organisations = [one.name for one in experiment.organisations]
    classes = [one.name for one in experiment.classes]
    problems = []
    for what, names in (
        ("services", services),
        ("phases", phases),
        ("organisations", organisations),
        ("classes", classes),
    ):
        if len(set(names)) < len(names):
            problems.append(f"{what}: names must differ")
    problems += _find_unknown_services(experiment, services)
    problems += _find_unknown_phases(experiment, phases)
    for phase in experiment.phases:
        busy = phase.busy_organisation
        if busy and busy not in organisations:
            problems.append(f"phase {phase.name}: no organisation {busy!r}")
    for outage in experiment.outages:
        if outage.data_centre > experiment.data_centres:
            problems.append(f"outages: no data centre {outage.data_centre}")
    return problems


def _find_unknown_services(
    experiment: experiments.Experiment, services: list[str]
) -> list[str]:
    problems = []
    for position, service in enumerate(experiment.services):
        # Calls to later services only, so that no chain can be endless.
        later = services[position + 1 :]
        problems += [
            f"service {service.name}: further service {name!r} must be listed "
            "after it"
            for name in service.further
            if name not in later
        ]
    named = [one.service for one in experiment.classes]
    named += [one.service for one in experiment.slow_faults]
    return problems + [
        f"no service {name!r}" for name in named if name not in services
    ]


def _find_unknown_phases(
    experiment: experiments.Experiment, phases: list[str]
) -> list[str]:
    named = [experiment.before, experiment.recovery]
    named += [one.phase for one in experiment.bounds]
    return [
        f"no phase {name!r}" for name in named if name and name not in phases
    ]
