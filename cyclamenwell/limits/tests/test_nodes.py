"""Tests of leases between nodes over the loopback interface."""

import contextlib

import pytest

from cyclamenwell import exceptions
from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

KEY = "cw_shop_key"


@pytest.fixture
def fleet():
    made = fleets.Fleet()
    made.platform.publish(
        "service/billing",
        builders.build_service_text("billing", rate=15, burst=10),
    )
    made.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", KEY)
    )
    for number in (1, 2, 3):
        made.add(f"billing-{number}", "billing")
    made.start()
    yield made
    made.stop()


def test_nodes_settle_and_lend(fleet):
    """Guards against view or lease messages that nodes do not handle."""
    nodes = [member.node.components for member in fleet.members.values()]
    for node in nodes:
        fleets.wait_until(
            lambda node=node: node.agreement.settled_at is not None,
            f"{node.identity.instance} settles on a view",
        )

    def borrows():
        with contextlib.suppress(exceptions.RefusedError):
            nodes[0].limiter.take("shops")
        return any(
            borrowed
            for _, borrowed, _ in nodes[0].limiter.report_units().values()
        )

    fleets.wait_until(borrows, "billing-1 borrows units")
