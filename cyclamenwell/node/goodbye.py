"""Telling peers that this node is leaving or has stopped."""

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

_SENDERS = 16


def send_goodbye(
    state: enumerations.InstanceState,
    identity: identities.Identity,
    entries: Iterable[messages.InstanceEntry],
    client: peer_clients.PeerClient,
    timeout: clock.Milliseconds,
) -> None:
    """Tell instances the state of this one, and wait for their replies.

    Parameters
    ----------
    state : enumerations.InstanceState
        LEAVING while requests finish, or GONE when no request can use a token
        of this node any more.
    identity : identities.Identity
        Identity of this node.
    entries : iterable of messages.InstanceEntry
        Instances to tell; the own one is left out.
    client : peer_clients.PeerClient
        Sends the messages.
    timeout : clock.Milliseconds
        Time for one message. A peer that does not hear of it learns it from
        refused connections.
    """

    def tell(entry: messages.InstanceEntry) -> None:
        message = messages.GoodbyeRequest(
            sender=identity.address(entry.instance), state=state
        )
        with contextlib.suppress(exceptions.PeerUnavailableError):
            client.call(peer_clients.Address.of(entry), message, timeout)

    others = [e for e in entries if e.instance != identity.instance]
    with futures.ThreadPoolExecutor(_SENDERS, "goodbye") as senders:
        futures.wait([senders.submit(tell, entry) for entry in others])
