"""Connections of a target that a test answers by itself, also wrongly."""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.node import calls
from cyclamenwell.node import http1
from cyclamenwell.platform import names
from cyclamenwell.sidecar import streams

__all__ = ["ScriptedConnection", "encode_answer", "encode_refusal"]

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

    def answer(self, request_id: str, body: bytes = b"whole") -> None:
        """Send a whole and sealed answer to a request."""
        self.stream.send(encode_answer(request_id, body))


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
