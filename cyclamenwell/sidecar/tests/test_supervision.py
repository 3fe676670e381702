"""Tests of the restart of failed background work."""

import asyncio

from cyclamenwell import clock
from cyclamenwell.sidecar import supervision
from cyclamenwell.sidecar.tests import builders


def test_failed_work_is_restarted():
    """Guards against one unexpected error that stops the whole process."""
    starts = []

    async def work():
        starts.append(len(starts))
        if len(starts) < 3:
            raise ZeroDivisionError("unexpected")

    async def run_scenario():
        async with asyncio.timeout(2):
            await supervision.run_supervised(
                work, builders.build_log(), clock.Milliseconds(1)
            )

    asyncio.run(run_scenario())
    assert starts == [0, 1, 2]


def test_cancelled_work_is_not_restarted():
    """Guards against a node that cannot stop."""
    starts = []

    async def work():
        starts.append(len(starts))
        await asyncio.sleep(60)

    async def run_scenario():
        task = asyncio.create_task(
            supervision.run_supervised(work, builders.build_log())
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task], timeout=2)
        assert task.cancelled()

    asyncio.run(run_scenario())
    assert starts == [0]
