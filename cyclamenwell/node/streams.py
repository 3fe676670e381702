"""Reading HTTP/1.1 from a connection before a deadline."""

from __future__ import annotations

import re
import socket

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages

__all__ = ["Stream", "parse_length", "read_chunks", "read_headers"]

_RECEIVED_BYTES = 64 * 1024
_MAX_CHUNK_LINE_BYTES = 1024
_MAX_TRAILER_BYTES = 16 * 1024
_CRLF = b"\r\n"
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
_HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*\r\n"
)
_LENGTH = re.compile(r"[0-9]{1,15}")


class Stream:
    """Buffered reader of a connection with one deadline for all reads.

    Parameters
    ----------
    connection : socket.socket
        Connection to read from.
    time : clock.Clock
        Clock of the deadline.

    Notes
    -----
    A timeout of the socket starts again with each received byte, so it does
    not bound the time of a whole message.
    """

    def __init__(self, connection: socket.socket, time: clock.Clock) -> None:
        self._connection = connection
        self._time = time
        self._buffer = b""
        self.deadline = clock.ZERO

    def has_data(self) -> bool:
        """Return whether received bytes have not been read yet."""
        return bool(self._buffer)

    def readline(self, size: int) -> bytes:
        """Return a line with its end, or less at `size` or the end of stream.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        searched = 0
        while True:
            end = self._buffer.find(b"\n", searched, size)
            if end >= 0:
                return self._cut(end + 1)
            searched = len(self._buffer)
            if searched >= size:
                return self._cut(size)
            received = self._receive()
            if not received:
                return self._cut(searched)
            self._buffer += received

    def read(self, size: int) -> bytes:
        """Return so many bytes, or less at the end of the stream.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        if len(self._buffer) >= size:
            return self._cut(size)
        parts = bytearray(self._buffer)
        self._buffer = b""
        while len(parts) < size:
            received = self._receive()
            if not received:
                return bytes(parts)
            parts += received
        self._buffer = bytes(parts[size:])
        return bytes(parts[:size])

    def close(self) -> None:
        """Forget what was received."""
        self._buffer = b""

    def _cut(self, size: int) -> bytes:
        cut, self._buffer = self._buffer[:size], self._buffer[size:]
        return cut

    def _receive(self) -> bytes:
        remaining = self.deadline.value - self._time.now().value
        if remaining <= 0:
            raise TimeoutError("timed out")
        self._connection.settimeout(remaining / 1000)
        return self._connection.recv(_RECEIVED_BYTES)


def read_headers(stream: Stream, max_bytes: int) -> tuple[messages.Header, ...]:
    """Read header lines up to the empty line.

    Parameters
    ----------
    stream : Stream
        Where to read.
    max_bytes : int
        Most bytes of all lines together.

    Returns
    -------
    tuple of messages.Header
        Headers in order, with names in lower case.

    Raises
    ------
    exceptions.ProtocolError
        If a line is malformed or the stream ends early.
    """
    found = []
    left = max_bytes
    while True:
        line = stream.readline(left)
        if line == _CRLF:
            return tuple(found)
        match = _HEADER.fullmatch(line)
        left -= len(line)
        if match is None or left <= 0:
            raise exceptions.ProtocolError(
                f"malformed or too long header line: {line[:80]!r}"
            )
        name, value = match.groups()
        found.append(
            messages.Header(
                name.decode("latin-1").lower(), value.decode("latin-1")
            )
        )


def parse_length(values: list[str]) -> int:
    """Return the length that all values of Content-Length give.

    Raises
    ------
    exceptions.ProtocolError
        If they differ or are no plain decimal numbers.
    """
    first = values[0]
    if _LENGTH.fullmatch(first) is None or any(v != first for v in values):
        raise exceptions.ProtocolError(
            f"content-length: got {', '.join(values)!r}, must be one number"
        )
    return int(first)


def read_chunks(
    stream: Stream, max_bytes: int, too_large: enumerations.ErrorKind
) -> bytes:
    """Read a chunked body with its trailer.

    Parameters
    ----------
    stream : Stream
        Where to read.
    max_bytes : int
        Largest body.
    too_large : enumerations.ErrorKind
        Refusal of a larger one.

    Returns
    -------
    bytes
        The whole body.

    Raises
    ------
    exceptions.ProtocolError
        If it is malformed or ends early.
    exceptions.RefusedError
        If it is too large.

    Notes
    -----
    The end is only taken for whole with the empty line after the trailer: an
    early end inside a size such as ``0a`` looks like the last chunk.
    """
    parts = []
    size = 0
    while length := _read_chunk_size(stream):
        size += length
        if size > max_bytes:
            raise exceptions.RefusedError(
                too_large, f"the body has more than {max_bytes} bytes"
            )
        part = stream.read(length)
        if len(part) < length or stream.read(2) != _CRLF:
            raise exceptions.ProtocolError("the body ends inside a chunk")
        parts.append(part)
    read_headers(stream, _MAX_TRAILER_BYTES)
    return b"".join(parts)


def _read_chunk_size(stream: Stream) -> int:
    line = stream.readline(_MAX_CHUNK_LINE_BYTES)
    match = _CHUNK_SIZE.fullmatch(line)
    if match is None:
        raise exceptions.ProtocolError(f"no chunk size: {line[:80]!r}")
    return int(match.group(1), 16)
