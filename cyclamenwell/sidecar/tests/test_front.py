"""Answers of the front when a part behind it fails."""

import asyncio
import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.configuration import published
from cyclamenwell.configuration.tests import published_builders
from cyclamenwell.generated import deployment
from cyclamenwell.generated import sidecar
from cyclamenwell.platform import names
from cyclamenwell.sidecar import figures
from cyclamenwell.sidecar import front as fronts
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import parts
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders

encoding = builders.encoding


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenDispatcher:
    """A dispatcher with a fault of its own."""

    async def run(self, call):
        """Fail."""
        raise ZeroDivisionError(call.request_id)


def test_an_unexpected_failure_is_an_answer():
    """Guards against a connection that ends without a word."""

    async def play():
        time = clock.SystemClock()
        log = builders.build_log()
        state = published.PublishedState(time, clock.Milliseconds(2000))
        route = deployment.Route(
            name="read",
            host="meters.example",
            prefix="/",
            timeout_ms=1000.0,
            objective_ms=500.0,
            services=(deployment.WeightedService("meter", 1.0),),
        )
        state.apply_operators(
            published_builders.list_all(
                1, published_builders.build_configuration(1, 1, routes=(route,))
            )
        )
        state.apply_targets(
            published_builders.list_all(
                1, published_builders.build_target("i-1", 1)
            )
        )
        node = parts.Parts(
            settings=sidecar.SidecarSettings(host=builders.LOOPBACK),
            time=time,
            log=log,
            figures=figures.Figures(),
            state=state,
            executor=None,
            dispatcher=BrokenDispatcher(),
            shares=None,
            spread=None,
        )
        front = fronts.Front(node, random.Random(1))
        front.follow_state()
        listener = streams.Listener(builders.LOOPBACK, 0, front.serve, log)
        wait = clock.Milliseconds(2000)
        stream = await streams.open_stream(
            builders.LOOPBACK, listener.port, wait
        )
        connection = http_client.HttpConnection(stream)
        for number in range(2):
            connection.send(
                encoding.encode_request(
                    "GET",
                    "/1",
                    [("host", "meters.example"), (names.REQUEST_ID, "r")],
                    b"",
                )
            )
            answer = await connection.receive(wait)
            assert answer.status == 500, number
        connection.close()
        listener.close()

    asyncio.run(play())
