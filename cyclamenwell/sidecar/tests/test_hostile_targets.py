"""Tests of the executor against targets that violate the protocol."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.platform.tests import scripted_target
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar.tests import builders

Kind = enumerations.ErrorKind
DEADLINE = clock.Milliseconds(2000)


async def run_request(executor, request_id, receiver=None, **changes):
    """Run a request and return its result."""
    offer = builders.build_offer(request_id=request_id)
    request = builders.build_request(**changes)
    deadline = clock.SystemClock().now() + DEADLINE
    async with executor.reserve(offer) as slot:
        return await executor.run(offer, request, deadline, slot, receiver)


async def expect_quick_failure(executor):
    """Return the failure of a request, long before its deadline.

    It may have run.
    """
    time = clock.SystemClock()
    started = time.now()
    with pytest.raises(executors.AttemptError) as caught:
        await run_request(executor, "r-1")
    assert not caught.value.not_run
    assert time.now() - started < DEADLINE * 0.5
    return caught.value


def test_a_refusal_without_identity_is_not_believed_on_a_kept_connection():
    """Guards against an earlier refusal that is written once more.

    Taken for the refusal of the next request, it would let the node report
    that a request has not run although the target runs it.
    """
    runs = []

    async def serve(connection):
        for request_id in ("r-1", "r-2"):
            request = await connection.read_request()
            if request_id == "r-2":
                connection.stream.send(scripted_target.encode_refusal())
            runs.append(request.find_header("request-id"))
            await asyncio.sleep(0.05)
            connection.answer(request_id)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            await run_request(executor, "r-1")
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, "r-2")
            assert not caught.value.not_run
            assert caught.value.reached_target
            assert executor.admission_queue.slot_scheduler.running == 0

    asyncio.run(run_scenario())
    assert runs == ["r-1", "r-2"]


def test_a_refusal_without_identity_is_believed_on_a_new_connection():
    """Guards against unknown outcomes where no earlier refusal can exist."""

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(scripted_target.encode_refusal())

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, "r-1")
            assert caught.value.kind is Kind.TARGET_SHED
            assert caught.value.not_run

    asyncio.run(run_scenario())


@pytest.mark.parametrize("is_delayed", [False, True])
def test_an_earlier_refusal_with_its_identity_is_skipped(is_delayed):
    """Guards against a repeated refusal that is taken for an answer."""

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(scripted_target.encode_refusal("r-1"))
        await connection.read_request()
        connection.stream.send(scripted_target.encode_refusal("r-1"))
        if is_delayed:
            await asyncio.sleep(0.05)
        connection.answer("r-2")

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, "r-1")
            assert caught.value.not_run
            result = await run_request(executor, "r-2")
            assert result.body == b"whole"

    asyncio.run(run_scenario())


def test_bytes_after_an_answer_end_the_use_of_its_connection():
    """Guards against a second copy of an answer on a connection used again."""
    connections = []

    async def serve(connection):
        connections.append(connection)
        request = await connection.read_request()
        request_id = request.find_header("request-id")
        connection.answer(request_id)
        await asyncio.sleep(0.05)
        connection.stream.send(scripted_target.encode_refusal())
        request = await connection.read_request()
        connection.answer(request.find_header("request-id"))

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            await run_request(executor, "r-1")
            await asyncio.sleep(0.15)
            result = await run_request(executor, "r-2")
            assert result.request_id == "r-2"

    asyncio.run(run_scenario())
    assert len(connections) == 2


def test_answers_to_other_requests_without_end_are_given_up():
    """Guards against a target that keeps a node busy until the deadline."""

    async def serve(connection):
        await connection.read_request()
        while connection.stream.is_open:
            connection.answer("another")
            await connection.stream.flush(DEADLINE)
            await asyncio.sleep(0)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            await expect_quick_failure(executor)

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nx-long: ",
        b"HTTP/1.1 200 OK\r\n",
        b"",
    ],
    ids=["header", "headers", "noise"],
)
def test_a_head_without_end_is_given_up(head):
    """Guards against memory and time spent on bytes that are no answer."""

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(head)
        part = b"a: b\r\n" * 1000 if head.endswith(b"\r\n") else b"a" * 6000
        while connection.stream.is_open:
            connection.stream.send(part)
            await connection.stream.flush(DEADLINE)
            await asyncio.sleep(0)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            await expect_quick_failure(executor)

    asyncio.run(run_scenario())


def test_a_head_byte_by_byte_ends_at_the_deadline():
    """Guards against bytes that each begin the wait for an answer anew."""

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(b"HTTP/1.1 200 OK\r\nx-long: ")
        while connection.stream.is_open:
            connection.stream.send(b"y")
            await asyncio.sleep(0.05)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            time = clock.SystemClock()
            started = time.now()
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, "r-1")
            assert caught.value.kind is Kind.TIMED_OUT
            assert not caught.value.not_run
            assert time.now() - started < DEADLINE * 1.2

    asyncio.run(run_scenario())


def test_an_answer_above_the_size_limit_may_have_run():
    """Guards against 'not run' for a request whose answer is too large."""

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(
            b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-seal: x\r\n"
            b"content-length: 99999999999\r\n\r\n"
        )
        await connection.read_request()

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            with pytest.raises(executors.AttemptError) as caught:
                await run_request(executor, "r-1")
            assert not caught.value.not_run
            assert caught.value.reached_target

    asyncio.run(run_scenario())


@pytest.mark.parametrize("framing", ["length", "chunks", "end"])
def test_an_answer_that_stops_in_its_head_is_never_whole(framing):
    """Guards against an empty 200 for an answer that broke off in its head.

    Every byte of the head is tried as the last one.
    """
    head, body = scripted_target.encode_framed_answer("r-1", b"whole", framing)
    cuts = iter(range(len(head)))

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(head[: next(cuts)])
        connection.stream.end_sending()
        await asyncio.sleep(0.01)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            for _ in range(len(head)):
                with pytest.raises(executors.AttemptError) as caught:
                    await run_request(executor, "r-1")
                assert caught.value.kind is Kind.INCOMPLETE_ANSWER
                assert not caught.value.not_run

    asyncio.run(run_scenario())
    assert next(cuts, None) is None


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_an_answer_that_stops_in_its_body_is_never_whole(framing):
    """Guards against a short 200 for an answer that broke off in its body."""
    head, body = scripted_target.encode_framed_answer("r-1", b"whole", framing)
    cuts = iter(range(len(body)))

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(head + body[: next(cuts)])
        connection.stream.end_sending()
        await asyncio.sleep(0.01)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            for _ in range(len(body)):
                with pytest.raises(executors.AttemptError) as caught:
                    await run_request(executor, "r-1")
                assert not caught.value.not_run

    asyncio.run(run_scenario())


@pytest.mark.parametrize("status", ["000", "099", "101"])
@pytest.mark.parametrize("body", [b"", b"whole"], ids=["headless", "whole"])
def test_an_answer_with_an_impossible_status_fails_at_once(status, body):
    """Guards against status 000 at callers, and against waiting for more.

    A status below 200 was taken for an interim answer, so the request waited
    for the final one until its deadline.
    """
    head, _ = scripted_target.encode_framed_answer("r-1", b"whole", "length")

    async def serve(connection):
        await connection.read_request()
        connection.stream.send(head.replace(b" 200 ", f" {status} ".encode()))
        connection.stream.send(body)
        await connection.read_request()

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            failure = await expect_quick_failure(executor)
            assert failure.kind is Kind.INCOMPLETE_ANSWER

    asyncio.run(run_scenario())


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("size", [500, 400_000], ids=["whole", "parts"])
def test_an_answer_that_cuts_off_an_upload_is_never_whole(ends_first, size):
    """Guards against the part of an answer before a reset as the whole one.

    The target answers an upload at once, without a length, and resets the
    connection while the upload is still being written. It may end its side of
    the connection just before.
    """
    head, _ = scripted_target.encode_framed_answer("r-1", b"", "end")

    async def serve(connection):
        await connection.stream.receive(DEADLINE)
        connection.stream.send(head + b"x" * size)
        await connection.stream.flush(DEADLINE)
        if ends_first:
            connection.stream.end_sending()
        await asyncio.sleep(0.2)
        connection.reset()

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            receiver = builders.RecordingReceiver()
            with pytest.raises(
                (executors.AttemptError, exceptions.BrokenAnswerError)
            ):
                await run_request(
                    executor, "r-1", receiver, body=b"x" * 30_000_000
                )
            assert not receiver.ends

    asyncio.run(run_scenario())


def test_an_answer_to_a_head_request_has_no_body():
    """Guards against waiting for a body that never comes."""

    async def serve(connection):
        request = await connection.read_request()
        head, _ = scripted_target.encode_framed_answer(
            request.find_header("request-id"), b"whole", "length"
        )
        connection.stream.send(head)
        await connection.read_request()

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            for request_id in ("r-1", "r-2"):
                result = await run_request(
                    executor, request_id, method="HEAD", body=b""
                )
                assert result.status == 200
                assert result.body == b""

    asyncio.run(run_scenario())


def test_a_health_report_without_end_is_given_up():
    """Guards against memory that is filled by the answer to a probe."""
    sent = []  # By each connection.

    async def serve(connection):
        await connection.read_request()
        head, _ = scripted_target.encode_framed_answer("", b"", "end")
        connection.stream.send(head)
        parts = 0
        try:
            while connection.stream.is_open:
                connection.stream.send(b"x" * 100_000)
                parts += 1
                await connection.stream.flush(DEADLINE)
                await asyncio.sleep(0)
        finally:
            sent.append(parts * 100_000)

    async def is_given_up():
        return bool(sent)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            executor._assume_cold("test")
            await builders.wait_for(is_given_up, "given up")

    asyncio.run(run_scenario())
    # Buffers of the sockets are a part of it.
    assert sent[0] < 16_000_000


def test_bytes_on_an_idle_connection_close_it_at_once():
    """Guards against memory for bytes that belong to no request.

    A target with many connections could fill a buffer for each of them.
    """
    closed_after = []

    async def serve(connection):
        await connection.read_request()
        connection.answer("r-1")
        await asyncio.sleep(0.05)
        time = clock.SystemClock()
        started = time.now()
        while connection.stream.is_open:
            connection.stream.send(b"x")
            await asyncio.sleep(0.01)
        closed_after.append(time.now() - started)

    async def run_scenario():
        async with builders.run_scripted_executor(serve) as executor:
            await run_request(executor, "r-1")
            await asyncio.sleep(0.5)

    asyncio.run(run_scenario())
    assert closed_after
    assert closed_after[0] < clock.Milliseconds(300)
