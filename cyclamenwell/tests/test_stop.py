"""Start and graceful stop of nodes while callers send requests."""

import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading

import pytest
import urllib3

from cyclamenwell.generated import enumerations
from cyclamenwell.testing import builders as test_data
from cyclamenwell.testing import fleet as fleets
from cyclamenwell.tests import builders

State = enumerations.InstanceState
TIMEOUT_SECONDS = 20
STOP_SETTINGS = "stop:\n  linger: 400\n  max_drain: 15000\n"
CALLER_COUNT = 8


class Callers:
    """Callers that send requests in a loop over persistent connections.

    Each changes to the next instance when its connection is refused.
    """

    def __init__(self, fleet, instances, service):
        self._ports = [
            fleet.members[name].entry.caller_port for name in instances
        ]
        self._service = service
        self._stop_requested = threading.Event()
        self.failures = []
        self.answered = threading.Semaphore(0)
        self._threads = [
            threading.Thread(target=self._send_requests)
            for _ in range(CALLER_COUNT)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def wait_for_answers(self, count):
        for _ in range(count):
            assert self.answered.acquire(timeout=TIMEOUT_SECONDS)

    def _send_requests(self):
        http = urllib3.PoolManager(retries=False)
        ports = itertools.cycle(self._ports)
        port = next(ports)
        while not self._stop_requested.is_set():
            try:
                response = self._send_request(http, port)
            except urllib3.exceptions.NewConnectionError:
                port = next(ports)  # Not listening: nothing was sent.
                continue
            except urllib3.exceptions.HTTPError as error:
                self.failures.append(repr(error))
                continue
            if response.status != 200:
                self.failures.append((response.status, response.data))
            self.answered.release()

    def _send_request(self, http, port):
        return http.request(
            "GET",
            f"http://127.0.0.1:{port}/accounts/7",
            headers={
                "Host": self._service,
                "Authorization": f"Bearer {builders.KEY}",
            },
            timeout=TIMEOUT_SECONDS,
        )


def test_no_request_is_lost_while_a_node_stops():
    """A graceful stop must not refuse or abort requests.

    Callers use the stopping node and another one, directly and through a
    service whose requests make nested calls to the stopping one.
    """
    fleet = builders.build_fleet("meters", "billing")
    for number in (1, 2, 3):
        fleet.add(
            f"billing-{number}", "billing", extra=STOP_SETTINGS, service_ms=2
        )
    fleet.add(
        "meters-1",
        "meters",
        further_service="billing",
        further_path="/accounts/7",
    )
    fleet.start()
    direct = Callers(fleet, ["billing-1", "billing-2"], "billing")
    chained = Callers(fleet, ["meters-1"], "meters")
    with direct, chained:
        direct.wait_for_answers(100)
        chained.wait_for_answers(50)
        assert fleet.members["billing-1"].node.stop()
        count_at_stop = len(fleet.members["billing-1"].target.requests)
        direct.wait_for_answers(200)
        chained.wait_for_answers(100)
    assert direct.failures == []
    assert chained.failures == []
    assert len(fleet.members["billing-1"].target.requests) == count_at_stop
    fleet.stop()


def test_running_request_and_its_nested_call_finish():
    """Draining must keep open what a running request still needs.

    The request makes its nested call after the stop has begun.
    """
    blocking_target = builders.BlockingTarget()
    fleet = builders.build_fleet("meters", "billing")
    fleet.add(
        "meters-1",
        "meters",
        extra=STOP_SETTINGS,
        further_service="billing",
        further_path="/accounts/7",
        service_ms=300,
    )
    fleet.add(
        "billing-1",
        "billing",
        target_port=builders.start_target(blocking_target).port,
    )
    fleet.start()
    responses = []
    caller = threading.Thread(
        target=lambda: responses.append(
            fleet.call("billing-1", "meters", "/accounts/7", builders.KEY)
        )
    )
    caller.start()
    fleets.wait_until(
        lambda: fleet.members["meters-1"].target.requests, "the request runs"
    )
    stop_results = []
    stopper = threading.Thread(
        target=lambda: stop_results.append(
            fleet.members["meters-1"].node.stop()
        )
    )
    stopper.start()
    assert blocking_target.arrived.acquire(timeout=TIMEOUT_SECONDS)
    blocking_target.release.set()
    caller.join(TIMEOUT_SECONDS)
    stopper.join(TIMEOUT_SECONDS)
    assert responses[0].status == 200, responses[0].data
    assert json.loads(responses[0].data)["further"] == {"released": True}
    assert stop_results == [True]
    fleet.stop()


def test_draining_node_closes_connections_and_forwards_requests():
    """A draining node must forward requests until its listeners close."""
    fleet = builders.build_fleet("billing")
    for number in (1, 2):
        fleet.add(f"billing-{number}", "billing", extra=STOP_SETTINGS)
    fleet.start()
    node = fleet.members["billing-1"].node
    stopper = threading.Thread(target=node.stop)
    stopper.start()
    fleets.wait_until(
        lambda: node.components.executor.state is State.LEAVING,
        "the node is leaving",
    )
    response = fleet.call("billing-1", "billing", "/accounts/7", builders.KEY)
    assert response.status == 200
    assert json.loads(response.data)["target"] == "billing-2"
    assert response.headers["connection"] == "close"
    stopper.join(TIMEOUT_SECONDS)
    fleet.stop()


def test_starting_node_refuses_temporarily():
    """A node without configuration must not deny that a service exists."""
    fleet = builders.build_fleet("billing")
    fleet.add("billing-1", "billing")
    fleet.publish_list()
    fleet.platform.set_mode("down")
    node = fleet.members["billing-1"].node
    starter = threading.Thread(target=node.start, daemon=True)
    starter.start()
    response = fleet.call("billing-1", "billing", "/accounts/7", builders.KEY)
    assert response.status == 503
    assert json.loads(response.data)["type"] == "urn:cyclamenwell:stale-view"
    assert response.headers["cyclamenwell-outcome"] == "not-run"
    assert response.headers["retry-after"] == "1"
    assert node.stop()
    assert node.components.executor.state is State.LEAVING


def write_settings(folder: pathlib.Path, platform_port: int) -> pathlib.Path:
    ports = test_data.find_free_ports(5)
    path = folder / "settings.yaml"
    path.write_text(
        f"instance:\n  name: billing-1\n  service: billing\n"
        f"  data_centre: dc-a\n  region: r-1\n  host: 127.0.0.1\n"
        f"  caller_port: {ports[0]}\n  peer_port: {ports[1]}\n"
        f"  target_side_port: {ports[2]}\n  operations_port: {ports[3]}\n"
        f"target:\n  port: {ports[4]}\n"
        f"platform:\n  url: http://127.0.0.1:{platform_port}\n"
        "stop:\n  linger: 100\n"
    )
    return path


@pytest.mark.parametrize("mode", ["up", "down"])
def test_sigterm_ends_the_program_with_status_0(tmp_path, mode):
    """SIGTERM must end a node, also one that still waits for configuration."""
    fleet = builders.build_fleet("billing")
    fleet.publish_list()
    fleet.platform.set_mode(mode)
    path = write_settings(tmp_path, fleet.platform.port)
    process = subprocess.Popen(
        [sys.executable, "-m", "cyclamenwell.node", str(path)],
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    expected = b"serving" if mode == "up" else b"reading the platform"
    with process:
        for line in process.stderr:
            if expected in line:
                break
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_SECONDS) == 0


def test_stop_before_start_leaves_nothing_open():
    """A node that is stopped before its servers run must not start them."""
    fleet = builders.build_fleet("billing")
    member = fleet.add("billing-1", "billing")
    assert member.node.stop()
    member.node.start()
    assert member.node.components.executor.state is State.LEAVING
