"""Baseline proxy with plain retries and without overload control.

It runs beside each target in place of a node, so that results of the system
can be compared with those of an ordinary retrying proxy.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib
import random
import signal
import socket
import sys
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.generated import settings
from cyclamenwell.load import ports
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import headers
from cyclamenwell.node import problems
from cyclamenwell.node import target as targets
from cyclamenwell.node import webserver

__all__ = ["Forwarder", "ForwarderPlan"]

_Kind = enumerations.ErrorKind
_RETRIES = 3  # At each hop; a node has one allowance for the whole call chain.
_TIMEOUT = clock.Milliseconds(5_000)
_SHED_STATUS = 503
_STACK_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ForwarderPlan:
    """Settings of a forwarder.

    Parameters
    ----------
    caller_port, target_side_port : int
        Listening ports on loopback.
    keys : dict of str to str
        Organisation of each API key.
    targets : dict of str to list of int
        Ports of the targets of each service.
    """

    caller_port: int
    target_side_port: int
    keys: dict[str, str]
    targets: dict[str, list[int]]


class Forwarder:
    """Proxy that sends each request to a random target of its service.

    Parameters
    ----------
    plan : ForwarderPlan
        Ports, API keys and targets.
    """

    def __init__(self, plan: ForwarderPlan) -> None:
        self._plan = plan
        self._time = clock.SystemClock()
        self._clients = {
            service: [self._build_client(port) for port in target_ports]
            for service, target_ports in plan.targets.items()
        }
        self._servers = [
            webserver.WebServer(
                ports.LOOPBACK,
                plan.caller_port,
                functools.partial(self._answer, from_target=False),
            ),
            webserver.WebServer(
                ports.LOOPBACK,
                plan.target_side_port,
                functools.partial(self._answer, from_target=True),
            ),
        ]

    def start(self) -> None:
        """Start serving requests."""
        for server in self._servers:
            server.start()

    def _build_client(self, port: int) -> targets.TargetClient:
        return targets.TargetClient(
            settings.TargetSettings(host=ports.LOOPBACK, port=port), self._time
        )

    def _answer(
        self,
        request: calls.HttpRequest,
        connection: socket.socket,
        *,
        from_target: bool,
    ) -> calls.HttpAnswer:
        del connection
        if request.path == "/health":
            return calls.HttpAnswer(200)
        organisation = self._identify_organisation(request, from_target)
        timeout = request.find_header(headers.TIMEOUT_MS)
        wait = clock.Milliseconds(int(timeout)) if timeout else _TIMEOUT
        added = [
            httpfields.Header(headers.CONTEXT, organisation),
            httpfields.Header(headers.ORGANISATION, organisation),
            httpfields.Header(headers.TIMEOUT_MS, str(int(wait.value))),
        ]
        kept = headers.strip_request(request.headers) + tuple(added)
        sent = dataclasses.replace(request, headers=kept)
        try:
            return self._send(request.find_header("host"), sent, wait)
        except exceptions.RefusedError as refusal:
            return problems.build_problem(refusal)

    def _identify_organisation(
        self, request: calls.HttpRequest, from_target: bool
    ) -> str:
        if from_target:
            return request.find_header(headers.CONTEXT)
        value = request.find_header(headers.AUTHORIZATION)
        return self._plan.keys.get(value.removeprefix("Bearer "), "")

    def _send(
        self,
        service: str,
        request: calls.HttpRequest,
        timeout: clock.Milliseconds,
    ) -> calls.HttpAnswer:
        """Try random targets until one answers or the retries are used up."""
        last = exceptions.RefusedError(_Kind.NO_INSTANCE, "no target")
        for _ in range(1 + _RETRIES):
            client = random.choice(self._clients[service])
            deadline = self._time.now() + timeout
            try:
                answer = client.send(
                    request, deadline, cancellations.Cancellation()
                )
                if answer.status != _SHED_STATUS:
                    return answer
                last = exceptions.RefusedError(_Kind.TARGET_SHED, "shed")
            except exceptions.RefusedError as refusal:
                last = refusal
            not_run = last.kind in (_Kind.TARGET_SHED, _Kind.TARGET_UNREACHABLE)
            if request.method != "GET" and not not_run:
                break
        raise last


def run() -> None:
    """Run the program; its argument is the path of a JSON `ForwarderPlan`."""
    plan = json.loads(pathlib.Path(sys.argv[1]).read_text("utf-8"))
    threading.stack_size(_STACK_BYTES)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    Forwarder(ForwarderPlan(**plan)).start()
    stop_requested.wait()


if __name__ == "__main__":
    run()
