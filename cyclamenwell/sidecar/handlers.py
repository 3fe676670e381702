"""Handlers for messages from other nodes."""

from __future__ import annotations

import functools
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import components
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import receivers
from cyclamenwell.sidecar import streams

__all__ = ["serve_peer"]

_IDLE_TIMEOUT = clock.Milliseconds(60_000)
# A granted slot stays unused until the request arrives, which takes a round
# trip; a sender that takes longer is considered gone.
_START_TIMEOUT = clock.Milliseconds(500)


async def serve_peer(
    node: components.Components, stream: streams.Stream
) -> None:
    """Serve the connection of another node until it is closed."""
    stream.enable_keepalive()
    link = peers.Link(stream, node.memory)
    try:
        while (message := await _receive_message(node, link)) is not None:
            stream.is_in_use = True
            with stream.cancel_on_disconnect():
                await _handle(message, node, link)
            stream.is_in_use = False
    finally:
        node.memory.remove(link)


async def _receive_message(
    node: components.Components, link: peers.Link
) -> Any | None:
    """Return the next message of a peer, or None if there will be none."""
    try:
        return await link.receive(_IDLE_TIMEOUT)
    except TimeoutError:
        return None
    except exceptions.ProtocolError as error:
        node.log.record("peer.malformed", error=str(error))
        link.stream.abort()
        return None


@functools.singledispatch
async def _handle(
    message: Any, node: components.Components, link: peers.Link
) -> None:
    """Handle one message; each message type registers a handler."""
    del node, link
    raise exceptions.ProtocolError(
        f"{type(message).__name__} is not a request message"
    )


@_handle.register
async def _(
    message: deployment.Offer, node: components.Components, link: peers.Link
) -> None:
    """Run an offered request once it has a slot."""
    started_at = node.time.now()
    outcome = "answered"
    acknowledgement = link.stream.loop.call_later(
        peers.ACKNOWLEDGEMENT_DELAY.seconds,
        link.send_soon,
        deployment.Waiting(message.request_id),
    )
    try:
        reply = await _run_offer(message, node, link)
    except (
        exceptions.BrokenAnswerError,
        exceptions.ReceiverGoneError,
    ) as error:
        # The end of the connection tells the sender that the answer is
        # incomplete.
        node.metrics.count("offers", "BROKEN")
        node.log.record(
            "offer.broken", request=message.request_id, error=repr(error)
        )
        raise ConnectionResetError(str(error)) from error
    except executors.AttemptError as error:
        outcome = error.kind.name
        reply = deployment.Refusal(
            request_id=message.request_id,
            kind=error.kind,
            detail=error.detail,
            retry_after_ms=error.retry_after.value,
            reached_target=error.reached_target,
            not_run=error.not_run,
            load=node.executor.load,
        )
    except exceptions.RefusedError as error:
        outcome = error.kind.name
        reply = deployment.Refusal(
            request_id=message.request_id,
            kind=error.kind,
            detail=error.detail,
            not_run=True,
            load=node.executor.load,
        )
    finally:
        acknowledgement.cancel()
    node.metrics.count("offers", outcome)
    components.record_outcome(
        node.log,
        "offer.answered",
        outcome == "answered",
        request=message.request_id,
        outcome=outcome,
        detail=getattr(reply, "detail", ""),
        status=getattr(reply, "status", 0),
        took_ms=round((node.time.now() - started_at).value, 1),
        running=node.executor.admission_queue.slot_scheduler.running,
        queued=node.executor.admission_queue.slot_scheduler.queued,
    )
    if not getattr(reply, "is_partial", False):
        await link.send(reply)


async def _run_offer(
    offer: deployment.Offer, node: components.Components, link: peers.Link
) -> deployment.Result:
    """Run an offered request; a large answer is passed on to the link."""
    receiver = receivers.PeerReceiver(link, offer.request_id)
    deadline = node.time.now() + clock.Milliseconds(offer.remaining_ms)
    if offer.request is not None:
        async with node.executor.reserve(offer) as slot:
            return await node.executor.run(
                offer, offer.request, deadline, slot, receiver
            )
    async with node.executor.reserve(offer) as slot:
        await link.send(deployment.Grant(offer.request_id))
        start = await _receive_start(offer, link)
        deadline = node.time.now() + clock.Milliseconds(start.remaining_ms)
        return await node.executor.run(
            offer, start.request, deadline, slot, receiver
        )


async def _receive_start(
    offer: deployment.Offer, link: peers.Link
) -> deployment.Start:
    try:
        start = await link.receive(_START_TIMEOUT)
    except (TimeoutError, exceptions.ProtocolError) as error:
        raise _build_start_error(repr(error)) from error
    is_expected = isinstance(start, deployment.Start)
    if not is_expected or start.request_id != offer.request_id:
        raise _build_start_error(f"got {type(start).__name__}")
    return start


def _build_start_error(detail: str) -> executors.AttemptError:
    return executors.AttemptError(
        enumerations.ErrorKind.ABANDONED,
        f"the sender did not use its slot: {detail}",
        reached_target=False,
        not_run=True,
    )


@_handle.register
async def _(
    message: deployment.StateExchange,
    node: components.Components,
    link: peers.Link,
) -> None:
    """Send the changes that the peer lacks; schedule a pull if it is ahead."""
    state = node.state
    since_outage = state.since_outage
    operators, targets = state.operators, state.targets
    # What this node knows of an earlier era confirms nothing of a later one.
    is_current = state.is_complete and not state.is_in_earlier_era(message)
    reply = deployment.StateExchangeReply(
        host=node.settings.host,
        operator_revision=operators.change_revision,
        target_revision=targets.change_revision,
        operator_changes=state.list_missing_operators(message),
        target_changes=state.list_missing_targets(message),
        store_age_ms=node.duty.store_age_ms if is_current else None,
        reader_age_ms=node.duty.reader_age_ms if is_current else None,
        since_outage_ms=(None if since_outage is None else since_outage.value),
    )
    node.gossip.record_exchange(message)
    await link.send(reply)


@_handle.register
async def _(
    message: deployment.ShareRequest,
    node: components.Components,
    link: peers.Link,
) -> None:
    """Grant shares of the rate limits of organisations."""
    grants = node.rate_limiter.divider.grant(message.host, message.demands)
    await link.send(deployment.ShareReply(grants))


@_handle.register
async def _(
    message: deployment.TokenRequest,
    node: components.Components,
    link: peers.Link,
) -> None:
    """Grant tokens from the reserve of an organisation."""
    organisation = node.find_organisation(message.organisation)
    granted, wait = 0.0, clock.ZERO
    if organisation is not None:
        granted, wait = node.rate_limiter.reserve.take(
            organisation, message.wanted
        )
    await link.send(deployment.TokenReply(granted, wait.value))
