"""Fleet of nodes in one process, with simulated platform and targets."""

from __future__ import annotations

from concurrent import futures
import dataclasses
import threading
import time
from typing import Any

import urllib3

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.node import process
from cyclamenwell.standin import platform as platforms
from cyclamenwell.standin import target as targets
from cyclamenwell.testing import builders

__all__ = ["Fleet", "Member", "wait_until"]

_LOOPBACK = "127.0.0.1"
_WAIT_TIMEOUT_SECONDS = 20.0
_STARTING_REPORT_VALIDITY = clock.Milliseconds(1000)
_POLL_INTERVAL_SECONDS = 0.01
_SHORT_STOP = "stop:\n  linger: 0\n"


def wait_until(condition: Any, what: str) -> None:
    """Wait until a condition is true.

    Raises
    ------
    AssertionError
        If it is still false after 20 s.
    """
    end = time.monotonic() + _WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, f"timed out waiting until {what}"
        time.sleep(_POLL_INTERVAL_SECONDS)


def _knows_no_starting_instance(node: process.Node) -> bool:
    """Return whether a node regards no other instance as starting.

    Nodes that start at the same time report this state to each other, and a
    report is valid for one second.
    """
    now = node.components.time.now()
    for instance in node.components.directory.current_list.entries:
        record = node.components.directory.find_record(instance)
        starting = record.load is not None and (
            record.load.state is enumerations.InstanceState.STARTING
        )
        if starting and now - record.heard_at < _STARTING_REPORT_VALIDITY:
            return False
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node with its target.

    Parameters
    ----------
    entry : messages.InstanceEntry
        Entry in the instance list.
    node : process.Node
        The node.
    target : targets.SimulatedTarget
        The target.
    target_side_port : int
        Loopback port for nested calls of the target.
    operations_port : int
        Loopback port of the operations endpoint.
    """

    entry: messages.InstanceEntry
    node: process.Node
    target: targets.SimulatedTarget
    target_side_port: int
    operations_port: int


class Fleet:
    """Platform, targets and nodes that listen on loopback."""

    def __init__(self) -> None:
        self.platform = platforms.SimulatedPlatform(_LOOPBACK, 0)
        self.platform.start()
        self.members: dict[str, Member] = {}
        self._running: set[str] = set()
        self._http = urllib3.PoolManager(retries=False, maxsize=64)

    def add(
        self,
        instance: str,
        service: str,
        data_centre: str = "dc-a",
        extra: str = "",
        target_port: int = 0,
        target_extra: str = "",
        **plan: Any,
    ) -> Member:
        """Add an instance; call `start` after the last one.

        With `target_port`, a target of the test replaces the simulated one;
        `target_extra` adds lines to the target section of the settings.
        """
        if "stop:" not in extra:
            extra += _SHORT_STOP
        caller, peer, target_side, operations = builders.find_free_ports(4)
        entry = builders.build_instance(
            instance=instance,
            service=service,
            data_centre=data_centre,
            caller_port=caller,
            peer_port=peer,
        )
        target = targets.SimulatedTarget(
            _LOOPBACK,
            0,
            targets.TargetPlan(name=instance, node_port=target_side, **plan),
        )
        target.start()
        loaded = builders.build_settings(
            entry,
            self.platform.port,
            target_port or target.port,
            (target_side, operations),
            extra,
            target_extra,
        )
        node = process.Node(loaded, clock.SystemClock())
        member = Member(entry, node, target, target_side, operations)
        self.members[instance] = member
        return member

    def publish_list(self) -> None:
        """Publish an instance list with all members."""
        self.platform.publish_instances(
            [
                {
                    spec.name: getattr(member.entry, spec.name)
                    for spec in messages.InstanceEntry.FIELDS
                    if spec.name != "state"
                }
                | {"state": "serving"}
                for member in self.members.values()
            ]
        )

    def start(self, *names: str) -> None:
        """Publish the instance list and start nodes concurrently.

        Parameters
        ----------
        *names : str
            Instances to start, all by default; the list always has all members.
        """
        self.publish_list()
        started = names or tuple(self.members)
        self._running.update(started)
        with futures.ThreadPoolExecutor(len(started)) as pool:
            starts = [
                pool.submit(self.members[name].node.start) for name in started
            ]
        for start in starts:
            start.result()
        self.wait_until_confirmed(*started)

    def wait_until_confirmed(self, *names: str) -> None:
        """Wait until nodes accept calls with a key."""
        for name in names:
            wait_until(
                self.members[name].node.components.freshness.is_confirmed,
                f"the view of {name} is confirmed",
            )
        for name in names:
            wait_until(
                lambda node=self.members[name].node: (
                    _knows_no_starting_instance(node)
                ),
                f"{name} regards no instance as starting",
            )

    def stop(self, *names: str) -> None:
        """Stop nodes concurrently, all running ones by default."""
        stopped = names or tuple(self._running)
        self._running.difference_update(stopped)
        threads = [
            threading.Thread(target=self.members[name].node.stop)
            for name in stopped
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def call(
        self,
        instance: str,
        service: str,
        path: str,
        key: str = "",
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the caller port of an instance."""
        sent = dict(headers or {})
        if key:
            sent["Authorization"] = f"Bearer {key}"
        port = self.members[instance].entry.caller_port
        return self.send(port, service, path, sent, method, body)

    def send(
        self,
        port: int,
        service: str,
        path: str,
        headers: dict[str, str],
        method: str = "GET",
        body: bytes = b"",
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a loopback port."""
        return self._http.request(
            method,
            f"http://{_LOOPBACK}:{port}{path}",
            headers={"Host": service, **headers},
            body=body or None,
            timeout=20,
        )
