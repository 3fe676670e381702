"""Tests of the executor against a target that returns faulty answers."""

import asyncio
import contextlib

import pytest

from cyclamenwell import clock
from cyclamenwell.configuration.tests import published_builders
from cyclamenwell.generated import enumerations
from cyclamenwell.platform.tests import fake_target
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import metrics
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

Kind = enumerations.ErrorKind
Fault = fake_target.Fault


async def run_request(executor, **changes):
    """Run a request and return its result."""
    offer = builders.build_offer(**changes)
    deadline = clock.SystemClock().now() + clock.Milliseconds(2000)
    async with executor.reserve(offer) as slot:
        return await executor.run(
            offer, builders.build_request(), deadline, slot, None
        )


def test_a_complete_answer_is_returned_and_the_connection_reused():
    """Guards against opening a new connection for each request."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            for number in range(5):
                result = await run_request(executor, request_id=f"r-{number}")
                assert result.body == f"whole answer of r-{number}".encode()
            assert target.connections <= 2

    asyncio.run(run_scenario())


def test_headers_set_by_the_node_reach_the_target():
    """Guards against wrong caller or deadline headers at the target."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await run_request(executor, organisation="shops")
            request = target.runs[0].request
            assert request.find_header("tenant") == "shops"
            assert request.find_header("caller-service") == "desk"
            assert request.find_header("target-instance") == "i-1"
            assert 0 < int(request.find_header("deadline-ms")) <= 2000
            assert request.find_header("host") == "meters.example"

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    ("fault", "kind", "not_run"),
    [
        ("reset", Kind.INCOMPLETE_ANSWER, False),
        ("cut", Kind.INCOMPLETE_ANSWER, False),
        ("unsealed", Kind.INCOMPLETE_ANSWER, False),
        ("encoded", Kind.INCOMPLETE_ANSWER, False),
        ("busy", Kind.INCOMPLETE_ANSWER, False),
        ("shed", Kind.TARGET_SHED, True),
        ("misdirected", Kind.WRONG_INSTANCE, True),
    ],
)
def test_a_faulty_answer_is_not_passed_on(fault, kind, not_run):
    """Guards against passing on a faulty answer or a wrong `not_run`."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.inject_faults(Fault(fault))
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor)
            assert caught.value.kind is kind
            assert caught.value.not_run is not_run
            assert caught.value.reached_target

    asyncio.run(run_scenario())


def test_an_answer_to_another_request_is_skipped():
    """Guards against taking a late answer for that of the next request."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.inject_faults(Fault("foreign"), Fault("extra"))
            for number in range(3):
                result = await run_request(executor, request_id=f"r-{number}")
                assert result.body == f"whole answer of r-{number}".encode()

    asyncio.run(run_scenario())


def test_an_answer_without_length_ends_with_its_connection():
    """Guards against rejecting an answer delimited by connection close."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.inject_faults(Fault("unframed"))
            result = await run_request(executor)
            assert result.body == b"whole answer of r-1"

    asyncio.run(run_scenario())


def test_a_cancelled_request_stops_at_the_target():
    """Guards against work for a caller that has disconnected."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.service_time = clock.Milliseconds(5000)
            task = asyncio.create_task(run_request(executor))
            await builders.wait_for(lambda: is_busy(target), "running")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await builders.wait_for(lambda: is_idle(target), "stopped")
            assert executor.admission_queue.slot_scheduler.running == 0

    asyncio.run(run_scenario())


async def is_busy(target):
    """Return whether the target is running a request."""
    return target.running > 0


async def is_idle(target):
    """Return whether the target is idle."""
    return target.running == 0


@pytest.mark.parametrize(
    ("entry", "offer", "kind"),
    [
        (
            {"state": enumerations.InstanceState.LEAVING},
            {},
            Kind.LEAVING,
        ),
        ({}, {"target_id": "i-2"}, Kind.WRONG_INSTANCE),
        ({}, {"service": "billing"}, Kind.WRONG_INSTANCE),
    ],
)
def test_a_target_that_must_not_run_a_request_is_not_reached(
    entry, offer, kind
):
    """Guards against requests to a leaving target or a wrong one."""

    async def run_scenario():
        async with builders.run_executor(**entry) as (executor, target):
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, **offer)
            assert caught.value.kind is kind
            assert caught.value.not_run
            assert not target.runs

    asyncio.run(run_scenario())


def test_a_target_that_can_not_be_reached_has_not_run_the_request():
    """Guards against reporting an unsent request as possibly run."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.stop()
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor)
            assert caught.value.kind is Kind.TARGET_UNREACHABLE
            assert caught.value.not_run
            assert not caught.value.reached_target

    asyncio.run(run_scenario())


def test_a_restarted_target_is_cold_until_its_health_endpoint_answers():
    """Guards against full load on a target that has just started."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            slot_scheduler = executor.admission_queue.slot_scheduler
            now = clock.SystemClock().now
            assert slot_scheduler.is_cold(now())
            await builders.wait_for(lambda: is_warm(slot_scheduler), "warm")
            target.cold = clock.Milliseconds(1500)
            target.inject_faults(Fault("misdirected"))
            with pytest.raises(executors.AttemptError):
                await run_request(executor)
            assert slot_scheduler.is_cold(now())

    asyncio.run(run_scenario())


def test_a_target_that_became_cold_during_an_evacuation_is_not_flooded():
    """Guards against full load on a target whose entry does not tell yet.

    The removal of an evacuation may arrive before an earlier change of the
    target's entry.
    """

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            slot_scheduler = executor.admission_queue.slot_scheduler
            await builders.wait_for(lambda: is_warm(slot_scheduler), "warm")
            await evacuate(executor, 2)
            target.cold = clock.Milliseconds(3000)
            take_back(executor, 3)
            await check_cold_rate(executor, target)

    asyncio.run(run_scenario())


