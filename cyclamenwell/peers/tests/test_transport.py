"""Tests of the encoding of messages and of incomplete or late exchanges."""

import socket
import threading

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.generated import messages
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import server as peer_servers
from cyclamenwell.peers import wire

LOOPBACK = "127.0.0.1"
TIMEOUT = clock.Milliseconds(5000)


@pytest.mark.parametrize("name", sorted(messages.WIRE_TYPES))
def test_every_message_is_decoded_as_encoded(name):
    """Guards against a class that the codec cannot decode."""
    message = messages.WIRE_TYPES[name]()
    assert wire.decode(wire.encode(message)) == message


def test_nested_values_keep_their_types():
    """Guards against decoding enumerations and lists as plain values."""
    message = messages.ForwardReply(
        call_id=b"\x00\xff",
        refusal=enumerations.ErrorKind.OVERLOADED,
        headers=(httpfields.Header("a", "\u00e9"),),
        load=messages.LoadReport(state=enumerations.InstanceState.LEAVING),
    )
    decoded = wire.decode(wire.encode(message))
    assert decoded == message
    assert decoded.refusal is enumerations.ErrorKind.OVERLOADED
    assert decoded.load.state is enumerations.InstanceState.LEAVING
    assert isinstance(decoded.headers, tuple)


@hypothesis.given(
    strategies.binary(max_size=200),
    strategies.integers(min_value=0, max_value=400),
)
def test_malformed_frames_raise_only_protocol_errors(noise, position):
    """Guards against a malformed frame that ends the thread of a connection."""
    whole = wire.encode(
        messages.FetchReply((messages.DocumentText("a", 1, "b"),))
    )
    for frame in (noise, whole[:position] + noise + whole[position:]):
        try:
            wire.decode(frame)
        except exceptions.ProtocolError:
            continue


class Peer:
    """A peer server whose handler blocks on revision 1 until released."""

    def __init__(self):
        self.released = threading.Event()
        self.started = threading.Event()
        self.server = peer_servers.PeerServer(LOOPBACK, 0, self.handle)
        self.server.start()
        self.address = peer_clients.Address(LOOPBACK, self.server.port)

    def handle(self, message, connection):
        del connection
        if message.revision == 1:
            self.started.set()
            self.released.wait(10)
        return messages.ListReply(revision=message.revision)


@pytest.fixture
def peer():
    started_peer = Peer()
    yield started_peer
    started_peer.released.set()
    started_peer.server.close()


def test_late_reply_is_not_taken_for_the_next_one(peer):
    """Guards against a reply that goes to the caller of another request."""
    client = peer_clients.PeerClient(TIMEOUT)
    with pytest.raises(exceptions.PeerUnavailableError) as caught:
        client.call(
            peer.address,
            messages.ListRequest(revision=1),
            clock.Milliseconds(50),
        )
    assert caught.value.sent
    peer.released.set()
    reply = client.call(peer.address, messages.ListRequest(revision=2), TIMEOUT)
    assert reply.revision == 2


def test_closed_address_is_reported_as_refused_and_not_sent(peer):
    """Guards against reporting that a stopped peer may have run a request."""
    client = peer_clients.PeerClient(TIMEOUT)
    peer.server.close()
    with pytest.raises(exceptions.PeerUnavailableError) as caught:
        client.call(peer.address, messages.ListRequest(), TIMEOUT)
    assert caught.value.refused
    assert not caught.value.sent


def test_idle_connection_closed_by_the_peer_is_not_used():
    """Guards against an unknown outcome after the restart of a peer."""
    listener = socket.create_server((LOOPBACK, 0))
    address = peer_clients.Address(LOOPBACK, listener.getsockname()[1])
    client = peer_clients.PeerClient(TIMEOUT)
    closed = [threading.Event(), threading.Event()]

    def reply_once_per_connection():
        for revision in (1, 2):
            connection, _ = listener.accept()
            wire.receive_frame(connection)
            reply = messages.ListReply(revision=revision)
            wire.send_frame(connection, wire.encode(reply))
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
            closed[revision - 1].set()

    thread = threading.Thread(target=reply_once_per_connection)
    thread.start()
    for revision in (1, 2):
        reply = client.call(address, messages.ListRequest(), TIMEOUT)
        assert reply.revision == revision
        assert closed[revision - 1].wait(10)
    thread.join(10)
    listener.close()


def test_oversize_frame_closes_the_connection(peer):
    """Guards against allocating as much memory as a length field says."""
    with socket.create_connection(
        (LOOPBACK, peer.server.port), 5
    ) as connection:
        connection.sendall((wire.MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        assert connection.recv(1) == b""


def test_second_frame_without_a_reply_closes_the_connection(peer):
    """Guards against losing or mixing up messages that arrive together."""
    frame = wire.encode(messages.ListRequest(revision=2))
    data = len(frame).to_bytes(4, "big") + frame
    with socket.create_connection(
        (LOOPBACK, peer.server.port), 5
    ) as connection:
        connection.sendall(data + data)
        assert connection.recv(1) == b""
