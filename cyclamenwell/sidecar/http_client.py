"""HTTP/1.1 exchanges over a stream, for targets and the platform's store."""

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
_CLOCK = clock.SystemClock()


class HttpConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    stream : streams.Stream
        Open connection.
    """

    def __init__(self, stream: streams.Stream) -> None:
        self.stream = stream
        self._parser = http1.AnswerSequenceParser(_MAX_ANSWER_BYTES)
        self._keeps = True

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._keeps
            and self.stream.is_quiet
            and self.stream.is_flushed
            and not self._parser.has_rest()
        )

    def send(self, data: bytes) -> None:
        """Send a request.

        Raises
        ------
        OSError
            If the connection is gone.
        """
        self.stream.send(data)

    async def receive(self, max_wait: clock.Milliseconds) -> calls.HttpAnswer:
        """Return the next whole answer.

        Raises
        ------
        TimeoutError
            If it is not whole in time.
        OSError
            If the connection failed.
        exceptions.ProtocolError
            If the answer is malformed or ends early.
        """
        end = _CLOCK.now() + max_wait
        while True:
            received = self._parser.take()
            if received is not None:
                self._keeps = self._keeps and received.keeps
                return received.answer
            data = await self.stream.receive(end - _CLOCK.now())
            if data:
                self._feed(data)
                continue
            self._keeps = False
            self._parser.finish()
            received = self._parser.take()
            if received is None:
                raise exceptions.ProtocolError(
                    "the connection ended without an answer"
                )
            return received.answer

    def _feed(self, data: bytes) -> None:
        """Parse bytes; what is malformed after an answer spoils nothing."""
        try:
            self._parser.feed(data)
        except (exceptions.ProtocolError, exceptions.RefusedError):
            self._keeps = False
            if not self._parser.has_whole():
                raise

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.abort()


class HttpPool:
    """Idle connections to one address.

    Parameters
    ----------
    time : clock.Clock
        Clock of the idle times.
    host : str
        IP number.
    port : int
        Port.
    connect_wait : clock.Milliseconds
        Longest time to open a connection.
    on_loss : callable, optional
        Called when the other side ends an idle connection.
    """

    def __init__(
        self,
        time: clock.Clock,
        host: str,
        port: int,
        connect_wait: clock.Milliseconds,
        on_loss: Callable[[], None] | None = None,
    ) -> None:
        self._time = time
        self._host = host
        self._port = port
        self._connect_wait = connect_wait
        self._on_loss = on_loss
        self._idle: collections.deque[
            tuple[HttpConnection, clock.Milliseconds]
        ] = collections.deque()

    def take_idle(self) -> HttpConnection | None:
        """Return the connection that was used last, if one can be reused."""
        now = self._time.now()
        while self._idle:
            connection, expiry = self._idle.pop()
            connection.stream.on_loss(None)
            if now < expiry and connection.is_reusable:
                return connection
            connection.close()
        return None

    async def open(self) -> HttpConnection:
        """Open a connection.

        Raises
        ------
        TimeoutError
            If it is not there in time.
        OSError
            If it can not be opened.
        """
        return HttpConnection(
            await streams.open_stream(
                self._host, self._port, self._connect_wait
            )
        )

    def give_back(
        self, connection: HttpConnection, max_idle: clock.Milliseconds
    ) -> None:
        """Keep a connection for another request, or close it."""
        if not connection.is_reusable or max_idle.value <= 0:
            connection.close()
            return
        connection.stream.on_loss(self._on_loss)
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
        connection.stream.on_loss(None)
        connection.close()
