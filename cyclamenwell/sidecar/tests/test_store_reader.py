"""Tests of the store reader, with outages of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import random
from typing import Any

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration import published
from cyclamenwell.configuration import store_duty
from cyclamenwell.generated import sidecar
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.platform.tests import fake_store
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import metrics
from cyclamenwell.sidecar import store_reader
from cyclamenwell.sidecar.tests import builders

_REAPPEARANCE = clock.Milliseconds(2000)
# Shortest time for which a target serves after its entry is gone.
_DRAIN_TIME = clock.Milliseconds(2000)
_COUNTED = clock.Milliseconds(10_000)


@contextlib.asynccontextmanager
async def _run_reader(
    reads_per_second: float = 1000.0,
    duty: store_duty.StoreDuty | None = None,
    page_size: int = 500,
    prepare: Callable[[fake_store.FakeStore], object] = lambda store: None,
    watches_operators: bool = False,
) -> AsyncIterator[tuple[fake_store.FakeStore, published.PublishedState]]:
    """Run a reader on a store with one target of the service ``meter``."""
    log = builders.build_log()
    time = clock.SystemClock()
    store = fake_store.FakeStore(log, page_size)
    await store.start(builders.LOOPBACK)
    store.put("servers/i-1", platform_builders.build_target_value())
    prepare(store)
    state = published.PublishedState(time, _REAPPEARANCE)
    settings = sidecar.SidecarSettings(
        store=sidecar.StoreSettings(
            address=sidecar.SocketAddress(builders.LOOPBACK, store.port),
            reads_per_second=reads_per_second,
        )
    )
    reader = store_reader.StoreReader(
        contexts.NodeContext(
            settings,
            time,
            state,
            random.Random(1),
            log,
            metrics.Metrics(),
            duty or store_duty.StoreDuty(time, builders.LOOPBACK),
            builders.build_account(),
        )
    )
    tasks = [asyncio.create_task(reader.watch_targets())]
    if watches_operators:
        tasks.append(asyncio.create_task(reader.watch_operators()))
    try:
        await builders.wait_for(lambda: _has_target(state), "a target")
        yield store, state
    finally:
        for task in tasks:
            task.cancel()
        store.stop()


def _build_learner() -> store_duty.StoreDuty:
    """Return the duty of a node that is not chosen to read the store."""
    duty = store_duty.StoreDuty(clock.SystemClock(), builders.LOOPBACK)
    others = (f"10.0.0.{number}" for number in range(1000))
    hosts = {builders.LOOPBACK}
    while duty.is_chosen:
        hosts.add(next(others))
        duty.set_fleet({"a": hosts})
    return duty


def _hear(duty: store_duty.StoreDuty) -> None:
    """Let a node hear from another one whose knowledge is 50 ms old."""
    asked_at = clock.SystemClock().now()
    duty.note_contact(clock.Milliseconds(50), clock.ZERO, asked_at)


async def _has_target(state: published.PublishedState) -> bool:
    return "i-1" in {e.target_id for e in state.list_targets("meter")}


async def _wait_removed(state: published.PublishedState) -> None:
    async def is_removed() -> bool:
        return not await _has_target(state)

    await builders.wait_for(is_removed, "gone")


def test_a_target_that_expired_in_an_outage_stays_until_it_can_register():
    # The first answer after an outage lacks the targets whose entries expired
    # in it; most of them are alive and register again within seconds.
    async def expire_in_an_outage() -> None:
        async with _run_reader() as (store, state):
            store.mode = "refusing"
            # A change completes the open watch; the next one is refused.
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
            restored_at = loop.time()
            await _wait_removed(state)
            stayed = clock.Milliseconds.from_seconds(loop.time() - restored_at)
            assert stayed >= _REAPPEARANCE * 0.9
            assert stayed <= _REAPPEARANCE * 2.5

    asyncio.run(expire_in_an_outage())


def test_a_removal_without_an_outage_takes_effect_immediately():
    async def remove() -> None:
        async with _run_reader() as (store, state):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            store.remove("servers/i-1")
            await _wait_removed(state)
            elapsed = clock.Milliseconds.from_seconds(loop.time() - started_at)
            # The reader pauses for up to 1.2 s between watches.
            assert elapsed < _REAPPEARANCE * 0.9

    asyncio.run(remove())


def test_a_node_that_alone_lost_the_store_keeps_no_target_that_has_gone():
    """Guards against targets in use that left while others saw the store.

    The store turns some nodes away and serves the others, so no entries lapse.
    """

    async def remove_while_turned_away() -> None:
        duty = store_duty.StoreDuty(clock.SystemClock(), builders.LOOPBACK)
        async with _run_reader(duty=duty) as (store, state):
            store.mode = "refusing"
            # A change completes the open watch; the next one is refused.
            store.put(
                "servers/i-2",
                platform_builders.build_target_value(address="127.0.0.3:80"),
            )
            for _ in range(15):
                await asyncio.sleep(0.1)
                _hear(duty)
            store.remove("servers/i-1")
            loop = asyncio.get_running_loop()
            store.mode = "up"
            restored_at = loop.time()
            while await _has_target(state):
                _hear(duty)
                await asyncio.sleep(0.02)
                assert loop.time() - restored_at < 1.9

    asyncio.run(remove_while_turned_away())


async def _remove_after(
    disturb: Callable[[fake_store.FakeStore], Coroutine[Any, Any, None]],
) -> clock.Milliseconds:
    """Disturb the store, remove a target, and disturb the store again.

    Returns
    -------
    clock.Milliseconds
        Time from the removal until the target is not used any more.
    """
    async with _run_reader(watches_operators=True) as (store, state):
        loop = asyncio.get_running_loop()
        # Until the waiting watches are older than the shortest outage.
        await asyncio.sleep(1.5)
        await disturb(store)
        await asyncio.sleep(1.1)
        store.remove("servers/i-1")
        removed_at = loop.time()
        await asyncio.sleep(0.4)
        await disturb(store)
        await _wait_removed(state)
        return clock.Milliseconds.from_seconds(loop.time() - removed_at)


def test_cut_watches_do_not_keep_a_target_that_has_left():
    """Guards against requests to a target that left while watches were cut."""

    async def cut(store: fake_store.FakeStore) -> None:
        store.cut_waiting()

    # Less than the time for which a target that leaves goes on serving.
    assert asyncio.run(_remove_after(cut)) < _DRAIN_TIME


def test_reset_connections_do_not_keep_a_target_that_has_left():
    """Guards against a moment without the store that is taken for an outage."""

    async def reset(store: fake_store.FakeStore) -> None:
        store.mode = "losing"
        store.cut_waiting()
        await asyncio.sleep(0.02)
        store.mode = "up"

    assert asyncio.run(_remove_after(reset)) < _DRAIN_TIME


def test_a_refused_call_does_not_keep_a_target_that_has_left():
    """Guards against a single refusal that is taken for an outage."""

    async def refuse(store: fake_store.FakeStore) -> None:
        store.mode = "refusing"
        store.cut_waiting()
        await asyncio.sleep(0.1)
        store.mode = "up"

    assert asyncio.run(_remove_after(refuse)) < _DRAIN_TIME


def test_cuts_after_an_outage_do_not_shorten_its_grace_time():
    """Guards against living targets that are lost after a real outage."""

    async def expire_in_an_outage() -> None:
        async with _run_reader(watches_operators=True) as (store, state):
            store.mode = "losing"
            store.cut_waiting()
            await asyncio.sleep(2.5)
            store.remove("servers/i-1")
            store.mode = "up"
            loop = asyncio.get_running_loop()
            restored_at = loop.time()
            for _ in range(8):
                store.cut_waiting()
                await asyncio.sleep(0.2)
                assert await _has_target(state)
            store.put("servers/i-1", platform_builders.build_target_value())
            while loop.time() < restored_at + 2 * _REAPPEARANCE.seconds:
                await asyncio.sleep(0.1)
                assert await _has_target(state)

    asyncio.run(expire_in_an_outage())


def test_watches_of_many_nodes_stay_below_the_rate_of_the_store():
    # While targets change continuously, each watch returns immediately; with
    # one read a second for all nodes, a single node uses half of it.
    async def change_continuously() -> None:
        async with _run_reader(reads_per_second=1.0) as (store, _):
            before = store.reads
            for number in range(60):
                store.put(
                    f"servers/i-{number}",
                    platform_builders.build_target_value(),
                )
                await asyncio.sleep(0.05)
            # 3 s with a pause of 2 s, shortened by up to a fifth by jitter.
            assert store.reads - before <= 2

    asyncio.run(change_continuously())


def test_a_change_between_two_pages_of_a_stale_list_is_read_again():
    """Guards against a change that a list of several pages leaves out."""

    def hold_pages(store: fake_store.FakeStore) -> None:
        # The second page shows a newer state than the first one.
        store.put(
            "servers/i-0",
            platform_builders.build_target_value(address="10.0.0.9:1"),
        )
        store.hold_stale_reads(pages=1)
        store.remove("servers/i-0")
        store.put("servers/i-1", platform_builders.build_target_value())

    async def read_pages() -> None:
        async with _run_reader(
            duty=_build_learner(), page_size=1, prepare=hold_pages
        ) as (_, state):
            # Another node has nothing newer than the second page.
            state.note_confirmation()

            async def is_removed() -> bool:
                return "i-0" not in {
                    entry.target_id for entry in state.list_targets("meter")
                }

            await builders.wait_for(is_removed, "i-0 is removed")

    asyncio.run(read_pages())


@pytest.mark.parametrize("mode", ["forgetting", "older", "hasty"])
def test_calls_without_progress_stay_below_the_rate_of_the_store(mode):
    """Guards against calls without a pause after answers of no use.

    A store whose history is gone, one whose lists are older than what the
    node knows, and one that does not wait lead to the same call again.
    """

    async def count_calls() -> None:
        rate = 20.0
        async with _run_reader(
            reads_per_second=rate, watches_operators=True
        ) as (store, _):
            store.put("op/other/1", b"")
            await asyncio.sleep(0.2)
            store.mode = mode
            if mode == "older":
                store.put("op/other/2", b"")
                store.forget_history()
            before = store.reads
            await asyncio.sleep(_COUNTED.seconds)
            assert store.reads - before <= rate * _COUNTED.seconds

    asyncio.run(count_calls())


def test_changes_by_operators_stay_below_the_rate_of_the_store():
    """Guards against a call for each of many changes at the same time."""

    async def change_continuously() -> None:
        rate = 20.0
        async with _run_reader(
            reads_per_second=rate, watches_operators=True
        ) as (store, _):
            before = store.reads
            for number in range(400):
                store.put(f"op/other/{number}", b"")
                await asyncio.sleep(0.005)
            assert store.reads - before <= rate * 2.0

    asyncio.run(change_continuously())


async def _wait_target(state: published.PublishedState, target_id: str) -> None:
    async def is_known() -> bool:
        return target_id in state.entries

    await builders.wait_for(is_known, target_id)


def _put_target(store: fake_store.FakeStore, number: int) -> None:
    store.put(
        f"servers/i-{number}",
        platform_builders.build_target_value(address=f"10.0.0.{number}:80"),
    )


def test_changes_are_followed_after_the_store_has_gone_back():
    """Guards against changes that are ignored for good after a return."""

    async def return_from_copy() -> None:
        async with _run_reader() as (store, state):
            copy = store.take_copy()
            for number in range(2, 8):
                _put_target(store, number)
            await _wait_target(state, "i-7")
            store.restore(copy)
            _put_target(store, 9)
            await _wait_target(state, "i-9")
            assert state.targets.era == 2

    asyncio.run(return_from_copy())


def test_a_change_at_a_revision_that_was_given_out_again_is_followed():
    """Guards against a watch that goes on from a change that was lost.

    The store has passed the last known revision again before it is asked.
    """

    async def return_from_copy() -> None:
        async with _run_reader() as (store, state):
            copy = store.take_copy()
            _put_target(store, 2)
            await _wait_target(state, "i-2")
            store.restore(copy)
            for number in range(3, 6):
                _put_target(store, number)
            await _wait_target(state, "i-3")
            assert state.targets.revision == store.revision

    asyncio.run(return_from_copy())


@pytest.mark.parametrize("text", [None, "", "two", "-1", "1.5", "9" * 19])
def test_answers_without_a_readable_era_belong_to_the_known_one(text):
    """Guards against a node that stops to follow the store."""

    async def change_text() -> None:
        async with _run_reader() as (store, state):
            store.era = text
            _put_target(store, 2)
            await _wait_target(state, "i-2")
            assert state.targets.era == 1

    asyncio.run(change_text())


def test_answers_of_an_earlier_era_change_nothing():
    """Guards against a node that follows a copy of the store left behind."""

    async def fall_back() -> None:
        async with _run_reader() as (store, state):
            store.restore(store.take_copy(), era="5")
            _put_target(store, 2)
            await _wait_target(state, "i-2")
            store.era = "4"
            _put_target(store, 3)
            await asyncio.sleep(2.0)
            assert "i-3" not in state.entries
            store.era = "5"
            await _wait_target(state, "i-3")

    asyncio.run(fall_back())
