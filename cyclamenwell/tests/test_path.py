"""Calls from end to end, with real nodes on loopback."""

import json

import pytest

from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

KEY = "cw_shop_key"


@pytest.fixture
def fleet():
    new_fleet = fleets.Fleet()
    new_fleet.platform.publish(
        "service/billing", builders.build_service_text("billing")
    )
    new_fleet.platform.publish(
        "service/meters", builders.build_service_text("meters")
    )
    new_fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", KEY)
    )
    new_fleet.add(
        "meters-1",
        "meters",
        further_service="billing",
        further_path="/accounts/7",
    )
    new_fleet.add("billing-1", "billing")
    new_fleet.start()
    yield new_fleet
    new_fleet.stop()


def test_chain_runs_for_the_organisation_of_the_key(fleet):
    """Targets must see the organisation of an API key and never the key."""
    response = fleet.call("billing-1", "meters", "/accounts/7", KEY)
    assert response.status == 200, response.data
    answer = json.loads(response.data)
    assert answer["target"] == "meters-1"
    assert answer["organisation"] == "shops"
    assert answer["further"]["target"] == "billing-1"
    assert answer["further"]["organisation"] == "shops"
    target_headers = [
        header
        for member in fleet.members.values()
        for request in member.target.requests
        for header in request.headers
    ]
    assert target_headers
    assert not any(KEY in header.value for header in target_headers)


def test_unknown_key_is_refused_as_not_run(fleet):
    """A request without a valid API key must not run."""
    response = fleet.call("billing-1", "meters", "/accounts/7", "cw_other")
    assert response.status == 401
    assert response.headers["cyclamenwell-outcome"] == "not-run"
    assert response.headers["content-type"] == "application/problem+json"
    assert not fleet.members["meters-1"].target.requests


def test_revoked_key_is_refused_on_an_open_connection(fleet):
    """A revoked key must be refused on connections that are already open."""
    assert fleet.call("meters-1", "meters", "/accounts/7", KEY).status == 200
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops")
    )
    fleets.wait_until(
        lambda: (
            fleet.call("meters-1", "meters", "/accounts/7", KEY).status == 401
        ),
        "the revoked key is refused",
    )


def test_context_of_an_ended_request_is_refused(fleet):
    """A target must not use a call context after its request has ended."""
    fleet.call("meters-1", "meters", "/accounts/7", KEY)
    request = fleet.members["meters-1"].target.requests[0]
    token = request.find_header("cyclamenwell-context")
    assert token
    port = fleet.members["meters-1"].target_side_port
    response = fleet.send(
        port, "billing", "/accounts/7", {"Cyclamenwell-Context": token}
    )
    assert response.status == 403
    assert json.loads(response.data)["type"] == "urn:cyclamenwell:context-ended"
