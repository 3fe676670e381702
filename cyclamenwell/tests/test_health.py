"""Health checks and metrics of real nodes."""

import json

import pytest

from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node.tests import builders as node_builders
from cyclamenwell.testing import fleet as fleets
from cyclamenwell.tests import builders

_HEALTH = "  health_path: /health\n  health_interval: 100\n"


class HealthEndpoint:
    """Target whose health endpoint answers with a settable status."""

    def __init__(self):
        self.status = 200

    def answer(self, request, connection):
        del connection
        if request.path != "/health":
            return calls.HttpAnswer(200)
        return calls.HttpAnswer(self.status)


@pytest.fixture
def endpoint():
    return HealthEndpoint()


@pytest.fixture
def fleet(endpoint):
    new_fleet = builders.build_fleet("billing", extra="cold_limit: 3\n")
    new_fleet.add(
        "billing-1",
        "billing",
        target_port=builders.start_target(endpoint).port,
        target_extra=_HEALTH,
    )
    new_fleet.start()
    yield new_fleet
    new_fleet.stop()


def read_metrics(fleet):
    member = fleet.members["billing-1"]
    answer = fleet.send(member.operations_port, "operations", "/metrics", {})
    lines = answer.data.decode().splitlines()
    return dict(
        line.rsplit(" ", 1) for line in lines if not line.startswith("#")
    )


def test_node_checks_health_until_it_stops(fleet, endpoint):
    """Health checks must follow the settings and end with the node."""
    components = fleet.members["billing-1"].node.components
    gate = components.executor._gate
    caps = []
    cap_limit = gate.cap_limit
    gate.cap_limit = lambda cap: (caps.append(cap), cap_limit(cap))
    for endpoint.status, cap in ((200, None), (503, 3), (200, None)):
        caps.clear()
        fleets.wait_until(lambda c=cap: c in caps, f"the cap is {cap}")
    fleet.stop()
    assert not fleet.members["billing-1"].node._assembly.health.is_running


def test_metrics_report_the_load_of_the_gate(fleet):
    """Metrics must report the same load of the gate as the status page."""
    metrics = read_metrics(fleet)
    status = fleet.send(
        fleet.members["billing-1"].operations_port, "operations", "/status", {}
    )
    load = json.loads(status.data)
    for name in ("in_progress", "queued", "limit", "cold"):
        assert float(metrics[f"cyclamenwell_gate_{name}"]) == load[name]
    assert load["limit"] == 3


def test_starting_node_adds_no_labels_for_unknown_services(fleet):
    """Callers must not add label values to metrics of a starting node.

    Names of services that the configuration lacks share one label value.
    Otherwise callers could grow the metrics without limit.
    """
    executor = fleet.members["billing-1"].node.components.executor
    executor.state = enumerations.InstanceState.STARTING
    for number in range(5):
        answer = fleet.call("billing-1", f"invented-{number}", "/about")
        assert answer.status == 503
    fleet.call("billing-1", "billing", "/about")
    metrics = read_metrics(fleet)
    executor.state = enumerations.InstanceState.SERVING
    assert not [line for line in metrics if "invented" in line]
    labels = 'refusal="STALE_VIEW",service="%s"'
    for service in ("unknown", "billing"):
        name = "cyclamenwell_calls_total{%s}" % (labels % service)
        assert float(metrics[name]) >= 1


def test_refusals_of_the_gate_are_counted(fleet):
    """Refusals of the gate must be counted by importance."""
    components = fleet.members["billing-1"].node.components
    name = (
        'cyclamenwell_gate_refusals_total{importance="NORMAL",'
        'kind="DEADLINE_PASSED"}'
    )
    before = float(read_metrics(fleet).get(name, 0))
    expired_call = node_builders.build_call(
        components.time, organisation="", deadline=components.time.now()
    )
    with pytest.raises(exceptions.RefusedError):
        components.executor._enter_gate(
            expired_call, None, cancellations.Cancellation()
        )
    assert float(read_metrics(fleet)[name]) == before + 1
