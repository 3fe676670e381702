"""Tests of the admission limits from the service document."""

from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets


def test_gate_applies_the_cold_limit_of_a_new_document():
    """Guards against limits that keep their defaults in a running node."""
    fleet = fleets.Fleet()
    fleet.platform.publish("service/billing", builders.build_service_text())
    member = fleet.add("billing-1", "billing")
    fleet.start()
    try:
        components = member.node.components
        assert components.report_load().limit == 4
        fleet.platform.publish(
            "service/billing",
            builders.build_service_text(extra="cold_limit: 9\n"),
        )
        fleets.wait_until(
            lambda: components.report_load().limit == 9,
            "the new limit is applied",
        )
    finally:
        fleet.stop()
