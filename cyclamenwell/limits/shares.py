"""Shares of an organisation's limit that one node holds, lends and borrows."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools

from cyclamenwell import clock
from cyclamenwell.limits import bucket as buckets
from cyclamenwell.membership import rendezvous
from cyclamenwell.membership import views

__all__ = [
    "LIMIT_UNITS",
    "Account",
    "AccountLimits",
    "Grant",
    "Lease",
    "find_base_share",
    "find_view_share",
]

LIMIT_UNITS = (
    1_000_000  # Units that make up the whole limit of an organisation.
)

# With a smaller capacity for each instance, equal shares can not hold a whole
# token, so fewer instances share the burst.
_MIN_CAP_TOKENS = 2
_KEPT_FRACTION = 0.75  # Least fraction of a loan that a renewal keeps.
_CACHED_CHOICES = 4096
_LEVEL_TOLERANCE = 1e-6  # Tokens; covers floating-point rounding.


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def _choose_share_holders(
    members: tuple[str, ...], organisation: str, count: int
) -> frozenset[str]:
    """Choose the instances that share a small burst by rendezvous hashing."""
    return frozenset(rendezvous.choose_members(organisation, members, count))


def find_view_share(
    view: views.View, burst: float, organisation: str, instance: str
) -> int:
    """Return the base share of an instance in one view.

    Parameters
    ----------
    view : views.View
        Membership of the service.
    burst : float
        Burst of the organisation over all instances.
    organisation : str
        Name of the organisation.
    instance : str
        Name of the instance.

    Returns
    -------
    int
        Share in units. The sum over the members is at most `LIMIT_UNITS`.
    """
    if instance not in view.members:
        return 0
    count = len(view.members)
    if burst / count >= _MIN_CAP_TOKENS:
        return LIMIT_UNITS // count
    holders = max(int(burst / _MIN_CAP_TOKENS), 1)
    if instance in _choose_share_holders(view.members, organisation, holders):
        return LIMIT_UNITS // holders
    return 0


def find_base_share(
    bounds: views.ShareBounds,
    bursts: Mapping[int, Mapping[str, float]],
    organisation: str,
) -> int:
    """Return the base share of this node.

    Parameters
    ----------
    bounds : views.ShareBounds
        Live views and document versions of this node.
    bursts : Mapping of int to Mapping of str to float
        Burst of each organisation by document version.
    organisation : str
        Name of the organisation.

    Returns
    -------
    int
        Smallest share over all live views and versions, in units. A version
        that does not name the organisation grants no share of it to any node,
        so it does not bound the others.
    """
    if not bounds.settled:
        return 0
    shares = [
        find_view_share(
            view,
            bursts[version][organisation],
            organisation,
            bounds.instance,
        )
        for version in bounds.versions
        if organisation in bursts.get(version, {})
        for view in bounds.views
    ]
    return min(shares, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimits:
    """Limits from which an account is computed.

    Parameters
    ----------
    rate_per_second, burst : float
        Limits of the organisation over all instances.
    base : int
        Base share of this node in units.
    usable_until : clock.Milliseconds or None
        When the base share expires unless contact with the peers is renewed,
        None for never.
    """

    rate_per_second: float = 0.0
    burst: float = 0.0
    base: int = 0
    usable_until: clock.Milliseconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Units borrowed from a peer.

    Parameters
    ----------
    lease_id : bytes
        Identifier of the lease.
    units : int
        Number of units borrowed.
    expires_at : clock.Milliseconds
        When this node stops using them, on its own clock.
    length : clock.Milliseconds
        Duration of the lease.
    """

    lease_id: bytes
    units: int
    expires_at: clock.Milliseconds
    length: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Units lent to a peer.

    Parameters
    ----------
    loan_id : bytes
        Identifier of the first lease in a chain of renewals.
    borrower : str
        Instance that holds the units.
    units : int
        Number of units lent.
    tokens : float
        Tokens transferred with them.
    expires_at : clock.Milliseconds
        When this node uses the units again, on its own clock.
    """

    loan_id: bytes
    borrower: str
    units: int
    tokens: float
    expires_at: clock.Milliseconds


class Account:
    """Units and token bucket of one organisation at one node.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    since : clock.Milliseconds
        Time from which the limits are in force.
    limits : AccountLimits
        Initial limits.

    Notes
    -----
    The own units are the base share minus the units lent. Each expiry takes
    effect at its own time even if it is processed late, so that a process that
    was paused refills its bucket only at the rates of the units that it held.
    The class is not thread-safe; the owner holds a lock.
    """

    def __init__(
        self,
        organisation: str,
        since: clock.Milliseconds,
        limits: AccountLimits,
    ) -> None:
        self.organisation = organisation
        self.bucket = buckets.TokenBucket(since)
        self.leases: dict[str, Lease] = {}
        self.limits = limits
        self._grants: dict[bytes, Grant] = {}
        self._requested: dict[str, tuple[int, clock.Milliseconds]] = {}
        self._resize(since)

    @property
    def base(self) -> int:
        """Base share in units, 0 after it has expired."""
        stop = self.limits.usable_until
        if stop is not None and self.bucket.refilled_at >= stop:
            return 0
        return self.limits.base

    @property
    def lent(self) -> int:
        """Units lent to peers."""
        return sum(self._list_loans().values())

    @property
    def borrowed(self) -> int:
        """Units borrowed from peers."""
        return sum(lease.units for lease in self.leases.values())

    @property
    def held(self) -> int:
        """Units that this node may use: own units and borrowed ones."""
        return max(self.base - self.lent, 0) + self.borrowed

    def advance(self, now: clock.Milliseconds) -> None:
        """Refill the bucket and apply all expiries, each at its own time."""
        if self._next_expiry_at is not None and self._next_expiry_at <= now:
            for at in self._list_expiries(now):
                self.bucket.refill(at)
                self._drop_expired(at)
                self._resize(at)
        self.bucket.refill(now)

    def change_limits(
        self, now: clock.Milliseconds, limits: AccountLimits
    ) -> None:
        """Put new limits in force; the change never raises the level."""
        self.advance(now)
        self.limits = limits
        self._resize(now)

    def lend(
        self,
        lease_id: bytes,
        renews: bytes,
        borrower: str,
        asked: int,
        reserved: int,
        min_units: int,
        now: clock.Milliseconds,
        duration: clock.Milliseconds,
        margin: clock.Milliseconds,
    ) -> Grant | None:
        """Lend units of the base share.

        Parameters
        ----------
        lease_id : bytes
            Identifier of the lease. A repeated request gets the same grant.
        renews : bytes
            Identifier of the lease that this one replaces, or empty.
        borrower : str
            Instance that asks.
        asked : int
            Units requested.
        reserved : int
            Units of the base share that this node needs itself.
        min_units : int
            Units that hold a whole token; fewer are of no use.
        now : clock.Milliseconds
            Current time.
        duration : clock.Milliseconds
            Duration of the lease for the borrower.
        margin : clock.Milliseconds
            Additional time for which the lender counts the units as lent.

        Returns
        -------
        Grant or None
            The grant, None if nothing can be lent.
        """
        self.advance(now)
        if lease_id in self._grants:
            return self._grants[lease_id]
        replaced = self._grants.get(renews)
        loan_id = replaced.loan_id if replaced else lease_id
        current = self._list_loans().get(loan_id, 0)
        free = self.base - self.lent + current
        part = self._find_lendable_units(borrower, asked, reserved, current)
        if self.base - reserved >= min_units:
            part = max(part, min_units)
        self._requested[borrower] = (asked, now + duration)
        units = min(asked, free, part)
        if units <= 0:
            return None
        added = max(units - current, 0)
        held = self.held
        tokens = self.bucket.level * added / held if added else 0.0
        grant = Grant(loan_id, borrower, units, tokens, now + duration + margin)
        self._grants[lease_id] = grant
        self.bucket.level -= tokens
        self._resize(now)
        return grant

    def borrow(
        self, lender: str, lease: Lease, tokens: float, now: clock.Milliseconds
    ) -> bool:
        """Add borrowed units in place of an earlier lease of the lender.

        Returns
        -------
        bool
            Whether the lease was taken; False if it holds no units or has
            already expired.
        """
        self.advance(now)
        if lease.expires_at <= now or lease.units <= 0:
            return False
        self.leases[lender] = lease
        self._resize(now)
        self.bucket.add(tokens)
        return True

    def _find_lendable_units(
        self, borrower: str, asked: int, reserved: int, current: int
    ) -> int:
        """Return how many units of the base share a borrower may have.

        Notes
        -----
        Units are divided in proportion to what the borrowers request. Each
        renewal gives up only a fraction of its units, because borrowers that
        were refused ask again only after a backoff and the units would be idle
        until then.
        """
        lendable = max(self.base - reserved, 0)
        available = max(lendable - self.lent + current, 0)
        unmet = self._find_unmet_units(borrower)
        if not unmet:
            return available
        if not current:
            return available * asked // (asked + unmet)
        total = asked + sum(
            units
            for name, (units, _) in self._requested.items()
            if name != borrower
        )
        kept = min(available, int(current * _KEPT_FRACTION))
        return max(lendable * asked // total, kept)

    def _find_unmet_units(self, borrower: str) -> int:
        """Return the units that other borrowers requested but did not get."""
        granted: dict[str, int] = {}
        for grant in self._grants.values():
            units = granted.get(grant.borrower, 0)
            granted[grant.borrower] = max(units, grant.units)
        return sum(
            max(units - granted.get(name, 0), 0)
            for name, (units, _) in self._requested.items()
            if name != borrower
        )

    def _list_loans(self) -> dict[bytes, int]:
        """Return the units lent in each chain of renewals.

        Notes
        -----
        The reply to a renewal may be lost, so the borrower may hold any
        unexpired grant of the chain. The largest one counts.
        """
        loans: dict[bytes, int] = {}
        for grant in self._grants.values():
            units = loans.get(grant.loan_id, 0)
            loans[grant.loan_id] = max(units, grant.units)
        return loans

    def _list_expiries(
        self, now: clock.Milliseconds
    ) -> list[clock.Milliseconds]:
        expiries = {lease.expires_at for lease in self.leases.values()}
        expiries.update(grant.expires_at for grant in self._grants.values())
        if self.limits.usable_until is not None:
            expiries.add(self.limits.usable_until)
        return sorted(
            end for end in expiries if self.bucket.refilled_at < end <= now
        )

    def _drop_expired(self, now: clock.Milliseconds) -> None:
        self.leases = {
            lender: lease
            for lender, lease in self.leases.items()
            if lease.expires_at > now
        }
        self._grants = {
            lease_id: grant
            for lease_id, grant in self._grants.items()
            if grant.expires_at > now
        }
        self._requested = {
            borrower: want
            for borrower, want in self._requested.items()
            if want[1] > now
        }

    def _resize(self, now: clock.Milliseconds) -> None:
        """Fit the bucket to the units held and find the next expiry."""
        held = self.held
        part = held / LIMIT_UNITS
        self.bucket.resize(
            self.limits.rate_per_second * part,
            self.limits.burst * part,
            now,
        )
        expiries = [lease.expires_at for lease in self.leases.values()]
        expiries += [grant.expires_at for grant in self._grants.values()]
        stop = self.limits.usable_until
        if stop is not None and stop > now:
            expiries.append(stop)
        self._next_expiry_at = min(expiries, default=None)
        self._check(held)

    def _check(self, held: int) -> None:
        """Assert the invariants of the account."""
        assert 0 <= self.limits.base <= LIMIT_UNITS, (
            f"base share out of range: {self.limits.base} units"
        )
        assert held >= 0, f"negative share: {held} units"
        own = held - self.borrowed
        assert own <= self.base, f"uses {own} units, base share is {self.base}"
        assert self.bucket.level >= -_LEVEL_TOLERANCE, "level below zero"
        assert self.bucket.level <= self.bucket.capacity + _LEVEL_TOLERANCE, (
            "level above capacity"
        )
