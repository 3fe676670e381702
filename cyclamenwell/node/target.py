"""HTTP client of the target beside the node."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import re
import socket
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import headers
from cyclamenwell.node import streams

__all__ = ["TargetClient"]

_Kind = enumerations.ErrorKind
_MAX_IDLE = 256  # Connections kept open to the target.
# Many servers close a connection after 5 s without a request. One that is
# closed while a request is on its way leaves the outcome unknown.
_MAX_IDLE_TIME = clock.Milliseconds(4000)
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024
_MAX_INTERIM_ANSWERS = 16
_MIN_TIMEOUT = clock.Milliseconds(1)
_SWITCHING = 101
_BODILESS = frozenset({204, 304})
_WITH_LENGTH = frozenset({"POST", "PUT", "PATCH"})
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?\r\n")
_REQUEST_LINE = re.compile(
    r"[!#$%&'*+.^_`|~0-9A-Za-z-]+ /[\x21-\x7e]* HTTP/1\.1"
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Connection:
    """An open connection to the target."""

    socket: socket.socket
    stream: streams.Stream
    idle_since: clock.Milliseconds

    def close(self) -> None:
        self.socket.close()


@dataclasses.dataclass(frozen=True, slots=True)
class _Head:
    """Status line and headers of an answer."""

    version: int
    status: int
    headers: tuple[messages.Header, ...]

    def list_values(self, name: str) -> list[str]:
        return [h.value for h in self.headers if h.name == name]


class TargetClient:
    """Sends requests to the target, one at a time on each connection.

    Parameters
    ----------
    target : settings.TargetSettings
        Address and timeouts.
    time : clock.Clock
        Clock of the deadlines.

    Notes
    -----
    The standard library's client takes an answer that ends inside a chunk
    size or has a malformed length for whole, takes an interim answer for the
    final one, and bounds the time of each read only. None of that is allowed
    here, so answers are read by `streams`.
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
            As BAD_REQUEST or TARGET_UNREACHABLE if no byte was sent; as
            CANCELLED, TIMED_OUT, INCOMPLETE_ANSWER or ANSWER_TOO_LARGE if the
            target may have run the request.
        """
        sent = self._encode(request)
        connection = self._take(deadline)

        def shut_down() -> None:
            with contextlib.suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RDWR)

        cancellation.add_callback(shut_down)
        try:
            answer, keeps = self._exchange(
                connection, sent, request.method, deadline
            )
        except (OSError, exceptions.ProtocolError) as error:
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

    def _encode(self, request: calls.HttpRequest) -> bytes:
        """Return the bytes of a request."""
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"host: {self._target.host}:{self._target.port}",
        ]
        lines += [f"{h.name}: {h.value}" for h in request.headers]
        if request.body or request.method in _WITH_LENGTH:
            lines.append(f"content-length: {len(request.body)}")
        head = "\r\n".join(lines)
        # A forbidden character could make the target read two requests.
        breaks = len(lines) - 1
        if (
            _REQUEST_LINE.fullmatch(lines[0]) is None
            or head.count("\r") != breaks
            or head.count("\n") != breaks
            or "\0" in head
        ):
            raise exceptions.RefusedError(
                _Kind.BAD_REQUEST, "the request holds a forbidden character"
            )
        encoded = head.encode("latin-1", "replace")
        return encoded + b"\r\n\r\n" + request.body

    def _exchange(
        self,
        connection: _Connection,
        sent: bytes,
        method: str,
        deadline: clock.Milliseconds,
    ) -> tuple[calls.HttpAnswer, bool]:
        remaining = max(deadline - self._time.now(), _MIN_TIMEOUT)
        connection.socket.settimeout(remaining.seconds)
        connection.socket.sendall(sent)
        stream = connection.stream
        stream.deadline = deadline
        head = _read_final_head(stream)
        body = b""
        if method != "HEAD" and head.status not in _BODILESS:
            body = _read_body(stream, head)
        answer = calls.HttpAnswer(
            head.status, headers.keep_end_to_end(head.headers), body
        )
        closes = any(
            "close" in value.lower() for value in head.list_values("connection")
        )
        keeps = head.version == 1 and not closes and not stream.has_data()
        return answer, keeps

    def _take(self, deadline: clock.Milliseconds) -> _Connection:
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
            age = self._time.now() - connection.idle_since
            if age < _MAX_IDLE_TIME and _is_quiet(connection.socket):
                return connection
            connection.close()
        return self._open(deadline)

    def _open(self, deadline: clock.Milliseconds) -> _Connection:
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
        return _Connection(
            opened, streams.Stream(opened, self._time), self._time.now()
        )

    def _give_back(self, connection: _Connection, keeps: bool) -> None:
        if keeps:
            idle = dataclasses.replace(connection, idle_since=self._time.now())
            with self._lock:
                if len(self._idle) < _MAX_IDLE:
                    self._idle.append(idle)
                    return
        connection.close()


def _is_quiet(connection: socket.socket) -> bool:
    """Return whether nothing, not even an end of stream, waits to be read."""
    connection.setblocking(False)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _read_final_head(stream: streams.Stream) -> _Head:
    """Read heads until one that is not interim."""
    for _ in range(_MAX_INTERIM_ANSWERS):
        line = stream.readline(_MAX_HEAD_BYTES)
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise exceptions.ProtocolError(f"no status line: {line[:80]!r}")
        head = _Head(
            int(match.group(1)),
            int(match.group(2)),
            streams.read_headers(stream, _MAX_HEAD_BYTES),
        )
        if head.status == _SWITCHING:
            raise exceptions.ProtocolError("the target switched protocols")
        if head.status >= 200:
            return head
    raise exceptions.ProtocolError("too many interim answers")


def _read_body(stream: streams.Stream, head: _Head) -> bytes:
    lengths = head.list_values("content-length")
    codings = [c.lower() for c in head.list_values("transfer-encoding")]
    if codings:
        if lengths or codings != ["chunked"] or head.version == 0:
            raise exceptions.ProtocolError(
                f"ambiguous framing: transfer-encoding {codings}, "
                f"content-length {lengths}"
            )
        return streams.read_chunks(
            stream, _MAX_ANSWER_BYTES, _Kind.ANSWER_TOO_LARGE
        )
    if not lengths:
        raise exceptions.ProtocolError(
            "neither length nor chunks, so an early end can not be told"
        )
    length = streams.parse_length(lengths)
    if length > _MAX_ANSWER_BYTES:
        raise exceptions.RefusedError(
            _Kind.ANSWER_TOO_LARGE,
            f"the answer has more than {_MAX_ANSWER_BYTES} bytes",
        )
    body = stream.read(length)
    if len(body) < length:
        raise exceptions.ProtocolError(
            f"the connection ended after {len(body)} of {length} bytes"
        )
    return body


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
