"""Gossip of published state between nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import peers

__all__ = ["Gossip"]

# With one exchange a second, a node that missed a change is found within the
# two seconds that a configuration may take to reach all nodes.
_INTERVAL = clock.Milliseconds(1000)
# A node that does not read the store asks one that does this often. Two of them
# can then fail to reply before it has to read for itself.
_FOLLOW_INTERVAL = clock.Milliseconds(350)
# A starting node waits for others that confirm what it has read.
_STARTUP_INTERVAL = clock.Milliseconds(60)
_REPLY_TIMEOUT = clock.Milliseconds(400)
# Peers notified of a change immediately; each of them notifies as many.
_FANOUT = 3
# Changes of targets within this time are told in one exchange.
_TARGET_INTERVAL = clock.Milliseconds(200)
# Pause before another peer is asked after one that did not reply.
_RETRY_PAUSE = clock.Milliseconds(100)


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
        self._time = context.time
        self._state = context.state
        self._links = links
        self._random = context.generator
        self._log = context.log
        self._metrics = context.metrics
        # Peers with which to exchange state, and the tasks that do so.
        self._pending: set[str] = set()
        self._exchanges: dict[str, asyncio.Task] = {}
        self._known_hosts: set[str] = set()
        # Hosts of the published targets by the keys of their items.
        self._hosts_by_key: dict[str, str] = {}
        # Era and revision of the newest changes that peers were notified of.
        self._announced_operators = (0, 0)
        self._announced_targets = (0, 0)
        self._is_target_push_due = False
        self._duty = context.duty
        self._started_at = context.time.now()

    def record_exchange(self, message: deployment.StateExchange) -> None:
        """Record an exchange from a peer; schedule a pull if it is ahead."""
        if message.host == self._settings.host:
            return
        self._known_hosts.add(message.host)
        if self._state.lacks_changes_of(message):
            self._schedule([message.host])

    def notify_peers(self, changes: list[deployment.PublishedItem]) -> None:
        """Notify random peers of changes.

        Changes by operators are told at once. Changes of targets are told only
        if some nodes do not read the store, a few times a second, and at once
        to the nodes beside targets that leave.
        """
        leaving_hosts = self._list_leaving_hosts(changes)
        operators, targets = self._state.operators, self._state.targets
        newest = (operators.era, operators.change_revision)
        if newest > self._announced_operators:
            self._announced_operators = newest
            self._push()
        if self._state.hosts and not self._state.is_complete:
            self._add_confirming_peers()
        if not self._duty.has_learners:
            return
        if self._duty.is_reader:
            self._schedule(leaving_hosts)
        newest = (targets.era, targets.change_revision)
        if newest > self._announced_targets:
            self._announced_targets = newest
            self._schedule_target_push()

    def _push(self) -> None:
        """Schedule exchanges with random peers."""
        hosts = self._list_peers()
        count = min(_FANOUT, len(hosts))
        self._schedule(self._random.sample(hosts, count))

    def _add_confirming_peers(self) -> None:
        """Schedule exchanges with nodes that read the store."""
        self._schedule(self._duty.near_readers)
        self._schedule(self._choose_peer())

    def _schedule_target_push(self) -> None:
        if self._is_target_push_due:
            return
        self._is_target_push_due = True
        delay = _TARGET_INTERVAL * self._random.uniform(0.2, 1.0)
        asyncio.get_running_loop().call_later(delay.seconds, self._push_targets)

    def _push_targets(self) -> None:
        self._is_target_push_due = False
        self._push()

    def _list_leaving_hosts(
        self, changes: list[deployment.PublishedItem]
    ) -> set[str]:
        """Return the hosts of targets that leave, or whose entries are gone."""
        leaving_hosts = set()
        for item in changes:
            host = self._hosts_by_key.pop(item.key, None)
            if item.removed and host is not None:
                leaving_hosts.add(host)
            if item.target is None:
                continue
            self._hosts_by_key[item.key] = item.target.host
            if item.target.state is enumerations.InstanceState.LEAVING:
                leaving_hosts.add(item.target.host)
        leaving_hosts.discard(self._settings.host)
        return leaving_hosts

    async def run(self) -> None:
        """Exchange state with random peers until cancelled."""
        while True:
            interval = _INTERVAL
            if not self._state.is_complete:
                interval = _STARTUP_INTERVAL
            jittered = interval * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(jittered.seconds)
            if not self._state.is_complete:
                self._add_confirming_peers()
                continue
            for host in self._choose_peer():
                if not await self._exchange(host):
                    await asyncio.sleep(_RETRY_PAUSE.seconds)
                    self._schedule(self._choose_peer())

    async def follow_source(self) -> None:
        """Ask a node that reads the store for changes, until cancelled.

        One that does not reply is replaced by the next one.
        """
        failures = 0
        while True:
            sources = self._duty.sources
            if sources and self._state.is_complete:
                source = sources[failures % len(sources)]
                if not await self._exchange(source):
                    failures += 1
                    await asyncio.sleep(_RETRY_PAUSE.seconds)
                    continue
            jittered = _FOLLOW_INTERVAL * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(jittered.seconds)

    def _schedule(self, hosts: Iterable[str]) -> None:
        """Exchange state with peers soon, with each in a task of its own.

        A peer that does not reply delays no exchange with another one.
        """
        loop = asyncio.get_running_loop()
        for host in hosts:
            self._pending.add(host)
            if host not in self._exchanges:
                task = loop.create_task(self._run_exchanges(host))
                self._exchanges[host] = task

    async def _run_exchanges(self, host: str) -> None:
        """Exchange state with a peer until no further exchange is pending."""
        try:
            while host in self._pending:
                self._pending.discard(host)
                await self._exchange(host)
        except Exception as error:
            self._log.record_exception("exchange.error", error)
        finally:
            self._pending.discard(host)
            del self._exchanges[host]

    def _choose_peer(self) -> list[str]:
        """Return a random peer, empty if no peer is known."""
        peer_hosts = self._list_peers()
        return [self._random.choice(peer_hosts)] if peer_hosts else []

    def _list_peers(self) -> list[str]:
        """Return the hosts of the peers: published, or else seeds and known."""
        hosts = set(self._state.hosts)
        if not hosts:
            hosts = {seed.host for seed in self._settings.seeds}
            hosts |= self._known_hosts
        hosts.discard(self._settings.host)
        return sorted(hosts)

    def _confirm(self, host: str) -> None:
        """Note that another node has confirmed all that this one knows."""
        if self._state.has_unconfirmed:
            self._log.record("state.confirmed", source=host)
            self._state.note_confirmation()

    async def _exchange(self, host: str) -> bool:
        """Exchange state with a peer; return whether it answered."""
        state = self._state
        asked_at = self._time.now()
        message = deployment.StateExchange(
            host=self._settings.host,
            operator_revision=state.operators.known_revision,
            target_revision=state.targets.known_revision,
            store_age_ms=(
                self._duty.store_age_ms if state.is_complete else None
            ),
            operator_era=state.operators.era,
            target_era=state.targets.era,
            configuration_version=state.version,
            uptime_ms=(asked_at - self._started_at).value,
        )
        try:
            reply = await self._links.call(host, message, _REPLY_TIMEOUT)
        except exceptions.PeerUnavailableError as error:
            self._metrics.count("exchanges", "failed")
            self._log.record_routine("exchange.failed", error=str(error))
            return False
        if not isinstance(reply, deployment.StateExchangeReply):
            return False
        self._metrics.count("exchanges", "finished")
        if reply.since_outage_ms is not None and self._duty.has_learners:
            # Has to precede the changes, which lack the lapsed entries.
            state.note_outage_end(clock.Milliseconds(reply.since_outage_ms))
        is_confirmed = reply.store_age_ms is not None
        if reply.operator_changes is not None:
            self._log.record(
                "state.learned",
                source=host,
                what="operators",
                revision=reply.operator_changes.revision,
            )
            state.apply_operators(reply.operator_changes, is_confirmed)
        if reply.target_changes is not None:
            self._log.record_routine(
                "state.learned",
                source=host,
                what="targets",
                revision=reply.target_changes.revision,
            )
            state.apply_targets(reply.target_changes, is_confirmed)
        if is_confirmed:
            self._confirm(host)
        self._duty.note_contact(
            _read_age(reply.store_age_ms),
            _read_age(reply.reader_age_ms),
            asked_at,
        )
        return True


def _read_age(age_ms: float | None) -> clock.Milliseconds | None:
    return None if age_ms is None else clock.Milliseconds(age_ms)
