"""Choice of the target that gets a request.

The loads that this answers: targets of different speed, some of them slow,
cold, failing or gone for a while, chosen by many nodes that see them late. A
node goes by what targets answered, prefers its own data centre as far as the
transfer costs time, and tries targets that did badly again after a while.
"""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["Placement"]

# An observation loses half of its weight in this time, so a target that did
# badly gets requests again.
_HALF_LIFE = clock.Milliseconds(4000)
_SPEED_WEIGHT = 0.1
_MAX_SPEED = 5.0
_ROUTE_WEIGHT = 0.02
# The times of single requests differ so much that the average of the last ten
# of an ordinary target strays up to here; taken for a difference between
# targets, it drew the requests of all nodes to the luckiest.
_ORDINARY_SPEED = (0.65, 1.35)
_FAILURE_WEIGHT = 0.15
# A failure of every request counts like an answer that takes so many times
# as long.
_FAILURE_FACTOR = 8.0
_COLD_PENALTY = clock.Milliseconds(400)
_FIRST_TIME = clock.Milliseconds(100)
# What a request of unknown cost pays for each kilobyte that leaves the data
# centre, and for the way itself.
_TRANSFER_MS_PER_KB = 1.5
_OTHER_DATA_CENTRE = clock.Milliseconds(4)
_OTHER_INSTANCE = clock.Milliseconds(2)
# What the way to another instance and to another data centre adds to the usual
# time. The target beside the node is asked without a message to another node,
# which is half of the processor time of a request; both are below what the
# load of a target adds when it is nearly full.
_OTHER_INSTANCE_PART = 0.10
_OTHER_DATA_CENTRE_PART = 0.06
# Keeps nodes with the same reports from choosing the same target.
_SPREAD = 0.15
# Of more targets a random part is compared, so that a request costs the same
# in a service of any size; the best of eight is nearly the best of all.
_MAX_CANDIDATES = 8
_MAX_NEAR_CANDIDATES = 3
_LOAD_AGE = clock.Milliseconds(1500)
_FIRST_PAUSE = clock.Milliseconds(250)
_LONGEST_PAUSE = clock.Milliseconds(2000)


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of a target from its answers."""

    speed: float = 1.0  # Time of its answers relative to other targets.
    failures: float = 0.0  # Part of the recent requests that failed.
    updated: clock.Milliseconds = clock.ZERO
    load: deployment.TargetLoad | None = None
    load_expiry: float = 0.0  # Milliseconds.
    outstanding: int = 0
    paused_until: clock.Milliseconds = clock.ZERO
    pause: clock.Milliseconds = clock.ZERO


class Placement:
    """Chooses among the targets of a service.

    Parameters
    ----------
    time : clock.Clock
        Clock of observations.
    host : str
        IP number of this instance.
    data_centre : str
        Data centre of this instance.
    generator : random.Random
        Source of the spread.
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
        # Mean time of a route's requests at targets, and their number.
        self._route_times: dict[str, tuple[float, int]] = {}

    def choose(
        self,
        entries: Collection[deployment.TargetEntry],
        data_centres_out: Collection[str],
        tried: Collection[str],
        route: str,
        transfer_bytes: int,
        saturated: Collection[str] = (),
    ) -> deployment.TargetEntry | None:
        """Return the target for a request, or None if there is none.

        Parameters
        ----------
        entries : collection of deployment.TargetEntry
            Targets of the service.
        data_centres_out : collection of str
            Data centres whose targets get nothing.
        tried : collection of str
            Targets that the request has been offered to.
        route : str
            Route of the request, whose usual time is known.
        transfer_bytes : int
            Bytes of the request and, as far as known, of its answer.
        saturated : collection of str
            Targets that have just refused requests like this one. If all
            others can not be reached, nothing is chosen.
        """
        now = self._time.now().value
        usable = [
            entry
            for entry in entries
            if entry.state is enumerations.InstanceState.SERVING
            and entry.data_centre not in data_centres_out
            and entry.target_id not in tried
        ]
        awake = [
            entry
            for entry in usable
            if self._find_record(entry.target_id).paused_until.value <= now
        ]
        free = [entry for entry in awake if entry.target_id not in saturated]
        usual, _ = self._route_times.get(route, (_FIRST_TIME.value, 0))
        return min(
            self._draw_candidates(free if awake else usable),
            key=lambda entry: self._rate(entry, usual, transfer_bytes, now),
            default=None,
        )

    def _draw_candidates(
        self, entries: list[deployment.TargetEntry]
    ) -> list[deployment.TargetEntry]:
        """Return the targets to compare, all or a random part of many."""
        if len(entries) <= _MAX_CANDIDATES:
            return entries
        drawn = self._random.sample(entries, _MAX_CANDIDATES)
        near = [e for e in entries if e.data_centre == self._data_centre]
        if len(near) > _MAX_NEAR_CANDIDATES:
            near = self._random.sample(near, _MAX_NEAR_CANDIDATES)
        return drawn + near

    def begin(self, target_id: str) -> None:
        """Note that a request is on its way to a target."""
        self._find_record(target_id).outstanding += 1

    def end(self, target_id: str) -> None:
        """Note that a request has come back."""
        self._find_record(target_id).outstanding -= 1

    def note_load(self, load: deployment.TargetLoad) -> None:
        """Take the load that the node beside a target reports."""
        if not load.target_id:
            return
        record = self._find_record(load.target_id)
        record.load = load
        record.load_expiry = (self._time.now() + _LOAD_AGE).value

    def note_answer(
        self, target_id: str, route: str, service_time: clock.Milliseconds
    ) -> None:
        """Note the time that a target took for a request."""
        taken = max(service_time.value, 1.0)
        usual, answers = self._route_times.get(route, (taken, 0))
        answers += 1
        # The plain mean of the first answers, so that one short answer does
        # not make all targets look slow.
        usual += (taken - usual) * max(_ROUTE_WEIGHT, 1.0 / answers)
        self._route_times[route] = (usual, answers)
        record = self._find_record(target_id)
        self._forget_old(record)
        # One very late answer must not outweigh many good ones.
        ratio = min(taken / usual, _MAX_SPEED)
        record.speed += (ratio - record.speed) * _SPEED_WEIGHT
        record.failures -= record.failures * _FAILURE_WEIGHT
        record.pause = clock.ZERO

    def note_failure(self, target_id: str) -> None:
        """Note that a target failed a request."""
        record = self._find_record(target_id)
        self._forget_old(record)
        record.failures += (1.0 - record.failures) * _FAILURE_WEIGHT

    def pause(self, target_id: str) -> None:
        """Keep requests away from a target that can not be reached.

        The pause grows as long as attempts fail.
        """
        record = self._find_record(target_id)
        now = self._time.now()
        if record.paused_until > now:
            return
        longer = max(record.pause * 2, _FIRST_PAUSE)
        record.pause = min(longer, _LONGEST_PAUSE)
        record.paused_until = now + record.pause

    def forget_missing(self, known: Collection[str]) -> None:
        """Forget targets that no longer exist."""
        for target_id in [t for t in self._records if t not in known]:
            if not self._records[target_id].outstanding:
                del self._records[target_id]

    def find_usual_time(self, route: str) -> clock.Milliseconds:
        """Return the usual time of a route's requests at a target."""
        usual, _ = self._route_times.get(route, (_FIRST_TIME.value, 0))
        return clock.Milliseconds(usual)

    def _forget_old(self, record: _Record) -> None:
        """Let older observations of a target count less from now on."""
        now = self._time.now()
        kept = _find_kept_part((now - record.updated).value)
        record.speed = 1.0 + (record.speed - 1.0) * kept
        record.failures *= kept
        record.updated = now

    def _find_record(self, target_id: str) -> _Record:
        record = self._records.get(target_id)
        if record is None:
            record = self._records[target_id] = _Record()
        return record

    def _rate(
        self,
        entry: deployment.TargetEntry,
        usual: float,
        transfer_bytes: int,
        now: float,
    ) -> float:
        """Return the expected time of a request; all in milliseconds.

        Plain numbers: this is done for each target of each request.
        """
        record = self._find_record(entry.target_id)
        speed = 1.0 + _judge_speed(record.speed)
        failures = record.failures
        if speed != 1.0 or failures:
            kept = _find_kept_part(now - record.updated.value)
            speed = 1.0 + (speed - 1.0) * kept
            failures *= kept
        limit = max(entry.slots, 1)
        busy = record.outstanding
        is_cold = entry.cold_remaining_ms > 0
        load = record.load
        if load is not None and now < record.load_expiry:
            limit = max(load.limit, 1)
            busy = max(busy, load.running + load.queued)
            is_cold = load.is_cold
        fill = busy / limit
        expected = usual * speed * (1.0 + _FAILURE_FACTOR * failures)
        expected *= 1.0 + 0.3 * fill * fill
        # Beyond the limit a request waits for those before it.
        expected += usual * speed * max(fill - 1.0, 0.0)
        if is_cold:
            expected += _COLD_PENALTY.value
        if entry.host != self._host:
            expected += _OTHER_INSTANCE.value + usual * _OTHER_INSTANCE_PART
        if entry.data_centre != self._data_centre:
            expected += _OTHER_DATA_CENTRE.value
            expected += usual * _OTHER_DATA_CENTRE_PART
            expected += transfer_bytes / 1000.0 * _TRANSFER_MS_PER_KB
        return expected * (1.0 + self._random.random() * _SPREAD)


def _find_kept_part(age_ms: float) -> float:
    """Return how much an observation of some age still counts."""
    return 0.5 ** (age_ms / _HALF_LIFE.value)


def _judge_speed(speed: float) -> float:
    """Return by how much a target is slower than others, beyond chance."""
    fastest, slowest = _ORDINARY_SPEED
    if speed > slowest:
        return speed - slowest
    return min(speed - fastest, 0.0)
