"""Tests of the frontend with a stand-in for the dispatcher."""

import asyncio

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import frontend as frontends
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

Kind = enumerations.ErrorKind
TIMEOUT = clock.Milliseconds(2000)
LARGE = b"x" * (8 * 1024 * 1024)


async def connect(port):
    stream = await streams.open_stream(builders.LOOPBACK, port, TIMEOUT)
    return http_client.HttpConnection(stream)


def test_an_unexpected_failure_is_answered():
    """Guards against closing a connection without an answer."""

    def fail(call):
        raise ZeroDivisionError(call.request_id)

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(fail)
        route = builders.build_route("meter")
        async with builders.run_frontend(dispatcher, route) as (_, port):
            connection = await connect(port)
            for number in range(2):
                connection.send(builders.encode_call())
                answer = await connection.receive(TIMEOUT)
                assert answer.status == 500, number
            connection.close()

    asyncio.run(run_scenario())


def test_refused_nested_calls_are_reported_to_the_executor():
    """Guards against a target that begins work which can not be finished."""

    def refuse(call):
        raise exceptions.RefusedError(Kind.OVERLOADED, "no slot in time")

    async def run_scenario(**configuration):
        executor = builders.ExecutorStandin()
        route = builders.build_route("meter", is_public=True)
        async with builders.run_frontend(
            builders.DispatcherStandin(refuse),
            route,
            executor=executor,
            **configuration,
        ) as (_, port):
            connection = await connect(port)
            connection.send(builders.encode_call())
            answer = await connection.receive(TIMEOUT)
            assert answer.status == 503
            connection.close()
        return executor.refused_calls

    assert asyncio.run(run_scenario(needs_keys=True)) == [Kind.OVERLOADED]
    # Without keys, requests of callers can not be told from nested calls.
    assert asyncio.run(run_scenario(needs_keys=False)) == []


def test_a_caller_that_does_not_read_is_disconnected(monkeypatch):
    """Guards against memory held by callers that stop reading."""
    monkeypatch.setattr(frontends, "_WRITE_TIMEOUT", clock.Milliseconds(300))

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(lambda call: LARGE)
        route = builders.build_route("meter")
        async with builders.run_frontend(dispatcher, route) as (frontend, port):
            reader, writer = await asyncio.open_connection(
                builders.LOOPBACK, port, limit=1024
            )
            writer.write(builders.encode_call())

            async def is_served():
                return bool(dispatcher.calls)

            async def is_disconnected():
                return not frontend.connections

            await builders.wait_for(is_served, "served")
            # Other callers are answered while this one does not read.
            other = await connect(port)
            other.send(builders.encode_call())
            answer = await other.receive(TIMEOUT)
            assert len(answer.body) == len(LARGE)
            other.close()
            await builders.wait_for(is_disconnected, "disconnected")
            writer.close()
            del reader

    asyncio.run(run_scenario())


def test_a_request_after_the_last_answer_is_not_run():
    """Guards against running a request whose answer cannot be sent.

    The second request arrives on a connection that closes after the first.
    """

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(lambda call: b"whole")
        route = builders.build_route("meter")
        async with builders.run_frontend(dispatcher, route) as (frontend, port):
            frontend.is_leaving = True
            reader, writer = await asyncio.open_connection(
                builders.LOOPBACK, port
            )
            writer.write(
                builders.encode_call("/1", "r-1")
                + builders.encode_call("/2", "r-2")
            )
            received = await asyncio.wait_for(reader.read(), TIMEOUT.seconds)
            writer.close()
            assert received.count(b"HTTP/1.1") == 1
            assert b"connection: close" in received.lower()
            assert [call.request_id for call in dispatcher.calls] == ["r-1"]

    asyncio.run(run_scenario())


def test_a_partly_received_request_is_answered_by_a_leaving_node():
    """Guards against a graceful stop that cuts off partly sent requests."""

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(lambda call: b"whole")
        route = builders.build_route("meter")
        async with builders.run_frontend(dispatcher, route) as (frontend, port):
            reader, writer = await asyncio.open_connection(
                builders.LOOPBACK, port
            )
            idle_reader, idle_writer = await asyncio.open_connection(
                builders.LOOPBACK, port
            )
            data = builders.encode_call()
            idle_writer.write(data)
            assert await idle_reader.readuntil(b"whole")
            writer.write(data[:20])

            async def has_begun():
                return (
                    frontend.busy_connections == 1 and frontend.connections == 2
                )

            await builders.wait_for(has_begun, "begun")
            frontend.is_leaving = True
            frontend.close_idle()
            assert await asyncio.wait_for(idle_reader.read(), 2) == b""
            writer.write(data[20:])
            received = await asyncio.wait_for(reader.read(), TIMEOUT.seconds)
            assert received.endswith(b"whole")
            writer.close()
            idle_writer.close()

    asyncio.run(run_scenario())


def test_refusals_of_a_split_service_are_not_moved_to_another():
    """Guards against a traffic split that deviates from its weights.

    Under load one service of the split refuses; moving its requests to the
    other one would change the proportions.
    """

    def refuse_first(call):
        if call.service == "first":
            raise exceptions.RefusedError(
                enumerations.ErrorKind.OVERLOADED, "no slot in time"
            )
        return b"whole"

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(refuse_first)
        route = builders.build_route("first", "second")
        async with builders.run_frontend(dispatcher, route) as (_, port):
            connection = await connect(port)
            statuses = []
            for number in range(20):
                connection.send(builders.encode_call("/1", f"r-{number}"))
                answer = await connection.receive(TIMEOUT)
                statuses.append(answer.status)
            connection.close()
            assert statuses.count(503) == 10
            assert statuses.count(200) == 10
            services = [call.service for call in dispatcher.calls]
            assert services.count("first") == services.count("second") == 10

    asyncio.run(run_scenario())


async def send_slowly(port, first):
    """Send some bytes, then one byte every 50 ms; return the time it lasts."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    stream = await streams.open_stream(builders.LOOPBACK, port, TIMEOUT)
    try:
        stream.send(first)
        while loop.time() - started_at < 3:
            stream.send(b"x")
            try:
                if await stream.receive(clock.Milliseconds(50)):
                    break
            except TimeoutError:
                continue
    except ConnectionResetError:
        pass
    finally:
        stream.abort()
    return loop.time() - started_at


@pytest.mark.parametrize(
    "first",
    [
        b"GET /1 HTTP/1.1\r\nhost: meters.example\r\nx-name: ",
        b"POST /1 HTTP/1.1\r\nhost: meters.example\r\n"
        b"content-length: 999\r\n\r\n",
    ],
    ids=["head", "body"],
)
def test_a_request_that_arrives_byte_by_byte_ends_in_time(monkeypatch, first):
    """Guards against callers that hold a connection with a byte now and then.

    Each byte would start the time limit anew.
    """
    monkeypatch.setattr(frontends, "_BODY_TIMEOUT", clock.Milliseconds(400))

    async def run_scenario():
        dispatcher = builders.DispatcherStandin(lambda call: b"")
        route = builders.build_route("meter")
        limits = deployment.ClientLimits(header_timeout_ms=400.0)
        async with builders.run_frontend(dispatcher, route, limits) as (
            _,
            port,
        ):
            assert await send_slowly(port, first) < 1.5
            assert not dispatcher.calls

    asyncio.run(run_scenario())
