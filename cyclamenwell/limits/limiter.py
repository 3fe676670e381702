"""Rates and bursts of organisations over the instances of one service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.limits import bucket as buckets
from cyclamenwell.limits import demand
from cyclamenwell.limits import shares
from cyclamenwell.membership import views
from cyclamenwell.peers import identity as identities
from cyclamenwell.telemetry import metrics

__all__ = ["FleetLimiter"]

_LEASE_ID_BYTES = 16
_HEADROOM = 1.1  # Units that a borrower wants, as a multiple of its demand.
_KEEP_HEADROOM = 1.05  # Units that a lender keeps, as a multiple of its demand.
_BUSY = 0.8  # Part of the held rate above which more is borrowed.
_LOW_LEVEL = 0.5  # Part of the cap below which more is borrowed.
_RESERVE = 0.05  # Part of the base share that a lender keeps for a surge.
_RESERVE_MIN_TOKENS = 20  # A smaller cap is too small to be divided.
_IDLE_PER_SECOND = 0.2  # Demand below which nothing is kept or borrowed.
_RENEW_AFTER = 0.7  # Part of a lease after which it is renewed.
_PLAN_INTERVAL = clock.Milliseconds(20)
# After some refusals in a row nobody has units to spare: one peer is asked at
# a time, with growing pauses.
_SCARCE_REFUSALS = 6
_MAX_SCARCE_STEPS = 6
# A lease that only serves to hold one whole token ties up far more refill than
# its borrower uses, so it is short.
_TOKEN_LEASE = 1 / 16
_MIN_MISSING = 0.05  # Part of the held units that is worth a request.
_PARTIAL_COOLDOWN = clock.Milliseconds(2000)
_MIN_COOLDOWN = clock.Milliseconds(500)
_MAX_COOLDOWN = clock.Milliseconds(2000)
_MIN_RETRY_AFTER = clock.Milliseconds(50)
_MAX_RETRY_AFTER = clock.Milliseconds(1000)
# Bound on the lease requests of a node: 20 a second carry the leases from 23
# peers, each renewed every 1,400 ms.
_ASKS_PER_SECOND = 20.0
_ASKS_AT_ONCE = 64.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """A lease wanted from a peer."""

    units: int
    made_at: clock.Milliseconds
    lease_id: bytes = b""  # Empty until it is sent.


@dataclasses.dataclass(frozen=True, slots=True)
class _Cooldown:
    """A peer that had less to lend than it was asked for."""

    until: clock.Milliseconds
    length: clock.Milliseconds
    is_denied: bool


class _Book:
    """One organisation: its account, its demand and what it asks for."""

    def __init__(
        self,
        account: shares.Account,
        lock: threading.Lock,
        now: clock.Milliseconds,
    ) -> None:
        self.account = account
        self.meter = demand.DemandMeter(now)
        self.changed = threading.Condition(lock)
        self.asks: dict[str, _Ask] = {}
        self.cooldowns: dict[str, _Cooldown] = {}
        self.lenders: tuple[tuple[str, int], ...] | None = None
        self.plan_at = now
        self.refusals = 0
        self.waiting = 0


class FleetLimiter:
    """Takes tokens for requests and moves shares to where they are needed.

    Parameters
    ----------
    identity : identities.Identity
        Identity of this node.
    time : clock.Clock
        Clock of token buckets and leases.
    limits : settings.LimitSettings
        Lengths of leases and waits.

    Notes
    -----
    The rules are in ``docs/limits.md``. One lock guards the state; waking
    peers' tasks is the only call made under it. An organisation costs nothing
    here until its first request arrives.
    """

    def __init__(
        self,
        identity: identities.Identity,
        time: clock.Clock,
        limits: settings.LimitSettings,
    ) -> None:
        self._identity = identity
        self._time = time
        self._limits = limits
        self._lock = threading.Lock()
        self._wake: Callable[[str], None] = lambda peer: None
        self._random = random.Random(identity.incarnation)
        self._books: dict[str, _Book] = {}
        self._asked: dict[str, set[str]] = {}
        self._callers: dict[str, documents.CallerDocument] = {}
        self._plans: dict[int, Mapping[str, float]] = {}
        self._version = 0
        self._standing = views.Standing(identity.instance)
        self._changed_at = time.now()
        self._budget = buckets.TokenBucket(time.now())
        self._budget.resize(_ASKS_PER_SECOND, _ASKS_AT_ONCE, time.now())
        self._budget.add(_ASKS_AT_ONCE)

    def attach(self, wake: Callable[[str], None]) -> None:
        """Set the function that wakes the task of a peer."""
        self._wake = wake

    def apply_document(
        self, version: int, callers: Iterable[documents.CallerDocument]
    ) -> None:
        """Put the limits of a version of the service document in force.

        Parameters
        ----------
        version : int
            Version of the document.
        callers : iterable of documents.CallerDocument
            Organisations with their limits; none if it was removed.
        """
        with self._lock:
            if version <= self._version:
                return
            self._version = version
            self._callers = {c.organisation: c for c in callers}
            self._plans[version] = {
                name: caller.burst for name, caller in self._callers.items()
            }
            self._refresh()

    def apply_standing(self, standing: views.Standing) -> None:
        """Bound the base shares by views and document versions."""
        with self._lock:
            old, self._standing = self._standing, standing
            stop = old.usable_until
            is_usable = stop is None or stop > self._time.now()
            if is_usable and _bounds(old) == _bounds(standing):
                self._extend()
                return
            live = (*standing.versions, self._version)
            self._plans = {v: p for v, p in self._plans.items() if v in live}
            self._refresh()

    def fits(self, view: views.View) -> bool:
        """Return whether the units lent fit in the shares of a view."""
        with self._lock:
            now = self._time.now()
            alone = dataclasses.replace(
                self._standing, views=(view,), settled=True
            )
            for name, book in self._books.items():
                book.account.advance(now)
                lent = book.account.lent
                if lent and lent > shares.find_base(alone, self._plans, name):
                    return False
            return True

    def take(
        self, organisation: str, longest_wait: clock.Milliseconds | None = None
    ) -> None:
        """Take one token.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        longest_wait : clock.Milliseconds or None
            How long the request can wait; `max_token_wait` bounds it.

        Raises
        ------
        exceptions.RefusedError
            As RATE_LIMITED if there is no token.
        """
        with self._lock:
            book = self._find_book(organisation)
            if book is not None and self._take(book, longest_wait):
                return
            wait = None if book is None else book.account.bucket.find_wait()
        metrics.count_rate_refusal(organisation if book else "unknown")
        retry_after = _MAX_RETRY_AFTER
        if wait is not None:
            retry_after = max(_MIN_RETRY_AFTER, min(wait, _MAX_RETRY_AFTER))
        raise exceptions.RefusedError(
            enumerations.ErrorKind.RATE_LIMITED,
            f"organisation {organisation} is over its rate",
            retry_after=retry_after,
        )

    def refund(self, organisation: str) -> None:
        """Put back the token of a request that was not run."""
        with self._lock:
            book = self._books.get(organisation)
            if book is None:
                return
            book.account.advance(self._time.now())
            book.account.bucket.refund()
            if book.waiting:
                book.changed.notify()

    def grant(self, request: messages.LeaseRequest) -> messages.LeaseReply:
        """Decide on a peer's request for a lease."""
        duration = self._limits.lease_duration
        if request.duration_ms > 0:
            asked = clock.Milliseconds(request.duration_ms)
            duration = min(duration, asked)
        with self._lock:
            grant = self._grant(request, duration)
        return messages.LeaseReply(
            lease_id=request.lease_id,
            units=grant.units if grant else 0,
            tokens=grant.tokens if grant else 0.0,
            duration_ms=int(duration.value),
        )

    def list_asks(self, peer: str) -> tuple[messages.LeaseRequest, ...]:
        """Return the lease requests to send to a peer now."""
        with self._lock:
            now = self._time.now()
            asks = []
            for name in sorted(self._asked.get(peer, ())):
                request = self._build_ask(name, peer, now)
                if request is not None:
                    asks.append(request)
            return tuple(asks)

    def find_due(self, peer: str) -> clock.Milliseconds | None:
        """Return when `list_asks` has something for a peer, None for never."""
        with self._lock:
            due = None
            for name in self._asked.get(peer, ()):
                at = self._find_ask_time(self._books[name], peer)
                if at is not None and (due is None or at < due):
                    due = at
            return due

    def take_grant(
        self,
        peer: str,
        request: messages.LeaseRequest,
        reply: messages.LeaseReply | None,
        asked_at: clock.Milliseconds,
    ) -> None:
        """Take the reply to a lease request.

        Parameters
        ----------
        peer : str
            The lender.
        request : messages.LeaseRequest
            What was asked for.
        reply : messages.LeaseReply or None
            The reply, None if none came.
        asked_at : clock.Milliseconds
            When it was asked for, from which the lease runs.
        """
        with self._lock:
            now = self._time.now()
            book = self._books[request.organisation]
            ask = book.asks.get(peer)
            if ask is None or ask.lease_id != request.lease_id:
                return  # This reply, or its absence, was taken before.
            del book.asks[peer]
            granted = 0
            if reply is not None and reply.lease_id == request.lease_id:
                until = asked_at + clock.Milliseconds(reply.duration_ms)
                lease = shares.Lease(
                    reply.lease_id, reply.units, until, until - asked_at
                )
                if book.account.borrow(peer, lease, reply.tokens, now):
                    granted = reply.units
            book.refusals = 0 if granted else book.refusals + 1
            if granted < request.units:
                length = _PARTIAL_COOLDOWN if granted else _MIN_COOLDOWN
                last = book.cooldowns.get(peer)
                if reply is not None and not granted and last is not None:
                    length = min(last.length * 2, _MAX_COOLDOWN)
                is_denied = reply is not None and not granted
                book.cooldowns[peer] = _Cooldown(
                    now + length, length, is_denied
                )
            else:
                book.cooldowns.pop(peer, None)
            if peer not in book.account.leases:
                self._asked.get(peer, set()).discard(request.organisation)
            if book.waiting:
                self._plan(book, now)
                book.changed.notify_all()

    def report_units(self) -> Mapping[str, tuple[int, int, int]]:
        """Return units held, borrowed and lent by organisation."""
        with self._lock:
            now = self._time.now()
            for book in self._books.values():
                book.account.advance(now)
            return {
                name: (
                    book.account.held,
                    book.account.borrowed,
                    book.account.lent,
                )
                for name, book in self._books.items()
            }

    def _find_book(self, organisation: str) -> _Book | None:
        book = self._books.get(organisation)
        if book is not None:
            return book
        if organisation not in self._callers:
            return None
        # The bucket has been filling since the last change of its terms.
        since = self._changed_at
        account = shares.Account(
            organisation, since, self._find_terms(organisation)
        )
        book = _Book(account, self._lock, self._time.now())
        self._books[organisation] = book
        return book

    def _find_terms(self, organisation: str) -> shares.Terms:
        caller = self._callers.get(organisation)
        if caller is None:
            return shares.Terms()
        return shares.Terms(
            rate_per_second=caller.rate_per_second,
            burst=caller.burst,
            base=shares.find_base(self._standing, self._plans, organisation),
            usable_until=self._standing.usable_until,
        )

    def _refresh(self) -> None:
        """Put changed terms in force for all organisations."""
        now = self._time.now()
        self._changed_at = now
        for name, book in self._books.items():
            book.account.change_terms(now, self._find_terms(name))
            book.lenders = None

    def _extend(self) -> None:
        """Prolong the use of the base shares."""
        now = self._time.now()
        stop = self._standing.usable_until
        for book in self._books.values():
            terms = dataclasses.replace(book.account.terms, usable_until=stop)
            book.account.change_terms(now, terms)

    def _take(
        self, book: _Book, longest_wait: clock.Milliseconds | None
    ) -> bool:
        now = self._time.now()
        book.account.advance(now)
        book.meter.add(now)
        taken = book.account.bucket.take(now)
        self._plan(book, now)
        if taken:
            return True
        return self._wait_for_token(book, longest_wait)

    def _wait_for_token(
        self, book: _Book, longest_wait: clock.Milliseconds | None
    ) -> bool:
        """Wait while a lease is on its way or a token comes in time."""
        longest = self._limits.max_token_wait
        if longest_wait is not None:
            longest = min(longest, longest_wait)
        end = self._time.now() + longest
        book.waiting += 1
        try:
            while True:
                now = self._time.now()
                book.account.advance(now)
                if book.account.bucket.take(now):
                    return True
                left = end - now
                wait = book.account.bucket.find_wait()
                in_time = wait is not None and wait <= left
                if left <= clock.ZERO or not (in_time or book.asks):
                    return False
                pause = min(wait, left) if in_time else left
                book.changed.wait(pause.seconds)
        finally:
            book.waiting -= 1

    def _find_least(self, book: _Book) -> int:
        """Return the units that hold a whole token."""
        burst = book.account.terms.burst
        return min(math.ceil(shares.WHOLE / max(burst, 1.0)), shares.WHOLE)

    def _find_needed(
        self, book: _Book, now: clock.Milliseconds, headroom: float
    ) -> int:
        """Return the units that the demand at this node needs."""
        rate = book.account.terms.rate_per_second
        arrivals = book.meter.estimate(now)
        if rate <= 0 or arrivals < _IDLE_PER_SECOND:
            return 0
        units = math.ceil(shares.WHOLE * arrivals * headroom / rate)
        return min(max(units, self._find_least(book)), shares.WHOLE)

    def _plan(self, book: _Book, now: clock.Milliseconds) -> None:
        """Choose whom to ask for more units, if more are needed."""
        if now < book.plan_at:
            return
        steps = min(max(book.refusals - _SCARCE_REFUSALS, 0), _MAX_SCARCE_STEPS)
        book.plan_at = now + _PLAN_INTERVAL * 2**steps
        account = book.account
        held = account.held
        needed = self._find_needed(book, now, _HEADROOM)
        bucket = account.bucket
        arrivals = book.meter.estimate(now)
        is_low = bucket.level < bucket.cap * _LOW_LEVEL or bucket.cap < 1.0
        if arrivals <= _BUSY * bucket.rate_per_second and not is_low:
            return
        if bucket.level < 1.0:
            needed = max(needed, held + self._find_least(book))
        missing = min(needed, shares.WHOLE) - self._find_expected(book)
        if missing > (0 if is_low else held * _MIN_MISSING):
            self._ask(book, missing, now)

    def _find_expected(self, book: _Book) -> int:
        """Return the units held once all requests are granted."""
        expected = book.account.held
        for peer, ask in book.asks.items():
            lease = book.account.leases.get(peer)
            expected += ask.units - (lease.units if lease else 0)
        return expected

    def _ask(self, book: _Book, missing: int, now: clock.Milliseconds) -> None:
        """Spread the missing units over peers that may have them."""
        choices = []
        for peer, units in self._list_lenders(book):
            lease = book.account.leases.get(peer)
            room = units - (lease.units if lease else 0)
            cooldown = book.cooldowns.get(peer)
            is_cooling = cooldown is not None and now < cooldown.until
            if room > 0 and peer not in book.asks and not is_cooling:
                choices.append((peer, room, lease.units if lease else 0))
        self._random.shuffle(choices)
        if book.refusals >= _SCARCE_REFUSALS:
            choices = choices[:1]
        for peer, room, present in choices:
            if missing <= 0:
                return
            extra = min(room, max(missing, self._find_least(book)))
            missing -= extra
            book.asks[peer] = _Ask(present + extra, now)
            self._asked.setdefault(peer, set()).add(book.account.organisation)
            self._wake(peer)

    def _list_lenders(self, book: _Book) -> tuple[tuple[str, int], ...]:
        """Return the peers with a base share and its units."""
        if book.lenders is not None:
            return book.lenders
        found = []
        account = book.account
        if self._standing.views:
            view = self._standing.views[-1]
            for peer in view.members:
                units = shares.find_share(
                    view, account.terms.burst, account.organisation, peer
                )
                if units and peer != self._identity.instance:
                    found.append((peer, units))
        book.lenders = tuple(found)
        return book.lenders

    def _find_ask_time(
        self, book: _Book, peer: str
    ) -> clock.Milliseconds | None:
        ask = book.asks.get(peer)
        if ask is not None:
            return None if ask.lease_id else ask.made_at
        lease = book.account.leases.get(peer)
        if lease is None:
            return None
        due = lease.until - lease.length * (1 - _RENEW_AFTER)
        cooldown = book.cooldowns.get(peer)
        if cooldown is not None and cooldown.is_denied:
            return max(due, cooldown.until)
        return due

    def _build_ask(
        self, name: str, peer: str, now: clock.Milliseconds
    ) -> messages.LeaseRequest | None:
        """Return the request for an ask or a renewal that is due."""
        book = self._books[name]
        book.account.advance(now)
        at = self._find_ask_time(book, peer)
        if at is None or at > now:
            if at is None and peer not in book.asks:
                self._asked[peer].discard(name)
            return None
        lease = book.account.leases.get(peer)
        ask = book.asks.get(peer)
        units = ask.units if ask else self._find_renewal(book, lease, now)
        if units <= 0 or not self._budget.take(now):
            book.asks.pop(peer, None)
            self._asked[peer].discard(name)
            return None
        lease_id = self._random.randbytes(_LEASE_ID_BYTES)
        book.asks[peer] = _Ask(units, now, lease_id)
        return messages.LeaseRequest(
            sender=self._identity.address(peer),
            lease_id=lease_id,
            organisation=name,
            units=units,
            renews=lease.lease_id if lease else b"",
            duration_ms=int(self._find_duration(book, now).value),
        )

    def _find_duration(
        self, book: _Book, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return how long a lease is of use to this node."""
        rate = book.account.terms.rate_per_second
        used = shares.WHOLE * book.meter.estimate(now) / max(rate, 1.0)
        if used * 2 < self._find_least(book):
            return self._limits.lease_duration * _TOKEN_LEASE
        return self._limits.lease_duration

    def _find_renewal(
        self, book: _Book, lease: shares.Lease, now: clock.Milliseconds
    ) -> int:
        """Return how many units of a lease are still needed."""
        others = self._find_expected(book) - lease.units
        if lease.length < self._limits.lease_duration:
            return 0
        needed = self._find_needed(book, now, _HEADROOM) - others
        return max(min(needed, lease.units), 0)

    def _grant(
        self, request: messages.LeaseRequest, duration: clock.Milliseconds
    ) -> shares.Grant | None:
        book = self._find_book(request.organisation)
        if book is None:
            return None
        now = self._time.now()
        account = book.account
        account.advance(now)
        needed = self._find_needed(book, now, _KEEP_HEADROOM)
        if account.terms.burst * account.base >= (
            _RESERVE_MIN_TOKENS * shares.WHOLE
        ):
            needed += int(account.base * _RESERVE)
        return account.lend(
            lease_id=request.lease_id,
            renews=request.renews,
            borrower=request.sender.instance,
            asked=request.units,
            keep=min(needed, account.base),
            least=self._find_least(book),
            now=now,
            duration=duration,
            # The margin covers drift, which grows with the length.
            margin=self._limits.lease_margin
            * (duration.value / self._limits.lease_duration.value),
        )


def _bounds(standing: views.Standing) -> object:
    """Return what base shares depend on, apart from their end."""
    digests = tuple(view.digest for view in standing.views)
    return digests, standing.versions, standing.settled
