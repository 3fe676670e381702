"""Load balancing over the instances of a service.

A choice takes the less loaded one of two random instances of the nearest tier
with capacity.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import random

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.routing import localities
from cyclamenwell.routing import outliers

__all__ = ["InstanceBalancer"]

_State = enumerations.InstanceState
_NO_INSTANCE_RETRY = clock.Milliseconds(1000)

_MAX_DRAWS = 6  # Random draws for a pair before a whole tier is scanned.
_LAST_RESORT_PAUSE = clock.Milliseconds(100)
_FULL_LOAD = 1.0  # Load at which the admission control has no free slot.
_DEFAULT_LIMIT = 10  # Limit assumed for an instance without a report.
_COLD_LOAD = 0.25  # Added for a cold target, so that it gets few calls.
# Probability of a call to an unavailable or penalised instance, which shows
# whether it has recovered.
_PROBE_PROBABILITY = 0.02
# The weight of a report falls from 1 at the first age to 0 at the second.
_FRESH_MS = 1000.0
_STALE_MS = 5000.0
# After this time, a process in one of these states may have been replaced.
_STATE_VALIDITY_MS = {
    _State.STARTING: 1000.0,
    _State.LEAVING: 10_000.0,
    _State.GONE: 10_000.0,
}


class InstanceBalancer:
    """Load balancer over the instances of a service.

    Parameters
    ----------
    directory : directories.Directory
        Instances and their load reports.
    tiers : localities.LocalityTiers
        Instances by distance.
    tracker : outliers.OutlierTracker
        Outstanding calls of this node and penalties of instances.
    time : clock.Clock
        Clock for the age of reports and penalties.
    source : random.Random
        Source of random choices.
    instance : str
        Name of this instance.
    read_own_load : callable
        Returns the current load report of this instance.
    """

    def __init__(
        self,
        directory: directories.Directory,
        tiers: localities.LocalityTiers,
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
        """Choose the instance to run a request.

        Parameters
        ----------
        service : str
            Called service.
        data_centres_out : frozenset of str
            Data centres that get no new work.
        tried : collection of str
            Instances to which the request was sent before.

        Returns
        -------
        messages.InstanceEntry
            The chosen instance.

        Raises
        ------
        exceptions.RefusedError
            With kind NO_INSTANCE if no instance is available.
        """
        now = self._time.now()
        tiers = self._tiers.list_tiers(service, data_centres_out)
        own = self._find_own(service, data_centres_out, tried)
        best, load = self._choose_remote(tiers, tried, now)
        if own is not None and self._prefers_own(own, best, load, now):
            return own
        if best is None and not tried:
            best = self._choose_last_resort(tiers, now)
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
        """Return the number of instances to choose from, this one included."""
        tiers = self._tiers.list_tiers(service, data_centres_out)
        others = sum(len(tier.entries) for tier in tiers)
        own = self._find_own(service, data_centres_out, ())
        return others + (own is not None)

    def _find_own(
        self,
        service: str,
        data_centres_out: frozenset[str],
        tried: Collection[str],
    ) -> messages.InstanceEntry | None:
        entry = self._directory.find_entry(self._instance)
        if entry is None or entry.service != service:
            return None
        if entry.data_centre in data_centres_out or entry.instance in tried:
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
        """Return whether this instance is preferred to the best remote one."""
        if best is None:
            return True
        weight = self._tiers.compute_weight(own.data_centre)
        if weight < 1.0 and self._source.random() >= weight:
            return False
        report = self._read_own_load()
        own_load = (report.in_progress + report.queued) / max(report.limit, 1)
        if report.cold:
            own_load += _COLD_LOAD
        penalty = self._tracker.find_penalty(own.instance)
        if penalty is not None:
            weight = penalty.compute_weight(now)
            if penalty.unavailable and weight > 0:
                return False
            own_load += weight
        return own_load <= load

    def _choose_remote(
        self,
        tiers: tuple[localities.Tier, ...],
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> tuple[messages.InstanceEntry | None, float]:
        """Choose from the nearest tier with capacity, else the least loaded.

        Returns
        -------
        tuple of messages.InstanceEntry or None, float
            The less loaded one of two random instances, and its load.
        """
        best, lowest = None, float("inf")
        for tier in tiers:
            weight = self._tiers.compute_weight(tier.data_centre)
            if weight < 1.0 and self._source.random() >= weight:
                continue
            entry, load = self._draw_pair(tier, tried, now)
            if load < lowest:
                best, lowest = entry, load
            if lowest < _FULL_LOAD:
                break
        return best, lowest

    def _draw_pair(
        self,
        tier: localities.Tier,
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> tuple[messages.InstanceEntry | None, float]:
        best, lowest = None, float("inf")
        drawn = 0
        entries = tier.entries
        for _ in range(_MAX_DRAWS):
            entry = entries[int(self._source.random() * len(entries))]
            if entry is best or not self._is_usable(entry, tier, tried, now):
                continue
            load = self._estimate_load(entry.instance, now)
            drawn += 1
            if load < lowest:
                best, lowest = entry, load
            if drawn == 2:
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
        """Return the first usable instance from a random position on."""
        start = int(self._source.random() * len(entries))
        for offset in range(len(entries)):
            entry = entries[(start + offset) % len(entries)]
            if entry.instance in tried or self._is_unavailable(
                entry.instance, now
            ):
                continue
            if self._source.random() >= self._tiers.compute_weight(
                entry.data_centre
            ):
                continue
            # All drawn instances were skipped. The penalty adds to the load,
            # so that the tier counts as full while its instances refuse.
            load = self._estimate_load(entry.instance, now)
            penalty = self._tracker.find_penalty(entry.instance)
            if penalty is not None:
                load += penalty.compute_weight(now)
            return entry, load
        return None, float("inf")

    def _choose_last_resort(
        self,
        tiers: tuple[localities.Tier, ...],
        now: clock.Milliseconds,
    ) -> messages.InstanceEntry | None:
        """Return an instance regardless of its state and load.

        Notes
        -----
        The instance may have recovered, and a refusal costs little. The pause
        limits the rate of attempts while a whole service is down.
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
        tier: localities.Tier,
        tried: Collection[str],
        now: clock.Milliseconds,
    ) -> bool:
        if entry.instance in tried or self._is_unavailable(entry.instance, now):
            return False
        penalty = self._tracker.find_penalty(entry.instance)
        if penalty is not None and not penalty.unavailable:
            skip_probability = penalty.compute_weight(now) - _PROBE_PROBABILITY
            if self._source.random() < skip_probability:
                return False
        if tier.data_centre:
            return True
        weight = self._tiers.compute_weight(entry.data_centre)
        return weight >= 1.0 or self._source.random() < weight

    def _is_unavailable(self, instance: str, now: clock.Milliseconds) -> bool:
        """Return whether an instance is believed to run no requests.

        Notes
        -----
        A reported state is valid for a limited time, because a process that
        replaces another one does not inform all nodes.
        """
        penalty = self._tracker.find_penalty(instance)
        if (
            penalty is not None
            and penalty.unavailable
            and penalty.compute_weight(now) > 0
        ):
            return self._source.random() >= _PROBE_PROBABILITY
        record = self._directory.find_record(instance)
        state = record.load.state if record.load else _State.SERVING
        if record.gone:
            state = _State.GONE
        validity = _STATE_VALIDITY_MS.get(state)
        if validity is None:
            return False
        if record.heard_at is None:
            return self._source.random() >= _PROBE_PROBABILITY
        return now.value - record.heard_at.value < validity

    def _estimate_load(self, instance: str, now: clock.Milliseconds) -> float:
        """Return the estimated load of an instance relative to its limit."""
        record = self._directory.find_record(instance)
        busy = float(self._tracker.count_outstanding(instance))
        limit = _DEFAULT_LIMIT
        extra = 0.0
        report = record.load
        if report is not None and record.heard_at is not None:
            limit = max(report.limit, 1)
            age = now.value - record.heard_at.value
            report_weight = (_STALE_MS - age) / (_STALE_MS - _FRESH_MS)
            report_weight = min(max(report_weight, 0.0), 1.0)
            # The report includes the calls of this node, so the larger one of
            # the two counts, not their sum.
            reported = (report.in_progress + report.queued) * report_weight
            busy = max(busy, reported)
            extra = _COLD_LOAD if report.cold else 0.0
        return busy / limit + extra
