"""Event loop and streams: wake-ups, timers and failing callbacks."""

import asyncio
import contextlib
import functools
import socket

import pytest

from cyclamenwell import clock
from cyclamenwell.sidecar import event_loops
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

LONG = clock.Milliseconds(20_000)


class CountingClock(clock.TurnClock):
    """A clock that counts the turns of its event loop."""

    turns = 0

    def advance_turn(self):
        super().advance_turn()
        self.turns += 1


def run(work, time=None):
    """Run a coroutine function in an event loop of a sidecar node."""
    time = time or clock.TurnClock()
    with asyncio.Runner(
        loop_factory=functools.partial(event_loops.build_loop, time)
    ) as runner:
        return runner.run(work())


@contextlib.asynccontextmanager
async def open_pair():
    """Yield both ends of a connection."""
    accepted = asyncio.get_running_loop().create_future()

    async def serve(stream):
        accepted.set_result(stream)
        await asyncio.sleep(30)

    listener = streams.Listener(
        builders.LOOPBACK, 0, serve, builders.build_log()
    )
    stream = await streams.open_stream(builders.LOOPBACK, listener.port, LONG)
    other = await accepted
    try:
        yield stream, other
    finally:
        stream.abort()
        other.abort()
        listener.close()


def test_an_idle_connection_causes_no_turns():
    """Guards against a loop that spins on a socket that it still watches.

    `asyncio` watches a socket while it connects and stops with the public
    method that the event loop replaces.
    """
    time = CountingClock()

    async def work():
        async with open_pair():
            before = time.turns
            await asyncio.sleep(0.2)
            return time.turns - before

    assert run(work, time) <= 10


def test_time_advances_between_turns():
    """Guards against deadlines that never come."""
    time = clock.TurnClock()

    async def work():
        before = time.now()
        await asyncio.sleep(0.05)
        return time.now() - before

    assert 45 <= run(work, time).value <= 1000


def test_a_failing_callback_does_not_end_the_loop():
    """Guards against one unexpected error that takes the process down."""
    reported = []

    async def work():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: reported.append(context["exception"])
        )
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            failure = ValueError("broken")

            def fail():
                near.recv(10)
                raise failure

            loop.add_reader(near, fail)
            far.send(b"x")
            async with open_pair() as (stream, other):
                other.send(b"data")
                received = await stream.receive(LONG)
            assert loop.remove_reader(near)
        return received

    assert run(work) == b"data"
    assert [str(error) for error in reported] == ["broken"]


@pytest.mark.parametrize("first", [LONG, clock.Milliseconds(3000)])
def test_a_short_wait_after_a_long_one_ends_in_time(first):
    """Guards against a timer of an earlier wait that hides a deadline."""

    async def work():
        async with open_pair() as (stream, other):
            other.send(b"data")
            assert await stream.receive(first) == b"data"
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            with pytest.raises(TimeoutError):
                await stream.receive(clock.Milliseconds(100))
            return loop.time() - started_at

    assert 0.09 <= run(work) <= 0.5


def test_a_long_wait_after_a_short_one_is_not_cut():
    """Guards against a timer of an earlier wait that ends a later one."""

    async def work():
        async with open_pair() as (stream, other):
            asyncio.get_running_loop().call_later(0.01, other.send, b"a")
            assert await stream.receive(clock.Milliseconds(1200)) == b"a"
            asyncio.get_running_loop().call_later(1.5, other.send, b"b")
            return await stream.receive(clock.Milliseconds(5000))

    assert run(work) == b"b"


def test_closed_connections_leave_no_timers():
    """Guards against streams that stay in memory until their idle time-out."""

    async def work():
        loop = asyncio.get_running_loop()
        for _ in range(5):
            async with open_pair() as (stream, other):
                loop.call_soon(other.send, b"data")
                await stream.receive(LONG)
        return [
            handle
            for handle in loop._scheduled  # There is no public access.
            if not handle.cancelled() and handle.when() > loop.time() + 10
        ]

    # The tasks that serve the five connections sleep meanwhile.
    assert len(run(work)) <= 5
