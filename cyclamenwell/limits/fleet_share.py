"""Distributed rate limit of an organisation over all nodes.

The design is for organisations whose requests arrive at few nodes or in
batches, or that send many times their limit. One node for each organisation,
its divider, is chosen by rendezvous hashing and divides the limit. A fraction
of the limit is granted as shares in proportion to demand, so that most requests
need no message. The rest stays at the divider as a reserve, from which a node
that has run out of tokens takes some at once.

A share is a short lease on the clock of its holder, counted from the time of
the request. A node without a valid share uses a small fixed fraction, so that
partitioned nodes together admit little beyond the limit.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from cyclamenwell import clock
from cyclamenwell.generated import deployment

__all__ = [
    "LimitBounds",
    "OrganisationLimits",
    "Reserve",
    "ShareDivider",
    "TokenBucket",
    "group_by_divider",
]

SHARE_DURATION = clock.Milliseconds(2000)
# The divider counts a share as granted for longer than its holder uses it.
_DIVIDER_MARGIN = clock.Milliseconds(300)
# Fraction of the limit that is divided into shares, provided that an equal
# share of it holds at least `_MIN_SHARE_TOKENS`. Smaller shares would mostly be
# fractions of a token, so such a limit is served by the reserve alone.
_SHARED_FRACTION = 0.5
_MIN_SHARE_TOKENS = 1.5
# Fraction of an equal share that a node uses after its share has expired: it
# can not reach the divider, and the other nodes share the whole limit.
_EXPIRED_FRACTION = 0.5
# Fraction of an equal share that a node uses for an organisation that is new
# to it, before it can have been granted a share. Requests are spread unevenly
# over nodes, so an equal share alone would refuse many of them.
_INITIAL_FRACTION = 1.25
_INITIAL_DURATION = clock.Milliseconds(2500)
# Fraction of the tolerated excess that goes into the refill rate, and fraction
# of the remaining bound that is used as bucket capacity. What is left covers
# requests that are delayed on their way and changes of shares.
_REFILL_EXCESS_FRACTION = 0.4
_HELD_FRACTION = 0.8
# A new bucket starts with only a fraction of its capacity. Otherwise a
# restarted fleet would admit a second full burst within one window.
_INITIAL_LEVEL_FRACTION = 0.7
# Tokens from the reserve that a node keeps beyond the capacity of its bucket.
_MAX_BORROWED_TOKENS = 4.0
_DEMAND_SMOOTHING_FACTOR = 0.4
_MIN_DEMAND_PER_SECOND = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bound on the requests of an organisation that all nodes admit.

    Parameters
    ----------
    window : clock.Milliseconds
        Length of the time window to which the bound applies.
    excess : float
        Tolerated excess as a fraction of rate and burst.
    slack : float
        Tolerated requests beyond that.
    """

    window: clock.Milliseconds
    excess: float
    slack: float

    def find_refill_rate(self, organisation: deployment.Organisation) -> float:
        """Return the refill rate of all buckets together, in tokens/s."""
        return organisation.rate_per_second * (
            1 + self.excess * _REFILL_EXCESS_FRACTION
        )

    def find_capacity(self, organisation: deployment.Organisation) -> float:
        """Return the capacity of all buckets together, in tokens.

        Full buckets and the refill of one window stay below the bound.
        """
        seconds = self.window.seconds
        allowed = organisation.rate_per_second * seconds + organisation.burst
        bound = allowed * (1 + self.excess) + self.slack
        rest = bound - self.find_refill_rate(organisation) * seconds
        return max(rest * _HELD_FRACTION, 1.0)

    def find_shared_fraction(
        self, organisation: deployment.Organisation, nodes: int
    ) -> float:
        """Return the fraction of a limit that is divided into shares."""
        tokens = self.find_capacity(organisation) * _SHARED_FRACTION
        return _SHARED_FRACTION if tokens >= _MIN_SHARE_TOKENS * nodes else 0.0


