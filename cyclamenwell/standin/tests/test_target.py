"""Tests of the simulated target."""

import dataclasses
import json
import threading

import pytest
import urllib3

from cyclamenwell.standin import target as targets

PLAN = targets.TargetPlan(name="t-1", service="billing")


@pytest.fixture
def http():
    return urllib3.PoolManager(retries=False, maxsize=8)


def start_target(**values):
    target = targets.SimulatedTarget(
        "127.0.0.1", 0, dataclasses.replace(PLAN, **values)
    )
    target.start()
    return target


def send_request(http, target, **headers):
    return http.request(
        "GET", f"http://127.0.0.1:{target.port}/read", headers=headers
    )


def send_control(http, target, control, body=""):
    return http.request(
        "PUT",
        f"http://127.0.0.1:{target.control_port}/control/{control}",
        body=body,
    )


def read_records(http, target):
    response = http.request(
        "GET", f"http://127.0.0.1:{target.control_port}/control/records"
    )
    return json.loads(response.data)


def test_records_name_the_request_and_its_end(http):
    """Records must show which requests ran, or checks cannot count runs."""
    target = start_target()
    headers_sent = {"X-Request-Id": "7.0", "Cyclamenwell-Organisation": "shops"}
    answer = send_request(http, target, **headers_sent)
    assert json.loads(answer.data)["request_id"] == "7.0"
    send_control(http, target, "plan", '{"sheds": true}')
    assert send_request(http, target).status == 503
    complete, shed = read_records(http, target)
    assert complete["result"] == "complete"
    assert complete["organisation"] == "shops"
    assert complete["request_id"] == "7.0"
    assert complete["start"] <= complete["end"]
    assert shed["result"] == "shed"


def test_work_stops_at_the_deadline(http):
    """A target must not go on working after the deadline of a request."""
    target = start_target(service_ms=60_000)
    answer = send_request(http, target, **{"Cyclamenwell-Timeout-Ms": "5"})
    assert answer.status == 504
    assert read_records(http, target)[0]["result"] == "stopped"


def test_refusing_target_accepts_again_on_its_port(http):
    """The end of a simulated outage must restore the same port."""
    target = start_target()
    send_control(http, target, "connections", "refuse")
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_request(http, target)
    send_control(http, target, "connections", "accept")
    assert send_request(http, target).status == 200


def test_requests_beyond_the_slots_wait():
    """The model must not run more requests at once than it has slots."""
    model = targets._ServerModel(dataclasses.replace(PLAN, slots=1))
    timeout = targets.clock.Milliseconds(20_000)
    assert model.acquire_slot(timeout)
    assert not model.acquire_slot(targets.clock.Milliseconds(1))
    acquired = threading.Event()
    thread = threading.Thread(
        target=lambda: model.acquire_slot(timeout) and acquired.set(),
        daemon=True,
    )
    thread.start()
    assert not acquired.is_set()
    model.release_slot(True)
    assert acquired.wait(20)


def test_cold_target_slows_down_until_it_is_warm():
    """A cold target must slow down under full load until it is warm."""
    plan = dataclasses.replace(
        PLAN, service_ms=10, slots=8, cold_slots=2, warm_requests=4
    )
    model = targets._ServerModel(plan)
    timeout = targets.clock.Milliseconds(20_000)
    for _ in range(8):
        model.acquire_slot(timeout)
    # Eight requests are four times the capacity of the cold target.
    assert model.compute_service_time().value == 10 * 4**2
    for _ in range(4):
        model.release_slot(True)
        model.acquire_slot(timeout)
    assert model.compute_service_time().value == 10
    model.restart_warm_up()
    assert model.compute_service_time().value == 10 * 4**2
