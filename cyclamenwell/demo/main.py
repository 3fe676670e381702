"""Program ``cyclamenwell-demo``: two services, their nodes and live changes.

All processes listen on loopback and are ended when the program ends.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import json
import time

import typer

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.idempotency import keys as idempotency_keys
from cyclamenwell.load import client as clients
from cyclamenwell.load import deployment as deployments
from cyclamenwell.load import ports
from cyclamenwell.load import processes
from cyclamenwell.load import report
from cyclamenwell.node import headers
from cyclamenwell.standin import target as targets

__all__ = ["run"]

_EXIT_FAILED = 1
_METERS = "meters"
_BILLING = "billing"
_INSTANCES_PER_DATA_CENTRE = 2
_DATA_CENTRES = ("dc-1", "dc-2")
_SHOPS = "shops"
_FITTERS = "fitters"
_SERVICE_MS = 2
_RATE_PER_SECOND = 500
_LOW_RATE_PER_SECOND = 4
_LOW_BURST = 8
_DOCUMENTS = 5  # Two services, two organisations and the fleet.
_TIMEOUT = clock.Milliseconds(2_000)
# Changes are to be in force everywhere within this time.
_CHANGE_TIMEOUT = clock.Milliseconds(6_000)
_POLL = clock.Milliseconds(50)
_CALLS = 40
_SPACING = clock.Milliseconds(50)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of the demonstration and its effect.

    Parameters
    ----------
    name : str
        What was done.
    effect : str
        What requests showed.
    met : bool
        Whether this is what must happen.
    """

    name: str
    effect: str
    met: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Answer to one request.

    Parameters
    ----------
    kind : str
        Empty for a whole answer, else the kind of failure.
    chain : tuple of str
        Targets that answered, from first to last.
    """

    kind: str
    chain: tuple[str, ...]


class Demo:
    """Fleet of the demonstration and its callers.

    Parameters
    ----------
    deployment : deployments.Deployment
        Processes.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._connections: dict[int, clients.ClientConnection] = {}
        self._sent = 0

    def start(self) -> None:
        """Start all processes and wait until they serve."""
        deployment = self._deployment
        deployment.start_platform()
        deployment.choose_members(
            (f"{service}-{data_centre[-1]}{letter}", service, data_centre)
            for service in (_METERS, _BILLING)
            for data_centre in _DATA_CENTRES
            for letter in "ab"[:_INSTANCES_PER_DATA_CENTRE]
        )
        deployment.publish_list()
        for service in (_METERS, _BILLING):
            self._publish_service(service, _RATE_PER_SECOND, _RATE_PER_SECOND)
        for organisation in (_SHOPS, _FITTERS):
            key = deployments.build_key(organisation)
            deployment.publish_organisation(organisation, key)
        deployment.publish_fleet()
        for member in deployment.members:
            further = [_BILLING] if member.service == _METERS else []
            plan = {
                "service_ms": _SERVICE_MS,
                "further_services": further,
                "further_path": "/accounts/7",
            }
            deployment.start_target(member, plan)
            deployment.start_node(member)
        deployment.wait_for_targets()
        deployment.wait_for_nodes(_DOCUMENTS)

    def run_steps(self) -> list[Step]:
        """Send requests, change documents and observe the effects."""
        return [
            self._show_chain(),
            self._show_write(),
            self._show_unknown_key(),
            self._show_withdrawn_key(),
            self._show_lower_rate(),
            self._show_data_centre_out(),
            self._show_data_centre_back(),
        ]

    def close(self) -> None:
        """Close the callers' connections."""
        for connection in self._connections.values():
            connection.close()

    def _show_chain(self) -> Step:
        outcomes = self._send_many(_SHOPS)
        whole = [one for one in outcomes if not one.kind]
        first = {one.chain[0] for one in whole}
        last = {one.chain[-1] for one in whole}
        chained = all(len(one.chain) == 2 for one in whole)
        return Step(
            "requests through meters and billing",
            f"{_describe(outcomes)}; {len(first)} meters and {len(last)} "
            "billing targets answered",
            len(whole) == len(outcomes) and chained,
        )

    def _show_write(self) -> Step:
        key = idempotency_keys.make_key(clock.SystemClock())
        self._send(_SHOPS, 0, "POST", "/charges", key)
        self._send(_SHOPS, 0, "POST", "/charges", key)
        runs = sum(
            one["idempotency_key"] == key and one["result"] != "shed"
            for one in self._deployment.read_records()
        )
        return Step(
            "the same charge sent twice with one key",
            f"it ran {runs} time(s)",
            runs == 1,
        )

    def _show_unknown_key(self) -> Step:
        outcomes = [self._send("nobody", index) for index in range(4)]
        met = all(one.kind == "unauthenticated" for one in outcomes)
        return Step("requests with an unknown key", _describe(outcomes), met)

    def _show_withdrawn_key(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_organisation(_FITTERS)
        met = self._wait_until(
            lambda: all(
                one.kind == "unauthenticated"
                for one in self._send_everywhere(_FITTERS)
            )
        )
        others = self._send_everywhere(_SHOPS)
        return Step(
            "key of fitters withdrawn",
            f"refused at all nodes after {_show_since(start)}; shops: "
            f"{_describe(others)}",
            met and not any(one.kind for one in others),
        )

    def _show_lower_rate(self) -> Step:
        self._publish_service(_METERS, _LOW_RATE_PER_SECOND, _LOW_BURST)
        start = time.monotonic()
        met = self._wait_until(
            lambda: any(
                one.kind == "rate-limited"
                for one in self._send_everywhere(_SHOPS)
            )
        )
        since = _show_since(start)
        began = time.monotonic()
        outcomes = self._send_many(_SHOPS, _SPACING)
        most = _LOW_BURST + _LOW_RATE_PER_SECOND * (time.monotonic() - began)
        whole = sum(not one.kind for one in outcomes)
        self._publish_service(_METERS, _RATE_PER_SECOND, _RATE_PER_SECOND)
        restored = self._wait_until(
            lambda: not any(one.kind for one in self._send_everywhere(_SHOPS))
        )
        return Step(
            f"rate of shops lowered to {_LOW_RATE_PER_SECOND}/s, then restored",
            f"in force after {since}; {_describe(outcomes)}; "
            f"at most {most:.0f} are within the rate",
            met and restored and 0 < whole <= most,
        )

    def _show_data_centre_out(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_fleet("dc-1")
        met = self._wait_until(lambda: not self._find_in_data_centre("dc-1"))
        since = _show_since(start)
        outcomes = self._send_many(_SHOPS)
        inside = [one for one in outcomes if _touches(one, "1")]
        whole = sum(not one.kind for one in outcomes)
        return Step(
            "data centre dc-1 taken out",
            f"no new work there after {since}; {_describe(outcomes)}",
            met and not inside and whole == len(outcomes),
        )

    def _show_data_centre_back(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_fleet()
        met = self._wait_until(lambda: self._find_in_data_centre("dc-1"))
        return Step(
            "data centre dc-1 brought back",
            f"work there again after {_show_since(start)}",
            met,
        )

    def _publish_service(self, service: str, rate: float, burst: float) -> None:
        routes = [
            {"path": "/accounts/{id}", "methods": ["GET"], "idempotent": True},
            {"path": "/charges", "methods": ["POST"], "importance": "critical"},
        ]
        callers = [
            {"organisation": one, "rate_per_second": rate, "burst": burst}
            for one in (_SHOPS, _FITTERS)
        ]
        document = {
            "service": service,
            "owner": f"team-{service}",
            "routes": routes,
            "callers": callers,
        }
        self._deployment.publish(f"service/{service}", document)

    def _find_in_data_centre(self, data_centre: str) -> bool:
        """Return whether any request of a round ran in a data centre."""
        number = data_centre[-1]
        return any(
            _touches(one, number) for one in self._send_everywhere(_SHOPS)
        )

    def _send_everywhere(self, organisation: str) -> list[Outcome]:
        return [
            self._send(organisation, index)
            for index in range(len(self._deployment.members))
        ]

    def _send_many(
        self, organisation: str, spacing: clock.Milliseconds = clock.ZERO
    ) -> list[Outcome]:
        outcomes = []
        for index in range(_CALLS):
            outcomes.append(self._send(organisation, index))
            time.sleep(spacing.seconds)
        return outcomes

    def _send(
        self,
        organisation: str,
        index: int,
        method: str = "GET",
        path: str = "/accounts/7",
        key: str = "",
    ) -> Outcome:
        members = self._deployment.members
        port = members[index % len(members)].caller_port
        connection = self._connections.setdefault(
            port, clients.ClientConnection(ports.LOOPBACK, port)
        )
        self._sent += 1
        request_id = str(self._sent)
        organisation_key = deployments.build_key(organisation)
        sent = {
            "host": _METERS,
            headers.AUTHORIZATION: f"Bearer {organisation_key}",
            targets.REQUEST_ID: request_id,
        }
        if key:
            sent[headers.IDEMPOTENCY_KEY] = key
        try:
            answer = connection.request(method, path, sent, _TIMEOUT)
        except clients.ClientError as error:
            return Outcome(str(error), ())
        if answer.status != 200:
            return Outcome(answer.kind, ())
        if not answer.belongs_to(request_id):
            return Outcome("foreign-answer", ())
        return Outcome("", _read_chain(answer))

    def _wait_until(self, condition: Callable[[], bool]) -> bool:
        """Return whether a condition came true within the promised time."""
        end = time.monotonic() + _CHANGE_TIMEOUT.seconds
        while not condition():
            if time.monotonic() > end:
                return False
            time.sleep(_POLL.seconds)
        return True


def _read_chain(answer: clients.ClientAnswer) -> tuple[str, ...]:
    body = json.loads(answer.body)
    chain = []
    while body:
        chain.append(body["target"])
        body = body.get("further")
    return tuple(chain)


def _touches(outcome: Outcome, number: str) -> bool:
    """Return whether a target of a data centre answered."""
    return any(name.split("-")[1][0] == number for name in outcome.chain)


def _describe(outcomes: list[Outcome]) -> str:
    counts = collections.Counter(one.kind or "whole" for one in outcomes)
    return ", ".join(f"{count} {kind}" for kind, count in counts.items())


def _show_since(start: float) -> str:
    return f"{(time.monotonic() - start) * 1000:.0f} ms"


def show() -> None:
    """Show a small fleet at work.

    Exit status: 0 if every step had the effect that it must have, else 1.
    """
    processes.raise_on_signals()
    try:
        steps = _run_all()
    except exceptions.CyclamenwellError as error:
        typer.echo(f"the demonstration failed: {error}", err=True)
        raise typer.Exit(_EXIT_FAILED) from error
    rows = [("step", "effect", "result")]
    rows += [
        (one.name, one.effect, "ok" if one.met else "FAILED") for one in steps
    ]
    typer.echo(report.render_rows(rows))
    failed = [one.name for one in steps if not one.met]
    if failed:
        typer.echo(f"failed: {'; '.join(failed)}", err=True)
        raise typer.Exit(_EXIT_FAILED)


def _run_all() -> list[Step]:
    with processes.ProcessGroup() as group:
        demo = Demo(deployments.Deployment(group))
        typer.echo("starting 8 targets and 8 nodes in 2 data centres")
        demo.start()
        try:
            return demo.run_steps()
        finally:
            demo.close()


def run() -> None:
    """Run the program."""
    typer.run(show)


if __name__ == "__main__":
    run()
