"""Connections of a target that a test answers by itself, also wrongly."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.node import calls
from cyclamenwell.node import http1
from cyclamenwell.platform import names
from cyclamenwell.sidecar import streams

__all__ = [
    "ScriptedConnection",
    "encode_answer",
    "encode_body",
    "encode_framed_answer",
    "encode_refusal",
]

_TIMEOUT = clock.Milliseconds(8000)


class ScriptedConnection:
    """A target's side of one connection, for answers of a test's own.

    Parameters
    ----------
    stream : streams.Stream
        Accepted connection.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._parser = http1.RequestParser()

    async def read_request(self) -> calls.HttpRequest:
        """Return the next request.

        Raises
        ------
        ConnectionResetError
            If the node closes the connection.
        """
        while (received := self._parser.pop_request()) is None:
            data = await self.stream.receive(_TIMEOUT)
            if not data:
                raise ConnectionResetError("the node closed the connection")
            self._parser.feed(data)
        return received.request

    def reset(self) -> None:
        """Close the connection with a reset instead of an orderly end."""
        self.stream.reset()

    def answer(self, request_id: str, body: bytes = b"whole") -> None:
        """Send a whole and sealed answer to a request."""
        self.stream.send(encode_answer(request_id, body))


def encode_body(body: bytes, framing: str) -> tuple[list[str], bytes]:
    """Return the header lines and the bytes of a body.

    Parameters
    ----------
    body : bytes
        The body.
    framing : str
        ``length``, ``chunks`` or ``end`` (of the connection).
    """
    if framing == "length":
        return [f"content-length: {len(body)}"], body
    if framing == "end":
        return [], body
    size = 50_000
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    framed = [f"{len(c):x}\r\n".encode() + c + b"\r\n" for c in chunks]
    return ["transfer-encoding: chunked"], b"".join(framed) + b"0\r\n\r\n"


def encode_framed_answer(
    request_id: str, body: bytes, framing: str
) -> tuple[bytes, bytes]:
    """Return head and body of a sealed answer; see `encode_body`."""
    lines, framed = encode_body(body, framing)
    head = [
        "HTTP/1.1 200 X",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.RESPONSE_SEAL}: seal",
        *lines,
        "",
        "",
    ]
    return "\r\n".join(head).encode(), framed


def encode_answer(request_id: str, body: bytes = b"whole") -> bytes:
    """Return a whole and sealed answer of a target."""
    fields = [(names.REQUEST_ID, request_id), (names.RESPONSE_SEAL, "seal")]
    return _encode_head(200, fields, len(body)) + body


def encode_refusal(request_id: str = "") -> bytes:
    """Return a refusal of a target, without identity if there is no id."""
    fields = [(names.NOT_EXECUTED, "1")]
    if request_id:
        fields.append((names.REQUEST_ID, request_id))
    return _encode_head(503, fields, 0)


def _encode_head(
    status: int, fields: list[tuple[str, str]], length: int
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines += [f"content-length: {length}", "", ""]
    return "\r\n".join(lines).encode()
