"""Builders of calls, scripted targets and in-memory call chains."""

from __future__ import annotations

import collections
from collections.abc import Callable
import contextlib
import json
import random
import socket
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import dispatcher as dispatchers
from cyclamenwell.node import target as targets
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities
from cyclamenwell.retries import allowance as allowances
from cyclamenwell.retries import budget as budgets
from cyclamenwell.routing import circuit_breaker as circuit_breakers
from cyclamenwell.routing import instance_balancer
from cyclamenwell.routing import localities
from cyclamenwell.routing import outliers
from cyclamenwell.testing import builders

__all__ = [
    "CallChain",
    "ScriptedTarget",
    "HIGH_RETRY_RATIO",
    "build_call",
    "build_dispatcher",
    "build_target_client",
    "read_problem",
]

_LOOPBACK = "127.0.0.1"
_TIMEOUT_SECONDS = 20.0
HIGH_RETRY_RATIO = 1.0  # One retry for each first attempt.
Script = Callable[[socket.socket, bytes], None]


def build_call(
    time: clock.Clock, service: str = "billing", **values: object
) -> calls.Call:
    """Return a call with 5 s left, idempotent unless told otherwise."""
    idempotent = values.pop("idempotent", True)
    defaults = {
        "call_id": b"i" * 16,
        "service": service,
        "route": documents.RouteDocument(
            path="/*", methods=("GET",), idempotent=idempotent
        ),
        "request": calls.HttpRequest("GET", "/accounts/7"),
        "organisation": "shops",
        "key_identifier": b"k" * 8,
        "importance": enumerations.Importance.NORMAL,
        "deadline": time.now() + clock.Milliseconds(5000),
        "idempotency_key": "",
        "depth": 0,
    }
    return calls.Call(**{**defaults, **values})


class ScriptedTarget:
    """TCP server that answers each request with a script.

    Parameters
    ----------
    script : callable
        Gets the connection and the received bytes of a request.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = socket.create_server((_LOOPBACK, 0))
        self.requests: list[bytes] = []
        self.connections = 0
        self.release = threading.Event()
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def port(self) -> int:
        """Port on loopback."""
        return self._listener.getsockname()[1]

    def close(self) -> None:
        """Stop accepting connections."""
        self.release.set()
        # shutdown() wakes the thread that waits in accept(); close() does not.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(_TIMEOUT_SECONDS)
        with connection:
            try:
                while received := connection.recv(65536):
                    self.requests.append(received)
                    self._script(connection, received)
            except OSError:
                return


def build_target_client(port: int, time: clock.Clock) -> targets.TargetClient:
    """Return a client of a target on loopback."""
    return targets.TargetClient(
        settings.TargetSettings(host=_LOOPBACK, port=port), time
    )


def read_problem(answer: calls.HttpAnswer) -> dict[str, object]:
    """Return the problem body of a refusal."""
    return json.loads(answer.body)


def build_dispatcher(
    time: clock.Clock,
    executor: object,
    client: object,
    retry_ratio: float = 0.1,
    instances: tuple[str, ...] = ("billing-1", "billing-2", "billing-3"),
    own: str = "front-1",
) -> dispatchers.Dispatcher:
    """Return a dispatcher with a fake executor and client.

    Parameters
    ----------
    time : clock.Clock
        Clock.
    executor : object
        Runs calls at the local target.
    client : object
        Sends calls to other nodes.
    retry_ratio : float
        Retries that the node may send for each first attempt.
    instances : tuple of str
        Listed instances; the name up to the last dash is the service.
    own : str
        Name of this instance.
    """
    store = stores.Store(time, audit.AuditTrail())
    text = f"retry_ratio: {retry_ratio}\n"
    store.apply([messages.DocumentText("fleet", 1, text)], "test")
    directory = directories.Directory(time)
    listed = [
        builders.build_instance(
            instance=name, service=name.rpartition("-")[0], peer_port=number + 1
        )
        for number, name in enumerate(instances)
    ]
    directory.replace_list(1, listed)
    source = random.Random(5)
    tracker = outliers.OutlierTracker(time)
    balancer = instance_balancer.InstanceBalancer(
        directory,
        localities.LocalityTiers(directory, time, own, "dc-a", "r-1"),
        tracker,
        time,
        source,
        own,
        lambda: messages.LoadReport(
            instance=own, state=enumerations.InstanceState.SERVING, limit=10
        ),
    )
    return dispatchers.Dispatcher(
        identity=identities.Identity(own, 1),
        time=time,
        store=store,
        directory=directory,
        balancer=balancer,
        tracker=tracker,
        circuit_breaker=circuit_breakers.OverloadCircuitBreaker(time, source),
        executor=executor,
        client=client,
        budget=budgets.RetryBudget(),
    )


class CallChain:
    """In-memory chain of services in which each calls the next.

    Parameters
    ----------
    time : clock.Clock
        Clock.
    depth : int
        Number of services.
    fan_out : int
        Nested calls that each target makes, one after another.
    build_failure : callable
        Gets the failure of the last nested call of a target, or None at the
        lowest level, and returns the failure of the target.

    Notes
    -----
    Each nested call goes through a dispatcher of its own, as on separate
    nodes. `attempts` counts the runs of each call by its path in the tree.
    """

    def __init__(
        self,
        time: clock.Clock,
        depth: int,
        fan_out: int,
        build_failure: Callable[
            [exceptions.RefusedError | None], exceptions.RefusedError
        ],
    ) -> None:
        self._time = time
        self._depth = depth
        self._fan_out = fan_out
        self._build_failure = build_failure
        self.attempts: collections.Counter[tuple[int, ...]] = (
            collections.Counter()
        )

    def run_root(self, retries: int) -> None:
        """Run one root request, which fails."""
        allowance = allowances.RetryAllowance(retries)
        self._dispatch((0,), allowance)

    def call(
        self,
        address: peer_clients.Address,
        message: messages.ForwardRequest,
        timeout: clock.Milliseconds,
        cancellation: object,
        is_reply: Callable[[object], bool],
    ) -> messages.ForwardReply:
        """Run a forwarded call in place of a peer client."""
        del address, timeout, cancellation
        path = tuple(int(part) for part in message.path.split("/")[1:])
        self.attempts[path] += 1
        allowance = allowances.RetryAllowance(message.retries)
        failure = self._run_target(path, allowance)
        reply = messages.ForwardReply(
            call_id=message.call_id,
            refusal=failure.kind,
            retries_left=allowance.held,
            retried=failure.retried,
        )
        assert is_reply(reply)
        return reply

    def _run_target(
        self, path: tuple[int, ...], allowance: allowances.RetryAllowance
    ) -> exceptions.RefusedError:
        """Make the nested calls of a target; each of them fails."""
        if len(path) == self._depth:
            return self._build_failure(None)
        last = None
        for child in range(self._fan_out):
            lent = allowance.lend()
            borrowed = allowances.RetryAllowance(lent)
            try:
                self._dispatch((*path, child), borrowed)
            except exceptions.RefusedError as refusal:
                last = refusal
            allowance.take_back(lent, borrowed.held)
        return self._build_failure(last)

    def _dispatch(
        self, path: tuple[int, ...], allowance: allowances.RetryAllowance
    ) -> None:
        dispatcher = build_dispatcher(self._time, None, self, HIGH_RETRY_RATIO)
        request = calls.HttpRequest("GET", "".join(f"/{p}" for p in path))
        dispatcher.run(
            build_call(self._time, request=request),
            allowance,
            cancellations.Cancellation(),
        )
