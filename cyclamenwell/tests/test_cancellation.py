"""Cancellation of calls whose caller disconnects, along a chain of nodes."""

import socket

import pytest

from cyclamenwell.testing import builders as test_data
from cyclamenwell.testing import fleet as fleets
from cyclamenwell.tests import builders

TIMEOUT_SECONDS = 20


@pytest.fixture
def blocking_target():
    target = builders.BlockingTarget()
    yield target
    target.release.set()


@pytest.fixture
def fleet(blocking_target):
    new_fleet = builders.build_fleet("meters", "billing")
    new_fleet.add(
        "meters-1",
        "meters",
        further_service="billing",
        further_path="/accounts/7",
    )
    new_fleet.add(
        "billing-1",
        "billing",
        target_port=builders.start_target(blocking_target).port,
    )
    new_fleet.start()
    yield new_fleet
    blocking_target.release.set()
    new_fleet.stop()


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
        member.node.components.report_load().in_progress
        for member in fleet.members.values()
    ]


@pytest.mark.parametrize("half_closes", [False, True])
@pytest.mark.parametrize(
    ("entry", "service"),
    [("billing-1", "billing"), ("meters-1", "billing")],
)
def test_disconnection_reaches_the_target(
    fleet, blocking_target, entry, service, half_closes
):
    """A target must not work on for a caller that closed or half-closed.

    The target belongs to the entry node, or to another node.
    """
    connection = connect(fleet, entry, service)
    assert blocking_target.arrived.acquire(timeout=TIMEOUT_SECONDS)
    if half_closes:
        connection.shutdown(socket.SHUT_WR)
    else:
        connection.close()
    assert blocking_target.disconnected.acquire(timeout=TIMEOUT_SECONDS)
    fleets.wait_until(
        lambda: list_in_progress(fleet) == [0, 0], "no call is in progress"
    )
    connection.close()


def test_calls_of_other_callers_continue(fleet, blocking_target):
    """A disconnecting caller must not cancel the call of another one."""
    closed = connect(fleet, "meters-1", "billing")
    remaining = connect(fleet, "meters-1", "billing")
    for _ in range(2):
        assert blocking_target.arrived.acquire(timeout=TIMEOUT_SECONDS)
    closed.close()
    assert blocking_target.disconnected.acquire(timeout=TIMEOUT_SECONDS)
    blocking_target.release.set()
    with remaining:
        assert b"released" in remaining.recv(65536)


@pytest.fixture
def serial_fleet(blocking_target):
    """Start a fleet whose target runs one call at a time; others queue."""
    new_fleet = builders.build_fleet("meters", "billing")
    text = test_data.build_service_text(
        rate=1e6, burst=1e6, extra="cold_limit: 1\nmax_in_progress: 1\n"
    )
    # Long deadlines, since a call must leave the queue by cancellation only.
    new_fleet.platform.publish(
        "service/billing",
        text.replace(
            "methods: [GET]\n", "methods: [GET]\n    timeout: 60000\n"
        ),
    )
    new_fleet.add("meters-1", "meters")
    new_fleet.add(
        "billing-1",
        "billing",
        target_port=builders.start_target(blocking_target).port,
        extra="admission:\n  max_queue_wait: 60000\n",
    )
    new_fleet.start()
    yield new_fleet
    blocking_target.release.set()
    new_fleet.stop()


@pytest.mark.parametrize("entry", ["billing-1", "meters-1"])
def test_disconnection_reaches_the_queue(serial_fleet, blocking_target, entry):
    """A call must leave the queue of the gate when its caller disconnects.

    The gate belongs to the entry node, or to another node.
    """

    def wait_for_queued(count):
        components = serial_fleet.members["billing-1"].node.components
        fleets.wait_until(
            lambda: components.report_load().queued == count,
            f"{count} calls are queued",
        )

    running = connect(serial_fleet, "billing-1", "billing")
    assert blocking_target.arrived.acquire(timeout=TIMEOUT_SECONDS)
    waiting = connect(serial_fleet, entry, "billing")
    wait_for_queued(1)
    waiting.close()
    wait_for_queued(0)
    assert list_in_progress(serial_fleet) == [0, 1]
    blocking_target.release.set()
    with running:
        assert b"released" in running.recv(65536)
    # The next call runs at once: the cancelled one never reaches the target.
    with connect(serial_fleet, entry, "billing") as later:
        assert b"released" in later.recv(65536)
    assert blocking_target.arrived.acquire(blocking=False)
    assert not blocking_target.arrived.acquire(blocking=False)
