"""Shares of an organisation's limit that one node holds."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools

from cyclamenwell import clock
from cyclamenwell.limits import bucket as buckets
from cyclamenwell.membership import rendezvous
from cyclamenwell.membership import views

__all__ = [
    "WHOLE",
    "Account",
    "Grant",
    "Lease",
    "Terms",
    "find_base",
    "find_share",
]

WHOLE = 1_000_000  # Units of the whole limit of an organisation.

_MIN_CAP_TOKENS = 2  # Below, equal shares can not hold a whole token.
_KEPT_PART = 0.75  # Part of a loan that a renewal keeps at least.
_CACHED_HOLDERS = 4096
_TOKEN_TOLERANCE = 1e-6  # Rounding of floating point numbers.


@functools.lru_cache(maxsize=_CACHED_HOLDERS)
def _choose_holders(
    members: tuple[str, ...], organisation: str, count: int
) -> frozenset[str]:
    """Choose the instances that share a small burst, by rendezvous hash."""
    return frozenset(rendezvous.choose_members(organisation, members, count))


def find_share(
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
        Units. The sum over the members is at most `WHOLE`.
    """
    if instance not in view.members:
        return 0
    count = len(view.members)
    if burst / count >= _MIN_CAP_TOKENS:
        return WHOLE // count
    holders = max(int(burst / _MIN_CAP_TOKENS), 1)
    if instance in _choose_holders(view.members, organisation, holders):
        return WHOLE // holders
    return 0


def find_base(
    standing: views.Standing,
    plans: Mapping[int, Mapping[str, float]],
    organisation: str,
) -> int:
    """Return the base share of this node.

    Parameters
    ----------
    standing : views.Standing
        Live views and document versions of this node.
    plans : Mapping of int to Mapping of str to float
        Burst of each organisation by document version.
    organisation : str
        Name of the organisation.

    Returns
    -------
    int
        Smallest share over all live views and versions, in units. A version
        that does not name the organisation gives it to nobody and so does not
        bound the others.
    """
    if not standing.settled:
        return 0
    shares = [
        find_share(
            view,
            plans[version][organisation],
            organisation,
            standing.instance,
        )
        for version in standing.versions
        if organisation in plans.get(version, {})
        for view in standing.views
    ]
    return min(shares, default=0)


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What an account is computed from.

    Parameters
    ----------
    rate_per_second, burst : float
        Limits of the organisation over all instances.
    base : int
        Base share of this node in units.
    usable_until : clock.Milliseconds or None
        When the base share stops for want of contact, None for never.
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
        Identifier.
    units : int
        Units.
    until : clock.Milliseconds
        When this node drops them, on its own clock.
    length : clock.Milliseconds
        Length of the lease.
    """

    lease_id: bytes
    units: int
    until: clock.Milliseconds
    length: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Units lent to a peer.

    Parameters
    ----------
    loan_id : bytes
        Identifier of the first lease of a row of renewals.
    borrower : str
        Instance that holds them.
    units : int
        Units.
    tokens : float
        Tokens that were moved with them.
    until : clock.Milliseconds
        When this node takes them back, on its own clock.
    """

    loan_id: bytes
    borrower: str
    units: int
    tokens: float
    until: clock.Milliseconds


