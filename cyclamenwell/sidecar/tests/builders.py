"""Builders of sidecar nodes with stand-ins around them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import published
from cyclamenwell.configuration.tests import published_builders
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.generated import sidecar
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.platform import names
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.platform.tests import store_standin
from cyclamenwell.platform.tests import target_standin
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import figures
from cyclamenwell.sidecar import front as fronts
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import parts
from cyclamenwell.sidecar import streams
from cyclamenwell.telemetry import journal

LOOPBACK = "127.0.0.1"
CALLER_PORT = 18548
READY_PORT = 18546
PEER_PORT = 17000
METRICS_PORT = 17015
TARGET_PORT = 18547
_WAIT = clock.Milliseconds(8000)
_STEP = 0.02
_FLEET_NUMBERS = itertools.count(1)


def build_log() -> journal.Journal:
    """Return a log whose lines nobody reads."""
    return journal.Journal(
        "test", clock.SystemClock(), os.open(os.devnull, os.O_WRONLY)
    )


def build_offer(**changes) -> deployment.Offer:
    """Return the offer of a request that may run once."""
    values = {
        "request_id": "r-1",
        "service": "meter",
        "target_id": "i-1",
        "kind": enumerations.RequestKind.NON_IDEMPOTENT,
        "remaining_ms": 5000.0,
        "max_wait_ms": 200.0,
        "caller_service": "desk",
    }
    return deployment.Offer(**(values | changes))


def build_request(**changes) -> deployment.ForwardedRequest:
    """Return a request as the entry node forwards it."""
    values = {
        "method": "POST",
        "path": "/pay/1",
        "headers": (httpfields.Header("host", "meters.example"),),
        "body": b"x",
    }
    return deployment.ForwardedRequest(**(values | changes))


@contextlib.asynccontextmanager
async def run_executor(
    **entry,
) -> AsyncIterator[tuple[executors.Executor, target_standin.DialectTarget]]:
    """Run an executor beside a target that has been published."""
    log = build_log()
    time = clock.SystemClock()
    target = target_standin.DialectTarget("i-1", log)
    await target.start(LOOPBACK)
    state = published.PublishedState(time, clock.Milliseconds(2000))
    settings = sidecar.SidecarSettings(
        host=LOOPBACK,
        service="desk",
        target_address=sidecar.SocketAddress(LOOPBACK, target.port),
    )
    executor = executors.Executor(
        contexts.NodeContext(
            settings, time, state, random.Random(1), log, figures.Figures()
        )
    )
    state.apply_operators(
        published_builders.list_all(
            1,
            published_builders.build_configuration(
                1,
                1,
                services=(
                    deployment.ServiceInfo(
                        "meter", "/health", 100, 3000.0, 10.0
                    ),
                ),
            ),
        )
    )
    state.apply_targets(
        published_builders.list_all(
            1,
            published_builders.build_target(
                "i-1", 1, host=LOOPBACK, port=target.port, **entry
            ),
        )
    )
    health = asyncio.create_task(executor.follow_health())
    executor.follow_state()
    try:
        yield executor, target
    finally:
        health.cancel()
        target.stop()


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherStandin:
    """A dispatcher that answers as a function says and keeps the calls.

    Parameters
    ----------
    answer : callable
        Returns the body of an answer to a call, or raises.
    calls : list of dispatchers.RoutedCall
        Calls so far.
    """

    answer: Callable[[dispatchers.RoutedCall], bytes]
    calls: list[dispatchers.RoutedCall] = dataclasses.field(
        default_factory=list
    )

    async def run(self, call: dispatchers.RoutedCall) -> deployment.Result:
        """Answer a call."""
        self.calls.append(call)
        body = self.answer(call)
        return deployment.Result(call.request_id, 200, (), body)


def build_route(*services: str, **changes) -> deployment.Route:
    """Return a route to services of the same weight."""
    values = {
        "name": "read",
        "host": "meters.example",
        "prefix": "/",
        "timeout_ms": 1000.0,
        "objective_ms": 500.0,
        "services": tuple(
            deployment.WeightedService(service, 1.0) for service in services
        ),
    }
    return deployment.Route(**(values | changes))


def encode_call(path: str = "/1", request_id: str = "r") -> bytes:
    """Return a caller's request."""
    fields = [("host", "meters.example"), (names.REQUEST_ID, request_id)]
    return encoding.encode_request("GET", path, fields, b"")


