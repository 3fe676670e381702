"""Discrete-event simulation of targets with their sidecar nodes.

The production code makes the decisions of a sidecar node: target selection,
slots, queueing, retries and retry delays. Events stand in for processes,
network and targets.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell.admission import queue_wait
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.retries import retry_decisions
from cyclamenwell.routing import saturation
from cyclamenwell.routing import target_balancer

__all__ = [
    "Demand",
    "FleetSimulation",
    "Outcome",
    "SimulatedTarget",
    "SlowPhase",
    "simulate_demand",
]

_Kind = enumerations.ErrorKind
_ROUTE = "read"
# One-way network delay between the nodes of two instances.
_NETWORK_DELAY = clock.Milliseconds(1)


@dataclasses.dataclass(frozen=True, slots=True)
class SlowPhase:
    """Period in which a target processes requests more slowly.

    Parameters
    ----------
    begin, end : clock.Milliseconds
        Start and end of the period.
    factor : float
        Factor on the service time.
    """

    begin: clock.Milliseconds
    end: clock.Milliseconds
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedTarget:
    """A simulated target with its sidecar node.

    Parameters
    ----------
    target_id : str
        Identifier, also the host of the instance.
    data_centre : str
        Name of the data centre.
    slots : int
        Concurrent requests that the target processes.
    phases : tuple of SlowPhase
        Periods in which the target is slow.
    named_rate : float or None
        Requests a second that the target says it takes, None for no limit.
    """

    target_id: str
    data_centre: str
    slots: int
    phases: tuple[SlowPhase, ...] = ()
    named_rate: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Stream of similar requests from the callers of one node.

    Parameters
    ----------
    host : str
        Instance whose node receives the requests.
    rate_per_second : float
        Mean rate of the Poisson arrivals.
    work : clock.Milliseconds
        Mean service time; service times are distributed exponentially.
    priority : int
        Priority, 0 for the most important.
    objective, timeout : clock.Milliseconds
        Latency objective, and time until the caller gives up.
    """

    host: str
    rate_per_second: float
    work: clock.Milliseconds
    priority: int = 1
    objective: clock.Milliseconds = clock.Milliseconds(1000)
    timeout: clock.Milliseconds = clock.Milliseconds(4000)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request for its caller.

    Parameters
    ----------
    demand : Demand
        Stream to which the request belongs.
    arrived_at : clock.Milliseconds
        Time of its first arrival.
    took : clock.Milliseconds
        Time from the first arrival to the last answer.
    target_id : str
        Target that processed it, empty if it was refused.
    offers : int
        Number of times it was offered to a target.
    retried : bool
        Whether the caller retried after a refusal.
    """

    demand: Demand
    arrived_at: clock.Milliseconds
    latency: clock.Milliseconds
    target_id: str
    offers: int
    retried: bool

    @property
    def is_in_time(self) -> bool:
        """Whether the request was served within its latency objective."""
        return bool(self.target_id) and self.latency <= self.demand.objective


@dataclasses.dataclass(slots=True)
class _Request:
    """Mutable state of a request in flight."""

    demand: Demand
    arrived_at: clock.Milliseconds
    attempts: retry_decisions.Attempts = retry_decisions.Attempts()
    tried: set[str] = dataclasses.field(default_factory=set)
    offers: int = 0
    retried: bool = False
    max_wait: clock.Milliseconds = clock.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """A request arrives at its entry node, for the first time or again."""

    request: _Request


@dataclasses.dataclass(frozen=True, slots=True)
class _Offer:
    """A request arrives at the admission control of a target."""

    request: _Request
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal arrives at the entry node."""

    request: _Request
    target_id: str
    retry_after: clock.Milliseconds
    load: deployment.TargetLoad


