"""Exchange of configuration with one peer.

A node compares its documents and instance list with those of a peer
(anti-entropy), and announces changes as soon as they are in force (push).
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Protocol
from typing import TypeVar

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import deliveries as delivery_tables
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import list_replication
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities

__all__ = [
    "Client",
    "Peer",
    "PeerSession",
    "SessionContext",
    "build_texts",
    "split_texts",
]

_State = enumerations.InstanceState
_READY_STATES = frozenset({_State.SERVING, _State.LEAVING})
_MAX_BATCH_BYTES = 4 * 1024 * 1024  # A fifth of the largest frame.
_MAX_SETTLED_PAIRS = 64  # Digest pairs that need no further comparison.

_Reply = TypeVar("_Reply")


class Client(Protocol):
    """Transport that sends a message to a peer and returns its reply."""

    def call(
        self,
        address: peer_clients.Address,
        message: Any,
        timeout: clock.Milliseconds,
    ) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        exceptions.PeerUnavailableError
            If there is no reply.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Address and name of a node.

    Parameters
    ----------
    address : peer_clients.Address
        Where it listens.
    instance : str
        Name of the instance, empty for a seed whose name is unknown.
    """

    address: peer_clients.Address
    instance: str = ""

    @classmethod
    def of(cls, entry: messages.InstanceEntry) -> Peer:
        """Return the peer described by an entry of the instance list."""
        return cls(peer_clients.Address.from_entry(entry), entry.instance)

    def __str__(self) -> str:
        return self.instance or str(self.address)


@dataclasses.dataclass(frozen=True, slots=True)
class SessionContext:
    """Configuration state shared by the sessions with all peers.

    Parameters
    ----------
    identity : identities.Identity
        Identity of this node.
    time : clock.Clock
        Clock that dates the confirmations.
    store : stores.Store
        Documents in force.
    directory : directories.Directory
        Receives the load reports of peers.
    list_replicator : list_replication.ListReplicator
        Instance list and its changes.
    freshness : freshnesses.Freshness
        Receives confirmations.
    deliveries : delivery_tables.PendingDeliveries
        Deliveries that are in progress.
    report_load : callable
        Returns the state and load of this node.
    """

    identity: identities.Identity
    time: clock.Clock
    store: stores.Store
    directory: directories.Directory
    list_replicator: list_replication.ListReplicator
    freshness: freshnesses.Freshness
    deliveries: delivery_tables.PendingDeliveries
    report_load: Callable[[], messages.LoadReport]

    @property
    def is_ready(self) -> bool:
        """Whether this node has completed its start."""
        return self.report_load().state in _READY_STATES


def build_texts(
    snapshot: snapshots.Snapshot, names: Iterable[str]
) -> Iterator[messages.DocumentText]:
    """Yield documents in force as they were published.

    Names without a document are skipped.
    """
    for name in names:
        document = snapshot.parsed.get(name)
        if document is not None:
            yield messages.DocumentText(name, document.version, document.text)


def split_texts(
    texts: Iterable[messages.DocumentText],
) -> Iterator[tuple[messages.DocumentText, ...]]:
    """Split documents into batches well below the frame limit."""
    batch: list[messages.DocumentText] = []
    size = 0
    for text in texts:
        added = len(text.text.encode("utf-8", "surrogatepass"))
        if batch and size + added > _MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(text)
        size += added
    if batch:
        yield tuple(batch)


