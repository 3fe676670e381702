"""Load balancing over the targets of a service.

Targets differ in speed; some are slow, cold, failing or unreachable for a
while, and many nodes choose among them with delayed information. A node rates
targets by their answers to it and by their load reports. It prefers local
targets by the cost of the hop and the transfer. Observations decay, so that a
target that did badly gets requests again.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["TargetBalancer"]

# Half-life of observations.
_HALF_LIFE = clock.Milliseconds(4000)
_RELATIVE_TIME_WEIGHT = 0.1
_MAX_RELATIVE_TIME = 5.0
_ROUTE_WEIGHT = 0.02
# Service times vary so much that the average of the last ten requests of a
# normal target deviates up to these bounds. Without this dead band, the noise
# is taken for a difference between targets and draws the requests of all nodes
# to the luckiest one.
_NORMAL_RELATIVE_TIME = (0.65, 1.35)
_FAILURE_WEIGHT = 0.15
# A failure rate of 1 adds this many times the average time.
_FAILURE_FACTOR = 8.0
_COLD_PENALTY = clock.Milliseconds(400)
_INITIAL_ROUTE_TIME = clock.Milliseconds(100)  # Of a route without an answer.
# Assumed cost of each kilobyte that leaves the data centre, and fixed cost of
# a hop to another data centre or instance.
_TRANSFER_MS_PER_KB = 1.5
_OTHER_DATA_CENTRE = clock.Milliseconds(4)
_OTHER_INSTANCE = clock.Milliseconds(2)
# Cost of a hop to another instance or data centre as a fraction of the average
# time. A local target needs no message to another node, which takes half of the
# processor time of a request. Both fractions are below the increase for the
# load of a target that is nearly full.
_OTHER_INSTANCE_FRACTION = 0.10
_OTHER_DATA_CENTRE_FRACTION = 0.06
# Increase for the load of a target that runs as many requests as its limit.
_LOAD_FACTOR = 0.3
# Relative jitter, so that nodes with the same reports choose different targets.
_JITTER = 0.15
# Of more targets a random sample is compared, so that the cost does not grow
# with the service; the best of eight is nearly the best of all.
_MAX_CANDIDATES = 8
_MAX_DRAWN_CANDIDATES = 6
_MAX_NEAR_CANDIDATES = 2
_LOAD_LIFETIME = clock.Milliseconds(1500)
_MIN_PAUSE = clock.Milliseconds(250)
_MAX_PAUSE = clock.Milliseconds(2000)


@dataclasses.dataclass(slots=True)
class _Record:
    """Moving averages and present state of a target."""

    relative_time: float = 1.0  # Service time over the route's average time.
    failure_rate: float = 0.0  # Fraction of recent requests that failed.
    updated_at: clock.Milliseconds = clock.ZERO
    load: deployment.TargetLoad | None = None
    load_expiry: float = 0.0  # Milliseconds.
    outstanding: int = 0
    paused_until: clock.Milliseconds = clock.ZERO
    pause: clock.Milliseconds = clock.ZERO
    # Start of the target that has said that it leaves, None for none.
    leaving_start: int | None = None


class TargetBalancer:
    """Chooses the target with the shortest expected time of a request.

    Parameters
    ----------
    time : clock.Clock
        Clock for the age of observations.
    host : str
        IP address of this instance.
    data_centre : str
        Data centre of this instance.
    generator : random.Random
        Source of jitter and random samples.
    """

    def __init__(
        self,
        time: clock.Clock,
        host: str,
        data_centre: str,
        generator: random.Random,
    ) -> None:
        self._time = time
        self._host = host
        self._data_centre = data_centre
        self._random = generator
        self._records: dict[str, _Record] = {}
        # Moving average of the service time of each route, and the number of
        # its answers.
        self._route_times: dict[str, tuple[float, int]] = {}
        # For each service, its targets and those of them that are near.
        self._near_targets: dict[
            str,
            tuple[
                Collection[deployment.TargetEntry],
                Collection[deployment.TargetEntry],
            ],
        ] = {}

    def choose(
        self,
        entries: Collection[deployment.TargetEntry],
        data_centres_out: Collection[str],
        tried: Collection[str],
        route: str,
        transfer_bytes: int,
        saturated: Collection[str] = (),
    ) -> deployment.TargetEntry | None:
        """Return the best target for a request, or None if there is none.

        Parameters
        ----------
        entries : collection of deployment.TargetEntry
            Targets of the service.
        data_centres_out : collection of str
            Data centres whose targets get no requests.
        tried : collection of str
            Targets to which the request was offered before.
        route : str
            Name of the request's route.
        transfer_bytes : int
            Bytes of the request and, as far as known, of its answer.
        saturated : collection of str
            Targets that refused similar requests a moment ago. They are
            skipped also if all others are paused; they are candidates only
            if every target is paused.
        """
        now = self._time.now().value
        average_time, _ = self._route_times.get(
            route, (_INITIAL_ROUTE_TIME.value, 0)
        )
        usable = [
            entry
            for entry in self._draw_candidates(entries)
            if _is_usable(entry, data_centres_out, tried)
            and entry.target_id not in saturated
            and not self._is_paused(entry, now)
            and not self._is_leaving(entry)
        ]
        if not usable:
            usable = self._list_usable(
                entries, now, data_centres_out, tried, saturated
            )
            if len(usable) > _MAX_CANDIDATES:
                usable = self._random.sample(usable, _MAX_CANDIDATES)
        return min(
            usable,
            key=lambda entry: self._estimate_time(
                entry, average_time, transfer_bytes, now
            ),
            default=None,
        )

    def _list_usable(
        self,
        entries: Collection[deployment.TargetEntry],
        now: float,
        data_centres_out: Collection[str],
        tried: Collection[str],
        saturated: Collection[str],
    ) -> list[deployment.TargetEntry]:
        """Return the targets that are free, or all if all are paused."""
        usable = [
            entry
            for entry in entries
            if _is_usable(entry, data_centres_out, tried)
            and not self._is_leaving(entry)
        ]
        unpaused = [e for e in usable if not self._is_paused(e, now)]
        if not unpaused:
            return usable
        return [e for e in unpaused if e.target_id not in saturated]

    def _is_paused(self, entry: deployment.TargetEntry, now: float) -> bool:
        return self._find_record(entry.target_id).paused_until.value > now

    def _is_leaving(self, entry: deployment.TargetEntry) -> bool:
        record = self._find_record(entry.target_id)
        return record.leaving_start == entry.started_ms

    def _draw_candidates(
        self, entries: Collection[deployment.TargetEntry]
    ) -> Collection[deployment.TargetEntry]:
        """Return all targets, or of many a sample that favours near ones.

        The target beside the node is always part of the sample.
        """
        if len(entries) <= _MAX_CANDIDATES:
            return entries
        drawn = self._random.sample(entries, _MAX_DRAWN_CANDIDATES)
        near = self._list_near(entries)
        if len(near) > _MAX_NEAR_CANDIDATES:
            # The local target, if there is one, comes first.
            local = near[:1] if near[0].host == self._host else ()
            near = (*local, *self._random.sample(near, _MAX_NEAR_CANDIDATES))
        drawn.extend(near)
        return drawn

    def _list_near(
        self, entries: Collection[deployment.TargetEntry]
    ) -> Collection[deployment.TargetEntry]:
        """Return the targets in the data centre, the local one first."""
        service = next(iter(entries)).service
        known, near = self._near_targets.get(service, (None, ()))
        if known is not entries:
            near = sorted(
                (e for e in entries if e.data_centre == self._data_centre),
                key=lambda entry: entry.host != self._host,
            )
            self._near_targets[service] = (entries, near)
        return near

    def begin(self, target_id: str) -> None:
        """Count a request that is sent to a target."""
        self._find_record(target_id).outstanding += 1

    def end(self, target_id: str) -> None:
        """Count a request to a target as ended."""
        self._find_record(target_id).outstanding -= 1

    def note_load(self, load: deployment.TargetLoad) -> None:
        """Store the load of a target that its node reports."""
        if not load.target_id:
            return
        record = self._find_record(load.target_id)
        record.load = load
        if load.is_leaving:
            record.leaving_start = load.started_ms
        record.load_expiry = (self._time.now() + _LOAD_LIFETIME).value

    def note_answer(
        self, target_id: str, route: str, service_time: clock.Milliseconds
    ) -> None:
        """Record the service time of an answered request."""
        taken = max(service_time.value, 1.0)
        average_time, answers = self._route_times.get(route, (taken, 0))
        answers += 1
        # Starts as the arithmetic mean: with an initial value from one short
        # answer, all targets would look slow.
        average_time += (taken - average_time) * max(
            _ROUTE_WEIGHT, 1.0 / answers
        )
        self._route_times[route] = (average_time, answers)
        record = self._find_record(target_id)
        self._decay_record(record)
        # One very slow answer must not outweigh many normal ones.
        ratio = min(taken / average_time, _MAX_RELATIVE_TIME)
        record.relative_time += (
            ratio - record.relative_time
        ) * _RELATIVE_TIME_WEIGHT
        record.failure_rate -= record.failure_rate * _FAILURE_WEIGHT
        record.pause = clock.ZERO

    def note_failure(self, target_id: str) -> None:
        """Record that a target failed a request."""
        record = self._find_record(target_id)
        self._decay_record(record)
        record.failure_rate += (1.0 - record.failure_rate) * _FAILURE_WEIGHT

    def pause(self, target_id: str) -> None:
        """Pause an unreachable target, with exponential backoff.

        An answer of the target resets the backoff.
        """
        record = self._find_record(target_id)
        now = self._time.now()
        if record.paused_until > now:
            return
        doubled = max(record.pause * 2, _MIN_PAUSE)
        record.pause = min(doubled, _MAX_PAUSE)
        record.paused_until = now + record.pause

    def keep_only(self, target_ids: Collection[str]) -> None:
        """Drop the records of idle targets that are not in a collection."""
        for target_id in [t for t in self._records if t not in target_ids]:
            if not self._records[target_id].outstanding:
                del self._records[target_id]

    def find_average_time(self, route: str) -> clock.Milliseconds:
        """Return the average service time of a route over all targets."""
        average_time, _ = self._route_times.get(
            route, (_INITIAL_ROUTE_TIME.value, 0)
        )
        return clock.Milliseconds(average_time)

    def _decay_record(self, record: _Record) -> None:
        """Decay the observations of a target to the present time."""
        now = self._time.now()
        decay = _compute_decay((now - record.updated_at).value)
        record.relative_time = 1.0 + (record.relative_time - 1.0) * decay
        record.failure_rate *= decay
        record.updated_at = now

    def _find_record(self, target_id: str) -> _Record:
        record = self._records.get(target_id)
        if record is None:
            record = self._records[target_id] = _Record()
        return record

    def _estimate_time(
        self,
        entry: deployment.TargetEntry,
        average_time: float,
        transfer_bytes: int,
        now: float,
    ) -> float:
        """Return the expected time of a request in ms, with jitter.

        Uses plain numbers, as it runs for each candidate of each request.
        """
        record = self._find_record(entry.target_id)
        slowdown = 1.0 + _find_deviation(record.relative_time)
        failure_rate = record.failure_rate
        if slowdown != 1.0 or failure_rate:
            decay = _compute_decay(now - record.updated_at.value)
            slowdown = 1.0 + (slowdown - 1.0) * decay
            failure_rate *= decay
        limit = max(entry.slots, 1)
        busy = record.outstanding
        is_cold = entry.cold_remaining_ms > 0
        pace_wait = 0.0
        load = record.load
        if load is not None and now < record.load_expiry:
            limit = max(load.limit, 1)
            busy = max(busy, load.running + load.queued)
            is_cold = load.is_cold
            pace_wait = load.pace_wait_ms
        utilization = busy / limit
        expected = (
            average_time * slowdown * (1.0 + _FAILURE_FACTOR * failure_rate)
        )
        expected *= 1.0 + _LOAD_FACTOR * utilization * utilization
        # Above the limit, a request waits for those before it in the queue.
        expected += average_time * slowdown * max(utilization - 1.0, 0.0)
        expected += pace_wait
        if is_cold:
            expected += _COLD_PENALTY.value
        if entry.host != self._host:
            expected += (
                _OTHER_INSTANCE.value + average_time * _OTHER_INSTANCE_FRACTION
            )
        if entry.data_centre != self._data_centre:
            expected += _OTHER_DATA_CENTRE.value
            expected += average_time * _OTHER_DATA_CENTRE_FRACTION
            expected += transfer_bytes / 1000.0 * _TRANSFER_MS_PER_KB
        return expected * (1.0 + self._random.random() * _JITTER)


def _is_usable(
    entry: deployment.TargetEntry,
    data_centres_out: Collection[str],
    tried: Collection[str],
) -> bool:
    """Return whether a target may get a request that it has not had yet."""
    return (
        entry.state is enumerations.InstanceState.SERVING
        and entry.data_centre not in data_centres_out
        and entry.target_id not in tried
    )


def _compute_decay(age_ms: float) -> float:
    """Return the weight of an observation of some age, from 1 down to 0."""
    return 0.5 ** (age_ms / _HALF_LIFE.value)


def _find_deviation(relative_time: float) -> float:
    """Return by how much a relative time is outside of the dead band.

    The result is negative for a target that is faster than others.
    """
    lower, upper = _NORMAL_RELATIVE_TIME
    if relative_time > upper:
        return relative_time - upper
    return min(relative_time - lower, 0.0)
