"""Processes of a soak run and what is done to them."""

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

__all__ = ["CALL_TIMEOUT", "COLD_LIMIT", "Fleet", "apply_fault", "read_time"]

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
    # Long enough to see whether a leaving target still gets work.
    "stop": {"linger": 5_000, "max_drain": 10_000},
    # A reader that waits longer would not learn of the end of an outage
    # within the bound of a short run.
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
_POLL = clock.Milliseconds(20)


def read_time() -> float:
    """Return monotonic milliseconds, which all processes share."""
    return time.monotonic_ns() / 1e6


class Fleet:
    """Platform, targets, nodes and relays.

    Parameters
    ----------
    group : processes.ProcessGroup
        Group that ends the processes.
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
        self._with_target: list[str] = []
        self._listed: list[str] = []
        self._leaving: set[str] = set()
        self._lives: dict[str, list[histories.NodeLife]] = {}
        self._paused: set[str] = set()
        self._keys = {name: [_build_key(name, 1)] for name in plans.RATES}
        self._withdrawn: dict[str, list[str]] = {n: [] for n in plans.RATES}
        self._issued = dict.fromkeys(plans.RATES, 1)
        self._rates = {service: dict(plans.RATES) for service in plan.services}
        self._versions: dict[str, int] = {}
        self.publications: list[histories.Publication] = []
        self.faults: list[histories.FaultRecord] = []
        self.errors: list[str] = []
        self.start = 0.0

    def start_all(self) -> None:
        """Start everything and wait until every node serves."""
        plan = self.plan
        self._deployment.start_platform()
        self.choose_ports()
        first = [self._members[place.instance] for place in plan.places]
        self._deployment.members = first
        self._listed = [member.instance for member in first]
        self._publish_list()
        for service in plan.services:
            self._publish_service(service)
        for organisation in self._keys:
            self._publish_organisation(organisation)
        self._publish_fleet()
        for member in first:
            self._start_target(member)
        self._deployment.wait_for_targets()
        for member in first:
            self.start_node(member.instance)
        self._deployment.wait_for_nodes(len(self._versions))

    def choose_ports(self) -> None:
        """Choose the ports of all instances and make their relays."""
        self._deployment.choose_members(
            (place.instance, place.service, place.data_centre)
            for place in (*self.plan.places, *self.plan.replacements)
        )
        self._members = {m.instance: m for m in self._deployment.members}
        # Another program must not take a port before a late replacement does.
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
        """Continue paused nodes and close relays; processes end later.

        Notes
        -----
        No process starts after this, so that none outlives the group.
        """
        with self._lock:
            self.ended.set()
            for name in tuple(self._paused):
                self._signal(name, signal.SIGCONT)
        self.links.close()
        for one in (*self._relays.values(), *self._reservations):
            one.close()

    def wait_until(self, at_ms: float) -> None:
        """Wait until a time from the start of the load, or for the end."""
        self.ended.wait(max(self.start + at_ms - read_time(), 0) / 1000)

    def list_entries(self) -> list[tuple[str, int]]:
        """Return instance and caller port of all nodes that callers know."""
        with self._lock:
            return [
                (name, self._members[name].caller_port) for name in self._listed
            ]

    def list_operations(self) -> dict[str, int]:
        """Return the operations ports of all nodes that run."""
        with self._lock:
            return {
                name: self._members[name].operations_port
                for name in self._members
                if self._find_life(name) is not None
                and name not in self._paused
            }

    def choose_key(self, call: plans.Call) -> str:
        """Return the key that the caller of a call uses now."""
        with self._lock:
            known = self._keys[call.organisation]
            if call.withdrawn_key:
                known = self._withdrawn[call.organisation] or known
            return known[call.number % len(known)]

    def list_lives(self) -> tuple[histories.NodeLife, ...]:
        """Return all processes of nodes."""
        with self._lock:
            return tuple(one for found in self._lives.values() for one in found)

    def read_records(self) -> list[dict[str, Any]]:
        """Return the records of all targets."""
        with self._lock:
            self._deployment.members = [
                self._members[name] for name in self._with_target
            ]
            return self._deployment.read_records()

    def find_errors(self) -> list[str]:
        """Return unexpected ends and unexpected errors in logs."""
        errors = list(self.errors)
        with self._lock:
            for name in self._group.find_ended():
                instance = name.removeprefix("node-")
                is_node = name.startswith("node-")
                if is_node and self._find_life(instance) is None:
                    continue
                errors.append(f"{name} ended: {self._read_end(name)}")
            for instance in self._lives:
                name = f"node-{instance}"
                if "Traceback" in self._group.read_log(name):
                    errors.append(f"{name} logged: {self._find_trace(name)}")
        return errors

    def start_node(self, name: str) -> None:
        """Start a node and its relay."""
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

    def end_node(self, name: str, number: int, delay: float) -> float | None:
        """End a node by a signal and wait until it has ended.

        Parameters
        ----------
        name : str
            The instance.
        number : int
            SIGTERM or SIGKILL.
        delay : float
            Milliseconds after which the list shows a leaving node as such.

        Returns
        -------
        float or None
            Time of the end, None if the node does not run.
        """
        graceful = number == signal.SIGTERM
        with self._lock:
            life = self._find_life(name)
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
            self.errors.append(f"node {name} did not end on signal {number}")
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
        """Start a replacement, which is listed after a delay."""
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
        """Stop a node by SIGSTOP; return whether it runs."""
        with self._lock:
            life = self._find_life(name)
            if life is None or life.stop_sent <= read_time():
                return False
            self._paused.add(name)
            self._signal(name, signal.SIGSTOP)
            return True

    def continue_node(self, name: str) -> None:
        """Continue a paused node."""
        with self._lock:
            self._signal(name, signal.SIGCONT)
            self._paused.discard(name)

    def list_pairs(
        self, side: tuple[str, ...], others: tuple[str, ...]
    ) -> set[tuple[str, str]]:
        """Return the links between two sides; no others are all others."""
        far = others or tuple(n for n in self._members if n not in side)
        return {(first, second) for first in side for second in far}

    def change_key(self, organisation: str, withdraws: bool) -> str:
        """Issue a key, in place of the newest one if that is withdrawn."""
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
        """Set a rate to a multiple of the first one."""
        with self._lock:
            rate = plans.RATES[organisation] * factor
            self._rates[service][organisation] = rate
            self._publish_service(service)
            return rate

    def take_out(self, *data_centres: str) -> None:
        """Take out these data centres and no others."""
        with self._lock:
            self._publish_fleet(*data_centres)

    def set_platform_mode(self, mode: str) -> None:
        """Set the platform up, down or stale."""
        self._deployment.set_platform_mode(mode)

    def turn_cold(self, names: tuple[str, ...]) -> None:
        """Turn targets cold together."""
        for name in names:
            self._deployment.control_target(self._members[name], "cold", "")

    def _open_relay(self, member: deployments.Member) -> None:
        """Let the relay listen as soon as the node does."""
        end = read_time() + _START_TIMEOUT.value
        while read_time() < end and not self.ended.is_set():
            with contextlib.suppress(OSError):
                address = (ports.LOOPBACK, member.peer_port)
                socket.create_connection(address, 1).close()
                self._relays[member.instance].listen()
                return
            self.ended.wait(_POLL.seconds)

    def _start_target(self, member: deployments.Member) -> None:
        further = plans.FURTHER[member.service]
        with self._lock:
            if self.ended.is_set():
                return
            self._deployment.start_target(
                member, _TARGET_PLAN | {"further_service": further}
            )
            self._with_target.append(member.instance)

    def _find_life(self, name: str) -> histories.NodeLife | None:
        """Return the running process of a node, if there is one."""
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
        self._deployment.members = [self._members[n] for n in self._listed]
        self._deployment.publish_list(
            {name: one.port for name, one in self._relays.items()},
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

    def _read_end(self, name: str) -> str:
        return self._group.read_log(name)[-1_000:]

    def _find_trace(self, name: str) -> str:
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
    further = {
        "path": "/further/{id}",
        "methods": ["GET"],
        "idempotent": True,
        "timeout": int(CALL_TIMEOUT.value),
    }
    return {
        "service": service,
        "owner": f"team-{service}",
        "routes": [*routes, further],
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
def apply_fault(
    fault: plans.Fault, fleet: Fleet
) -> tuple[str, tuple[str, ...], str]:
    """Inject a fault from begin to end.

    Returns
    -------
    tuple of str, tuple of str, str
        Kind, subjects and detail; an empty kind if it was not possible.
    """
    raise TypeError(f"no way to apply {type(fault).__name__}")


@apply_fault.register
def _(fault: plans.WithdrawKey, fleet: Fleet) -> tuple:
    key = fleet.change_key(fault.organisation, withdraws=True)
    return "withdraw-key", (fault.organisation,), f"replaced by {key}"


@apply_fault.register
def _(fault: plans.IssueKey, fleet: Fleet) -> tuple:
    key = fleet.change_key(fault.organisation, withdraws=False)
    return "issue-key", (fault.organisation,), key


@apply_fault.register
def _(fault: plans.EditRate, fleet: Fleet) -> tuple:
    rate = fleet.change_rate(fault.service, fault.organisation, fault.factor)
    return "edit-rate", (fault.service, fault.organisation), f"{rate:g}"


@apply_fault.register
def _(fault: plans.TakeOut, fleet: Fleet) -> tuple:
    fleet.take_out(fault.data_centre)
    fleet.wait_until(fault.end_ms)
    fleet.take_out()
    return "take-out", (fault.data_centre,), ""


@apply_fault.register
def _(fault: plans.StopNode, fleet: Fleet) -> tuple:
    return _end_and_replace(fault, fleet, signal.SIGTERM, "stop")


@apply_fault.register
def _(fault: plans.KillNode, fleet: Fleet) -> tuple:
    return _end_and_replace(fault, fleet, signal.SIGKILL, "kill")


def _end_and_replace(
    fault: plans.StopNode, fleet: Fleet, number: int, kind: str
) -> tuple:
    delay = fault.list_delay_ms
    if fleet.end_node(fault.instance, number, delay) is None:
        return "", (), ""
    fleet.ended.wait(fault.duration_ms / 1000)
    fleet.replace_node(fault.instance, fault.replacement, delay)
    return kind, (fault.instance,), f"replaced by {fault.replacement}"


@apply_fault.register
def _(fault: plans.PauseNode, fleet: Fleet) -> tuple:
    if not fleet.pause_node(fault.instance):
        return "", (), ""
    fleet.wait_until(fault.end_ms)
    fleet.continue_node(fault.instance)
    return "pause", (fault.instance,), ""


@apply_fault.register
def _(fault: plans.CutLinks, fleet: Fleet) -> tuple:
    pairs = fleet.list_pairs(fault.side, fault.others)
    state = relays.LinkState(fault.mode, clock.Milliseconds(fault.delay_ms))
    fleet.links.fail(pairs, state)
    fleet.wait_until(fault.end_ms)
    fleet.links.heal(pairs, state)
    detail = f"{fault.mode} to {' '.join(fault.others) or 'all others'}"
    return "links", fault.side, detail


@apply_fault.register
def _(fault: plans.PlatformOutage, fleet: Fleet) -> tuple:
    fleet.set_platform_mode(fault.mode)
    fleet.wait_until(fault.end_ms)
    fleet.set_platform_mode("up")
    return "platform", (fault.mode,), fault.mode


@apply_fault.register
def _(fault: plans.Cold, fleet: Fleet) -> tuple:
    fleet.turn_cold(fault.instances)
    fleet.wait_until(fault.end_ms)
    fleet.turn_cold(fault.instances)
    return "cold", fault.instances, "twice"
