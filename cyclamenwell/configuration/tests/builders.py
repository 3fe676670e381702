"""Builders of in-memory nodes, of their network and of a fake platform."""

from __future__ import annotations

import collections
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import deliveries
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import freshness
from cyclamenwell.configuration import list_replication
from cyclamenwell.configuration import peer_session
from cyclamenwell.configuration import platform_client as platform_clients
from cyclamenwell.configuration import reader
from cyclamenwell.configuration import responder
from cyclamenwell.configuration import store
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity
from cyclamenwell.peers import wire
from cyclamenwell.testing import builders

__all__ = [
    "FakePlatform",
    "InMemoryNode",
    "Network",
    "build_entries",
    "build_fleet",
    "build_text",
    "run_ticks",
]

TICK = clock.Milliseconds(10)  # Duration of one hop in `run_ticks`.
_READ_INTERVAL_TICKS = 20


def build_text(version: int, name: str = "fleet", text: str = "{}\n"):
    """Return a published document."""
    return messages.DocumentText(name, version, text)


def build_entries(
    count: int, data_centres: int = 3, regions: int = 2
) -> tuple[messages.InstanceEntry, ...]:
    """Return instances assigned to the data centres in turn."""
    return tuple(
        builders.build_instance(
            instance=f"billing-{number:05}",
            data_centre=f"dc-{number % data_centres}",
            region=f"r-{number % data_centres % regions}",
            host=f"10.0.{number // 250}.{number % 250}",
        )
        for number in range(count)
    )


class FakePlatform:
    """Platform that can fail or be replaced by a stale copy."""

    def __init__(self) -> None:
        self.revision = 0
        self.texts: dict[str, tuple[int, messages.DocumentText]] = {}
        self.listed = platform_clients.PublishedList(0, ())
        self.is_down = False
        self.reads = 0

    def publish(self, name: str, text: str) -> int:
        """Publish a document and return its version."""
        known = self.texts.get(name)
        version = known[1].version + 1 if known else 1
        self.revision += 1
        published = messages.DocumentText(name, version, text)
        self.texts[name] = (self.revision, published)
        return version

    def publish_list(self, entries: tuple[messages.InstanceEntry, ...]) -> None:
        """Publish an instance list."""
        self.listed = platform_clients.PublishedList(
            self.listed.revision + 1, entries
        )

    def copy(self) -> FakePlatform:
        """Return a replica that keeps the current state."""
        replica = FakePlatform()
        replica.revision = self.revision
        replica.texts = dict(self.texts)
        replica.listed = self.listed
        return replica

    def watch_documents(
        self, after: int, wait: clock.Milliseconds
    ) -> platform_clients.PublishedDocuments:
        """Return changed documents without waiting."""
        del wait
        self._count_read()
        return platform_clients.PublishedDocuments(
            self.revision,
            tuple(text for at, text in self.texts.values() if at > after),
        )

    def watch_instances(
        self, after: int, wait: clock.Milliseconds
    ) -> platform_clients.PublishedList:
        """Return the instance list without waiting."""
        del wait
        self._count_read()
        if self.listed.revision > after:
            return self.listed
        return platform_clients.PublishedList(self.listed.revision, ())

    def _count_read(self) -> None:
        self.reads += 1
        if self.is_down:
            raise exceptions.PlatformError("the platform is down")


class Network:
    """Network that carries encoded messages between in-memory nodes.

    Parameters
    ----------
    source : random.Random
        Random generator that selects the messages that are lost or duplicated.
    """

    def __init__(self, source: random.Random) -> None:
        self.random = source
        self.nodes: dict[peer_clients.Address, InMemoryNode] = {}
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.sides: dict[str, int] = {}
        self.is_partitioned = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes = 0

    def call(self, sender: str, address: Any, message: Any) -> Any:
        """Deliver a message and return its reply."""
        node = self.nodes.get(address)
        if node is None or node.is_down or self._is_separated(sender, node):
            self._raise_unavailable(address)
        if self.random.random() < self.loss_rate / 2:
            self._raise_unavailable(address)
        times = 1 + (self.random.random() < self.duplication_rate)
        for _ in range(times):
            frame = wire.encode(message)
            reply = wire.encode(node.handle(wire.decode(frame)))
            self.calls[type(message).__name__] += 1
            self.bytes += len(frame) + len(reply)
        if self.random.random() < self.loss_rate / 2:
            self._raise_unavailable(address)
        return wire.decode(reply)

    def _is_separated(self, sender: str, node: InMemoryNode) -> bool:
        return self.is_partitioned and self.sides.get(sender) != self.sides.get(
            node.name
        )

    def _raise_unavailable(self, address: Any) -> None:
        raise exceptions.PeerUnavailableError(
            f"{address}", sent=True, refused=False
        )


