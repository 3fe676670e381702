"""HTTP client of the target beside the node."""

from __future__ import annotations

import collections
import contextlib
import http.client
import socket
import threading

from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import response as urllib3_response

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import headers

__all__ = ["TargetClient"]

_Kind = enumerations.ErrorKind
_MAX_IDLE = 256  # Connections kept open to the target.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_MIN_TIMEOUT = clock.Milliseconds(1)
_BROKEN = (
    OSError,
    http.client.HTTPException,
    urllib3_exceptions.HTTPError,
    ValueError,
)


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
        self._idle: collections.deque[urllib3_connection.HTTPConnection] = (
            collections.deque()
        )

    def send(
        self,
        request: calls.HttpRequest,
        deadline: clock.Milliseconds,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        """Send a request and read the whole answer.

        Parameters
        ----------
        request : calls.HttpRequest
            Request as the target shall see it.
        deadline : clock.Milliseconds
            Monotonic time by which the answer must be there.
        cancellation : cancellations.Cancellation
            Ends the exchange when the caller goes away.

        Returns
        -------
        calls.HttpAnswer
            The whole answer, without hop-by-hop headers.

        Raises
        ------
        exceptions.RefusedError
            As TARGET_UNREACHABLE if no byte was sent; as CANCELLED, TIMED_OUT,
            INCOMPLETE_ANSWER or ANSWER_TOO_LARGE if the target may have run
            the request.
        """
        connection = self._take()

        def shut_down() -> None:
            with contextlib.suppress(OSError, AttributeError):
                connection.sock.shutdown(socket.SHUT_RDWR)

        cancellation.add_callback(shut_down)
        try:
            answer, keeps = self._exchange(connection, request, deadline)
        except _BROKEN as error:
            connection.close()
            raise _describe_failure(error, cancellation) from error
        except exceptions.RefusedError:
            connection.close()
            raise
        finally:
            cancellation.remove_callback(shut_down)
        self._give_back(connection, keeps and not cancellation.cancelled)
        return answer

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _exchange(
        self,
        connection: urllib3_connection.HTTPConnection,
        request: calls.HttpRequest,
        deadline: clock.Milliseconds,
    ) -> tuple[calls.HttpAnswer, bool]:
        remaining = max(deadline - self._time.now(), _MIN_TIMEOUT)
        connection.timeout = remaining.seconds
        connection.sock.settimeout(remaining.seconds)
        connection.request(
            request.method,
            request.path,
            body=request.body or None,
            headers=_merge_headers(request),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        if request.method != "HEAD" and not _is_framed(response):
            raise exceptions.RefusedError(
                _Kind.INCOMPLETE_ANSWER,
                "the target's answer has neither length nor chunks, so its "
                "end can not be told from an early end",
            )
        body = self._read_body(connection, response, deadline)
        answer = calls.HttpAnswer(
            response.status, headers.keep_end_to_end(response.headers), body
        )
        closes = response.headers.get("connection", "").lower() == "close"
        return answer, not closes and response.version == 11

    def _read_body(
        self,
        connection: urllib3_connection.HTTPConnection,
        response: urllib3_response.HTTPResponse,
        deadline: clock.Milliseconds,
    ) -> bytes:
        parts = []
        size = 0
        # urllib3 raises IncompleteRead or ProtocolError on an early end.
        while part := response.read(1 << 20):
            parts.append(part)
            size += len(part)
            if size > _MAX_ANSWER_BYTES:
                raise exceptions.RefusedError(
                    _Kind.ANSWER_TOO_LARGE,
                    f"the answer has more than {_MAX_ANSWER_BYTES} bytes",
                )
            remaining = deadline - self._time.now()
            if remaining.value <= 0:
                raise TimeoutError("the answer was not complete in time")
            if connection.sock is not None:
                connection.sock.settimeout(remaining.seconds)
        return b"".join(parts)

    def _take(self) -> urllib3_connection.HTTPConnection:
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
            # A connection that the target closed while it was idle would
            # leave the outcome of the next request unknown.
            if connection.is_connected:
                return connection
            connection.close()
        return self._open()

    def _open(self) -> urllib3_connection.HTTPConnection:
        connection = urllib3_connection.HTTPConnection(
            self._target.host,
            self._target.port,
            timeout=self._target.connect_timeout.seconds,
        )
        try:
            connection.connect()
        except _BROKEN as error:
            connection.close()
            raise exceptions.RefusedError(
                _Kind.TARGET_UNREACHABLE,
                f"the target does not accept connections: {error}",
            ) from error
        return connection

    def _give_back(
        self, connection: urllib3_connection.HTTPConnection, keeps: bool
    ) -> None:
        if keeps:
            with self._lock:
                if len(self._idle) < _MAX_IDLE:
                    self._idle.append(connection)
                    return
        connection.close()


def _merge_headers(request: calls.HttpRequest) -> dict[str, str]:
    """Return headers as urllib3 takes them, repeated ones joined."""
    merged: dict[str, str] = {}
    for header in request.headers:
        known = merged.get(header.name)
        joined = header.value if known is None else f"{known}, {header.value}"
        merged[header.name] = joined
    return merged


def _is_framed(response: urllib3_response.HTTPResponse) -> bool:
    if response.status in (204, 304):
        return True
    return "content-length" in response.headers or (
        "chunked" in response.headers.get("transfer-encoding", "").lower()
    )


def _describe_failure(
    error: Exception, cancellation: cancellations.Cancellation
) -> exceptions.RefusedError:
    if cancellation.cancelled:
        return exceptions.RefusedError(_Kind.CANCELLED, "the caller went away")
    timeouts = (TimeoutError, urllib3_exceptions.TimeoutError)
    if isinstance(error, timeouts):
        return exceptions.RefusedError(
            _Kind.TIMED_OUT, "the target did not answer in time"
        )
    return exceptions.RefusedError(
        _Kind.INCOMPLETE_ANSWER, f"the target's answer is incomplete: {error}"
    )
