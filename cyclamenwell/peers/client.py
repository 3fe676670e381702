"""Sending messages to other nodes over pooled connections."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import functools
import socket
import threading
import time
from typing import Any
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import sockets
from cyclamenwell.generated import messages
from cyclamenwell.peers import wire
from cyclamenwell.telemetry import metrics

__all__ = ["Address", "Interrupt", "PeerClient"]

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


class Interrupt(Protocol):
    """Ends an exchange early, as the cancellation of a call does."""

    cancelled: bool

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Run a function on the interrupt, at once if it has happened."""

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Forget a function, if it has not been run."""


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
        interrupt: Interrupt | None = None,
        belongs: Callable[[Any], bool] | None = None,
    ) -> Any:
        """Send a message and wait for its reply.

        Parameters
        ----------
        address : Address
            Peer to call.
        message : object
            Instance of a class in `messages`.
        timeout : clock.Milliseconds
            Time for the whole exchange.
        interrupt : Interrupt or None
            Shuts the connection down when it happens.
        belongs : callable or None
            Tells whether a message is the reply to this one; on any other the
            connection is out of step and closed.

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
        end = time.monotonic() + max(timeout, _MIN_TIMEOUT).seconds
        connection = self._take(address)
        if connection is None:
            connection = self._open(address, max(timeout, _MIN_TIMEOUT))
        shut_down = functools.partial(sockets.shut_down, connection)
        if interrupt is not None:
            interrupt.add_callback(shut_down)
        try:
            received = _exchange_frames(connection, frame, end)
            reply = wire.decode(received)
            if belongs is not None and not belongs(reply):
                raise exceptions.ProtocolError("the reply is to another call")
        except (OSError, exceptions.ProtocolError) as error:
            # The exchange is unfinished: a late reply must not be taken for
            # the reply to the next message.
            connection.close()
            raise exceptions.PeerUnavailableError(
                f"no reply from {address}: {error}", sent=True, refused=False
            ) from error
        finally:
            if interrupt is not None:
                interrupt.remove_callback(shut_down)
        if interrupt is not None and interrupt.cancelled:
            # The callback may still be about to shut the connection down.
            connection.close()
            return reply
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

    def _take(self, address: Address) -> socket.socket | None:
        """Return an idle connection that the peer has not closed."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if sockets.is_quiet(connection):
                return connection
            connection.close()

    def _open(
        self, address: Address, timeout: clock.Milliseconds
    ) -> socket.socket:
        timeout = min(timeout, self._connect_timeout)
        try:
            connection = socket.create_connection(
                (address.host, address.port), timeout.seconds
            )
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise exceptions.PeerUnavailableError(
                f"can not connect to {address}: {error}",
                sent=False,
                refused=refused,
            ) from error
        connection.settimeout(None)
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


def _exchange_frames(
    connection: socket.socket, frame: bytes, end: float
) -> bytes:
    """Send a frame and return the frame of the reply, all before a time."""
    wire.send_frame(connection, frame, end)
    received = wire.receive_frame(connection, end)
    if received is None:
        raise exceptions.ProtocolError("connection closed")
    return received
