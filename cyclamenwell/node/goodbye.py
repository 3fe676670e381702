"""Notification of peers that this node is leaving or has stopped."""

from __future__ import annotations

from collections.abc import Iterable
from concurrent import futures
import contextlib

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities

__all__ = ["send_goodbye"]

_SENDER_THREADS = 16


def send_goodbye(
    state: enumerations.InstanceState,
    identity: identities.Identity,
    entries: Iterable[messages.InstanceEntry],
    client: peer_clients.PeerClient,
    timeout: clock.Milliseconds,
) -> None:
    """Notify instances of the state of this one and wait for replies.

    Parameters
    ----------
    state : enumerations.InstanceState
        LEAVING while requests drain, or GONE when no request can use a token
        of this node any more.
    identity : identities.Identity
        Identity of this node.
    entries : iterable of messages.InstanceEntry
        Instances to notify; this one is left out.
    client : peer_clients.PeerClient
        Sends the messages.
    timeout : clock.Milliseconds
        Timeout of one message. A peer that does not receive it learns of the
        state from refused connections.
    """

    def notify(entry: messages.InstanceEntry) -> None:
        message = messages.GoodbyeRequest(
            sender=identity.build_sender(entry.instance), state=state
        )
        with contextlib.suppress(exceptions.PeerUnavailableError):
            client.call(
                peer_clients.Address.from_entry(entry), message, timeout
            )

    others = [e for e in entries if e.instance != identity.instance]
    with futures.ThreadPoolExecutor(_SENDER_THREADS, "goodbye") as senders:
        futures.wait([senders.submit(notify, entry) for entry in others])
