"""Deployment of platform, targets and nodes as processes on loopback."""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import json
import time
from typing import Any

import urllib3
import yaml

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.keys import authenticator
from cyclamenwell.load import ports
from cyclamenwell.load import processes

__all__ = [
    "Deployment",
    "DeploymentError",
    "Member",
    "build_key",
    "build_organisation",
]

_MAX_CLOCK_SKEW = clock.Milliseconds(100)
_REGION = "r-1"
_START_TIMEOUT = clock.Milliseconds(60_000)
_POLL_INTERVAL = clock.Milliseconds(50)
_HTTP_TIMEOUT = clock.Milliseconds(10_000)
_MAX_DRAIN = clock.Milliseconds(2_000)


class DeploymentError(exceptions.CyclamenwellError):
    """A process failed to start or a control request failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance: a target and its sidecar process.

    Parameters
    ----------
    instance, service, data_centre : str
        Names of the instance, its service and its data centre.
    caller_port, peer_port, target_side_port, operations_port : int
        Ports of the node.
    target_port, control_port : int
        Ports of the target.
    """

    instance: str
    service: str
    data_centre: str
    caller_port: int
    peer_port: int
    target_side_port: int
    operations_port: int
    target_port: int
    control_port: int


def build_key(organisation: str) -> str:
    """Return the API key of an organisation in a deployment."""
    return f"cw_{organisation}_key"


def build_organisation(organisation: str, *keys: str) -> dict[str, Any]:
    """Return the document of an organisation with its valid API keys."""
    listed = [
        {"digest": authenticator.compute_digest(key).hex()} for key in keys
    ]
    return {"organisation": organisation, "keys": listed}


