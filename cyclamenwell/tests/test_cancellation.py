"""Cancelling calls whose caller has gone, down the chain of nodes."""

import socket

import pytest

from cyclamenwell.testing import builders as test_data
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


@pytest.fixture
def narrow_fleet(keeper):
    """Build a fleet whose target takes one call at a time; others queue."""
    made = builders.build_fleet("meters", "billing")
    text = test_data.build_service_text(
        rate=1e6, burst=1e6, extra="cold_limit: 1\nmax_in_progress: 1\n"
    )
    # Else a call that stays in the queue would leave it by its deadline.
    made.platform.publish(
        "service/billing",
        text.replace(
            "methods: [GET]\n", "methods: [GET]\n    timeout: 60000\n"
        ),
    )
    made.add("meters-1", "meters")
    made.add(
        "billing-1",
        "billing",
        target_port=builders.serve(keeper).port,
        extra="admission:\n  max_queue_wait: 60000\n",
    )
    made.start()
    yield made
    keeper.release.set()
    made.stop()


@pytest.mark.parametrize("entry", ["billing-1", "meters-1"])
def test_disconnection_reaches_the_queue(narrow_fleet, keeper, entry):
    """Guards against a place in the queue for a caller that has gone.

    The gate is that of the entry node, or of another node.
    """

    def wait_for_queued(count):
        parts = narrow_fleet.members["billing-1"].node.parts
        fleets.wait_until(
            lambda: parts.report_load().queued == count,
            f"{count} calls are queued",
        )

    running = connect(narrow_fleet, "billing-1", "billing")
    assert keeper.arrived.acquire(timeout=PATIENCE_SECONDS)
    waiting = connect(narrow_fleet, entry, "billing")
    wait_for_queued(1)
    waiting.close()
    wait_for_queued(0)
    assert list_in_progress(narrow_fleet) == [0, 1]
    keeper.release.set()
    with running:
        assert b"released" in running.recv(65536)
    # A call that comes later runs next: the target never sees the other one.
    with connect(narrow_fleet, entry, "billing") as later:
        assert b"released" in later.recv(65536)
    assert keeper.arrived.acquire(blocking=False)
    assert not keeper.arrived.acquire(blocking=False)
