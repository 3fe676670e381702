"""Tests of the platform reader."""

import random

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import reader
from cyclamenwell.configuration.tests import builders
from cyclamenwell.generated import settings
from cyclamenwell.testing import builders as shared

MAX_READS_PER_SECOND = 2000  # Limit of the platform.


@pytest.fixture
def time():
    return clock.ManualClock()


@pytest.fixture
def platform():
    built = builders.FakePlatform()
    built.publish("fleet", shared.build_fleet_text())
    built.publish_list(builders.build_entries(1))
    return built


@pytest.fixture
def node(time, platform):
    network = builders.Network(random.Random(1))
    built = builders.InMemoryNode(
        builders.build_entries(1)[0], network, time, platform
    )
    built.reader.watch_instances(clock.ZERO)
    built.reader.watch_documents(clock.ZERO)
    return built


def test_restarted_platform_is_read_from_the_start(node, platform):
    """Guards against waiting for a revision that never occurs again."""
    for _ in range(5):
        platform.publish("fleet", shared.build_fleet_text("dc-1"))
    node.reader.watch_documents(clock.ZERO)
    platform.revision = 1
    platform.texts = {"fleet": (1, platform.texts["fleet"][1])}
    platform.publish("organisation/shops", "organisation: shops\n")
    with pytest.raises(exceptions.PlatformError, match="decreased from 6 to 2"):
        node.reader.watch_documents(clock.ZERO)
    node.reader.watch_documents(clock.ZERO)
    assert node.store.snapshot.find_version("organisation/shops") == 1


def test_stale_platform_reverts_nothing_and_counts_as_no_answer(
    node, platform, time
):
    """Guards against old documents or lists from a stale platform replica."""
    replica = platform.copy()
    platform.publish("fleet", shared.build_fleet_text("dc-1"))
    platform.publish_list(builders.build_entries(3))
    node.reader.watch_documents(clock.ZERO)
    node.reader.watch_instances(clock.ZERO)
    node.reader._client = replica
    time.advance(clock.Milliseconds(60_000))
    with pytest.raises(exceptions.PlatformError, match="decreased"):
        node.reader.watch_documents(clock.ZERO)
    node.reader.watch_documents(clock.ZERO)
    node.reader.watch_instances(clock.ZERO)
    assert node.store.snapshot.find_version("fleet") == 2
    assert node.directory.current_list.revision == 2
    assert node.freshness.find_platform_age() == clock.Milliseconds(60_000)
    node.reader._client = platform
    node.reader.watch_documents(clock.ZERO)
    assert node.freshness.find_platform_age() == clock.ZERO


def test_whole_read_finds_what_a_restart_hid(node, platform, time):
    """Guards against documents that a platform restart hides from readers.

    The restarted platform has counted its revisions from the start again and
    has overtaken the revision that the reader remembers.
    """
    platform.publish("organisation/shops", "organisation: shops\n")
    hidden = platform.texts["organisation/shops"][1]
    platform.texts["organisation/shops"] = (1, hidden)
    node.reader.watch_documents(clock.ZERO)
    assert node.store.snapshot.find_version("organisation/shops") == 0
    time.advance(clock.Milliseconds(3_600_001))
    node.reader.watch_documents(clock.ZERO)
    assert node.store.snapshot.find_version("organisation/shops") == 1


@pytest.mark.parametrize("nodes", [1400, 15_000])
def test_nodes_that_start_at_once_stay_within_the_read_limit(nodes):
    """Guards against starting nodes that overload the platform.

    The bound must hold whether or not the platform is available.
    """
    source = random.Random(nodes)
    platform = settings.PlatformSettings()
    counts = [0] * 60
    for _ in range(nodes):
        at = reader.draw_fallback_delay(platform, True, source)
        while at.seconds < len(counts):
            counts[int(at.seconds)] += 1
            at = at + reader.draw_fallback_delay(platform, False, source)
    # 22 readers repeat at most 5 times a second, two watches each.
    assert max(counts) + 22 * 5 * 2 <= MAX_READS_PER_SECOND


def test_backoff_grows_to_its_bound_with_jitter():
    """Guards against readers that retry a failed platform in lockstep."""
    source = random.Random(1)
    platform = settings.PlatformSettings()
    delays = [
        reader.draw_backoff(platform, failures, source).value
        for failures in (1, 2, 5, 10, 2000)
    ]
    assert 200 <= delays[0] <= 400 <= delays[1] <= 800
    assert all(5000 <= delay <= 10_000 for delay in delays[3:])


def test_isolated_node_reads_and_a_confirmed_one_does_not(time, platform):
    """Guards against platform reads by all nodes, and against a stuck node.

    With confirmation by peers, 15,000 nodes must not read the platform. A node
    that no peer confirms must.
    """
    network = builders.Network(random.Random(1))
    platform.publish_list(builders.build_entries(30))
    entries = builders.build_entries(30)
    nodes = [
        builders.InMemoryNode(entry, network, time, platform)
        for entry in entries
    ]
    for node in nodes:
        node.directory.replace_list(2, entries)
    node = next(node for node in nodes if not node.reader.is_reader)
    reads = platform.reads
    node.reader.read_fallback()
    node.reader.read_fallback()
    assert platform.reads == reads + 2
    assert node.store.snapshot.find_version("fleet") == 1
    node.freshness.confirm(time.now())
    node.reader.read_fallback()
    assert platform.reads == reads + 2


def test_a_few_nodes_read_when_all_readers_are_dead(time, platform):
    """Guards against dead readers that block changes for healthy nodes."""
    network = builders.Network(random.Random(1))
    entries = builders.build_entries(100)
    nodes = [
        builders.InMemoryNode(entry, network, time, platform)
        for entry in entries
    ]
    for node in nodes:
        node.directory.replace_list(2, entries)
        node.freshness.note_platform(time.now())
    reads = platform.reads
    for milliseconds, expected in ((30_000, range(1)), (1, range(5, 40))):
        time.advance(clock.Milliseconds(milliseconds))
        for node in nodes:
            node.freshness.confirm(time.now())
            if not node.reader.is_reader:
                node.reader.read_fallback()
        assert platform.reads - reads in expected
