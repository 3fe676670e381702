"""Which requests get the slots of a target, and which are refused at once.

The loads that this answers: more requests than slots, where the important ones
and those that running requests wait for go first and the others are refused
while their callers can still come back in time, but a small part of the slots
stays with those that never come first; and a target that has just started,
which bears only a few requests a second.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import heapq

from cyclamenwell import clock

__all__ = ["ColdPacer", "Decision", "SlotBook", "Ticket", "rank_request"]

# Targets slow down when they are nearly full, some from 95% of their slots.
_USED_SLOTS = 0.95
_MAX_WAITING = 600
# While more important requests fill all slots for seconds, one admission in so
# many goes to the oldest request that ranks lower. Without it, further calls
# left no slot for seconds to other requests that were fewer than two in a
# hundred of all at the same targets.
_ADMISSIONS_PER_LOWER = 16
# Weight of the newest service time in the moving average.
_SERVICE_TIME_WEIGHT = 0.05
_FIRST_SERVICE_TIME = clock.Milliseconds(100)
_MIN_RETRY = clock.Milliseconds(50)


class Decision(enum.Enum):
    """What happens to an offered request."""

    ADMIT = 1
    WAIT = 2
    REFUSE = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A request that wants a slot, ordered by what goes first.

    Parameters
    ----------
    rank : tuple of int
        Smaller ranks go first: whether nothing waits for the request, then
        its priority.
    number : int
        Order of arrival.
    expiry : clock.Milliseconds
        Time from which the request is no longer of use in the queue.
    """

    rank: tuple[int, int]
    number: int
    expiry: clock.Milliseconds


