"""Shares and tokens of organisations' limits, asked of other nodes."""

from __future__ import annotations

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.limits import fleet_share
from cyclamenwell.membership import rendezvous
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import peers

__all__ = ["Shares"]

_INTERVAL = clock.Milliseconds(600)
_REPLY_WAIT = clock.Milliseconds(250)
# Tokens are taken for what comes in this time, so that not each request of a
# clump asks again.
_TOKENS_AHEAD = clock.Milliseconds(150)
# After an empty reserve a node asks no more for a while: an organisation far
# above its limit would otherwise cost a message for each of its requests.
_MIN_PAUSE = clock.Milliseconds(60)
_MAX_PAUSE = clock.Milliseconds(400)


class Shares:
    """Takes tokens for requests, from this node or from the reserve.

    Parameters
    ----------
    context : contexts.NodeContext
        What all parts of the node share.
    links : peers.LinkPool
        Links to other nodes.
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
        self._figures = context.figures
        self._paused: dict[str, clock.Milliseconds] = {}
        self._dividers: dict[str, str] = {}
        self._divided_by: tuple[str, ...] = ()
        bounds = fleet_share.LimitBounds(
            settings.bounds.limit_window,
            settings.bounds.limit_excess,
            settings.bounds.limit_slack,
        )
        self.limits = fleet_share.OrganisationLimits(time, bounds)
        self.divider = fleet_share.ShareDivider(time)
        self.reserve = fleet_share.Reserve(time, bounds)

    def set_fleet_size(self, nodes: int) -> None:
        """Set the number of nodes."""
        self.limits.set_fleet_size(nodes)
        self.reserve.set_fleet_size(nodes)

    async def take(
        self, organisation: deployment.Organisation
    ) -> clock.Milliseconds | None:
        """Take a token for a request.

        Returns
        -------
        clock.Milliseconds or None
            None if there was one, else when to come back.
        """
        if self.limits.take(organisation):
            return None
        now = self._time.now()
        paused_until = self._paused.get(organisation.name, clock.ZERO)
        if paused_until > now:
            return paused_until - now
        wanted = 1.0 + (
            self.limits.find_demand(organisation.name) * _TOKENS_AHEAD.seconds
        )
        granted, wait = await self._ask_tokens(organisation, wanted)
        if granted >= 1.0:
            self.limits.add_tokens(organisation.name, granted - 1.0)
            return None
        pause = min(max(wait, _MIN_PAUSE), _MAX_PAUSE)
        self._paused[organisation.name] = self._time.now() + pause
        return pause

    async def run(self) -> None:
        """Ask for shares until cancelled."""
        while True:
            jittered = _INTERVAL * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(jittered.seconds)
            demands = self.limits.measure_demand()
            if not demands or not self._state.hosts:
                continue
            groups = fleet_share.group_by_divider(demands, self._find_divider)
            await asyncio.gather(
                *(self._ask_shares(host, part) for host, part in groups.items())
            )

    def _find_divider(self, organisation: str) -> str:
        """Return the node that divides an organisation's limit."""
        hosts = self._state.hosts
        if hosts is not self._divided_by:
            self._divided_by = hosts
            self._dividers.clear()
        divider = self._dividers.get(organisation)
        if divider is None:
            members = hosts or (self._host,)
            divider = rendezvous.choose_members(organisation, members, 1)[0]
            self._dividers[organisation] = divider
        return divider

    async def _ask_tokens(
        self, organisation: deployment.Organisation, wanted: float
    ) -> tuple[float, clock.Milliseconds]:
        host = self._find_divider(organisation.name)
        if host == self._host:
            return self.reserve.take(organisation, wanted)
        request = deployment.TokenRequest(organisation.name, wanted)
        reply = await self._ask(host, request)
        if not isinstance(reply, deployment.TokenReply):
            return 0.0, _MAX_PAUSE
        return reply.granted, clock.Milliseconds(reply.retry_after_ms)

    async def _ask_shares(
        self, host: str, demands: list[deployment.ShareDemand]
    ) -> None:
        asked = self._time.now()
        if host == self._host:
            grants = self.divider.grant(host, demands)
        else:
            request = deployment.ShareRequest(self._host, tuple(demands))
            reply = await self._ask(host, request)
            if not isinstance(reply, deployment.ShareReply):
                return
            grants = reply.grants
        self.limits.note_grants(grants, asked)

    async def _ask(self, host: str, request: object) -> object | None:
        """Return the reply of another node, None if there is none."""
        kind = type(request).__name__
        try:
            reply = await self._links.ask(host, request, _REPLY_WAIT)
        except exceptions.PeerUnavailableError as error:
            self._figures.count("share_requests", kind, "failed")
            self._log.record_routine(
                "limits.unanswered", host=host, kind=kind, error=str(error)
            )
            return None
        self._figures.count("share_requests", kind, "answered")
        return reply
