"""Handlers of messages from other nodes, chosen by message class."""

from __future__ import annotations

import functools
import socket
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.node import calls
from cyclamenwell.node import components
from cyclamenwell.routing import route_matching

__all__ = ["handle_message"]

_Kind = enumerations.ErrorKind


def handle_message(
    message: Any, node: components.Components, connection: socket.socket
) -> Any:
    """Handle a message and return its reply.

    Parameters
    ----------
    message : object
        Instance of a class in `messages`.
    node : components.Components
        Components of the node that received it.
    connection : socket.socket
        Connection it came on.

    Returns
    -------
    object
        The reply; a `messages.Fault` if the message is for another process.
    """
    sender = getattr(message, "sender", None)
    if sender is not None and not node.identity.accepts(sender):
        return messages.Fault(
            kind=_Kind.WRONG_INSTANCE,
            detail=f"this is {node.identity.instance}, a later process",
            incarnation=node.identity.incarnation,
        )
    return _handle(message, node, connection)


@functools.singledispatch
def _handle(
    message: Any, node: components.Components, connection: socket.socket
) -> Any:
    """Reject a message that is not a request."""
    del node, connection
    raise exceptions.ProtocolError(f"{type(message).__name__} is no request")


@_handle.register
def _(
    message: messages.ForwardRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ForwardReply:
    """Run a forwarded call at the local target."""
    call = None
    try:
        call = _read_call(message, node)
        with node.watcher.watch(connection) as cancellation:
            reply = node.executor.execute(call, message.retries, cancellation)
    except exceptions.RefusedError as refusal:
        if call is None:
            refusal.retries_left = message.retries
        return messages.ForwardReply(
            call_id=message.call_id,
            refusal=refusal.kind,
            detail=refusal.detail,
            retry_after_ms=int(refusal.retry_after.value),
            load=node.report_load(),
            retries_left=refusal.retries_left,
            retried=refusal.retried,
        )
    return messages.ForwardReply(
        call_id=message.call_id,
        status=reply.answer.status,
        headers=reply.answer.headers,
        body=reply.answer.body,
        load=node.report_load(),
        retries_left=reply.retries_left,
    )


def _read_call(
    message: messages.ForwardRequest, node: components.Components
) -> calls.Call:
    service = node.store.snapshot.services.get(message.service)
    if service is None:
        # The sender has the document, so the configuration here is older.
        raise exceptions.RefusedError(
            _Kind.STALE_VIEW,
            f"service {message.service} has no document here",
        )
    return calls.Call(
        call_id=message.call_id,
        service=message.service,
        route=route_matching.match_route(service, message.method, message.path),
        request=calls.HttpRequest(
            message.method, message.path, message.headers, message.body
        ),
        organisation=message.organisation,
        key_identifier=message.key_identifier,
        importance=message.importance,
        deadline=node.time.now() + clock.Milliseconds(message.remaining_ms),
        idempotency_key=message.idempotency_key,
        depth=message.depth,
    )


@_handle.register
def _(
    message: messages.StatusRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.StatusReply:
    """Report state and load."""
    del message, connection
    return messages.StatusReply(load=node.report_load())


@_handle.register
def _(
    message: messages.ExchangeRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ExchangeReply:
    """Compare configuration with a neighbour."""
    del connection
    reply = node.responder.answer_exchange(message)
    node.disseminator.note_message(message.sender)
    return reply


@_handle.register
def _(
    message: messages.AnnounceRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.AnnounceReply:
    """Ask for announced versions that this node lacks."""
    del connection
    node.disseminator.note_message(
        message.sender, message.versions, message.list_revision
    )
    return node.responder.answer_announce(message)


@_handle.register
def _(
    message: messages.DeliverRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.DeliverReply:
    """Apply delivered documents and a delivered instance list."""
    del connection
    return node.responder.answer_deliver(message)


@_handle.register
def _(
    message: messages.FetchRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.FetchReply:
    """Return documents in force."""
    del connection
    return node.responder.answer_fetch(message)


@_handle.register
def _(
    message: messages.ListRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ListReply:
    """Return the instance list or its changes."""
    del connection
    return node.responder.answer_list(message)


@_handle.register
def _(
    message: messages.ViewRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ViewReply:
    """Exchange declarations of views with a peer of the same service."""
    del connection
    if message.load is not None:
        node.directory.note_load(message.load)
    return node.agreement.answer_request(message, node.report_load())


@_handle.register
def _(
    message: messages.LeaseRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.LeaseReply:
    """Decide on a request for a lease of share units."""
    del connection
    return node.limiter.grant(message)


@_handle.register
def _(
    message: messages.GoodbyeRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.GoodbyeReply:
    """Record that a peer is leaving or gone."""
    del connection
    node.directory.note_goodbye(message.sender, message.state)
    if message.state is enumerations.InstanceState.GONE:
        node.agreement.note_goodbye(message.sender)
    return messages.GoodbyeReply(incarnation=node.identity.incarnation)


@_handle.register
def _(
    message: messages.ClaimRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ClaimReply:
    """Decide on a claim of an idempotency key."""
    del connection
    return node.claims.registrar.decide(message)


@_handle.register
def _(
    message: messages.ReleaseRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.ReleaseReply:
    """Release a claim."""
    del connection
    return node.claims.registrar.release(message)


@_handle.register
def _(
    message: messages.AnswerRequest,
    node: components.Components,
    connection: socket.socket,
) -> messages.AnswerReply:
    """Return the cached answer of a request that ran here."""
    del connection
    return node.claims.guard.answer_peer(message)