class PeerSession:
    """Exchanges configuration with one peer; used by one thread at a time.

    Parameters
    ----------
    context : SessionContext
        Shared configuration state of this node.
    client : Client
        Transport.
    peer : Peer
        The other node.
    timeout : clock.Milliseconds
        Time for one message and its reply.
    """

    def __init__(
        self,
        context: SessionContext,
        client: Client,
        peer: Peer,
        timeout: clock.Milliseconds,
    ) -> None:
        self._context = context
        self._client = client
        self.peer = peer
        self._timeout = timeout
        self._settled: collections.deque[tuple[bytes, bytes]] = (
            collections.deque(maxlen=_MAX_SETTLED_PAIRS)
        )

    def exchange(self) -> bool:
        """Compare digests with the peer and repair differences both ways.

        Returns
        -------
        bool
            Whether the exchange confirmed the view: everything that the peer
            has is applied here, and the peer has completed its own start.

        Raises
        ------
        exceptions.PeerUnavailableError
            If a message got no reply.
        """
        context = self._context
        started = context.time.now()
        snapshot = context.store.snapshot
        reply = self._request(
            self._build_exchange(snapshot), messages.ExchangeReply
        )
        self._record_state(reply, started)
        complete = True
        pair = (snapshot.digest, reply.digest)
        if reply.digest != snapshot.digest and pair not in self._settled:
            complete = self._reconcile(snapshot)
        complete = self._synchronise_lists(reply.list_revision) and complete
        confirmed = complete and _is_ready(reply.load)
        if confirmed:
            context.freshness.confirm(started)
        return confirmed

    def announce(self, versions: Iterable[messages.VersionEntry]) -> bool:
        """Announce versions and the list revision, and send missing ones.

        Returns
        -------
        bool
            Whether the peer requested any document.
        """
        context = self._context
        reply = self._request(
            messages.AnnounceRequest(
                sender=self._build_sender(),
                versions=tuple(versions),
                list_revision=context.list_replicator.revision,
            ),
            messages.AnnounceReply,
        )
        snapshot = context.store.snapshot
        for batch in split_texts(build_texts(snapshot, reply.wanted)):
            self._deliver(batch, None)
        if reply.wants_list:
            self._send_list(reply.list_revision)
        return bool(reply.wanted)

    def fetch(self, names: Iterable[str]) -> bool:
        """Fetch documents and put them in force.

        Parameters
        ----------
        names : iterable of str
            Names; empty for all documents of the peer.

        Returns
        -------
        bool
            Whether the peer has completed its start.
        """
        wanted = tuple(names)
        while True:
            reply = self._request(
                messages.FetchRequest(
                    sender=self._build_sender(), names=wanted
                ),
                messages.FetchReply,
            )
            self._context.store.apply(reply.documents, str(self.peer))
            if not reply.remaining:
                return reply.ready
            if not reply.documents:
                raise self._build_error(
                    "fetch reply holds no documents, but some remain"
                )
            wanted = reply.remaining

    def fetch_list(self) -> None:
        """Fetch the instance list and apply it.

        The whole list is requested if changes do not apply.
        """
        replicator = self._context.list_replicator
        for revision in (replicator.revision, 0):
            reply = self._request(
                messages.ListRequest(
                    sender=self._build_sender(), revision=revision
                ),
                messages.ListReply,
            )
            if replicator.apply(reply):
                return

    def _build_exchange(
        self, snapshot: snapshots.Snapshot, groups: bytes = b""
    ) -> messages.ExchangeRequest:
        context = self._context
        return messages.ExchangeRequest(
            sender=self._build_sender(),
            digest=snapshot.digest,
            list_revision=context.list_replicator.revision,
            platform_age_ms=context.freshness.report_platform_age(),
            load=context.report_load(),
            groups=groups,
        )

    def _record_state(
        self, reply: messages.ExchangeReply, started: clock.Milliseconds
    ) -> None:
        context = self._context
        context.freshness.note_platform_age(started, reply.platform_age_ms)
        if reply.load is not None:
            context.directory.note_load(reply.load)

    def _reconcile(self, snapshot: snapshots.Snapshot) -> bool:
        """Find documents that differ and transfer them both ways."""
        reply = self._request(
            self._build_exchange(snapshot, snapshot.group_digests),
            messages.ExchangeReply,
        )
        needs = self._context.store.needs
        missing = [v for v in reply.versions if needs(v.name, v.version)]
        all_present = not missing or self._fetch_missing(missing)
        peer_versions = {v.name: v.version for v in reply.versions}
        differing = frozenset(reply.differing_groups)
        newer = [
            messages.VersionEntry(name, document.version)
            for name, document in snapshot.parsed.items()
            if snapshots.find_group(name) in differing
            and document.version > peer_versions.get(name, 0)
        ]
        wanted = bool(newer) and self.announce(newer)
        if not missing and not wanted:
            # The remaining differences are versions that one side refused.
            # They would be found again at each exchange.
            self._settled.append((snapshot.digest, reply.digest))
        return all_present

    def _fetch_missing(self, missing: list[messages.VersionEntry]) -> bool:
        """Fetch what no other peer is sending; return whether all is here."""
        context = self._context
        names = [
            v.name
            for v in missing
            if context.deliveries.begin(v.name, v.version)
        ]
        if names:
            try:
                self.fetch(names)
            finally:
                context.deliveries.end(names)
        return not any(context.store.needs(v.name, v.version) for v in missing)

    def _synchronise_lists(self, revision: int) -> bool:
        """Transfer the newer list; return whether this node now has it."""
        context = self._context
        if revision > context.list_replicator.revision:
            if context.deliveries.begin(delivery_tables.LIST, revision):
                try:
                    self.fetch_list()
                finally:
                    context.deliveries.end((delivery_tables.LIST,))
        elif revision < context.list_replicator.revision:
            self.announce(())
        return context.list_replicator.revision >= revision

    def _send_list(self, revision: int) -> None:
        replicator = self._context.list_replicator
        peer_revision = self._deliver((), replicator.build_reply(revision))
        if peer_revision < replicator.revision:
            self._deliver((), replicator.build_reply(0))

    def _deliver(
        self,
        documents: tuple[messages.DocumentText, ...],
        instances: messages.ListReply | None,
    ) -> int:
        request = messages.DeliverRequest(
            sender=self._build_sender(),
            documents=documents,
            instances=instances,
        )
        return self._request(request, messages.DeliverReply).list_revision

    def _build_sender(self) -> messages.Sender:
        return self._context.identity.build_sender(self.peer.instance)

    def _request(self, message: Any, expected: type[_Reply]) -> _Reply:
        reply = self._client.call(self.peer.address, message, self._timeout)
        if isinstance(reply, messages.Fault):
            raise self._build_error(reply.detail)
        if not isinstance(reply, expected):
            raise self._build_error(
                f"unexpected reply of type {type(reply).__name__}"
            )
        return reply

    def _build_error(self, detail: str) -> exceptions.PeerUnavailableError:
        return exceptions.PeerUnavailableError(
            f"{self.peer}: {detail}", sent=True, refused=False
        )


def _is_ready(load: messages.LoadReport | None) -> bool:
    return load is not None and load.state in _READY_STATES
