"""Tests of a fleet in which some nodes leave the store to others."""

import asyncio
import contextlib

from cyclamenwell import clock
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.sidecar.tests import builders

# Eight of them read the store, the others learn from them.
SERVICES = ("desk", *("meter",) * 23)
LEARNERS = 16
# Bounds of the users' deployments of 60 machines or more.
APPLY_TIME = clock.Milliseconds(2500)
DRAIN_TIME = clock.Milliseconds(2500)


async def find_learners(fleet):
    """Return the machines whose nodes do not read the store."""
    texts = await asyncio.gather(*map(fleet.read_metrics, fleet.machines))
    return [
        machine
        for machine, text in zip(fleet.machines, texts, strict=True)
        if "cyclamenwell_sidecar_store_reader 0.0" in text
    ]


async def send(fleet, machine, path):
    """Return the status of the answer to a request."""
    answer = await fleet.send_request(machine, path=path)
    return answer.status


def test_nodes_that_do_not_read_the_store_follow_it_in_time(tmp_path):
    """Guards against changes that reach only the nodes that read the store."""

    async def has_learners(fleet):
        return len(await find_learners(fleet)) == LEARNERS

    async def scenario(fleet):
        await builders.wait_for(lambda: has_learners(fleet), "learners")
        learners = await find_learners(fleet)

        # A new version: the route /read/ goes, and /later/ comes.
        row = platform_builders.build_route_row(name="l", prefix="/later/")
        fleet.publish("00000010", routes=platform_builders.build_table(row))
        await asyncio.sleep(APPLY_TIME.seconds)
        for machine in learners:
            assert await send(fleet, machine, "/read/1") == 404
            assert await send(fleet, machine, "/later/1") == 200

        # A target beside a node that does not read the store leaves.
        leaving = next(m for m in learners if m is not fleet.machines[0])
        fleet.publish_target(leaving, **platform_builders.LEAVING_STATUS)
        await asyncio.sleep(DRAIN_TIME.seconds)
        runs = len(leaving.target.runs)
        answers = [send(fleet, m, "/later/2") for m in fleet.machines * 3]
        assert set(await asyncio.gather(*answers)) == {200}
        assert len(leaving.target.runs) == runs

        # Without changes, only the readers' watches reach the store.
        before = fleet.store.reads
        await asyncio.sleep(3.0)
        calls = fleet.store.reads - before
        assert calls <= 3 * 2 * (len(SERVICES) - LEARNERS)
        assert await has_learners(fleet)

    builders.run_fleet(tmp_path, SERVICES, scenario)


def test_a_restarted_node_uses_nothing_from_a_stale_read(tmp_path):
    """Guards against withdrawn keys and departed targets after a restart."""

    async def scenario(fleet):
        node, leaver = fleet.machines[1], fleet.machines[-1]
        fleet.store.hold_stale_reads()
        organisation = {"name": "shops", "api_keys": ["k2"]}
        fleet.publish(
            "00000010", tenants=platform_builders.build_table(organisation)
        )
        fleet.store.remove(f"servers/{leaver.target.target_id}")
        await asyncio.sleep(APPLY_TIME.seconds)
        runs = len(leaver.target.runs)
        node.stop()
        node.start(fleet.log_path)
        statuses = set()
        while not await fleet.is_ready(node):
            with contextlib.suppress(OSError):
                statuses.add(await send(fleet, node, "/read/1"))
        assert statuses <= {401, 503}
        for _ in range(20):
            assert await send(fleet, node, "/read/1") == 401
            answer = await fleet.send_request(node, api_key="k2")
            assert answer.status == 200
        assert len(leaver.target.runs) == runs

    builders.run_fleet(tmp_path, ("desk", *("meter",) * 10), scenario)


def test_a_restarted_node_serves_soon_without_full_reads(tmp_path):
    """Guards against a start that waits long for the word of other nodes."""
    # A node starts within about half a second of processor time.
    most = clock.Milliseconds(1500)

    async def scenario(fleet):
        learner = (await find_learners(fleet))[0]
        time = clock.SystemClock()
        fleet.store.full_reads = 0
        learner.stop()
        learner.start(fleet.log_path)
        started_at = time.now()
        while not await fleet.is_ready(learner):
            await asyncio.sleep(0.01)
        assert time.now() - started_at < most
        assert not fleet.store.full_reads
        assert await send(fleet, learner, "/read/1") == 200

    builders.run_fleet(tmp_path, ("desk", *("meter",) * 11), scenario)
