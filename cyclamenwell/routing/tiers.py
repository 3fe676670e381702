"""Instances of a service by distance, and data centres that came back."""

from __future__ import annotations

import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories

__all__ = ["Tier", "Tiers"]

_State = enumerations.InstanceState
_RAMP = clock.Milliseconds(30_000)
_FIRST_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Tier:
    """Instances at one distance.

    Parameters
    ----------
    entries : tuple of messages.InstanceEntry
        Listed instances that are neither leaving nor in a data centre taken
        out, without the own one.
    data_centre : str
        Data centre of all of them, empty if there are several.
    """

    entries: tuple[messages.InstanceEntry, ...]
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Picture:
    """List and data centres taken out, with the tiers worked out from them."""

    listed: directories.InstanceList
    out: frozenset[str]
    tiers: dict[str, tuple[Tier, ...]]


class Tiers:
    """Keeps the tiers of each service until the list or the fleet changes.

    Parameters
    ----------
    directory : directories.Directory
        The instance list.
    time : clock.Clock
        Clock of the ramp of data centres that came back.
    instance : str
        Own instance.
    data_centre, region : str
        Where this node runs.
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
        self._returned: dict[str, clock.Milliseconds] = {}
        self._picture = _Picture(directory.current, frozenset(), {})

    def find(self, service: str, out: frozenset[str]) -> tuple[Tier, ...]:
        """Return the tiers of a service that have instances, nearest first.

        Parameters
        ----------
        service : str
            Called service.
        out : frozenset of str
            Data centres that get no new work.
        """
        picture = self._picture
        listed = self._directory.current
        if listed is not picture.listed or out is not picture.out:
            picture = self._refresh(listed, out)
        tiers = picture.tiers.get(service)
        if tiers is None:
            tiers = picture.tiers[service] = self._build(service, picture)
        return tiers

    def note_out(self, out: frozenset[str]) -> None:
        """Take the data centres that get no new work from now on."""
        self._refresh(self._directory.current, out)

    def weigh(self, data_centre: str) -> float:
        """Return the part of its load that a data centre may get now."""
        if not self._returned:
            return 1.0
        returned = self._returned.get(data_centre)
        if returned is None:
            return 1.0
        passed = (self._time.now() - returned).value / _RAMP.value
        return min(_FIRST_WEIGHT + (1.0 - _FIRST_WEIGHT) * passed, 1.0)

    def _refresh(
        self, listed: directories.InstanceList, out: frozenset[str]
    ) -> _Picture:
        with self._lock:
            now = self._time.now()
            known = self._returned.items()
            returned = {n: t for n, t in known if t + _RAMP > now}
            returned |= dict.fromkeys(self._picture.out - out, now)
            self._returned = {n: returned[n] for n in returned if n not in out}
            self._picture = _Picture(listed, out, {})
            return self._picture

    def _build(self, service: str, picture: _Picture) -> tuple[Tier, ...]:
        near, region, far = [], [], []
        for entry in picture.listed.services.get(service, ()):
            if (
                entry.state is _State.LEAVING
                or entry.data_centre in picture.out
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
