"""Soak runs of sidecar nodes: real processes under random faults.

Run as ``python -m cyclamenwell.soak.sidecars --seed N``. The exit status is 0
if all checks passed and 1 if a check failed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
import dataclasses
import functools
import pathlib
import random
import re
import signal
import tempfile
from typing import Annotated
from typing import Any

import typer

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.node import encoding
from cyclamenwell.platform import names
from cyclamenwell.platform.tests import builders as platform_builders
from cyclamenwell.platform.tests import fake_target
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar.tests import builders
from cyclamenwell.soak import sidecar_checks as checks
from cyclamenwell.soak import sidecar_history as histories
from cyclamenwell.soak import sidecar_plans as plans

__all__ = ["SoakRun", "run", "run_plan"]

_GRACE = clock.Milliseconds(6000)  # As in the settings of the nodes.
_RECOVERY = clock.Milliseconds(6000)
_RECOVERED_DURATION = clock.Milliseconds(4000)
# What a returned store has lost is written again after this time.
_REWRITE_DELAY = clock.Milliseconds(300)
_CALLERS_PER_NODE = 3
_CALLER_PAUSE_MS = (20.0, 200.0)  # Between two requests of a caller.
_SERVICE_TIME = clock.Milliseconds(20)
_CONNECT_TIMEOUT = clock.Milliseconds(1000)
# A caller without an answer gives up this long after its deadline.
_ANSWER_TIMEOUT = checks.CALL_DEADLINE + clock.Milliseconds(1500)
_NEW_CONNECTION_PROBABILITY = 0.2
_ROUTES = (
    ("GET", "/read/", True),
    ("POST", "/pay/", False),
    ("POST", "/read/open/", False),
)
_UNLIMITED_KEY = "k3"  # Its organisation has no rate limit.
_LOGGED_REQUEST = re.compile(r'"request":"([^"]+)"')
_MONITOR_INTERVAL = clock.Milliseconds(50)


class SoakRun:
    """A soak run and its records.

    Parameters
    ----------
    plan : plans.SidecarPlan
        Services, faults and their seed.
    fleet : builders.Fleet
        Nodes with their targets and the store.
    """

    def __init__(self, plan: plans.SidecarPlan, fleet: builders.Fleet) -> None:
        self.plan = plan
        self.fleet = fleet
        self.time = clock.SystemClock()
        self.calls: list[histories.CallSeen] = []
        self.faults: list[histories.FaultSeen] = []
        self.stops: list[histories.StopSeen] = []
        self.down: set[int] = set()  # Nodes whose process a fault has ended.
        self.leaving: set[int] = set()  # Nodes whose target is leaving.
        self.version = 12
        self._random = random.Random(plan.seed)
        self._is_finished = False
        self._request_count = 0

    async def execute(self) -> histories.SidecarHistory:
        """Generate load, inject the faults and return the records."""
        self.publish()
        for machine in self.fleet.machines:
            machine.target.service_time = _SERVICE_TIME
            await self.fleet.wait_ready(machine)
        # Targets count as cold until their health endpoints have been probed.
        await asyncio.sleep(1.0)
        callers = [
            asyncio.create_task(self._call_node(node))
            for node in range(len(self.fleet.machines))
            for _ in range(_CALLERS_PER_NODE)
        ]
        monitor = asyncio.create_task(self._watch_processes())
        start = self.time.now()
        async with asyncio.TaskGroup() as group:
            for fault in self.plan.faults:
                wait = start + fault.at - self.time.now()
                await asyncio.sleep(max(wait.seconds, 0.0))
                group.create_task(_inject(fault, self))
        calm_from = self.time.now() + _RECOVERY
        await asyncio.sleep((_RECOVERY + _RECOVERED_DURATION).seconds)
        self._is_finished = True
        await asyncio.gather(*callers)
        monitor.cancel()
        return histories.SidecarHistory(
            tuple(self._mark_unread()),
            tuple(self._list_runs()),
            tuple(self.faults),
            tuple(self.stops),
            self.plan.services,
            _GRACE,
            calm_from,
        )

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self.fleet.publish(
            f"{self.version:08x}",
            services=platform_builders.build_services(
                sorted(set(self.plan.services)), checks.COLD_PER_SECOND
            ),
        )

    async def record_fault(
        self, kind: str, node: int, duration: clock.Milliseconds
    ) -> None:
        """Wait for the duration of a fault and record it."""
        begin = self.time.now()
        await asyncio.sleep(duration.seconds)
        self.faults.append(
            histories.FaultSeen(kind, node, begin, self.time.now())
        )

    async def _call_node(self, node: int) -> None:
        """Send requests to a node until the run ends."""
        connection: http_client.HttpConnection | None = None
        while not self._is_finished:
            pause = clock.Milliseconds(self._random.uniform(*_CALLER_PAUSE_MS))
            await asyncio.sleep(pause.seconds)
            if (
                connection is not None
                and self._random.random() < _NEW_CONNECTION_PROBABILITY
            ):
                connection.close()
                connection = None
            connection = await self._call(node, connection)
        if connection is not None:
            connection.close()

    async def _call(
        self, node: int, connection: http_client.HttpConnection | None
    ) -> http_client.HttpConnection | None:
        """Send one request; return the connection if it is reusable."""
        method, prefix, may_repeat = self._random.choice(_ROUTES)
        self._request_count += 1
        request_id = f"s-{self.plan.seed}-{self._request_count}"
        fields: dict[str, Any] = {
            "request_id": request_id,
            "path": prefix + request_id,
            "may_repeat": may_repeat,
            "node": node,
        }
        host = self.fleet.machines[node].host
        data = encoding.encode_request(
            method,
            prefix + request_id,
            [
                ("host", "meters.example"),
                (names.REQUEST_ID, request_id),
                (names.DEADLINE_MS, str(int(checks.CALL_DEADLINE.value))),
                (names.API_KEY, _UNLIMITED_KEY),
            ],
            b"" if may_repeat else b"x" * 200,
        )
        is_reused = connection is not None and connection.is_reusable
        sent = self.time.now()
        try:
            if not is_reused:
                stream = await streams.open_stream(
                    host, builders.CALLER_PORT, _CONNECT_TIMEOUT
                )
                connection = http_client.HttpConnection(stream)
        except OSError:
            # No process listens on the port, or the node is paused.
            self._record_call(fields, sent, is_unread=True)
            return None
        try:
            connection.send(data)
            answer = await connection.receive(_ANSWER_TIMEOUT)
        except (OSError, exceptions.ProtocolError):
            connection.close()
            self._record_call(fields, sent)
            return None
        self._record_call(
            fields,
            sent,
            status=answer.status,
            body=answer.body,
        )
        if connection.is_reusable:
            return connection
        connection.close()
        return None

    def _record_call(
        self, fields: dict[str, Any], sent: clock.Milliseconds, **values: Any
    ) -> None:
        self.calls.append(
            histories.CallSeen(
                **fields, sent=sent, ended=self.time.now(), **values
            )
        )

    async def _watch_processes(self) -> None:
        """Record and restart processes that exit without a signal."""
        while True:
            await asyncio.sleep(_MONITOR_INTERVAL.seconds)
            for node, machine in enumerate(self.fleet.machines):
                code = machine.process.poll()
                if code is None or node in self.down:
                    continue
                self.stops.append(
                    histories.StopSeen(node, None, self.time.now(), code)
                )
                machine.start(self.fleet.log_path)

    def _mark_unread(self) -> Iterator[histories.CallSeen]:
        """Mark the requests without an answer that no node has read.

        Nodes log every request that they have read, and at the rates of a run
        they omit no log lines. The kernel resets a connection that is opened
        while a node closes its listening socket.
        """
        logged = set(
            _LOGGED_REQUEST.findall(self.fleet.log_path.read_text("utf-8"))
        )
        for call in self.calls:
            # A request without an answer by its deadline is late, not cut.
            is_cut = not call.status and call.ended - call.sent < (
                checks.CALL_DEADLINE
            )
            if is_cut and call.request_id not in logged:
                call = dataclasses.replace(call, is_unread=True)
            yield call

    def _list_runs(self) -> list[histories.RunSeen]:
        return [
            histories.RunSeen(
                run.request.find_header(names.REQUEST_ID),
                run.request.path,
                run.request.find_header(names.CALLER_SERVICE),
                index,
                run.begun,
            )
            for index, machine in enumerate(self.fleet.machines)
            for run in machine.target.runs
        ]


@functools.singledispatch
def _inject(fault: Any, run: SoakRun) -> Coroutine[Any, Any, None]:
    """Inject a fault and wait until it is over.

    Raises
    ------
    NotImplementedError
        If the kind of fault has no registered implementation.
    """
    raise NotImplementedError(type(fault).__name__)


@_inject.register
async def _(fault: plans.KillNode, run: SoakRun) -> None:
    if fault.node in run.down:
        return
    run.down.add(fault.node)
    machine = run.fleet.machines[fault.node]
    machine.stop()
    await run.record_fault("kill", fault.node, fault.down)
    machine.start(run.fleet.log_path)
    run.down.discard(fault.node)


@_inject.register
async def _(fault: plans.StopNode, run: SoakRun) -> None:
    if fault.node in run.down:
        return
    run.down.add(fault.node)
    machine = run.fleet.machines[fault.node]
    was_ready = await run.fleet.is_ready(machine)
    term_sent = run.time.now()
    machine.process.send_signal(signal.SIGTERM)
    while (
        machine.process.poll() is None
        and run.time.now() < term_sent + _GRACE * 1.5
    ):
        await asyncio.sleep(0.01)
    ended = run.time.now()
    machine.stop()
    run.stops.append(
        histories.StopSeen(
            fault.node, term_sent, ended, machine.process.returncode, was_ready
        )
    )
    await run.record_fault("stop", fault.node, fault.down)
    machine.start(run.fleet.log_path)
    run.down.discard(fault.node)


@_inject.register
async def _(fault: plans.PauseNode, run: SoakRun) -> None:
    process = run.fleet.machines[fault.node].process
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await run.record_fault("pause", fault.node, fault.duration)
    process.send_signal(signal.SIGCONT)


@_inject.register
async def _(fault: plans.StoreTrouble, run: SoakRun) -> None:
    run.fleet.store.mode = fault.mode
    await run.record_fault("store", -1, fault.duration)
    run.fleet.store.mode = "up"


@_inject.register
async def _(fault: plans.ForgetHistory, run: SoakRun) -> None:
    run.fleet.store.forget_history()


@_inject.register
async def _(fault: plans.CutWatches, run: SoakRun) -> None:
    run.fleet.store.cut_waiting()


@_inject.register
async def _(fault: plans.RestoreStore, run: SoakRun) -> None:
    store = run.fleet.store
    copy, era = store.take_copy(), store.era
    await asyncio.sleep(fault.copy_age.seconds)
    if store.era != era:
        return  # It has returned from another copy meanwhile.
    store.mode = "losing"
    store.cut_waiting()
    await run.record_fault("store", -1, fault.away)
    store.restore(copy, era=str(int(era) + 1))
    store.mode = "up"
    await asyncio.sleep(_REWRITE_DELAY.seconds)
    run.publish()
    for node, machine in enumerate(run.fleet.machines):
        status = platform_builders.SERVING_STATUS
        if node in run.leaving:
            status = platform_builders.LEAVING_STATUS
        run.fleet.publish_target(machine, **status)


@_inject.register
async def _(fault: plans.SpoilAnswers, run: SoakRun) -> None:
    target = run.fleet.machines[fault.node].target
    target.inject_faults(fake_target.Fault(fault.kind, fault.times))


@_inject.register
async def _(fault: plans.LeaveTarget, run: SoakRun) -> None:
    if fault.node in run.leaving:
        return
    run.leaving.add(fault.node)
    machine = run.fleet.machines[fault.node]
    run.fleet.publish_target(machine, **platform_builders.LEAVING_STATUS)
    await run.record_fault("leave", fault.node, fault.duration)
    run.fleet.publish_target(machine, **platform_builders.SERVING_STATUS)
    run.leaving.discard(fault.node)


@_inject.register
async def _(fault: plans.RestartTarget, run: SoakRun) -> None:
    target = run.fleet.machines[fault.node].target
    target.restart(fault.cold)
    await run.record_fault("cold", fault.node, fault.cold)


@_inject.register
async def _(fault: plans.Publish, run: SoakRun) -> None:
    run.publish()


async def run_plan(
    plan: plans.SidecarPlan, folder: pathlib.Path
) -> histories.SidecarHistory:
    """Carry out a plan; the processes keep their files in a folder."""
    fleet = builders.Fleet(folder, plan.services)
    async with fleet.run():
        return await SoakRun(plan, fleet).execute()


def soak(
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    duration: Annotated[
        float, typer.Option(help="Seconds in which faults begin.", min=2.0)
    ] = 30.0,
    nodes: Annotated[
        int, typer.Option(help="Number of nodes.", min=4, max=40)
    ] = 7,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Directory for the logs.")
    ] = None,
) -> None:
    """Run sidecar nodes under random faults and check the invariants."""
    plan = plans.build_plan(
        seed, clock.Milliseconds.from_seconds(duration), nodes
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = output or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        history = asyncio.run(run_plan(plan, folder))
    typer.echo(
        f"seed {seed}: {len(history.calls)} requests, {len(history.runs)} "
        f"runs, {len(plan.faults)} faults"
    )
    results = checks.run_checks(history)
    for result in results:
        typer.echo(
            f"{result.name}: {result.examined} looked at, "
            f"{len(result.violations)} violations"
        )
        for violation in result.violations[:5]:
            typer.echo(f"    {violation}")
    if any(result.violations for result in results):
        raise typer.Exit(1)


def run() -> None:
    """Run the command line program."""
    typer.run(soak)


if __name__ == "__main__":
    run()
