"""Spreading of versions and lists between in-memory nodes."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration.tests import builders
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory
from cyclamenwell.testing import builders as shared

NODES = 60
TARGET_TICKS = 600  # 6 s, the time in which a change must be in force.


class World:
    """Sixty nodes on one clock."""

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
        return builders.run(self.nodes, self.time, self.random, ticks, is_done)

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
    """Guards against a change that misses nodes, comes late or reverts."""
    world = World(seed)
    readers = [node for node in world.nodes if node.reader.is_reader]
    assert len(readers) == 6
    readers[0].reader._client = world.platform.copy()
    for node in world.random.sample(world.nodes, 6):
        node.is_down = node not in readers
    world.network.lost_part = 0.1
    world.network.duplicated_part = 0.05
    before = world.network.calls.copy()
    for version in range(2, 6):
        world.platform.publish("fleet", shared.build_fleet_text(f"d{version}"))
        ticks = world.run(
            TARGET_TICKS, lambda version=version: world.has(version)
        )
        assert ticks < TARGET_TICKS
    delivered = world.network.calls - before
    print(f"seed {seed}: {ticks} ticks for the last change, {delivered}")


def test_change_costs_few_messages_and_hops():
    """Guards against several neighbours sending one version to one node."""
    world = World(0)
    before = world.network.calls.copy()
    world.platform.publish("fleet", shared.build_fleet_text("dc-0"))
    ticks = world.run(TARGET_TICKS, lambda: world.has(2))
    sent = world.network.calls - before
    # Each node takes the version once, from a neighbour or from the platform.
    assert sent["DeliverRequest"] + sent["FetchRequest"] <= NODES
    # The read gap of 20 ticks, then hops; an exchange repairs the few nodes
    # that no neighbour has chosen.
    assert ticks <= 20 + 100
    print(f"{ticks} ticks, {sent}")


def test_halves_keep_their_versions_and_meet_after_a_partition():
    """Guards against a healed partition that reverts or stays apart."""
    world = World(7)
    sides = {n.name: i % 2 for i, n in enumerate(world.nodes)}
    world.network.sides = sides
    world.network.is_split = True
    cut = [node for node in world.nodes if sides[node.name]]
    free = [node for node in world.nodes if not sides[node.name]]
    stale = world.platform.copy()
    for node in cut:
        node.reader._client = stale
    world.platform.publish("fleet", shared.build_fleet_text("dc-1"))
    world.platform.publish_list(world.entries[:-1])
    assert world.run(TARGET_TICKS, lambda: world.has(2, free)) < TARGET_TICKS
    assert world.has(1, cut)
    assert all(node.freshness.is_confirmed() for node in cut)
    world.network.is_split = False
    assert (
        world.run(
            TARGET_TICKS,
            lambda: (
                world.has(2)
                and all(n.context.lists.revision == 2 for n in world.nodes)
            ),
        )
        < TARGET_TICKS
    )


def test_woken_node_refuses_until_an_exchange_and_learns_a_withdrawal():
    """Guards against a paused process that serves under its old view."""
    world = World(3, count=12)
    paused = world.nodes[0]
    assert paused.freshness.is_confirmed()
    paused.is_down = True
    world.platform.publish("fleet", shared.build_fleet_text("dc-1"))
    world.run(1000)
    paused.is_down = False
    assert not paused.freshness.is_confirmed()
    world.run(1)
    assert paused.freshness.is_confirmed()
    assert paused.store.snapshot.find_version("fleet") == 2


def test_views_stay_confirmed_while_half_of_the_neighbours_are_dead():
    """Guards against refusals while some neighbours answer."""
    world = World(5, count=30)
    world.network.lost_part = 0.1
    for node in world.random.sample(world.nodes, 15):
        node.is_down = True
    living = [node for node in world.nodes if not node.is_down]
    for _ in range(100):
        world.run(10)
        assert all(node.freshness.is_confirmed() for node in living)


def test_overlay_is_connected_and_the_same_for_everybody():
    """Guards against an island of nodes that no change reaches."""
    entries = builders.build_entries(330, data_centres=11, regions=5)
    listed = directory.InstanceList(1, {e.instance: e for e in entries})
    edges = {name: set() for name in listed.entries}
    for entry in entries:
        own = settings.InstanceSettings(
            name=entry.instance,
            data_centre=entry.data_centre,
            region=entry.region,
        )
        chosen = overlay.NeighbourChooser(own, settings.PeerSettings()).choose(
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
