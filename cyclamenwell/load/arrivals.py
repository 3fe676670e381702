"""Seeded arrivals of root requests."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell.generated import experiments
from cyclamenwell.load import plans

__all__ = ["Arrival", "build_schedule"]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A root request that a client wants to send.

    Parameters
    ----------
    number : int
        Position in the schedule.
    at : float
        Milliseconds from the start of the load.
    organisation : str
        Organisation of the client.
    request_class : str
        Name of the class.
    storm : bool
        Whether the client repeats a failed request at once.
    """

    number: int
    at: float
    organisation: str
    request_class: str
    storm: bool


def build_schedule(experiment: experiments.Experiment) -> tuple[Arrival, ...]:
    """Return all arrivals, which depend on the experiment alone.

    Notes
    -----
    Each organisation is a Poisson process with a generator of its own, so a
    changed load of one organisation leaves the others as they are.
    """
    capacity = plans.compute_capacity(experiment)
    found: list[tuple[float, str, str, bool]] = []
    for organisation in experiment.organisations:
        source = random.Random(f"{experiment.seed}/{organisation.name}")
        at = 0.0
        for phase in experiment.phases:
            rate = _compute_rate(experiment, organisation, phase, capacity)
            found += _build_phase(
                experiment, phase, organisation.name, at, rate, source
            )
            at += phase.duration.value
    found.sort()
    return tuple(Arrival(n, *values) for n, values in enumerate(found))


def _compute_rate(
    experiment: experiments.Experiment,
    organisation: experiments.OrganisationPlan,
    phase: experiments.PhasePlan,
    capacity: float,
) -> float:
    """Return the root requests a second of an organisation in a phase."""
    if phase.busy_organisation == organisation.name:
        return organisation.rate_per_second * phase.busy_rate_factor
    total = sum(one.share for one in experiment.organisations)
    return capacity * phase.load * organisation.share / total


def _build_phase(
    experiment: experiments.Experiment,
    phase: experiments.PhasePlan,
    organisation: str,
    start: float,
    rate: float,
    source: random.Random,
) -> list[tuple[float, str, str, bool]]:
    names = [one.name for one in experiment.classes]
    shares = [one.share for one in experiment.classes]
    found = []
    end = start + phase.duration.value
    at = start
    while rate > 0:
        at += source.expovariate(rate) * 1000
        if at >= end:
            break
        name = source.choices(names, shares)[0]
        found.append((at, organisation, name, phase.storm))
    return found
