"""Builders of simulated targets and their demand."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.load import fleet_model

WORK = clock.Milliseconds(100)


def build_targets(
    count: int,
    slots: int,
    slow: Mapping[int, fleet_model.SlowPhase] | None = None,
) -> tuple[fleet_model.SimulatedTarget, ...]:
    """Return targets, each in its own data centre."""
    phases = slow or {}
    return tuple(
        fleet_model.SimulatedTarget(
            f"t-{index + 1}",
            f"dc-{index + 1}",
            slots,
            (phases[index],) if index in phases else (),
        )
        for index in range(count)
    )


def build_entries(
    targets: tuple[fleet_model.SimulatedTarget, ...],
) -> tuple[deployment.TargetEntry, ...]:
    """Return the target entries that the platform publishes."""
    return fleet_model.FleetSimulation(targets, 1).entries


def spread_demand(
    targets: tuple[fleet_model.SimulatedTarget, ...],
    fill: float,
    parts: tuple[float, ...] = (),
    **values,
) -> tuple[fleet_model.Demand, ...]:
    """Return demand that fills a fraction of all slots, spread over nodes.

    Parameters
    ----------
    targets : tuple of fleet_model.ModelTarget
        Targets, each with a node.
    fill : float
        Fraction of all slots that the demand occupies.
    parts : tuple of float
        Demand at each node relative to the mean; uniform if empty.
    **values : object
        Further fields of `fleet_model.Demand`.
    """
    rate = targets[0].slots / WORK.seconds * fill
    return tuple(
        fleet_model.Demand(
            target.target_id, rate * part, **({"work": WORK} | values)
        )
        for target, part in zip(
            targets, parts or (1.0,) * len(targets), strict=True
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ServedArrivals:
    """Arrival times of the requests that a target served.

    Parameters
    ----------
    begins : tuple of float
        First arrival of each request in milliseconds.
    """

    begins: tuple[float, ...]

    def within(self, begin: float, end: float) -> float:
        """Return the rate of arrivals between two times in requests/s."""
        count = sum(begin <= value < end for value in self.begins)
        return count / (end - begin) * 1000.0


def count_by_time(
    outcomes: list[fleet_model.Outcome], target_id: str
) -> ServedArrivals:
    """Return the arrival times of the requests that a target served."""
    return ServedArrivals(
        tuple(o.begun.value for o in outcomes if o.target_id == target_id)
    )