class Account:
    """Units and tokens of one organisation at one node.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    since : clock.Milliseconds
        Time from which the terms are in force.
    terms : Terms
        First terms.

    Notes
    -----
    Own units are the base share less what is lent. Every change of units is
    applied at its own time, also when it is noticed late, so that a node that
    was paused refills its bucket only with what it held. The owner holds the
    lock.
    """

    def __init__(
        self, organisation: str, since: clock.Milliseconds, terms: Terms
    ) -> None:
        self.organisation = organisation
        self.bucket = buckets.TokenBucket(since)
        self.leases: dict[str, Lease] = {}
        self.terms = terms
        self._grants: dict[bytes, Grant] = {}
        self._wants: dict[str, tuple[int, clock.Milliseconds]] = {}
        self._resize(since)

    @property
    def base(self) -> int:
        """Base share that is in use."""
        stop = self.terms.usable_until
        if stop is not None and self.bucket.filled_at >= stop:
            return 0
        return self.terms.base

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
        """Units that this node uses."""
        return max(self.base - self.lent, 0) + self.borrowed

    def advance(self, now: clock.Milliseconds) -> None:
        """Apply all that has ended up to now, each at its own time."""
        if self._next_at is not None and self._next_at <= now:
            for at in self._list_ends(now):
                self.bucket.refill(at)
                self._drop_ended(at)
                self._resize(at)
        self.bucket.refill(now)

    def change_terms(self, now: clock.Milliseconds, terms: Terms) -> None:
        """Put new terms in force; the level never rises with them."""
        self.advance(now)
        self.terms = terms
        self._resize(now)

    def lend(
        self,
        lease_id: bytes,
        renews: bytes,
        borrower: str,
        asked: int,
        keep: int,
        least: int,
        now: clock.Milliseconds,
        duration: clock.Milliseconds,
        margin: clock.Milliseconds,
    ) -> Grant | None:
        """Lend units of the base share.

        Parameters
        ----------
        lease_id : bytes
            Identifier; a repeated request gets the first answer.
        renews : bytes
            Lease that this one replaces, or empty.
        borrower : str
            Instance that asks.
        asked : int
            Units asked for.
        keep : int
            Units of the base share that this node needs itself.
        least : int
            Units that hold a whole token; fewer are of no use.
        now, duration, margin : clock.Milliseconds
            Present time, length of the lease, and time beyond it.

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
        present = self._list_loans().get(loan_id, 0)
        free = self.base - self.lent + present
        part = self._find_part(borrower, asked, keep, present)
        if self.base - keep >= least:
            part = max(part, least)
        self._wants[borrower] = (asked, now + duration)
        units = min(asked, free, part)
        if units <= 0:
            return None
        moved = max(units - present, 0)
        held = self.held
        tokens = self.bucket.level * moved / held if moved else 0.0
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
            Whether the lease still runs.
        """
        self.advance(now)
        if lease.until <= now or lease.units <= 0:
            return False
        self.leases[lender] = lease
        self._resize(now)
        self.bucket.add(tokens)
        return True

    def _find_part(
        self, borrower: str, asked: int, keep: int, present: int
    ) -> int:
        """Return how much of the base share a borrower may have.

        Notes
        -----
        What several borrowers want is divided in proportion. A renewal gives
        up only part of its units at a time, because those who were refused
        ask again only after a while, and the units lie idle until then.
        """
        lendable = max(self.base - keep, 0)
        room = max(lendable - self.lent + present, 0)
        unmet = self._find_unmet(borrower)
        if not unmet:
            return room
        if not present:
            return room * asked // (asked + unmet)
        total = asked + sum(
            units
            for name, (units, _) in self._wants.items()
            if name != borrower
        )
        kept = min(room, int(present * _KEPT_PART))
        return max(lendable * asked // total, kept)

    def _find_unmet(self, borrower: str) -> int:
        """Return the units that others asked for and did not get."""
        got: dict[str, int] = {}
        for grant in self._grants.values():
            units = got.get(grant.borrower, 0)
            got[grant.borrower] = max(units, grant.units)
        return sum(
            max(units - got.get(name, 0), 0)
            for name, (units, _) in self._wants.items()
            if name != borrower
        )

    def _list_loans(self) -> dict[bytes, int]:
        """Return the units out for each row of renewals.

        Notes
        -----
        The reply to a renewal may be lost, so the borrower may hold any grant
        of the row that has not ended.
        """
        loans: dict[bytes, int] = {}
        for grant in self._grants.values():
            units = loans.get(grant.loan_id, 0)
            loans[grant.loan_id] = max(units, grant.units)
        return loans

    def _list_ends(self, now: clock.Milliseconds) -> list[clock.Milliseconds]:
        ends = {lease.until for lease in self.leases.values()}
        ends.update(grant.until for grant in self._grants.values())
        if self.terms.usable_until is not None:
            ends.add(self.terms.usable_until)
        return sorted(end for end in ends if self.bucket.filled_at < end <= now)

    def _drop_ended(self, now: clock.Milliseconds) -> None:
        self.leases = {
            lender: lease
            for lender, lease in self.leases.items()
            if lease.until > now
        }
        self._grants = {
            lease_id: grant
            for lease_id, grant in self._grants.items()
            if grant.until > now
        }
        self._wants = {
            borrower: want
            for borrower, want in self._wants.items()
            if want[1] > now
        }

    def _resize(self, now: clock.Milliseconds) -> None:
        """Fit the bucket to the units held and find the next change."""
        held = self.held
        part = held / WHOLE
        self.bucket.resize(
            self.terms.rate_per_second * part, self.terms.burst * part, now
        )
        ends = [lease.until for lease in self.leases.values()]
        ends += [grant.until for grant in self._grants.values()]
        stop = self.terms.usable_until
        if stop is not None and stop > now:
            ends.append(stop)
        self._next_at = min(ends, default=None)
        self._check(held)

    def _check(self, held: int) -> None:
        """Assert the invariants of the account."""
        assert 0 <= self.terms.base <= WHOLE, f"base {self.terms.base}"
        assert held >= 0, f"holds {held} units"
        own = held - self.borrowed
        assert own <= self.base, f"uses {own} of {self.base} units"
        assert self.bucket.level >= -_TOKEN_TOLERANCE, "level below zero"
        assert self.bucket.level <= self.bucket.cap + _TOKEN_TOLERANCE, (
            "level above cap"
        )
