"""TCP relays between nodes that inject link faults."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import select
import socket
import struct
import threading
import time

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import sockets
from cyclamenwell.load import ports
from cyclamenwell.peers import wire

__all__ = [
    "CUT",
    "BLACK_HOLE",
    "DELAY",
    "LinkFault",
    "Links",
    "Relay",
    "reserve_port",
]

CUT = "cut"
BLACK_HOLE = "black-hole"
DELAY = "delay"
_BACKLOG = 256
_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT = clock.Milliseconds(500)
_FIRST_FRAME_TIMEOUT = clock.Milliseconds(10_000)
# With SO_LINGER and a time of zero, close() resets the connection.
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of a link.

    Parameters
    ----------
    mode : str
        `CUT` resets connections, `BLACK_HOLE` holds bytes back until the
        fault ends, as TCP does, `DELAY` delays each chunk.
    delay : clock.Milliseconds
        Delay of each chunk in mode `DELAY`.
    """

    mode: str
    delay: clock.Milliseconds = clock.ZERO


class Links:
    """Faults of all links, and what the relays observed on the links.

    Parameters
    ----------
    secret : bytes
        Bytes that must not pass between nodes.
    """

    def __init__(self, secret: bytes) -> None:
        self._condition = threading.Condition()
        self._faults: dict[tuple[str, str], list[LinkFault]] = {}
        self._secret = secret
        self._closed = False
        self._relays: set[Relay] = set()
        self.chunks = 0
        self.leaks: set[str] = set()
        self.refusals: list[tuple[float, str]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def register(self, relay: Relay) -> None:
        """Register a relay, whose connections are reset when a link is cut."""
        with self._condition:
            self._relays.add(relay)

    def fail(self, pairs: set[tuple[str, str]], fault: LinkFault) -> None:
        """Apply a fault to links, each pair in both directions."""
        with self._condition:
            for first, second in pairs:
                self._faults.setdefault((first, second), []).append(fault)
                self._faults.setdefault((second, first), []).append(fault)
            relays = tuple(self._relays)
            self._condition.notify_all()
        if fault.mode == CUT:
            for relay in relays:
                relay.reset_cut_connections()

    def restore(self, pairs: set[tuple[str, str]], fault: LinkFault) -> None:
        """Remove a fault from links."""
        with self._condition:
            for first, second in pairs:
                self._faults[first, second].remove(fault)
                self._faults[second, first].remove(fault)
            self._condition.notify_all()

    def close(self) -> None:
        """Release the threads that hold bytes back; these reset connections."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether a link is cut, so that its connections are reset."""
        with self._condition:
            return self._has_mode(sender, receiver, CUT)

    def process_chunk(self, sender: str, receiver: str, data: bytes) -> bool:
        """Search a chunk for the secret and apply the faults of its link.

        Returns
        -------
        bool
            Whether to forward the chunk; otherwise the connection is reset.
        """
        self.chunks += 1
        if self._secret in data:
            self.leaks.add(f"{sender} to {receiver}")
        with self._condition:
            faults = self._faults.get((sender, receiver), ())
            delays = [fault.delay for fault in faults if fault.mode == DELAY]
        if delays:
            self.counts[DELAY] += 1
            time.sleep(max(delays).seconds)
        with self._condition:
            if self._has_mode(sender, receiver, BLACK_HOLE):
                self.counts[BLACK_HOLE] += 1
            self._condition.wait_for(
                lambda: (
                    self._closed
                    or not self._has_mode(sender, receiver, BLACK_HOLE)
                )
            )
            if self._has_mode(sender, receiver, CUT):
                self.counts[CUT] += 1
                return False
            return not self._closed

    def _has_mode(self, sender: str, receiver: str, mode: str) -> bool:
        faults = self._faults.get((sender, receiver), ())
        return any(fault.mode == mode for fault in faults)


class Relay:
    """Accepts connections for a node's peer port, one thread for each.

    Parameters
    ----------
    receiver : str
        Instance of the node.
    target_port : int
        Peer port of the node.
    links : Links
        Faults of the links.

    Notes
    -----
    The sending instance is read from the first message of a connection,
    because all connections on a machine have the same source address.
    """

    def __init__(self, receiver: str, target_port: int, links: Links) -> None:
        self._receiver = receiver
        self._target_port = target_port
        self._links = links
        self._lock = threading.Lock()
        self._senders: dict[socket.socket, str] = {}
        self._listener: socket.socket | None = None
        self._reservation = reserve_port()
        self.port = self._reservation.getsockname()[1]
        links.register(self)

    def listen(self) -> None:
        """Start accepting connections."""
        with self._lock:
            if self._listener is not None:
                return
            self._listener = socket.create_server(
                (ports.LOOPBACK, self.port), backlog=_BACKLOG
            )
            threading.Thread(
                target=self._accept, args=(self._listener,), daemon=True
            ).start()

    def refuse(self) -> None:
        """Refuse connections, as a port without a listening process does."""
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            # shutdown() wakes the thread in accept(); close() does not.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def close(self) -> None:
        """Stop listening and shut all connections down."""
        self.refuse()
        self._reservation.close()
        with self._lock:
            connections = tuple(self._senders)
        for connection in connections:
            sockets.shut_down(connection)

    def reset_cut_connections(self) -> None:
        """Reset the connections whose link is cut."""
        with self._lock:
            connections = tuple(self._senders.items())
        for connection, sender in connections:
            if sender and self._links.is_cut(sender, self._receiver):
                self._links.counts["reset"] += 1
                sockets.shut_down(connection)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with self._lock:
            self._senders[connection] = ""
        try:
            with self._connect_upstream() as upstream:
                self._relay(connection, upstream)
        except (OSError, exceptions.ProtocolError):
            pass  # Both connections are reset below.
        finally:
            with self._lock:
                del self._senders[connection]
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )
            connection.close()

    def _connect_upstream(self) -> socket.socket:
        address = (ports.LOOPBACK, self._target_port)
        try:
            return socket.create_connection(address, _CONNECT_TIMEOUT.seconds)
        except ConnectionRefusedError:
            # From now on peers get the same refusal as without a relay.
            self._links.refusals.append(
                (time.monotonic_ns() / 1e6, self._receiver)
            )
            self.refuse()
            raise

    def _relay(
        self, connection: socket.socket, upstream: socket.socket
    ) -> None:
        for endpoint in (connection, upstream):
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end = time.monotonic() + _FIRST_FRAME_TIMEOUT.seconds
        connection.settimeout(_FIRST_FRAME_TIMEOUT.seconds)
        frame = wire.receive_frame(connection, end)
        if frame is None:
            return
        sender = wire.decode(frame).sender.instance
        with self._lock:
            self._senders[connection] = sender
        if not self._links.process_chunk(sender, self._receiver, frame):
            return
        upstream.settimeout(None)
        connection.settimeout(None)
        wire.send_frame(upstream, frame)
        self._copy(sender, connection, upstream)

    def _copy(
        self, sender: str, connection: socket.socket, upstream: socket.socket
    ) -> None:
        """Copy bytes in both directions.

        One thread is enough, as a connection carries one exchange at a time.
        """
        directions = {
            connection.fileno(): (connection, upstream),
            upstream.fileno(): (upstream, connection),
        }
        poller = select.poll()
        for descriptor in directions:
            poller.register(descriptor, select.POLLIN)
        while True:
            for descriptor, _ in poller.poll():
                source, destination = directions[descriptor]
                data = source.recv(_CHUNK_BYTES)
                if not data:
                    return
                if not self._links.process_chunk(sender, self._receiver, data):
                    return
                destination.sendall(data)


def reserve_port(port: int = 0) -> socket.socket:
    """Reserve a loopback port while no process listens on it.

    Parameters
    ----------
    port : int
        Port, 0 for any free port.

    Returns
    -------
    socket.socket
        Bound socket. A listener with SO_REUSEADDR can use the port; until
        then, connections are refused.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((ports.LOOPBACK, port))
    return reservation