class ColdPacer:
    """Paces the requests to a target that has just started.

    Parameters
    ----------
    excess : float
        Factor on the target's rate that it still bears.
    slack : float
        Requests beyond that in a second.
    """

    def __init__(self, excess: float, slack: float) -> None:
        # In any second at most burst + rate requests start; both stay below
        # the bound, as requests may be late on their way to the target.
        self._factor = 1.0 + (excess - 1.0) * 0.4
        self._burst = max(slack * 0.6, 1.0)
        self._rate = 1.0
        self._tokens = 1.0
        self._last = clock.ZERO

    @property
    def rate_per_second(self) -> float:
        """Requests a second that are let through."""
        return self._rate

    def begin(self, now: clock.Milliseconds, rate_per_second: float) -> None:
        """Begin to pace a target that has turned cold."""
        self._rate = max(rate_per_second * self._factor, 1.0)
        self._tokens = 1.0
        self._last = now

    def take(self, now: clock.Milliseconds) -> bool:
        """Take a token, if there is one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def find_next(self, now: clock.Milliseconds) -> clock.Milliseconds:
        """Return the time of the next token."""
        self._refill(now)
        missing = max(1.0 - self._tokens, 0.0)
        return now + clock.Milliseconds(missing / self._rate * 1000.0 + 1.0)

    def _refill(self, now: clock.Milliseconds) -> None:
        elapsed = max((now - self._last).seconds, 0.0)
        self._tokens = min(self._tokens + elapsed * self._rate, self._burst)
        self._last = now


class SlotBook:
    """Slots of one target and the requests that wait for them.

    Parameters
    ----------
    pacer : ColdPacer
        Paces requests while the target is cold.

    Notes
    -----
    The book decides and keeps no time of its own; whoever uses it passes the
    time and wakes the admitted requests.
    """

    def __init__(self, pacer: ColdPacer) -> None:
        self._pacer = pacer
        self._slots = 1
        self._running = 0
        self._waiting: list[Ticket] = []
        # Numbers of the waiting requests, and their expiries with those of
        # requests that have left the queue meanwhile: looking through a long
        # queue at each release took most of the time of an overloaded node.
        self._numbers: set[int] = set()
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._service_time = _FIRST_SERVICE_TIME
        # Admissions since the last one of a request that ranked lower than
        # another waiting one.
        self._turns = 0
        self._cold_until: clock.Milliseconds | None = None

    @property
    def limit(self) -> int:
        """Requests that are sent to the target at once."""
        return max(int(self._slots * _USED_SLOTS), 1)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @property
    def service_time(self) -> clock.Milliseconds:
        """Moving average of the time that a request holds a slot."""
        return self._service_time

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the target works on at once."""
        self._slots = slots

    def begin_cold(
        self,
        now: clock.Milliseconds,
        duration: clock.Milliseconds,
        rate_per_second: float,
    ) -> None:
        """Pace requests for a time."""
        if not self.is_cold(now):
            self._pacer.begin(now, rate_per_second)
        self._cold_until = now + duration

    def end_cold(self) -> None:
        """Stop pacing requests."""
        self._cold_until = None

    def is_cold(self, now: clock.Milliseconds) -> bool:
        """Return whether requests are paced."""
        return self._cold_until is not None and now < self._cold_until

    def offer(
        self, ticket: Ticket, now: clock.Milliseconds
    ) -> tuple[Decision, clock.Milliseconds]:
        """Decide on a request.

        Returns
        -------
        Decision
            What happens to the request.
        clock.Milliseconds
            When room is expected, if the request is refused.
        """
        if not self._waiting and self._take_slot(now):
            return Decision.ADMIT, clock.ZERO
        wait = self._estimate_wait(ticket, now)
        if now + wait > ticket.expiry or len(self._waiting) >= _MAX_WAITING:
            return Decision.REFUSE, max(wait, _MIN_RETRY)
        bisect.insort(self._waiting, ticket)
        self._numbers.add(ticket.number)
        heapq.heappush(
            self._expiries, (ticket.expiry.value, ticket.number, ticket)
        )
        return Decision.WAIT, clock.ZERO

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller went away."""
        if ticket.number in self._numbers:
            self._numbers.discard(ticket.number)
            del self._waiting[bisect.bisect_left(self._waiting, ticket)]

    def release(self, held: clock.Milliseconds | None) -> None:
        """Give a slot back.

        Parameters
        ----------
        held : clock.Milliseconds or None
            How long the target worked, if it gave an answer.
        """
        self._running -= 1
        if held is not None:
            change = held - self._service_time
            self._service_time += change * _SERVICE_TIME_WEIGHT

    def admit_waiting(self, now: clock.Milliseconds) -> list[Ticket]:
        """Give free slots to waiting requests and return those."""
        admitted = []
        while self._waiting and self._take_slot(now):
            ticket = self._waiting.pop(self._find_next())
            self._numbers.discard(ticket.number)
            admitted.append(ticket)
        return admitted

    def drop_expired(self, now: clock.Milliseconds) -> list[Ticket]:
        """Remove and return requests whose time in the queue is over."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now.value:
            _, number, ticket = heapq.heappop(self._expiries)
            if number in self._numbers:
                self.withdraw(ticket)
                expired.append(ticket)
        return expired

    def drop_all(self) -> list[Ticket]:
        """Remove and return all waiting requests."""
        dropped, self._waiting = self._waiting, []
        self._numbers.clear()
        self._expiries.clear()
        return dropped

    def find_next_event(
        self, now: clock.Milliseconds
    ) -> clock.Milliseconds | None:
        """Return when waiting requests have to be looked at again."""
        if not self._waiting:
            return None
        while self._expiries[0][1] not in self._numbers:
            heapq.heappop(self._expiries)
        times = [clock.Milliseconds(self._expiries[0][0])]
        if self.is_cold(now) and self._running < self.limit:
            times.append(min(self._pacer.find_next(now), self._cold_until))
        return min(times)

    def _find_next(self) -> int:
        """Return the index in the queue of the request to admit."""
        first_lower = self._find_first_lower()
        if first_lower == len(self._waiting):
            self._turns = 0
            return 0
        self._turns += 1
        if self._turns < _ADMISSIONS_PER_LOWER:
            return 0
        self._turns = 0
        return min(
            range(first_lower, len(self._waiting)),
            key=lambda index: self._waiting[index].number,
        )

    def _find_first_lower(self) -> int:
        """Return the index of the first request that ranks below the first."""
        rank = self._waiting[0].rank
        return bisect.bisect_right(self._waiting, rank, key=_get_rank)

    def _take_slot(self, now: clock.Milliseconds) -> bool:
        if self._running >= self.limit:
            return False
        if self.is_cold(now) and not self._pacer.take(now):
            return False
        self._running += 1
        return True

    def _estimate_wait(
        self, ticket: Ticket, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the time until the requests before this one have a slot."""
        ahead = bisect.bisect_left(self._waiting, ticket) + 1
        if self.is_cold(now):
            first = self._pacer.find_next(now) - now
            pace = clock.Milliseconds(1000.0 / self._pacer.rate_per_second)
            return first + pace * (ahead - 1)
        if self._waiting and ticket.rank > self._waiting[0].rank:
            lower = len(self._waiting) - self._find_first_lower() + 1
            ahead = min(ahead, lower * _ADMISSIONS_PER_LOWER)
        return self._service_time * (ahead / self.limit)


def _get_rank(ticket: Ticket) -> tuple[int, int]:
    return ticket.rank


def rank_request(is_further: bool, priority: int) -> tuple[int, int]:
    """Return the rank of a request in the queue.

    Parameters
    ----------
    is_further : bool
        Whether a running request waits for this one. Its work so far is lost
        if this one is refused, so it goes before new requests.
    priority : int
        Rank that operators gave, 0 for the most important.
    """
    return (0 if is_further else 1, priority)
