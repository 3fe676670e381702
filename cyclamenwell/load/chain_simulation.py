"""Simulation of a chain of services whose targets make nested calls.

The production code makes the decisions of the nodes, as in `fleet_simulation`.
Each request is a generator that yields the time it waits for, or a ticket of a
queue.
"""

from __future__ import annotations

from collections.abc import Generator
import dataclasses
import enum
import heapq
import random

from cyclamenwell import clock
from cyclamenwell.admission import queue_wait
from cyclamenwell.admission import run_throttle
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.retries import retry_decisions
from cyclamenwell.routing import saturation
from cyclamenwell.routing import target_balancer

__all__ = [
    "ChainOutcome",
    "ChainSimulation",
    "RootLoad",
    "SimulatedService",
]

_Kind = enumerations.ErrorKind
# One-way network delay between the nodes of two instances.
_NETWORK_DELAY = 1.0
# The answer has to leave the entry node this long before the deadline.
_ANSWER_MARGIN = 10.0
_MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedService:
    """A service of the chain; a run of it calls the next one, if any.

    Parameters
    ----------
    name : str
        Name of the service.
    slots : int
        Concurrent requests of one target.
    speeds : tuple of float
        Relative speed of each target.
    work : clock.Milliseconds
        Mean time of a run without its calls.
    calls : int
        Calls to the next service, made one after the other.
    objective : clock.Milliseconds
        Latency objective of its route.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    work: clock.Milliseconds
    calls: int
    objective: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class RootLoad:
    """Requests of callers to the first service.

    Parameters
    ----------
    rate_per_second : float
        Mean rate of the Poisson arrivals.
    timeout : clock.Milliseconds
        Longest time that the route allows for one attempt.
    surge_factor : float
        Factor on the rate during the surge.
    surge_begin, surge_end : clock.Milliseconds
        Begin and end of the surge.
    """

    rate_per_second: float
    timeout: clock.Milliseconds
    surge_factor: float = 1.0
    surge_begin: clock.Milliseconds = clock.ZERO
    surge_end: clock.Milliseconds = clock.ZERO


@dataclasses.dataclass(frozen=True, slots=True)
class ChainOutcome:
    """Outcome of a request of a caller, after its retry.

    Parameters
    ----------
    arrived_at : clock.Milliseconds
        Time of its first arrival.
    is_served : bool
        Whether it was answered with success.
    """

    arrived_at: clock.Milliseconds
    is_served: bool


class _Status(enum.Enum):
    """How an attempt has ended."""

    SERVED = 1
    REFUSED = 2  # Has not run.
    FAILED = 3


@dataclasses.dataclass(slots=True)
class _Node:
    """A target with the node beside it."""

    entry: deployment.TargetEntry
    service: int
    speed: float
    scheduler: slots.SlotScheduler
    balancer: target_balancer.TargetBalancer
    saturated: saturation.SaturatedTargets
    throttles: run_throttle.RunThrottles
    is_gone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedTicket:
    """A ticket for which a request waits."""

    node: _Node
    ticket: slots.Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Refusal of an offered request."""

    kind: enumerations.ErrorKind
    retry_after: clock.Milliseconds


_Process = Generator[float | _QueuedTicket, bool | None, _Status]


