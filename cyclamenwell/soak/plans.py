"""Seeded plan of a soak run: instances, load and faults."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import random

from cyclamenwell import clock

__all__ = [
    "BURSTS",
    "FURTHER",
    "RATES",
    "ROUTES",
    "Arrival",
    "Call",
    "Cold",
    "CutLinks",
    "EditRate",
    "Fault",
    "IssueKey",
    "KillNode",
    "PauseNode",
    "Place",
    "Plan",
    "PlatformOutage",
    "Route",
    "StopNode",
    "TakeOut",
    "WithdrawKey",
    "build_plan",
]

_SERVICES = ("meters", "billing", "ledger", "orders")
FURTHER = {
    "meters": "billing",
    "billing": "ledger",
    "ledger": "",
    "orders": "billing",
}
_DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
_FEWEST_FOR_ALL_SERVICES = 12
# Rates over a service of each organisation; `buyers` sends above its rate.
RATES = {"shops": 60.0, "fitters": 30.0, "buyers": 8.0}
BURSTS = {"shops": 60.0, "fitters": 30.0, "buyers": 8.0}
_LOAD_PER_SECOND = {"shops": 20.0, "fitters": 10.0, "buyers": 14.0}
_RATE_FACTORS = (0.5, 0.75, 1.5, 2.0)
_SURGE_EVERY = clock.Milliseconds(3_000)
_SURGE_SIZE = 60
_REPEAT_DELAYS_MS = (0.0, 20.0, 300.0, 2_000.0)
_REPEAT_PART = 0.5
_GONE_PART = 0.05
_GONE_AFTER_MS = (5.0, 20.0, 60.0)
_WITHDRAWN_PART = 0.15
# Faults begin early enough for their bounds to pass before the end.
_FIRST_FAULT_PART = 0.05
_LAST_CHANGE_PART = 0.35
_LAST_FAULT_PART = 0.65
_LAST_END_PART = 0.85
_FAULTS_PER_SECOND = 0.8
_MAX_NODES_DISTURBED = 2
_RESTART_MS = 12_000.0  # For a node to linger, to stop and to start again.


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Name, service and data centre of an instance."""

    instance: str
    service: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route that every service offers."""

    name: str
    method: str
    idempotent: bool
    importance: str
    open_to_all: bool = False


ROUTES = (
    Route("reads", "GET", True, "normal"),
    Route("charges", "POST", False, "critical"),
    Route("reports", "GET", True, "low"),
    Route("notices", "GET", True, "normal", open_to_all=True),
)
_ROUTE_SHARES = (4, 3, 2, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call of an organisation, which callers may send several times.

    Parameters
    ----------
    number : int
        Position in the load.
    organisation, service : str
        Who calls what.
    route : Route
        Route of the call.
    withdrawn_key : bool
        Whether the caller prefers a withdrawn key, if there is one.
    gone_after_ms : float
        Time after which the caller goes away, 0 for one that waits.
    """

    number: int
    organisation: str
    service: str
    route: Route
    withdrawn_key: bool
    gone_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One sending of a call.

    Parameters
    ----------
    at_ms : float
        Time from the start of the load.
    attempt : int
        Number of the sending, from 0.
    call : Call
        The call.
    entry : float
        Choice of the entry node, from 0 to 1.
    """

    at_ms: float
    attempt: int
    call: Call
    entry: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault or a change.

    Parameters
    ----------
    at_ms, duration_ms : float
        Begin from the start of the load, and length.
    """

    at_ms: float
    duration_ms: float

    @property
    def end_ms(self) -> float:
        """End from the start of the load."""
        return self.at_ms + self.duration_ms


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey(Fault):
    """An organisation's newest key is replaced by a new one."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssueKey(Fault):
    """An organisation gets one more key."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class EditRate(Fault):
    """The rate of an organisation at a service changes."""

    service: str
    organisation: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut(Fault):
    """A data centre is taken out for a time."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopNode(Fault):
    """A node stops on SIGTERM; a replacement starts after the duration."""

    instance: str
    replacement: str
    list_delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillNode(StopNode):
    """A node ends by SIGKILL; a replacement starts after the duration."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseNode(Fault):
    """A node is stopped by SIGSTOP and continued after the duration."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class CutLinks(Fault):
    """Links between two groups of instances fail.

    Parameters
    ----------
    mode : str
        ``cut`` (connections are reset), ``black-hole`` (bytes are held until
        the end) or ``delay``.
    side : tuple of str
        Instances on one side.
    others : tuple of str
        Instances on the other side, empty for all other instances.
    delay_ms : float
        Delay of each chunk of bytes.
    """

    mode: str
    side: tuple[str, ...]
    others: tuple[str, ...] = ()
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformOutage(Fault):
    """The platform is ``down`` or ``stale``."""

    mode: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cold(Fault):
    """Targets turn cold, the second time after the duration."""

    instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a seed stands for.

    Parameters
    ----------
    seed : int
        The seed.
    duration_ms : float
        Length of the load.
    places : tuple of Place
        Instances at the start.
    replacements : tuple of Place
        Instances with new names that replace others.
    arrivals : tuple of Arrival
        Load in order of time.
    faults : tuple of Fault
        Faults in order of time.
    """

    seed: int
    duration_ms: float
    places: tuple[Place, ...]
    replacements: tuple[Place, ...]
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...]

    @property
    def services(self) -> tuple[str, ...]:
        """All services."""
        return tuple(dict.fromkeys(place.service for place in self.places))


