"""Receivers of answers that are passed on in parts.

An answer that is larger than a buffer is not collected: each part goes to the
receiver before the next one is read, so that a slow receiver slows down the
target and the memory for one answer stays bounded on every node on its way.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import streams

__all__ = [
    "CallerReceiver",
    "PeerReceiver",
    "begin_answer",
    "end_body",
    "send_part",
]

# A receiver that does not read for this time is disconnected.
_WRITE_TIMEOUT = clock.Milliseconds(10_000)
_LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerReceiver:
    """The caller of a request.

    Parameters
    ----------
    stream : streams.Stream
        Connection of the caller.
    method : str
        Method of the request.
    keep_alive : bool
        Whether the connection stays open after the answer.
    accepts_chunks : bool
        Whether the caller understands an answer in chunks.
    """

    stream: streams.Stream
    method: str
    keep_alive: bool
    accepts_chunks: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceiver:
    """The entry node of an offered request.

    Parameters
    ----------
    link : peers.Link
        Link over which the request was offered.
    request_id : str
        Identifier of the request.
    """

    link: peers.Link
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class _CallerBody:
    """An answer to a caller whose head is sent."""

    stream: streams.Stream
    is_chunked: bool


@functools.singledispatch
async def begin_answer(receiver: Any, result: deployment.Result) -> Any:
    """Send the head and the first part of an answer.

    Parameters
    ----------
    receiver : CallerReceiver or PeerReceiver
        Receiver of the answer.
    result : deployment.Result
        Partial result.

    Returns
    -------
    object
        The begun answer, for `send_part` and `end_body`.

    Raises
    ------
    exceptions.ReceiverGoneError
        If the receiver has disconnected or does not read.
    """
    raise TypeError(f"{type(receiver).__name__} receives no answers")


@functools.singledispatch
async def send_part(body: Any, data: bytes) -> None:
    """Send the next part of the body of a begun answer.

    Raises
    ------
    exceptions.ReceiverGoneError
        If the receiver has disconnected or does not read.
    """
    raise TypeError(f"{type(body).__name__} is no begun answer")


@functools.singledispatch
async def end_body(body: Any) -> None:
    """Mark the body of a begun answer as complete.

    Raises
    ------
    exceptions.ReceiverGoneError
        If the receiver has disconnected or does not read.
    """
    raise TypeError(f"{type(body).__name__} is no begun answer")


@begin_answer.register
async def _(receiver: CallerReceiver, result: deployment.Result) -> Any:
    is_chunked = result.body_length is None
    if is_chunked and not receiver.accepts_chunks:
        # Without chunks, an answer that breaks off would look complete.
        raise exceptions.ReceiverGoneError(
            "the caller accepts no answer without a length"
        )
    head = encoding.encode_answer_head(
        calls.HttpAnswer(result.status, result.headers),
        receiver.method,
        receiver.keep_alive,
        result.body_length,
    )
    body = _CallerBody(receiver.stream, is_chunked)
    await _send_to_caller(body, head + _frame(body, result.body))
    return body


@begin_answer.register
async def _(receiver: PeerReceiver, result: deployment.Result) -> Any:
    await _send_to_peer(receiver, result)
    return receiver


@send_part.register
async def _(body: _CallerBody, data: bytes) -> None:
    await _send_to_caller(body, _frame(body, data))


@send_part.register
async def _(body: PeerReceiver, data: bytes) -> None:
    await _send_to_peer(body, deployment.BodyPart(body.request_id, data))


@end_body.register
async def _(body: _CallerBody) -> None:
    if body.is_chunked:
        await _send_to_caller(body, _LAST_CHUNK)


@end_body.register
async def _(body: PeerReceiver) -> None:
    await _send_to_peer(
        body, deployment.BodyPart(body.request_id, is_last=True)
    )


def _frame(body: _CallerBody, data: bytes) -> bytes:
    """Return a part as a chunk if the answer is chunked."""
    if not body.is_chunked or not data:
        return data
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _send_to_caller(body: _CallerBody, data: bytes) -> None:
    try:
        body.stream.send(data)
        await body.stream.flush(_WRITE_TIMEOUT)
    except OSError as error:
        raise exceptions.ReceiverGoneError(repr(error)) from error


async def _send_to_peer(receiver: PeerReceiver, message: Any) -> None:
    try:
        await receiver.link.send(message)
    except OSError as error:
        raise exceptions.ReceiverGoneError(repr(error)) from error