class ChainSimulation:
    """Simulation of the requests to the first service of a chain.

    Parameters
    ----------
    services : tuple of SimulatedService
        Services from the first to the last one of the chain.
    seed : int
        Seed of arrivals, service times and random decisions.
    """

    def __init__(
        self, services: tuple[SimulatedService, ...], seed: int
    ) -> None:
        self.time = clock.ManualClock()
        self.random = random.Random(seed)
        self.outcomes: list[ChainOutcome] = []
        self._services = services
        self._nodes: dict[str, _Node] = {}
        self._entries: list[list[deployment.TargetEntry]] = []
        for index, service in enumerate(services):
            self._entries.append(
                [
                    self._add_node(index, service, number)
                    for number in range(len(service.speeds))
                ]
            )
        self._events: list[tuple[float, int, _Process, bool | None]] = []
        self._waiting: dict[tuple[str, int], _Process] = {}
        self._last_number = 0

    def remove_target(self, at: clock.Milliseconds, target_id: str) -> None:
        """Let a target leave; what runs there ends as usual."""
        self._start(at.value, self._leave(target_id))

    def add_load(self, load: RootLoad, duration: clock.Milliseconds) -> None:
        """Schedule the arrivals of callers' requests."""
        at = 0.0
        while True:
            is_surge = load.surge_begin.value <= at < load.surge_end.value
            factor = load.surge_factor if is_surge else 1.0
            rate = load.rate_per_second * factor
            at += self.random.expovariate(rate) * 1000.0
            if at >= duration.value:
                return
            self._start(at, self._serve_caller(load))

    def run(self) -> list[ChainOutcome]:
        """Process all events and return the outcomes."""
        while self._events:
            at, _, process, value = heapq.heappop(self._events)
            delay = clock.Milliseconds(at) - self.time.now()
            self.time.advance(max(delay, clock.ZERO))
            self._advance(process, value)
        return self.outcomes

    def _add_node(
        self, index: int, service: SimulatedService, number: int
    ) -> deployment.TargetEntry:
        host = f"{service.name}-{number + 1}"
        entry = deployment.TargetEntry(
            target_id=host,
            service=service.name,
            host=host,
            port=80,
            data_centre=f"dc-{number + 1}",
            slots=service.slots,
            state=enumerations.InstanceState.SERVING,
        )
        scheduler = slots.SlotScheduler(slots.ColdStartLimiter(1.5, 5.0))
        scheduler.set_slots(service.slots)
        self._nodes[host] = _Node(
            entry,
            index,
            service.speeds[number],
            scheduler,
            target_balancer.TargetBalancer(
                self.time, host, entry.data_centre, self.random
            ),
            saturation.SaturatedTargets(self.time, self.random),
            run_throttle.RunThrottles(),
        )
        return entry

    def _start(
        self, at: float, process: _Process, value: bool | None = None
    ) -> None:
        self._last_number += 1
        heapq.heappush(self._events, (at, self._last_number, process, value))

    def _advance(self, process: _Process, value: bool | None) -> None:
        """Run a process until it waits again."""
        try:
            wait = process.send(value)
        except StopIteration:
            return
        if isinstance(wait, _QueuedTicket):
            key = (wait.node.entry.target_id, wait.ticket.number)
            self._waiting[key] = process
            return
        self._start(self.time.now().value + wait, process)

    def _leave(self, target_id: str) -> _Process:
        node = self._nodes[target_id]
        node.is_gone = True
        self._entries[node.service] = [
            e for e in self._entries[node.service] if e is not node.entry
        ]
        self._resume(node, node.scheduler.drop_all(), is_admitted=False)
        return _Status.SERVED
        yield 0.0

    def _serve_caller(self, load: RootLoad) -> _Process:
        """Serve a request of a caller, which retries once."""
        arrived_at = self.time.now()
        hosts = [h for h, node in self._nodes.items() if not node.is_gone]
        objective = self._services[0].objective
        status = _Status.FAILED
        for is_retry in (False, True):
            deadline = self.time.now() + load.timeout
            status = yield from self._dispatch(
                0, self.random.choice(hosts), deadline, is_nested=False
            )
            if status is _Status.SERVED or is_retry:
                break
            if status is _Status.REFUSED:
                delay = queue_wait.find_retry_delay(
                    clock.ZERO, objective, load.timeout, self.random
                )
                yield delay.value
        is_served = status is _Status.SERVED
        self.outcomes.append(ChainOutcome(arrived_at, is_served))
        return status

    def _dispatch(
        self,
        index: int,
        host: str,
        deadline: clock.Milliseconds,
        is_nested: bool,
    ) -> _Process:
        """Offer a request to targets of a service until one serves it."""
        node, service = self._nodes[host], self._services[index]
        rank = slots.rank_request(is_nested, 0)
        attempts = retry_decisions.Attempts()
        tried: set[str] = set()
        while True:
            max_wait = queue_wait.find_max_wait(
                is_nested,
                service.objective,
                deadline - self.time.now(),
                node.balancer.find_average_time(service.name),
            )
            entries = self._entries[index]
            saturated = node.saturated.list_saturated(
                (e.target_id for e in entries), rank, max_wait
            )
            entry = node.balancer.choose(
                entries, (), tried, service.name, 0, saturated
            )
            if entry is None:
                kind = node.saturated.find_kind(saturated, rank)
                return self._refuse(node, is_nested, kind)
            tried.add(entry.target_id)
            node.balancer.begin(entry.target_id)
            delay = 0.0 if entry.host == host else _NETWORK_DELAY
            if delay:
                yield delay
            target = self._nodes[entry.host]
            refusal = yield from self._acquire(target, rank, max_wait)
            if refusal is None:
                status = yield from self._run(target, host, deadline)
                return status
            node.balancer.end(entry.target_id)
            node.balancer.note_load(self._report(target))
            node.saturated.note_refusal(
                entry.target_id,
                rank,
                refusal.kind,
                max_wait,
                refusal.retry_after,
            )
            attempts = attempts.add(False, True, refusal.kind)
            decision = retry_decisions.decide_retry(
                attempts,
                enumerations.RequestKind.IDEMPOTENT,
                _MAX_ATTEMPTS,
                refusal.kind,
            )
            if decision is not retry_decisions.RetryDecision.FREE:
                return self._refuse(node, is_nested, refusal.kind)

    def _refuse(
        self, node: _Node, is_nested: bool, kind: enumerations.ErrorKind
    ) -> _Status:
        """Refuse a request at its entry node."""
        if is_nested:
            node.throttles.note_refused_call(kind, self.time.now())
        return _Status.REFUSED

    def _acquire(
        self,
        target: _Node,
        rank: tuple[int, int],
        max_wait: clock.Milliseconds,
    ) -> Generator[float | _QueuedTicket, bool, _Refusal | None]:
        """Wait for a slot; return None once it is there."""
        now = self.time.now()
        route = target.entry.service
        if not target.throttles.admit(route, now):
            wait = target.throttles.find_wait(route, now)
            return _Refusal(_Kind.CALLS_REFUSED, wait)
        kind = _Kind.OVERLOADED
        if target.scheduler.is_cold(now):
            kind = _Kind.COLD
        self._last_number += 1
        ticket = slots.Ticket(rank, self._last_number, now + max_wait)
        decision, retry_after = target.scheduler.offer(ticket, now)
        if decision is slots.Decision.REFUSE:
            return _Refusal(kind, retry_after)
        if decision is slots.Decision.ADMIT:
            return None
        self._start((now + max_wait).value + 1.0, self._check_queue(target))
        is_admitted = yield _QueuedTicket(target, ticket)
        if is_admitted:
            return None
        return _Refusal(kind, target.scheduler.service_time)

    def _run(
        self, target: _Node, host: str, deadline: clock.Milliseconds
    ) -> _Process:
        """Run a request at a target, with the calls that it needs."""
        service = self._services[target.service]
        begun_at = self.time.now()
        work = self.random.expovariate(1.0 / service.work.value)
        left = (deadline - begun_at).value - _ANSWER_MARGIN
        status = _Status.SERVED
        yield max(min(work / target.speed, left), 0.0)
        if work / target.speed > left:
            status = _Status.FAILED
        for _ in range(service.calls):
            if status is not _Status.SERVED:
                break
            called = yield from self._dispatch(
                target.service + 1,
                target.entry.host,
                deadline - clock.Milliseconds(_ANSWER_MARGIN),
                is_nested=True,
            )
            if called is not _Status.SERVED:
                status = _Status.FAILED
        now = self.time.now()
        held = now - begun_at
        target.throttles.note_end(
            service.name, begun_at, now, status is _Status.FAILED
        )
        target.scheduler.release(held)
        self._update_queue(target)
        node = self._nodes[host]
        node.balancer.end(target.entry.target_id)
        node.balancer.note_load(self._report(target))
        if status is _Status.SERVED:
            node.balancer.note_answer(
                target.entry.target_id, service.name, held
            )
        return status

    def _report(self, target: _Node) -> deployment.TargetLoad:
        return deployment.TargetLoad(
            target_id=target.entry.target_id,
            running=target.scheduler.running,
            queued=target.scheduler.queued,
            limit=target.scheduler.limit,
        )

    def _check_queue(self, target: _Node) -> _Process:
        self._update_queue(target)
        return _Status.SERVED
        yield 0.0

    def _update_queue(self, target: _Node) -> None:
        """Refuse expired requests and start those that obtain a slot."""
        now = self.time.now()
        expired = target.scheduler.drop_expired(now)
        self._resume(target, expired, is_admitted=False)
        admitted = target.scheduler.admit_waiting(now)
        self._resume(target, admitted, is_admitted=True)

    def _resume(
        self,
        target: _Node,
        tickets: list[slots.Ticket],
        is_admitted: bool,
    ) -> None:
        now = self.time.now().value
        for ticket in tickets:
            key = (target.entry.target_id, ticket.number)
            self._start(now, self._waiting.pop(key), is_admitted)
