"""Builders of tickets, gates and a deterministic model of a target."""

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
    """Return a ticket of a normal request with ample time."""
    defaults = {
        "organisation": "shops",
        "weight": 100.0,
        "importance": enumerations.Importance.NORMAL,
        "deadline": clock.Milliseconds(1e9),
    }
    return tickets.Ticket(**{**defaults, **values})


def build_entry(number: int, **values: Any) -> queues.Entry:
    """Return an entry that never gives up."""
    return queues.Entry(build_ticket(**values), number, clock.Milliseconds(1e9))


def build_gate(
    time: clock.Clock,
    cold_limit: int = 4,
    max_in_progress: int = 200,
    **values: Any,
) -> gates.Gate:
    """Return a gate with the given admission settings."""
    return gates.Gate(
        time,
        settings.AdmissionSettings(**values),
        cold_limit,
        max_in_progress,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """How a model target behaves.

    Parameters
    ----------
    slots : int
        Requests served at once; further ones wait in the target.
    service_ms : float
        Mean time of one request, exponentially distributed.
    sheds : bool
        Whether requests over the slots are shed instead of queued.
    cold_slots : int
        Requests at once that the cold target bears; more slow all down.
    cold_answers : int
        Answers after which it is warm, 0 for a target that starts warm.
    listens : bool
        Whether connections are accepted.
    """

    slots: int = 40
    service_ms: float = 20.0
    sheds: bool = False
    cold_slots: int = 4
    cold_answers: int = 0
    listens: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Offered requests, from the start of a run to its end.

    Parameters
    ----------
    rate : float
        Requests a second, in a Poisson process.
    timeout_ms : float
        Time of each request until its deadline.
    organisation : str
        Organisation.
    weight : float
        Its entitled rate.
    importance : enumerations.Importance
        Importance.
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
    """Slots with a queue before them, which collapses if loaded while cold."""

    _COLLAPSE_FACTOR = 20.0
    _COLD_FACTOR = 2.0

    def __init__(self, plan: TargetPlan, source: random.Random) -> None:
        self.plan = plan
        self._random = source
        self._warm_left = plan.cold_answers
        self.waiting: list[_Job] = []
        self.running: list[_Job] = []

    def change(self, **values: Any) -> None:
        """Change the plan; `cold_answers` makes the target cold again."""
        self.plan = dataclasses.replace(self.plan, **values)
        self._warm_left = values.get("cold_answers", self._warm_left)

    def draw_service_ms(self) -> float:
        """Return the time of a request that starts now."""
        time_ms = self._random.expovariate(1 / self.plan.service_ms)
        if self._warm_left <= 0:
            return time_ms
        if len(self.running) > self.plan.cold_slots:
            return time_ms * self._COLLAPSE_FACTOR
        return time_ms * self._COLD_FACTOR

    def note_answer(self) -> None:
        """Become warmer."""
        self._warm_left -= 1


class Simulation:
    """Requests in simulated time through a gate to a model target.

    Parameters
    ----------
    plan : TargetPlan
        Behaviour of the target.
    seed : int
        Seed of arrivals and service times.
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
        """Simulated time."""
        return self.time.now().value

    def run(self, seconds: float, *traffic: Traffic) -> float:
        """Offer traffic for some time.

        Returns
        -------
        float
            Whole answers a second.
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
            self._collect()
            self.limits.append(self.gate.read_load().limit)
        self._advance_to(end_ms)
        return sum(self.answers.values()) / seconds

    def _advance_to(self, at_ms: float) -> None:
        self.time.advance(clock.Milliseconds(max(at_ms - self.now_ms, 0.0)))

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def _plan_arrival(self, traffic: Traffic, end_ms: float) -> None:
        gap_ms = self._random.expovariate(traffic.rate / 1000)
        at_ms = self.now_ms + gap_ms
        if at_ms > end_ms:
            return

        def arrive() -> None:
            self._plan_arrival(traffic, end_ms)
            self._join(traffic)

        self._at(at_ms, arrive)

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
            self._at(
                entry.give_up_at.value,
                lambda: self.gate.give_up(entry, "the call waited too long"),
            )

    def _collect(self) -> None:
        """Send what the gate admitted until nothing more is settled."""
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
        self._at(
            entry.ticket.deadline.value,
            lambda: self._end(job, _Result.TIMED_OUT),
        )
        self._start_jobs()

    def _start_jobs(self) -> None:
        target = self.target
        while target.waiting and len(target.running) < target.plan.slots:
            job = target.waiting.pop(0)
            target.running.append(job)
            self._at(
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
            self.target.note_answer()
            name = job.traffic.organisation
            self.answers[name] = self.answers.get(name, 0) + 1
        self.timed_out += result is _Result.TIMED_OUT
        duration = self.time.now() - job.admission.admitted_at
        self.gate.leave(job.admission, tickets.Observation(result, duration))
        self._start_jobs()
