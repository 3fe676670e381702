"""Admission queue of a target: requests wait here for a slot."""

from __future__ import annotations

import asyncio
import functools

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["AdmissionQueue", "Slot"]

_Kind = enumerations.ErrorKind


class Slot:
    """A slot of the target, held by one request."""

    def __init__(self) -> None:
        self.service_time: clock.Milliseconds | None = None


class AdmissionQueue:
    """Admits requests to the target as the slot scheduler decides.

    Parameters
    ----------
    time : clock.Clock
        Clock of the queue.
    slot_scheduler : slots.SlotScheduler
        Limits concurrency and orders the waiting requests.
    """

    def __init__(
        self, time: clock.Clock, slot_scheduler: slots.SlotScheduler
    ) -> None:
        self._time = time
        self.slot_scheduler = slot_scheduler
        self._waiters: dict[slots.Ticket, asyncio.Future] = {}
        self._arrivals = 0
        self._timer: asyncio.TimerHandle | None = None

    @functools.cached_property
    def _loop(self) -> asyncio.AbstractEventLoop:
        # Asked for once only, since that takes a system call.
        return asyncio.get_running_loop()

    async def acquire(
        self,
        is_nested: bool,
        priority: int,
        max_wait: clock.Milliseconds,
    ) -> Slot:
        """Return a slot, which has to be released.

        Parameters
        ----------
        is_nested : bool
            Whether a running request waits for this one.
        priority : int
            Priority of the request; 0 is the most important.
        max_wait : clock.Milliseconds
            Maximum time in the queue.

        Raises
        ------
        exceptions.RefusedError
            As OVERLOADED, COLD or TARGET_LIMITED if no slot becomes free in
            time.
        """
        now = self._time.now()
        self._arrivals += 1
        ticket = slots.Ticket(
            slots.rank_request(
                is_nested, priority, self.slot_scheduler.is_cold(now)
            ),
            self._arrivals,
            now + max_wait,
        )
        decision, retry_after = self.slot_scheduler.offer(ticket, now)
        if decision is slots.Decision.REFUSE:
            raise self._refuse("no slot in time", retry_after)
        if decision is slots.Decision.WAIT:
            await self._wait(ticket)
        return Slot()

    def release(self, slot: Slot) -> None:
        """Release a slot and admit the next request."""
        self.slot_scheduler.release(slot.service_time)
        self.wake()

    def wake(self) -> None:
        """Refuse expired requests and admit others to the free slots."""
        if not self.slot_scheduler.queued and self._timer is None:
            return
        now = self._time.now()
        for ticket in self.slot_scheduler.drop_expired(now):
            self._settle(
                ticket,
                self._refuse("no slot in time", self._estimate_retry_after()),
            )
        for ticket in self.slot_scheduler.admit_waiting(now):
            self._settle(ticket, None)
        self._set_timer(now)

    def refuse_waiting(self, kind: enumerations.ErrorKind, detail: str) -> None:
        """Refuse all waiting requests; none of them has run."""
        for ticket in self.slot_scheduler.drop_all():
            self._settle(ticket, exceptions.RefusedError(kind, detail))

    def report_load(
        self,
        target_id: str,
        started_ms: int = 0,
        is_leaving: bool = False,
    ) -> deployment.TargetLoad:
        """Return the current load of the target."""
        now = self._time.now()
        return deployment.TargetLoad(
            target_id=target_id,
            running=self.slot_scheduler.running,
            queued=self.slot_scheduler.queued,
            limit=self.slot_scheduler.limit,
            is_cold=self.slot_scheduler.is_cold(now),
            pace_wait_ms=self.slot_scheduler.find_pace_wait(now).value,
            is_leaving=is_leaving,
            started_ms=started_ms,
        )

    async def _wait(self, ticket: slots.Ticket) -> None:
        future = self._loop.create_future()
        self._waiters[ticket] = future
        self._set_timer(self._time.now())
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                if future.exception() is None:
                    # The slot was granted just before the cancellation.
                    self.slot_scheduler.release(None)
            else:
                self.slot_scheduler.withdraw(ticket)
            self.wake()
            raise
        finally:
            self._waiters.pop(ticket, None)

    def _settle(
        self, ticket: slots.Ticket, refusal: exceptions.RefusedError | None
    ) -> None:
        future = self._waiters.get(ticket)
        if future is None or future.done():
            if refusal is None:
                self.slot_scheduler.release(None)
            return
        if refusal is None:
            future.set_result(None)
        else:
            future.set_exception(refusal)

    def _set_timer(self, now: clock.Milliseconds) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_event = self.slot_scheduler.find_next_event(now)
        if next_event is not None:
            delay = max((next_event - now).seconds, 0.0) + 0.001
            self._timer = self._loop.call_later(delay, self.wake)

    def _estimate_retry_after(self) -> clock.Milliseconds:
        pace_wait = self.slot_scheduler.find_pace_wait(self._time.now())
        if pace_wait:
            return pace_wait
        waiting = self.slot_scheduler.queued + 1
        return self.slot_scheduler.service_time * (
            waiting / self.slot_scheduler.limit
        )

    def _refuse(
        self, detail: str, retry_after: clock.Milliseconds
    ) -> exceptions.RefusedError:
        kind = _Kind.OVERLOADED
        if self.slot_scheduler.is_cold(self._time.now()):
            kind = _Kind.COLD
        elif self.slot_scheduler.named_rate.is_active:
            kind = _Kind.TARGET_LIMITED
        return exceptions.RefusedError(kind, detail, retry_after)
