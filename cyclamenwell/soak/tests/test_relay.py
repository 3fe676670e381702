"""Tests that relays inject the faults of a real network."""

import socket
import threading

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import messages
from cyclamenwell.peers import wire
from cyclamenwell.soak import relay as relays

TIMEOUT_SECONDS = 20
PAIR = {("billing-1", "meters-1")}
SECRET = b"cw_soak_"


class EchoServer:
    """A peer that sends back each frame."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            while (frame := wire.receive_frame(connection)) is not None:
                wire.send_frame(connection, frame)


@pytest.fixture
def links():
    created = relays.Links(SECRET)
    yield created
    created.close()


@pytest.fixture
def relay(links):
    server = EchoServer()
    created = relays.Relay("meters-1", server.port, links)
    created.listen()
    yield created
    created.close()
    server.close()


def connect(relay):
    address = ("127.0.0.1", relay.port)
    return socket.create_connection(address, TIMEOUT_SECONDS)


def exchange_frame(connection, body=b""):
    """Send a frame from `billing-1` and return whether it is echoed."""
    sender = messages.Sender("billing-1", 1, "meters-1")
    frame = wire.encode(
        messages.ForwardRequest(sender=sender, service="meters", body=body)
    )
    wire.send_frame(connection, frame)
    return wire.receive_frame(connection) == frame


def is_broken(connection):
    try:
        return not exchange_frame(connection)
    except OSError:
        return True


def test_cut_resets_open_and_new_connections_until_it_is_removed(links, relay):
    """Guards against a cut that leaves connections usable."""
    fault = relays.LinkFault(relays.CUT)
    with connect(relay) as live, connect(relay) as later:
        assert exchange_frame(live)
        links.fail(PAIR, fault)
        assert is_broken(live)
        assert is_broken(later)
    links.restore(PAIR, fault)
    with connect(relay) as connection:
        assert exchange_frame(connection)


def test_black_hole_holds_bytes_of_its_link_until_it_is_removed(links, relay):
    """Guards against a black hole that forwards or loses bytes."""
    fault = relays.LinkFault(relays.BLACK_HOLE)
    links.fail(PAIR, fault)
    answered = threading.Event()
    with connect(relay) as connection:
        thread = threading.Thread(
            target=lambda: exchange_frame(connection) and answered.set()
        )
        thread.start()
        assert not answered.wait(0.2)
        links.restore(PAIR, fault)
        assert answered.wait(TIMEOUT_SECONDS)
        thread.join()


def test_fault_of_another_link_has_no_effect(links, relay):
    """Guards against link faults that affect the whole node."""
    links.fail({("billing-2", "meters-1")}, relays.LinkFault(relays.CUT))
    with connect(relay) as connection:
        assert exchange_frame(connection)


def test_delay_holds_bytes_for_its_duration(links, relay):
    """Guards against a delay that is not applied."""
    links.fail(PAIR, relays.LinkFault(relays.DELAY, clock.Milliseconds(100)))
    time = clock.SystemClock()
    with connect(relay) as connection:
        begin = time.now()
        assert exchange_frame(connection)
        assert time.now() - begin >= clock.Milliseconds(200)


def test_stopped_relay_refuses_connections_and_keeps_its_port(links, relay):
    """Guards against a stopped node that looks like a cut link."""
    relay.refuse()
    with pytest.raises(ConnectionRefusedError):
        connect(relay)
    relay.listen()
    with connect(relay) as connection:
        assert exchange_frame(connection)


def test_key_between_nodes_is_found(links, relay):
    """Guards against a check of requirement 4 that cannot fail."""
    with connect(relay) as connection:
        assert exchange_frame(connection)
        assert links.leaks == set()
        assert exchange_frame(connection, b"x" + SECRET + b"shops_1")
    assert links.leaks == {"billing-1 to meters-1"}
