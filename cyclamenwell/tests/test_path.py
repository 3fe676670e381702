"""The path of a call from end to end, with real nodes on loopback."""

import json

import pytest

from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

KEY = "cw_shop_key"


@pytest.fixture
def fleet():
    made = fleets.Fleet()
    made.platform.publish(
        "service/billing", builders.build_service_text("billing")
    )
    made.platform.publish(
        "service/meters", builders.build_service_text("meters")
    )
    made.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", KEY)
    )
    made.add(
        "meters-1",
        "meters",
        further_service="billing",
        further_path="/accounts/7",
    )
    made.add("billing-1", "billing")
    made.start()
    yield made
    made.stop()


def test_chain_runs_for_the_organisation_of_the_key(fleet):
    """Guards against a key or a wrong organisation reaching a target."""
    response = fleet.call("billing-1", "meters", "/accounts/7", KEY)
    assert response.status == 200, response.data
    answer = json.loads(response.data)
    assert answer["target"] == "meters-1"
    assert answer["organisation"] == "shops"
    assert answer["further"]["target"] == "billing-1"
    assert answer["further"]["organisation"] == "shops"
    seen = [
        header
        for member in fleet.members.values()
        for request in member.target.requests
        for header in request.headers
    ]
    assert seen
    assert not any(KEY in header.value for header in seen)


def test_unknown_key_is_refused_as_not_run(fleet):
    """Guards against running a request without a key in force."""
    response = fleet.call("billing-1", "meters", "/accounts/7", "cw_other")
    assert response.status == 401
    assert response.headers["cyclamenwell-outcome"] == "not-run"
    assert response.headers["content-type"] == "application/problem+json"
    assert not fleet.members["meters-1"].target.requests


def test_withdrawn_key_stops_on_a_live_connection(fleet):
    """Guards against a cached authentication outliving its key."""
    assert fleet.call("meters-1", "meters", "/accounts/7", KEY).status == 200
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops")
    )
    fleets.wait_until(
        lambda: (
            fleet.call("meters-1", "meters", "/accounts/7", KEY).status == 401
        ),
        "the withdrawn key is refused",
    )


def test_ended_context_is_refused(fleet):
    """Guards against a target using a context after its request ended."""
    fleet.call("meters-1", "meters", "/accounts/7", KEY)
    request = fleet.members["meters-1"].target.requests[0]
    token = request.find_header("cyclamenwell-context")
    assert token
    side = fleet.members["meters-1"].target_side_port
    response = fleet.send(
        side, "billing", "/accounts/7", {"Cyclamenwell-Context": token}
    )
    assert response.status == 403
    assert json.loads(response.data)["type"] == "urn:cyclamenwell:context-ended"
