"""Relays let links fail in the ways that a network does."""

import socket
import threading

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import messages
from cyclamenwell.peers import wire
from cyclamenwell.soak import relay as relays

PATIENCE_SECONDS = 20
PAIR = {("billing-1", "meters-1")}
SECRET = b"cw_soak_"


class Echo:
    """A peer that sends each frame back."""

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
    made = relays.Links(SECRET)
    yield made
    made.close()


@pytest.fixture
def relay(links):
    echo = Echo()
    made = relays.Relay("meters-1", echo.port, links)
    made.listen()
    yield made
    made.close()
    echo.close()


def connect(relay):
    address = ("127.0.0.1", relay.port)
    return socket.create_connection(address, PATIENCE_SECONDS)


def converse(connection, note=b""):
    """Send a frame of `billing-1` and return whether it came back."""
    sender = messages.Sender("billing-1", 1, "meters-1")
    frame = wire.encode(
        messages.ForwardRequest(sender=sender, service="meters", body=note)
    )
    wire.send_frame(connection, frame)
    return wire.receive_frame(connection) == frame


def fails(connection):
    try:
        return not converse(connection)
    except OSError:
        return True


def test_cut_resets_live_and_new_connections_until_it_is_healed(links, relay):
    """Guards against a cut that leaves open connections working."""
    state = relays.LinkState(relays.CUT)
    with connect(relay) as live, connect(relay) as later:
        assert converse(live)
        links.fail(PAIR, state)
        assert fails(live)
        assert fails(later)
    links.heal(PAIR, state)
    with connect(relay) as connection:
        assert converse(connection)


def test_black_hole_holds_bytes_of_its_link_until_it_is_healed(links, relay):
    """Guards against a black hole that answers, or that loses bytes."""
    state = relays.LinkState(relays.BLACK_HOLE)
    links.fail(PAIR, state)
    answered = threading.Event()
    with connect(relay) as connection:
        thread = threading.Thread(
            target=lambda: converse(connection) and answered.set()
        )
        thread.start()
        assert not answered.wait(0.2)
        links.heal(PAIR, state)
        assert answered.wait(PATIENCE_SECONDS)
        thread.join()


def test_failure_of_another_link_changes_nothing(links, relay):
    """Guards against failures that hit the whole node."""
    links.fail({("billing-2", "meters-1")}, relays.LinkState(relays.CUT))
    with connect(relay) as connection:
        assert converse(connection)


def test_delay_holds_bytes_for_its_time(links, relay):
    """Guards against a delay that is not applied."""
    links.fail(PAIR, relays.LinkState(relays.DELAY, clock.Milliseconds(100)))
    time = clock.SystemClock()
    with connect(relay) as connection:
        begin = time.now()
        assert converse(connection)
        assert time.now() - begin >= clock.Milliseconds(200)


def test_address_without_a_process_refuses_and_keeps_its_port(links, relay):
    """Guards against an ended node that looks like a cut link."""
    relay.refuse()
    with pytest.raises(ConnectionRefusedError):
        connect(relay)
    relay.listen()
    with connect(relay) as connection:
        assert converse(connection)


def test_key_between_nodes_is_seen(links, relay):
    """Guards against a check of requirement 4 that sees nothing."""
    with connect(relay) as connection:
        assert converse(connection)
        assert links.leaks == set()
        assert converse(connection, b"x" + SECRET + b"shops_1")
    assert links.leaks == {"billing-1 to meters-1"}
