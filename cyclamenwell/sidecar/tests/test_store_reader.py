"""Tests of reading the store through its outages."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

from cyclamenwell import clock
from cyclamenwell.configuration import published
from cyclamenwell.generated import sidecar
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.platform.tests import store_standin
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import figures
from cyclamenwell.sidecar import store_reader
from cyclamenwell.sidecar.tests import builders

_REAPPEARANCE = clock.Milliseconds(2000)


@contextlib.asynccontextmanager
async def _run_reader(
    reads_per_second: float = 1000.0,
) -> AsyncIterator[tuple[store_standin.StoreStandin, published.PublishedState]]:
    """Run a reader beside a store with one target of the service ``meter``."""
    log = builders.build_log()
    time = clock.SystemClock()
    store = store_standin.StoreStandin(log)
    await store.start(builders.LOOPBACK)
    store.put("servers/i-1", platform_builders.build_target_value())
    state = published.PublishedState(time, _REAPPEARANCE)
    settings = sidecar.SidecarSettings(
        store=sidecar.StoreSettings(
            address=sidecar.SocketAddress(builders.LOOPBACK, store.port),
            reads_per_second=reads_per_second,
        )
    )
    reader = store_reader.StoreReader(
        contexts.NodeContext(
            settings, time, state, random.Random(1), log, figures.Figures()
        )
    )
    task = asyncio.create_task(reader.follow_targets())
    try:
        await builders.wait_for(lambda: _has_target(state), "a target")
        yield store, state
    finally:
        task.cancel()
        store.stop()


async def _has_target(state: published.PublishedState) -> bool:
    return "i-1" in {e.target_id for e in state.list_targets("meter")}


async def _wait_gone(state: published.PublishedState) -> None:
    async def is_gone() -> bool:
        return not await _has_target(state)

    await builders.wait_for(is_gone, "gone")


def test_a_target_that_lapsed_in_an_outage_stays_until_it_can_be_back():
    # The first answer after an outage no longer lists targets whose entries
    # lapsed meanwhile; most of them live and register again within seconds.
    async def lapse_in_an_outage() -> None:
        async with _run_reader() as (store, state):
            store.mode = "refusing"
            # A change ends the open watch; the next one is refused.
            store.put(
                "servers/i-2",
                platform_builders.build_target_value(address="127.0.0.3:80"),
            )
            await asyncio.sleep(0.5)
            store.remove("servers/i-1")
            store.forget_history()
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            store.mode = "up"
            returned = loop.time()
            await _wait_gone(state)
            stayed = clock.Milliseconds.from_seconds(loop.time() - returned)
            assert stayed >= _REAPPEARANCE * 0.9
            assert stayed <= _REAPPEARANCE * 2.5

    asyncio.run(lapse_in_an_outage())


def test_a_removal_without_an_outage_takes_a_target_out_at_once():
    async def remove() -> None:
        async with _run_reader() as (store, state):
            loop = asyncio.get_running_loop()
            begun = loop.time()
            store.remove("servers/i-1")
            await _wait_gone(state)
            took = clock.Milliseconds.from_seconds(loop.time() - begun)
            # A watch waits up to 1.2 s before it is sent again.
            assert took < _REAPPEARANCE * 0.9

    asyncio.run(remove())


def test_watches_of_many_nodes_stay_below_the_rate_of_the_store():
    # While targets change all the time every watch returns at once; with one
    # read a second for the fleet, a node alone takes half of it.
    async def change_all_the_time() -> None:
        async with _run_reader(reads_per_second=1.0) as (store, _):
            before = store.reads
            for number in range(60):
                store.put(
                    f"servers/i-{number}",
                    platform_builders.build_target_value(),
                )
                await asyncio.sleep(0.05)
            # Three seconds with a pause of two, shortened by up to a fifth.
            assert store.reads - before <= 2

    asyncio.run(change_all_the_time())
