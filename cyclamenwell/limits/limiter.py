"""Distributed rate limiter over the instances of one service."""

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
# Units that a borrower requests and that a lender keeps, as multiples of the
# demand at the node.
_BORROWER_HEADROOM = 1.1
_LENDER_HEADROOM = 1.05
# More units are borrowed above this fraction of the held rate, or below this
# fraction of the bucket's capacity.
_BORROW_UTILISATION = 0.8
_BORROW_LEVEL = 0.5
# Fraction of the base share that a lender keeps for a surge. A base share whose
# burst is smaller than the second value, in tokens, is too small to be divided.
_SURGE_RESERVE = 0.05
_MIN_RESERVE_TOKENS = 20
_MIN_DEMAND_PER_SECOND = 0.2  # Below, no units are kept or borrowed.
_RENEWAL_FRACTION = 0.7  # Fraction of a lease after which it is renewed.
_PLAN_INTERVAL = clock.Milliseconds(20)
# After several refusals in a row probably no peer has units to spare. Only one
# peer at a time is then asked, with exponential backoff.
_SCARCITY_REFUSALS = 6
_MAX_SCARCITY_STEPS = 6
# A lease that only serves to hold one whole token ties up far more refill than
# its borrower uses, so it is short.
_TOKEN_LEASE_FRACTION = 1 / 16
# Fraction of the held units that must be missing to justify a request.
_MIN_MISSING_FRACTION = 0.05
_PARTIAL_BACKOFF = clock.Milliseconds(2000)
_MIN_BACKOFF = clock.Milliseconds(500)
_MAX_BACKOFF = clock.Milliseconds(2000)
_MIN_RETRY_AFTER = clock.Milliseconds(50)
_MAX_RETRY_AFTER = clock.Milliseconds(1000)
# Rate limit on the lease requests of a node: 20 per second are enough for
# leases from 23 peers, each renewed every 1,400 ms.
_REQUESTS_PER_SECOND = 20.0
_REQUEST_BURST = 64.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A lease to request, or already requested, from a peer."""

    units: int
    made_at: clock.Milliseconds
    lease_id: bytes = b""  # Empty until the request is sent.


@dataclasses.dataclass(frozen=True, slots=True)
class _Backoff:
    """Backoff from a peer that lent less than it was asked for."""

    expires_at: clock.Milliseconds
    length: clock.Milliseconds
    is_refusal: bool


class _OrganisationState:
    """State of one organisation: account, demand and lease requests."""

    def __init__(
        self,
        account: shares.Account,
        lock: threading.Lock,
        now: clock.Milliseconds,
    ) -> None:
        self.account = account
        self.meter = demand.DemandMeter(now)
        self.changed = threading.Condition(lock)
        self.pending: dict[str, _PendingRequest] = {}
        self.backoffs: dict[str, _Backoff] = {}
        self.lenders: tuple[tuple[str, int], ...] | None = None
        self.next_plan_at = now
        self.refusals = 0
        self.waiting = 0


class FleetLimiter:
    """Admits requests by token bucket and leases shares between instances.

    Parameters
    ----------
    identity : identities.Identity
        Identity of this node.
    time : clock.Clock
        Clock of token buckets and leases.
    limits : settings.LimitSettings
        Durations of leases and waits.

    Notes
    -----
    The rules are in ``docs/limits.md``. One lock guards the state. Waking the
    task of a peer is the only call to other parts made while it is held. An
    organisation takes no memory here, apart from its limits, until its first
    request or lease request arrives.
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
        self._states: dict[str, _OrganisationState] = {}
        self._organisations_by_lender: dict[str, set[str]] = {}
        self._callers: dict[str, documents.CallerDocument] = {}
        self._bursts: dict[int, Mapping[str, float]] = {}
        self._version = 0
        self._bounds = views.ShareBounds(identity.instance)
        self._changed_at = time.now()
        self._request_bucket = buckets.TokenBucket(time.now())
        self._request_bucket.resize(
            _REQUESTS_PER_SECOND, _REQUEST_BURST, time.now()
        )
        self._request_bucket.add(_REQUEST_BURST)

    def attach(self, wake: Callable[[str], None]) -> None:
        """Set the function that wakes the task of a peer."""
        self._wake = wake

    def apply_document(
        self, version: int, callers: Iterable[documents.CallerDocument]
    ) -> None:
        """Put the limits from a version of the service document in force.

        Parameters
        ----------
        version : int
            Version of the document. Versions that are not newer than the
            present one are ignored.
        callers : iterable of documents.CallerDocument
            Organisations with their limits; empty if the document was removed.
        """
        with self._lock:
            if version <= self._version:
                return
            self._version = version
            self._callers = {caller.organisation: caller for caller in callers}
            self._bursts[version] = {
                name: caller.burst for name, caller in self._callers.items()
            }
            self._refresh()

    def apply_bounds(self, bounds: views.ShareBounds) -> None:
        """Bound the base shares by live views and document versions."""
        with self._lock:
            old, self._bounds = self._bounds, bounds
            stop = old.usable_until
            is_usable = stop is None or stop > self._time.now()
            if is_usable and _get_share_inputs(old) == _get_share_inputs(
                bounds
            ):
                self._extend_usability()
                return
            live = (*bounds.versions, self._version)
            self._bursts = {v: p for v, p in self._bursts.items() if v in live}
            self._refresh()

    def fits_view(self, view: views.View) -> bool:
        """Return whether the base shares in a view cover the units lent."""
        with self._lock:
            now = self._time.now()
            single_view = dataclasses.replace(
                self._bounds, views=(view,), settled=True
            )
            for name, state in self._states.items():
                state.account.advance(now)
                lent = state.account.lent
                if lent and lent > shares.find_base_share(
                    single_view, self._bursts, name
                ):
                    return False
            return True

    def take(
        self, organisation: str, longest_wait: clock.Milliseconds | None = None
    ) -> None:
        """Take one token, waiting for it for a limited time.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        longest_wait : clock.Milliseconds or None
            Longest time to wait for a token, at most `max_token_wait`; None
            for `max_token_wait`.

        Raises
        ------
        exceptions.RefusedError
            As RATE_LIMITED if no token is available in that time.
        """
        with self._lock:
            state = self._find_state(organisation)
            if state is not None and self._take(state, longest_wait):
                return
            wait = None if state is None else state.account.bucket.find_wait()
        metrics.count_rate_refusal(organisation if state else "unknown")
        retry_after = _MAX_RETRY_AFTER
        if wait is not None:
            retry_after = max(_MIN_RETRY_AFTER, min(wait, _MAX_RETRY_AFTER))
        raise exceptions.RefusedError(
            enumerations.ErrorKind.RATE_LIMITED,
            f"organisation {organisation} is over its rate",
            retry_after=retry_after,
        )

    def refund(self, organisation: str) -> None:
        """Return the token of a request that did not run."""
        with self._lock:
            state = self._states.get(organisation)
            if state is None:
                return
            state.account.advance(self._time.now())
            state.account.bucket.refund()
            if state.waiting:
                state.changed.notify()

    def grant(self, request: messages.LeaseRequest) -> messages.LeaseReply:
        """Grant or refuse a peer's lease request.

        Returns
        -------
        messages.LeaseReply
            The lease; 0 units if the request is refused.
        """
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

    def list_due_requests(self, peer: str) -> tuple[messages.LeaseRequest, ...]:
        """Return the lease requests that are due to be sent to a peer."""
        with self._lock:
            now = self._time.now()
            requests = []
            for name in sorted(self._organisations_by_lender.get(peer, ())):
                request = self._build_request(name, peer, now)
                if request is not None:
                    requests.append(request)
            return tuple(requests)

    def find_due(self, peer: str) -> clock.Milliseconds | None:
        """Return when a lease request to a peer is due, None if none is."""
        with self._lock:
            due = None
            for name in self._organisations_by_lender.get(peer, ()):
                at = self._find_request_time(self._states[name], peer)
                if at is not None and (due is None or at < due):
                    due = at
            return due

    def take_lease_reply(
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
            Instance that lends.
        request : messages.LeaseRequest
            The request that was sent.
        reply : messages.LeaseReply or None
            The reply, None if none arrived.
        asked_at : clock.Milliseconds
            When the request was sent; the lease runs from then.
        """
        with self._lock:
            now = self._time.now()
            state = self._states[request.organisation]
            pending = state.pending.get(peer)
            if pending is None or pending.lease_id != request.lease_id:
                return  # The reply, or its absence, was already processed.
            del state.pending[peer]
            granted = 0
            if reply is not None and reply.lease_id == request.lease_id:
                expires_at = asked_at + clock.Milliseconds(reply.duration_ms)
                lease = shares.Lease(
                    reply.lease_id,
                    reply.units,
                    expires_at,
                    expires_at - asked_at,
                )
                if state.account.borrow(peer, lease, reply.tokens, now):
                    granted = reply.units
            state.refusals = 0 if granted else state.refusals + 1
            if granted < request.units:
                length = _PARTIAL_BACKOFF if granted else _MIN_BACKOFF
                last = state.backoffs.get(peer)
                if reply is not None and not granted and last is not None:
                    length = min(last.length * 2, _MAX_BACKOFF)
                is_refusal = reply is not None and not granted
                state.backoffs[peer] = _Backoff(
                    now + length, length, is_refusal
                )
            else:
                state.backoffs.pop(peer, None)
            if peer not in state.account.leases:
                self._organisations_by_lender.get(peer, set()).discard(
                    request.organisation
                )
            if state.waiting:
                self._plan_borrowing(state, now)
                state.changed.notify_all()

    def report_units(self) -> Mapping[str, tuple[int, int, int]]:
        """Return units held, borrowed and lent by organisation."""
        with self._lock:
            now = self._time.now()
            for state in self._states.values():
                state.account.advance(now)
            return {
                name: (
                    state.account.held,
                    state.account.borrowed,
                    state.account.lent,
                )
                for name, state in self._states.items()
            }

    def _find_state(self, organisation: str) -> _OrganisationState | None:
        state = self._states.get(organisation)
        if state is not None:
            return state
        if organisation not in self._callers:
            return None
        # The bucket counts as refilling since the limits last changed.
        since = self._changed_at
        account = shares.Account(
            organisation, since, self._find_limits(organisation)
        )
        state = _OrganisationState(account, self._lock, self._time.now())
        self._states[organisation] = state
        return state

    def _find_limits(self, organisation: str) -> shares.AccountLimits:
        caller = self._callers.get(organisation)
        if caller is None:
            return shares.AccountLimits()
        return shares.AccountLimits(
            rate_per_second=caller.rate_per_second,
            burst=caller.burst,
            base=shares.find_base_share(
                self._bounds, self._bursts, organisation
            ),
            usable_until=self._bounds.usable_until,
        )

    def _refresh(self) -> None:
        """Put changed limits in force for all organisations."""
        now = self._time.now()
        self._changed_at = now
        for name, state in self._states.items():
            state.account.change_limits(now, self._find_limits(name))
            state.lenders = None

    def _extend_usability(self) -> None:
        """Extend the time for which the base shares may be used."""
        now = self._time.now()
        stop = self._bounds.usable_until
        for state in self._states.values():
            limits = dataclasses.replace(
                state.account.limits, usable_until=stop
            )
            state.account.change_limits(now, limits)

    def _take(
        self, state: _OrganisationState, longest_wait: clock.Milliseconds | None
    ) -> bool:
        now = self._time.now()
        state.account.advance(now)
        state.meter.add(now)
        taken = state.account.bucket.take(now)
        self._plan_borrowing(state, now)
        if taken:
            return True
        return self._wait_for_token(state, longest_wait)

    def _wait_for_token(
        self, state: _OrganisationState, longest_wait: clock.Milliseconds | None
    ) -> bool:
        """Wait while a lease request is pending or a token is due in time."""
        longest = self._limits.max_token_wait
        if longest_wait is not None:
            longest = min(longest, longest_wait)
        end = self._time.now() + longest
        state.waiting += 1
        try:
            while True:
                now = self._time.now()
                state.account.advance(now)
                if state.account.bucket.take(now):
                    return True
                left = end - now
                wait = state.account.bucket.find_wait()
                in_time = wait is not None and wait <= left
                if left <= clock.ZERO or not (in_time or state.pending):
                    return False
                pause = min(wait, left) if in_time else left
                state.changed.wait(pause.seconds)
        finally:
            state.waiting -= 1

    def _find_min_units(self, state: _OrganisationState) -> int:
        """Return the units that hold a whole token."""
        burst = state.account.limits.burst
        return min(
            math.ceil(shares.LIMIT_UNITS / max(burst, 1.0)), shares.LIMIT_UNITS
        )

    def _find_needed_units(
        self,
        state: _OrganisationState,
        now: clock.Milliseconds,
        headroom: float,
    ) -> int:
        """Return the units that cover the demand at this node."""
        rate = state.account.limits.rate_per_second
        arrivals = state.meter.estimate(now)
        if rate <= 0 or arrivals < _MIN_DEMAND_PER_SECOND:
            return 0
        units = math.ceil(shares.LIMIT_UNITS * arrivals * headroom / rate)
        return min(max(units, self._find_min_units(state)), shares.LIMIT_UNITS)

    def _plan_borrowing(
        self, state: _OrganisationState, now: clock.Milliseconds
    ) -> None:
        """Request units from peers if more are needed."""
        if now < state.next_plan_at:
            return
        steps = min(
            max(state.refusals - _SCARCITY_REFUSALS, 0), _MAX_SCARCITY_STEPS
        )
        state.next_plan_at = now + _PLAN_INTERVAL * 2**steps
        account = state.account
        held = account.held
        needed = self._find_needed_units(state, now, _BORROWER_HEADROOM)
        bucket = account.bucket
        arrivals = state.meter.estimate(now)
        is_low = (
            bucket.level < bucket.capacity * _BORROW_LEVEL
            or bucket.capacity < 1.0
        )
        if (
            arrivals <= _BORROW_UTILISATION * bucket.rate_per_second
            and not is_low
        ):
            return
        if bucket.level < 1.0:
            needed = max(needed, held + self._find_min_units(state))
        missing = min(needed, shares.LIMIT_UNITS) - self._find_expected_units(
            state
        )
        if missing > (0 if is_low else held * _MIN_MISSING_FRACTION):
            self._request_units(state, missing, now)

    def _find_expected_units(self, state: _OrganisationState) -> int:
        """Return the units held if all pending requests are granted."""
        expected = state.account.held
        for peer, pending in state.pending.items():
            lease = state.account.leases.get(peer)
            expected += pending.units - (lease.units if lease else 0)
        return expected

    def _request_units(
        self, state: _OrganisationState, missing: int, now: clock.Milliseconds
    ) -> None:
        """Request the missing units from peers that may have them."""
        candidates = []
        for peer, units in self._list_lenders(state):
            lease = state.account.leases.get(peer)
            available = units - (lease.units if lease else 0)
            backoff = state.backoffs.get(peer)
            is_backing_off = backoff is not None and now < backoff.expires_at
            if (
                available > 0
                and peer not in state.pending
                and not is_backing_off
            ):
                candidates.append(
                    (peer, available, lease.units if lease else 0)
                )
        self._random.shuffle(candidates)
        if state.refusals >= _SCARCITY_REFUSALS:
            candidates = candidates[:1]
        for peer, available, current in candidates:
            if missing <= 0:
                return
            extra = min(available, max(missing, self._find_min_units(state)))
            missing -= extra
            state.pending[peer] = _PendingRequest(current + extra, now)
            self._organisations_by_lender.setdefault(peer, set()).add(
                state.account.organisation
            )
            self._wake(peer)

    def _list_lenders(
        self, state: _OrganisationState
    ) -> tuple[tuple[str, int], ...]:
        """Return the peers that have a base share, each with its units."""
        if state.lenders is not None:
            return state.lenders
        found = []
        account = state.account
        if self._bounds.views:
            view = self._bounds.views[-1]
            for peer in view.members:
                units = shares.find_view_share(
                    view, account.limits.burst, account.organisation, peer
                )
                if units and peer != self._identity.instance:
                    found.append((peer, units))
        state.lenders = tuple(found)
        return state.lenders

    def _find_request_time(
        self, state: _OrganisationState, peer: str
    ) -> clock.Milliseconds | None:
        pending = state.pending.get(peer)
        if pending is not None:
            return None if pending.lease_id else pending.made_at
        lease = state.account.leases.get(peer)
        if lease is None:
            return None
        due = lease.expires_at - lease.length * (1 - _RENEWAL_FRACTION)
        backoff = state.backoffs.get(peer)
        if backoff is not None and backoff.is_refusal:
            return max(due, backoff.expires_at)
        return due

    def _build_request(
        self, name: str, peer: str, now: clock.Milliseconds
    ) -> messages.LeaseRequest | None:
        """Return the request for a new lease or a renewal, None if not due."""
        state = self._states[name]
        state.account.advance(now)
        at = self._find_request_time(state, peer)
        if at is None or at > now:
            if at is None and peer not in state.pending:
                self._organisations_by_lender[peer].discard(name)
            return None
        lease = state.account.leases.get(peer)
        pending = state.pending.get(peer)
        units = (
            pending.units
            if pending
            else self._find_renewal_units(state, lease, now)
        )
        if units <= 0 or not self._request_bucket.take(now):
            state.pending.pop(peer, None)
            self._organisations_by_lender[peer].discard(name)
            return None
        lease_id = self._random.randbytes(_LEASE_ID_BYTES)
        state.pending[peer] = _PendingRequest(units, now, lease_id)
        return messages.LeaseRequest(
            sender=self._identity.build_sender(peer),
            lease_id=lease_id,
            organisation=name,
            units=units,
            renews=lease.lease_id if lease else b"",
            duration_ms=int(self._find_duration(state, now).value),
        )

    def _find_duration(
        self, state: _OrganisationState, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the lease duration to request, short for a single token."""
        rate = state.account.limits.rate_per_second
        used = shares.LIMIT_UNITS * state.meter.estimate(now) / max(rate, 1.0)
        if used * 2 < self._find_min_units(state):
            return self._limits.lease_duration * _TOKEN_LEASE_FRACTION
        return self._limits.lease_duration

    def _find_renewal_units(
        self,
        state: _OrganisationState,
        lease: shares.Lease,
        now: clock.Milliseconds,
    ) -> int:
        """Return how many units of a lease are still needed."""
        others = self._find_expected_units(state) - lease.units
        if lease.length < self._limits.lease_duration:
            return 0
        needed = (
            self._find_needed_units(state, now, _BORROWER_HEADROOM) - others
        )
        return max(min(needed, lease.units), 0)

    def _grant(
        self, request: messages.LeaseRequest, duration: clock.Milliseconds
    ) -> shares.Grant | None:
        state = self._find_state(request.organisation)
        if state is None:
            return None
        now = self._time.now()
        account = state.account
        account.advance(now)
        needed = self._find_needed_units(state, now, _LENDER_HEADROOM)
        if account.limits.burst * account.base >= (
            _MIN_RESERVE_TOKENS * shares.LIMIT_UNITS
        ):
            needed += int(account.base * _SURGE_RESERVE)
        return account.lend(
            lease_id=request.lease_id,
            renews=request.renews,
            borrower=request.sender.instance,
            asked=request.units,
            reserved=min(needed, account.base),
            min_units=self._find_min_units(state),
            now=now,
            duration=duration,
            # The margin covers clock drift, which grows with the duration.
            margin=self._limits.lease_margin
            * (duration.value / self._limits.lease_duration.value),
        )


def _get_share_inputs(bounds: views.ShareBounds) -> object:
    """Return what base shares depend on, apart from when they expire."""
    digests = tuple(view.digest for view in bounds.views)
    return digests, bounds.versions, bounds.settled
