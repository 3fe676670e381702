"""Connections whose bytes a task awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import socket
from typing import Any

from cyclamenwell import clock
from cyclamenwell.telemetry import journal

__all__ = ["Listener", "Stream", "open_stream"]

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
_RECEIVED_BYTES = 256 * 1024
# A closed connection whose other side does not read is cut after this time.
_CLOSING_WAIT = clock.Milliseconds(10_000)


class Stream:
    """A TCP connection.

    Parameters
    ----------
    connection : socket.socket
        Connected socket.

    Notes
    -----
    The stream uses the socket itself and not a transport of `asyncio`, which
    makes a task, six callbacks and three more system calls for each accepted
    connection. Most connections of callers carry one request.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket = connection
        # The loop formats an object that it does not know, but not a number.
        self._descriptor = connection.fileno()
        self._received = bytearray()
        self._unsent = bytearray()
        self._is_reading = False
        self._has_ended = False
        self._is_closing = False
        self._error: Exception | None = None
        self._reader: asyncio.Future | None = None
        self._writer: asyncio.Future | None = None
        self._on_loss: Callable[[], object] | None = None
        self._begin_reading()

    @property
    def is_open(self) -> bool:
        """Whether the other side is there, as far as known."""
        return not self._has_ended

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and no bytes wait to be read."""
        return not self._has_ended and not self._received

    @property
    def is_flushed(self) -> bool:
        """Whether all sent bytes have left the process."""
        return not self._unsent

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
            self._reader = self._loop.create_future()
            try:
                await _wait(self._reader, max_wait)
            finally:
                self._reader = None
        if self._received:
            data = bytes(self._received)
            self._received.clear()
            if not self._is_reading and not self._has_ended:
                self._begin_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(f"connection lost: {self._error}")
        return b""

    def send(self, data: bytes) -> None:
        """Send bytes without waiting.

        A failure shows when the answer is received, as an answer that came
        before is still to be read.

        Raises
        ------
        ConnectionResetError
            If the connection is gone.
        """
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")
        sent = 0
        if not self._unsent:
            try:
                sent = self._socket.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                pass
            except OSError as error:
                self._error = error
                return
        if sent < len(data):
            if not self._unsent:
                self._loop.add_writer(self._descriptor, self._send_more)
            self._unsent += memoryview(data)[sent:]

    async def flush(self, max_wait: clock.Milliseconds) -> None:
        """Wait until the other side has taken most of what was sent.

        Raises
        ------
        TimeoutError
            If it does not read in time.
        ConnectionResetError
            If the connection is gone.
        """
        if len(self._unsent) <= _MAX_UNSENT_BYTES:
            return
        self._writer = self._loop.create_future()
        try:
            await _wait(self._writer, max_wait)
        finally:
            self._writer = None
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")

    def cancelling(self) -> _Cancelling:
        """Cancel the present task when the other side goes away."""
        return _Cancelling(self)

    def on_loss(self, callback: Callable[[], object] | None) -> None:
        """Call a function once when the other side goes away."""
        self._on_loss = callback

    def probe_silence(self) -> None:
        """End the connection when the other side has gone silent.

        Connections of callers on the same machine do without: each option
        costs a system call.
        """
        _set_options(self._socket)

    def close(self) -> None:
        """Close after all sent bytes have left, or after some seconds."""
        self._on_loss = None
        if not self._unsent:
            self.abort()
        elif not self._is_closing:
            self._is_closing = True
            self._loop.call_later(_CLOSING_WAIT.seconds, self.abort)

    def abort(self) -> None:
        """Close at once."""
        self._on_loss = None
        self._has_ended = True
        self._close_socket()
        _wake(self._reader)
        _wake(self._writer)

    def _begin_reading(self) -> None:
        self._is_reading = True
        self._loop.add_reader(self._descriptor, self._read)

    def _read(self) -> None:
        """Keep received bytes for the task that awaits them."""
        try:
            data = self._socket.recv(_RECEIVED_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            self._error = error
            data = b""
        if not data:
            self._end()
            return
        self._received += data
        if len(self._received) > _MAX_UNREAD_BYTES:
            self._is_reading = False
            self._loop.remove_reader(self._descriptor)
        _wake(self._reader)

    def _send_more(self) -> None:
        try:
            sent = self._socket.send(self._unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            self._error = error
            sent = len(self._unsent)
        del self._unsent[:sent]
        if not self._unsent:
            self._loop.remove_writer(self._descriptor)
            if self._is_closing or self._has_ended:
                self.abort()
        if len(self._unsent) <= _MAX_UNSENT_BYTES:
            _wake(self._writer)

    def _end(self) -> None:
        """Note that the other side sends no more."""
        self._has_ended = True
        if not self._unsent:
            self._close_socket()
        elif self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self._descriptor)
        _wake(self._reader)
        _wake(self._writer)
        callback, self._on_loss = self._on_loss, None
        if callback is not None:
            callback()

    def _close_socket(self) -> None:
        if self._socket.fileno() < 0:
            return
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self._descriptor)
        if self._unsent:
            self._unsent.clear()
            self._loop.remove_writer(self._descriptor)
        self._socket.close()


class _Cancelling:
    """Context in which the loss of a connection cancels the task."""

    __slots__ = ("_stream",)

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def __enter__(self) -> None:
        if not self._stream.is_open:
            raise ConnectionResetError("the connection has ended")
        self._stream.on_loss(asyncio.current_task().cancel)

    def __exit__(self, *failure: object) -> None:
        self._stream.on_loss(None)


async def _wait(waiter: asyncio.Future, max_wait: clock.Milliseconds) -> None:
    """Wait for a future, for most messages of a node.

    `asyncio.timeout` does the same by cancelling the task, which takes three
    times as long.
    """
    loop = asyncio.get_running_loop()
    timer = loop.call_later(max(max_wait.seconds, 0.0), _expire, waiter)
    try:
        await waiter
    finally:
        timer.cancel()


def _expire(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError("nothing came in time"))


def _wake(waiter: asyncio.Future | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _set_options(connection: socket.socket) -> None:
    """Let the kernel find out that the other side is gone."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        async with asyncio.timeout(max(max_wait.seconds, 0.0)):
            await loop.sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    stream = Stream(connection)
    stream.probe_silence()
    return stream


class Listener:
    """Accepts connections and runs one task for each.

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

    def __init__(
        self,
        host: str,
        port: int,
        serve: Callable[[Stream], Coroutine[Any, Any, None]],
        log: journal.Journal,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._serve = serve
        self._log = log
        self._tasks: set[asyncio.Task] = set()
        self._socket = socket.create_server((host, port), backlog=_BACKLOG)
        self._socket.setblocking(False)
        self.port: int = self._socket.getsockname()[1]
        self._loop.add_reader(self._socket, self._accept)

    @property
    def connections(self) -> int:
        """Accepted connections that have not ended."""
        return len(self._tasks)

    def close(self) -> None:
        """Refuse new connections, but serve those that have been made."""
        if self._socket.fileno() >= 0:
            while self._accept():
                pass
            self._loop.remove_reader(self._socket)
            self._socket.close()

    def _accept(self) -> bool:
        """Accept a connection; return whether there was one."""
        try:
            connection, _ = self._socket.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            # Without free descriptors the connection stays in the queue.
            self._log.record("connection.not_accepted", error=repr(error))
            return False
        stream = Stream(connection)
        task = self._loop.create_task(
            _serve_one(stream, self._serve, self._log)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True


async def _serve_one(
    stream: Stream,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
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
