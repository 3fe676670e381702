"""Cancelling calls whose caller has gone, down the chain of nodes."""

import socket

import pytest

from cyclamenwell.testing import fleet as fleets
from cyclamenwell.tests import builders

PATIENCE_SECONDS = 20


@pytest.fixture
def keeper():
    made = builders.Gatekeeper()
    yield made
    made.release.set()


@pytest.fixture
def fleet(keeper):
    made = builders.build_fleet("meters", "billing")
    made.add(
        "meters-1",
        "meters",
        further_service="billing",
        further_path="/accounts/7",
    )
    made.add("billing-1", "billing", target_port=builders.serve(keeper).port)
    made.start()
    yield made
    keeper.release.set()
    made.stop()


def connect(fleet, instance, service):
    """Send a request and return its connection without reading the answer."""
    port = fleet.members[instance].entry.caller_port
    connection = socket.create_connection(("127.0.0.1", port), 20)
    connection.sendall(
        b"GET /accounts/7 HTTP/1.1\r\nhost: %s\r\n"
        b"authorization: Bearer %s\r\n\r\n"
        % (service.encode(), builders.KEY.encode())
    )
    return connection


def list_in_progress(fleet):
    return [
        m.node.parts.report_load().in_progress for m in fleet.members.values()
    ]


@pytest.mark.parametrize("half", [False, True])
@pytest.mark.parametrize(
    ("entry", "service"),
    [("billing-1", "billing"), ("meters-1", "billing")],
)
def test_disconnection_reaches_the_target(fleet, keeper, entry, service, half):
    """Guards against work for a caller that closed or half-closed.

    The target is beside the entry node, or behind another node.
    """
    connection = connect(fleet, entry, service)
    assert keeper.arrived.acquire(timeout=PATIENCE_SECONDS)
    if half:
        connection.shutdown(socket.SHUT_WR)
    else:
        connection.close()
    assert keeper.disconnected.acquire(timeout=PATIENCE_SECONDS)
    fleets.wait_until(
        lambda: list_in_progress(fleet) == [0, 0], "the gates are free"
    )
    connection.close()


def test_other_calls_go_on(fleet, keeper):
    """Guards against cancelling a call of another caller."""
    gone = connect(fleet, "meters-1", "billing")
    staying = connect(fleet, "meters-1", "billing")
    for _ in range(2):
        assert keeper.arrived.acquire(timeout=PATIENCE_SECONDS)
    gone.close()
    assert keeper.disconnected.acquire(timeout=PATIENCE_SECONDS)
    keeper.release.set()
    with staying:
        assert b"released" in staying.recv(65536)
