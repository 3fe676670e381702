"""Connections of callers before a stand-in of what runs their requests."""

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.sidecar import front as fronts
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

WAIT = clock.Milliseconds(2000)
LARGE = b"x" * (8 * 1024 * 1024)


async def connect(port):
    stream = await streams.open_stream(builders.LOOPBACK, port, WAIT)
    return http_client.HttpConnection(stream)


def test_an_unexpected_failure_is_an_answer():
    """Guards against a connection that ends without a word."""

    def fail(call):
        raise ZeroDivisionError(call.request_id)

    async def play():
        dispatcher = builders.DispatcherStandin(fail)
        route = builders.build_route("meter")
        async with builders.run_front(dispatcher, route) as (_, port):
            connection = await connect(port)
            for number in range(2):
                connection.send(builders.encode_call())
                answer = await connection.receive(WAIT)
                assert answer.status == 500, number
            connection.close()

    asyncio.run(play())


def test_a_caller_that_does_not_read_is_cut_off(monkeypatch):
    """Guards against memory held for callers that have stopped reading."""
    monkeypatch.setattr(fronts, "_WRITE_WAIT", clock.Milliseconds(300))

    async def play():
        dispatcher = builders.DispatcherStandin(lambda call: LARGE)
        route = builders.build_route("meter")
        async with builders.run_front(dispatcher, route) as (front, port):
            reader, writer = await asyncio.open_connection(
                builders.LOOPBACK, port, limit=1024
            )
            writer.write(builders.encode_call())

            async def is_served():
                return bool(dispatcher.calls)

            async def is_cut_off():
                return not front.connections

            await builders.wait_for(is_served, "served")
            # Others are answered while this caller does not read.
            other = await connect(port)
            other.send(builders.encode_call())
            answer = await other.receive(WAIT)
            assert len(answer.body) == len(LARGE)
            other.close()
            await builders.wait_for(is_cut_off, "cut off")
            writer.close()
            del reader

    asyncio.run(play())


def test_a_request_that_crosses_the_close_is_not_run():
    """Guards against requests that run and whose answer nobody gets."""

    async def play():
        dispatcher = builders.DispatcherStandin(lambda call: b"whole")
        route = builders.build_route("meter")
        async with builders.run_front(dispatcher, route) as (front, port):
            front.is_leaving = True
            reader, writer = await asyncio.open_connection(
                builders.LOOPBACK, port
            )
            writer.write(
                builders.encode_call("/1", "r-1")
                + builders.encode_call("/2", "r-2")
            )
            received = await asyncio.wait_for(reader.read(), WAIT.seconds)
            writer.close()
            assert received.count(b"HTTP/1.1") == 1
            assert b"connection: close" in received.lower()
            assert [call.request_id for call in dispatcher.calls] == ["r-1"]

    asyncio.run(play())


def test_a_request_that_has_begun_to_come_is_answered_by_a_leaving_node():
    """Guards against requests cut in the middle by a graceful stop."""

    async def play():
        dispatcher = builders.DispatcherStandin(lambda call: b"whole")
        route = builders.build_route("meter")
        async with builders.run_front(dispatcher, route) as (front, port):
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
                return front.busy_connections == 1 and front.connections == 2

            await builders.wait_for(has_begun, "begun")
            front.is_leaving = True
            front.close_idle()
            assert await asyncio.wait_for(idle_reader.read(), 2) == b""
            writer.write(data[20:])
            received = await asyncio.wait_for(reader.read(), WAIT.seconds)
            assert received.endswith(b"whole")
            writer.close()
            idle_writer.close()

    asyncio.run(play())


def test_what_a_full_part_of_a_split_refuses_is_not_moved():
    """Guards against shares that stray from their weights under load."""

    def refuse_first(call):
        if call.service == "first":
            raise exceptions.RefusedError(
                enumerations.ErrorKind.OVERLOADED, "no slot in time"
            )
        return b"whole"

    async def play():
        dispatcher = builders.DispatcherStandin(refuse_first)
        route = builders.build_route("first", "second")
        async with builders.run_front(dispatcher, route) as (_, port):
            connection = await connect(port)
            statuses = []
            for number in range(20):
                connection.send(builders.encode_call("/1", f"r-{number}"))
                answer = await connection.receive(WAIT)
                statuses.append(answer.status)
            connection.close()
            assert statuses.count(503) == 10
            assert statuses.count(200) == 10
            services = [call.service for call in dispatcher.calls]
            assert services.count("first") == services.count("second") == 10

    asyncio.run(play())
