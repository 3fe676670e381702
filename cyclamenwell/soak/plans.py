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
    "NESTED_SERVICES",
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
# Service that each service calls while it handles a request, empty for none.
NESTED_SERVICES = {
    "meters": "billing",
    "billing": "ledger",
    "ledger": "",
    "orders": "billing",
}
_DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
_MIN_NODES_FOR_ALL_SERVICES = 12
# Requests per second of each organisation at a service; the load of `buyers`
# exceeds its rate.
RATES = {"shops": 60.0, "fitters": 30.0, "buyers": 8.0}
BURSTS = {"shops": 60.0, "fitters": 30.0, "buyers": 8.0}
_LOAD_PER_SECOND = {"shops": 20.0, "fitters": 10.0, "buyers": 14.0}
_RATE_FACTORS = (0.5, 0.75, 1.5, 2.0)
_SURGE_INTERVAL = clock.Milliseconds(3_000)
_SURGE_SIZE = 60
_REPEAT_DELAYS_MS = (0.0, 20.0, 300.0, 2_000.0)
_REPEAT_PROBABILITY = 0.5
_GONE_PROBABILITY = 0.05
_GONE_AFTER_MS = (5.0, 20.0, 60.0)
_WITHDRAWN_KEY_PROBABILITY = 0.15
# Faults begin early enough for their time bounds to expire within the run.
_FIRST_FAULT_FRACTION = 0.05
_LAST_CHANGE_FRACTION = 0.35
_LAST_FAULT_FRACTION = 0.65
_LAST_END_FRACTION = 0.85
_FAULTS_PER_SECOND = 0.8
_MAX_DISTURBED_NODES = 2
_RESTART_MS = 12_000.0  # For a node to linger, stop and start again.


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
    """A call of an organisation, which callers may send more than once.

    Parameters
    ----------
    number : int
        Position in the load.
    organisation, service : str
        Calling organisation and called service.
    route : Route
        Route of the call.
    withdrawn_key : bool
        Whether the caller uses a withdrawn key if there is one.
    gone_after_ms : float
        Time after which the caller disconnects, 0 if it waits for the answer.
    """

    number: int
    organisation: str
    service: str
    route: Route
    withdrawn_key: bool
    gone_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a call.

    Parameters
    ----------
    at_ms : float
        Time after the start of the load.
    attempt : int
        Number of the request within the call, from 0.
    call : Call
        The call.
    entry : float
        Position of the entry node in the list of nodes, from 0 to 1.
    """

    at_ms: float
    attempt: int
    call: Call
    entry: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault, or a change by operators.

    Parameters
    ----------
    at_ms, duration_ms : float
        Begin after the start of the load, and duration.
    """

    at_ms: float
    duration_ms: float

    @property
    def end_ms(self) -> float:
        """End in milliseconds after the start of the load."""
        return self.at_ms + self.duration_ms


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey(Fault):
    """An organisation's newest key is withdrawn and replaced by a new key."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssueKey(Fault):
    """An organisation gets an additional key."""

    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class EditRate(Fault):
    """The rate limit of an organisation at a service changes."""

    service: str
    organisation: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut(Fault):
    """A data centre is taken out temporarily."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopNode(Fault):
    """A node stops on SIGTERM; after the duration a replacement starts."""

    instance: str
    replacement: str
    list_delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class KillNode(StopNode):
    """A node is killed by SIGKILL; after the duration a replacement starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseNode(Fault):
    """A node is paused by SIGSTOP and resumed after the duration."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class CutLinks(Fault):
    """Links between two groups of instances fail.

    Parameters
    ----------
    mode : str
        ``cut`` (connections are reset), ``black-hole`` (bytes are held back
        until the fault ends) or ``delay``.
    side : tuple of str
        Instances on one side.
    others : tuple of str
        Instances on the other side, empty for all other instances.
    delay_ms : float
        Delay of each chunk of bytes in mode ``delay``.
    """

    mode: str
    side: tuple[str, ...]
    others: tuple[str, ...] = ()
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformOutage(Fault):
    """The platform is unavailable (``down``) or serves old data (``stale``)."""

    mode: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cold(Fault):
    """Targets turn cold, and again after the duration."""

    instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Instances, load and faults that a seed determines.

    Parameters
    ----------
    seed : int
        The seed.
    duration_ms : float
        Length of the load.
    places : tuple of Place
        Instances that start with the run.
    replacements : tuple of Place
        Instances under new names that replace others.
    arrivals : tuple of Arrival
        Requests in order of time.
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
        """Names of all services."""
        return tuple(dict.fromkeys(place.service for place in self.places))


