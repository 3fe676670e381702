"""Tests of callers that send requests before the first one is answered."""

import asyncio
import socket

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

TIMEOUT = clock.Milliseconds(3000)
DELAY = clock.Milliseconds(300)


def encode_calls(*numbers):
    """Return encoded requests, one behind the other."""
    return b"".join(builders.encode_call(f"/{n}", f"r-{n}") for n in numbers)


async def run_scenario(dispatcher, act, **route_changes):
    """Run a frontend and act on it with an open connection."""
    route = builders.build_route("meter", **route_changes)
    async with builders.run_frontend(dispatcher, route) as (frontend, port):
        stream = await streams.open_stream(builders.LOOPBACK, port, TIMEOUT)
        connection = http_client.HttpConnection(stream)
        try:
            await act(frontend, connection)
        finally:
            connection.close()


def build_dispatcher(answer=lambda call: call.request_id.encode()):
    """Return a dispatcher that answers with the identity of the request."""
    return builders.SlowDispatcherStandin(answer, delay=DELAY)


def test_pipelined_requests_are_answered_in_order():
    """Guards against lost answers and against those of another request."""
    dispatcher = build_dispatcher()

    async def act(frontend, connection):
        del frontend
        connection.send(encode_calls(1, 2))
        await asyncio.sleep(0.1)
        connection.send(encode_calls(3))
        bodies = [(await connection.receive(TIMEOUT)).body for _ in range(3)]
        assert bodies == [b"r-1", b"r-2", b"r-3"]

    asyncio.run(run_scenario(dispatcher, act, timeout_ms=3000.0))


@pytest.mark.parametrize("pause", [0.0, 0.1])
def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival(pause):
    """Guards against targets that get more time than the caller has left."""
    dispatcher = build_dispatcher()

    async def act(frontend, connection):
        del frontend
        connection.send(encode_calls(1))
        await asyncio.sleep(pause)
        connection.send(encode_calls(2))
        for _ in range(2):
            await connection.receive(TIMEOUT)
        first, second = dispatcher.calls
        between = (second.deadline - first.deadline).seconds
        assert abs(between - pause) < 0.1

    asyncio.run(run_scenario(dispatcher, act))


def test_a_pipelined_request_whose_time_is_over_is_not_run():
    """Guards against work for which nobody waits any more."""
    dispatcher = build_dispatcher()

    async def act(frontend, connection):
        del frontend
        connection.send(encode_calls(1, 2))
        statuses = [(await connection.receive(TIMEOUT)).status for _ in "12"]
        assert statuses == [200, 504]
        assert [call.request_id for call in dispatcher.calls] == ["r-1"]

    asyncio.run(run_scenario(dispatcher, act, timeout_ms=250.0))


def test_a_refused_request_does_not_disturb_its_neighbours():
    """Guards against one refusal that ends the requests behind it."""

    def answer(call):
        if call.request_id == "r-2":
            raise exceptions.RefusedError(
                enumerations.ErrorKind.OVERLOADED, "no slot in time"
            )
        return call.request_id.encode()

    async def act(frontend, connection):
        del frontend
        connection.send(encode_calls(1, 2, 3))
        statuses = [(await connection.receive(TIMEOUT)).status for _ in "123"]
        assert statuses == [200, 503, 200]

    asyncio.run(run_scenario(build_dispatcher(answer), act, timeout_ms=3000.0))


def test_an_answer_that_closes_arrives_whole_before_later_requests():
    """Guards against a reset that destroys the last answer.

    Bytes that arrive after a socket is closed reset its connection, and the
    caller then loses an answer that it has not read yet.
    """
    large = b"x" * 200_000
    dispatcher = build_dispatcher(lambda call: large)

    async def read_all(loop, caller):
        received = b""
        while data := await loop.sock_recv(caller, 65536):
            received += data
        return received

    async def scenario():
        route = builders.build_route("meter")
        loop = asyncio.get_running_loop()
        async with builders.run_frontend(dispatcher, route) as (frontend, port):
            with socket.create_connection((builders.LOOPBACK, port)) as caller:
                caller.setblocking(False)
                await loop.sock_sendall(caller, encode_calls(1))
                await asyncio.sleep(0.1)
                frontend.is_leaving = True
                await asyncio.sleep(DELAY.seconds)
                # The caller has not read the answer when it sends more.
                await loop.sock_sendall(caller, encode_calls(2, 3))
                await asyncio.sleep(0.1)
                received = await asyncio.wait_for(read_all(loop, caller), 3.0)
            assert received.endswith(large)
            assert b"connection: close" in received.lower()
            assert [call.request_id for call in dispatcher.calls] == ["r-1"]

    asyncio.run(scenario())


def test_requests_behind_a_slow_one_are_held_in_bounded_memory():
    """Guards against a caller that fills the memory of the node."""
    dispatcher = build_dispatcher()
    request = builders.encode_call("/" + "x" * 1000)

    async def act(frontend, connection):
        del frontend
        for _ in range(20_000):
            connection.send(request)
        await asyncio.sleep(DELAY.seconds / 2)
        # What the node does not read stays with the caller.
        assert not connection.stream.is_flushed

    asyncio.run(run_scenario(dispatcher, act, timeout_ms=3000.0))
