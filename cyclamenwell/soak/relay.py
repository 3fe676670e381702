"""TCP relays between nodes, whose links can fail."""

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
    "LinkState",
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
# With a linger time of zero, closing resets the connection.
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkState:
    """How a link fails.

    Parameters
    ----------
    mode : str
        `CUT` resets connections, `BLACK_HOLE` holds bytes until the link is
        whole again, as TCP does, `DELAY` holds each chunk for a time.
    delay : clock.Milliseconds
        That time.
    """

    mode: str
    delay: clock.Milliseconds = clock.ZERO


class Links:
    """State of all links and what was seen on them.

    Parameters
    ----------
    secret : bytes
        Bytes that must not go from node to node.
    """

    def __init__(self, secret: bytes) -> None:
        self._condition = threading.Condition()
        self._states: dict[tuple[str, str], list[LinkState]] = {}
        self._secret = secret
        self._closed = False
        self._watched: set[Relay] = set()
        self.chunks = 0
        self.leaks: set[str] = set()
        self.refusals: list[tuple[float, str]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def watch(self, relay: Relay) -> None:
        """Reset a relay's connections when their link is cut."""
        with self._condition:
            self._watched.add(relay)

    def fail(self, pairs: set[tuple[str, str]], state: LinkState) -> None:
        """Let links fail, each pair in both directions."""
        with self._condition:
            for first, second in pairs:
                self._states.setdefault((first, second), []).append(state)
                self._states.setdefault((second, first), []).append(state)
            watched = tuple(self._watched)
            self._condition.notify_all()
        if state.mode == CUT:
            for relay in watched:
                relay.reset_cut()

    def heal(self, pairs: set[tuple[str, str]], state: LinkState) -> None:
        """End one failure of links."""
        with self._condition:
            for first, second in pairs:
                self._states[first, second].remove(state)
                self._states[second, first].remove(state)
            self._condition.notify_all()

    def close(self) -> None:
        """Release all that is held."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether connections of a link are reset."""
        with self._condition:
            return self._has(sender, receiver, CUT)

    def pass_chunk(self, sender: str, receiver: str, data: bytes) -> bool:
        """Wait as long as the link holds bytes.

        Returns
        -------
        bool
            Whether the bytes may go on; else the connection is reset.
        """
        self.chunks += 1
        if self._secret in data:
            self.leaks.add(f"{sender} to {receiver}")
        with self._condition:
            states = self._states.get((sender, receiver), ())
            delays = [s.delay for s in states if s.mode == DELAY]
        if delays:
            self.counts[DELAY] += 1
            time.sleep(max(delays).seconds)
        with self._condition:
            if self._has(sender, receiver, BLACK_HOLE):
                self.counts[BLACK_HOLE] += 1
            self._condition.wait_for(
                lambda: (
                    self._closed or not self._has(sender, receiver, BLACK_HOLE)
                )
            )
            if self._has(sender, receiver, CUT):
                self.counts[CUT] += 1
                return False
            return not self._closed

    def _has(self, sender: str, receiver: str, mode: str) -> bool:
        states = self._states.get((sender, receiver), ())
        return any(state.mode == mode for state in states)


class Relay:
    """Listens in place of a node's peer port; one thread per connection.

    Parameters
    ----------
    receiver : str
        Instance of the node.
    target_port : int
        Its peer port.
    links : Links
        State of the links.

    Notes
    -----
    The sender's instance is read from the first message of a connection, as
    all connections of a machine come from one address.
    """

    def __init__(self, receiver: str, target_port: int, links: Links) -> None:
        self._receiver = receiver
        self._target_port = target_port
        self._links = links
        self._lock = threading.Lock()
        self._open: dict[socket.socket, str] = {}
        self._listener: socket.socket | None = None
        self._reservation = reserve_port()
        self.port = self._reservation.getsockname()[1]
        links.watch(self)

    def listen(self) -> None:
        """Accept connections."""
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
        """Refuse connections, as an address without a process does."""
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            # shutdown() wakes the thread in accept(); close() does not.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def close(self) -> None:
        """Close everything."""
        self.refuse()
        self._reservation.close()
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            sockets.shut_down(connection)

    def reset_cut(self) -> None:
        """Reset the connections of links that are cut."""
        with self._lock:
            connections = tuple(self._open.items())
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
            self._open[connection] = ""
        try:
            with self._open_onward() as onward:
                self._relay(connection, onward)
        except (OSError, exceptions.ProtocolError):
            pass  # Both connections are reset below.
        finally:
            with self._lock:
                del self._open[connection]
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )
            connection.close()

    def _open_onward(self) -> socket.socket:
        address = (ports.LOOPBACK, self._target_port)
        try:
            return socket.create_connection(address, _CONNECT_TIMEOUT.seconds)
        except ConnectionRefusedError:
            # From now on peers see what they would see without a relay.
            self._links.refusals.append(
                (time.monotonic_ns() / 1e6, self._receiver)
            )
            self.refuse()
            raise

    def _relay(self, connection: socket.socket, onward: socket.socket) -> None:
        for one in (connection, onward):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end = time.monotonic() + _FIRST_FRAME_TIMEOUT.seconds
        connection.settimeout(_FIRST_FRAME_TIMEOUT.seconds)
        frame = wire.receive_frame(connection, end)
        if frame is None:
            return
        sender = wire.decode(frame).sender.instance
        with self._lock:
            self._open[connection] = sender
        if not self._links.pass_chunk(sender, self._receiver, frame):
            return
        onward.settimeout(None)
        connection.settimeout(None)
        wire.send_frame(onward, frame)
        self._copy(sender, connection, onward)

    def _copy(
        self, sender: str, connection: socket.socket, onward: socket.socket
    ) -> None:
        """Copy both ways; a connection carries one exchange at a time."""
        ways = {
            connection.fileno(): (connection, onward),
            onward.fileno(): (onward, connection),
        }
        poller = select.poll()
        for number in ways:
            poller.register(number, select.POLLIN)
        while True:
            for number, _ in poller.poll():
                source, drain = ways[number]
                data = source.recv(_CHUNK_BYTES)
                if not data:
                    return
                if not self._links.pass_chunk(sender, self._receiver, data):
                    return
                drain.sendall(data)


def reserve_port(port: int = 0) -> socket.socket:
    """Keep a port of loopback while no process listens on it.

    Parameters
    ----------
    port : int
        Port, 0 for any free one.

    Returns
    -------
    socket.socket
        Bound socket; a listener with SO_REUSEADDR may use the port, and until
        there is one, connections are refused.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((ports.LOOPBACK, port))
    return reservation