def build_plan(seed: int, duration: clock.Milliseconds, nodes: int) -> Plan:
    """Return the plan of a seed, which depends on the arguments alone.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    duration : clock.Milliseconds
        Length of the load.
    nodes : int
        Number of instances.
    """
    count = 4 if nodes >= _FEWEST_FOR_ALL_SERVICES else 3
    places = tuple(
        Place(
            f"{_SERVICES[index % count]}-{index // count + 1}",
            _SERVICES[index % count],
            _DATA_CENTRES[index // count % len(_DATA_CENTRES)],
        )
        for index in range(nodes)
    )
    faults = _FaultPlanner(seed, duration.value, places).build()
    replaced = {
        fault.replacement: fault.instance
        for fault in faults
        if isinstance(fault, StopNode) and fault.replacement != fault.instance
    }
    known = {place.instance: place for place in places}
    return Plan(
        seed=seed,
        duration_ms=duration.value,
        places=places,
        replacements=tuple(
            dataclasses.replace(known[former], instance=name)
            for name, former in replaced.items()
        ),
        arrivals=tuple(_build_load(seed, duration.value, _SERVICES[:count])),
        faults=faults,
    )


def _build_load(
    seed: int, duration_ms: float, services: tuple[str, ...]
) -> list[Arrival]:
    source = random.Random(f"{seed}/load")
    numbers = itertools.count()
    arrivals: list[Arrival] = []
    for organisation, rate in _LOAD_PER_SECOND.items():
        at_ms = source.expovariate(rate) * 1000
        while at_ms < duration_ms:
            call = _build_call(source, next(numbers), organisation, services)
            arrivals += _build_arrivals(source, call, at_ms)
            at_ms += source.expovariate(rate) * 1000
    at_ms = source.uniform(0, _SURGE_EVERY.value)
    while at_ms < duration_ms:
        organisation = source.choice(tuple(_LOAD_PER_SECOND))
        service = (source.choice(services),)
        for _ in range(_SURGE_SIZE):
            call = _build_call(source, next(numbers), organisation, service)
            arrivals += _build_arrivals(source, call, at_ms)
        at_ms += _SURGE_EVERY.value
    return sorted(arrivals, key=lambda one: (one.at_ms, one.call.number))


def _build_call(
    source: random.Random,
    number: int,
    organisation: str,
    services: tuple[str, ...],
) -> Call:
    gone = source.random() < _GONE_PART
    return Call(
        number=number,
        organisation=organisation,
        service=source.choice(services),
        route=source.choices(ROUTES, _ROUTE_SHARES)[0],
        withdrawn_key=source.random() < _WITHDRAWN_PART,
        gone_after_ms=source.choice(_GONE_AFTER_MS) if gone else 0.0,
    )


def _build_arrivals(
    source: random.Random, call: Call, at_ms: float
) -> Iterator[Arrival]:
    yield Arrival(at_ms, 0, call, source.random())
    if call.route.idempotent or source.random() >= _REPEAT_PART:
        return
    for attempt in range(1, source.randint(2, 3)):
        delay_ms = source.choice(_REPEAT_DELAYS_MS)
        yield Arrival(at_ms + delay_ms, attempt, call, source.random())


class _FaultPlanner:
    """Chooses faults; few nodes are disturbed at the same time."""

    def __init__(
        self, seed: int, duration_ms: float, places: tuple[Place, ...]
    ) -> None:
        self._source = random.Random(f"{seed}/faults")
        self._duration_ms = duration_ms
        self._places = places
        self._services = tuple(dict.fromkeys(one.service for one in places))
        # Instances that never leave the fleet under their name.
        self._names = [one.instance for one in places]
        self._busy: list[tuple[float, float, str]] = []
        self._single: dict[str, float] = {}
        self._generation = itertools.count(1)

    def build(self) -> tuple[Fault, ...]:
        """Return one fault of each kind and more by the length of the run."""
        kinds: list[Callable[[], Fault | None]] = [
            self._withdraw,
            self._issue,
            self._edit,
            self._take_out,
            self._stop,
            self._kill,
            self._pause,
            self._cut,
            self._isolate,
            self._split,
            self._break_platform,
            self._turn_cold,
        ]
        extra = int(self._duration_ms / 1000 * _FAULTS_PER_SECOND) - len(kinds)
        chosen = kinds + self._source.choices(kinds, k=max(extra, 0))
        found = [one for build in chosen if (one := build()) is not None]
        return tuple(sorted(found, key=lambda one: (one.at_ms, repr(one))))

    def _choose_time(self, last_part: float = _LAST_FAULT_PART) -> float:
        return self._duration_ms * self._source.uniform(
            _FIRST_FAULT_PART, last_part
        )

    def _choose_length(self, at_ms: float, low: float, high: float) -> float:
        longest = self._duration_ms * _LAST_END_PART - at_ms
        return min(self._source.uniform(low, high), longest)

    def _choose_change_time(self) -> float:
        """Return a time early in the run, or anywhere in a long one."""
        longest = max(_LAST_CHANGE_PART, 1 - 15_000 / self._duration_ms)
        return self._choose_time(min(longest, _LAST_END_PART))

    def _withdraw(self) -> Fault:
        return WithdrawKey(
            self._choose_change_time(), 0, self._source.choice(tuple(RATES))
        )

    def _issue(self) -> Fault:
        return IssueKey(
            self._choose_change_time(), 0, self._source.choice(tuple(RATES))
        )

    def _edit(self) -> Fault:
        return EditRate(
            self._choose_change_time(),
            0,
            self._source.choice(self._services),
            self._source.choice(tuple(RATES)),
            self._source.choice(_RATE_FACTORS),
        )

    def _take_out(self) -> Fault | None:
        at_ms = self._choose_time(_LAST_CHANGE_PART)
        length = self._choose_length(at_ms, 8_000, 14_000)
        if not self._reserve("take-out", at_ms, length):
            return None
        name = self._source.choice(_DATA_CENTRES)
        return TakeOut(at_ms, length, name)

    def _break_platform(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 2_000, 8_000)
        if not self._reserve("platform", at_ms, length):
            return None
        mode = self._source.choice(("down", "stale"))
        return PlatformOutage(at_ms, length, mode)

    def _turn_cold(self) -> Fault:
        at_ms = self._choose_time()
        count = self._source.randint(1, len(self._places) // 2)
        names = self._source.sample([p.instance for p in self._places], count)
        length = self._choose_length(at_ms, 200, 3_000)
        return Cold(at_ms, length, tuple(names))

    def _stop(self) -> Fault | None:
        return self._end(StopNode)

    def _kill(self) -> Fault | None:
        return self._end(KillNode)

    def _end(self, kind: type[StopNode]) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 200, 3_000)
        name = self._choose_node(at_ms, length + _RESTART_MS)
        if name is None:
            return None
        replacement = name
        if self._source.random() < 0.5:
            replacement = f"{name}-r{next(self._generation)}"
            self._names.remove(name)
        delay_ms = self._source.uniform(0, 3_000)
        return kind(at_ms, length, name, replacement, delay_ms)

    def _pause(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 500, 7_000)
        name = self._choose_node(at_ms, length)
        return None if name is None else PauseNode(at_ms, length, name)

    def _cut(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 500, 5_000)
        mode = self._source.choice(("cut", "black-hole", "delay"))
        first, second = self._source.sample(
            [place.instance for place in self._places], 2
        )
        delay_ms = self._source.uniform(20, 300) if mode == "delay" else 0.0
        return CutLinks(at_ms, length, mode, (first,), (second,), delay_ms)

    def _isolate(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 3_000, 10_000)
        name = self._choose_node(at_ms, length)
        if name is None:
            return None
        mode = self._source.choice(("cut", "black-hole"))
        return CutLinks(at_ms, length, mode, (name,))

    def _split(self) -> Fault | None:
        """Cut the instances of a data centre off together."""
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 2_000, 8_000)
        if not self._reserve("split", at_ms, length):
            return None
        name = self._source.choice(_DATA_CENTRES)
        side = tuple(
            one.instance for one in self._places if one.data_centre == name
        )
        mode = self._source.choice(("cut", "black-hole"))
        return CutLinks(at_ms, length, mode, side)

    def _reserve(self, what: str, at_ms: float, length_ms: float) -> bool:
        """Return whether no other fault of a kind is at that time."""
        if any(
            kind == what and begin < at_ms + length_ms and at_ms < end
            for begin, end, kind in self._busy
        ):
            return False
        self._busy.append((at_ms, at_ms + length_ms, what))
        return True

    def _choose_node(self, at_ms: float, length_ms: float) -> str | None:
        end_ms = at_ms + length_ms
        busy = {
            name
            for begin, end, name in self._busy
            if begin < end_ms and at_ms < end and name in self._names
        }
        free = [name for name in self._names if name not in busy]
        if len(busy) >= _MAX_NODES_DISTURBED or not free:
            return None
        name = self._source.choice(free)
        self._busy.append((at_ms, end_ms, name))
        return name
