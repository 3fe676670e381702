"""Sending messages to other nodes over pooled connections."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import socket
import threading
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.peers import wire
from cyclamenwell.telemetry import metrics

__all__ = ["Address", "PeerClient"]

_IDLE_PER_PEER = 64  # Connections kept open to one peer.
_MIN_TIMEOUT = clock.Milliseconds(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a peer listens.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Peer port.
    """

    host: str
    port: int

    @classmethod
    def of(cls, entry: messages.InstanceEntry) -> Address:
        """Return the peer address of a listed instance."""
        return cls(entry.host, entry.peer_port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerClient:
    """Calls other nodes; one call at a time on each connection.

    Parameters
    ----------
    connect_timeout : clock.Milliseconds
        Time to open a connection.
    """

    def __init__(self, connect_timeout: clock.Milliseconds) -> None:
        self._connect_timeout = connect_timeout
        self._lock = threading.Lock()
        self._idle: dict[Address, collections.deque[socket.socket]] = {}
        self._closed = False

    def call(
        self,
        address: Address,
        message: Any,
        timeout: clock.Milliseconds,
        on_connected: Callable[[socket.socket], None] | None = None,
    ) -> Any:
        """Send a message and wait for its reply.

        Parameters
        ----------
        address : Address
            Peer to call.
        message : object
            Instance of a class in `messages`.
        timeout : clock.Milliseconds
            Time for sending and for each part of the reply.
        on_connected : callable or None
            Gets the connection before anything is sent, so that a cancelled
            call can shut it down.

        Returns
        -------
        object
            The reply, which may be a `messages.Fault`.

        Raises
        ------
        exceptions.PeerUnavailableError
            If no whole reply came; `sent` tells whether the peer may have
            received the message.
        """
        frame = wire.encode(message)
        connection = self._take(address)
        if connection is None:
            connection = self._open(address)
        try:
            if on_connected is not None:
                on_connected(connection)
            connection.settimeout(max(timeout, _MIN_TIMEOUT).seconds)
            wire.send_frame(connection, frame)
            received = wire.receive_frame(connection)
            if received is None:
                raise exceptions.ProtocolError("connection closed")
            reply = wire.decode(received)
        except (OSError, exceptions.ProtocolError) as error:
            # The exchange is unfinished: a late reply must not be taken for
            # the reply to the next message.
            connection.close()
            raise exceptions.PeerUnavailableError(
                f"no reply from {address}: {error}", sent=True, refused=False
            ) from error
        self._give_back(address, connection)
        metrics.count_spread(
            type(message).__name__, "asked", len(frame), len(received)
        )
        return reply

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def forget(self, address: Address) -> None:
        """Close the idle connections to a peer that is gone."""
        with self._lock:
            connections = self._idle.pop(address, ())
        for connection in connections:
            connection.close()

    def _take(self, address: Address) -> socket.socket | None:
        """Return an idle connection that the peer has not closed."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if _is_quiet(connection):
                return connection
            connection.close()

    def _open(self, address: Address) -> socket.socket:
        try:
            connection = socket.create_connection(
                (address.host, address.port), self._connect_timeout.seconds
            )
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise exceptions.PeerUnavailableError(
                f"can not connect to {address}: {error}",
                sent=False,
                refused=refused,
            ) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _give_back(self, address: Address, connection: socket.socket) -> None:
        with self._lock:
            if not self._closed:
                idle = self._idle.setdefault(address, collections.deque())
                if len(idle) < _IDLE_PER_PEER:
                    idle.append(connection)
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
