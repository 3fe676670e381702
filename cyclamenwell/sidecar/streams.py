"""TCP connections and listeners for `asyncio` tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import socket
import struct
from typing import Any

from cyclamenwell import clock
from cyclamenwell.telemetry import structured_log

__all__ = ["Listener", "Stream", "open_stream"]

# Limit of unsent bytes per connection above which writers wait, so that a slow
# reader does not use up the node's memory.
_MAX_UNSENT_BYTES = 256 * 1024
# Limit of received bytes that no task waits for; more stay in the kernel.
_MAX_UNREAD_BYTES = 16 * 1024
# A silent peer is detected within about 3 s: idle time, then two probes.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_TIMEOUT_MS = 3000
_BACKLOG = 1024
# Linger is on, for zero seconds: closing discards unsent bytes and resets.
_LINGER_WITH_RESET = struct.pack("ii", 1, 0)
# In one turn of the event loop, up to 256 connections are read.
_RECEIVE_BYTES = 64 * 1024
# Pause after a connection could not be accepted for lack of a descriptor, since
# the listening socket stays readable.
_ACCEPT_PAUSE = clock.Milliseconds(100)
# A closed connection with unsent bytes is aborted after this time.
_CLOSE_TIMEOUT = clock.Milliseconds(10_000)
# A timer that is not due for this time stays armed after the data has arrived,
# since the next wait on the stream usually ends later still.
_MIN_KEPT_TIMER_SECONDS = 1.0


class Stream:
    """A TCP connection.

    Parameters
    ----------
    connection : socket.socket
        Connected socket.
    loop : asyncio.AbstractEventLoop
        Running event loop. `asyncio` makes a system call each time that it is
        asked for the running loop, so all users of a stream take it from there.

    Notes
    -----
    The stream uses the socket directly instead of an `asyncio` transport, which
    costs a task, six callbacks and three more system calls for each accepted
    connection. Most connections of callers carry only one request.
    """

    def __init__(
        self, connection: socket.socket, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.loop = loop
        self._socket = connection
        # The event loop formats unknown objects on registration, but not plain
        # descriptors.
        self._descriptor = connection.fileno()
        self._received = b""
        self._received_at = 0.0  # Loop time of the oldest byte not taken yet.
        self._waited_seconds = 0.0
        self._unsent = bytearray()
        self._is_reading = False
        self._has_ended = False
        self._is_closing = False
        self._is_ending = False
        self._error: Exception | None = None
        self._reader: asyncio.Future | None = None
        # Loop time at which the reader stops waiting. The timer checks it, and
        # may be armed for an earlier time.
        self._read_deadline = 0.0
        self._read_timer: asyncio.TimerHandle | None = None
        self._read_timer_at = 0.0
        self._writer: asyncio.Future | None = None
        self._close_callback: Callable[[], object] | None = None
        self._data_callback: Callable[[], object] | None = None
        # Whether a request on the connection is being answered. A listener
        # without room closes the oldest connection that is not in use.
        self.is_in_use = False
        self._begin_reading()

    @property
    def is_open(self) -> bool:
        """Whether the connection is not known to be closed."""
        return not self._has_ended

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not self._has_ended and not self._received

    @property
    def is_flushed(self) -> bool:
        """Whether all bytes have been handed to the kernel."""
        return not self._unsent

    @property
    def held_bytes(self) -> int:
        """Received and unsent bytes that are held."""
        return len(self._received) + len(self._unsent)

    @property
    def waited(self) -> clock.Milliseconds:
        """How long the bytes of the last `receive` had waited to be taken."""
        return clock.Milliseconds.from_seconds(self._waited_seconds)

    async def receive(self, timeout: clock.Milliseconds) -> bytes:
        """Return received bytes, empty at the end of the stream.

        Raises
        ------
        TimeoutError
            If nothing was received in time.
        OSError
            If the connection failed.
        """
        if not self._received and not self._has_ended:
            await self._wait_for_data(timeout)
        if self._received:
            data, self._received = self._received, b""
            self._waited_seconds = self.loop.time() - self._received_at
            if not self._is_reading and not self._has_ended:
                self._begin_reading()
            return data
        if self._error is not None:
            raise ConnectionResetError(f"connection lost: {self._error}")
        return b""

    def send(self, data: bytes) -> None:
        """Send bytes without waiting.

        A send failure is raised by a later `receive`, since an answer that
        arrived before it can still be read.

        Raises
        ------
        ConnectionResetError
            If the connection is closed.
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
                self.loop.add_writer(self._descriptor, self._send_more)
            self._unsent += memoryview(data)[sent:]

    async def flush(self, timeout: clock.Milliseconds) -> None:
        """Wait until the unsent bytes are below the limit.

        Raises
        ------
        TimeoutError
            If the other side does not read in time.
        ConnectionResetError
            If the connection is closed.
        """
        if len(self._unsent) <= _MAX_UNSENT_BYTES:
            return
        self._writer = self.loop.create_future()
        try:
            await _wait(self.loop, self._writer, timeout)
        finally:
            self._writer = None
        if self._has_ended:
            raise ConnectionResetError("the connection has ended")

    def cancel_on_disconnect(self) -> _CancelOnDisconnect:
        """Return a context that cancels the task if the peer disconnects."""
        return _CancelOnDisconnect(self)

    def set_close_callback(self, callback: Callable[[], object] | None) -> None:
        """Set a function to call once when the other side disconnects."""
        self._close_callback = callback

    def set_data_callback(self, callback: Callable[[], object] | None) -> None:
        """Set a function to call when bytes arrive that no task waits for."""
        self._data_callback = callback

    def enable_keepalive(self) -> None:
        """Enable TCP keepalive, to detect a silent peer.

        Connections of callers on the same machine do not need it, and each
        option costs a system call.
        """
        _enable_keepalive(self._socket)

    def close(self) -> None:
        """Close once all bytes are sent, or after a time-out."""
        self._close_callback = None
        if not self._unsent:
            self.abort()
        elif not self._is_closing:
            self._is_closing = True
            self.loop.call_later(_CLOSE_TIMEOUT.seconds, self.abort)

    def end_sending(self) -> None:
        """Tell the other side, after the unsent bytes, that no more follow."""
        self._is_ending = True
        if not self._unsent:
            self._shut_down()

    def abort(self) -> None:
        """Close immediately and discard unsent bytes."""
        self._close_callback = None
        self._has_ended = True
        self._close_socket()
        self._cancel_read_timer()
        _resolve(self._reader)
        _resolve(self._writer)

    def reset(self) -> None:
        """Close immediately with a reset.

        The other side then cannot take what it has received for a complete
        answer that ends with its connection.
        """
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITH_RESET
            )
        self.abort()

    async def _wait_for_data(self, timeout: clock.Milliseconds) -> None:
        """Wait for data or the end of the stream.

        Notes
        -----
        `asyncio.timeout` cancels the task, which takes three times as long. A
        timer for each wait would be most of the rest, and most waits end long
        before their deadline.
        """
        loop = self.loop
        deadline = loop.time() + max(timeout.value, 0.0) / 1000.0
        self._read_deadline = deadline
        self._reader = loop.create_future()
        if self._read_timer is None or self._read_timer_at > deadline:
            self._arm_read_timer(deadline)
        try:
            await self._reader
        finally:
            self._reader = None
            if self._read_timer_at < loop.time() + _MIN_KEPT_TIMER_SECONDS:
                self._cancel_read_timer()

    def _arm_read_timer(self, deadline: float) -> None:
        self._cancel_read_timer()
        self._read_timer = self.loop.call_at(deadline, self._check_deadline)
        self._read_timer_at = deadline

    def _check_deadline(self) -> None:
        """End the wait if its deadline has come, else wait on."""
        self._read_timer = None
        if self._reader is None:
            return
        if self._read_timer_at < self._read_deadline:
            self._arm_read_timer(self._read_deadline)
        else:
            _expire(self._reader)

    def _cancel_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _begin_reading(self) -> None:
        self._is_reading = True
        self.loop.add_reader(self._descriptor, self._read)

    def _read(self) -> None:
        """Buffer received bytes and wake the reading task."""
        is_awaited = self._reader is not None and not self._reader.done()
        size = _RECEIVE_BYTES if is_awaited else _MAX_UNREAD_BYTES
        try:
            data = self._socket.recv(size, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            self._error = error
            data = b""
        if not data:
            self._handle_end()
            return
        if not self._received:
            self._received_at = self.loop.time()
            self._received = data
        else:
            self._received += data
        if len(self._received) > _MAX_UNREAD_BYTES:
            self._is_reading = False
            self.loop.remove_reader(self._descriptor)
        _resolve(self._reader)
        if self._data_callback is not None:
            self._data_callback()

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
            self.loop.remove_writer(self._descriptor)
            if self._is_closing or self._has_ended:
                self.abort()
            elif self._is_ending:
                self._shut_down()
        if len(self._unsent) <= _MAX_UNSENT_BYTES:
            _resolve(self._writer)

    def _shut_down(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            # The other side has closed already; `receive` tells so.
            self._error = error

    def _handle_end(self) -> None:
        """Handle the end of the incoming data."""
        self._has_ended = True
        if not self._unsent:
            self._close_socket()
        elif self._is_reading:
            self._is_reading = False
            self.loop.remove_reader(self._descriptor)
        self._cancel_read_timer()
        _resolve(self._reader)
        _resolve(self._writer)
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def _close_socket(self) -> None:
        if self._socket.fileno() < 0:
            return
        if self._is_reading:
            self._is_reading = False
            self.loop.remove_reader(self._descriptor)
        if self._unsent:
            self._unsent.clear()
            self.loop.remove_writer(self._descriptor)
        self._socket.close()


class _CancelOnDisconnect:
    """Context in which a disconnect cancels the current task."""

    __slots__ = ("_stream",)

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def __enter__(self) -> None:
        if not self._stream.is_open:
            raise ConnectionResetError("the connection has ended")
        task = asyncio.current_task(self._stream.loop)
        self._stream.set_close_callback(task.cancel)

    def __exit__(self, *failure: object) -> None:
        self._stream.set_close_callback(None)


async def _wait(
    loop: asyncio.AbstractEventLoop,
    waiter: asyncio.Future,
    timeout: clock.Milliseconds,
) -> None:
    """Wait for a future with a time-out."""
    timer = loop.call_later(max(timeout.seconds, 0.0), _expire, waiter)
    try:
        await waiter
    finally:
        timer.cancel()


def _expire(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError("nothing came in time"))


def _resolve(waiter: asyncio.Future | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _enable_keepalive(connection: socket.socket) -> None:
    """Set TCP options with which the kernel detects a silent peer."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


async def open_stream(
    host: str, port: int, timeout: clock.Milliseconds
) -> Stream:
    """Open a TCP connection.

    Raises
    ------
    TimeoutError
        If it is not established in time.
    OSError
        If it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        async with asyncio.timeout(max(timeout.seconds, 0.0)):
            await loop.sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    stream = Stream(connection, loop)
    stream.enable_keepalive()
    return stream


class Listener:
    """Accepts connections and runs one task for each.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port; 0 selects a free one.
    serve : callable
        Serves one connection.
    log : structured_log.StructuredLog
        Receives failures of the tasks.
    max_connections : int or None
        Connections that may be open at once, None for any number. Beyond
        them, the oldest one that is not in use is closed for a new one.
    """

    def __init__(
        self,
        host: str,
        port: int,
        serve: Callable[[Stream], Coroutine[Any, Any, None]],
        log: structured_log.StructuredLog,
        max_connections: int | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._serve = serve
        self._log = log
        self._max_connections = max_connections
        # Tasks by stream, in the order in which they were accepted.
        self._tasks: dict[Stream, asyncio.Task] = {}
        self._socket = socket.create_server((host, port), backlog=_BACKLOG)
        self._socket.setblocking(False)
        self.port: int = self._socket.getsockname()[1]
        self._loop.add_reader(self._socket, self._accept)

    @property
    def connections(self) -> int:
        """Number of accepted connections still being served."""
        return len(self._tasks)

    def close(self) -> None:
        """Stop listening; connections already made are still served."""
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
            # If no descriptor is free, the connection stays in the backlog.
            self._log.record("connection.not_accepted", error=repr(error))
            self._pause()
            return False
        if not self._make_room():
            self._log.record("connection.refused", open=len(self._tasks))
            connection.close()
            return True
        stream = Stream(connection, self._loop)
        task = self._loop.create_task(
            _serve_one(stream, self._serve, self._log)
        )
        self._tasks[stream] = task
        task.add_done_callback(lambda _: self._tasks.pop(stream, None))
        return True

    def _make_room(self) -> bool:
        """Close a connection if all are open; return whether one may open."""
        limit = self._max_connections
        if limit is None or len(self._tasks) < limit:
            return True
        oldest = next((s for s in self._tasks if not s.is_in_use), None)
        if oldest is None:
            return False
        self._log.record("connection.closed_for_room", open=len(self._tasks))
        del self._tasks[oldest]
        oldest.abort()
        return True

    def _pause(self) -> None:
        """Stop accepting connections for a moment."""
        self._loop.remove_reader(self._socket)
        self._loop.call_later(_ACCEPT_PAUSE.seconds, self._resume)

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)


async def _serve_one(
    stream: Stream,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
    log: structured_log.StructuredLog,
) -> None:
    try:
        await serve(stream)
    except (OSError, asyncio.CancelledError):
        # The other side disconnected; the handler of the request logs the
        # outcome.
        stream.abort()
    except Exception as error:
        log.record_exception("connection.failed", error)
        stream.abort()
    else:
        stream.close()
