"""Tests of exchanges with peers that reply late, wrongly or not at all."""

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import wire
from cyclamenwell.peers.tests import builders

SECOND = clock.Milliseconds(1000)


@pytest.fixture
def client():
    peer_client = peer_clients.PeerClient(SECOND * 10)
    yield peer_client
    peer_client.close()


@pytest.fixture
def start_peer():
    peers = []

    def build(script):
        peers.append(builders.ScriptedPeer(script))
        return peers[-1]

    yield build
    for peer in peers:
        peer.close()


def send_reply(connection, call_id):
    answer = messages.ForwardReply(call_id=call_id, status=200)
    wire.send_frame(connection, wire.encode(answer))


def call(client, peer, call_id, timeout=SECOND * 10, cancellation=None):
    return client.call(
        peer.address,
        builders.build_forward_request(call_id),
        timeout,
        cancellation,
        lambda received: getattr(received, "call_id", None) == call_id,
    )


def call_and_fail(client, peer, call_id, **values):
    with pytest.raises(exceptions.PeerUnavailableError) as caught:
        call(client, peer, call_id, **values)
    return caught.value


def test_reply_to_another_call_closes_the_connection(client, start_peer):
    """Guards against pairing each request with the previous reply."""

    def script(connection, message):
        is_first = message.call_id == b"first"
        send_reply(connection, b"other" if is_first else message.call_id)

    peer = start_peer(script)
    assert call_and_fail(client, peer, b"first").sent
    assert call(client, peer, b"second").call_id == b"second"
    assert peer.connections == 2


def test_late_reply_reaches_no_other_call(client, start_peer):
    """Guards against a timed-out call whose reply goes to the next call."""

    def script(connection, message):
        if message.call_id == b"first":
            peer.closing.wait(0.2)
        send_reply(connection, message.call_id)

    peer = start_peer(script)
    assert call_and_fail(
        client, peer, b"first", timeout=clock.Milliseconds(50)
    ).sent
    assert call(client, peer, b"second").call_id == b"second"


def test_second_reply_reaches_no_other_call(client, start_peer):
    """Guards against an unsolicited reply on a pooled connection."""

    def script(connection, message):
        send_reply(connection, message.call_id)
        send_reply(connection, b"stray")

    peer = start_peer(script)
    for call_id in (b"1", b"2", b"3"):
        try:
            assert call(client, peer, call_id).call_id == call_id
        except exceptions.PeerUnavailableError as error:
            assert error.sent


def test_reply_sent_byte_by_byte_ends_at_the_deadline(client, start_peer):
    """Guards against a timeout that restarts with each received byte."""

    def script(connection, message):
        frame = wire.encode(messages.ForwardReply(call_id=message.call_id))
        connection.sendall(len(frame).to_bytes(4, "big"))
        for byte in frame * 100:
            if peer.closing.wait(0.02):
                return
            connection.sendall(bytes([byte]))

    peer = start_peer(script)
    assert call_and_fail(
        client, peer, b"first", timeout=clock.Milliseconds(200)
    ).sent


def test_message_is_sent_once_when_the_peer_closes(client, start_peer):
    """Guards against resending a message that may have been handled."""
    peer = start_peer(lambda connection, _: connection.close())
    assert call_and_fail(client, peer, b"first").sent
    assert len(peer.received) == 1


def test_refused_connection_is_reported_as_not_sent(client, start_peer):
    """Guards against an unknown outcome of a message that was not sent."""
    peer = start_peer(lambda connection, _: connection.close())
    peer.close()
    error = call_and_fail(client, peer, b"first")
    assert error.refused
    assert not error.sent


def test_cancelled_exchange_does_not_pool_its_connection(client, start_peer):
    """Guards against shutting down a connection that another call uses."""
    cancellation = cancellations.Cancellation()

    def script(connection, message):
        send_reply(connection, message.call_id)

    peer = start_peer(script)
    # The cancellation happens between the reply and the run of its callback.
    cancellation.add_callback = lambda callback: None
    call(client, peer, b"first", cancellation=cancellation)
    cancellation.cancelled = True
    call(client, peer, b"second", cancellation=cancellation)
    call(client, peer, b"third")
    assert peer.connections == 2
