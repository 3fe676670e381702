"""HTTP server with one thread for each connection."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import select
import socket
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import listeners
from cyclamenwell import sockets
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.node import http1
from cyclamenwell.node import problems
from cyclamenwell.telemetry import logs

__all__ = ["RequestHandler", "WebServer"]

_log = logs.ComponentLogger("http")
_Kind = enumerations.ErrorKind

_BACKLOG = 1024
_IDLE_TIMEOUT = clock.Milliseconds(75_000)
_READ_TIMEOUT = clock.Milliseconds(10_000)  # For a complete request.
_WRITE_TIMEOUT = clock.Milliseconds(10_000)
# A request in flight when the listener closes is still accepted.
_LAST_REQUEST_TIMEOUT = clock.Milliseconds(100)
# Unread bytes are discarded for this time: closing at once would reset the
# connection before the caller has read its answer.
_DISCARD_TIMEOUT = clock.Milliseconds(1000)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_CLOCK = clock.SystemClock()

RequestHandler = Callable[[calls.HttpRequest, socket.socket], calls.HttpAnswer]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Connection:
    """Connection of a caller and its request parser."""

    socket: socket.socket
    parser: http1.RequestParser

    def read_request(self) -> http1.ReceivedRequest | None:
        """Return the next request, or None at the end of the stream.

        Raises
        ------
        exceptions.ProtocolError
            If it is malformed or not complete in time.
        exceptions.RefusedError
            If its body is too large.
        """
        end = _CLOCK.now() + _READ_TIMEOUT
        while (received := self.parser.pop_request()) is None:
            if self.parser.pop_continue_expectation():
                self.send(_CONTINUE)
            data = self._receive(end)
            if data:
                self.parser.feed(data)
            elif self.parser.has_data():
                raise exceptions.ProtocolError("the request ends early")
            else:
                return None
        return received

    def write_answer(
        self, answer: calls.HttpAnswer, method: str, keep_alive: bool
    ) -> None:
        """Send an answer."""
        # One write for head and body: a second one costs a system call.
        self.send(encoding.encode_answer(answer, method, keep_alive))

    def send(self, data: bytes) -> None:
        """Send all bytes."""
        sockets.send(self.socket, data, _WRITE_TIMEOUT)

    def discard_unread(self) -> None:
        """Read until the caller closes, for a short time."""
        self.socket.shutdown(socket.SHUT_WR)
        end = _CLOCK.now() + _DISCARD_TIMEOUT
        while sockets.receive(self.socket, end - _CLOCK.now()):
            pass

    def _receive(self, end: clock.Milliseconds) -> bytes:
        try:
            return sockets.receive(self.socket, end - _CLOCK.now())
        except TimeoutError as error:
            raise exceptions.ProtocolError(
                f"the request took more than {_READ_TIMEOUT.seconds:.0f} s"
            ) from error


class WebServer:
    """Listens for HTTP requests, one thread for each connection.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port, 0 for any free one.
    handler : RequestHandler
        Takes a request and its connection, returns the answer.

    Notes
    -----
    There is no event loop and no worker pool: handing each request from one
    thread to another takes longer than parsing it.
    """

    def __init__(self, host: str, port: int, handler: RequestHandler) -> None:
        self._handler = handler
        self._condition = threading.Condition()
        self._open_connections: set[_Connection] = set()
        self._busy_connections: set[_Connection] = set()
        self._draining = False
        self._listener = socket.create_server((host, port), backlog=_BACKLOG)
        self._listener.setblocking(False)
        # Closing a write end wakes all threads that poll the read end.
        self._stop_read, self._stop_write = socket.socketpair()
        self._drain_read, self._drain_write = socket.socketpair()
        self._thread = threading.Thread(
            target=self._accept, name="http-accept", daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def disable_keep_alive(self) -> None:
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
            self._condition.wait_for(
                lambda: not self._open_connections, max_wait.seconds
            )
            finished = not self._busy_connections
            remaining = tuple(self._open_connections)
        for connection in remaining:
            sockets.shut_down(connection.socket)
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
            ready = {descriptor for descriptor, _ in poller.poll()}
            stopping = self._stop_read.fileno() in ready
            # Accept the backlog also when stopping: close() would reset the
            # connections in it.
            self._accept_pending()

    def _accept_pending(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _log.warning("accepting a connection failed: %s", error)
                return
            accepted.setblocking(True)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = _Connection(accepted, http1.RequestParser())
            with self._condition:
                self._open_connections.add(connection)
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
                if not self._serve_request(connection):
                    break
        except OSError:
            return  # The caller has disconnected.
        finally:
            connection.socket.close()
            with self._condition:
                self._open_connections.discard(connection)
                self._condition.notify_all()

    def _wait_for_request(
        self, connection: _Connection, poller: select.poll
    ) -> bool:
        """Wait for data of a request; return False to close the connection."""
        if connection.parser.has_data():
            return True
        ready = poller.poll(_IDLE_TIMEOUT.value)
        descriptor = connection.socket.fileno()
        if not ready:
            return False
        if all(found != descriptor for found, _ in ready):
            poller.unregister(self._drain_read)
            if not poller.poll(_LAST_REQUEST_TIMEOUT.value):
                return False
        connection.parser.feed(sockets.receive_available(connection.socket))
        return connection.parser.has_data()

    def _serve_request(self, connection: _Connection) -> bool:
        """Answer a request; return whether another one may follow."""
        with self._condition:
            self._busy_connections.add(connection)
        try:
            return self._answer(connection)
        finally:
            with self._condition:
                self._busy_connections.discard(connection)

    def _answer(self, connection: _Connection) -> bool:
        try:
            received = connection.read_request()
        except exceptions.ProtocolError as error:
            self._refuse(connection, _Kind.BAD_REQUEST, str(error))
            return False
        except exceptions.RefusedError as refusal:
            self._refuse(connection, refusal.kind, refusal.detail)
            return False
        if received is None:
            return False
        answer = self._run_handler(received.request, connection.socket)
        keep_alive = received.keep_alive and not self._draining
        connection.write_answer(answer, received.request.method, keep_alive)
        return keep_alive

    def _refuse(
        self,
        connection: _Connection,
        kind: enumerations.ErrorKind,
        detail: str,
    ) -> None:
        """Refuse a request that may have been read only in part."""
        refusal = exceptions.RefusedError(kind, detail)
        connection.write_answer(problems.build_problem(refusal), "", False)
        connection.discard_unread()

    def _run_handler(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        try:
            return self._handler(request, connection)
        except Exception:
            _log.exception("the handler of a request failed")
            return problems.build_problem(
                exceptions.RefusedError(_Kind.INTERNAL, "internal error")
            )
