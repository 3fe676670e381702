"""Answers to the messages of other nodes."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import parts
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import streams

__all__ = ["serve_peer"]

_IDLE = clock.Milliseconds(60_000)
# A granted slot stands empty until the request comes, which takes a round
# trip; a sender that takes longer is gone.
_START_WAIT = clock.Milliseconds(500)


async def serve_peer(node: parts.Parts, stream: streams.Stream) -> None:
    """Serve the connection of another node until it ends."""
    stream.probe_silence()
    link = peers.Link(stream)
    while True:
        try:
            message = await link.receive(_IDLE)
        except TimeoutError:
            return
        except exceptions.ProtocolError as error:
            node.log.record("peer.malformed", error=str(error))
            stream.abort()
            return
        if message is None:
            return
        with stream.cancelling():
            await _handle(message, node, link)


@functools.singledispatch
async def _handle(message: Any, node: parts.Parts, link: peers.Link) -> None:
    """Answer one message."""
    del node, link
    raise exceptions.ProtocolError(
        f"{type(message).__name__} is no request of another node"
    )


@_handle.register
async def _(
    message: deployment.Offer, node: parts.Parts, link: peers.Link
) -> None:
    """Run an offered request when it gets a slot."""
    begun = node.time.now()
    outcome = "answered"
    sign = asyncio.get_running_loop().call_later(
        peers.SIGN_DELAY.seconds,
        link.send_soon,
        deployment.Waiting(message.request_id),
    )
    try:
        reply = await _run_offer(message, node, link)
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
        sign.cancel()
    node.figures.count("offers", outcome)
    parts.record_outcome(
        node.log,
        "offer.answered",
        outcome == "answered",
        request=message.request_id,
        outcome=outcome,
        detail=getattr(reply, "detail", ""),
        status=getattr(reply, "status", 0),
        took_ms=round((node.time.now() - begun).value, 1),
        running=node.executor.gate.book.running,
        queued=node.executor.gate.book.queued,
    )
    await link.send(reply)


async def _run_offer(
    offer: deployment.Offer, node: parts.Parts, link: peers.Link
) -> deployment.Result:
    deadline = node.time.now() + clock.Milliseconds(offer.remaining_ms)
    if offer.request is not None:
        async with node.executor.reserve(offer) as slot:
            return await node.executor.run(offer, offer.request, deadline, slot)
    async with node.executor.reserve(offer) as slot:
        await link.send(deployment.Grant(offer.request_id))
        start = await _receive_start(offer, link)
        deadline = node.time.now() + clock.Milliseconds(start.remaining_ms)
        return await node.executor.run(offer, start.request, deadline, slot)


async def _receive_start(
    offer: deployment.Offer, link: peers.Link
) -> deployment.Start:
    try:
        start = await link.receive(_START_WAIT)
    except (TimeoutError, exceptions.ProtocolError) as error:
        raise _refuse_start(repr(error)) from error
    is_expected = isinstance(start, deployment.Start)
    if not is_expected or start.request_id != offer.request_id:
        raise _refuse_start(f"got {type(start).__name__}")
    return start


def _refuse_start(detail: str) -> executors.AttemptError:
    return executors.AttemptError(
        enumerations.ErrorKind.ABANDONED,
        f"the sender did not use its slot: {detail}",
        reached_target=False,
        not_run=True,
    )


@_handle.register
async def _(
    message: deployment.StateExchange, node: parts.Parts, link: peers.Link
) -> None:
    """Return what the sender lacks, and ask it for what this node lacks."""
    state = node.state
    operators, targets = state.operators, state.targets
    reply = deployment.StateExchangeReply(
        host=node.settings.host,
        operator_revision=operators.changed,
        target_revision=targets.changed,
        operator_changes=(
            operators.list_changes(message.operator_revision)
            if operators.changed > message.operator_revision
            else None
        ),
        target_changes=(
            targets.list_changes(message.target_revision)
            if targets.changed > message.target_revision
            else None
        ),
    )
    node.spread.note_exchange(message)
    await link.send(reply)


@_handle.register
async def _(
    message: deployment.ShareRequest, node: parts.Parts, link: peers.Link
) -> None:
    """Divide the limits of organisations."""
    grants = node.shares.divider.grant(message.host, message.demands)
    await link.send(deployment.ShareReply(grants))


@_handle.register
async def _(
    message: deployment.TokenRequest, node: parts.Parts, link: peers.Link
) -> None:
    """Give tokens out of the reserve of an organisation."""
    organisation = node.find_organisation(message.organisation)
    granted, wait = 0.0, clock.ZERO
    if organisation is not None:
        granted, wait = node.shares.reserve.take(organisation, message.wanted)
    await link.send(deployment.TokenReply(granted, wait.value))
