"""A planned stop cuts requests that it has accepted late, and that run long."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_CLIENTS_PER_MACHINE = 24
_WARM_SECONDS = 3.0
_STOPS = 3
_PAUSE_SECONDS = 8.0
_RESTART_SECONDS = 0.5
_USUAL_SECONDS = 0.05
_LONG_SECONDS = 2.5
_LONG_PART = 0.07
_DEADLINE_MS = 6000
# Requests that are sent up to this time after the SIGTERM are not counted.
_EXCUSED_SECONDS = 3.0


class Work:
    """Runs requests at the upstreams; some of them take long."""

    def __init__(self) -> None:
        self._random = random.Random(7)
        self.running: dict[str, float] = {}
        self.ended: set[str] = set()

    async def respond(
        self,
        upstream: standins.Upstream,
        request: standins.Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request for its work time and answer it."""
        request_id = request.headers["request-id"]
        is_long = self._random.random() < _LONG_PART
        work = _LONG_SECONDS if is_long else _USUAL_SECONDS
        upstream.record.write(
            "run",
            upstream=upstream.upstream_id,
            request=request_id,
            work_s=work,
        )
        self.running[request_id] = work
        await asyncio.sleep(work)
        self.ended.add(request_id)
        writer.write(
            standins.encode("HTTP/1.1 200 OK", standins.seal(request), b"done")
        )


class Play:
    """One play of the case."""

    def __init__(
        self,
        record: standins.Record,
        deployment: standins.Deployment,
        work: Work,
    ) -> None:
        self._record = record
        self._deployment = deployment
        self._work = work
        self._numbers = itertools.count(1)
        self._is_over = False
        self._stopped_at: dict[str, float] = {}
        self.served = 0
        self.cut = 0

    async def run(self) -> bool:
        """Return whether the rule was broken."""
        stopped = self._deployment.machines[:2]
        clients = [
            asyncio.create_task(self._call(machine))
            for machine in stopped
            for _ in range(_CLIENTS_PER_MACHINE)
        ]
        await asyncio.sleep(_WARM_SECONDS)
        for _ in range(_STOPS):
            if standins.has_trouble():
                await asyncio.gather(*map(self._stop, stopped))
            else:
                await asyncio.sleep(standins.GRACE_SECONDS)
            await asyncio.sleep(_PAUSE_SECONDS)
        self._is_over = True
        await asyncio.gather(*clients)
        self._record.write("sum", served=self.served, cut=self.cut)
        return self.cut > 0

    async def _stop(self, machine: standins.Machine) -> None:
        """Stop a node as the platform does, and start it again."""
        node = machine.node
        begun = time.monotonic()
        self._stopped_at[node.name] = begun
        node.process.send_signal(signal.SIGTERM)
        self._record.write("sigterm", node=node.name)
        while (
            node.process.poll() is None
            and time.monotonic() < begun + standins.GRACE_SECONDS
        ):
            await asyncio.sleep(0.01)
        took = time.monotonic() - begun
        if node.process.poll() is None:
            node.process.kill()
            node.process.wait()
        self._record.write("node-ended", node=node.name, after_s=f"{took:.2f}")
        await asyncio.sleep(_RESTART_SECONDS)
        node.start()

    async def _call(self, machine: standins.Machine) -> None:
        """Send requests one after the other, also while the node stops.

        Fewer than half of the nodes of the zone are in, so the platform keeps
        the clients on the machine.
        """
        connection = None
        name = machine.node.name
        while not self._is_over:
            request_id = f"c{next(self._numbers):06d}"
            sent_at = time.monotonic()
            try:
                if connection is None:
                    connection = await asyncio.open_connection(
                        machine.node.host, machine.client_port
                    )
                reader, writer = connection
                sent_at = time.monotonic()
                writer.write(
                    standins.encode_request(
                        "GET", "/read/1", request_id, _DEADLINE_MS
                    )
                )
                answer = await standins.read_message(reader)
            except (OSError, EOFError):
                connection = None
                self._judge_end(name, request_id, sent_at)
                await asyncio.sleep(0.1)
                continue
            self.served += answer.status == 200
            if answer.status != 200:
                self._record.write(
                    "answer", request=request_id, status=answer.status
                )
                wait = answer.headers.get("retry-after", "0.1")
                await asyncio.sleep(float(wait))
            if answer.headers.get("connection") == "close":
                writer.close()
                connection = None

    def _judge_end(self, name: str, request_id: str, sent_at: float) -> None:
        """Judge a connection that ended without an answer."""
        work = self._work.running.get(request_id)
        if work is None:
            return  # Not passed on to an upstream.
        since_stop = sent_at - self._stopped_at.get(name, sent_at)
        is_counted = since_stop > _EXCUSED_SECONDS
        self._record.write(
            "closed-without-answer",
            node=name,
            request=request_id,
            sent_after_sigterm_s=f"{since_stop:.2f}",
            waited_s=f"{time.monotonic() - sent_at:.2f}",
            counted=is_counted,
        )
        self.cut += is_counted


async def play(record: standins.Record) -> bool:
    """Play the case."""
    services = [("desk", "a"), ("desk", "a"), ("board", "b"), ("board", "b")]
    routes = [
        standins.build_route("read", "board", timeout_ms=_DEADLINE_MS),
        standins.build_route("desk", "desk"),
    ]
    work = Work()
    async with standins.run_deployment(
        record, services, routes, work.respond
    ) as deployment:
        return await Play(record, deployment, work).run()


if __name__ == "__main__":
    standins.run_case(str(pathlib.Path(__file__).parent), play)
