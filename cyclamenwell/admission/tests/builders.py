"""Builders of tickets and gates, and a seeded simulation of a target."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import gate as gates
from cyclamenwell.admission import queue as queues
from cyclamenwell.admission import tickets
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings

__all__ = [
    "ModelTarget",
    "Simulation",
    "TargetPlan",
    "Traffic",
    "build_entry",
    "build_gate",
    "build_ticket",
]

_Result = tickets.Result


def build_ticket(**values: Any) -> tickets.Ticket:
    """Return a ticket of normal importance with a distant deadline."""
    defaults = {
        "organisation": "shops",
        "weight": 100.0,
        "importance": enumerations.Importance.NORMAL,
        "deadline": clock.Milliseconds(1e9),
    }
    return tickets.Ticket(**{**defaults, **values})


def build_entry(number: int, **values: Any) -> queues.Entry:
    """Return an entry with an unlimited queue wait."""
    return queues.Entry(build_ticket(**values), number, clock.Milliseconds(1e9))


def build_gate(
    time: clock.Clock,
    cold_limit: int = 4,
    max_in_progress: int = 200,
    **values: Any,
) -> gates.Gate:
    """Return a gate; further keywords are admission settings."""
    return gates.Gate(
        time,
        settings.AdmissionSettings(**values),
        cold_limit,
        max_in_progress,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """Behaviour of a simulated target.

    Parameters
    ----------
    slots : int
        Concurrently served requests; others wait in the target.
    service_ms : float
        Mean service time, exponentially distributed.
    sheds : bool
        Whether requests beyond the slots are shed instead of queued.
    cold_slots : int
        Concurrent requests that the cold target sustains. More requests
        slow all of them down.
    cold_answers : int
        Answers until the target is warm, 0 for a target that starts warm.
    listens : bool
        Whether the target accepts connections.
    """

    slots: int = 40
    service_ms: float = 20.0
    sheds: bool = False
    cold_slots: int = 4
    cold_answers: int = 0
    listens: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Offered load of one organisation during a run.

    Parameters
    ----------
    rate : float
        Requests a second, as a Poisson process.
    timeout_ms : float
        Time until the deadline of each request.
    organisation : str
        Organisation of the requests.
    weight : float
        Entitled rate of the organisation in requests a second.
    importance : enumerations.Importance
        Importance of the requests.
    """

    rate: float
    timeout_ms: float = 1000.0
    organisation: str = "shops"
    weight: float = 100.0
    importance: enumerations.Importance = enumerations.Importance.NORMAL


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    admission: tickets.Admission
    traffic: Traffic
    started: bool = False
    ended: bool = False


class ModelTarget:
    """Simulated target with slots, a queue and a cold start.

    Overload of the cold target increases its service times much further.
    """

    _COLLAPSE_FACTOR = 20.0
    _COLD_FACTOR = 2.0

    def __init__(self, plan: TargetPlan, source: random.Random) -> None:
        self.plan = plan
        self._random = source
        self._answers_until_warm = plan.cold_answers
        self.waiting: list[_Job] = []
        self.running: list[_Job] = []

    def change(self, **values: Any) -> None:
        """Change the plan; `cold_answers` makes the target cold again."""
        self.plan = dataclasses.replace(self.plan, **values)
        self._answers_until_warm = values.get(
            "cold_answers", self._answers_until_warm
        )

    def draw_service_ms(self) -> float:
        """Return the random service time of a request that starts now."""
        time_ms = self._random.expovariate(1 / self.plan.service_ms)
        if self._answers_until_warm <= 0:
            return time_ms
        if len(self.running) > self.plan.cold_slots:
            return time_ms * self._COLLAPSE_FACTOR
        return time_ms * self._COLD_FACTOR

    def count_answer(self) -> None:
        """Count an answer of the warm-up."""
        self._answers_until_warm -= 1


