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
from cyclamenwell.generated import messages
from cyclamenwell.node import calls
from cyclamenwell.telemetry import logs

__all__ = ["RequestHandler", "WebServer"]

_log = logs.PartLog("http")

_BACKLOG = 1024
_IDLE_TIMEOUT = clock.Milliseconds(75_000)
_READ_TIMEOUT = clock.Milliseconds(10_000)  # For the rest of a begun request.
_MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
_BODILESS = frozenset({204, 205, 304})
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

RequestHandler = Callable[[calls.HttpRequest, socket.socket], calls.HttpAnswer]


class _Gateway(cheroot.Gateway):
    """Turns a parsed request into an `HttpRequest` and writes the answer."""

    def respond(self) -> None:
        request = self.req
        body = self._read_body()
        if body is None:
            request.close_connection = True
            request.sent_headers = True
            return
        answer = request.server.handler(
            calls.HttpRequest(
                method=request.method.decode("latin-1"),
                path=request.uri.decode("latin-1"),
                headers=_read_headers(request.inheaders),
                body=body,
            ),
            request.conn.socket,
        )
        self._write(answer)

    def _read_body(self) -> bytes | None:
        """Return the whole body, None if the caller sent only a part."""
        request = self.req
        if request.chunked_read:
            return request.rfile.read()
        expected = int(request.inheaders.get(b"Content-Length", 0))
        body = request.rfile.read() if expected else b""
        return body if len(body) == expected else None

    def _write(self, answer: calls.HttpAnswer) -> None:
        request = self.req
        request.sent_headers = True
        keeps = (
            request.response_protocol == "HTTP/1.1"
            and not request.close_connection
            and request.server.can_add_keepalive_connection
        )
        request.close_connection = not keeps
        reason = _REASONS.get(answer.status, "")
        lines = [f"HTTP/1.1 {answer.status} {reason}"]
        lines += [f"{h.name}: {h.value}" for h in answer.headers]
        is_head = request.method == b"HEAD"
        has_body = not is_head and answer.status not in _BODILESS
        if has_body:
            lines.append(f"content-length: {len(answer.body)}")
        if not keeps:
            lines.append("connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        # One write for head and body, as a second packet costs a system call.
        request.conn.wfile.write(head + answer.body if has_body else head)


def _read_headers(raw: dict[bytes, bytes]) -> tuple[messages.Header, ...]:
    return tuple(
        messages.Header(name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in raw.items()
    )


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
    `cheroot` parses requests. Its own selector and worker pool are not used:
    the hand-over of each request from one thread to another takes longer than
    the parsing.
    """

    def __init__(self, host: str, port: int, handler: RequestHandler) -> None:
        super().__init__((host, port), _Gateway, server_name="cyclamenwell")
        self.handler = handler
        self.max_request_header_size = _MAX_HEADER_BYTES
        self.max_request_body_size = MAX_BODY_BYTES
        self._condition = threading.Condition()
        self._busy: set[cheroot.HTTPConnection] = set()
        self._idle: set[cheroot.HTTPConnection] = set()
        self._draining = False
        self._listener = socket.create_server((host, port), backlog=_BACKLOG)
        self._listener.setblocking(False)
        self._stop_read, self._stop_write = socket.socketpair()
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
        self._close_listener()
        with self._condition:
            finished = self._condition.wait_for(
                lambda: not self._busy, max_wait.seconds
            )
            remaining = tuple(self._idle | self._busy)
        for connection in remaining:
            with contextlib.suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RDWR)
        return finished

    def _close_listener(self) -> None:
        self._stop_write.close()
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
            connection = cheroot.HTTPConnection(self, accepted)
            connection.remote_addr, connection.remote_port = peer[:2]
            with self._condition:
                self._idle.add(connection)
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name="http-connection",
                daemon=True,
            ).start()

    def _serve(self, connection: cheroot.HTTPConnection) -> None:
        try:
            while self._wait_for_request(connection):
                if not self._answer(connection):
                    return
        except OSError:
            return  # The caller is gone.
        finally:
            with self._condition:
                self._idle.discard(connection)
            connection.close()

    def _wait_for_request(self, connection: cheroot.HTTPConnection) -> bool:
        if connection.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(connection.socket, select.POLLIN)
        return bool(poller.poll(_IDLE_TIMEOUT.value))

    def _answer(self, connection: cheroot.HTTPConnection) -> bool:
        connection.socket.settimeout(_READ_TIMEOUT.seconds)
        with self._condition:
            self._idle.discard(connection)
            self._busy.add(connection)
        try:
            return connection.communicate()
        finally:
            with self._condition:
                self._busy.discard(connection)
                self._idle.add(connection)
                self._condition.notify_all()
