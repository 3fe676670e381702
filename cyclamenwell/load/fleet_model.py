"""Model of targets with their nodes, played over simulated time.

The decisions of a sidecar node (placement, slots, waiting, repeats and return
times) run as they are; processes, network and targets are replaced by events.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell.admission import patience
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.retries import repeats
from cyclamenwell.routing import placement
from cyclamenwell.routing import saturation

__all__ = [
    "Demand",
    "FleetModel",
    "ModelTarget",
    "Outcome",
    "SlowPhase",
    "play_demand",
]

_Kind = enumerations.ErrorKind
_ROUTE = "read"
# Between nodes of two instances, there or back.
_WAY = clock.Milliseconds(1)


@dataclasses.dataclass(frozen=True, slots=True)
class SlowPhase:
    """Time in which a target takes longer for each request.

    Parameters
    ----------
    begin, end : clock.Milliseconds
        Bounds of the phase.
    factor : float
        Factor on the time of a request.
    """

    begin: clock.Milliseconds
    end: clock.Milliseconds
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """A target with a node beside it.

    Parameters
    ----------
    target_id : str
        Identity, also the host of the instance.
    data_centre : str
        Data centre.
    slots : int
        Requests that the target works on at once.
    phases : tuple of SlowPhase
        When it is slow.
    """

    target_id: str
    data_centre: str
    slots: int
    phases: tuple[SlowPhase, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests of one kind that come to a node from its callers.

    Parameters
    ----------
    host : str
        Instance whose node they come to.
    rate_per_second : float
        Mean of the Poisson arrivals.
    work : clock.Milliseconds
        Mean time at a target; single times are exponential.
    priority : int
        Rank, 0 for the most important.
    objective, timeout : clock.Milliseconds
        Time of full use, and time until the caller gives up.
    """

    host: str
    rate_per_second: float
    work: clock.Milliseconds
    priority: int = 1
    objective: clock.Milliseconds = clock.Milliseconds(1000)
    timeout: clock.Milliseconds = clock.Milliseconds(4000)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller got.

    Parameters
    ----------
    demand : Demand
        Kind of the request.
    begun : clock.Milliseconds
        When it came for the first time.
    took : clock.Milliseconds
        From the first attempt to the last answer.
    target_id : str
        Target that ran it, empty if it was refused.
    offers : int
        Times that it was offered to a target.
    returned : bool
        Whether the caller came back after a refusal.
    """

    demand: Demand
    begun: clock.Milliseconds
    took: clock.Milliseconds
    target_id: str
    offers: int
    returned: bool

    @property
    def is_in_time(self) -> bool:
        """Whether it was served within its objective."""
        return bool(self.target_id) and self.took <= self.demand.objective


@dataclasses.dataclass(slots=True)
class _Request:
    """A request on its way."""

    demand: Demand
    begun: clock.Milliseconds
    attempts: repeats.Attempts = repeats.Attempts()
    tried: set[str] = dataclasses.field(default_factory=set)
    offers: int = 0
    returned: bool = False
    max_wait: clock.Milliseconds = clock.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """A request comes to its node, for the first time or again."""

    request: _Request


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """A request comes to the gate beside a target."""

    request: _Request
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal comes back to the entry node."""

    request: _Request
    target_id: str
    retry_after: clock.Milliseconds
    load: deployment.TargetLoad


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """A target has finished a request."""

    request: _Request
    target_id: str
    held: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer comes back to the entry node."""

    request: _Request
    target_id: str
    held: clock.Milliseconds
    load: deployment.TargetLoad


@dataclasses.dataclass(frozen=True, slots=True)
class _QueueCheck:
    """The gate beside a target looks at its queue."""

    target_id: str


class FleetModel:
    """Nodes beside the targets of one service.

    Parameters
    ----------
    targets : tuple of ModelTarget
        Targets of the service.
    seed : int
        Seed of arrivals, times and decisions.
    """

    def __init__(self, targets: tuple[ModelTarget, ...], seed: int) -> None:
        self.time = clock.ManualClock()
        self.random = random.Random(seed)
        self.targets = {target.target_id: target for target in targets}
        self.entries = tuple(
            deployment.TargetEntry(
                target_id=target.target_id,
                service="meter",
                host=target.target_id,
                port=80,
                data_centre=target.data_centre,
                slots=target.slots,
                state=enumerations.InstanceState.SERVING,
            )
            for target in targets
        )
        self.placements = {
            target.target_id: placement.Placement(
                self.time, target.target_id, target.data_centre, self.random
            )
            for target in targets
        }
        self.saturated = {
            target.target_id: saturation.SaturatedTargets(
                self.time, self.random
            )
            for target in targets
        }
        self.books = {
            target.target_id: _build_book(target) for target in targets
        }
        self.waiting: dict[tuple[str, int], _Request] = {}
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, Any]] = []
        self._number = 0

    def draw_number(self) -> int:
        """Return a number that was not drawn before."""
        self._number += 1
        return self._number

    def schedule(self, delay: clock.Milliseconds, event: Any) -> None:
        """Let something happen after a time."""
        at = (self.time.now() + delay).value
        heapq.heappush(self._events, (at, self.draw_number(), event))

    def play(self) -> list[Outcome]:
        """Play all events and return what callers got."""
        while self._events:
            at, _, event = heapq.heappop(self._events)
            now = self.time.now()
            self.time.advance(max(clock.Milliseconds(at) - now, clock.ZERO))
            _handle(event, self)
        return self.outcomes

    def report(self, target_id: str) -> deployment.TargetLoad:
        """Return the load of a target."""
        book = self.books[target_id]
        return deployment.TargetLoad(
            target_id=target_id,
            running=book.running,
            queued=book.queued,
            limit=book.limit,
        )

    def find_factor(self, target_id: str) -> float:
        """Return how much longer a target takes at present."""
        now = self.time.now()
        for phase in self.targets[target_id].phases:
            if phase.begin <= now < phase.end:
                return phase.factor
        return 1.0


def play_demand(
    targets: tuple[ModelTarget, ...],
    demands: tuple[Demand, ...],
    duration: clock.Milliseconds,
    seed: int,
) -> list[Outcome]:
    """Play Poisson arrivals and return what callers got."""
    model = FleetModel(targets, seed)
    for demand in demands:
        at = clock.ZERO
        while True:
            gap = model.random.expovariate(demand.rate_per_second)
            at += clock.Milliseconds.from_seconds(gap)
            if at >= duration:
                break
            model.schedule(at, _Arrival(_Request(demand, at)))
    return model.play()


def _build_book(target: ModelTarget) -> slots.SlotBook:
    book = slots.SlotBook(slots.ColdPacer(1.5, 5.0))
    book.set_slots(target.slots)
    return book


@functools.singledispatch
def _handle(event: Any, model: FleetModel) -> None:
    """Apply an event to the model."""
    raise NotImplementedError(type(event).__name__)


@_handle.register
def _(event: _Arrival, model: FleetModel) -> None:
    _place(event.request, model)


@_handle.register
def _(event: _Offer, model: FleetModel) -> None:
    request, target_id = event.request, event.target_id
    now = model.time.now()
    book = model.books[target_id]
    wait = request.max_wait
    ticket = slots.Ticket(_find_rank(request), model.draw_number(), now + wait)
    decision, retry_after = book.offer(ticket, now)
    if decision is slots.Decision.REFUSE:
        _refuse(request, target_id, retry_after, model)
    elif decision is slots.Decision.ADMIT:
        _start(request, target_id, model)
    else:
        model.waiting[target_id, ticket.number] = request
        model.schedule(wait + clock.Milliseconds(1), _QueueCheck(target_id))


@_handle.register
def _(event: _Refusal, model: FleetModel) -> None:
    request = event.request
    host = request.demand.host
    model.placements[host].end(event.target_id)
    model.placements[host].note_load(event.load)
    model.saturated[host].note_refusal(
        event.target_id,
        _find_rank(request),
        request.max_wait,
        event.retry_after,
    )
    request.attempts = request.attempts.add(False, True, _Kind.OVERLOADED)
    repeat = repeats.decide_repeat(
        request.attempts,
        enumerations.RequestKind.IDEMPOTENT,
        3,
        _Kind.OVERLOADED,
    )
    if repeat is repeats.Repeat.FREE:
        _place(request, model)
    else:
        _send_back(request, event.retry_after, model)


@_handle.register
def _(event: _End, model: FleetModel) -> None:
    model.books[event.target_id].release(event.held)
    _update_queue(event.target_id, model)
    report = model.report(event.target_id)
    answer = _Answer(event.request, event.target_id, event.held, report)
    model.schedule(_find_way(event.request, event.target_id), answer)


@_handle.register
def _(event: _Answer, model: FleetModel) -> None:
    request = event.request
    node = model.placements[request.demand.host]
    node.end(event.target_id)
    node.note_answer(event.target_id, _ROUTE, event.held)
    node.note_load(event.load)
    _conclude(request, event.target_id, model)


@_handle.register
def _(event: _QueueCheck, model: FleetModel) -> None:
    _update_queue(event.target_id, model)


def _find_rank(request: _Request) -> tuple[int, int]:
    return slots.rank_request(False, request.demand.priority)


def _find_way(request: _Request, target_id: str) -> clock.Milliseconds:
    return clock.ZERO if target_id == request.demand.host else _WAY


def _place(request: _Request, model: FleetModel) -> None:
    """Offer a request to the target that the entry node chooses."""
    demand = request.demand
    node = model.placements[demand.host]
    request.max_wait = patience.find_max_wait(
        False,
        demand.objective,
        request.begun + demand.timeout - model.time.now(),
        node.find_usual_time(_ROUTE),
    )
    saturated = model.saturated[demand.host].list_saturated(
        model.targets, _find_rank(request), request.max_wait
    )
    entry = node.choose(model.entries, (), request.tried, _ROUTE, 0, saturated)
    if entry is None:
        expected_wait = model.saturated[demand.host].find_wait(
            saturated, _find_rank(request)
        )
        _send_back(request, expected_wait, model)
        return
    target_id = entry.target_id
    request.tried.add(target_id)
    request.offers += 1
    node.begin(target_id)
    way = _find_way(request, target_id)
    model.schedule(way, _Offer(request, target_id))


def _start(request: _Request, target_id: str, model: FleetModel) -> None:
    work = model.random.expovariate(1.0 / request.demand.work.value)
    held = clock.Milliseconds(work * model.find_factor(target_id))
    model.schedule(held, _End(request, target_id, held))


def _refuse(
    request: _Request,
    target_id: str,
    retry_after: clock.Milliseconds,
    model: FleetModel,
) -> None:
    refusal = _Refusal(request, target_id, retry_after, model.report(target_id))
    model.schedule(_find_way(request, target_id), refusal)


def _update_queue(target_id: str, model: FleetModel) -> None:
    """Refuse what waited too long and start what has a slot."""
    book = model.books[target_id]
    now = model.time.now()
    for ticket in book.drop_expired(now):
        request = model.waiting.pop((target_id, ticket.number))
        _refuse(request, target_id, book.service_time, model)
    for ticket in book.admit_waiting(now):
        request = model.waiting.pop((target_id, ticket.number))
        _start(request, target_id, model)


def _send_back(
    request: _Request, expected_wait: clock.Milliseconds, model: FleetModel
) -> None:
    """Refuse a request, whose caller comes back once."""
    demand = request.demand
    left = request.begun + demand.timeout - model.time.now()
    if request.returned:
        _conclude(request, "", model)
        return
    wait = patience.find_return_time(
        expected_wait, demand.objective, left, model.random
    )
    request.returned = True
    request.attempts = repeats.Attempts()
    request.tried.clear()
    model.schedule(wait, _Arrival(request))


def _conclude(request: _Request, target_id: str, model: FleetModel) -> None:
    model.outcomes.append(
        Outcome(
            request.demand,
            request.begun,
            model.time.now() - request.begun,
            target_id,
            request.offers,
            request.returned,
        )
    )
