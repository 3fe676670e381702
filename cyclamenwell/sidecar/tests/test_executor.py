"""Requests at the target beside the node, whose answers are spoiled."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.platform.tests import target_standin
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

Kind = enumerations.ErrorKind
Fault = target_standin.Fault


async def run_one(executor, **changes):
    """Run a request and return its result."""
    offer = builders.build_offer(**changes)
    deadline = clock.SystemClock().now() + clock.Milliseconds(2000)
    async with executor.reserve(offer) as slot:
        return await executor.run(
            offer, builders.build_request(), deadline, slot
        )


def test_a_whole_answer_is_returned_and_the_connection_used_again():
    """Guards against a new connection for each request."""

    async def play():
        async with builders.run_executor() as (executor, target):
            for number in range(5):
                result = await run_one(executor, request_id=f"r-{number}")
                assert result.body == f"whole answer of r-{number}".encode()
            assert target.connections <= 2

    asyncio.run(play())


def test_what_nodes_set_reaches_the_target():
    """Guards against a target that learns the wrong caller or deadline."""

    async def play():
        async with builders.run_executor() as (executor, target):
            await run_one(executor, organisation="shops")
            request = target.runs[0].request
            assert request.find_header("tenant") == "shops"
            assert request.find_header("caller-service") == "desk"
            assert request.find_header("target-instance") == "i-1"
            assert 0 < int(request.find_header("deadline-ms")) <= 2000
            assert request.find_header("host") == "meters.example"

    asyncio.run(play())


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
def test_a_spoiled_answer_is_not_passed_on(fault, kind, not_run):
    """Guards against a broken answer, or a false word on what has run."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.spoil(Fault(fault))
            with pytest.raises(executors.AttemptError) as caught:
                await run_one(executor)
            assert caught.value.kind is kind
            assert caught.value.not_run is not_run
            assert caught.value.reached_target

    asyncio.run(play())


def test_an_answer_to_another_request_is_skipped():
    """Guards against a late second answer that passes for the next one."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.spoil(Fault("foreign"), Fault("extra"))
            for number in range(3):
                result = await run_one(executor, request_id=f"r-{number}")
                assert result.body == f"whole answer of r-{number}".encode()

    asyncio.run(play())


def test_an_answer_without_length_ends_with_its_connection():
    """Guards against refusing an answer that is whole."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.spoil(Fault("unframed"))
            result = await run_one(executor)
            assert result.body == b"whole answer of r-1"

    asyncio.run(play())


def test_a_cancelled_request_stops_at_the_target():
    """Guards against work for a caller that has left."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.work = clock.Milliseconds(5000)
            task = asyncio.create_task(run_one(executor))
            await builders.wait_for(lambda: has_started(target), "running")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await builders.wait_for(lambda: has_stopped(target), "stopped")
            assert executor.gate.book.running == 0

    asyncio.run(play())


async def has_started(target):
    """Return whether the target works."""
    return target.running > 0


async def has_stopped(target):
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
    """Guards against requests to a leaving target or of another service."""

    async def play():
        async with builders.run_executor(**entry) as (executor, target):
            with pytest.raises(executors.AttemptError) as caught:
                await run_one(executor, **offer)
            assert caught.value.kind is kind
            assert caught.value.not_run
            assert not target.runs

    asyncio.run(play())


def test_a_target_that_can_not_be_reached_has_not_run_the_request():
    """Guards against an unknown outcome of what was never sent."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.stop()
            with pytest.raises(executors.AttemptError) as caught:
                await run_one(executor)
            assert caught.value.kind is Kind.TARGET_UNREACHABLE
            assert caught.value.not_run
            assert not caught.value.reached_target

    asyncio.run(play())


def test_a_restarted_target_counts_as_cold_until_it_says_otherwise():
    """Guards against a full load on a target that has just started."""

    async def play():
        async with builders.run_executor() as (executor, target):
            book = executor.gate.book
            now = clock.SystemClock().now
            assert book.is_cold(now())
            await builders.wait_for(lambda: is_warm(book), "warm")
            target.cold = clock.Milliseconds(1500)
            target.spoil(Fault("misdirected"))
            with pytest.raises(executors.AttemptError):
                await run_one(executor)
            assert book.is_cold(now())

    asyncio.run(play())


async def is_warm(book):
    """Return whether requests are not paced."""
    return not book.is_cold(clock.SystemClock().now())


def test_an_answer_before_the_body_is_read_spoils_no_later_request():
    """Guards against bytes of a next request where a body is still due."""
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

    async def play():
        async with builders.run_executor() as (executor, target):
            await builders.wait_for(lambda: is_warm(executor.gate.book), "warm")
            target.stop()
            executor.close_connections()
            early = streams.Listener(
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
                    result = await executor.run(offer, large, deadline, slot)
                assert result.body == b"ok"
            early.close()

    asyncio.run(play())
    assert heads == [b"POST /pay/1 HTTP/1.1"[:20]] * 2


def test_a_target_that_says_nothing_holds_a_request_to_its_deadline():
    """Guards against callers that wait for a connection that went silent."""

    async def play():
        async with builders.run_executor() as (executor, target):
            target.work = clock.Milliseconds(60_000)
            offer = builders.build_offer()
            time = clock.SystemClock()
            deadline = time.now() + clock.Milliseconds(300)
            with pytest.raises(executors.AttemptError) as caught:
                async with executor.reserve(offer) as slot:
                    await executor.run(
                        offer, builders.build_request(), deadline, slot
                    )
            assert caught.value.kind is Kind.TIMED_OUT
            assert not caught.value.not_run
            assert time.now() - deadline < clock.Milliseconds(250)

    asyncio.run(play())