def build_plan(seed: int, duration: clock.Milliseconds, nodes: int) -> Plan:
    """Return the plan of a seed, which depends only on the arguments.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    duration : clock.Milliseconds
        Length of the load.
    nodes : int
        Number of instances.
    """
    count = 4 if nodes >= _MIN_NODES_FOR_ALL_SERVICES else 3
    places = tuple(
        Place(
            f"{_SERVICES[index % count]}-{index // count + 1}",
            _SERVICES[index % count],
            _DATA_CENTRES[index // count % len(_DATA_CENTRES)],
        )
        for index in range(nodes)
    )
    faults = _FaultPlanner(seed, duration.value, places).build()
    former_names = {
        fault.replacement: fault.instance
        for fault in faults
        if isinstance(fault, StopNode) and fault.replacement != fault.instance
    }
    places_by_name = {place.instance: place for place in places}
    return Plan(
        seed=seed,
        duration_ms=duration.value,
        places=places,
        replacements=tuple(
            dataclasses.replace(places_by_name[replaced_name], instance=name)
            for name, replaced_name in former_names.items()
        ),
        arrivals=tuple(_build_load(seed, duration.value, _SERVICES[:count])),
        faults=faults,
    )


def _build_load(
    seed: int, duration_ms: float, services: tuple[str, ...]
) -> list[Arrival]:
    rng = random.Random(f"{seed}/load")
    numbers = itertools.count()
    arrivals: list[Arrival] = []
    for organisation, rate in _LOAD_PER_SECOND.items():
        at_ms = rng.expovariate(rate) * 1000
        while at_ms < duration_ms:
            call = _build_call(rng, next(numbers), organisation, services)
            arrivals += _build_arrivals(rng, call, at_ms)
            at_ms += rng.expovariate(rate) * 1000
    at_ms = rng.uniform(0, _SURGE_INTERVAL.value)
    while at_ms < duration_ms:
        organisation = rng.choice(tuple(_LOAD_PER_SECOND))
        service = (rng.choice(services),)
        for _ in range(_SURGE_SIZE):
            call = _build_call(rng, next(numbers), organisation, service)
            arrivals += _build_arrivals(rng, call, at_ms)
        at_ms += _SURGE_INTERVAL.value
    return sorted(
        arrivals, key=lambda arrival: (arrival.at_ms, arrival.call.number)
    )


def _build_call(
    rng: random.Random,
    number: int,
    organisation: str,
    services: tuple[str, ...],
) -> Call:
    is_abandoned = rng.random() < _GONE_PROBABILITY
    return Call(
        number=number,
        organisation=organisation,
        service=rng.choice(services),
        route=rng.choices(ROUTES, _ROUTE_SHARES)[0],
        withdrawn_key=rng.random() < _WITHDRAWN_KEY_PROBABILITY,
        gone_after_ms=rng.choice(_GONE_AFTER_MS) if is_abandoned else 0.0,
    )


def _build_arrivals(
    rng: random.Random, call: Call, at_ms: float
) -> Iterator[Arrival]:
    yield Arrival(at_ms, 0, call, rng.random())
    if call.route.idempotent or rng.random() >= _REPEAT_PROBABILITY:
        return
    for attempt in range(1, rng.randint(2, 3)):
        delay_ms = rng.choice(_REPEAT_DELAYS_MS)
        yield Arrival(at_ms + delay_ms, attempt, call, rng.random())


class _FaultPlanner:
    """Chooses faults and limits how many nodes are disturbed at once."""

    def __init__(
        self, seed: int, duration_ms: float, places: tuple[Place, ...]
    ) -> None:
        self._rng = random.Random(f"{seed}/faults")
        self._duration_ms = duration_ms
        self._places = places
        self._services = tuple(dict.fromkeys(place.service for place in places))
        # Instances that no fault has replaced by one of another name.
        self._candidates = [place.instance for place in places]
        self._reserved: list[tuple[float, float, str]] = []
        self._single: dict[str, float] = {}
        self._replacement_numbers = itertools.count(1)

    def build(self) -> tuple[Fault, ...]:
        """Return faults of each kind, and more in a longer run.

        Faults that would disturb too much at the same time are left out.
        """
        kinds: list[Callable[[], Fault | None]] = [
            self._plan_key_withdrawal,
            self._plan_key_issue,
            self._plan_rate_edit,
            self._plan_take_out,
            self._plan_stop,
            self._plan_kill,
            self._plan_pause,
            self._plan_cut,
            self._plan_isolation,
            self._plan_partition,
            self._plan_outage,
            self._plan_cold,
        ]
        extra = int(self._duration_ms / 1000 * _FAULTS_PER_SECOND) - len(kinds)
        chosen = kinds + self._rng.choices(kinds, k=max(extra, 0))
        faults = [fault for build in chosen if (fault := build()) is not None]
        return tuple(
            sorted(faults, key=lambda fault: (fault.at_ms, repr(fault)))
        )

    def _choose_time(
        self, last_fraction: float = _LAST_FAULT_FRACTION
    ) -> float:
        return self._duration_ms * self._rng.uniform(
            _FIRST_FAULT_FRACTION, last_fraction
        )

    def _choose_length(self, at_ms: float, low: float, high: float) -> float:
        longest = self._duration_ms * _LAST_END_FRACTION - at_ms
        return min(self._rng.uniform(low, high), longest)

    def _choose_change_time(self) -> float:
        """Return an early time, or in a long run a time well before its end."""
        longest = max(_LAST_CHANGE_FRACTION, 1 - 15_000 / self._duration_ms)
        return self._choose_time(min(longest, _LAST_END_FRACTION))

    def _plan_key_withdrawal(self) -> Fault:
        return WithdrawKey(
            self._choose_change_time(), 0, self._rng.choice(tuple(RATES))
        )

    def _plan_key_issue(self) -> Fault:
        return IssueKey(
            self._choose_change_time(), 0, self._rng.choice(tuple(RATES))
        )

    def _plan_rate_edit(self) -> Fault:
        return EditRate(
            self._choose_change_time(),
            0,
            self._rng.choice(self._services),
            self._rng.choice(tuple(RATES)),
            self._rng.choice(_RATE_FACTORS),
        )

    def _plan_take_out(self) -> Fault | None:
        at_ms = self._choose_time(_LAST_CHANGE_FRACTION)
        length = self._choose_length(at_ms, 8_000, 14_000)
        if not self._reserve("take-out", at_ms, length):
            return None
        name = self._rng.choice(_DATA_CENTRES)
        return TakeOut(at_ms, length, name)

    def _plan_outage(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 2_000, 8_000)
        if not self._reserve("platform", at_ms, length):
            return None
        mode = self._rng.choice(("down", "stale"))
        return PlatformOutage(at_ms, length, mode)

    def _plan_cold(self) -> Fault:
        at_ms = self._choose_time()
        count = self._rng.randint(1, len(self._places) // 2)
        names = self._rng.sample(
            [place.instance for place in self._places], count
        )
        length = self._choose_length(at_ms, 200, 3_000)
        return Cold(at_ms, length, tuple(names))

    def _plan_stop(self) -> Fault | None:
        return self._plan_termination(StopNode)

    def _plan_kill(self) -> Fault | None:
        return self._plan_termination(KillNode)

    def _plan_termination(self, kind: type[StopNode]) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 200, 3_000)
        name = self._choose_node(at_ms, length + _RESTART_MS)
        if name is None:
            return None
        replacement = name
        if self._rng.random() < 0.5:
            replacement = f"{name}-r{next(self._replacement_numbers)}"
            self._candidates.remove(name)
        delay_ms = self._rng.uniform(0, 3_000)
        return kind(at_ms, length, name, replacement, delay_ms)

    def _plan_pause(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 500, 7_000)
        name = self._choose_node(at_ms, length)
        return None if name is None else PauseNode(at_ms, length, name)

    def _plan_cut(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 500, 5_000)
        mode = self._rng.choice(("cut", "black-hole", "delay"))
        first, second = self._rng.sample(
            [place.instance for place in self._places], 2
        )
        delay_ms = self._rng.uniform(20, 300) if mode == "delay" else 0.0
        return CutLinks(at_ms, length, mode, (first,), (second,), delay_ms)

    def _plan_isolation(self) -> Fault | None:
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 3_000, 10_000)
        name = self._choose_node(at_ms, length)
        if name is None:
            return None
        mode = self._rng.choice(("cut", "black-hole"))
        return CutLinks(at_ms, length, mode, (name,))

    def _plan_partition(self) -> Fault | None:
        """Partition the network around the instances of a data centre."""
        at_ms = self._choose_time()
        length = self._choose_length(at_ms, 2_000, 8_000)
        if not self._reserve("split", at_ms, length):
            return None
        name = self._rng.choice(_DATA_CENTRES)
        side = tuple(
            place.instance
            for place in self._places
            if place.data_centre == name
        )
        mode = self._rng.choice(("cut", "black-hole"))
        return CutLinks(at_ms, length, mode, side)

    def _reserve(self, resource: str, at_ms: float, length_ms: float) -> bool:
        """Reserve a time span; return False if it is already reserved."""
        if any(
            reserved == resource and begin < at_ms + length_ms and at_ms < end
            for begin, end, reserved in self._reserved
        ):
            return False
        self._reserved.append((at_ms, at_ms + length_ms, resource))
        return True

    def _choose_node(self, at_ms: float, length_ms: float) -> str | None:
        end_ms = at_ms + length_ms
        disturbed = {
            name
            for begin, end, name in self._reserved
            if begin < end_ms and at_ms < end and name in self._candidates
        }
        free = [name for name in self._candidates if name not in disturbed]
        if len(disturbed) >= _MAX_DISTURBED_NODES or not free:
            return None
        name = self._rng.choice(free)
        self._reserved.append((at_ms, end_ms, name))
        return name
