"""Rate and burst of an organisation over all nodes.

The load that this answers: an organisation whose requests enter at few nodes or
in clumps, or that sends many times its limit. Each organisation has one node,
chosen by rendezvous hash, that divides the limit. A part of the limit goes out
as shares by demand, so that most requests need no message; the rest stays there
as a reserve, from which a node that has run out of tokens takes some at once.
A share holds for a short time on the clock of its holder, counted from when it
asked. A node without one uses a small fixed part, so that nodes out of touch do
not add up to much.
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
# The divider counts a share for longer than its holder uses it.
_DIVIDER_MARGIN = clock.Milliseconds(300)
# Part of the limit that is divided into shares, if an equal share of it holds
# so many tokens. Smaller shares would mostly be fractions of a token, so such
# a limit is given out by the reserve alone.
_SHARED_PART = 0.5
_MIN_SHARE_TOKENS = 1.5
# Part of an equal share that a node uses whose share has run out: it is out of
# touch, and the others have divided the whole limit.
_EXPIRED_PART = 0.5
# The same for a node that has not had the time to be granted a share. Callers
# are spread unevenly, so an equal share alone would refuse many of them.
_FIRST_PART = 1.25
_FIRST_DURATION = clock.Milliseconds(2500)
# Part of the tolerated excess that the refill rate uses, and part of what then
# remains of the bound that buckets hold. The rest covers requests that are
# late on their way and changes of shares.
_RATE_EXCESS = 0.4
_HELD_PART = 0.8
# A bucket begins with a part of its burst: a restarted fleet would otherwise
# pass a second whole burst within one window.
_FIRST_LEVEL = 0.7
# Tokens out of the reserve that a node keeps beyond its own capacity.
_MAX_BORROWED = 4.0
_DEMAND_WEIGHT = 0.4
_MIN_DEMAND = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LimitBounds:
    """What the fleet may pass of an organisation's requests in a window.

    Parameters
    ----------
    window : clock.Milliseconds
        Length of the window.
    excess : float
        Tolerated part above rate and burst.
    slack : float
        Tolerated requests beyond that.
    """

    window: clock.Milliseconds
    excess: float
    slack: float

    def find_refill(self, organisation: deployment.Organisation) -> float:
        """Return the tokens a second of all buckets together."""
        return organisation.rate_per_second * (1 + self.excess * _RATE_EXCESS)

    def find_capacity(self, organisation: deployment.Organisation) -> float:
        """Return the tokens that all buckets together hold.

        With the refill of a window they stay below the bound.
        """
        seconds = self.window.seconds
        allowed = organisation.rate_per_second * seconds + organisation.burst
        bound = allowed * (1 + self.excess) + self.slack
        rest = bound - self.find_refill(organisation) * seconds
        return max(rest * _HELD_PART, 1.0)

    def find_shared_part(
        self, organisation: deployment.Organisation, nodes: int
    ) -> float:
        """Return the part of a limit that is divided into shares."""
        tokens = self.find_capacity(organisation) * _SHARED_PART
        return _SHARED_PART if tokens >= _MIN_SHARE_TOKENS * nodes else 0.0


class TokenBucket:
    """Tokens that come back with time."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._filled = clock.ZERO

    def refill(
        self, now: clock.Milliseconds, rate_per_second: float, capacity: float
    ) -> float:
        """Add the tokens since the last call and return the level."""
        if self._level is None:
            self._level = capacity * _FIRST_LEVEL
            self._filled = now
        elapsed = max((now - self._filled).seconds, 0.0)
        self._filled = now
        # Tokens out of the reserve may lie above the capacity.
        filled = min(self._level + elapsed * rate_per_second, capacity)
        self._level = max(filled, min(self._level, _MAX_BORROWED))
        return self._level

    def add(self, tokens: float) -> None:
        """Add tokens, or take them away if negative."""
        self._level = (self._level or 0.0) + tokens


class ShareDivider:
    """Divides the shared part of limits between the nodes that ask.

    Parameters
    ----------
    time : clock.Clock
        Clock of the durations.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._holders: dict[str, dict[str, _Holding]] = {}
        self._begun: dict[str, clock.Milliseconds] = {}

    def grant(
        self, host: str, demands: Iterable[deployment.ShareDemand]
    ) -> tuple[deployment.ShareGrant, ...]:
        """Return the shares of a node by its demand.

        The shares of an organisation that hold at one time never add up to
        more than 1: a node gets at most what the others do not hold. A divider
        that is new to an organisation does not know what its predecessor
        granted, so at first it only renews what nodes say they hold.
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
        wanted = max(demand.demand_per_second, _MIN_DEMAND)
        total = wanted + sum(held.demand for held in holders.values())
        rest = 1.0 - sum(held.share for held in holders.values())
        share = max(min(wanted / total, rest), 0.0)
        begun = self._begun.setdefault(demand.organisation, now)
        if now < begun + SHARE_DURATION:
            share = min(share, demand.held_share)
        holders[host] = _Holding(
            wanted, share, now + SHARE_DURATION + _DIVIDER_MARGIN
        )
        return share


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    """Share of one node."""

    demand: float
    share: float
    expiry: clock.Milliseconds