class Deployment:
    """Processes of one deployment.

    Parameters
    ----------
    group : processes.ProcessGroup
        Group that starts and stops the processes.
    """

    def __init__(self, group: processes.ProcessGroup) -> None:
        self._group = group
        self._http = urllib3.PoolManager(retries=False, maxsize=4)
        self._platform_port = 0
        self._documents = 0
        self.members: list[Member] = []

    def start_platform(self) -> None:
        """Start the platform stub and wait until it answers."""
        (self._platform_port,) = ports.find_free_ports(1)
        self._group.start(
            "platform",
            "cyclamenwell.standin",
            "platform",
            "--port",
            str(self._platform_port),
        )
        self._wait_for(
            "platform",
            lambda: self._is_up(self._platform_port, "/v1/instances"),
        )

    def assign_ports(self, places: Iterable[tuple[str, str, str]]) -> None:
        """Assign free ports to all instances.

        Parameters
        ----------
        places : iterable of tuple of str
            Instance, service and data centre of each instance.
        """
        chosen = list(places)
        free = ports.find_free_ports(6 * len(chosen))
        self.members = [
            Member(*place, *free[6 * index : 6 * index + 6])
            for index, place in enumerate(chosen)
        ]

    def start_target(self, member: Member, plan: Mapping[str, Any]) -> None:
        """Start the target of an instance."""
        named = {
            "name": member.instance,
            "service": member.service,
            "node_port": member.target_side_port,
            **plan,
        }
        self._group.start(
            f"target-{member.instance}",
            "cyclamenwell.standin",
            "target",
            "--port",
            str(member.target_port),
            "--control-port",
            str(member.control_port),
            "--plan",
            json.dumps(named),
        )

    def start_node(
        self,
        member: Member,
        changes: Mapping[str, Mapping[str, Any]] | None = None,
    ) -> None:
        """Start the node of an instance.

        Parameters
        ----------
        member : Member
            The instance.
        changes : Mapping of str to Mapping of str to object or None
            Settings that differ from the defaults: fields by group.
        """
        settings = {
            "instance": {
                "name": member.instance,
                "service": member.service,
                "data_centre": member.data_centre,
                "region": _REGION,
                "host": ports.LOOPBACK,
                "caller_port": member.caller_port,
                "peer_port": member.peer_port,
                "target_side_port": member.target_side_port,
                "operations_port": member.operations_port,
            },
            "target": {"port": member.target_port},
            "platform": {
                "url": f"http://{ports.LOOPBACK}:{self._platform_port}",
                "start_delay": 10,
            },
            "stop": {"linger": 0, "max_drain": _MAX_DRAIN.value},
            # All processes share one clock. With the default, idempotency keys
            # would be refused for 5 s after the start.
            "idempotency": {"max_clock_skew": _MAX_CLOCK_SKEW.value},
        }
        for group, fields in (changes or {}).items():
            settings[group] = settings.get(group, {}) | dict(fields)
        path = self._group.directory / f"{member.instance}.yaml"
        path.write_text(yaml.safe_dump(settings), "utf-8")
        self._group.start(
            f"node-{member.instance}", "cyclamenwell.node", str(path)
        )

    def start_forwarder(self, member: Member, keys: Mapping[str, str]) -> None:
        """Start the baseline forwarder beside a target.

        Parameters
        ----------
        member : Member
            The instance.
        keys : mapping of str to str
            Organisation of each API key.
        """
        targets: dict[str, list[int]] = {}
        for other in self.members:
            targets.setdefault(other.service, []).append(other.target_port)
        path = self._group.directory / f"{member.instance}.json"
        plan = {
            "caller_port": member.caller_port,
            "target_side_port": member.target_side_port,
            "keys": dict(keys),
            "targets": targets,
        }
        path.write_text(json.dumps(plan), "utf-8")
        self._group.start(
            f"forwarder-{member.instance}",
            "cyclamenwell.load.forwarder",
            str(path),
        )

    def publish(self, name: str, document: Mapping[str, Any]) -> None:
        """Publish a document on the platform."""
        path = f"/control/documents/{name}"
        self._put(self._platform_port, path, yaml.safe_dump(dict(document)))

    def publish_organisation(self, organisation: str, *keys: str) -> None:
        """Publish the valid API keys of an organisation."""
        self.publish(
            f"organisation/{organisation}",
            build_organisation(organisation, *keys),
        )

    def publish_fleet(self, *data_centres_out: str) -> None:
        """Publish which data centres are out of service."""
        self.publish("fleet", {"data_centres_out": list(data_centres_out)})

    def set_platform_mode(self, mode: str) -> None:
        """Set the platform mode: ``up``, ``down`` or ``stale``."""
        self._put(self._platform_port, "/control/mode", mode)

    def publish_list(
        self,
        peer_ports: Mapping[str, int] | None = None,
        leaving: Container[str] = (),
    ) -> None:
        """Publish the instance list.

        Parameters
        ----------
        peer_ports : Mapping of str to int or None
            Ports of the relays in front of the peer ports, by instance.
        leaving : container of str
            Instances to list as leaving.
        """
        relays = peer_ports or {}
        entries = [
            {
                "instance": member.instance,
                "service": member.service,
                "data_centre": member.data_centre,
                "region": _REGION,
                "host": ports.LOOPBACK,
                "caller_port": member.caller_port,
                "peer_port": relays.get(member.instance, member.peer_port),
                "state": (
                    "leaving" if member.instance in leaving else "serving"
                ),
            }
            for member in self.members
        ]
        self._put(
            self._platform_port, "/control/instances", json.dumps(entries)
        )

    def wait_for_targets(self) -> None:
        """Wait until every target answers health checks."""
        for member in self.members:
            self._wait_for(
                f"target-{member.instance}",
                lambda port=member.target_port: self._is_up(port, "/health"),
            )

    def wait_for_nodes(self, documents: int) -> None:
        """Wait until all nodes serve and know all documents and instances."""
        for member in self.members:
            self._wait_for(
                f"node-{member.instance}",
                lambda member=member: self._is_serving(member, documents),
            )

    def wait_for_forwarders(self) -> None:
        """Wait until every forwarder answers health checks."""
        for member in self.members:
            self._wait_for(
                f"forwarder-{member.instance}",
                lambda port=member.caller_port: self._is_up(port, "/health"),
            )

    def control_target(self, member: Member, what: str, body: str) -> None:
        """Send a control request to a target."""
        self._put(member.control_port, f"/control/{what}", body)

    def read_records(self) -> list[dict[str, Any]]:
        """Return the request records of all targets."""
        records = []
        for member in self.members:
            response = self._request(
                "GET", member.control_port, "/control/records"
            )
            records += json.loads(response.data)
        return records

    def _is_serving(self, member: Member, documents: int) -> bool:
        response = self._request("GET", member.operations_port, "/status")
        status = json.loads(response.data)
        return (
            status["state"] == "serving"
            and status["view_confirmed"]
            and status["instances"] == len(self.members)
            and len(status["documents"]) == documents
        )

    def _is_up(self, port: int, path: str) -> bool:
        return self._request("GET", port, path).status in (200, 503)

    def _wait_for(self, name: str, condition: Any) -> None:
        end = time.monotonic() + _START_TIMEOUT.seconds
        while True:
            try:
                if condition():
                    return
            except urllib3.exceptions.HTTPError:
                pass  # The process does not listen yet.
            ended = name in self._group.find_ended()
            if ended or time.monotonic() > end:
                what = "ended" if ended else "did not become ready"
                raise DeploymentError(
                    f"{name} {what}: {self._group.read_log(name)[-2000:]}"
                )
            time.sleep(_POLL_INTERVAL.seconds)

    def _put(self, port: int, path: str, body: str) -> None:
        response = self._request("PUT", port, path, body)
        if response.status != 200:
            raise DeploymentError(f"PUT {path} failed: {response.data!r}")

    def _request(
        self, method: str, port: int, path: str, body: str | None = None
    ) -> urllib3.BaseHTTPResponse:
        return self._http.request(
            method,
            f"http://{ports.LOOPBACK}:{port}{path}",
            body=body,
            timeout=_HTTP_TIMEOUT.seconds,
        )
