"""The model of a target."""

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


def start(**values):
    target = targets.TargetStandin(
        "127.0.0.1", 0, dataclasses.replace(PLAN, **values)
    )
    target.start()
    return target


def get(http, target, **headers):
    return http.request(
        "GET", f"http://127.0.0.1:{target.port}/read", headers=headers
    )


def put(http, target, what, body=""):
    return http.request(
        "PUT",
        f"http://127.0.0.1:{target.control_port}/control/{what}",
        body=body,
    )


def read_records(http, target):
    response = http.request(
        "GET", f"http://127.0.0.1:{target.control_port}/control/records"
    )
    return json.loads(response.data)


def test_records_name_the_request_and_its_end(http):
    """Guards against a checker that cannot tell what ran."""
    target = start()
    sent = {"X-Request-Id": "7.0", "Cyclamenwell-Organisation": "shops"}
    answer = get(http, target, **sent)
    assert json.loads(answer.data)["request_id"] == "7.0"
    put(http, target, "plan", '{"sheds": true}')
    assert get(http, target).status == 503
    ran, shed = read_records(http, target)
    assert ran["result"] == "complete"
    assert ran["organisation"] == "shops"
    assert ran["request_id"] == "7.0"
    assert ran["start"] <= ran["end"]
    assert shed["result"] == "shed"


def test_work_stops_at_the_deadline(http):
    """Guards against a target that works on for nobody."""
    target = start(service_ms=60_000)
    answer = get(http, target, **{"Cyclamenwell-Timeout-Ms": "5"})
    assert answer.status == 504
    assert read_records(http, target)[0]["result"] == "stopped"


def test_refusing_target_accepts_again_on_its_port(http):
    """Guards against an outage that does not end."""
    target = start()
    put(http, target, "connections", "refuse")
    with pytest.raises(urllib3.exceptions.HTTPError):
        get(http, target)
    put(http, target, "connections", "accept")
    assert get(http, target).status == 200


def test_requests_beyond_the_slots_wait():
    """Guards against a model that runs more than its slots at once."""
    slots = targets._Slots(dataclasses.replace(PLAN, slots=1))
    timeout = targets.clock.Milliseconds(20_000)
    assert slots.take(timeout)
    assert not slots.take(targets.clock.Milliseconds(1))
    taken = threading.Event()
    thread = threading.Thread(
        target=lambda: slots.take(timeout) and taken.set(), daemon=True
    )
    thread.start()
    assert not taken.is_set()
    slots.give_back(True)
    assert taken.wait(20)


def test_cold_target_collapses_and_warms_up():
    """Guards against a cold target that bears full load."""
    plan = dataclasses.replace(
        PLAN, service_ms=10, slots=8, cold_slots=2, warm_requests=4
    )
    slots = targets._Slots(plan)
    timeout = targets.clock.Milliseconds(20_000)
    for _ in range(8):
        slots.take(timeout)
    # Eight requests are four times what it bears.
    assert slots.choose_duration().value == 10 * 4**2
    for _ in range(4):
        slots.give_back(True)
        slots.take(timeout)
    assert slots.choose_duration().value == 10
    slots.turn_cold()
    assert slots.choose_duration().value == 10 * 4**2
