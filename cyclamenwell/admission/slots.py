"""Admission control with a priority queue for the slots of one target.

Handles two kinds of overload. When there are more requests than slots, nested
calls and important requests are admitted first, and the other requests are
refused early enough for their callers to retry in time; a small share of the
admissions is reserved for lower ranks so that they do not starve. A target
that has just started, or that names how many requests a second it takes, is
protected by a token bucket.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import heapq

from cyclamenwell import clock
from cyclamenwell.admission import named_rate
from cyclamenwell.limits import bucket

__all__ = [
    "ColdStartLimiter",
    "Decision",
    "SlotScheduler",
    "Ticket",
    "rank_request",
]

# Some targets slow down once 95% of their slots are in use.
_USABLE_SLOT_SHARE = 0.95
_MAX_WAITING = 600
# While more important requests fill all slots, one of this many admissions
# goes to the oldest waiting request of a lower rank. Without it, nested calls
# took every slot for seconds and starved other requests that made up fewer
# than two in a hundred of all requests at the same targets.
_ADMISSIONS_PER_LOWER_RANK = 16
# Weight of the newest service time in the moving average.
_SERVICE_TIME_WEIGHT = 0.05
_INITIAL_SERVICE_TIME = clock.Milliseconds(100)
_MIN_RETRY_AFTER = clock.Milliseconds(50)
# In any second at most burst + rate requests start while the target is cold.
# Both use only a part of the bound because requests may be delayed on their
# way to the target.
_COLD_EXCESS_SHARE = 0.4
_COLD_SLACK_SHARE = 0.6


class Decision(enum.Enum):
    """Decision on a request for a slot."""

    ADMIT = 1
    WAIT = 2
    REFUSE = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A request for a slot, ordered by precedence in the queue.

    Parameters
    ----------
    rank : tuple of int
        Smaller ranks are admitted first; see `rank_request`.
    number : int
        Sequence number of the arrival, unique in one queue.
    expiry : clock.Milliseconds
        Monotonic time at which the request is removed from the queue.
    """

    rank: tuple[int, int]
    number: int
    expiry: clock.Milliseconds


