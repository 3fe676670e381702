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