class _Client:
    """Transport of one in-memory node."""

    def __init__(self, network: Network, sender: str) -> None:
        self._network = network
        self._sender = sender

    def call(self, address: Any, message: Any, timeout: Any) -> Any:
        del timeout
        return self._network.call(self._sender, address, message)


class InMemoryNode:
    """Configuration components of a node, without threads and sockets."""

    def __init__(
        self,
        entry: messages.InstanceEntry,
        network: Network,
        time: clock.ManualClock,
        platform: FakePlatform,
        peers: settings.PeerSettings | None = None,
    ) -> None:
        self.name = entry.instance
        self.is_down = False
        self.state = enumerations.InstanceState.SERVING
        self.peers = peers or settings.PeerSettings()
        own = settings.InstanceSettings(
            name=entry.instance,
            data_centre=entry.data_centre,
            region=entry.region,
        )
        self.trail = audit.AuditTrail()
        self.store = store.Store(time, self.trail)
        self.directory = directory.Directory(time)
        self.freshness = freshness.Freshness(
            time, self.peers, self.name, self.directory
        )
        self.context = peer_session.SessionContext(
            identity=identity.Identity(self.name, 1),
            time=time,
            store=self.store,
            directory=self.directory,
            list_replicator=list_replication.ListReplicator(self.directory),
            freshness=self.freshness,
            deliveries=deliveries.PendingDeliveries(
                time, self.peers.call_timeout
            ),
            report_load=self._report_load,
        )
        self.client = _Client(network, self.name)
        self.responder = responder.Responder(self.context)
        self.disseminator = dissemination.Disseminator(
            self.context,
            self.client,
            own,
            self.peers,
            network.random,
            spawn=lambda link: None,
        )
        self.reader = reader.Reader(
            platform,
            settings.PlatformSettings(),
            self.name,
            time,
            self.store,
            self.directory,
            self.freshness,
            network.random,
        )
        self.address = peer_clients.Address.from_entry(entry)
        network.nodes[self.address] = self

    def open_session(self, other: InMemoryNode) -> peer_session.PeerSession:
        """Return a session with another node."""
        return peer_session.PeerSession(
            self.context,
            self.client,
            peer_session.Peer(other.address, other.name),
            self.peers.call_timeout,
        )

    def handle(self, message: Any) -> Any:
        """Answer a message like the handlers of a node."""
        self.disseminator.note_message(
            message.sender,
            getattr(message, "versions", ()),
            getattr(message, "list_revision", 0),
        )
        return {
            messages.ExchangeRequest: self.responder.answer_exchange,
            messages.AnnounceRequest: self.responder.answer_announce,
            messages.DeliverRequest: self.responder.answer_deliver,
            messages.FetchRequest: self.responder.answer_fetch,
            messages.ListRequest: self.responder.answer_list,
        }[type(message)](message)

    def _report_load(self) -> messages.LoadReport:
        return messages.LoadReport(self.name, 1, self.state)


def build_fleet(
    entries: tuple[messages.InstanceEntry, ...],
    network: Network,
    time: clock.ManualClock,
    platform: FakePlatform,
) -> list[InMemoryNode]:
    """Return started in-memory nodes that know the published list."""
    platform.publish_list(entries)
    nodes = [InMemoryNode(entry, network, time, platform) for entry in entries]
    for node in nodes:
        node.directory.replace_list(platform.listed.revision, entries)
        node.disseminator.start()
    return nodes


def run_ticks(
    nodes: list[InMemoryNode],
    time: clock.ManualClock,
    source: random.Random,
    ticks: int,
    is_done: Any = None,
) -> int:
    """Run links and readers; one hop takes one tick.

    Returns
    -------
    int
        Ticks until `is_done`, or all ticks.
    """
    for tick in range(ticks):
        if is_done is not None and is_done():
            return tick
        time.advance(TICK)
        living = [node for node in nodes if not node.is_down]
        ready = [
            link
            for node in living
            for link in node.disseminator.links
            if link.has_pending or link.find_wait() <= clock.ZERO
        ]
        source.shuffle(ready)
        for link in ready:
            link.step()
        if tick % _READ_INTERVAL_TICKS == 0:
            _run_readers(living)
    return ticks


def _run_readers(living: list[InMemoryNode]) -> None:
    for node in living:
        if not node.reader.is_reader:
            continue
        for watch in (node.reader.watch_documents, node.reader.watch_instances):
            try:
                watch(clock.ZERO)
            except exceptions.PlatformError:
                continue