@dataclasses.dataclass(frozen=True, slots=True)
class _Completion:
    """A target has completed a request."""

    request: _Request
    target_id: str
    held: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer arrives at the entry node."""

    request: _Request
    target_id: str
    held: clock.Milliseconds
    load: deployment.TargetLoad


@dataclasses.dataclass(frozen=True, slots=True)
class _QueueCheck:
    """The admission control of a target re-evaluates its queue."""

    target_id: str


class FleetSimulation:
    """Simulation of the targets of one service and their nodes.

    Parameters
    ----------
    targets : tuple of SimulatedTarget
        Targets of the service.
    seed : int
        Seed of arrivals, service times and random decisions.
    """

    def __init__(self, targets: tuple[SimulatedTarget, ...], seed: int) -> None:
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
        self.balancers = {
            target.target_id: target_balancer.TargetBalancer(
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
        self.schedulers = {
            target.target_id: _build_scheduler(target) for target in targets
        }
        self.queued_requests: dict[tuple[str, int], _Request] = {}
        self.outcomes: list[Outcome] = []
        self._events: list[tuple[float, int, Any]] = []
        self._last_number = 0

    def take_number(self) -> int:
        """Return the next sequence number."""
        self._last_number += 1
        return self._last_number

    def schedule(self, delay: clock.Milliseconds, event: Any) -> None:
        """Schedule an event after a delay."""
        at = (self.time.now() + delay).value
        heapq.heappush(self._events, (at, self.take_number(), event))

    def run(self) -> list[Outcome]:
        """Process all events and return the outcomes."""
        while self._events:
            at, _, event = heapq.heappop(self._events)
            now = self.time.now()
            self.time.advance(max(clock.Milliseconds(at) - now, clock.ZERO))
            _handle(event, self)
        return self.outcomes

    def report(self, target_id: str) -> deployment.TargetLoad:
        """Return the load report of a target."""
        scheduler = self.schedulers[target_id]
        return deployment.TargetLoad(
            target_id=target_id,
            running=scheduler.running,
            queued=scheduler.queued,
            limit=scheduler.limit,
            pace_wait_ms=scheduler.find_pace_wait(self.time.now()).value,
        )

    def find_slowdown(self, target_id: str) -> float:
        """Return the current factor on the service time of a target."""
        now = self.time.now()
        for phase in self.targets[target_id].phases:
            if phase.begin <= now < phase.end:
                return phase.factor
        return 1.0


def simulate_demand(
    targets: tuple[SimulatedTarget, ...],
    demands: tuple[Demand, ...],
    duration: clock.Milliseconds,
    seed: int,
) -> list[Outcome]:
    """Simulate Poisson arrivals and return the outcomes."""
    simulation = FleetSimulation(targets, seed)
    for demand in demands:
        at = clock.ZERO
        while True:
            gap = simulation.random.expovariate(demand.rate_per_second)
            at += clock.Milliseconds.from_seconds(gap)
            if at >= duration:
                break
            simulation.schedule(at, _Arrival(_Request(demand, at)))
    return simulation.run()


def _build_scheduler(target: SimulatedTarget) -> slots.SlotScheduler:
    scheduler = slots.SlotScheduler(slots.ColdStartLimiter(1.5, 5.0))
    scheduler.set_slots(target.slots)
    scheduler.named_rate.note_answer(target.named_rate, clock.ZERO)
    return scheduler


@functools.singledispatch
def _handle(event: Any, simulation: FleetSimulation) -> None:
    """Apply an event to the simulation."""
    raise NotImplementedError(type(event).__name__)


@_handle.register
def _(event: _Arrival, simulation: FleetSimulation) -> None:
    _dispatch(event.request, simulation)


@_handle.register
def _(event: _Offer, simulation: FleetSimulation) -> None:
    request, target_id = event.request, event.target_id
    now = simulation.time.now()
    scheduler = simulation.schedulers[target_id]
    wait = request.max_wait
    ticket = slots.Ticket(
        _find_rank(request), simulation.take_number(), now + wait
    )
    decision, retry_after = scheduler.offer(ticket, now)
    if decision is slots.Decision.REFUSE:
        _send_refusal(request, target_id, retry_after, simulation)
    elif decision is slots.Decision.ADMIT:
        _start_service(request, target_id, simulation)
    else:
        simulation.queued_requests[target_id, ticket.number] = request
        simulation.schedule(
            wait + clock.Milliseconds(1), _QueueCheck(target_id)
        )
        _schedule_next_check(target_id, simulation)


@_handle.register
def _(event: _Refusal, simulation: FleetSimulation) -> None:
    request = event.request
    host = request.demand.host
    simulation.balancers[host].end(event.target_id)
    simulation.balancers[host].note_load(event.load)
    kind = _Kind.OVERLOADED
    if event.load.pace_wait_ms:
        kind = _Kind.TARGET_LIMITED
    simulation.saturated[host].note_refusal(
        event.target_id,
        _find_rank(request),
        kind,
        request.max_wait,
        event.retry_after,
    )
    request.attempts = request.attempts.add(False, True, kind)
    decision = retry_decisions.decide_retry(
        request.attempts, enumerations.RequestKind.IDEMPOTENT, 3, kind
    )
    if decision is retry_decisions.RetryDecision.FREE:
        _dispatch(request, simulation)
    else:
        _refuse_to_caller(request, event.retry_after, simulation)


@_handle.register
def _(event: _Completion, simulation: FleetSimulation) -> None:
    simulation.schedulers[event.target_id].release(event.held)
    _update_queue(event.target_id, simulation)
    report = simulation.report(event.target_id)
    answer = _Answer(event.request, event.target_id, event.held, report)
    simulation.schedule(
        _find_network_delay(event.request, event.target_id), answer
    )


@_handle.register
def _(event: _Answer, simulation: FleetSimulation) -> None:
    request = event.request
    node = simulation.balancers[request.demand.host]
    node.end(event.target_id)
    node.note_answer(event.target_id, _ROUTE, event.held)
    node.note_load(event.load)
    _record_outcome(request, event.target_id, simulation)


@_handle.register
def _(event: _QueueCheck, simulation: FleetSimulation) -> None:
    _update_queue(event.target_id, simulation)


def _find_rank(request: _Request) -> tuple[int, int]:
    return slots.rank_request(False, request.demand.priority)


def _find_network_delay(
    request: _Request, target_id: str
) -> clock.Milliseconds:
    return clock.ZERO if target_id == request.demand.host else _NETWORK_DELAY


def _dispatch(request: _Request, simulation: FleetSimulation) -> None:
    """Offer a request to the target that the entry node selects."""
    demand = request.demand
    node = simulation.balancers[demand.host]
    request.max_wait = queue_wait.find_max_wait(
        False,
        demand.objective,
        request.arrived_at + demand.timeout - simulation.time.now(),
        node.find_average_time(_ROUTE),
    )
    saturated = simulation.saturated[demand.host].list_saturated(
        simulation.targets, _find_rank(request), request.max_wait
    )
    entry = node.choose(
        simulation.entries, (), request.tried, _ROUTE, 0, saturated
    )
    if entry is None:
        expected_wait = simulation.saturated[demand.host].find_expected_wait(
            saturated, _find_rank(request)
        )
        _refuse_to_caller(request, expected_wait, simulation)
        return
    target_id = entry.target_id
    request.tried.add(target_id)
    request.offers += 1
    node.begin(target_id)
    network_delay = _find_network_delay(request, target_id)
    simulation.schedule(network_delay, _Offer(request, target_id))


def _start_service(
    request: _Request, target_id: str, simulation: FleetSimulation
) -> None:
    work = simulation.random.expovariate(1.0 / request.demand.work.value)
    held = clock.Milliseconds(work * simulation.find_slowdown(target_id))
    simulation.schedule(held, _Completion(request, target_id, held))


def _send_refusal(
    request: _Request,
    target_id: str,
    retry_after: clock.Milliseconds,
    simulation: FleetSimulation,
) -> None:
    refusal = _Refusal(
        request, target_id, retry_after, simulation.report(target_id)
    )
    simulation.schedule(_find_network_delay(request, target_id), refusal)


def _update_queue(target_id: str, simulation: FleetSimulation) -> None:
    """Refuse expired requests and start those that obtain a slot."""
    scheduler = simulation.schedulers[target_id]
    now = simulation.time.now()
    for ticket in scheduler.drop_expired(now):
        request = simulation.queued_requests.pop((target_id, ticket.number))
        _send_refusal(request, target_id, scheduler.service_time, simulation)
    for ticket in scheduler.admit_waiting(now):
        request = simulation.queued_requests.pop((target_id, ticket.number))
        _start_service(request, target_id, simulation)
    _schedule_next_check(target_id, simulation)


def _schedule_next_check(target_id: str, simulation: FleetSimulation) -> None:
    """Check the queue of a limited target again when its rate has room."""
    scheduler = simulation.schedulers[target_id]
    now = simulation.time.now()
    next_event = scheduler.find_next_event(now)
    if scheduler.named_rate.is_active and next_event is not None:
        delay = max(next_event - now, clock.Milliseconds(1))
        simulation.schedule(delay, _QueueCheck(target_id))


def _refuse_to_caller(
    request: _Request,
    expected_wait: clock.Milliseconds,
    simulation: FleetSimulation,
) -> None:
    """Refuse a request to its caller, which retries once."""
    demand = request.demand
    left = request.arrived_at + demand.timeout - simulation.time.now()
    if request.retried:
        _record_outcome(request, "", simulation)
        return
    wait = queue_wait.find_retry_delay(
        expected_wait, demand.objective, left, simulation.random
    )
    request.retried = True
    request.attempts = retry_decisions.Attempts()
    request.tried.clear()
    simulation.schedule(wait, _Arrival(request))


def _record_outcome(
    request: _Request, target_id: str, simulation: FleetSimulation
) -> None:
    simulation.outcomes.append(
        Outcome(
            request.demand,
            request.arrived_at,
            simulation.time.now() - request.arrived_at,
            target_id,
            request.offers,
            request.retried,
        )
    )
