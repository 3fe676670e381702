"""Tests of nodes that learn from others while those that read are lost."""

import asyncio
import signal

from cyclamenwell import clock
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.sidecar.tests import builders

# Eight of them read the store, the others learn from them.
SERVICES = ("desk", *("meter",) * 12)
READERS = 8
# Time in which a configuration has to come into force.
APPLY_TIME = clock.Milliseconds(2000)


def test_changes_reach_other_nodes_while_all_readers_are_suspended(tmp_path):
    """Guards against an old configuration in force until the readers return."""

    async def has_readers(fleet):
        return len(await fleet.find_readers()) == READERS

    async def scenario(fleet):
        await builders.wait_for(lambda: has_readers(fleet), "readers")
        readers = await fleet.find_readers()
        learners = [m for m in fleet.machines if m not in readers]
        for machine in readers:
            machine.process.send_signal(signal.SIGSTOP)
        row = platform_builders.build_route_row(name="l", prefix="/later/")
        fleet.publish("00000010", routes=platform_builders.build_table(row))
        await asyncio.sleep(APPLY_TIME.seconds)
        for machine in learners:
            answer = await fleet.send_request(machine, path="/read/1")
            assert answer.status == 404

    builders.run_fleet(tmp_path, SERVICES, scenario)
