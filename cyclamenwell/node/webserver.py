"""HTTP server that serves each connection on a thread of its own."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import http
import select
import socket
import threading

from cheroot import server as cheroot

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import listeners
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.node import calls
from cyclamenwell.node import problems
from cyclamenwell.node import streams
from cyclamenwell.telemetry import logs

__all__ = ["MAX_BODY_BYTES", "RequestHandler", "WebServer"]

_log = logs.PartLog("http")
_Kind = enumerations.ErrorKind

_BACKLOG = 1024
_IDLE_TIMEOUT = clock.Milliseconds(75_000)
_READ_TIMEOUT = clock.Milliseconds(10_000)  # For the whole of a request.
_WRITE_TIMEOUT = clock.Milliseconds(10_000)
# A request that is on its way when the listener closes is still taken.
_LAST_REQUEST_WAIT = clock.Milliseconds(100)
# Unread bytes are discarded for so long: closing would reset the connection
# before the caller has read its answer.
_LINGER = clock.Milliseconds(1000)
_MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
_BODILESS = frozenset({204, 304})
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

RequestHandler = Callable[[calls.HttpRequest, socket.socket], calls.HttpAnswer]


class _HeaderTable(dict):
    """Headers as `cheroot` looks them up, and all lines in order."""

    lines: tuple[messages.Header, ...] = ()

    def list_values(self, name: str) -> list[str]:
        return [line.value for line in self.lines if line.name == name]


def _read_header_table(
    stream: cheroot.SizeCheckWrapper, table: _HeaderTable
) -> _HeaderTable:
    """Read headers strictly: two readings of one head allow smuggling.

    Raises
    ------
    ValueError
        If a line is malformed or the framing of the body is ambiguous.
    """
    try:
        table.lines = streams.read_headers(stream.rfile, _MAX_HEADER_BYTES)
        _check_framing(table)
    except exceptions.ProtocolError as error:
        raise ValueError(str(error)) from error
    connection = table.list_values("connection")
    if any("close" in value.lower() for value in connection):
        table[b"Connection"] = b"close"
    return table


def _check_framing(table: _HeaderTable) -> None:
    lengths = table.list_values("content-length")
    codings = table.list_values("transfer-encoding")
    if lengths:
        streams.parse_length(lengths)
    if codings and (lengths or [c.lower() for c in codings] != ["chunked"]):
        raise exceptions.ProtocolError(
            "the body must be framed either by content-length or by "
            "transfer-encoding: chunked"
        )
    if len(table.list_values("host")) > 1:
        raise exceptions.ProtocolError("more than one header host")


class _Request(cheroot.HTTPRequest):
    """Turns a parsed request into an `HttpRequest` and writes the answer."""

    header_reader = staticmethod(_read_header_table)

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.inheaders = _HeaderTable()

    def respond(self) -> None:
        """Run the handler on a whole request."""
        try:
            body = self._read_body()
        except exceptions.ProtocolError as error:
            self._refuse(_Kind.BAD_REQUEST, str(error))
            return
        except exceptions.RefusedError as refusal:
            self._refuse(refusal.kind, refusal.detail)
            return
        answer = self.server.handler(
            calls.HttpRequest(
                method=self.method.decode("latin-1"),
                path=self.uri.decode("latin-1"),
                headers=self.inheaders.lines,
                body=body,
            ),
            self.conn.socket,
        )
        self._write(answer)

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse what `cheroot` finds to be no sound request."""
        code = int(str(status)[:3])
        if code == 500:
            self._refuse(_Kind.INTERNAL, "internal error")
            return
        self._refuse(_Kind.BAD_REQUEST, f"{status}: {msg}" if msg else status)

    def _refuse(self, kind: enumerations.ErrorKind, detail: str) -> None:
        """Refuse a request of which part may not have been read."""
        self.close_connection = True
        self.conn.has_unread = True
        self._write(
            problems.build_problem(exceptions.RefusedError(kind, detail))
        )

    def _read_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        exceptions.ProtocolError
            If the caller sent only a part.
        exceptions.RefusedError
            If it is too large.
        """
        lengths = self.inheaders.list_values("content-length")
        length = streams.parse_length(lengths) if lengths else 0
        is_chunked = bool(self.inheaders.list_values("transfer-encoding"))
        if length > MAX_BODY_BYTES:
            raise exceptions.RefusedError(
                _Kind.BODY_TOO_LARGE,
                f"the body has more than {MAX_BODY_BYTES} bytes",
            )
        if not length and not is_chunked:
            return b""
        self._invite_body()
        if is_chunked:
            return streams.read_chunks(
                self.conn.rfile, MAX_BODY_BYTES, _Kind.BODY_TOO_LARGE
            )
        body = self.conn.rfile.read(length)
        if len(body) < length:
            raise exceptions.ProtocolError(
                f"the body ends after {len(body)} of {length} bytes"
            )
        return body

    def _invite_body(self) -> None:
        expected = self.inheaders.list_values("expect")
        if self.response_protocol != "HTTP/1.1" or self.conn.rfile.has_data():
            return
        if any(value.lower() == "100-continue" for value in expected):
            self.conn.send(_CONTINUE)

    def _write(self, answer: calls.HttpAnswer) -> None:
        self.sent_headers = True
        keeps = (
            self.response_protocol == "HTTP/1.1"
            and not self.close_connection
            and self.server.can_add_keepalive_connection
        )
        self.close_connection = not keeps
        reason = _REASONS.get(answer.status, "")
        lines = [f"HTTP/1.1 {answer.status} {reason}"]
        lines += [f"{h.name}: {h.value}" for h in answer.headers]
        # A request that was not parsed has no method yet.
        is_head = getattr(self, "method", b"") == b"HEAD"
        has_body = not is_head and answer.status not in _BODILESS
        if has_body:
            lines.append(f"content-length: {len(answer.body)}")
        if not keeps:
            lines.append("connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        # One write for head and body, as a second packet costs a system call.
        self.conn.send(head + answer.body if has_body else head)


class _Connection(cheroot.HTTPConnection):
    """Connection of a caller."""

    RequestHandlerClass = _Request

    def __init__(self, server: WebServer, accepted: socket.socket) -> None:
        super().__init__(server, accepted, _make_file)
        self.has_unread = False

    def send(self, data: bytes) -> None:
        """Send all of an answer."""
        self.socket.settimeout(_WRITE_TIMEOUT.seconds)
        self.socket.sendall(data)


def _make_file(
    connection: socket.socket, mode: str, size: int
) -> streams.Stream:
    """Return the reader of a connection; answers are sent without a file."""
    del mode, size
    return streams.Stream(connection, _CLOCK)


_CLOCK = clock.SystemClock()


class WebServer(cheroot.HTTPServer):
    """Listens for HTTP requests, one thread for each connection.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port, 0 for any free one.
    handler : RequestHandler
        Takes a request and its connection, returns the answer.

    Notes
    -----
    `cheroot` parses request lines. Its own selector and worker pool are not
    used: the hand-over of each request from one thread to another takes longer
    than the parsing. Headers and bodies are read by `streams`, because
    `cheroot` keeps one of several equal headers only and takes a body that
    ends inside a chunk size for whole.
    """

    def __init__(self, host: str, port: int, handler: RequestHandler) -> None:
        super().__init__(
            (host, port), cheroot.Gateway, server_name="cyclamenwell"
        )
        self.handler = handler
        self.max_request_header_size = _MAX_HEADER_BYTES
        self._condition = threading.Condition()
        self._open: set[_Connection] = set()
        self._busy: set[_Connection] = set()
        self._draining = False
        self._listener = socket.create_server((host, port), backlog=_BACKLOG)
        self._listener.setblocking(False)
        # Closing a write end wakes all threads that poll its read end.
        self._stop_read, self._stop_write = socket.socketpair()
        self._drain_read, self._drain_write = socket.socketpair()
        self._thread = threading.Thread(
            target=self._accept, name="http-accept", daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._listener.getsockname()[1]

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether connections stay open after an answer."""
        return not self._draining

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log an error that `cheroot` reports."""
        if traceback:
            _log.fail("%s", msg)
        else:
            _log.warn("%s", msg)

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def end_keep_alive(self) -> None:
        """Close each connection after its next answer."""
        self._draining = True

    def drain(self, max_wait: clock.Milliseconds) -> bool:
        """Stop accepting, finish running requests, close all connections.

        Parameters
        ----------
        max_wait : clock.Milliseconds
            Longest time to wait for running requests.

        Returns
        -------
        bool
            Whether every running request was finished.
        """
        self._draining = True
        if max_wait:
            listeners.stop_new_connections(self._listener)
        self._close_listener()
        self._drain_write.close()
        with self._condition:
            self._condition.wait_for(lambda: not self._open, max_wait.seconds)
            finished = not self._busy
            remaining = tuple(self._open)
        for connection in remaining:
            with contextlib.suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RDWR)
        return finished

    def _close_listener(self) -> None:
        self._stop_write.close()
        if self._thread.ident is not None:
            self._thread.join()
        self._stop_read.close()
        self._listener.close()

    def _accept(self) -> None:
        poller = select.poll()
        poller.register(self._listener, select.POLLIN)
        poller.register(self._stop_read, select.POLLIN)
        stopping = False
        while not stopping:
            ready = {number for number, _ in poller.poll()}
            stopping = self._stop_read.fileno() in ready
            # Empties the backlog also when stopping: close() would reset the
            # connections that wait there.
            self._accept_waiting()

    def _accept_waiting(self) -> None:
        while True:
            try:
                accepted, peer = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _log.warn("accepting a connection failed: %s", error)
                return
            accepted.setblocking(True)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _Connection(self, accepted)
            connection.remote_addr, connection.remote_port = peer[:2]
            with self._condition:
                self._open.add(connection)
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name="http-connection",
                daemon=True,
            ).start()

    def _serve(self, connection: _Connection) -> None:
        poller = select.poll()
        poller.register(connection.socket, select.POLLIN)
        poller.register(self._drain_read, select.POLLIN)
        try:
            while self._wait_for_request(connection, poller):
                if not self._answer(connection):
                    break
            if connection.has_unread:
                _discard_unread(connection.socket)
        except OSError:
            return  # The caller is gone.
        finally:
            connection.close()
            with self._condition:
                self._open.discard(connection)
                self._condition.notify_all()

    def _wait_for_request(
        self, connection: _Connection, poller: select.poll
    ) -> bool:
        if connection.rfile.has_data():
            return True
        ready = poller.poll(_IDLE_TIMEOUT.value)
        number = connection.socket.fileno()
        if not ready or any(found == number for found, _ in ready):
            return bool(ready)
        poller.unregister(self._drain_read)
        return bool(poller.poll(_LAST_REQUEST_WAIT.value))

    def _answer(self, connection: _Connection) -> bool:
        connection.rfile.deadline = _CLOCK.now() + _READ_TIMEOUT
        with self._condition:
            self._busy.add(connection)
        try:
            return connection.communicate()
        finally:
            with self._condition:
                self._busy.discard(connection)


def _discard_unread(connection: socket.socket) -> None:
    """Read until the caller closes, for a short time."""
    connection.shutdown(socket.SHUT_WR)
    stream = streams.Stream(connection, _CLOCK)
    stream.deadline = _CLOCK.now() + _LINGER
    while stream.read(MAX_BODY_BYTES):
        pass
