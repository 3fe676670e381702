"""Tests of what a target states of itself in its answers."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration.tests import published_builders
from cyclamenwell.generated import enumerations
from cyclamenwell.platform import names
from cyclamenwell.platform.tests import fake_target
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar.tests import builders

Kind = enumerations.ErrorKind
LIMIT_PER_SECOND = 10.0
# A target may get 1.5 times what it names, and 5 requests.
EXCESS = 1.5
SLACK = 5


async def run_request(executor, number, **changes):
    """Run a request; return its result, or the kind of its failure."""
    offer = builders.build_offer(
        request_id=f"r-{number}", max_wait_ms=50.0, **changes
    )
    deadline = clock.SystemClock().now() + clock.Milliseconds(2000)
    try:
        async with executor.reserve(offer) as slot:
            return await executor.run(
                offer, builders.build_request(), deadline, slot, None
            )
    except executors.AttemptError as error:
        assert error.not_run
        return error.kind


async def send_steadily(executor, duration):
    """Send a request every 10 ms and return the outcomes."""
    tasks = []
    for number in range(int(duration.value / 10)):
        tasks.append(asyncio.create_task(run_request(executor, number)))
        await asyncio.sleep(0.01)
    return await asyncio.gather(*tasks)


async def wait_warm(executor):
    """Wait until the target counts as warm."""
    scheduler = executor.admission_queue.slot_scheduler

    async def is_warm():
        return not scheduler.is_cold(clock.SystemClock().now())

    await builders.wait_for(is_warm, "warm")


@pytest.mark.parametrize("fault", ["", "shed"])
def test_a_target_gets_no_more_requests_than_it_names(fault):
    """Guards against the load that a target in need has refused.

    The limit may also stand in an answer that is itself a refusal.
    """

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await wait_warm(executor)
            target.statements = [(names.SERVER_LIMIT, f"{LIMIT_PER_SECOND}")]
            if fault:
                target.inject_faults(fake_target.Fault(fault))
            await run_request(executor, "first")
            before = len(target.runs)
            duration = clock.Milliseconds(2000)
            outcomes = await send_steadily(executor, duration)
            runs = len(target.runs) - before
            bound = LIMIT_PER_SECOND * duration.seconds * EXCESS + SLACK
            assert 0.8 * LIMIT_PER_SECOND * duration.seconds <= runs <= bound
            refusals = {o for o in outcomes if isinstance(o, Kind)}
            assert refusals == {Kind.TARGET_LIMITED}

    asyncio.run(run_scenario())


def test_a_limit_that_is_no_longer_named_ends():
    """Guards against a target that stays limited after its recovery."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await wait_warm(executor)
            target.statements = [(names.SERVER_LIMIT, "20")]
            await run_request(executor, "first")
            target.statements = []
            await send_steadily(executor, clock.Milliseconds(1300))
            outcomes = await send_steadily(executor, clock.Milliseconds(300))
            assert not [o for o in outcomes if isinstance(o, Kind)]

    asyncio.run(run_scenario())


def test_a_restarted_node_learns_the_limit_from_the_health_endpoint():
    """Guards against a burst to a limited target whose node has restarted."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.statements = [(names.SERVER_LIMIT, "1")]
            await wait_warm(executor)
            await send_steadily(executor, clock.Milliseconds(500))
            assert len(target.runs) <= SLACK

    asyncio.run(run_scenario())


def test_probes_count_towards_the_limit():
    """Guards against probes of a failing endpoint that exceed the limit."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await wait_warm(executor)
            target.statements = [(names.SERVER_LIMIT, "2")]
            await run_request(executor, "first")
            before = target.probes
            target.restart(clock.Milliseconds(60_000))
            target.inject_probe_failures()
            await run_request(executor, "second")
            await asyncio.sleep(2.0)
            assert 1 <= target.probes - before <= 5

    asyncio.run(run_scenario())


def test_a_target_that_says_it_leaves_gets_no_more_requests():
    """Guards against new work for a target that the platform lists as ready."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.statements = [(names.SERVER_LEAVING, "1")]
            answer = await run_request(executor, 1)
            assert answer.status == 200
            assert answer.load.is_leaving
            assert await run_request(executor, 2) is Kind.LEAVING
            assert len(target.runs) == 1

    asyncio.run(run_scenario())


def test_a_target_that_starts_anew_is_used_again():
    """Guards against a target that is avoided for what an earlier one said."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.statements = [
                (names.SERVER_LEAVING, "1"),
                (names.SERVER_LIMIT, "0"),
            ]
            await run_request(executor, 1)
            target.statements = []
            executor._state.apply_targets(
                published_builders.list_after(
                    1,
                    2,
                    published_builders.build_target(
                        "i-1",
                        2,
                        host=builders.LOOPBACK,
                        port=target.port,
                        started_ms=2000,
                    ),
                )
            )
            executor.apply_state()
            await wait_warm(executor)
            for number in range(2, 8):
                answer = await run_request(executor, number)
                assert answer.status == 200
                assert not answer.load.is_leaving

    asyncio.run(run_scenario())


def test_another_target_at_the_address_says_nothing_of_this_one():
    """Guards against statements that are taken from a misdirected answer."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await wait_warm(executor)
            target.inject_faults(fake_target.Fault("misdirected"))
            assert await run_request(executor, 1) is Kind.WRONG_INSTANCE
            await wait_warm(executor)
            answer = await run_request(executor, 2)
            assert answer.status == 200

    asyncio.run(run_scenario())
