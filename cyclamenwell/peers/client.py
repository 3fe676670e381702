"""Client for messages to other nodes, with a connection pool per peer."""

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

__all__ = ["Address", "CancellationToken", "PeerClient"]

_MAX_IDLE_PER_PEER = 64  # Idle connections in the pool of one peer.
_MIN_TIMEOUT = clock.Milliseconds(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address on which a peer listens.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        Port for messages of peers.
    """

    host: str
    port: int

    @classmethod
    def from_entry(cls, entry: messages.InstanceEntry) -> Address:
        """Return the peer address of an entry of the instance list."""
        return cls(entry.host, entry.peer_port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class CancellationToken(Protocol):
    """Signals that the reply to a message is no longer needed."""

    cancelled: bool

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Run a function on cancellation, at once if already cancelled."""

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove a function that has not been run yet."""


class PeerClient:
    """Sends messages to peers; a connection carries one call at a time.

    Parameters
    ----------
    connect_timeout : clock.Milliseconds
        Longest time to open a connection.
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
        cancellation: CancellationToken | None = None,
        is_reply: Callable[[Any], bool] | None = None,
    ) -> Any:
        """Send a message and wait for its reply.

        Parameters
        ----------
        address : Address
            Peer to call.
        message : object
            Instance of a class in `messages`.
        timeout : clock.Milliseconds
            Time for the whole exchange, connecting included.
        cancellation : CancellationToken or None
            Shuts the connection down when it is cancelled.
        is_reply : callable or None
            Tells whether a received message is the reply to this one. If not,
            requests and replies on the connection no longer match, and it is
            closed.

        Returns
        -------
        object
            The reply, which may be a `messages.Fault`.

        Raises
        ------
        exceptions.PeerUnavailableError
            If no complete reply was received; `sent` tells whether the peer may
            have received the message.
        """
        frame = wire.encode(message)
        deadline = time.monotonic() + max(timeout, _MIN_TIMEOUT).seconds
        connection = self._take_idle(address)
        if connection is None:
            connection = self._connect(address, max(timeout, _MIN_TIMEOUT))
        abort = functools.partial(sockets.shut_down, connection)
        if cancellation is not None:
            cancellation.add_callback(abort)
        try:
            received = _exchange_frames(connection, frame, deadline)
            reply = wire.decode(received)
            if is_reply is not None and not is_reply(reply):
                raise exceptions.ProtocolError("the reply is to another call")
        except (OSError, exceptions.ProtocolError) as error:
            # The connection is not reused, so that a late reply is not taken
            # for the reply to the next message.
            connection.close()
            raise exceptions.PeerUnavailableError(
                f"no reply from {address}: {error}", sent=True, refused=False
            ) from error
        finally:
            if cancellation is not None:
                cancellation.remove_callback(abort)
        if cancellation is not None and cancellation.cancelled:
            # The callback may still run and shut the connection down, so the
            # connection is not reused.
            connection.close()
            return reply
        self._release(address, connection)
        metrics.count_configuration_exchange(
            type(message).__name__, "asked", len(frame), len(received)
        )
        return reply

    def close(self) -> None:
        """Close the idle connections and pool no more of them."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.close()

    def _take_idle(self, address: Address) -> socket.socket | None:
        """Return an idle connection that the peer has not closed, if any."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if sockets.has_no_input(connection):
                return connection
            connection.close()

    def _connect(
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

    def _release(self, address: Address, connection: socket.socket) -> None:
        with self._lock:
            if not self._closed:
                idle = self._idle.setdefault(address, collections.deque())
                if len(idle) < _MAX_IDLE_PER_PEER:
                    idle.append(connection)
                    return
        connection.close()


def _exchange_frames(
    connection: socket.socket, frame: bytes, deadline: float
) -> bytes:
    """Send a frame and return the frame of the reply before a deadline."""
    wire.send_frame(connection, frame, deadline)
    received = wire.receive_frame(connection, deadline)
    if received is None:
        raise exceptions.ProtocolError("connection closed")
    return received
