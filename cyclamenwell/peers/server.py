"""Serving messages of other nodes, one thread for each connection."""

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

_log = logs.PartLog("peers")
_BACKLOG = 1024

Handler = Callable[[Any, socket.socket], Any]


class PeerServer:
    """Listens for peers.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    handler : Handler
        Takes a message and the connection it came on, returns the reply.
    """

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._handler = handler
        self._lock = threading.Lock()
        self._ended = threading.Condition(self._lock)
        self._connections: set[socket.socket] = set()
        # Closing the write end wakes all threads that wait for a message.
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
        """Begin to accept connections."""
        self._thread.start()

    def drain(self, max_wait: clock.Milliseconds) -> bool:
        """Stop accepting, reply to what was received, close connections.

        Parameters
        ----------
        max_wait : clock.Milliseconds
            Longest time to wait for running messages.

        Returns
        -------
        bool
            Whether every received message got its reply.
        """
        if max_wait:
            listeners.stop_new_connections(self._listener)
        # shutdown() wakes the thread that waits in accept(); close() does not.
        sockets.shut_down(self._listener)
        self._listener.close()
        self._stop_write.close()
        with self._ended:
            finished = self._ended.wait_for(
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
            self._converse(connection)
        except OSError:
            pass  # The peer is gone; its own side decides what to do.
        except exceptions.ProtocolError as error:
            _log.warn("closing a connection: %s", error)
        except Exception:
            _log.fail("handling a message failed")
        finally:
            connection.close()
            with self._ended:
                self._connections.discard(connection)
                self._ended.notify_all()

    def _converse(self, connection: socket.socket) -> None:
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        poller.register(self._stop_read, select.POLLIN)
        number = connection.fileno()
        while number in (ready for ready, _ in poller.poll()):
            frame = wire.receive_frame(connection)
            if frame is None:
                return
            message = wire.decode(frame)
            encoded = wire.encode(self._handler(message, connection))
            wire.send_frame(connection, encoded)
            metrics.count_spread(
                type(message).__name__, "answered", len(encoded), len(frame)
            )
