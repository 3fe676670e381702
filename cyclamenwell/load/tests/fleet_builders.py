"""Builders of modelled targets and of what their callers ask."""

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
) -> tuple[fleet_model.ModelTarget, ...]:
    """Return targets in a data centre each."""
    phases = slow or {}
    return tuple(
        fleet_model.ModelTarget(
            f"t-{index + 1}",
            f"dc-{index + 1}",
            slots,
            (phases[index],) if index in phases else (),
        )
        for index in range(count)
    )


def build_entries(
    targets: tuple[fleet_model.ModelTarget, ...],
) -> tuple[deployment.TargetEntry, ...]:
    """Return the published entries of targets."""
    return fleet_model.FleetModel(targets, 1).entries


def spread_demand(
    targets: tuple[fleet_model.ModelTarget, ...],
    fill: float,
    parts: tuple[float, ...] = (),
    **values,
) -> tuple[fleet_model.Demand, ...]:
    """Return demand at each node that fills a part of all slots.

    Parameters
    ----------
    targets : tuple of fleet_model.ModelTarget
        Targets with a node each.
    fill : float
        Part of all slots that the work takes.
    parts : tuple of float
        Demand at each node relative to the mean; even if it is empty.
    values : object
        Other fields of the demand.
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
class ServedTimes:
    """When the requests began that a target served.

    Parameters
    ----------
    begins : tuple of float
        Milliseconds.
    """

    begins: tuple[float, ...]

    def within(self, begin: float, end: float) -> float:
        """Return the requests a second that began between two times."""
        counted = sum(begin <= value < end for value in self.begins)
        return counted / (end - begin) * 1000.0


def count_by_time(
    outcomes: list[fleet_model.Outcome], target_id: str
) -> ServedTimes:
    """Return when the requests began that a target served."""
    return ServedTimes(
        tuple(o.begun.value for o in outcomes if o.target_id == target_id)
    )
