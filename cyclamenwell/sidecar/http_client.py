"""HTTP/1.1 client for targets and the platform's store."""

from __future__ import annotations

import collections
from collections.abc import Callable

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.node import calls
from cyclamenwell.node import http1
from cyclamenwell.sidecar import streams

__all__ = ["HttpConnection", "HttpPool"]

_MAX_ANSWER_BYTES = 64 * 1024 * 1024


class HttpConnection:
    """An HTTP connection that carries one request at a time.

    Parameters
    ----------
    stream : streams.Stream
        Open connection.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._parser = http1.AnswerSequenceParser(_MAX_ANSWER_BYTES)
        self._is_persistent = True
        # Whether an answer has been received on the connection.
        self.is_used = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._is_persistent
            and self.stream.is_idle
            and self.stream.is_flushed
            and not self._parser.has_pending_data()
        )

    def send(self, data: bytes, method: str = "GET") -> None:
        """Send an encoded request.

        Parameters
        ----------
        data : bytes
            The request.
        method : str
            Its method.

        Raises
        ------
        OSError
            If the connection is closed.
        """
        self._parser.begin(method)
        self.stream.send(data)

    async def receive(
        self,
        timeout: clock.Milliseconds,
        max_bytes: int = _MAX_ANSWER_BYTES,
    ) -> calls.HttpAnswer:
        """Return the next complete answer.

        Parameters
        ----------
        timeout : clock.Milliseconds
            Time until the answer is complete.
        max_bytes : int
            Size of a body that is too large.

        Raises
        ------
        TimeoutError
            If it is not complete in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If the answer is malformed, truncated or too large.
        """
        answer = await self.receive_begun(timeout, max_bytes)
        if isinstance(answer, http1.PartialAnswer):
            raise exceptions.ProtocolError(
                f"the body has more than {max_bytes} bytes"
            )
        return answer

    async def receive_begun(
        self, timeout: clock.Milliseconds, max_bytes: int
    ) -> calls.HttpAnswer | http1.PartialAnswer:
        """Return the next answer, or its beginning if it is large.

        The rest of a large answer is read by `receive_part`.

        Parameters
        ----------
        timeout : clock.Milliseconds
            Time until the answer is complete or has begun.
        max_bytes : int
            Size of a body above which only the beginning is returned.

        Raises
        ------
        TimeoutError
            If it is not complete in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If the answer is malformed or truncated.
        """
        end = self.stream.loop.time() + timeout.seconds
        while True:
            received = self._parser.pop_answer()
            if received is not None:
                self.is_used = True
                self._is_persistent = (
                    self._is_persistent and received.keep_alive
                )
                return received.answer
            data = await self._receive_before(end)
            if data:
                self._feed(data)
                if self._parser.has_answer():
                    continue
                if self._parser.count_buffered() > max_bytes:
                    self.is_used = True
                    return self._parser.begin_parts()
                continue
            self._finish()
            received = self._parser.pop_answer()
            if received is None:
                raise exceptions.ProtocolError(
                    "the connection ended without an answer"
                )
            return received.answer

    async def receive_part(self, timeout: clock.Milliseconds) -> bytes:
        """Return the next part of a begun answer, empty at its end.

        Raises
        ------
        TimeoutError
            If no byte of the body was received in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If the answer is malformed or truncated.
        """
        end = self.stream.loop.time() + timeout.seconds
        while not (part := self._parser.pop_part()):
            if self._parser.pop_end():
                self._is_persistent = (
                    self._is_persistent and self._parser.keep_alive
                )
                return b""
            data = await self._receive_before(end)
            if data:
                self._feed(data)
                continue
            self._finish()
        return part

    async def _receive_before(self, end: float) -> bytes:
        """Return received bytes, empty at the end of the stream.

        Parameters
        ----------
        end : float
            Loop time up to which the bytes count, also if they arrive without
            end.

        Raises
        ------
        TimeoutError
            If there are none in time.
        OSError
            If the connection failed.
        """
        remaining = end - self.stream.loop.time()
        if remaining <= 0:
            raise TimeoutError("no whole answer in time")
        return await self.stream.receive(
            clock.Milliseconds.from_seconds(remaining)
        )

    def _finish(self) -> None:
        """Handle an end of the connection that may be that of an answer.

        Raises
        ------
        exceptions.ProtocolError
            If it is not.
        """
        self._is_persistent = False
        if not self.stream.is_flushed:
            # A server that ends the connection while a request is being sent
            # resets it next, and an answer that is reset is not whole.
            raise exceptions.ProtocolError(
                "the connection ended before the request was sent"
            )
        self._parser.finish()

    def _feed(self, data: bytes) -> None:
        """Parse bytes; malformed data after a complete answer is ignored.

        The connection is not reused then.
        """
        try:
            self._parser.feed(data)
        except (exceptions.ProtocolError, exceptions.RefusedError):
            self._is_persistent = False
            if not self._parser.has_answer():
                raise

    def close(self) -> None:
        """Close the connection immediately."""
        self.stream.abort()


class HttpPool:
    """Pool of idle connections to one address.

    Parameters
    ----------
    time : clock.Clock
        Clock for the idle times.
    host : str
        IP address.
    port : int
        Port.
    connect_timeout : clock.Milliseconds
        Maximum time to open a connection.
    on_idle_close : callable, optional
        Called when the other side closes an idle connection.
    """

    def __init__(
        self,
        time: clock.Clock,
        host: str,
        port: int,
        connect_timeout: clock.Milliseconds,
        on_idle_close: Callable[[], None] | None = None,
    ) -> None:
        self._time = time
        self._host = host
        self._port = port
        self._connect_timeout = connect_timeout
        self._on_idle_close = on_idle_close
        self._idle: collections.deque[
            tuple[HttpConnection, clock.Milliseconds]
        ] = collections.deque()

    def acquire_idle(self) -> HttpConnection | None:
        """Return the most recently used idle connection, or None."""
        now = self._time.now()
        while self._idle:
            connection, expiry = self._idle.pop()
            _remove_callbacks(connection)
            if now < expiry and connection.is_reusable:
                return connection
            connection.close()
        return None

    async def open(self) -> HttpConnection:
        """Open a connection.

        Raises
        ------
        TimeoutError
            If it is not established in time.
        OSError
            If it cannot be opened.
        """
        return HttpConnection(
            await streams.open_stream(
                self._host, self._port, self._connect_timeout
            )
        )

    def release(
        self, connection: HttpConnection, max_idle: clock.Milliseconds
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        It is closed as soon as bytes arrive before it is used again.
        """
        if not connection.is_reusable or max_idle.value <= 0:
            connection.close()
            return
        connection.stream.set_close_callback(self._on_idle_close)
        # Bytes that arrive now belong to no request, and may come without end.
        connection.stream.set_data_callback(connection.close)
        self._idle.append((connection, self._time.now() + max_idle))
        self._close_expired()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._close(self._idle.pop()[0])

    def _close_expired(self) -> None:
        now = self._time.now()
        while self._idle and self._idle[0][1] <= now:
            self._close(self._idle.popleft()[0])

    def _close(self, connection: HttpConnection) -> None:
        _remove_callbacks(connection)
        connection.close()


def _remove_callbacks(connection: HttpConnection) -> None:
    """Let a connection that leaves the pool be watched by its user only."""
    connection.stream.set_close_callback(None)
    connection.stream.set_data_callback(None)
