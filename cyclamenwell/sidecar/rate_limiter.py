"""Rate limits of organisations, enforced over all nodes."""

from __future__ import annotations

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.limits import fleet_share
from cyclamenwell.membership import rendezvous
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import peers

__all__ = ["RateLimiter"]

_SHARE_INTERVAL = clock.Milliseconds(600)
_REPLY_TIMEOUT = clock.Milliseconds(250)
# Tokens are requested in advance for the demand of this time, so that not every
# request of a burst sends a message.
_TOKEN_LOOKAHEAD = clock.Milliseconds(150)
# After the reserve was empty a node pauses its token requests: an organisation
# far above its limit would otherwise cause a message for each request.
_MIN_PAUSE = clock.Milliseconds(60)
_MAX_PAUSE = clock.Milliseconds(400)


class RateLimiter:
    """Takes tokens for requests, from the local buckets or the reserve.

    Parameters
    ----------
    context : contexts.NodeContext
        Dependencies shared by all components of the node.
    links : peers.LinkPool
        Pooled connections to other nodes.
    """

    def __init__(
        self, context: contexts.NodeContext, links: peers.LinkPool
    ) -> None:
        settings, time = context.settings, context.time
        self._host = settings.host
        self._time = time
        self._state = context.state
        self._links = links
        self._random = context.generator
        self._log = context.log
        self._metrics = context.metrics
        self._paused: dict[str, clock.Milliseconds] = {}
        self._dividers: dict[str, str] = {}
        self._divider_hosts: tuple[str, ...] = ()
        bounds = fleet_share.LimitBounds(
            settings.bounds.limit_window,
            settings.bounds.limit_excess,
            settings.bounds.limit_slack,
        )
        self.limits = fleet_share.OrganisationLimits(time, bounds)
        self.divider = fleet_share.ShareDivider(time)
        self.reserve = fleet_share.Reserve(time, bounds)

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes that divide the limits."""
        self.limits.set_fleet_size(nodes)
        self.reserve.set_fleet_size(nodes)

    async def take(
        self, organisation: deployment.Organisation
    ) -> clock.Milliseconds | None:
        """Take a token for a request of an organisation.

        Returns
        -------
        clock.Milliseconds or None
            None if there was one, else the time until a retry.
        """
        if self.limits.take(organisation):
            return None
        now = self._time.now()
        paused_until = self._paused.get(organisation.name, clock.ZERO)
        if paused_until > now:
            return paused_until - now
        wanted = 1.0 + (
            self.limits.find_demand(organisation.name)
            * _TOKEN_LOOKAHEAD.seconds
        )
        granted, wait = await self._request_tokens(organisation, wanted)
        if granted >= 1.0:
            self.limits.add_tokens(organisation.name, granted - 1.0)
            return None
        pause = min(max(wait, _MIN_PAUSE), _MAX_PAUSE)
        self._paused[organisation.name] = self._time.now() + pause
        return pause

    async def run(self) -> None:
        """Request shares periodically until cancelled."""
        while True:
            jittered = _SHARE_INTERVAL * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(jittered.seconds)
            demands = self.limits.measure_demand()
            if not demands or not self._state.hosts:
                continue
            groups = fleet_share.group_by_divider(demands, self._find_divider)
            await asyncio.gather(
                *(
                    self._request_shares(host, part)
                    for host, part in groups.items()
                )
            )

    def _find_divider(self, organisation: str) -> str:
        """Return the node that divides an organisation's limit.

        It is chosen by rendezvous hashing.
        """
        hosts = self._state.hosts
        if hosts is not self._divider_hosts:
            self._divider_hosts = hosts
            self._dividers.clear()
        divider = self._dividers.get(organisation)
        if divider is None:
            members = hosts or (self._host,)
            divider = rendezvous.choose_members(organisation, members, 1)[0]
            self._dividers[organisation] = divider
        return divider

    async def _request_tokens(
        self, organisation: deployment.Organisation, wanted: float
    ) -> tuple[float, clock.Milliseconds]:
        host = self._find_divider(organisation.name)
        if host == self._host:
            return self.reserve.take(organisation, wanted)
        request = deployment.TokenRequest(organisation.name, wanted)
        reply = await self._call_peer(host, request)
        if not isinstance(reply, deployment.TokenReply):
            return 0.0, _MAX_PAUSE
        return reply.granted, clock.Milliseconds(reply.retry_after_ms)

    async def _request_shares(
        self, host: str, demands: list[deployment.ShareDemand]
    ) -> None:
        requested_at = self._time.now()
        if host == self._host:
            grants = self.divider.grant(host, demands)
        else:
            request = deployment.ShareRequest(self._host, tuple(demands))
            reply = await self._call_peer(host, request)
            if not isinstance(reply, deployment.ShareReply):
                return
            grants = reply.grants
        self.limits.apply_grants(grants, requested_at)

    async def _call_peer(self, host: str, request: object) -> object | None:
        """Return the reply of another node, or None if there is none."""
        kind = type(request).__name__
        try:
            reply = await self._links.call(host, request, _REPLY_TIMEOUT)
        except exceptions.PeerUnavailableError as error:
            self._metrics.count("share_requests", kind, "failed")
            self._log.record_routine(
                "limits.unanswered", host=host, kind=kind, error=str(error)
            )
            return None
        self._metrics.count("share_requests", kind, "answered")
        return reply
