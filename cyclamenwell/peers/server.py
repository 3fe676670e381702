"""Server for messages of other nodes, with one thread per connection."""

from __future__ import annotations

from collections.abc import Callable
import select
import socket
import threading
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import listeners
from cyclamenwell import sockets
from cyclamenwell.peers import wire
from cyclamenwell.telemetry import logs
from cyclamenwell.telemetry import metrics

__all__ = ["Handler", "PeerServer"]

_log = logs.ComponentLogger("peers")
_BACKLOG = 1024

Handler = Callable[[Any, socket.socket], Any]


class PeerServer:
    """Accepts connections of peers and replies to their messages.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on, 0 for any free one.
    handler : Handler
        Called with a message and its connection; returns the reply.
    """

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._handler = handler
        self._lock = threading.Lock()
        self._connection_closed = threading.Condition(self._lock)
        self._connections: set[socket.socket] = set()
        # Closing the write end wakes every thread that waits for a message.
        self._stop_read, self._stop_write = socket.socketpair()
        self._listener = socket.create_server(
            (host, port), backlog=_BACKLOG, reuse_port=False
        )
        self._thread = threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def drain(self, max_wait: clock.Milliseconds) -> bool:
        """Stop accepting, reply to received messages and close connections.

        Parameters
        ----------
        max_wait : clock.Milliseconds
            Longest wait for messages that are being handled.

        Returns
        -------
        bool
            Whether every received message was replied to in time.
        """
        if max_wait:
            listeners.stop_new_connections(self._listener)
        # shutdown() wakes the thread that blocks in accept(); close() does not.
        sockets.shut_down(self._listener)
        self._listener.close()
        self._stop_write.close()
        with self._connection_closed:
            finished = self._connection_closed.wait_for(
                lambda: not self._connections, max_wait.seconds
            )
            connections = tuple(self._connections)
        for connection in connections:
            sockets.shut_down(connection)
        return finished

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.drain(clock.ZERO)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name="peer-connection",
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            self._handle_messages(connection)
        except OSError:
            pass  # The connection is lost; the peer handles that on its side.
        except exceptions.ProtocolError as error:
            _log.warning("closing connection after protocol error: %s", error)
        except Exception:
            _log.exception("message handler failed")
        finally:
            connection.close()
            with self._connection_closed:
                self._connections.discard(connection)
                self._connection_closed.notify_all()

    def _handle_messages(self, connection: socket.socket) -> None:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        poller.register(self._stop_read, select.POLLIN)
        descriptor = connection.fileno()
        while descriptor in (ready for ready, _ in poller.poll()):
            frame = wire.receive_frame(connection)
            if frame is None:
                return
            message = wire.decode(frame)
            encoded = wire.encode(self._handler(message, connection))
            wire.send_frame(connection, encoded)
            metrics.count_configuration_exchange(
                type(message).__name__, "answered", len(encoded), len(frame)
            )
