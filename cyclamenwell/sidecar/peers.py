"""Connections between nodes: frames, pooled links and exchanges."""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator
import contextlib
import struct
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.peers import codec
from cyclamenwell.sidecar import streams

__all__ = ["SIGN_DELAY", "Link", "LinkPool"]

_CODEC = codec.Codec(deployment.WIRE_TYPES)
_CLOCK = clock.SystemClock()
_LENGTH = struct.Struct(">I")
# A body of 64 MiB, the most that operators have allowed so far, with headers.
_MAX_FRAME_BYTES = 68 * 1024 * 1024
# An offer that is neither granted nor answered is confirmed after this time.
# Most are answered before, which saves the message.
SIGN_DELAY = clock.Milliseconds(100)
_CONNECT_WAIT = clock.Milliseconds(300)
_MAX_IDLE = clock.Milliseconds(20_000)
_MAX_IDLE_LINKS = 64  # For each peer.
_FLUSH_WAIT = clock.Milliseconds(5000)


class Link:
    """A connection to another node that carries one exchange at a time.

    Parameters
    ----------
    stream : streams.Stream
        Open connection.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._buffer = bytearray()

    async def send(self, message: Any) -> None:
        """Send a message.

        Raises
        ------
        TimeoutError
            If the other node does not read.
        OSError
            If the connection is gone.
        """
        frame = _CODEC.encode(message)
        self.stream.send(_LENGTH.pack(len(frame)) + frame)
        await self.stream.flush(_FLUSH_WAIT)

    def send_soon(self, message: Any) -> None:
        """Send a short message without waiting, if the link is there."""
        frame = _CODEC.encode(message)
        with contextlib.suppress(ConnectionResetError):
            self.stream.send(_LENGTH.pack(len(frame)) + frame)

    async def receive(self, max_wait: clock.Milliseconds) -> Any | None:
        """Return the next message, or None at the end of the connection.

        Raises
        ------
        TimeoutError
            If it is not whole in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If a frame is too long, ends early or is no message.
        """
        end = _CLOCK.now() + max_wait
        while True:
            frame = self._take_frame()
            if frame is not None:
                return _CODEC.decode(frame)
            data = await self.stream.receive(end - _CLOCK.now())
            if data:
                self._buffer += data
                continue
            if self._buffer:
                raise exceptions.ProtocolError(
                    "connection closed inside a frame"
                )
            return None

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange can begin."""
        return not self._buffer and self.stream.is_quiet

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
    """Links to other nodes, kept open between exchanges.

    Parameters
    ----------
    time : clock.Clock
        Clock of the idle times.
    port : int
        Port of every node for other nodes.
    """

    def __init__(self, time: clock.Clock, port: int) -> None:
        self._time = time
        self._port = port
        self._idle: dict[
            str, collections.deque[tuple[Link, clock.Milliseconds]]
        ] = {}

    @contextlib.asynccontextmanager
    async def borrow(self, host: str) -> AsyncIterator[Link]:
        """Use a link for one exchange.

        It is closed if the exchange does not end in order, which also cancels
        at the other node what the exchange asked for.

        Raises
        ------
        exceptions.PeerUnavailableError
            If no connection can be opened; nothing was sent.
        """
        link = self._take_idle(host) or await self._open(host)
        try:
            yield link
        except BaseException:
            link.stream.abort()
            raise
        self._give_back(host, link)

    def drop(self, host: str) -> None:
        """Close the idle links to a node that does not answer."""
        for link, _ in self._idle.pop(host, ()):
            link.stream.abort()

    async def ask(
        self, host: str, message: Any, max_wait: clock.Milliseconds
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
                reply = await link.receive(max_wait)
                if reply is None:
                    raise exceptions.ProtocolError("no reply")
                return reply
        except (OSError, exceptions.ProtocolError) as error:
            self.drop(host)
            raise exceptions.PeerUnavailableError(
                f"{host}: {error!r}", sent=True, refused=False
            ) from error

    async def _open(self, host: str) -> Link:
        try:
            stream = await streams.open_stream(host, self._port, _CONNECT_WAIT)
        except OSError as error:
            self.drop(host)
            raise exceptions.PeerUnavailableError(
                f"{host}: {error!r}",
                sent=False,
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return Link(stream)

    def _take_idle(self, host: str) -> Link | None:
        links = self._idle.get(host)
        now = self._time.now()
        while links:
            link, expiry = links.pop()
            if now < expiry and link.is_reusable:
                return link
            link.stream.abort()
        return None

    def _give_back(self, host: str, link: Link) -> None:
        links = self._idle.setdefault(host, collections.deque())
        if not link.is_reusable or len(links) >= _MAX_IDLE_LINKS:
            link.stream.close()
            return
        links.append((link, self._time.now() + _MAX_IDLE))
