"""Instances of a service by locality, with slow start of data centres."""

from __future__ import annotations

import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories

__all__ = ["LocalityTiers", "Tier"]

_State = enumerations.InstanceState
# Slow start of a data centre that takes new work again.
_SLOW_START = clock.Milliseconds(30_000)
_INITIAL_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """Instances of a service at one distance from this node.

    Parameters
    ----------
    entries : tuple of messages.InstanceEntry
        Listed instances except this node's own, those listed as leaving, and
        those in excluded data centres.
    data_centre : str
        Data centre of all entries, empty for a tier that may span several.
    """

    entries: tuple[messages.InstanceEntry, ...]
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """Instance list and excluded data centres, with the tiers built so far."""

    instances: directories.InstanceList
    excluded: frozenset[str]
    tiers: dict[str, tuple[Tier, ...]]


class LocalityTiers:
    """Caches the tiers of each service until their inputs change.

    The inputs are the instance list and the set of excluded data centres.

    Parameters
    ----------
    directory : directories.Directory
        The instance list.
    time : clock.Clock
        Clock for the slow start of data centres.
    instance : str
        Name of this instance.
    data_centre, region : str
        Location of this node.
    """

    def __init__(
        self,
        directory: directories.Directory,
        time: clock.Clock,
        instance: str,
        data_centre: str,
        region: str,
    ) -> None:
        self._directory = directory
        self._time = time
        self._instance = instance
        self._data_centre = data_centre
        self._region = region
        self._lock = threading.Lock()
        self._restored_at: dict[str, clock.Milliseconds] = {}
        self._snapshot = _Snapshot(directory.current_list, frozenset(), {})

    def list_tiers(
        self, service: str, excluded: frozenset[str]
    ) -> tuple[Tier, ...]:
        """Return the non-empty tiers of a service, nearest first.

        Parameters
        ----------
        service : str
            Called service.
        excluded : frozenset of str
            Data centres that get no new work.
        """
        snapshot = self._snapshot
        instances = self._directory.current_list
        if (
            instances is not snapshot.instances
            or excluded is not snapshot.excluded
        ):
            snapshot = self._refresh(instances, excluded)
        tiers = snapshot.tiers.get(service)
        if tiers is None:
            tiers = snapshot.tiers[service] = self._build_tiers(
                service, snapshot
            )
        return tiers

    def exclude_data_centres(self, excluded: frozenset[str]) -> None:
        """Set the data centres that get no new work.

        Those that are no longer in the set begin their slow start.
        """
        self._refresh(self._directory.current_list, excluded)

    def compute_weight(self, data_centre: str) -> float:
        """Return the fraction of its full load that a data centre may get."""
        if not self._restored_at:
            return 1.0
        restored_at = self._restored_at.get(data_centre)
        if restored_at is None:
            return 1.0
        progress = (self._time.now() - restored_at).value / _SLOW_START.value
        return min(_INITIAL_WEIGHT + (1.0 - _INITIAL_WEIGHT) * progress, 1.0)

    def _refresh(
        self, instances: directories.InstanceList, excluded: frozenset[str]
    ) -> _Snapshot:
        with self._lock:
            now = self._time.now()
            known = self._restored_at.items()
            restored = {n: t for n, t in known if t + _SLOW_START > now}
            restored |= dict.fromkeys(self._snapshot.excluded - excluded, now)
            self._restored_at = {
                n: restored[n] for n in restored if n not in excluded
            }
            self._snapshot = _Snapshot(instances, excluded, {})
            return self._snapshot

    def _build_tiers(
        self, service: str, snapshot: _Snapshot
    ) -> tuple[Tier, ...]:
        near, region, far = [], [], []
        for entry in snapshot.instances.services.get(service, ()):
            if (
                entry.state is _State.LEAVING
                or entry.data_centre in snapshot.excluded
            ):
                continue
            if entry.instance == self._instance:
                continue
            if entry.data_centre == self._data_centre:
                near.append(entry)
            elif entry.region == self._region:
                region.append(entry)
            else:
                far.append(entry)
        tiers = (
            Tier(tuple(near), self._data_centre),
            Tier(tuple(region)),
            Tier(tuple(far)),
        )
        return tuple(tier for tier in tiers if tier.entries)