class Simulation:
    """Discrete-event simulation of a gate and its target.

    Parameters
    ----------
    plan : TargetPlan
        Behaviour of the target.
    seed : int
        Seed of the arrivals and service times.
    """

    def __init__(self, plan: TargetPlan, seed: int = 1, **values: Any) -> None:
        self.time = clock.ManualClock()
        self.gate = build_gate(self.time, **values)
        self._random = random.Random(seed)
        self.target = ModelTarget(plan, self._random)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waiting: list[tuple[queues.Entry, Traffic]] = []
        self.answers: dict[str, int] = {}
        self.refusals: list[exceptions.RefusedError] = []
        self.timed_out = 0
        self.limits: list[int] = []

    @property
    def now_ms(self) -> float:
        """Simulated time in milliseconds."""
        return self.time.now().value

    def run(self, seconds: float, *traffic: Traffic) -> float:
        """Simulate the given traffic.

        Returns
        -------
        float
            Goodput in answers a second.
        """
        end_ms = self.now_ms + seconds * 1000
        self.answers = {}
        self.refusals = []
        self.timed_out = 0
        self.limits = []
        for one in traffic:
            self._plan_arrival(one, end_ms)
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._advance_to(at_ms)
            action()
            self._process_settled()
            self.limits.append(self.gate.read_load().limit)
        self._advance_to(end_ms)
        return sum(self.answers.values()) / seconds

    def _advance_to(self, at_ms: float) -> None:
        self.time.advance(clock.Milliseconds(max(at_ms - self.now_ms, 0.0)))

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _plan_arrival(self, traffic: Traffic, end_ms: float) -> None:
        gap_ms = self._random.expovariate(traffic.rate / 1000)
        at_ms = self.now_ms + gap_ms
        if at_ms > end_ms:
            return

        def arrive() -> None:
            self._plan_arrival(traffic, end_ms)
            self._join(traffic)

        self._schedule(at_ms, arrive)

    def _join(self, traffic: Traffic) -> None:
        ticket = build_ticket(
            organisation=traffic.organisation,
            weight=traffic.weight,
            importance=traffic.importance,
            deadline=self.time.now() + clock.Milliseconds(traffic.timeout_ms),
        )
        try:
            entry = self.gate.join(ticket)
        except exceptions.RefusedError as refusal:
            self.refusals.append(refusal)
            return
        self._waiting.append((entry, traffic))
        if not entry.settled:
            self._schedule(
                entry.give_up_at.value,
                lambda: self.gate.give_up(entry, "the call waited too long"),
            )

    def _process_settled(self) -> None:
        """Send admitted requests until no more entries are settled."""
        while len(self._waiting) > self.gate.read_load().queued:
            settled = [one for one in self._waiting if one[0].settled]
            self._waiting = [one for one in self._waiting if not one[0].settled]
            for entry, traffic in settled:
                if entry.refusal is not None:
                    self.refusals.append(entry.refusal)
                else:
                    self._send(entry, traffic)

    def _send(self, entry: queues.Entry, traffic: Traffic) -> None:
        job = _Job(entry.admission, traffic)
        plan = self.target.plan
        if not plan.listens:
            self._end(job, _Result.UNREACHABLE)
            return
        if plan.sheds and len(self.target.running) >= plan.slots:
            self._end(job, _Result.SHED)
            return
        self.target.waiting.append(job)
        self._schedule(
            entry.ticket.deadline.value,
            lambda: self._end(job, _Result.TIMED_OUT),
        )
        self._start_jobs()

    def _start_jobs(self) -> None:
        target = self.target
        while target.waiting and len(target.running) < target.plan.slots:
            job = target.waiting.pop(0)
            target.running.append(job)
            self._schedule(
                self.now_ms + target.draw_service_ms(),
                lambda job=job: self._end(job, _Result.ANSWERED),
            )

    def _end(self, job: _Job, result: tickets.Result) -> None:
        if job.ended:
            return
        job.ended = True
        for jobs in (self.target.waiting, self.target.running):
            if job in jobs:
                jobs.remove(job)
        if result is _Result.ANSWERED:
            self.target.count_answer()
            name = job.traffic.organisation
            self.answers[name] = self.answers.get(name, 0) + 1
        self.timed_out += result is _Result.TIMED_OUT
        duration = self.time.now() - job.admission.admitted_at
        self.gate.leave(job.admission, tickets.Observation(result, duration))
        self._start_jobs()
