"""The gate beside a target: requests wait here for a slot."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["Gate", "Slot"]

_Kind = enumerations.ErrorKind


class Slot:
    """A slot that a request holds."""

    def __init__(self) -> None:
        self.held: clock.Milliseconds | None = None


class Gate:
    """Lets requests to the target as the slot book decides.

    Parameters
    ----------
    time : clock.Clock
        Clock of the queue.
    book : slots.SlotBook
        Decides who gets a slot.
    """

    def __init__(self, time: clock.Clock, book: slots.SlotBook) -> None:
        self._time = time
        self.book = book
        self._waiters: dict[slots.Ticket, asyncio.Future] = {}
        self._number = 0
        self._timer: asyncio.TimerHandle | None = None

    @contextlib.asynccontextmanager
    async def enter(
        self,
        is_further: bool,
        priority: int,
        max_wait: clock.Milliseconds,
    ) -> AsyncIterator[Slot]:
        """Hold a slot for the time of the context.

        Parameters
        ----------
        is_further : bool
            Whether a running request waits for this one.
        priority : int
            Rank of the request.
        max_wait : clock.Milliseconds
            Longest time in the queue.

        Raises
        ------
        exceptions.RefusedError
            As OVERLOADED or COLD if no slot comes free in time.
        """
        now = self._time.now()
        self._number += 1
        ticket = slots.Ticket(
            slots.rank_request(is_further, priority),
            self._number,
            now + max_wait,
        )
        decision, retry_after = self.book.offer(ticket, now)
        if decision is slots.Decision.REFUSE:
            raise self._refuse("no slot in time", retry_after)
        if decision is slots.Decision.WAIT:
            await self._wait(ticket)
        slot = Slot()
        try:
            yield slot
        finally:
            self.book.release(slot.held)
            self.wake()

    def wake(self) -> None:
        """Let waiting requests go on that have a slot now or are too late."""
        now = self._time.now()
        for ticket in self.book.drop_expired(now):
            self._settle(
                ticket, self._refuse("no slot in time", self._find_retry())
            )
        for ticket in self.book.admit_waiting(now):
            self._settle(ticket, None)
        self._set_timer(now)

    def refuse_waiting(self, kind: enumerations.ErrorKind, detail: str) -> None:
        """Refuse all waiting requests, which have not run."""
        for ticket in self.book.drop_all():
            self._settle(ticket, exceptions.RefusedError(kind, detail))

    def report(self, target_id: str) -> deployment.TargetLoad:
        """Return the load of the target."""
        return deployment.TargetLoad(
            target_id=target_id,
            running=self.book.running,
            queued=self.book.queued,
            limit=self.book.limit,
            is_cold=self.book.is_cold(self._time.now()),
        )

    async def _wait(self, ticket: slots.Ticket) -> None:
        future = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = future
        self._set_timer(self._time.now())
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                if future.exception() is None:
                    # The slot came in the same moment as the cancellation.
                    self.book.release(None)
            else:
                self.book.withdraw(ticket)
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
                self.book.release(None)
            return
        if refusal is None:
            future.set_result(None)
        else:
            future.set_exception(refusal)

    def _set_timer(self, now: clock.Milliseconds) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        following = self.book.find_next_event(now)
        if following is not None:
            delay = max((following - now).seconds, 0.0) + 0.001
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self.wake)

    def _find_retry(self) -> clock.Milliseconds:
        waiting = self.book.queued + 1
        return self.book.service_time * (waiting / self.book.limit)

    def _refuse(
        self, detail: str, retry_after: clock.Milliseconds
    ) -> exceptions.RefusedError:
        kind = _Kind.OVERLOADED
        if self.book.is_cold(self._time.now()):
            kind = _Kind.COLD
        return exceptions.RefusedError(kind, detail, retry_after)