class TokenBucket:
    """Token bucket whose rate and capacity are given at each refill."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._refilled_at = clock.ZERO

    def refill(
        self, now: clock.Milliseconds, rate_per_second: float, capacity: float
    ) -> float:
        """Add the tokens accrued since the last call and return the level."""
        if self._level is None:
            self._level = capacity * _INITIAL_LEVEL_FRACTION
            self._refilled_at = now
        elapsed = max((now - self._refilled_at).seconds, 0.0)
        self._refilled_at = now
        # Tokens from the reserve may raise the level above the capacity.
        filled = min(self._level + elapsed * rate_per_second, capacity)
        self._level = max(filled, min(self._level, _MAX_BORROWED_TOKENS))
        return self._level

    def add(self, tokens: float) -> None:
        """Add tokens, or remove them if the number is negative."""
        self._level = (self._level or 0.0) + tokens


class ShareDivider:
    """Divides the shared fraction of limits between the nodes that ask.

    Parameters
    ----------
    time : clock.Clock
        Clock for the expiry of shares.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._holders: dict[str, dict[str, _HeldShare]] = {}
        self._first_requests: dict[str, clock.Milliseconds] = {}

    def grant(
        self, host: str, demands: Iterable[deployment.ShareDemand]
    ) -> tuple[deployment.ShareGrant, ...]:
        """Grant shares to a node in proportion to its demand.

        The valid shares of an organisation never add up to more than 1: a node
        gets at most what the others do not hold. A divider that is new to an
        organisation does not know what its predecessor granted. For the first
        `SHARE_DURATION` it therefore only renews shares that nodes report.

        Parameters
        ----------
        host : str
            Node that asks.
        demands : iterable of deployment.ShareDemand
            Demand and present share of the node for each organisation.

        Returns
        -------
        tuple of deployment.ShareGrant
            Granted shares; organisations without one are left out.
        """
        grants = []
        for demand in demands:
            share = self._grant_one(host, demand)
            if share > 0:
                grants.append(deployment.ShareGrant(demand.organisation, share))
        return tuple(grants)

    def _grant_one(self, host: str, demand: deployment.ShareDemand) -> float:
        now = self._time.now()
        holders = self._holders.setdefault(demand.organisation, {})
        for other in [h for h, held in holders.items() if held.expiry <= now]:
            del holders[other]
        holders.pop(host, None)
        wanted = max(demand.demand_per_second, _MIN_DEMAND_PER_SECOND)
        total = wanted + sum(held.demand for held in holders.values())
        rest = 1.0 - sum(held.share for held in holders.values())
        share = max(min(wanted / total, rest), 0.0)
        first_request_at = self._first_requests.setdefault(
            demand.organisation, now
        )
        if now < first_request_at + SHARE_DURATION:
            share = min(share, demand.held_share)
        holders[host] = _HeldShare(
            wanted, share, now + SHARE_DURATION + _DIVIDER_MARGIN
        )
        return share


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldShare:
    """Share granted to one node."""

    demand: float
    share: float
    expiry: clock.Milliseconds


