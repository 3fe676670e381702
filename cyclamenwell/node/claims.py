"""Wiring of idempotency key claims to membership views and peers."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import claimer as claimers
from cyclamenwell.idempotency import guard as guards
from cyclamenwell.idempotency import registrar as registrars
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.membership import views
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities

__all__ = ["ClaimParts", "build_claims"]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimParts:
    """Components that run non-idempotent requests at most once.

    Parameters
    ----------
    registrar : registrars.Registrar
        Decides on claims of peers and of this node.
    claimer : claimers.Claimer
        Claims keys for this node.
    guard : guards.Guard
        Runs requests under a claim.
    """

    registrar: registrars.Registrar
    claimer: claimers.Claimer
    guard: guards.Guard


class _AgreementViewSource:
    """Agreed views, by the wall time that idempotency keys carry."""

    def __init__(
        self, agreement: agreements.ViewAgreement, time: clock.Clock
    ) -> None:
        self._agreement = agreement
        self._time = time

    def list_live_views(self) -> tuple[views.View, ...]:
        bounds = self._agreement.bounds
        return bounds.views if bounds.settled else ()

    def find_settled_time(self) -> clock.Milliseconds | None:
        settled_at = self._agreement.settled_at
        if settled_at is None:
            return None
        return self._time.wall_time() - (self._time.now() - settled_at)

    def list_views_since(
        self, wall: clock.Milliseconds
    ) -> tuple[views.View, ...]:
        since = self._time.now() - (self._time.wall_time() - wall)
        lifetimes = self._agreement.list_view_lifetimes(since)
        return tuple(lifetime.view for lifetime in lifetimes)


class _MessageSender:
    """Sends messages about claims to instances, including this one."""

    def __init__(
        self,
        identity: identities.Identity,
        directory: directories.Directory,
        client: peer_clients.PeerClient,
        registrar: registrars.Registrar,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._client = client
        self._registrar = registrar

    def send(
        self, instance: str, message: Any, timeout: clock.Milliseconds
    ) -> Any:
        stamped = dataclasses.replace(
            message, sender=self._identity.build_sender(instance)
        )
        if instance == self._identity.instance:
            return _answer_locally(stamped, self._registrar)
        entry = self._directory.find_entry(instance)
        if entry is None:
            raise exceptions.PeerUnavailableError(
                f"{instance} is not listed any more", sent=False, refused=False
            )
        return self._client.call(
            peer_clients.Address.from_entry(entry), stamped, timeout
        )


@functools.singledispatch
def _answer_locally(message: Any, registrar: registrars.Registrar) -> Any:
    """Answer a message to this instance; None for other messages."""
    del message, registrar
    return None


@_answer_locally.register
def _(
    message: messages.ClaimRequest, registrar: registrars.Registrar
) -> messages.ClaimReply:
    return registrar.decide(message)


@_answer_locally.register
def _(
    message: messages.ReleaseRequest, registrar: registrars.Registrar
) -> messages.ReleaseReply:
    return registrar.release(message)


def build_claims(
    loaded: settings.NodeSettings,
    identity: identities.Identity,
    time: clock.Clock,
    agreement: agreements.ViewAgreement,
    directory: directories.Directory,
    client: peer_clients.PeerClient,
) -> ClaimParts:
    """Build the components that run non-idempotent requests at most once.

    Parameters
    ----------
    loaded : settings.NodeSettings
        Settings of the node.
    identity : identities.Identity
        Identity of the node towards its peers.
    time : clock.Clock
        Clock of the node.
    agreement : agreements.ViewAgreement
        Live membership views of the service of this node.
    directory : directories.Directory
        Addresses of the registrars.
    client : peer_clients.PeerClient
        Sends messages to other nodes.
    """
    limits = loaded.idempotency
    view_source = _AgreementViewSource(agreement, time)
    registrar = registrars.Registrar(
        identity.instance, time, view_source, limits
    )
    message_sender = _MessageSender(identity, directory, client, registrar)
    timeout = loaded.peers.call_timeout
    claimer = claimers.Claimer(
        view_source, message_sender.send, limits.registrars, timeout
    )
    cache = answers.AnswerCache(time, limits.max_kept_bytes, limits.max_key_age)
    guard = guards.Guard(cache, claimer, message_sender.send, timeout)
    return ClaimParts(registrar, claimer, guard)
