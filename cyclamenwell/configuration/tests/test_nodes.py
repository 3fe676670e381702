"""Tests of readers, start and isolation with real nodes on loopback."""

from concurrent import futures
import json
import signal
import subprocess
import sys
import threading
import time

import pytest
import urllib3

from cyclamenwell.generated import enumerations
from cyclamenwell.standin import target as targets
from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

KEY = "cw_shop_key"
NAMES = ("billing-0", "billing-1", "billing-2", "billing-3")
PEERS = """\
peers:
  seeds: [{seeds}]
  exchange_interval: 200
  call_timeout: 500
  max_view_age: 1000
"""


def build_fleet(seeded=()):
    fleet = fleets.Fleet()
    fleet.platform.publish(
        "service/billing", builders.build_service_text("billing")
    )
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", KEY)
    )
    seeds = ""
    for name in NAMES:
        extra = PEERS.format(seeds=seeds if name in seeded else "")
        member = fleet.add(name, "billing", extra=extra)
        seeds = seeds or f"'127.0.0.1:{member.entry.peer_port}'"
    return fleet


@pytest.fixture
def fleet():
    built = build_fleet(seeded=("billing-3",))
    yield built
    built.platform.set_mode("up")
    built.stop()


def find_version(fleet, name, document="organisation/shops"):
    return fleet.members[name].node.components.store.snapshot.find_version(
        document
    )


def test_new_node_gets_everything_from_peers_while_the_platform_is_down(fleet):
    """Guards against a node that cannot start while the platform is down."""
    fleet.start(*NAMES[:3])
    fleet.platform.set_mode("down")
    fleet.start("billing-3")
    assert find_version(fleet, "billing-3") == 1
    response = fleet.call("billing-3", "billing", "/accounts/7", KEY)
    assert response.status == 200, response.data


def test_new_node_restores_nothing_from_a_stale_platform(fleet):
    """Guards against a stale platform that restores a withdrawn key."""
    fleet.start(*NAMES[:3])
    fleet.platform.save_stale_snapshot()
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops")
    )
    for name in NAMES[:3]:
        fleets.wait_until(
            lambda name=name: find_version(fleet, name) == 2,
            "the change arrives",
        )
    fleet.platform.set_mode("stale")
    fleet.start("billing-3")
    assert find_version(fleet, "billing-3") == 2
    response = fleet.call("billing-3", "billing", "/accounts/7", KEY)
    assert response.status == 401, response.data


def test_node_without_peers_and_platform_waits_and_does_not_serve(fleet):
    """Guards against a node that serves without configuration."""
    fleet.publish_list()
    fleet.platform.set_mode("down")
    node = fleet.members["billing-0"].node
    starting = threading.Thread(target=node.start, daemon=True)
    starting.start()
    fleets.wait_until(
        lambda: fleet.platform.reads >= 3,
        "the node reads the platform repeatedly",
    )
    assert node.components.executor.state is enumerations.InstanceState.STARTING
    response = fleet.call("billing-0", "billing", "/about")
    assert response.status == 503
    assert b"urn:cyclamenwell:stale-view" in response.data
    assert response.headers["cyclamenwell-outcome"] == "not-run"
    fleet.platform.set_mode("up")
    starting.join(20)
    assert node.components.executor.state is enumerations.InstanceState.SERVING
    node.stop()


def test_change_arrives_after_a_reader_died_and_an_isolated_node_refuses(
    fleet,
):
    """Guards against a dead reader that blocks changes, and stale service.

    Changes must arrive although one reader is dead. A node that has lost all
    peers must refuse keyed calls, since its view may be out of date.
    """
    fleet.start()
    dead = next(
        name
        for name in NAMES
        if fleet.members[name].node.components.reader.is_reader
    )
    fleet.stop(dead)
    living = [name for name in NAMES if name != dead]
    fleet.platform.publish("fleet", builders.build_fleet_text("dc-x"))
    for name in living:
        fleets.wait_until(
            lambda name=name: find_version(fleet, name, "fleet") == 1,
            "the change arrives",
        )
    last = living[0]
    assert fleet.call(last, "billing", "/accounts/7", KEY).status == 200
    fleet.stop(*living[1:])
    freshness = fleet.members[last].node.components.freshness
    fleets.wait_until(
        lambda: not freshness.is_confirmed(), "the view is unconfirmed"
    )
    response = fleet.call(last, "billing", "/accounts/7", KEY)
    assert response.status == 503
    assert json.loads(response.data)["type"] == "urn:cyclamenwell:stale-view"
    assert response.headers["cyclamenwell-outcome"] == "not-run"
    status = fleet.send(
        fleet.members[last].operations_port, "operations", "/status", {}
    )
    assert json.loads(status.data)["view_confirmed"] is False


@pytest.fixture
def paused_node(fleet, tmp_path):
    """Yield a node process that a test can pause and resume."""
    # All nodes must run: a call to a listed node that does not answer lasts
    # until its deadline.
    fleet.start()
    ports = builders.find_free_ports(4)
    entry = builders.build_instance(
        instance="billing-9", caller_port=ports[0], peer_port=ports[1]
    )
    target = targets.SimulatedTarget(
        "127.0.0.1", 0, targets.TargetPlan(name="billing-9", node_port=ports[2])
    )
    target.start()
    path = tmp_path / "settings.yaml"
    seed = fleet.members[NAMES[0]].entry.peer_port
    path.write_text(
        builders.build_settings_text(
            entry,
            fleet.platform.port,
            target.port,
            (ports[2], ports[3]),
            PEERS.format(seeds=f"'127.0.0.1:{seed}'"),
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "cyclamenwell.node", str(path)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    yield process, entry
    process.send_signal(signal.SIGCONT)
    process.terminate()
    assert process.wait(20) == 0


def test_resumed_process_never_runs_a_call_under_its_old_view(
    fleet, paused_node
):
    """Guards against a resumed process that accepts a withdrawn key.

    The key is withdrawn while the process is paused by SIGSTOP.
    """
    process, entry = paused_node

    def call():
        try:
            return fleet.send(
                entry.caller_port,
                "billing",
                "/accounts/7",
                {"Authorization": f"Bearer {KEY}"},
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    fleets.wait_until(lambda: call() == 200, "the process serves")
    process.send_signal(signal.SIGSTOP)
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops")
    )
    for name in NAMES:
        fleets.wait_until(
            lambda name=name: find_version(fleet, name) == 2,
            "the change arrives",
        )
    time.sleep(1.1)  # Longer than max_view_age.
    with futures.ThreadPoolExecutor(16) as pool:
        calls = [pool.submit(call) for _ in range(16)]
        process.send_signal(signal.SIGCONT)
        statuses = {future.result() for future in calls}
    assert statuses <= {401, 503}
    fleets.wait_until(lambda: call() == 401, "the view is confirmed")
