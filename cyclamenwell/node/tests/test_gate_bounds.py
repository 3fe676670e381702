"""Tests of the admission limits that follow the configuration."""

from cyclamenwell import clock
from cyclamenwell.admission.tests import builders as admission_builders
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import messages
from cyclamenwell.node import own_service
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


def test_a_data_centre_that_is_taken_back_starts_with_the_cold_limit():
    """Guards against full load on a target that got nothing for a while."""
    plan = admission_builders.TargetPlan(slots=20, service_ms=40)
    simulation = admission_builders.Simulation(plan)
    simulation.run(5, admission_builders.Traffic(1000))
    assert simulation.gate.read_load().limit > 10
    store = stores.Store(clock.ManualClock(), audit.AuditTrail())
    listener = own_service.DataCentreListener("dc-a", store, simulation.gate)
    store.add_listener(listener.apply_change)
    take_out(store, 1, "dc-a", "dc-b")
    take_out(store, 2, "dc-a")
    assert simulation.gate.read_load().limit > 10
    take_out(store, 3)
    load = simulation.gate.read_load()
    assert load.cold
    assert load.limit <= 4


def take_out(store, version, *data_centres):
    """Publish the data centres that are out."""
    text = builders.build_fleet_text(*data_centres)
    store.apply([messages.DocumentText("fleet", version, text)], "test")
