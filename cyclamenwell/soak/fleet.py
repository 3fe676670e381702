"""Processes of a soak run and the faults injected into them."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import os
import signal
import socket
import subprocess
import threading
import time
from typing import Any

from cyclamenwell import clock
from cyclamenwell.load import deployment as deployments
from cyclamenwell.load import ports
from cyclamenwell.load import processes
from cyclamenwell.soak import history as histories
from cyclamenwell.soak import plans
from cyclamenwell.soak import relay as relays

__all__ = ["CALL_TIMEOUT", "COLD_LIMIT", "Fleet", "inject_fault", "read_time"]

KEY_PREFIX = "cw_soak_"
COLD_LIMIT = 4
CALL_TIMEOUT = clock.Milliseconds(2_000)
_TARGET_PLAN = {
    "service_ms": 30.0,
    "variation": 0.3,
    "slots": 12,
    "max_queued": 24,
    "cold_slots": COLD_LIMIT,
    "warm_requests": 60,
    "further_path": "/further/1",
}
_NODE_SETTINGS = {
    # Long enough to see whether a leaving target still receives calls.
    "stop": {"linger": 5_000, "max_drain": 10_000},
    # With a longer backoff, a reader would not notice the end of an outage
    # within the time bounds of a short run.
    "platform": {"max_backoff": 1_000},
}
_PORT_FIELDS = (
    "caller_port",
    "peer_port",
    "target_side_port",
    "operations_port",
    "target_port",
    "control_port",
)
_START_TIMEOUT = clock.Milliseconds(60_000)
_STOP_TIMEOUT = clock.Milliseconds(30_000)
_POLL_INTERVAL = clock.Milliseconds(20)


def read_time() -> float:
    """Return system-wide monotonic time in milliseconds."""
    return time.monotonic_ns() / 1e6


class Fleet:
    """Platform, targets, nodes and TCP relays of a run.

    Parameters
    ----------
    group : processes.ProcessGroup
        Group that starts and terminates the processes.
    plan : plans.Plan
        Plan of the run.
    """

    def __init__(self, group: processes.ProcessGroup, plan: plans.Plan) -> None:
        self.plan = plan
        self.links = relays.Links(KEY_PREFIX.encode())
        self.ended = threading.Event()
        self._group = group
        self._deployment = deployments.Deployment(group)
        self._lock = threading.RLock()
        self._relays: dict[str, relays.Relay] = {}
        self._reservations: list[socket.socket] = []
        self._members: dict[str, deployments.Member] = {}
        self._started_targets: list[str] = []
        self._listed: list[str] = []
        self._leaving: set[str] = set()
        self._lives: dict[str, list[histories.NodeLife]] = {}
        self._paused: set[str] = set()
        self._keys = {name: [_build_key(name, 1)] for name in plans.RATES}
        self._withdrawn: dict[str, list[str]] = {
            name: [] for name in plans.RATES
        }
        self._issued = dict.fromkeys(plans.RATES, 1)
        self._rates = {service: dict(plans.RATES) for service in plan.services}
        self._versions: dict[str, int] = {}
        self.publications: list[histories.Publication] = []
        self.faults: list[histories.FaultRecord] = []
        self.errors: list[str] = []
        self.start = 0.0

    def start_all(self) -> None:
        """Start all processes and wait until every node serves."""
        plan = self.plan
        self._deployment.start_platform()
        self.choose_ports()
        initial = [self._members[place.instance] for place in plan.places]
        self._deployment.members = initial
        self._listed = [member.instance for member in initial]
        self._publish_list()
        for service in plan.services:
            self._publish_service(service)
        for organisation in self._keys:
            self._publish_organisation(organisation)
        self._publish_fleet()
        for member in initial:
            self._start_target(member)
        self._deployment.wait_for_targets()
        for member in initial:
            self.start_node(member.instance)
        self._deployment.wait_for_nodes(len(self._versions))

    def choose_ports(self) -> None:
        """Choose the ports of all instances and create their relays."""
        self._deployment.assign_ports(
            (place.instance, place.service, place.data_centre)
            for place in (*self.plan.places, *self.plan.replacements)
        )
        self._members = {
            member.instance: member for member in self._deployment.members
        }
        # Keep other programs from binding the port of a later replacement.
        self._reservations = [
            relays.reserve_port(getattr(member, name))
            for member in self._members.values()
            for name in _PORT_FIELDS
        ]
        for member in self._members.values():
            self._relays[member.instance] = relays.Relay(
                member.instance, member.peer_port, self.links
            )

    def close(self) -> None:
        """Resume paused nodes and close the relays.

        Notes
        -----
        The process group terminates the processes later. No process starts
        after this call, so that none outlives the group.
        """
        with self._lock:
            self.ended.set()
            for name in tuple(self._paused):
                self._signal(name, signal.SIGCONT)
        self.links.close()
        for closable in (*self._relays.values(), *self._reservations):
            closable.close()

    def wait_until(self, at_ms: float) -> None:
        """Wait until a time after the start of the load or the run's end."""
        self.ended.wait(max(self.start + at_ms - read_time(), 0) / 1000)

    def list_entry_nodes(self) -> list[tuple[str, int]]:
        """Return instance and caller port of all nodes in the instance list."""
        with self._lock:
            return [
                (name, self._members[name].caller_port) for name in self._listed
            ]

    def list_operations_ports(self) -> dict[str, int]:
        """Return the operations ports of all running nodes."""
        with self._lock:
            return {
                name: self._members[name].operations_port
                for name in self._members
                if self._find_running_life(name) is not None
                and name not in self._paused
            }

    def choose_key(self, call: plans.Call) -> str:
        """Return the key that the caller presents with a call."""
        with self._lock:
            known = self._keys[call.organisation]
            if call.withdrawn_key:
                known = self._withdrawn[call.organisation] or known
            return known[call.number % len(known)]

    def list_lives(self) -> tuple[histories.NodeLife, ...]:
        """Return the records of all node processes."""
        with self._lock:
            return tuple(
                life for lives in self._lives.values() for life in lives
            )

    def read_records(self) -> list[dict[str, Any]]:
        """Return the requests that all targets have recorded."""
        with self._lock:
            self._deployment.members = [
                self._members[name] for name in self._started_targets
            ]
            return self._deployment.read_records()

    def list_errors(self) -> list[str]:
        """Return unexpected process exits and tracebacks in node logs."""
        errors = list(self.errors)
        with self._lock:
            for name in self._group.find_ended():
                instance = name.removeprefix("node-")
                is_node = name.startswith("node-")
                if is_node and self._find_running_life(instance) is None:
                    continue
                errors.append(f"{name} ended: {self._read_log_tail(name)}")
            for instance in self._lives:
                name = f"node-{instance}"
                if "Traceback" in self._group.read_log(name):
                    errors.append(
                        f"{name} logged: {self._find_traceback(name)}"
                    )
        return errors

    def start_node(self, name: str) -> None:
        """Start a node, and its relay once the node listens."""
        member = self._members[name]
        life = histories.NodeLife(
            name, member.service, member.data_centre, read_time()
        )
        with self._lock:
            if self.ended.is_set():
                return
            self._deployment.start_node(member, _NODE_SETTINGS)
            self._lives.setdefault(name, []).append(life)
        threading.Thread(
            target=self._open_relay, args=(member,), daemon=True
        ).start()

    def terminate_node(
        self, name: str, number: int, delay: float
    ) -> float | None:
        """Terminate a node with a signal and wait until it has exited.

        Parameters
        ----------
        name : str
            The instance.
        number : int
            SIGTERM or SIGKILL.
        delay : float
            Milliseconds after which the instance list marks a leaving node.

        Returns
        -------
        float or None
            Time of the exit, None if the node is not running.
        """
        graceful = number == signal.SIGTERM
        with self._lock:
            life = self._find_running_life(name)
            if life is None or name in self._paused:
                return None
            if graceful:
                life = dataclasses.replace(life, stop_sent=read_time())
                self._leaving.add(name)
                self._lives[name][-1] = life
            self._signal(name, number)
        if graceful:
            self._publish_list_after(delay)
        try:
            status = self._group.wait(f"node-{name}", _STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.errors.append(
                f"node {name} did not exit after signal {number}"
            )
            self._signal(name, signal.SIGKILL)
            status = self._group.wait(f"node-{name}", _STOP_TIMEOUT)
        ended = read_time()
        self._relays[name].refuse()
        with self._lock:
            self._lives[name][-1] = dataclasses.replace(
                life, ended=ended, status=status if graceful else None
            )
        return ended

    def replace_node(self, name: str, replacement: str, delay: float) -> None:
        """Start a replacement and list it after a delay in milliseconds."""
        if replacement == name:
            self.start_node(name)
            self._leaving.discard(name)
            self._publish_list_after(delay)
            return
        member = self._members[replacement]
        self._start_target(member)
        self.start_node(replacement)
        self.ended.wait(delay / 1000)
        with self._lock:
            self._listed.remove(name)
            self._listed.append(replacement)
            self._leaving.discard(name)
            self._publish_list()

    def pause_node(self, name: str) -> bool:
        """Pause a node with SIGSTOP; return False if it is not running."""
        with self._lock:
            life = self._find_running_life(name)
            if life is None or life.stop_sent <= read_time():
                return False
            self._paused.add(name)
            self._signal(name, signal.SIGSTOP)
            return True

    def continue_node(self, name: str) -> None:
        """Resume a paused node."""
        with self._lock:
            self._signal(name, signal.SIGCONT)
            self._paused.discard(name)

    def list_links(
        self, side: tuple[str, ...], others: tuple[str, ...]
    ) -> set[tuple[str, str]]:
        """Return the links from one side to others, or to all if none given."""
        remaining = others or tuple(
            name for name in self._members if name not in side
        )
        return {(first, second) for first in side for second in remaining}

    def change_key(self, organisation: str, withdraws: bool) -> str:
        """Issue a key and optionally withdraw the newest existing one."""
        with self._lock:
            keys = self._keys[organisation]
            if withdraws:
                self._withdrawn[organisation].append(keys.pop())
            self._issued[organisation] += 1
            keys.append(_build_key(organisation, self._issued[organisation]))
            self._publish_organisation(organisation)
            return keys[-1]

    def change_rate(
        self, service: str, organisation: str, factor: float
    ) -> float:
        """Set a rate to a multiple of the initial rate and return it."""
        with self._lock:
            rate = plans.RATES[organisation] * factor
            self._rates[service][organisation] = rate
            self._publish_service(service)
            return rate

    def take_out(self, *data_centres: str) -> None:
        """Publish exactly these data centres as taken out."""
        with self._lock:
            self._publish_fleet(*data_centres)

    def set_platform_mode(self, mode: str) -> None:
        """Set the mode of the platform: up, down or stale."""
        self._deployment.set_platform_mode(mode)

    def set_targets_cold(self, names: tuple[str, ...]) -> None:
        """Make targets cold at the same time."""
        for name in names:
            self._deployment.control_target(self._members[name], "cold", "")

    def _open_relay(self, member: deployments.Member) -> None:
        """Start listening on the relay as soon as the node listens."""
        end = read_time() + _START_TIMEOUT.value
        while read_time() < end and not self.ended.is_set():
            with contextlib.suppress(OSError):
                address = (ports.LOOPBACK, member.peer_port)
                socket.create_connection(address, 1).close()
                self._relays[member.instance].listen()
                return
            self.ended.wait(_POLL_INTERVAL.seconds)

    def _start_target(self, member: deployments.Member) -> None:
        nested = plans.NESTED_SERVICES[member.service]
        with self._lock:
            if self.ended.is_set():
                return
            self._deployment.start_target(
                member, _TARGET_PLAN | {"further_service": nested}
            )
            self._started_targets.append(member.instance)

    def _find_running_life(self, name: str) -> histories.NodeLife | None:
        """Return the record of a node's running process, if it has one."""
        lives = self._lives.get(name)
        if not lives or lives[-1].ended < read_time():
            return None
        return lives[-1]

    def _signal(self, name: str, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._group.find_pid(f"node-{name}"), number)

    def _publish_list_after(self, delay: float) -> None:
        self.ended.wait(delay / 1000)
        with self._lock:
            self._publish_list()

    def _publish_list(self) -> None:
        self._deployment.members = [
            self._members[name] for name in self._listed
        ]
        self._deployment.publish_list(
            {name: relay.port for name, relay in self._relays.items()},
            self._leaving,
        )

    def _publish(
        self, name: str, document: dict[str, Any], **content: Any
    ) -> None:
        version = self._versions.get(name, 0) + 1
        self._versions[name] = version
        self.publications.append(
            histories.Publication(name, version, read_time(), **content)
        )
        self._deployment.publish(name, document)

    def _publish_service(self, service: str) -> None:
        rates = dict(self._rates[service])
        document = _build_service(service, rates)
        self._publish(f"service/{service}", document, rates=rates)

    def _publish_organisation(self, organisation: str) -> None:
        keys = tuple(self._keys[organisation])
        document = deployments.build_organisation(organisation, *keys)
        self._publish(f"organisation/{organisation}", document, keys=keys)

    def _publish_fleet(self, *out: str) -> None:
        self._publish("fleet", {"data_centres_out": list(out)}, out=out)

    def _read_log_tail(self, name: str) -> str:
        return self._group.read_log(name)[-1_000:]

    def _find_traceback(self, name: str) -> str:
        _, _, rest = self._group.read_log(name).partition("Traceback")
        return rest[:2_000]


def _build_key(organisation: str, number: int) -> str:
    return f"{KEY_PREFIX}{organisation}_{number}"


def _build_service(service: str, rates: dict[str, float]) -> dict[str, Any]:
    routes: list[dict[str, Any]] = [
        {
            "path": f"/{route.name}/{{id}}",
            "methods": [route.method],
            "idempotent": route.idempotent,
            "importance": route.importance,
            "open_to_all": route.open_to_all,
            "timeout": int(CALL_TIMEOUT.value),
        }
        for route in plans.ROUTES
    ]
    nested = {
        "path": "/further/{id}",
        "methods": ["GET"],
        "idempotent": True,
        "timeout": int(CALL_TIMEOUT.value),
    }
    return {
        "service": service,
        "owner": f"team-{service}",
        "routes": [*routes, nested],
        "callers": [
            {
                "organisation": name,
                "rate_per_second": rate,
                "burst": plans.BURSTS[name],
            }
            for name, rate in rates.items()
        ],
        "cold_limit": COLD_LIMIT,
    }


@functools.singledispatch
def inject_fault(
    fault: plans.Fault, fleet: Fleet
) -> tuple[str, tuple[str, ...], str]:
    """Inject a fault and wait until it is over.

    Returns
    -------
    tuple of str, tuple of str, str
        Kind, subjects and detail; the kind is empty if the fault could not be
        injected.

    Raises
    ------
    TypeError
        If the kind of fault has no registered implementation.
    """
    raise TypeError(
        f"fault injection is not implemented for {type(fault).__name__}"
    )


@inject_fault.register
def _(fault: plans.WithdrawKey, fleet: Fleet) -> tuple:
    key = fleet.change_key(fault.organisation, withdraws=True)
    return "withdraw-key", (fault.organisation,), f"replaced by {key}"


@inject_fault.register
def _(fault: plans.IssueKey, fleet: Fleet) -> tuple:
    key = fleet.change_key(fault.organisation, withdraws=False)
    return "issue-key", (fault.organisation,), key


@inject_fault.register
def _(fault: plans.EditRate, fleet: Fleet) -> tuple:
    rate = fleet.change_rate(fault.service, fault.organisation, fault.factor)
    return "edit-rate", (fault.service, fault.organisation), f"{rate:g}"


@inject_fault.register
def _(fault: plans.TakeOut, fleet: Fleet) -> tuple:
    fleet.take_out(fault.data_centre)
    fleet.wait_until(fault.end_ms)
    fleet.take_out()
    return "take-out", (fault.data_centre,), ""


@inject_fault.register
def _(fault: plans.StopNode, fleet: Fleet) -> tuple:
    return _end_and_replace(fault, fleet, signal.SIGTERM, "stop")


@inject_fault.register
def _(fault: plans.KillNode, fleet: Fleet) -> tuple:
    return _end_and_replace(fault, fleet, signal.SIGKILL, "kill")


def _end_and_replace(
    fault: plans.StopNode, fleet: Fleet, number: int, kind: str
) -> tuple:
    delay = fault.list_delay_ms
    if fleet.terminate_node(fault.instance, number, delay) is None:
        return "", (), ""
    fleet.ended.wait(fault.duration_ms / 1000)
    fleet.replace_node(fault.instance, fault.replacement, delay)
    return kind, (fault.instance,), f"replaced by {fault.replacement}"


@inject_fault.register
def _(fault: plans.PauseNode, fleet: Fleet) -> tuple:
    if not fleet.pause_node(fault.instance):
        return "", (), ""
    fleet.wait_until(fault.end_ms)
    fleet.continue_node(fault.instance)
    return "pause", (fault.instance,), ""


@inject_fault.register
def _(fault: plans.CutLinks, fleet: Fleet) -> tuple:
    pairs = fleet.list_links(fault.side, fault.others)
    link_fault = relays.LinkFault(
        fault.mode, clock.Milliseconds(fault.delay_ms)
    )
    fleet.links.fail(pairs, link_fault)
    fleet.wait_until(fault.end_ms)
    fleet.links.restore(pairs, link_fault)
    detail = f"{fault.mode} to {' '.join(fault.others) or 'all others'}"
    return "links", fault.side, detail


@inject_fault.register
def _(fault: plans.PlatformOutage, fleet: Fleet) -> tuple:
    fleet.set_platform_mode(fault.mode)
    fleet.wait_until(fault.end_ms)
    fleet.set_platform_mode("up")
    return "platform", (fault.mode,), fault.mode


@inject_fault.register
def _(fault: plans.Cold, fleet: Fleet) -> tuple:
    fleet.set_targets_cold(fault.instances)
    fleet.wait_until(fault.end_ms)
    fleet.set_targets_cold(fault.instances)
    return "cold", fault.instances, "twice"
