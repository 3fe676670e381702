"""Gossip of published state between nodes."""

from __future__ import annotations

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import peers

__all__ = ["Gossip"]

# With one exchange a second, a node that missed a change is found within the
# two seconds that a configuration may take to reach all nodes.
_INTERVAL = clock.Milliseconds(1000)
_STARTUP_INTERVAL = clock.Milliseconds(200)
_REPLY_TIMEOUT = clock.Milliseconds(400)
# Peers notified of a change immediately; each of them notifies as many.
_FANOUT = 3


class Gossip:
    """Exchanges published state with random peers, and after changes.

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
        self._settings = context.settings
        self._state = context.state
        self._links = links
        self._random = context.generator
        self._log = context.log
        self._metrics = context.metrics
        self._pending: set[str] = set()
        self._known_hosts: set[str] = set()
        self._has_pending = asyncio.Event()
        self._announced_revision = 0

    def record_exchange(self, message: deployment.StateExchange) -> None:
        """Record an exchange from a peer; schedule a pull if it is ahead."""
        if message.host == self._settings.host:
            return
        self._known_hosts.add(message.host)
        is_ahead = (
            message.operator_revision > self._state.operators.change_revision
            or message.target_revision > self._state.targets.change_revision
        )
        if is_ahead:
            self._pending.add(message.host)
            self._has_pending.set()

    def notify_peers(self, changes: list[deployment.PublishedItem]) -> None:
        """Notify random peers of a change made by operators."""
        del changes
        revision = self._state.operators.change_revision
        if revision <= self._announced_revision:
            return
        self._announced_revision = revision
        hosts = self._list_peers()
        count = min(_FANOUT, len(hosts))
        self._pending.update(self._random.sample(hosts, count))
        self._has_pending.set()

    async def run(self) -> None:
        """Exchange state with peers until cancelled."""
        while True:
            interval = _INTERVAL
            if not self._state.is_complete:
                interval = _STARTUP_INTERVAL
            jittered = interval * self._random.uniform(0.8, 1.2)
            try:
                async with asyncio.timeout(jittered.seconds):
                    await self._has_pending.wait()
            except TimeoutError:
                peer_hosts = self._list_peers()
                if peer_hosts:
                    self._pending.add(self._random.choice(peer_hosts))
            self._has_pending.clear()
            pending, self._pending = self._pending, set()
            await asyncio.gather(*(self._exchange(host) for host in pending))

    def _list_peers(self) -> list[str]:
        """Return the hosts of the peers: published, or else seeds and known."""
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
            operator_revision=state.operators.change_revision,
            target_revision=state.targets.change_revision,
        )
        try:
            reply = await self._links.call(host, message, _REPLY_TIMEOUT)
        except exceptions.PeerUnavailableError as error:
            self._metrics.count("exchanges", "failed")
            self._log.record_routine("exchange.failed", error=str(error))
            return
        if not isinstance(reply, deployment.StateExchangeReply):
            return
        self._metrics.count("exchanges", "finished")
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