class ColdStartLimiter:
    """Token bucket that limits requests to a target that has just started.

    Parameters
    ----------
    excess : float
        Multiple of the cold rate that the target still sustains.
    slack : float
        Requests in a second that it sustains in addition.
    """

    def __init__(self, excess: float, slack: float) -> None:
        self._rate_factor = 1.0 + (excess - 1.0) * _COLD_EXCESS_SHARE
        self._burst = max(slack * _COLD_SLACK_SHARE, 1.0)
        self._bucket = bucket.TokenBucket(clock.ZERO)

    @property
    def rate_per_second(self) -> float:
        """Refill rate of the bucket in requests a second."""
        return self._bucket.rate_per_second

    def reset(self, now: clock.Milliseconds, rate_per_second: float) -> None:
        """Reset the bucket for a target that has become cold.

        Parameters
        ----------
        now : clock.Milliseconds
            Present monotonic time.
        rate_per_second : float
            Cold rate of the target in requests a second.
        """
        rate = max(rate_per_second * self._rate_factor, 1.0)
        self._bucket = bucket.TokenBucket(now)
        self._bucket.resize(rate, self._burst, now)
        self._bucket.add(1.0)

    def has_token(self, now: clock.Milliseconds) -> bool:
        """Return whether a request may start."""
        self._bucket.refill(now)
        return self._bucket.level >= 1.0

    def take_token(self, now: clock.Milliseconds) -> bool:
        """Take a token, and return whether one was available."""
        return self._bucket.take(now)

    def find_next_token_time(
        self, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the monotonic time at which a token is available."""
        self._bucket.refill(now)
        # A rate of at least 1 a second always leads to a token.
        return now + self._bucket.find_wait() + clock.Milliseconds(1.0)


class SlotScheduler:
    """Allocates the slots of one target to requests in a priority queue.

    Parameters
    ----------
    cold_start_limiter : ColdStartLimiter
        Limits the request rate while the target is cold.

    Notes
    -----
    Pure decision logic without a clock, timers or input and output: the caller
    passes the time and resumes the requests that were admitted.
    """

    def __init__(self, cold_start_limiter: ColdStartLimiter) -> None:
        self._cold_start_limiter = cold_start_limiter
        self._slots = 1
        self._running = 0
        self._waiting: list[Ticket] = []
        # Sequence numbers of the waiting requests, and a heap of expiries with
        # lazy deletion: it still holds requests that have left the queue. A
        # scan of a long queue at each release took most of the processor time
        # of an overloaded node.
        self._waiting_numbers: set[int] = set()
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._service_time = _INITIAL_SERVICE_TIME
        # Admissions in rank order since the last one of a lower rank.
        self._ordered_admissions = 0
        self._cold_until: clock.Milliseconds | None = None
        self.named_rate = named_rate.NamedRateLimiter()

    @property
    def limit(self) -> int:
        """Concurrency limit of the target, at least 1."""
        return max(int(self._slots * _USABLE_SLOT_SHARE), 1)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def service_time(self) -> clock.Milliseconds:
        """Moving average of the time that a request holds a slot."""
        return self._service_time

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the target serves concurrently."""
        self._slots = slots

    def begin_cold(
        self,
        now: clock.Milliseconds,
        duration: clock.Milliseconds,
        rate_per_second: float,
    ) -> None:
        """Limit the request rate of a cold target for some time.

        Parameters
        ----------
        now : clock.Milliseconds
            Present monotonic time.
        duration : clock.Milliseconds
            Time for which the limit applies.
        rate_per_second : float
            Cold rate of the target in requests a second. It is ignored if the
            target is cold already.
        """
        if not self.is_cold(now):
            self._cold_start_limiter.reset(now, rate_per_second)
        self._cold_until = now + duration

    def end_cold(self) -> None:
        """Remove the rate limit of the cold target."""
        self._cold_until = None

    def is_cold(self, now: clock.Milliseconds) -> bool:
        """Return whether the rate limit of the cold target applies."""
        return self._cold_until is not None and now < self._cold_until

    def offer(
        self, ticket: Ticket, now: clock.Milliseconds
    ) -> tuple[Decision, clock.Milliseconds]:
        """Admit, queue or refuse a request.

        Returns
        -------
        Decision
            Whether the request is admitted, queued or refused.
        clock.Milliseconds
            Time until a slot is expected if the request is refused, else zero.
        """
        if not self._waiting and self._take_slot(now):
            return Decision.ADMIT, clock.ZERO
        wait = self._estimate_wait(ticket, now)
        if now + wait > ticket.expiry or len(self._waiting) >= _MAX_WAITING:
            return Decision.REFUSE, max(wait, _MIN_RETRY_AFTER)
        bisect.insort(self._waiting, ticket)
        self._waiting_numbers.add(ticket.number)
        heapq.heappush(
            self._expiries, (ticket.expiry.value, ticket.number, ticket)
        )
        return Decision.WAIT, clock.ZERO

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller has disconnected."""
        if ticket.number in self._waiting_numbers:
            self._waiting_numbers.discard(ticket.number)
            del self._waiting[bisect.bisect_left(self._waiting, ticket)]

    def release(self, held: clock.Milliseconds | None) -> None:
        """Release a slot.

        Parameters
        ----------
        held : clock.Milliseconds or None
            Service time of the request, None if the target did not answer.
        """
        self._running -= 1
        if held is not None:
            change = held - self._service_time
            self._service_time += change * _SERVICE_TIME_WEIGHT

    def admit_waiting(self, now: clock.Milliseconds) -> list[Ticket]:
        """Admit waiting requests while slots are free, and return them."""
        admitted = []
        while self._waiting and self._take_slot(now):
            ticket = self._waiting.pop(self._find_next_index())
            self._waiting_numbers.discard(ticket.number)
            admitted.append(ticket)
        return admitted

    def drop_expired(self, now: clock.Milliseconds) -> list[Ticket]:
        """Remove and return waiting requests that have expired."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now.value:
            _, number, ticket = heapq.heappop(self._expiries)
            if number in self._waiting_numbers:
                self.withdraw(ticket)
                expired.append(ticket)
        return expired

    def drop_all(self) -> list[Ticket]:
        """Remove and return all waiting requests."""
        dropped, self._waiting = self._waiting, []
        self._waiting_numbers.clear()
        self._expiries.clear()
        return dropped

    def find_next_event(
        self, now: clock.Milliseconds
    ) -> clock.Milliseconds | None:
        """Return the time of the next expiry or token.

        Returns
        -------
        clock.Milliseconds or None
            Monotonic time at which the queue must be checked again, None if
            it is empty.
        """
        if not self._waiting:
            return None
        while self._expiries[0][1] not in self._waiting_numbers:
            heapq.heappop(self._expiries)
        expiry = clock.Milliseconds(self._expiries[0][0])
        token_times = []
        if self.is_cold(now):
            next_token = self._cold_start_limiter.find_next_token_time(now)
            token_times.append(min(next_token, self._cold_until))
        if self.named_rate.is_active:
            token_times.append(self.named_rate.find_next_token_time(now))
        if not token_times or self._running >= self.limit:
            return expiry
        return min(expiry, max(token_times))

    def find_pace_wait(self, now: clock.Milliseconds) -> clock.Milliseconds:
        """Return how long one more request would wait for the named rate.

        Zero if the target names no rate.
        """
        if not self.named_rate.is_active:
            return clock.ZERO
        return self._estimate_pace(self.named_rate, len(self._waiting) + 1, now)

    def _find_next_index(self) -> int:
        """Return the queue index of the request to admit next."""
        first_lower = self._find_first_lower()
        if first_lower == len(self._waiting):
            self._ordered_admissions = 0
            return 0
        self._ordered_admissions += 1
        if self._ordered_admissions < _ADMISSIONS_PER_LOWER_RANK:
            return 0
        self._ordered_admissions = 0
        return min(
            range(first_lower, len(self._waiting)),
            key=lambda index: self._waiting[index].number,
        )

    def _find_first_lower(self) -> int:
        """Return the first index with a lower rank than the queue's head."""
        rank = self._waiting[0].rank
        return bisect.bisect_right(self._waiting, rank, key=_get_rank)

    def _take_slot(self, now: clock.Milliseconds) -> bool:
        if self._running >= self.limit:
            return False
        limiters = self._list_limiters(now)
        if not all(limiter.has_token(now) for limiter in limiters):
            return False
        for limiter in limiters:
            limiter.take_token(now)
        self._running += 1
        return True

    def _list_limiters(
        self, now: clock.Milliseconds
    ) -> list[ColdStartLimiter | named_rate.NamedRateLimiter]:
        """Return the limiters whose tokens a request needs."""
        limiters = []
        if self.is_cold(now):
            limiters.append(self._cold_start_limiter)
        if self.named_rate.is_active:
            limiters.append(self.named_rate)
        return limiters

    def _estimate_pace(
        self,
        limiter: ColdStartLimiter | named_rate.NamedRateLimiter,
        ahead: int,
        now: clock.Milliseconds,
    ) -> clock.Milliseconds:
        """Return the time until a limiter has had tokens for some requests."""
        if limiter.has_token(now) and ahead <= 1:
            return clock.ZERO
        first = limiter.find_next_token_time(now) - now
        pace = clock.Milliseconds(1000.0 / limiter.rate_per_second)
        return first + pace * (ahead - 1)

    def _estimate_wait(
        self, ticket: Ticket, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the expected time until the request gets a slot."""
        ahead = bisect.bisect_left(self._waiting, ticket) + 1
        limiters = self._list_limiters(now)
        if limiters:
            return max(
                self._estimate_pace(limiter, ahead, now) for limiter in limiters
            )
        if self._waiting and ticket.rank > self._waiting[0].rank:
            lower = len(self._waiting) - self._find_first_lower() + 1
            ahead = min(ahead, lower * _ADMISSIONS_PER_LOWER_RANK)
        return self._service_time * (ahead / self.limit)


def _get_rank(ticket: Ticket) -> tuple[int, int]:
    return ticket.rank


def rank_request(
    is_nested: bool, priority: int, is_cold: bool = False
) -> tuple[int, int]:
    """Return the rank of a request; smaller ranks are admitted first.

    Parameters
    ----------
    is_nested : bool
        Whether the request is a nested call that a running request waits for.
        Nested calls precede root requests, because the work of the running
        request is lost if its nested call is refused.
    priority : int
        Configured priority, 0 for the most important.
    is_cold : bool
        Whether the target is cold. After a loss of power all targets are, and
        sustain a few requests a second. Root requests come first then: one
        admission serves one of them, whereas a request that makes several
        nested calls fails with the first one that is refused.
    """
    return (1 if is_nested == is_cold else 0, priority)