@contextlib.asynccontextmanager
async def run_front(
    dispatcher: DispatcherStandin, route: deployment.Route
) -> AsyncIterator[tuple[fronts.Front, int]]:
    """Run a front before a stand-in of the dispatcher; yield its port too."""
    time = clock.SystemClock()
    log = build_log()
    state = published.PublishedState(time, clock.Milliseconds(2000))
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
        settings=sidecar.SidecarSettings(host=LOOPBACK),
        time=time,
        state=state,
        generator=random.Random(1),
        log=log,
        figures=figures.Figures(),
        executor=None,
        dispatcher=dispatcher,
        shares=None,
        spread=None,
    )
    front = fronts.Front(node)
    front.follow_state()
    listener = streams.Listener(LOOPBACK, 0, front.serve, log)
    try:
        yield front, listener.port
    finally:
        listener.close()


@dataclasses.dataclass(slots=True)
class Machine:
    """A node process with the target beside it."""

    host: str
    settings_path: pathlib.Path
    target: target_standin.DialectTarget
    process: subprocess.Popen | None = None

    def start(self, output: pathlib.Path) -> None:
        """Start the node."""
        with output.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cyclamenwell.sidecar"],
                env=os.environ
                | {names.SETTINGS_VARIABLE: str(self.settings_path)},
                stdout=file,
                stderr=subprocess.STDOUT,
            )

    def stop(self) -> None:
        """Kill the node if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Fleet:
    """Node processes on loopback addresses, one for each target.

    Parameters
    ----------
    folder : pathlib.Path
        Takes settings and logs.
    services : tuple of str
        Service of the target on each machine.
    """

    def __init__(self, folder: pathlib.Path, services: tuple[str, ...]) -> None:
        self._folder = folder
        self._services = services
        self._log = build_log()
        # Addresses of their own keep fleets of several test runs apart.
        number = next(_FLEET_NUMBERS)
        self._network = f"127.{64 + os.getpid() % 128}.{number}"
        self.store = store_standin.StoreStandin(self._log, page_size=2)
        self.machines: list[Machine] = []

    @property
    def log_path(self) -> pathlib.Path:
        """File with the logs of all nodes."""
        return self._folder / "nodes.log"

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[Fleet]:
        """Run store, targets and nodes."""
        await self.store.start(LOOPBACK)
        self.store.put("servers/i-bad", b"\xff no entry")
        for index, service in enumerate(self._services, 1):
            await self._add_machine(index, service)
        try:
            for machine in self.machines:
                machine.start(self.log_path)
            yield self
        finally:
            for machine in self.machines:
                machine.stop()
                machine.target.stop()
            self.store.stop()

    def publish(self, version: str = "0000000c", **changes) -> None:
        """Publish a configuration."""
        self.store.put(
            "op/config",
            platform_builders.build_configuration_value(version, **changes),
        )

    def publish_target(self, machine: Machine, **status) -> None:
        """Publish what a target says of itself."""
        index = self.machines.index(machine)
        self.store.put(
            f"servers/{machine.target.target_id}",
            platform_builders.build_target_value(
                address=f"{machine.host}:{TARGET_PORT}",
                info={
                    "service": self._services[index],
                    "version": "v1",
                    "zone": "a",
                    "slots": 20,
                },
                status={"state": "ready", "seq": 1, "cold_remaining_ms": 0}
                | status,
            ),
        )

    async def ask(
        self,
        machine: Machine,
        method: str = "GET",
        path: str = "/read/1",
        request_id: str = "r-1",
        body: bytes = b"",
        **fields: str,
    ) -> calls.HttpAnswer:
        """Send a caller's request to the node of a machine."""
        data = self._encode(method, path, request_id, body, **fields)
        stream = await streams.open_stream(machine.host, CALLER_PORT, _WAIT)
        return await _exchange(stream, data)

    async def ask_after_connecting(
        self,
        machine: Machine,
        act: Callable[[], None],
        connect_after: list[float],
        send_after: float,
    ) -> list[int]:
        """Act, make connections at times, and send on each some time later.

        Returns
        -------
        list of int
            Status of each answer, 0 if the connection ended without one.
            Refused connections are left out.
        """
        act()
        asked = [
            self._ask_slowly(machine, delay, send_after)
            for delay in connect_after
        ]
        statuses = await asyncio.gather(*asked)
        return [status for status in statuses if status is not None]

    async def _ask_slowly(
        self, machine: Machine, delay: float, send_after: float
    ) -> int | None:
        await asyncio.sleep(delay)
        try:
            stream = await streams.open_stream(machine.host, CALLER_PORT, _WAIT)
        except ConnectionRefusedError:
            return None
        connection = http_client.HttpConnection(stream)
        try:
            await asyncio.sleep(send_after)
            connection.send(self._encode("GET", "/read/1", f"r-{delay}", b""))
            return (await connection.receive(_WAIT)).status
        except (OSError, exceptions.ProtocolError):
            return 0
        finally:
            connection.close()

    async def wait_ready(self, machine: Machine) -> None:
        """Wait until a node says that it is ready.

        Raises
        ------
        AssertionError
            If it does not within some seconds.
        """
        await wait_for(lambda: self.is_ready(machine), "ready")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a node says that it is ready."""
        answer = await self._get(machine, READY_PORT, "/v1/ready")
        return answer is not None and answer.status == 200

    async def read_metrics(self, machine: Machine) -> str:
        """Return the metrics of a node."""
        answer = await self._get(machine, METRICS_PORT, "/metrics")
        return answer.body.decode()

    def _encode(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes,
        **fields: str,
    ) -> bytes:
        """Return a caller's request."""
        return encoding.encode_request(
            method,
            path,
            [
                ("host", "meters.example"),
                (names.REQUEST_ID, request_id),
                (names.DEADLINE_MS, "3000"),
                (names.API_KEY, "k1"),
                *((k.replace("_", "-"), v) for k, v in fields.items()),
            ],
            body,
        )

    async def _get(
        self, machine: Machine, port: int, path: str
    ) -> calls.HttpAnswer | None:
        """Return an answer, or None if nobody listens."""
        data = encoding.encode_request(
            "GET", path, [("host", machine.host)], b""
        )
        try:
            stream = await streams.open_stream(machine.host, port, _WAIT)
        except OSError:
            return None
        return await _exchange(stream, data)

    async def _add_machine(self, index: int, service: str) -> None:
        host = f"{self._network}.{index}"
        target = target_standin.DialectTarget(f"i-{index}", self._log)
        await target.start(host, TARGET_PORT)
        path = self._folder / f"node-{index}.yaml"
        path.write_text(
            f"""
node: sidecar-{index}
service: {service}
ip: {host}
zone: a
region: north
listen: {{outbound: "{host}:{CALLER_PORT}", ready: "{host}:{READY_PORT}"}}
internal_port_range: [{PEER_PORT}, {METRICS_PORT}]
bounds: {{grace_s: 6}}
app_addr: "{host}:{TARGET_PORT}"
provider: {{address: "{LOOPBACK}:{self.store.port}"}}
""",
            "utf-8",
        )
        machine = Machine(host, path, target)
        self.machines.append(machine)
        self.publish_target(machine)


async def _exchange(stream: streams.Stream, data: bytes) -> calls.HttpAnswer:
    """Send a request on a new connection and return its answer."""
    connection = http_client.HttpConnection(stream)
    try:
        connection.send(data)
        return await connection.receive(_WAIT)
    finally:
        connection.close()


async def wait_for(condition, what: str) -> None:
    """Wait until an asynchronous condition holds.

    Raises
    ------
    AssertionError
        If it does not within some seconds.
    """
    time = clock.SystemClock()
    end = time.now() + _WAIT
    while time.now() < end:
        if await condition():
            return
        await asyncio.sleep(_STEP)
    raise AssertionError(f"not {what} within {_WAIT}")
