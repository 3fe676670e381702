"""Connections between nodes: framing, pooling and request-reply exchanges."""

from __future__ import annotations

import collections
import contextlib
import struct
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import memory_account
from cyclamenwell.generated import deployment
from cyclamenwell.peers import codec
from cyclamenwell.sidecar import streams

__all__ = ["ACKNOWLEDGEMENT_DELAY", "Link", "LinkPool"]

_CODEC = codec.Codec(deployment.WIRE_TYPES)
_LENGTH = struct.Struct(">I")
# The largest body that operators have allowed so far, 64 MiB, with headers.
_MAX_FRAME_BYTES = 68 * 1024 * 1024
# An offer that is neither granted nor answered by then is acknowledged with a
# Waiting message. Most are answered earlier, which saves the message.
ACKNOWLEDGEMENT_DELAY = clock.Milliseconds(100)
_CONNECT_TIMEOUT = clock.Milliseconds(300)
_MAX_IDLE_TIME = clock.Milliseconds(20_000)
_MAX_IDLE_LINKS = 64  # For each peer.
_FLUSH_TIMEOUT = clock.Milliseconds(5000)


class Link:
    """A connection between two nodes that carries one exchange at a time.

    Parameters
    ----------
    stream : streams.Stream
        Open connection.
    memory : memory_account.MemoryAccount or None
        Account of the messages that are being received, None if the other
        side only replies.
    """

    def __init__(
        self,
        stream: streams.Stream,
        memory: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.stream = stream
        self._memory = memory
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the connection."""
        return len(self._buffer) + self.stream.held_bytes

    @property
    def is_evictable(self) -> bool:
        """Whether no exchange is in progress."""
        return not self.stream.is_in_use

    def evict(self) -> None:
        """Close the connection."""
        self.stream.abort()
        self._buffer.clear()

    async def send(self, message: Any) -> None:
        """Send a message.

        Raises
        ------
        TimeoutError
            If the other node does not read in time.
        OSError
            If the connection is closed.
        """
        frame = _CODEC.encode(message)
        self.stream.send(_LENGTH.pack(len(frame)) + frame)
        await self.stream.flush(_FLUSH_TIMEOUT)

    def send_soon(self, message: Any) -> None:
        """Send a short message without waiting; ignore a closed link."""
        frame = _CODEC.encode(message)
        with contextlib.suppress(ConnectionResetError):
            self.stream.send(_LENGTH.pack(len(frame)) + frame)

    async def receive(self, timeout: clock.Milliseconds) -> Any | None:
        """Return the next message, or None at the end of the connection.

        Raises
        ------
        TimeoutError
            If it is not complete in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If a frame is too long, truncated or not a valid message.
        """
        loop = self.stream.loop
        end = loop.time() + timeout.seconds
        while True:
            frame = self._take_frame()
            if frame is not None:
                return _CODEC.decode(frame)
            data = await self.stream.receive(timeout)
            if data:
                self._buffer += data
                if self._memory is not None:
                    self._memory.update(self)
                timeout = clock.Milliseconds.from_seconds(end - loop.time())
                continue
            if self._buffer:
                raise exceptions.ProtocolError(
                    "connection closed inside a frame"
                )
            return None

    @property
    def is_reusable(self) -> bool:
        """Whether the link can carry another exchange."""
        return not self._buffer and self.stream.is_idle

    def _take_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > _MAX_FRAME_BYTES:
            raise exceptions.ProtocolError(
                f"frame of {length} bytes, at most {_MAX_FRAME_BYTES} are "
                "allowed"
            )
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        frame = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return frame


class LinkPool:
    """Pool of links to other nodes, kept open between exchanges.

    Parameters
    ----------
    time : clock.Clock
        Clock for the idle times.
    port : int
        Port on which every node listens for other nodes.
    """

    def __init__(self, time: clock.Clock, port: int) -> None:
        self._time = time
        self._port = port
        self._idle: dict[
            str, collections.deque[tuple[Link, clock.Milliseconds]]
        ] = {}

    def borrow(self, host: str) -> _BorrowedLink:
        """Return a context with a link for one exchange.

        If the exchange fails, the link is closed, which also cancels the
        request at the other node. Entering the context raises
        PeerUnavailableError if no connection can be opened; nothing has been
        sent then.
        """
        return _BorrowedLink(self, host)

    async def acquire(self, host: str) -> Link:
        """Return an idle or a new link, which has to be released.

        Raises
        ------
        exceptions.PeerUnavailableError
            If no connection can be opened.
        """
        return self._acquire_idle(host) or await self._open(host)

    def release(self, host: str, link: Link) -> None:
        """Keep a link for the next exchange, or close it."""
        links = self._idle.setdefault(host, collections.deque())
        if not link.is_reusable or len(links) >= _MAX_IDLE_LINKS:
            link.stream.close()
            return
        links.append((link, self._time.now() + _MAX_IDLE_TIME))

    def close_idle(self, host: str) -> None:
        """Close the idle links to an unresponsive node."""
        for link, _ in self._idle.pop(host, ()):
            link.stream.abort()

    async def call(
        self, host: str, message: Any, timeout: clock.Milliseconds
    ) -> Any:
        """Send a message and return its reply.

        Raises
        ------
        exceptions.PeerUnavailableError
            If there is no reply in time.
        """
        try:
            async with self.borrow(host) as link:
                await link.send(message)
                reply = await link.receive(timeout)
                if reply is None:
                    raise exceptions.ProtocolError("no reply")
                return reply
        except (OSError, exceptions.ProtocolError) as error:
            self.close_idle(host)
            raise exceptions.PeerUnavailableError(
                f"{host}: {error!r}", sent=True, refused=False
            ) from error

    async def _open(self, host: str) -> Link:
        try:
            stream = await streams.open_stream(
                host, self._port, _CONNECT_TIMEOUT
            )
        except OSError as error:
            self.close_idle(host)
            raise exceptions.PeerUnavailableError(
                f"{host}: {error!r}",
                sent=False,
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return Link(stream)

    def _acquire_idle(self, host: str) -> Link | None:
        links = self._idle.get(host)
        now = self._time.now()
        while links:
            link, expiry = links.pop()
            if now < expiry and link.is_reusable:
                return link
            link.stream.abort()
        return None


class _BorrowedLink:
    """Context in which a link of a pool is used for one exchange."""

    __slots__ = ("_host", "_link", "_pool")

    def __init__(self, pool: LinkPool, host: str) -> None:
        self._pool = pool
        self._host = host

    async def __aenter__(self) -> Link:
        self._link = await self._pool.acquire(self._host)
        return self._link

    async def __aexit__(
        self, kind: type[BaseException] | None, *failure: object
    ) -> None:
        if kind is None:
            self._pool.release(self._host, self._link)
        else:
            self._link.stream.abort()