def test_a_health_report_from_before_the_last_evacuation_does_not_count():
    """Guards against a flood after a report that was on its way too long."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            slot_scheduler = executor.admission_queue.slot_scheduler
            await builders.wait_for(lambda: is_warm(slot_scheduler), "warm")
            target.probe_time = clock.Milliseconds(200)
            await evacuate(executor, 2)
            take_back(executor, 3)
            await asyncio.sleep(0.1)
            await evacuate(executor, 4)
            target.cold = clock.Milliseconds(3000)
            take_back(executor, 5)
            await check_cold_rate(executor, target)

    asyncio.run(run_scenario())


async def check_cold_rate(executor, target):
    """Check that a cold target gets no more requests than it sustains."""
    cold_per_second, excess, slack = 10.0, 1.5, 5
    before = len(target.runs)
    tasks = []
    for number in range(100):
        tasks.append(asyncio.create_task(run_leniently(executor, number)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    runs = len(target.runs) - before
    assert 1 <= runs <= cold_per_second * excess + slack


def test_a_target_that_stayed_warm_is_soon_used_fully_after_an_evacuation():
    """Guards against a warm target that is paced like a cold one."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            slot_scheduler = executor.admission_queue.slot_scheduler
            await builders.wait_for(lambda: is_warm(slot_scheduler), "warm")
            await evacuate(executor, 2)
            take_back(executor, 3)
            time = clock.SystemClock()
            begin = time.now()
            await builders.wait_for(lambda: is_warm(slot_scheduler), "warm")
            assert time.now() - begin < clock.Milliseconds(500)

    asyncio.run(run_scenario())


async def evacuate(executor, revision):
    """Take the data centre of the target out, at a revision of the store."""
    item = published_builders.build_evacuation("a", revision)
    executor._state.apply_operators(
        published_builders.list_after(revision - 1, revision, item)
    )
    executor.apply_state()
    with pytest.raises(executors.AttemptError) as caught:
        await run_request(executor)
    assert caught.value.kind is Kind.DATA_CENTRE_OUT


def take_back(executor, revision):
    """Take the data centre of the target back."""
    item = published_builders.build_evacuation(
        "a", revision, data_centre_out="", removed=True
    )
    executor._state.apply_operators(
        published_builders.list_after(revision - 1, revision, item)
    )
    executor.apply_state()


async def run_leniently(executor, number):
    """Run a request that may be refused."""
    with contextlib.suppress(executors.AttemptError):
        await run_request(executor, request_id=f"r-{number}", max_wait_ms=200.0)


async def is_warm(slot_scheduler):
    """Return whether cold-start pacing has ended."""
    return not slot_scheduler.is_cold(clock.SystemClock().now())


def test_an_answer_before_the_body_is_read_spoils_no_later_request():
    """Guards against reusing a connection with an unfinished request.

    The target answers before it has read the whole body. A connection with an
    unsent rest of a body must not carry another request.
    """
    heads = []

    async def answer_early(stream):
        wait = clock.Milliseconds(2000)
        data = await stream.receive(wait)
        heads.append(data[:20])
        request_id = data.split(b"request-id: ")[1].split(b"\r\n")[0]
        stream.send(
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nresponse-seal: x\r\n"
            b"request-id: " + request_id + b"\r\n\r\nok"
        )
        await asyncio.sleep(0.2)
        while await stream.receive(wait):
            pass

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            await builders.wait_for(
                lambda: is_warm(executor.admission_queue.slot_scheduler), "warm"
            )
            target.stop()
            executor.close_connections()
            listener = streams.Listener(
                builders.LOOPBACK,
                target.port,
                answer_early,
                builders.build_log(),
            )
            large = builders.build_request(body=b"x" * 30_000_000)
            offer = builders.build_offer()
            deadline = clock.SystemClock().now() + clock.Milliseconds(3000)
            for _ in range(2):
                async with executor.reserve(offer) as slot:
                    result = await executor.run(
                        offer, large, deadline, slot, None
                    )
                assert result.body == b"ok"
            listener.close()

    asyncio.run(run_scenario())
    assert heads == [b"POST /pay/1 HTTP/1.1"[:20]] * 2


def test_a_run_that_fails_after_a_refused_call_is_counted():
    """Guards against lost work that shows in no metric."""

    async def run_scenario():
        counted = metrics.Metrics()
        async with builders.run_executor(counted) as (executor, target):
            target.inject_faults(Fault("failing", 2))
            await run_request(executor, route="read")
            assert b"lost_runs" not in counted.render()
            executor.note_refused_call(Kind.OVERLOADED)
            result = await run_request(executor, route="read")
            assert result.status == 500
            assert b'lost_runs_total{route="read"} 1.0' in counted.render()

    asyncio.run(run_scenario())


def test_a_request_to_a_silent_target_times_out_at_its_deadline():
    """Guards against waiting beyond the deadline for a silent target."""

    async def run_scenario():
        async with builders.run_executor() as (executor, target):
            target.service_time = clock.Milliseconds(60_000)
            offer = builders.build_offer()
            time = clock.SystemClock()
            deadline = time.now() + clock.Milliseconds(300)
            with pytest.raises(executors.AttemptError) as caught:
                async with executor.reserve(offer) as slot:
                    await executor.run(
                        offer, builders.build_request(), deadline, slot, None
                    )
            assert caught.value.kind is Kind.TIMED_OUT
            assert not caught.value.not_run
            assert time.now() - deadline < clock.Milliseconds(250)

    asyncio.run(run_scenario())
