"""Exchanges with peers that reply late, wrongly or not at all."""

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
    made = peer_clients.PeerClient(SECOND * 10)
    yield made
    made.close()


@pytest.fixture
def start():
    started = []

    def build(script):
        started.append(builders.ScriptedPeer(script))
        return started[-1]

    yield build
    for peer in started:
        peer.close()


def reply(connection, call_id):
    answer = messages.ForwardReply(call_id=call_id, status=200)
    wire.send_frame(connection, wire.encode(answer))


def call(client, peer, call_id, wait=SECOND * 10, interrupt=None):
    return client.call(
        peer.address,
        builders.build_forward(call_id),
        wait,
        interrupt,
        lambda found: getattr(found, "call_id", None) == call_id,
    )


def fail(client, peer, call_id, **values):
    with pytest.raises(exceptions.PeerUnavailableError) as caught:
        call(client, peer, call_id, **values)
    return caught.value


def test_reply_to_another_call_closes_the_connection(client, start):
    """Guards against a connection that stays one reply out of step."""

    def script(connection, message):
        wrong = message.call_id == b"first"
        reply(connection, b"other" if wrong else message.call_id)

    peer = start(script)
    assert fail(client, peer, b"first").sent
    assert call(client, peer, b"second").call_id == b"second"
    assert peer.connections == 2


def test_late_reply_reaches_no_other_call(client, start):
    """Guards against reading the reply to a call that has timed out."""

    def script(connection, message):
        if message.call_id == b"first":
            peer.closing.wait(0.2)
        reply(connection, message.call_id)

    peer = start(script)
    assert fail(client, peer, b"first", wait=clock.Milliseconds(50)).sent
    assert call(client, peer, b"second").call_id == b"second"


def test_second_reply_reaches_no_other_call(client, start):
    """Guards against a reply that nobody asked for on a kept connection."""

    def script(connection, message):
        reply(connection, message.call_id)
        reply(connection, b"stray")

    peer = start(script)
    for call_id in (b"1", b"2", b"3"):
        try:
            assert call(client, peer, call_id).call_id == call_id
        except exceptions.PeerUnavailableError as error:
            assert error.sent


def test_reply_that_drips_ends_at_the_deadline(client, start):
    """Guards against a timeout that starts again with each byte."""

    def script(connection, message):
        frame = wire.encode(messages.ForwardReply(call_id=message.call_id))
        connection.sendall(len(frame).to_bytes(4, "big"))
        for byte in frame * 100:
            if peer.closing.wait(0.02):
                return
            connection.sendall(bytes([byte]))

    peer = start(script)
    assert fail(client, peer, b"first", wait=clock.Milliseconds(200)).sent


def test_message_is_sent_once_when_the_peer_closes(client, start):
    """Guards against the client repeating what may have run."""
    peer = start(lambda connection, _: connection.close())
    assert fail(client, peer, b"first").sent
    assert len(peer.received) == 1


def test_refused_connection_is_reported_as_not_sent(client, start):
    """Guards against an unknown outcome for what was never sent."""
    peer = start(lambda connection, _: connection.close())
    peer.close()
    error = fail(client, peer, b"first")
    assert error.refused
    assert not error.sent


def test_interrupted_exchange_never_returns_its_connection(client, start):
    """Guards against shutting down a connection that another call uses."""
    cancellation = cancellations.Cancellation()

    def script(connection, message):
        reply(connection, message.call_id)

    peer = start(script)
    # The interrupt comes between the reply and the run of its callback.
    cancellation.add_callback = lambda callback: None
    call(client, peer, b"first", interrupt=cancellation)
    cancellation.cancelled = True
    call(client, peer, b"second", interrupt=cancellation)
    call(client, peer, b"third")
    assert peer.connections == 2
