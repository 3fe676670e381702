"""Exchange of published state between nodes."""

from __future__ import annotations

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import peers

__all__ = ["Spread"]

# One exchange a second finds a node that a change has not reached, within
# the two seconds that a configuration may take.
_INTERVAL = clock.Milliseconds(1000)
_STARTING_INTERVAL = clock.Milliseconds(200)
_REPLY_WAIT = clock.Milliseconds(400)
# Nodes that are told of a change at once; each of them tells as many.
_TOLD_NODES = 3


class Spread:
    """Compares published state with other nodes, in turn and after changes.

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
        self._settings = context.settings
        self._state = context.state
        self._links = links
        self._random = context.generator
        self._log = context.log
        self._figures = context.figures
        self._wanted: set[str] = set()
        self._known_hosts: set[str] = set()
        self._has_work = asyncio.Event()
        self._told_revision = 0

    def note_exchange(self, message: deployment.StateExchange) -> None:
        """Note what another node knows and ask it for what is lacking."""
        if message.host == self._settings.host:
            return
        self._known_hosts.add(message.host)
        is_ahead = (
            message.operator_revision > self._state.operators.changed
            or message.target_revision > self._state.targets.changed
        )
        if is_ahead:
            self._wanted.add(message.host)
            self._has_work.set()

    def tell(self, news: list[deployment.PublishedItem]) -> None:
        """Tell some nodes of a change of operators."""
        del news
        revision = self._state.operators.changed
        if revision <= self._told_revision:
            return
        self._told_revision = revision
        hosts = self._list_others()
        count = min(_TOLD_NODES, len(hosts))
        self._wanted.update(self._random.sample(hosts, count))
        self._has_work.set()

    async def run(self) -> None:
        """Exchange state until cancelled."""
        while True:
            interval = _INTERVAL
            if not self._state.is_complete:
                interval = _STARTING_INTERVAL
            jittered = interval * self._random.uniform(0.8, 1.2)
            try:
                async with asyncio.timeout(jittered.seconds):
                    await self._has_work.wait()
            except TimeoutError:
                others = self._list_others()
                if others:
                    self._wanted.add(self._random.choice(others))
            self._has_work.clear()
            wanted, self._wanted = self._wanted, set()
            await asyncio.gather(*(self._exchange(host) for host in wanted))

    def _list_others(self) -> list[str]:
        """Return the nodes to talk to."""
        hosts = set(self._state.hosts)
        if not hosts:
            hosts = {seed.host for seed in self._settings.seeds}
            hosts |= self._known_hosts
        hosts.discard(self._settings.host)
        return sorted(hosts)

    async def _exchange(self, host: str) -> None:
        state = self._state
        message = deployment.StateExchange(
            host=self._settings.host,
            operator_revision=state.operators.changed,
            target_revision=state.targets.changed,
        )
        try:
            reply = await self._links.ask(host, message, _REPLY_WAIT)
        except exceptions.PeerUnavailableError as error:
            self._figures.count("exchanges", "failed")
            self._log.record_routine("exchange.failed", error=str(error))
            return
        if not isinstance(reply, deployment.StateExchangeReply):
            return
        self._figures.count("exchanges", "finished")
        if reply.operator_changes is not None:
            self._log.record(
                "state.learned",
                source=host,
                what="operators",
                revision=reply.operator_changes.revision,
            )
            state.apply_operators(reply.operator_changes)
        if reply.target_changes is not None:
            self._log.record_routine(
                "state.learned",
                source=host,
                what="targets",
                revision=reply.target_changes.revision,
            )
            state.apply_targets(reply.target_changes)
