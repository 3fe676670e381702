"""Choosing the instance that shall run a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import random

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.routing import outliers
from cyclamenwell.routing import tiers as distances

__all__ = ["Chooser"]

_State = enumerations.InstanceState
_NO_INSTANCE_RETRY = clock.Milliseconds(1000)

_DRAWS = 6  # Random draws for a pair before all of a tier are looked at.
_LAST_RESORT_PAUSE = clock.Milliseconds(100)
_FULL = 1.0  # Load at which the gate of an instance has no free place.
_UNKNOWN_LIMIT = 10  # Assumed of an instance that has reported nothing yet.
_COLD_LOAD = 0.25  # Added for a cold target, to send it little.
_PROBE_CHANCE = 0.02  # Calls sent in spite of a penalty, to see its end.
# Reports count in full up to the first age and not at all from the second.
_FRESH_MS = 1000.0
_STALE_MS = 5000.0
# A process in one of these states may have been replaced after this time.
_STATE_MEMORY_MS = {
    _State.STARTING: 1000.0,
    _State.LEAVING: 10_000.0,
    _State.GONE: 10_000.0,
}


class Chooser:
    """Chooses among the instances of a service.

    Parameters
    ----------
    directory : directories.Directory
        Instances and their reports.
    tiers : distances.Tiers
        Instances by distance.
    tracker : outliers.OutlierTracker
        What calls of this node have shown.
    time : clock.Clock
        Clock of the age of reports.
    source : random.Random
        Source of random choices.
    instance : str
        Own instance.
    read_own_load : callable
        Returns the present report of the own instance.
    """

    def __init__(
        self,
        directory: directories.Directory,
        tiers: distances.Tiers,
        tracker: outliers.OutlierTracker,
        time: clock.Clock,
        source: random.Random,
        instance: str,
        read_own_load: Callable[[], messages.LoadReport],
    ) -> None:
        self._directory = directory
        self._tiers = tiers
        self._tracker = tracker
        self._time = time
        self._source = source
        self._instance = instance
        self._read_own_load = read_own_load

    def choose(
        self,
        service: str,
        data_centres_out: frozenset[str],
        tried: Collection[str],
    ) -> messages.InstanceEntry:
        """Choose an instance.

        Parameters
        ----------
        service : str
            Called service.
        data_centres_out : frozenset of str
            Data centres that get no new work.
        tried : collection of str
            Instances that have refused this request.

        Returns
        -------
        messages.InstanceEntry
            The chosen instance.

        Raises
        ------
        exceptions.RefusedError
            As NO_INSTANCE if none is left.
        """
        now = self._time.now()
        tiers = self._tiers.find(service, data_centres_out)
        own = self._find_own(service, data_centres_out, tried)
        best, load = self._choose_remote(tiers, tried, now)
        if own is not None and self._prefers_own(own, best, load, now):
            return own
        if best is None and not tried:
            best = self._choose_any(tiers, now)
        if best is None:
            raise exceptions.RefusedError(
                enumerations.ErrorKind.NO_INSTANCE,
                f"no instance of service {service} is available",
                _NO_INSTANCE_RETRY,
            )
        return best

    def count_candidates(
        self, service: str, data_centres_out: frozenset[str]
    ) -> int:
        """Return how many instances could be chosen, the own one included."""
        tiers = self._tiers.find(service, data_centres_out)
        others = sum(len(tier.entries) for tier in tiers)
        own = self._find_own(service, data_centres_out, ())
        return others + (own is not None)

    def _find_own(
        self, service: str, out: frozenset[str], tried: Collection[str]
    ) -> messages.InstanceEntry | None:
        entry = self._directory.find_entry(self._instance)
        if entry is None or entry.service != service:
            return None
        if entry.data_centre in out or entry.instance in tried:
            return None
        if self._read_own_load().state is not _State.SERVING:
            return None
        return entry

    def _prefers_own(
        self,
        own: messages.InstanceEntry,
        best: messages.InstanceEntry | None,
        load: float,
        now: clock.Milliseconds,
    ) -> bool:
        """Return whether the own target serves the caller better."""
        if best is None:
            return True
        weight = self._tiers.weigh(own.data_centre)
        if weight < 1.0 and self._source.random() >= weight:
            return False
        report = self._read_own_load()
        own_load = (report.in_progress + report.queued) / max(report.limit, 1)
        if report.cold:
            own_load += _COLD_LOAD
        penalty = self._tracker.find_penalty(own.instance)
        if penalty is not None:
            weight = penalty.weigh(now)
            if penalty.absent and weight > 0:
                return False
            own_load += weight
        return own_load <= load

    def _choose_remote(
        self,
        tiers: tuple[distances.Tier, ...],
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> tuple[messages.InstanceEntry | None, float]:
        """Choose from the nearest tier that is not overloaded.

        Returns
        -------
        tuple of messages.InstanceEntry or None, float
            The less loaded one of two random instances, and its load.
        """
        best, lowest = None, float("inf")
        for tier in tiers:
            weight = self._tiers.weigh(tier.data_centre)
            if weight < 1.0 and self._source.random() >= weight:
                continue
            entry, load = self._draw_pair(tier, tried, now)
            if load < lowest:
                best, lowest = entry, load
            if lowest < _FULL:
                break
        return best, lowest

    def _draw_pair(
        self,
        tier: distances.Tier,
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> tuple[messages.InstanceEntry | None, float]:
        best, lowest = None, float("inf")
        seen = 0
        entries = tier.entries
        for _ in range(_DRAWS):
            entry = entries[int(self._source.random() * len(entries))]
            if entry is best or not self._is_usable(entry, tier, tried, now):
                continue
            load = self._estimate_load(entry.instance, now)
            seen += 1
            if load < lowest:
                best, lowest = entry, load
            if seen == 2:
                break
        if best is None:
            return self._scan(entries, tried, now)
        return best, lowest

    def _scan(
        self,
        entries: tuple[messages.InstanceEntry, ...],
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> tuple[messages.InstanceEntry | None, float]:
        """Look for a usable instance from a random place on."""
        start = int(self._source.random() * len(entries))
        for offset in range(len(entries)):
            entry = entries[(start + offset) % len(entries)]
            if entry.instance in tried or self._is_away(entry.instance, now):
                continue
            if self._source.random() >= self._tiers.weigh(entry.data_centre):
                continue
            # All that were drawn are kept back, so this tier counts as full
            # while its instances refuse.
            load = self._estimate_load(entry.instance, now)
            penalty = self._tracker.find_penalty(entry.instance)
            if penalty is not None:
                load += penalty.weigh(now)
            return entry, load
        return None, float("inf")

    def _choose_any(
        self,
        tiers: tuple[distances.Tier, ...],
        now: clock.Milliseconds,
    ) -> messages.InstanceEntry | None:
        """Return an instance in spite of what is known against it.

        Notes
        -----
        It may have recovered, and a refusal costs little. The pause bounds
        the attempts while a whole service is down.
        """
        for tier in tiers:
            start = int(self._source.random() * len(tier.entries))
            for offset in range(len(tier.entries)):
                entry = tier.entries[(start + offset) % len(tier.entries)]
                penalty = self._tracker.find_penalty(entry.instance)
                if penalty is None or now - penalty.since >= _LAST_RESORT_PAUSE:
                    return entry
        return None

    def _is_usable(
        self,
        entry: messages.InstanceEntry,
        tier: distances.Tier,
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> bool:
        if entry.instance in tried or self._is_away(entry.instance, now):
            return False
        penalty = self._tracker.find_penalty(entry.instance)
        if penalty is not None and not penalty.absent:
            kept_back = penalty.weigh(now) - _PROBE_CHANCE
            if self._source.random() < kept_back:
                return False
        if tier.data_centre:
            return True
        weight = self._tiers.weigh(entry.data_centre)
        return weight >= 1.0 or self._source.random() < weight

    def _is_away(self, instance: str, now: clock.Milliseconds) -> bool:
        """Return whether an instance can run nothing, as far as is known.

        Notes
        -----
        A state is believed for a limited time only, since a process that
        replaces another one does not tell all nodes.
        """
        penalty = self._tracker.find_penalty(instance)
        if penalty is not None and penalty.absent and penalty.weigh(now) > 0:
            return self._source.random() >= _PROBE_CHANCE
        record = self._directory.find_record(instance)
        state = record.load.state if record.load else _State.SERVING
        if record.gone:
            state = _State.GONE
        memory = _STATE_MEMORY_MS.get(state)
        if memory is None:
            return False
        if record.heard_at is None:
            return self._source.random() >= _PROBE_CHANCE
        return now.value - record.heard_at.value < memory

    def _estimate_load(self, instance: str, now: clock.Milliseconds) -> float:
        """Return the load of an instance relative to its limit."""
        record = self._directory.find_record(instance)
        busy = float(self._tracker.count_outstanding(instance))
        limit = _UNKNOWN_LIMIT
        extra = 0.0
        report = record.load
        if report is not None and record.heard_at is not None:
            limit = max(report.limit, 1)
            age = now.value - record.heard_at.value
            trust = (_STALE_MS - age) / (_STALE_MS - _FRESH_MS)
            trust = min(max(trust, 0.0), 1.0)
            # The report counts this node's own calls too.
            reported = (report.in_progress + report.queued) * trust
            busy = max(busy, reported)
            extra = _COLD_LOAD if report.cold else 0.0
        return busy / limit + extra
