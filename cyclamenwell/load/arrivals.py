"""Reproducible arrival schedule of root requests."""

from __future__ import annotations

import dataclasses
import random

from cyclamenwell.generated import experiments
from cyclamenwell.load import plans

__all__ = ["Arrival", "build_schedule"]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A root request scheduled for a client.

    Parameters
    ----------
    number : int
        Index in the schedule.
    at : float
        Arrival time in milliseconds from the load start.
    organisation : str
        Organisation on whose behalf the client sends.
    request_class : str
        Name of the request class.
    storm : bool
        Whether the client retries a failed request without backoff.
    """

    number: int
    at: float
    organisation: str
    request_class: str
    storm: bool


def build_schedule(experiment: experiments.Experiment) -> tuple[Arrival, ...]:
    """Return all arrivals in order; they depend on the experiment alone.

    Notes
    -----
    Each organisation is a Poisson process with its own random generator, so
    changing the load of one organisation does not affect the others.
    """
    capacity = plans.compute_capacity(experiment)
    scheduled: list[tuple[float, str, str, bool]] = []
    for organisation in experiment.organisations:
        source = random.Random(f"{experiment.seed}/{organisation.name}")
        at = 0.0
        for phase in experiment.phases:
            rate = _compute_rate(experiment, organisation, phase, capacity)
            scheduled += _build_phase(
                experiment, phase, organisation.name, at, rate, source
            )
            at += phase.duration.value
    scheduled.sort()
    return tuple(Arrival(n, *values) for n, values in enumerate(scheduled))


def _compute_rate(
    experiment: experiments.Experiment,
    organisation: experiments.OrganisationPlan,
    phase: experiments.PhasePlan,
    capacity: float,
) -> float:
    """Return the arrival rate of an organisation in a phase, in requests/s."""
    if phase.busy_organisation == organisation.name:
        return organisation.rate_per_second * phase.busy_rate_factor
    total = sum(plan.share for plan in experiment.organisations)
    return capacity * phase.load * organisation.share / total


def _build_phase(
    experiment: experiments.Experiment,
    phase: experiments.PhasePlan,
    organisation: str,
    start: float,
    rate: float,
    source: random.Random,
) -> list[tuple[float, str, str, bool]]:
    names = [plan.name for plan in experiment.classes]
    shares = [plan.share for plan in experiment.classes]
    scheduled = []
    end = start + phase.duration.value
    at = start
    while rate > 0:
        at += source.expovariate(rate) * 1000
        if at >= end:
            break
        name = source.choices(names, shares)[0]
        scheduled.append((at, organisation, name, phase.storm))
    return scheduled
