"""Program ``cyclamenwell-demo``: two services with live configuration changes.

All processes listen on loopback and end with the program.
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
_DOCUMENT_COUNT = 5  # Two services, two organisations and the fleet.
_TIMEOUT = clock.Milliseconds(2_000)
# Time within which a change must be in force on all nodes.
_CHANGE_TIMEOUT = clock.Milliseconds(6_000)
_POLL_INTERVAL = clock.Milliseconds(50)
_CALLS = 40
_CALL_INTERVAL = clock.Milliseconds(50)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of the demonstration and its effect.

    Parameters
    ----------
    name : str
        Description of the step.
    effect : str
        Observed effect.
    met : bool
        Whether the effect is the expected one.
    """

    name: str
    effect: str
    met: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request.

    Parameters
    ----------
    kind : str
        Kind of failure, empty for a complete response.
    chain : tuple of str
        Targets along the call chain, the first one first.
    """

    kind: str
    chain: tuple[str, ...]


class Demo:
    """Demonstration fleet and its callers.

    Parameters
    ----------
    deployment : deployments.Deployment
        Processes of the fleet.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._connections: dict[int, clients.ClientConnection] = {}
        self._sent = 0

    def start(self) -> None:
        """Start all processes and wait until they are ready."""
        deployment = self._deployment
        deployment.start_platform()
        deployment.assign_ports(
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
        deployment.wait_for_nodes(_DOCUMENT_COUNT)

    def run_steps(self) -> list[Step]:
        """Run all steps: send requests and change documents."""
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
        whole = [outcome for outcome in outcomes if not outcome.kind]
        first = {outcome.chain[0] for outcome in whole}
        last = {outcome.chain[-1] for outcome in whole}
        chained = all(len(outcome.chain) == 2 for outcome in whole)
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
            record["idempotency_key"] == key and record["result"] != "shed"
            for record in self._deployment.read_records()
        )
        return Step(
            "the same charge sent twice with one key",
            f"it ran {runs} time(s)",
            runs == 1,
        )

    def _show_unknown_key(self) -> Step:
        outcomes = [self._send("nobody", index) for index in range(4)]
        met = all(outcome.kind == "unauthenticated" for outcome in outcomes)
        return Step("requests with an unknown key", _describe(outcomes), met)

    def _show_withdrawn_key(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_organisation(_FITTERS)
        met = self._wait_until(
            lambda: all(
                outcome.kind == "unauthenticated"
                for outcome in self._send_everywhere(_FITTERS)
            )
        )
        others = self._send_everywhere(_SHOPS)
        return Step(
            "key of fitters withdrawn",
            f"refused at all nodes after {_format_elapsed(start)}; shops: "
            f"{_describe(others)}",
            met and not any(outcome.kind for outcome in others),
        )

    def _show_lower_rate(self) -> Step:
        self._publish_service(_METERS, _LOW_RATE_PER_SECOND, _LOW_BURST)
        start = time.monotonic()
        met = self._wait_until(
            lambda: any(
                outcome.kind == "rate-limited"
                for outcome in self._send_everywhere(_SHOPS)
            )
        )
        since = _format_elapsed(start)
        began = time.monotonic()
        outcomes = self._send_many(_SHOPS, _CALL_INTERVAL)
        max_admitted = _LOW_BURST + _LOW_RATE_PER_SECOND * (
            time.monotonic() - began
        )
        whole = sum(not outcome.kind for outcome in outcomes)
        self._publish_service(_METERS, _RATE_PER_SECOND, _RATE_PER_SECOND)
        restored = self._wait_until(
            lambda: (
                not any(
                    outcome.kind for outcome in self._send_everywhere(_SHOPS)
                )
            )
        )
        return Step(
            f"rate of shops lowered to {_LOW_RATE_PER_SECOND}/s, then restored",
            f"in force after {since}; {_describe(outcomes)}; "
            f"at most {max_admitted:.0f} are within the rate",
            met and restored and 0 < whole <= max_admitted,
        )

    def _show_data_centre_out(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_fleet("dc-1")
        met = self._wait_until(lambda: not self._has_run_in_data_centre("dc-1"))
        since = _format_elapsed(start)
        outcomes = self._send_many(_SHOPS)
        inside = [
            outcome for outcome in outcomes if _ran_in_data_centre(outcome, "1")
        ]
        whole = sum(not outcome.kind for outcome in outcomes)
        return Step(
            "data centre dc-1 taken out",
            f"no new work there after {since}; {_describe(outcomes)}",
            met and not inside and whole == len(outcomes),
        )

    def _show_data_centre_back(self) -> Step:
        start = time.monotonic()
        self._deployment.publish_fleet()
        met = self._wait_until(lambda: self._has_run_in_data_centre("dc-1"))
        return Step(
            "data centre dc-1 brought back",
            f"work there again after {_format_elapsed(start)}",
            met,
        )

    def _publish_service(self, service: str, rate: float, burst: float) -> None:
        routes = [
            {"path": "/accounts/{id}", "methods": ["GET"], "idempotent": True},
            {"path": "/charges", "methods": ["POST"], "importance": "critical"},
        ]
        callers = [
            {
                "organisation": organisation,
                "rate_per_second": rate,
                "burst": burst,
            }
            for organisation in (_SHOPS, _FITTERS)
        ]
        document = {
            "service": service,
            "owner": f"team-{service}",
            "routes": routes,
            "callers": callers,
        }
        self._deployment.publish(f"service/{service}", document)

    def _has_run_in_data_centre(self, data_centre: str) -> bool:
        """Send a request to each node and return whether any ran there."""
        number = data_centre[-1]
        return any(
            _ran_in_data_centre(outcome, number)
            for outcome in self._send_everywhere(_SHOPS)
        )

    def _send_everywhere(self, organisation: str) -> list[Outcome]:
        return [
            self._send(organisation, index)
            for index in range(len(self._deployment.members))
        ]

    def _send_many(
        self, organisation: str, interval: clock.Milliseconds = clock.ZERO
    ) -> list[Outcome]:
        outcomes = []
        for index in range(_CALLS):
            outcomes.append(self._send(organisation, index))
            time.sleep(interval.seconds)
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
            targets.REQUEST_ID_HEADER: request_id,
        }
        if key:
            sent[headers.IDEMPOTENCY_KEY] = key
        try:
            answer = connection.request(method, path, sent, _TIMEOUT)
        except clients.ClientError as error:
            return Outcome(str(error), ())
        if answer.status != 200:
            return Outcome(answer.kind, ())
        if not answer.matches_request(request_id):
            return Outcome("foreign-answer", ())
        return Outcome("", _read_chain(answer))

    def _wait_until(self, condition: Callable[[], bool]) -> bool:
        """Return whether a condition becomes true within `_CHANGE_TIMEOUT`."""
        end = time.monotonic() + _CHANGE_TIMEOUT.seconds
        while not condition():
            if time.monotonic() > end:
                return False
            time.sleep(_POLL_INTERVAL.seconds)
        return True


def _read_chain(answer: clients.ClientAnswer) -> tuple[str, ...]:
    body = json.loads(answer.body)
    chain = []
    while body:
        chain.append(body["target"])
        body = body.get("further")
    return tuple(chain)


def _ran_in_data_centre(outcome: Outcome, number: str) -> bool:
    """Return whether a target of the numbered data centre responded."""
    return any(name.split("-")[1][0] == number for name in outcome.chain)


def _describe(outcomes: list[Outcome]) -> str:
    counts = collections.Counter(
        outcome.kind or "whole" for outcome in outcomes
    )
    return ", ".join(f"{count} {kind}" for kind, count in counts.items())


def _format_elapsed(start: float) -> str:
    return f"{(time.monotonic() - start) * 1000:.0f} ms"


def show() -> None:
    """Run a small fleet and show the effects of live changes.

    Exit status: 0 if every step had its expected effect, else 1.
    """
    processes.raise_on_signals()
    try:
        steps = _run_all()
    except exceptions.CyclamenwellError as error:
        typer.echo(f"the demonstration failed: {error}", err=True)
        raise typer.Exit(_EXIT_FAILED) from error
    rows = [("step", "effect", "result")]
    rows += [
        (step.name, step.effect, "ok" if step.met else "FAILED")
        for step in steps
    ]
    typer.echo(report.render_rows(rows))
    failed = [step.name for step in steps if not step.met]
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
