"""Callers outside of the limits: what they send, and crowds of them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import os
import struct

from cyclamenwell.sidecar.tests import builders

__all__ = [
    "Crowd",
    "count_descriptors",
    "split_body",
    "split_empty_lines",
    "split_endless_head",
    "split_frame",
    "split_large_chunks",
    "split_pipeline",
    "split_requests",
    "split_short_headers",
    "split_small_chunks",
]

_PIECE_BYTES = 64 * 1024
_HEAD_LINES = (
    b"POST /read/1 HTTP/1.1\r\nhost: meters.example\r\n"
    b"x-api-key: k1\r\ndeadline-ms: %d\r\nrequest-id: c-%d\r\n"
)
_DEADLINE_MS = 3000
_NUMBERS = itertools.count(1)
# A connection that accepts nothing for this time is left as it is.
_SEND_TIMEOUT_SECONDS = 5.0


def split_short_headers(size: int, is_whole: bool = False) -> Iterator[bytes]:
    """Yield a head of short lines, which ends only if it is whole."""
    yield _build_head()
    yield b"a:b\r\n" * (size // 5)
    if is_whole:
        yield b"content-length: 0\r\n\r\n"


def split_endless_head(size: int) -> Iterator[bytes]:
    """Yield a head with one header that does not end."""
    yield _build_head() + b"x-long: "
    yield from _split(b"x" * size)


def split_empty_lines(size: int) -> Iterator[bytes]:
    """Yield empty lines before a request that never comes."""
    yield from _split(b"\r\n" * (size // 2))


def split_body(size: int, missing: int = 1) -> Iterator[bytes]:
    """Yield a request whose body lacks its last bytes."""
    yield _build_head() + b"content-length: %d\r\n\r\n" % size
    yield from _split(b"x" * (size - missing))


def split_large_chunks(size: int) -> Iterator[bytes]:
    """Yield a body in large chunks that does not end."""
    yield from _split_chunks(size, 60_000)


def split_small_chunks(size: int) -> Iterator[bytes]:
    """Yield a body in chunks of two bytes that does not end."""
    yield from _split_chunks(size, 2)


def split_frame(size: int) -> Iterator[bytes]:
    """Yield a message between nodes that lacks its last byte."""
    yield struct.pack(">I", size)
    yield from _split(b"x" * (size - 1))


def split_pipeline(size: int) -> Iterator[bytes]:
    """Yield a request, and behind it the begin of a long one."""
    yield _build_head() + b"content-length: 0\r\n\r\n"
    yield from split_body(size)


def split_requests(
    count: int, deadline_ms: int = _DEADLINE_MS
) -> Iterator[bytes]:
    """Yield requests one after the other, without a wait for answers."""
    for _ in range(count):
        yield _build_head(deadline_ms) + b"content-length: 0\r\n\r\n"


def count_descriptors(machine: builders.Machine) -> int:
    """Return the number of open descriptors of a node."""
    return len(os.listdir(f"/proc/{machine.process.pid}/fd"))


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Connections that send what they have and stay open.

    Parameters
    ----------
    host : str
        Address to connect to.
    port : int
        Port to connect to.
    writers : list of asyncio.StreamWriter
        Open connections.
    """

    host: str
    port: int
    writers: list[asyncio.StreamWriter] = dataclasses.field(
        default_factory=list
    )

    async def send(self, payloads: list[Iterator[bytes]]) -> None:
        """Send each payload on a connection of its own, all at once."""
        await asyncio.gather(*map(self._send_one, payloads))

    def close(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.close()

    async def _send_one(self, payload: Iterator[bytes]) -> None:
        # The node may refuse or close such a connection at any time.
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=_PIECE_BYTES
            )
            del reader  # Answers are not read.
            self.writers.append(writer)
            with contextlib.suppress(TimeoutError):
                for piece in payload:
                    writer.write(piece)
                    async with asyncio.timeout(_SEND_TIMEOUT_SECONDS):
                        await writer.drain()


def _build_head(deadline_ms: int = _DEADLINE_MS) -> bytes:
    return _HEAD_LINES % (deadline_ms, next(_NUMBERS))


def _split(data: bytes) -> Iterator[bytes]:
    for begin in range(0, len(data), _PIECE_BYTES):
        yield data[begin : begin + _PIECE_BYTES]


def _split_chunks(size: int, chunk: int) -> Iterator[bytes]:
    yield _build_head() + b"transfer-encoding: chunked\r\n\r\n"
    encoded = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    yield from _split(encoded * (size // chunk))
