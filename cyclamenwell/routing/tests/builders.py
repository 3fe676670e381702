"""Builders of balancers with the instances and reports that they use."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.routing import instance_balancer
from cyclamenwell.routing import localities
from cyclamenwell.routing import outliers
from cyclamenwell.testing import builders

__all__ = [
    "NONE_EXCLUDED",
    "BalancerFixture",
    "build_fixture",
    "build_report",
]

NONE_EXCLUDED: frozenset[str] = frozenset()
_SEED = 20_240_701


def build_report(instance: str, **values: Any) -> messages.LoadReport:
    """Return the load report of a serving instance without load."""
    defaults = {
        "instance": instance,
        "incarnation": 1,
        "state": enumerations.InstanceState.SERVING,
        "limit": 100,
    }
    return messages.LoadReport(**{**defaults, **values})


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerFixture:
    """A balancer with the objects that it reads."""

    time: clock.ManualClock
    directory: directories.Directory
    tracker: outliers.OutlierTracker
    tiers: localities.LocalityTiers
    balancer: instance_balancer.InstanceBalancer
    own: dict[str, messages.LoadReport]

    def draw(
        self,
        count: int = 1000,
        excluded: frozenset[str] = NONE_EXCLUDED,
        tried: tuple[str, ...] = (),
    ) -> collections.Counter[str]:
        """Choose many times without a call; return the count by instance."""
        return collections.Counter(
            self.balancer.choose("billing", excluded, tried).instance
            for _ in range(count)
        )

    def report(self, instance: str, **values: Any) -> None:
        """Store a load report of an instance."""
        self.directory.note_load(build_report(instance, **values))

    def refuse(self, instance: str, kind: enumerations.ErrorKind) -> None:
        """Record one failed call to an instance."""
        self.tracker.begin(instance)
        refusal = exceptions.RefusedError(kind, "")
        self.tracker.end(instance, refusal)


def build_fixture(
    names_by_data_centre: dict[str, list[str]],
    own_instance: str = "front-1",
    regions: dict[str, str] | None = None,
) -> BalancerFixture:
    """Return a balancer in data centre ``dc-a`` of region ``r-1``.

    Parameters
    ----------
    names_by_data_centre : dict of str to list of str
        Instances of billing in each data centre.
    own_instance : str
        Name of the instance that chooses.
    regions : dict of str to str or None
        Regions of data centres that are not in ``r-1``.
    """
    time = clock.ManualClock(clock.Milliseconds(1_000_000))
    directory = directories.Directory(time)
    directory.replace_list(
        1,
        [
            builders.build_instance(
                instance=name,
                data_centre=data_centre,
                region=(regions or {}).get(data_centre, "r-1"),
            )
            for data_centre, names in names_by_data_centre.items()
            for name in names
        ],
    )
    tracker = outliers.OutlierTracker(time)
    tiers = localities.LocalityTiers(
        directory, time, own_instance, "dc-a", "r-1"
    )
    own = {"load": build_report(own_instance)}
    balancer = instance_balancer.InstanceBalancer(
        directory,
        tiers,
        tracker,
        time,
        random.Random(_SEED),
        own_instance,
        lambda: own["load"],
    )
    return BalancerFixture(time, directory, tracker, tiers, balancer, own)
