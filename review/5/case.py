"""Each node that takes over a usage cap hands out a burst of its own."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.path.insert(1, str(pathlib.Path(__file__).resolve().parents[2]))

import standins

from cyclamenwell.membership import rendezvous

_MACHINES = 20
_TENANT = "council"
_TENANT_KEY = "key-of-council"
_RATE = 20.0
_BURST = 20.0
# The tenant sends this many times its usual.
_EXCESS = 7.5
_WINDOW_SECONDS = 5.0
_ALLOWED = (_RATE * _WINDOW_SECONDS + _BURST) * 1.25 + 20
_WARM_SECONDS = 10.0
# Three upstreams of twenty are emptied and taken away, one after the other.
_DEPARTURES = 3
_GAP_SECONDS = 1.0
_DRAIN_SECONDS = 2.0
_LONGER_SECONDS = 0.3
_AFTER_SECONDS = 10.0
_WORK_SECONDS = 0.02
_DEADLINE_MS = 3000


class Servers:
    """The upstreams, and when requests of the tenant were run."""

    def __init__(self, record: standins.Record) -> None:
        self._record = record
        self.gone: set[str] = set()
        self.sent_at: dict[str, float] = {}
        # When each request of the tenant was sent, and when it arrived.
        self.runs: list[tuple[float, float]] = []

    async def respond(
        self,
        upstream: standins.Upstream,
        request: standins.Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and answer it."""
        if upstream.upstream_id in self.gone:
            writer.transport.abort()
            raise ConnectionResetError
        request_id = request.headers["request-id"]
        if request.headers.get("tenant") == _TENANT:
            now = time.monotonic()
            self.runs.append((self.sent_at[request_id], now))
            self._record.write(
                "run", upstream=upstream.upstream_id, request=request_id
            )
        await asyncio.sleep(_WORK_SECONDS)
        writer.write(
            standins.encode("HTTP/1.1 200 OK", standins.seal(request), b"done")
        )

    def count_most(self) -> int:
        """Return the most requests sent and run within one window."""
        most = 0
        for begin, _ in self.runs:
            end = begin + _WINDOW_SECONDS
            within = sum(
                begin <= sent and arrived <= end for sent, arrived in self.runs
            )
            most = max(most, within)
        return most


class Play:
    """One play of the case."""

    def __init__(
        self,
        record: standins.Record,
        deployment: standins.Deployment,
        servers: Servers,
    ) -> None:
        self._record = record
        self._deployment = deployment
        self._servers = servers
        self._numbers = itertools.count(1)
        self._is_over = False
        self._left: set[str] = set()
        self._statuses: collections.Counter[int] = collections.Counter()

    async def run(self) -> bool:
        """Return whether the rule was broken."""
        clients = [
            asyncio.create_task(self._call(machine))
            for machine in self._deployment.machines
        ]
        await asyncio.sleep(_WARM_SECONDS)
        departures = []
        if standins.has_trouble():
            for machine in self._list_departures():
                departures.append(asyncio.create_task(self._depart(machine)))
                await asyncio.sleep(_GAP_SECONDS)
        await asyncio.sleep(_AFTER_SECONDS)
        self._is_over = True
        await asyncio.gather(*clients, *departures)
        most = self._servers.count_most()
        self._record.write(
            "sum",
            most_in_a_window=most,
            allowed=_ALLOWED,
            statuses=dict(self._statuses),
        )
        return most > _ALLOWED

    def _list_departures(self) -> list[standins.Machine]:
        """Return the machines that leave: those that matter to the tenant."""
        by_host = {m.node.host: m for m in self._deployment.machines}
        chosen = rendezvous.choose_members(_TENANT, by_host, _DEPARTURES)
        return [by_host[host] for host in chosen]

    async def _depart(self, machine: standins.Machine) -> None:
        """Empty an upstream and take it away, and then its node."""
        upstream_id = machine.upstream.upstream_id
        self._deployment.put_entry(machine, state="draining")
        self._record.write("draining", upstream=upstream_id)
        await asyncio.sleep(_DRAIN_SECONDS + _LONGER_SECONDS)
        self._servers.gone.add(upstream_id)
        self._left.add(machine.node.name)
        self._deployment.store.put(f"servers/{upstream_id}", None)
        self._record.write("gone", upstream=upstream_id)
        process = machine.node.process
        process.send_signal(signal.SIGTERM)
        kill_at = time.monotonic() + standins.GRACE_SECONDS
        while process.poll() is None and time.monotonic() < kill_at:
            await asyncio.sleep(0.02)
        machine.node.stop()

    async def _call(self, machine: standins.Machine) -> None:
        """Send requests of the tenant at a steady rate."""
        pause = _MACHINES / (_RATE * _EXCESS)
        due = time.monotonic()
        pending: set[asyncio.Task] = set()
        while not self._is_over and machine.node.name not in self._left:
            task = asyncio.create_task(self._send(machine))
            pending.add(task)
            task.add_done_callback(pending.discard)
            due += pause
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
        await asyncio.gather(*pending)

    async def _send(self, machine: standins.Machine) -> None:
        """Send one request on a connection of its own."""
        request_id = f"c{next(self._numbers):06d}"
        try:
            reader, writer = await asyncio.open_connection(
                machine.node.host, machine.client_port
            )
            self._servers.sent_at[request_id] = time.monotonic()
            writer.write(
                standins.encode_request(
                    "GET",
                    "/read/1",
                    request_id,
                    _DEADLINE_MS,
                    key=_TENANT_KEY,
                )
            )
            answer = await standins.read_message(reader)
            self._statuses[answer.status] += 1
            writer.close()
        except (OSError, EOFError):
            self._statuses[0] += 1


async def play(record: standins.Record) -> bool:
    """Play the case."""
    zones = "abcd"
    services = [
        ("desk" if number % 2 else "lots", zones[number // 5])
        for number in range(_MACHINES)
    ]
    routes = [
        standins.build_route("read", "lots"),
        standins.build_route("desk", "desk"),
    ]
    tenants = [standins.build_tenant(_TENANT, _TENANT_KEY, _RATE, _BURST)]
    servers = Servers(record)
    async with standins.run_deployment(
        record, services, routes, servers.respond, tenants
    ) as deployment:
        return await Play(record, deployment, servers).run()


if __name__ == "__main__":
    standins.run_case(str(pathlib.Path(__file__).parent), play)
