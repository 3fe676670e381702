"""Answers requests of other nodes about configuration."""

from __future__ import annotations

from cyclamenwell.configuration import deliveries as delivery_tables
from cyclamenwell.configuration import peer_session
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.generated import messages

__all__ = ["Responder"]


class Responder:
    """Answers exchanges, announcements, deliveries, fetches and list requests.

    Parameters
    ----------
    context : peer_session.SessionContext
        Shared configuration state of this node.
    """

    def __init__(self, context: peer_session.SessionContext) -> None:
        self._context = context

    def answer_exchange(
        self, request: messages.ExchangeRequest
    ) -> messages.ExchangeReply:
        """Compare digests and list the versions of groups that differ."""
        context = self._context
        if request.load is not None:
            context.directory.note_load(request.load)
        snapshot = context.store.snapshot
        differing = _find_differing_groups(snapshot, request.groups)
        return messages.ExchangeReply(
            digest=snapshot.digest,
            list_revision=context.list_replicator.revision,
            platform_age_ms=context.freshness.report_platform_age(),
            load=context.report_load(),
            differing_groups=tuple(sorted(differing)),
            versions=tuple(
                messages.VersionEntry(name, document.version)
                for name, document in snapshot.parsed.items()
                if snapshots.find_group(name) in differing
            )
            if differing
            else (),
        )

    def answer_announce(
        self, request: messages.AnnounceRequest
    ) -> messages.AnnounceReply:
        """Request what this node lacks and what no peer is sending yet."""
        context = self._context
        revision = context.list_replicator.revision
        return messages.AnnounceReply(
            wanted=tuple(
                entry.name
                for entry in request.versions
                if context.store.needs(entry.name, entry.version)
                and context.deliveries.begin(entry.name, entry.version)
            ),
            list_revision=revision,
            wants_list=request.list_revision > revision
            and context.deliveries.begin(
                delivery_tables.LIST, request.list_revision
            ),
        )

    def answer_deliver(
        self, request: messages.DeliverRequest
    ) -> messages.DeliverReply:
        """Apply delivered documents and changes to the instance list."""
        context = self._context
        context.store.apply(request.documents, request.sender.instance)
        context.deliveries.end(text.name for text in request.documents)
        if request.instances is not None:
            context.list_replicator.apply(request.instances)
            context.deliveries.end((delivery_tables.LIST,))
        return messages.DeliverReply(
            list_revision=context.list_replicator.revision
        )

    def answer_fetch(
        self, request: messages.FetchRequest
    ) -> messages.FetchReply:
        """Return documents in force, as many as one reply may hold."""
        snapshot = self._context.store.snapshot
        names = request.names or tuple(snapshot.parsed)
        texts = peer_session.build_texts(snapshot, names)
        batch = next(peer_session.split_texts(texts), ())
        sent = {text.name for text in batch}
        return messages.FetchReply(
            documents=batch,
            remaining=tuple(
                name
                for name in names
                if name not in sent and name in snapshot.parsed
            ),
            ready=self._context.is_ready,
        )

    def answer_list(self, request: messages.ListRequest) -> messages.ListReply:
        """Return the instance list or its changes."""
        return self._context.list_replicator.build_reply(request.revision)


def _find_differing_groups(
    snapshot: snapshots.Snapshot, groups: bytes
) -> frozenset[int]:
    size = snapshots.GROUP_DIGEST_BYTES
    if len(groups) != snapshots.GROUPS * size:
        return frozenset()
    own = snapshot.group_digests
    return frozenset(
        number
        for number in range(snapshots.GROUPS)
        if groups[number * size : (number + 1) * size]
        != own[number * size : (number + 1) * size]
    )
