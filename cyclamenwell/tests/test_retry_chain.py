"""Retries over chains of real nodes whose lowest target fails."""

import pytest

from cyclamenwell.tests import builders

RETRIES = 3


@pytest.mark.parametrize("closes", [True, False])
def test_failure_at_the_bottom_is_retried_by_one_hop_only(closes):
    """Guards against retries that multiply from hop to hop.

    The lowest target closes its connections, or sheds. The targets above it
    pass the status of the failure on, which is their whole answer.
    """
    failing = builders.FailingTarget(closes)
    port = builders.serve(failing).port
    fleet = builders.build_fleet("tally", "meters", "billing")
    for number in (1, 2, 3):
        fleet.add(f"billing-{number}", "billing", target_port=port)
        fleet.add(
            f"meters-{number}",
            "meters",
            further_service="billing",
            further_path="/accounts/7",
            passes_failures=True,
        )
        fleet.add(
            f"tally-{number}",
            "tally",
            further_service="meters",
            further_path="/accounts/7",
            passes_failures=True,
        )
    fleet.start()
    response = fleet.call("tally-1", "tally", "/accounts/7", builders.KEY)
    assert response.status == (502 if closes else 503)
    runs = {
        service: sum(
            len(member.target.requests)
            for name, member in fleet.members.items()
            if name.startswith(service)
        )
        for service in ("tally", "meters")
    }
    assert runs == {"tally": 1, "meters": 1}
    assert 1 < failing.count <= 1 + RETRIES
    fleet.stop()


@pytest.mark.parametrize("entry", ["billing-1", "billing-2"])
def test_refused_retry_does_not_hide_that_the_request_may_have_run(entry):
    """Guards against "not-run" after a first attempt that reached a target.

    The entry node decides which target comes first; the outcome is the same.
    """
    closing = builders.FailingTarget(closes=True)
    shedding = builders.FailingTarget(closes=False)
    fleet = builders.build_fleet("billing")
    for name, target in (("billing-1", closing), ("billing-2", shedding)):
        fleet.add(name, "billing", target_port=builders.serve(target).port)
    fleet.start()
    response = fleet.call(entry, "billing", "/accounts/7", builders.KEY)
    assert (closing.count, shedding.count) == (1, 1)
    assert response.headers["cyclamenwell-outcome"] == "unknown"
    fleet.stop()
