"""Builders of simulated targets and their demand."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.load import fleet_simulation

WORK = clock.Milliseconds(100)


def build_targets(
    count: int,
    slots: int,
    slow: Mapping[int, fleet_simulation.SlowPhase] | None = None,
) -> tuple[fleet_simulation.SimulatedTarget, ...]:
    """Return targets, each in its own data centre."""
    phases = slow or {}
    return tuple(
        fleet_simulation.SimulatedTarget(
            f"t-{index + 1}",
            f"dc-{index + 1}",
            slots,
            (phases[index],) if index in phases else (),
        )
        for index in range(count)
    )


def build_entries(
    targets: tuple[fleet_simulation.SimulatedTarget, ...],
) -> tuple[deployment.TargetEntry, ...]:
    """Return the target entries that the platform publishes."""
    return fleet_simulation.FleetSimulation(targets, 1).entries


def spread_demand(
    targets: tuple[fleet_simulation.SimulatedTarget, ...],
    utilisation: float,
    parts: tuple[float, ...] = (),
    **values,
) -> tuple[fleet_simulation.Demand, ...]:
    """Return demand that fills a fraction of all slots, spread over nodes.

    Parameters
    ----------
    targets : tuple of fleet_simulation.SimulatedTarget
        Targets, each with a node.
    utilisation : float
        Fraction of all slots that the demand occupies.
    parts : tuple of float
        Demand at each node relative to the mean; uniform if empty.
    **values : object
        Further fields of `fleet_simulation.Demand`.
    """
    rate = targets[0].slots / WORK.seconds * utilisation
    return tuple(
        fleet_simulation.Demand(
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

    def compute_rate(self, begin: float, end: float) -> float:
        """Return the rate of arrivals between two times in requests/s."""
        count = sum(begin <= value < end for value in self.begins)
        return count / (end - begin) * 1000.0


def find_served_arrivals(
    outcomes: list[fleet_simulation.Outcome], target_id: str
) -> ServedArrivals:
    """Return the arrival times of the requests that a target served."""
    return ServedArrivals(
        tuple(o.arrived_at.value for o in outcomes if o.target_id == target_id)
    )
