"""Builders of slot schedulers and a simulation of an overloaded target."""

from __future__ import annotations

import dataclasses
import heapq
import random

from cyclamenwell import clock
from cyclamenwell.admission import slots

SLOTS = 20
SERVICE_TIME = clock.Milliseconds(100)


def build_scheduler(slot_count: int = SLOTS) -> slots.SlotScheduler:
    """Return a slot scheduler for a warm target."""
    scheduler = slots.SlotScheduler(slots.ColdStartLimiter(1.5, 5.0))
    scheduler.set_slots(slot_count)
    return scheduler


def build_ticket(
    number: int,
    expiry: float = 10_000.0,
    is_nested: bool = False,
    priority: int = 0,
) -> slots.Ticket:
    """Return a ticket that expires at `expiry` milliseconds."""
    return slots.Ticket(
        slots.rank_request(is_nested, priority),
        number,
        clock.Milliseconds(expiry),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOutcome:
    """Outcome of a simulated load.

    Parameters
    ----------
    served : dict of int to int
        Number of admitted requests by priority.
    offered : dict of int to int
        Number of offered requests by priority.
    longest_refusal : clock.Milliseconds
        Longest time from an arrival to the expiry in the queue.
    """

    served: dict[int, int]
    offered: dict[int, int]
    longest_refusal: clock.Milliseconds


def simulate_load(
    seed: int,
    rates_per_second: dict[int, float],
    max_wait: clock.Milliseconds,
    seconds: float,
) -> LoadOutcome:
    """Simulate random arrivals of several priorities at one target."""
    generator = random.Random(seed)
    scheduler = build_scheduler()
    arrivals = sorted(
        (generator.uniform(0.0, seconds * 1000.0), priority)
        for priority, rate in rates_per_second.items()
        for _ in range(int(rate * seconds))
    )
    events = [(time, 0, index) for index, (time, _) in enumerate(arrivals)]
    heapq.heapify(events)
    served = dict.fromkeys(rates_per_second, 0)
    offered = dict.fromkeys(rates_per_second, 0)
    longest = 0.0
    while events:
        time, kind, index = heapq.heappop(events)
        now = clock.Milliseconds(time)
        for ticket in scheduler.drop_expired(now):
            longest = max(longest, time - arrivals[ticket.number][0])
        started = []
        if kind:
            scheduler.release(SERVICE_TIME)
        else:
            priority = arrivals[index][1]
            offered[priority] += 1
            ticket = build_ticket(
                index, time + max_wait.value, priority=priority
            )
            decision, _ = scheduler.offer(ticket, now)
            if decision is slots.Decision.ADMIT:
                started.append(ticket)
        started += scheduler.admit_waiting(now)
        for ticket in started:
            served[arrivals[ticket.number][1]] += 1
            taken = SERVICE_TIME.value * generator.uniform(0.5, 1.5)
            heapq.heappush(events, (time + taken, 1, ticket.number))
    return LoadOutcome(served, offered, clock.Milliseconds(longest))


def simulate_cold_target(
    seed: int, root_rate: float, nested_rate: float, seconds: float
) -> float:
    """Return the fraction of root requests that a cold target admits.

    The target sustains 32 requests a second. Root requests may wait 30 ms for
    a slot, nested calls 560 ms.
    """
    generator = random.Random(seed)
    scheduler = build_scheduler(24)
    scheduler.begin_cold(
        clock.ZERO, clock.Milliseconds(seconds * 1000.0), rate_per_second=32.0
    )
    arrivals = sorted(
        (generator.uniform(0.0, seconds * 1000.0), is_nested)
        for rate, is_nested in ((root_rate, False), (nested_rate, True))
        for _ in range(int(rate * seconds))
    )
    nested = {
        number for number, (_, is_nested) in enumerate(arrivals) if is_nested
    }
    admitted: list[int] = []
    ends: list[float] = []

    def advance(time: float) -> None:
        now = clock.Milliseconds(time)
        while ends and ends[0] <= time:
            heapq.heappop(ends)
            scheduler.release(clock.Milliseconds(20))
        scheduler.drop_expired(now)
        for ticket in scheduler.admit_waiting(now):
            admitted.append(ticket.number)
            heapq.heappush(ends, time + 20.0)

    time = 0.0
    for number, (arrived_at, is_nested) in enumerate(arrivals):
        while time + 1.0 < arrived_at:
            time += 1.0
            advance(time)
        time = arrived_at
        advance(time)
        now = clock.Milliseconds(time)
        ticket = slots.Ticket(
            slots.rank_request(is_nested, 1, scheduler.is_cold(now)),
            number,
            now + clock.Milliseconds(560 if is_nested else 30),
        )
        decision, _ = scheduler.offer(ticket, now)
        if decision is slots.Decision.ADMIT:
            admitted.append(number)
            heapq.heappush(ends, time + 20.0)
    roots = len(arrivals) - len(nested)
    return sum(number not in nested for number in admitted) / roots