class _FleetLimits:
    """Limits of organisations, of which a node holds a part.

    Parameters
    ----------
    time : clock.Clock
        Clock of the buckets.
    bounds : LimitBounds
        What the fleet may pass.
    """

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        self._time = time
        self._bounds = bounds
        self._nodes = 1

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes."""
        self._nodes = max(nodes, 1)


class Reserve(_FleetLimits):
    """The parts of limits that their divider gives out as tokens."""

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        super().__init__(time, bounds)
        self._buckets: dict[str, TokenBucket] = {}

    def take(
        self, organisation: deployment.Organisation, wanted: float
    ) -> tuple[float, clock.Milliseconds]:
        """Take up to a number of tokens.

        Returns
        -------
        float
            Tokens that were taken; 0 if there is not a whole one.
        clock.Milliseconds
            Time until the next token, if none was taken.
        """
        part = 1.0 - self._bounds.find_shared_part(organisation, self._nodes)
        rate = self._bounds.find_refill(organisation) * part
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
    """Tokens, share and demand of one organisation at this node."""

    begun: clock.Milliseconds
    bucket: TokenBucket = dataclasses.field(default_factory=TokenBucket)
    share: float = 0.0
    share_expiry: clock.Milliseconds = clock.ZERO
    arrived: int = 0
    demand: float = 0.0


class OrganisationLimits(_FleetLimits):
    """Tokens of the organisations at one node."""

    def __init__(self, time: clock.Clock, bounds: LimitBounds) -> None:
        super().__init__(time, bounds)
        self._accounts: dict[str, _Account] = {}
        self._measured = time.now()

    def take(self, organisation: deployment.Organisation) -> bool:
        """Count a request and take a token for it, if there is one."""
        if organisation.rate_per_second <= 0:
            return True
        now = self._time.now()
        account = self._accounts.get(organisation.name)
        if account is None:
            account = self._accounts[organisation.name] = _Account(now)
        account.arrived += 1
        part = self._find_share(account, now)
        part *= self._bounds.find_shared_part(organisation, self._nodes)
        rate = self._bounds.find_refill(organisation) * part
        capacity = self._bounds.find_capacity(organisation) * part
        if account.bucket.refill(now, rate, capacity) < 1.0:
            return False
        account.bucket.add(-1.0)
        return True

    def add_tokens(self, organisation: str, tokens: float) -> None:
        """Add tokens out of the reserve."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.bucket.add(tokens)

    def find_demand(self, organisation: str) -> float:
        """Return the requests a second of an organisation at this node."""
        account = self._accounts.get(organisation)
        return account.demand if account is not None else 0.0

    def measure_demand(self) -> tuple[deployment.ShareDemand, ...]:
        """Return the demand since the last call, smoothed."""
        now = self._time.now()
        seconds = (now - self._measured).seconds
        if seconds <= 0:
            return ()
        self._measured = now
        result = []
        for name, account in self._accounts.items():
            newest = account.arrived / seconds
            account.arrived = 0
            account.demand += (newest - account.demand) * _DEMAND_WEIGHT
            if account.demand >= _MIN_DEMAND / 4:
                held = account.share if account.share_expiry > now else 0.0
                result.append(
                    deployment.ShareDemand(name, account.demand, held)
                )
        return tuple(result)

    def note_grants(
        self,
        grants: Iterable[deployment.ShareGrant],
        asked: clock.Milliseconds,
    ) -> None:
        """Use granted shares for a time from when they were asked for."""
        for grant in grants:
            account = self._accounts.get(grant.organisation)
            if account is not None:
                account.share = grant.share
                account.share_expiry = asked + SHARE_DURATION

    def _find_share(self, account: _Account, now: clock.Milliseconds) -> float:
        """Return the part of the shared limit that this node may use."""
        if account.share_expiry > now:
            return account.share
        is_new = not account.share_expiry
        if is_new and now < account.begun + _FIRST_DURATION:
            return _FIRST_PART / self._nodes
        return _EXPIRED_PART / self._nodes


def group_by_divider(
    demands: Iterable[deployment.ShareDemand],
    choose_divider: Callable[[str], str],
) -> dict[str, list[deployment.ShareDemand]]:
    """Group demands by the node that divides the organisation's limit."""
    groups: dict[str, list[deployment.ShareDemand]] = {}
    for demand in demands:
        host = choose_divider(demand.organisation)
        groups.setdefault(host, []).append(demand)
    return groups
