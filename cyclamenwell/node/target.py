"""HTTP client of the local target."""

from __future__ import annotations

import collections
import dataclasses
import functools
import socket
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import sockets
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import encoding
from cyclamenwell.node import headers
from cyclamenwell.node import http1

__all__ = ["TargetClient"]

_Kind = enumerations.ErrorKind
_MAX_IDLE_CONNECTIONS = 256  # Connections kept open to the target.
# Many servers close connections that are idle for 5 s. If one closes while a
# request is in flight, the outcome of the request is unknown.
_MAX_IDLE_TIME = clock.Milliseconds(4000)
_MIN_TIMEOUT = clock.Milliseconds(1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    """An open connection to the target."""

    socket: socket.socket
    parser: http1.AnswerParser
    idle_since: clock.Milliseconds

    def close(self) -> None:
        self.socket.close()


class TargetClient:
    """Sends requests to the target, one at a time on each connection.

    Parameters
    ----------
    target : settings.TargetSettings
        Address and timeouts.
    time : clock.Clock
        Clock of the deadlines.
    """

    def __init__(
        self, target: settings.TargetSettings, time: clock.Clock
    ) -> None:
        self._target = target
        self._time = time
        self._lock = threading.Lock()
        self._idle: collections.deque[_Connection] = collections.deque()

    def send(
        self,
        request: calls.HttpRequest,
        deadline: clock.Milliseconds,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        """Send a request and read the complete answer.

        Parameters
        ----------
        request : calls.HttpRequest
            Request with the headers meant for the target.
        deadline : clock.Milliseconds
            Monotonic time by which the answer must be there.
        cancellation : cancellations.Cancellation
            Ends the exchange when the caller disconnects.

        Returns
        -------
        calls.HttpAnswer
            Complete answer, without hop-by-hop headers.

        Raises
        ------
        exceptions.RefusedError
            As BAD_REQUEST or TARGET_UNREACHABLE if no byte was sent; as
            CANCELLED, TIMED_OUT, INCOMPLETE_ANSWER or ANSWER_TOO_LARGE if the
            target may have run the request.
        """
        data = self._encode(request)
        connection = self._take_connection(deadline)

        shut_down = functools.partial(sockets.shut_down, connection.socket)
        cancellation.add_callback(shut_down)
        try:
            received = self._exchange(
                connection, data, request.method, deadline
            )
        except (OSError, exceptions.ProtocolError) as error:
            connection.close()
            raise _describe_failure(error, cancellation) from error
        except exceptions.RefusedError:
            connection.close()
            raise
        finally:
            cancellation.remove_callback(shut_down)
        keep_alive = received.keep_alive and not cancellation.cancelled
        self._return_connection(connection, keep_alive)
        answer = received.answer
        return calls.HttpAnswer(
            answer.status, headers.keep_end_to_end(answer.headers), answer.body
        )

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _encode(self, request: calls.HttpRequest) -> bytes:
        """Return the bytes of a request."""
        host = f"{self._target.host}:{self._target.port}"
        fields = [("host", host)]
        fields += [(h.name, h.value) for h in request.headers]
        return encoding.encode_request(
            request.method, request.path, fields, request.body
        )

    def _exchange(
        self,
        connection: _Connection,
        data: bytes,
        method: str,
        deadline: clock.Milliseconds,
    ) -> http1.ReceivedAnswer:
        connection.parser.begin(method)
        sockets.send(connection.socket, data, deadline - self._time.now())
        received = None
        while received is None:
            part = sockets.receive(
                connection.socket, deadline - self._time.now()
            )
            if not part:
                raise exceptions.ProtocolError("the connection ended early")
            received = connection.parser.feed(part)
        return received

    def _take_connection(self, deadline: clock.Milliseconds) -> _Connection:
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
            age = self._time.now() - connection.idle_since
            if age < _MAX_IDLE_TIME and sockets.has_no_input(connection.socket):
                return connection
            connection.close()
        return self._open_connection(deadline)

    def _open_connection(self, deadline: clock.Milliseconds) -> _Connection:
        timeout = min(
            self._target.connect_timeout,
            max(deadline - self._time.now(), _MIN_TIMEOUT),
        )
        try:
            opened = socket.create_connection(
                (self._target.host, self._target.port), timeout.seconds
            )
        except OSError as error:
            raise exceptions.RefusedError(
                _Kind.TARGET_UNREACHABLE,
                f"the target does not accept connections: {error}",
            ) from error
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.settimeout(None)
        return _Connection(opened, http1.AnswerParser(), self._time.now())

    def _return_connection(
        self, connection: _Connection, keep_alive: bool
    ) -> None:
        if keep_alive:
            idle = _Connection(
                connection.socket, connection.parser, self._time.now()
            )
            with self._lock:
                if len(self._idle) < _MAX_IDLE_CONNECTIONS:
                    self._idle.append(idle)
                    return
        connection.close()


def _describe_failure(
    error: Exception, cancellation: cancellations.Cancellation
) -> exceptions.RefusedError:
    if cancellation.cancelled:
        return exceptions.RefusedError(_Kind.CANCELLED, "the caller went away")
    if isinstance(error, TimeoutError):
        return exceptions.RefusedError(
            _Kind.TIMED_OUT, "the target did not answer in time"
        )
    return exceptions.RefusedError(
        _Kind.INCOMPLETE_ANSWER, f"the target's answer is incomplete: {error}"
    )
