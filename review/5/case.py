"""A zone that is taken back floods its cold upstreams until one crashes."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

_CLIENTS_PER_MACHINE = 24
_CLIENT_PAUSE_SECONDS = 0.25
_CALM_SECONDS = 5.0
_EVACUATED_SECONDS = 6.0
_ROUNDS = 5
_WORK_SECONDS = 0.1
_DEADLINE_MS = 3000
_COLD_SECONDS = 3.0
_COLD_PER_SECOND = 25
_ALLOWED = 25 * 1.5 + 5
# "Well above" what a cold upstream tolerates: three times as much.
_CRASH_PER_SECOND = 75
_DOWN_SECONDS = 2.0
_COLD_GAP_SECONDS = 0.1
_ZONE = "a"


class Server:
    """What one upstream has received and runs."""

    def __init__(self) -> None:
        self.down_until = 0.0
        self.arrivals: collections.deque[float] = collections.deque()
        self.writers: set[asyncio.StreamWriter] = set()
        self.running: set[str] = set()
        self.most = 0


class Work:
    """Runs requests at the upstreams."""

    def __init__(self, record: standins.Record) -> None:
        self._record = record
        self.servers: dict[str, Server] = collections.defaultdict(Server)
        self.lost: list[str] = []

    async def respond(
        self,
        upstream: standins.Upstream,
        request: standins.Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and answer it; crash if too many come while cold."""
        server = self.servers[upstream.upstream_id]
        request_id = request.headers["request-id"]
        now = time.monotonic()
        if now < server.down_until:
            writer.transport.abort()
            raise ConnectionResetError
        server.writers.add(writer)
        if upstream.cold_ms:
            server.arrivals.append(now)
            while server.arrivals[0] < now - 1.0:
                server.arrivals.popleft()
            server.most = max(server.most, len(server.arrivals))
        self._record.write(
            "run",
            upstream=upstream.upstream_id,
            request=request_id,
            cold_ms=upstream.cold_ms,
            in_second=len(server.arrivals),
        )
        server.running.add(request_id)
        if len(server.arrivals) > _CRASH_PER_SECOND:
            self._crash(upstream, server)
            raise ConnectionResetError
        await asyncio.sleep(_WORK_SECONDS)
        if request_id not in server.running:
            raise ConnectionResetError
        server.running.discard(request_id)
        writer.write(
            standins.encode("HTTP/1.1 200 OK", standins.seal(request), b"done")
        )

    def _crash(self, upstream: standins.Upstream, server: Server) -> None:
        self._record.write(
            "crash",
            upstream=upstream.upstream_id,
            lost=len(server.running),
        )
        self.lost += sorted(server.running)
        server.running.clear()
        server.arrivals.clear()
        server.down_until = time.monotonic() + _DOWN_SECONDS
        upstream.cold_until = server.down_until + _COLD_SECONDS
        for writer in server.writers:
            writer.transport.abort()
        server.writers.clear()


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
        self._random = random.Random(3)
        self._is_over = False
        self._statuses: collections.Counter[int] = collections.Counter()

    async def run(self) -> bool:
        """Return whether the rule was broken."""
        tasks = [
            asyncio.create_task(self._call(machine, number))
            for machine in self._deployment.machines
            for number in range(_CLIENTS_PER_MACHINE)
        ]
        for _ in range(_ROUNDS):
            await asyncio.sleep(_CALM_SECONDS)
            if standins.has_trouble():
                await self._evacuate()
            else:
                await asyncio.sleep(_EVACUATED_SECONDS + _COLD_SECONDS)
        await asyncio.sleep(_CALM_SECONDS)
        self._is_over = True
        await asyncio.gather(*tasks)
        most = max(server.most for server in self._work.servers.values())
        self._record.write(
            "sum",
            most_in_a_second=most,
            allowed=_ALLOWED,
            lost_in_crashes=len(self._work.lost),
            statuses=dict(self._statuses),
        )
        return most > _ALLOWED

    async def _evacuate(self) -> None:
        """Evacuate a zone; its upstreams are cold when it is taken back.

        They say so in the store, one after the other, before the zone is
        taken back.
        """
        store = self._deployment.store
        store.put(f"op/evacuate/{_ZONE}", {})
        self._record.write("evacuate", zone=_ZONE)
        await asyncio.sleep(_EVACUATED_SECONDS)
        for machine in reversed(self._deployment.machines):
            if machine.zone != _ZONE:
                continue
            upstream = machine.upstream
            upstream.cold_until = time.monotonic() + _COLD_SECONDS
            self._work.servers[upstream.upstream_id].arrivals.clear()
            self._deployment.put_entry(machine)
            self._record.write("cold", upstream=upstream.upstream_id)
            await asyncio.sleep(_COLD_GAP_SECONDS)
        store.put(f"op/evacuate/{_ZONE}", None)
        self._record.write("take-back", zone=_ZONE)
        await asyncio.sleep(_COLD_SECONDS)
        for machine in self._deployment.machines:
            if machine.zone == _ZONE:
                self._deployment.put_entry(machine)

    async def _call(self, machine: standins.Machine, number: int) -> None:
        """Send requests at a steady rate on a kept connection."""
        connection = None
        path = "/pay/1" if number % 2 else "/read/1"
        method = "POST" if number % 2 else "GET"
        await asyncio.sleep(self._random.random())
        while not self._is_over:
            begun = time.monotonic()
            request_id = f"c{next(self._numbers):06d}"
            try:
                if connection is None:
                    connection = await asyncio.open_connection(
                        machine.node.host, machine.client_port
                    )
                reader, writer = connection
                data = standins.encode_request(
                    method, path, request_id, _DEADLINE_MS
                )
                writer.write(data)
                answer = await standins.read_message(reader)
                self._statuses[answer.status] += 1
                if answer.headers.get("connection") == "close":
                    writer.close()
                    connection = None
            except (OSError, EOFError):
                connection = None
                self._statuses[0] += 1
            rest = begun + _CLIENT_PAUSE_SECONDS - time.monotonic()
            await asyncio.sleep(max(rest, 0.0))


async def play(record: standins.Record) -> bool:
    """Play the case."""
    services = [("desk", "a"), ("desk", "b"), ("board", "a"), ("board", "b")]
    routes = [
        standins.build_route("read", "desk"),
        standins.build_route("pay", "desk", kind="non_idempotent"),
        standins.build_route("board", "board"),
    ]
    work = Work(record)
    async with standins.run_deployment(
        record, services, routes, work.respond
    ) as deployment:
        with contextlib.suppress(asyncio.CancelledError):
            return await Play(record, deployment, work).run()


if __name__ == "__main__":
    standins.run_case(str(pathlib.Path(__file__).parent), play)
