"""Connections whose bytes a task awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket

from cyclamenwell import clock
from cyclamenwell.telemetry import journal

__all__ = ["Stream", "listen", "open_stream"]

# A peer that reads slowly holds at most about this much of the node's memory
# before writers wait.
_MAX_UNSENT_BYTES = 256 * 1024
# Bytes that came while nobody reads; more of them stay in the kernel.
_MAX_UNREAD_BYTES = 256 * 1024
# A silent link shows within about three seconds: idle time, then two probes.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 3000
_BACKLOG = 1024


class Stream(asyncio.Protocol):
    """A TCP connection.

    Parameters
    ----------
    on_connect : callable, optional
        Called with the stream when the connection is there.
    """

    def __init__(
        self, on_connect: Callable[[Stream], None] | None = None
    ) -> None:
        self._on_connect = on_connect
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._is_paused = False
        self._is_writable = True
        self._has_ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future | None = None
        self._writer: asyncio.Future | None = None
        self._on_loss: Callable[[], object] | None = None

    # What the event loop calls.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport of a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes for the reader."""
        self._received += data
        if len(self._received) > _MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> None:
        """Note that the other side sends no more; closes the connection."""
        self._end()

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self._error = self._error or error
        self._is_writable = True
        self._end()

    def pause_writing(self) -> None:
        """Let writers wait."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._is_writable = True
        _wake(self._writer)

    def _end(self) -> None:
        self._has_ended = True
        _wake(self._reader)
        _wake(self._writer)
        if self._on_loss is not None:
            callback, self._on_loss = self._on_loss, None
            callback()

    # What tasks call.

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and no bytes wait to be read."""
        return not self._has_ended and not self._received

    @property
    def is_flushed(self) -> bool:
        """Whether all sent bytes have left the process."""
        return self._transport.get_write_buffer_size() == 0

    @property
    def remote_host(self) -> str:
        """IP number of the other side, empty if it is not known."""
        address = self._transport.get_extra_info("peername")
        return address[0] if address else ""

    async def receive(self, max_wait: clock.Milliseconds) -> bytes:
        """Return received bytes, empty at the end of the stream.

        Raises
        ------
        TimeoutError
            If nothing came in time.
        OSError
            If the connection failed.
        """
        if not self._received and not self._has_ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(max(max_wait.seconds, 0.0)):
                    await self._reader
            finally:
                self._reader = None
        if self._received:
            data = bytes(self._received)
            self._received.clear()
            if self._is_paused:
                self._is_paused = False
                self._transport.resume_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(f"connection lost: {self._error}")
        return b""

    def send(self, data: bytes) -> None:
        """Send bytes without waiting.

        Raises
        ------
        ConnectionResetError
            If the connection is gone.
        """
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")
        self._transport.write(data)

    async def flush(self, max_wait: clock.Milliseconds) -> None:
        """Wait until the other side has taken most of what was sent.

        Raises
        ------
        TimeoutError
            If it does not read in time.
        ConnectionResetError
            If the connection is gone.
        """
        if self._is_writable:
            return
        self._writer = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(max_wait.seconds, 0.0)):
                await self._writer
        finally:
            self._writer = None
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")

    @contextlib.contextmanager
    def cancelling(self) -> Iterator[None]:
        """Cancel the present task when the other side goes away."""
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")
        self._on_loss = asyncio.current_task().cancel
        try:
            yield
        finally:
            self._on_loss = None

    def on_loss(self, callback: Callable[[], object] | None) -> None:
        """Call a function once when the other side goes away."""
        self._on_loss = callback

    def probe_silence(self) -> None:
        """End the connection when the other side has gone silent.

        Connections of callers on the same machine do without: each option
        costs a system call, and most such connections carry one request.
        """
        _set_options(self._transport.get_extra_info("socket"))

    def close(self) -> None:
        """Close after all sent bytes have left."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()


def _wake(waiter: asyncio.Future | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _set_options(connection: socket.socket) -> None:
    """Let the kernel find out that the other side is gone."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


async def open_stream(
    host: str, port: int, max_wait: clock.Milliseconds
) -> Stream:
    """Open a connection.

    Raises
    ------
    TimeoutError
        If it is not there in time.
    OSError
        If it can not be opened.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(max(max_wait.seconds, 0.0)):
        _, stream = await loop.create_connection(Stream, host, port)
    stream.probe_silence()
    return stream


async def listen(
    host: str,
    port: int,
    serve: Callable[[Stream], Awaitable[None]],
    log: journal.Journal,
) -> asyncio.Server:
    """Accept connections and run one task for each.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port, 0 for any free one.
    serve : callable
        Serves one connection.
    log : journal.Journal
        Takes failures of the tasks.
    """
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task] = set()

    def begin(stream: Stream) -> None:
        task = loop.create_task(_serve_one(stream, serve, log))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    listener = socket.create_server((host, port))
    listener.setblocking(False)
    # The loop calls accept() up to as often as its backlog says for each
    # event, so once too often for a single connection. The loop is therefore
    # told a backlog of 1, and the socket the real one.
    server = await loop.create_server(
        lambda: Stream(begin), sock=listener, backlog=1
    )
    listener.listen(_BACKLOG)
    return server


async def _serve_one(
    stream: Stream,
    serve: Callable[[Stream], Awaitable[None]],
    log: journal.Journal,
) -> None:
    try:
        await serve(stream)
    except (OSError, asyncio.CancelledError):
        # The other side went away; what that means for a request is logged
        # where the request is handled.
        stream.abort()
    except Exception as error:
        log.report_failure("connection.failed", error)
        stream.abort()
    else:
        stream.close()
