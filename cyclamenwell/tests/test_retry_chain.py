"""Retries along chains of real nodes whose last target fails."""

import pytest

from cyclamenwell.tests import builders

MAX_RETRIES = 3


@pytest.mark.parametrize("closes", [True, False])
def test_failure_of_the_last_target_is_retried_by_one_hop_only(closes):
    """Retries must not multiply from hop to hop.

    The last target closes its connections, or sheds. The targets before it
    answer with the status of the failed nested call.
    """
    failing = builders.FailingTarget(closes)
    port = builders.start_target(failing).port
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
    assert 1 < failing.count <= 1 + MAX_RETRIES
    fleet.stop()


@pytest.mark.parametrize("entry", ["billing-1", "billing-2"])
def test_refused_retry_does_not_hide_that_the_request_may_have_run(entry):
    """The outcome must not be "not-run" if an attempt may have run.

    One target closes the connection and the other sheds. The entry node
    decides which of them comes first; the outcome is the same.
    """
    closing = builders.FailingTarget(closes=True)
    shedding = builders.FailingTarget(closes=False)
    fleet = builders.build_fleet("billing")
    for name, target in (("billing-1", closing), ("billing-2", shedding)):
        fleet.add(
            name, "billing", target_port=builders.start_target(target).port
        )
    fleet.start()
    response = fleet.call(entry, "billing", "/accounts/7", builders.KEY)
    assert (closing.count, shedding.count) == (1, 1)
    assert response.headers["cyclamenwell-outcome"] == "unknown"
    fleet.stop()