class _FleetLimits:
    """Base class for the parts of the limits that are held by one node.

    Parameters
    ----------
    time : clock.Clock
        Clock of the token buckets.
    bounds : LimitBounds
        Bound on the requests that all nodes admit.
    """

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        self._time = time
        self._bounds = bounds
        self._nodes = 1

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes."""
        self._nodes = max(nodes, 1)


class Reserve(_FleetLimits):
    """Parts of limits that their divider hands out as single tokens."""

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        super().__init__(time, bounds)
        self._buckets: dict[str, TokenBucket] = {}

    def take(
        self, organisation: deployment.Organisation, wanted: float
    ) -> tuple[float, clock.Milliseconds]:
        """Take up to a number of tokens.

        Parameters
        ----------
        organisation : deployment.Organisation
            Organisation with its rate and burst.
        wanted : float
            Largest number of tokens to take; at least one is tried.

        Returns
        -------
        float
            Number of tokens taken; 0 if the bucket holds less than one.
        clock.Milliseconds
            Time until the next token if none was taken, else 0.
        """
        part = 1.0 - self._bounds.find_shared_fraction(
            organisation, self._nodes
        )
        rate = self._bounds.find_refill_rate(organisation) * part
        capacity = max(self._bounds.find_capacity(organisation) * part, 1.0)
        bucket = self._buckets.setdefault(organisation.name, TokenBucket())
        level = bucket.refill(self._time.now(), rate, capacity)
        if level < 1.0:
            seconds = (1.0 - level) / max(rate, 0.01)
            return 0.0, clock.Milliseconds.from_seconds(seconds)
        taken = min(max(wanted, 1.0), float(int(level)))
        bucket.add(-taken)
        return taken, clock.ZERO


@dataclasses.dataclass(slots=True)
class _Account:
    """Token bucket, share and demand of one organisation at this node."""

    first_request_at: clock.Milliseconds
    bucket: TokenBucket = dataclasses.field(default_factory=TokenBucket)
    share: float = 0.0
    share_expiry: clock.Milliseconds = clock.ZERO
    arrivals: int = 0
    demand: float = 0.0


class OrganisationLimits(_FleetLimits):
    """Token buckets of the organisations at one node."""

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        super().__init__(time, bounds)
        self._accounts: dict[str, _Account] = {}
        self._measured_at = time.now()

    def take(self, organisation: deployment.Organisation) -> bool:
        """Count a request and take a token; return whether it is admitted.

        An organisation without a rate is not limited.
        """
        if organisation.rate_per_second <= 0:
            return True
        now = self._time.now()
        account = self._accounts.get(organisation.name)
        if account is None:
            account = self._accounts[organisation.name] = _Account(now)
        account.arrivals += 1
        part = self._find_share(account, now)
        part *= self._bounds.find_shared_fraction(organisation, self._nodes)
        rate = self._bounds.find_refill_rate(organisation) * part
        capacity = self._bounds.find_capacity(organisation) * part
        if account.bucket.refill(now, rate, capacity) < 1.0:
            return False
        account.bucket.add(-1.0)
        return True

    def add_tokens(self, organisation: str, tokens: float) -> None:
        """Add tokens taken from the reserve."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.bucket.add(tokens)

    def find_demand(self, organisation: str) -> float:
        """Return the smoothed demand at this node in requests per second."""
        account = self._accounts.get(organisation)
        return account.demand if account is not None else 0.0

    def measure_demand(self) -> tuple[deployment.ShareDemand, ...]:
        """Update the smoothed demand with the requests since the last call.

        Returns
        -------
        tuple of deployment.ShareDemand
            Demand and valid share of each organisation whose demand is not
            negligible.
        """
        now = self._time.now()
        seconds = (now - self._measured_at).seconds
        if seconds <= 0:
            return ()
        self._measured_at = now
        result = []
        for name, account in self._accounts.items():
            latest = account.arrivals / seconds
            account.arrivals = 0
            account.demand += (
                latest - account.demand
            ) * _DEMAND_SMOOTHING_FACTOR
            if account.demand >= _MIN_DEMAND_PER_SECOND / 4:
                held = account.share if account.share_expiry > now else 0.0
                result.append(
                    deployment.ShareDemand(name, account.demand, held)
                )
        return tuple(result)

    def apply_grants(
        self,
        grants: Iterable[deployment.ShareGrant],
        asked: clock.Milliseconds,
    ) -> None:
        """Put granted shares in force.

        Parameters
        ----------
        grants : iterable of deployment.ShareGrant
            Granted shares.
        asked : clock.Milliseconds
            When they were requested; they expire `SHARE_DURATION` later.
        """
        for grant in grants:
            account = self._accounts.get(grant.organisation)
            if account is not None:
                account.share = grant.share
                account.share_expiry = asked + SHARE_DURATION

    def _find_share(self, account: _Account, now: clock.Milliseconds) -> float:
        """Return the fraction of the shared limit that this node may use."""
        if account.share_expiry > now:
            return account.share
        is_new = not account.share_expiry
        if is_new and now < account.first_request_at + _INITIAL_DURATION:
            return _INITIAL_FRACTION / self._nodes
        return _EXPIRED_FRACTION / self._nodes


def group_by_divider(
    demands: Iterable[deployment.ShareDemand],
    find_divider: Callable[[str], str],
) -> dict[str, list[deployment.ShareDemand]]:
    """Group demands by the node that divides the organisation's limit."""
    groups: dict[str, list[deployment.ShareDemand]] = {}
    for demand in demands:
        host = find_divider(demand.organisation)
        groups.setdefault(host, []).append(demand)
    return groups
