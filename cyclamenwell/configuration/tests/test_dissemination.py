"""Tests of the dissemination of versions and lists between in-memory nodes."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration.tests import builders
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory
from cyclamenwell.testing import builders as shared

NODES = 60
TARGET_TICKS = 600  # A change must be in force within 6 s.


class Simulation:
    """Simulated nodes that share one clock."""

    def __init__(self, seed, count=NODES):
        self.random = random.Random(seed)
        self.time = clock.ManualClock()
        self.network = builders.Network(self.random)
        self.platform = builders.FakePlatform()
        self.entries = builders.build_entries(count)
        self.nodes = builders.build_fleet(
            self.entries, self.network, self.time, self.platform
        )
        self.platform.publish("fleet", shared.build_fleet_text())
        self.run(TARGET_TICKS, lambda: self.has(1) and self.is_confirmed())

    def run(self, ticks, is_done=None):
        return builders.run_ticks(
            self.nodes, self.time, self.random, ticks, is_done
        )

    def is_confirmed(self):
        return all(node.freshness.is_confirmed() for node in self.nodes)

    def has(self, version, nodes=None):
        return all(
            node.store.snapshot.find_version("fleet") == version
            for node in nodes or self.nodes
            if not node.is_down
        )


@pytest.mark.parametrize("seed", range(3))
def test_change_reaches_all_despite_loss_dead_nodes_and_a_stale_reader(seed):
    """Guards against a change that misses nodes, arrives late or reverts."""
    simulation = Simulation(seed)
    readers = [node for node in simulation.nodes if node.reader.is_reader]
    assert len(readers) == 6
    readers[0].reader._client = simulation.platform.copy()
    for node in simulation.random.sample(simulation.nodes, 6):
        node.is_down = node not in readers
    simulation.network.loss_rate = 0.1
    simulation.network.duplication_rate = 0.05
    before = simulation.network.calls.copy()
    for version in range(2, 6):
        simulation.platform.publish(
            "fleet", shared.build_fleet_text(f"d{version}")
        )
        ticks = simulation.run(
            TARGET_TICKS, lambda version=version: simulation.has(version)
        )
        assert ticks < TARGET_TICKS
    delivered = simulation.network.calls - before
    print(f"seed {seed}: {ticks} ticks for the last change, {delivered}")


def test_change_costs_few_messages_and_hops():
    """Guards against several neighbours that send a version to one node."""
    simulation = Simulation(0)
    before = simulation.network.calls.copy()
    simulation.platform.publish("fleet", shared.build_fleet_text("dc-0"))
    ticks = simulation.run(TARGET_TICKS, lambda: simulation.has(2))
    sent = simulation.network.calls - before
    # Each node receives the version once, from a neighbour or the platform.
    assert sent["DeliverRequest"] + sent["FetchRequest"] <= NODES
    # Up to 20 ticks until the next platform read, then the hops. An exchange
    # repairs the few nodes that no neighbour has selected.
    assert ticks <= 20 + 100
    print(f"{ticks} ticks, {sent}")


def test_halves_keep_their_versions_and_converge_after_a_partition():
    """Guards against nodes that revert or diverge after a partition heals."""
    simulation = Simulation(7)
    sides = {n.name: i % 2 for i, n in enumerate(simulation.nodes)}
    simulation.network.sides = sides
    simulation.network.is_partitioned = True
    cut = [node for node in simulation.nodes if sides[node.name]]
    free = [node for node in simulation.nodes if not sides[node.name]]
    stale = simulation.platform.copy()
    for node in cut:
        node.reader._client = stale
    simulation.platform.publish("fleet", shared.build_fleet_text("dc-1"))
    simulation.platform.publish_list(simulation.entries[:-1])
    assert (
        simulation.run(TARGET_TICKS, lambda: simulation.has(2, free))
        < TARGET_TICKS
    )
    assert simulation.has(1, cut)
    assert all(node.freshness.is_confirmed() for node in cut)
    simulation.network.is_partitioned = False
    assert (
        simulation.run(
            TARGET_TICKS,
            lambda: (
                simulation.has(2)
                and all(
                    n.context.list_replicator.revision == 2
                    for n in simulation.nodes
                )
            ),
        )
        < TARGET_TICKS
    )


def test_resumed_node_refuses_until_an_exchange_and_gets_a_withdrawal():
    """Guards against a resumed process that serves under its old view."""
    simulation = Simulation(3, count=12)
    paused = simulation.nodes[0]
    assert paused.freshness.is_confirmed()
    paused.is_down = True
    simulation.platform.publish("fleet", shared.build_fleet_text("dc-1"))
    simulation.run(1000)
    paused.is_down = False
    assert not paused.freshness.is_confirmed()
    simulation.run(1)
    assert paused.freshness.is_confirmed()
    assert paused.store.snapshot.find_version("fleet") == 2


def test_views_stay_confirmed_while_half_of_the_neighbours_are_dead():
    """Guards against refusals while some neighbours still reply."""
    simulation = Simulation(5, count=30)
    simulation.network.loss_rate = 0.1
    for node in simulation.random.sample(simulation.nodes, 15):
        node.is_down = True
    living = [node for node in simulation.nodes if not node.is_down]
    for _ in range(100):
        simulation.run(10)
        assert all(node.freshness.is_confirmed() for node in living)


def test_overlay_is_connected_and_the_same_on_all_nodes():
    """Guards against a group of nodes that no change reaches."""
    entries = builders.build_entries(330, data_centres=11, regions=5)
    listed = directory.InstanceList(1, {e.instance: e for e in entries})
    edges = {name: set() for name in listed.entries}
    for entry in entries:
        own = settings.InstanceSettings(
            name=entry.instance,
            data_centre=entry.data_centre,
            region=entry.region,
        )
        chosen = overlay.NeighbourSelector(own, settings.PeerSettings()).select(
            listed
        )
        assert len(chosen) == 7
        near = [e for e in chosen if e.data_centre == entry.data_centre]
        assert len(near) >= 3
        for other in chosen:
            edges[entry.instance].add(other.instance)
            edges[other.instance].add(entry.instance)
    reached, new = set(), {entries[0].instance}
    while new:
        reached |= new
        new = set().union(*(edges[name] for name in new)) - reached
    assert len(reached) == len(entries)
    readers = [e for e in entries if overlay.is_reader(listed, e.instance, 2)]
    assert len(readers) == 22
