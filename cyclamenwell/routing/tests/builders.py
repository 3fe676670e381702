"""Builders of choosers and of what they know."""

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
from cyclamenwell.routing import chooser as choosers
from cyclamenwell.routing import outliers
from cyclamenwell.routing import tiers as distances
from cyclamenwell.testing import builders

__all__ = ["ALL_IN", "Setting", "build_report", "build_setting"]

ALL_IN: frozenset[str] = frozenset()
_SEED = 20_240_701


def build_report(instance: str, **values: Any) -> messages.LoadReport:
    """Return the report of a serving instance without load."""
    defaults = {
        "instance": instance,
        "incarnation": 1,
        "state": enumerations.InstanceState.SERVING,
        "limit": 100,
    }
    return messages.LoadReport(**{**defaults, **values})


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """A chooser with its surroundings."""

    time: clock.ManualClock
    directory: directories.Directory
    tracker: outliers.OutlierTracker
    tiers: distances.Tiers
    chooser: choosers.Chooser
    own: dict[str, messages.LoadReport]

    def draw(
        self,
        count: int = 1000,
        out: frozenset[str] = ALL_IN,
        tried: tuple[str, ...] = (),
    ) -> collections.Counter[str]:
        """Choose many times without sending, count by instance."""
        return collections.Counter(
            self.chooser.choose("billing", out, tried).instance
            for _ in range(count)
        )

    def report(self, instance: str, **values: Any) -> None:
        """Take a report of an instance."""
        self.directory.note_load(build_report(instance, **values))

    def refuse(self, instance: str, kind: enumerations.ErrorKind) -> None:
        """Let one call to an instance fail."""
        self.tracker.begin(instance)
        refusal = exceptions.RefusedError(kind, "")
        self.tracker.end(instance, refusal)


def build_setting(
    names_by_place: dict[str, list[str]],
    own_instance: str = "front-1",
    regions: dict[str, str] | None = None,
) -> Setting:
    """Return a chooser in data centre ``dc-a`` of region ``r-1``.

    Parameters
    ----------
    names_by_place : dict of str to list of str
        Instances of billing in each data centre.
    own_instance : str
        Instance of the chooser.
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
                data_centre=place,
                region=(regions or {}).get(place, "r-1"),
            )
            for place, names in names_by_place.items()
            for name in names
        ],
    )
    tracker = outliers.OutlierTracker(time)
    tiers = distances.Tiers(directory, time, own_instance, "dc-a", "r-1")
    own = {"load": build_report(own_instance)}
    chooser = choosers.Chooser(
        directory,
        tiers,
        tracker,
        time,
        random.Random(_SEED),
        own_instance,
        lambda: own["load"],
    )
    return Setting(time, directory, tracker, tiers, chooser, own)
