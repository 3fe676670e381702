"""Monitoring of the nodes and the machine during a soak run."""

from __future__ import annotations

import threading

import urllib3

from cyclamenwell import clock
from cyclamenwell.load import ports
from cyclamenwell.soak import fleet as fleets
from cyclamenwell.soak import history as histories

__all__ = ["Monitor"]

_POLL_INTERVAL = clock.Milliseconds(500)
_POLL_TIMEOUT = clock.Milliseconds(3_000)
_STALL_CHECK_INTERVAL = clock.Milliseconds(50)
_MIN_STALL_MS = 300.0
_SLOW_POLL_MS = 1_000.0


class Monitor:
    """Polls the status of each node and records stalls.

    Parameters
    ----------
    fleet : fleets.Fleet
        Nodes to poll.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._http = urllib3.PoolManager(retries=False, maxsize=4)
        self._lock = threading.Lock()
        self._threads: dict[str, threading.Thread] = {}
        self.polls: list[histories.Poll] = []
        self.stalls: list[histories.Stall] = []

    def start(self) -> None:
        """Start the threads, which stop when the fleet has ended."""
        threading.Thread(target=self._detect_stalls, daemon=True).start()
        threading.Thread(target=self._find_nodes, daemon=True).start()

    def list_stalls(self) -> tuple[histories.Stall, ...]:
        """Return the stalls that no injected pause caused."""
        pauses = [
            fault for fault in self._fleet.faults if fault.kind == "pause"
        ]
        with self._lock:
            return tuple(
                stall
                for stall in self.stalls
                if not any(
                    stall.instance in pause.subjects
                    and pause.overlaps(stall.begin, stall.end)
                    for pause in pauses
                )
            )

    def _find_nodes(self) -> None:
        while not self._fleet.ended.wait(_POLL_INTERVAL.seconds):
            for name in self._fleet.list_operations_ports():
                if name not in self._threads:
                    self._threads[name] = threading.Thread(
                        target=self._poll_node, args=(name,), daemon=True
                    )
                    self._threads[name].start()

    def _poll_node(self, name: str) -> None:
        while not self._fleet.ended.wait(_POLL_INTERVAL.seconds):
            port = self._fleet.list_operations_ports().get(name)
            if port is not None:
                self._poll(name, port)

    def _poll(self, name: str, port: int) -> None:
        at = fleets.read_time()
        try:
            response = self._http.request(
                "GET",
                f"http://{ports.LOOPBACK}:{port}/status",
                timeout=_POLL_TIMEOUT.seconds,
            )
            status = response.json()
        except urllib3.exceptions.NewConnectionError:
            return  # The node has not started or has stopped.
        except (urllib3.exceptions.HTTPError, ValueError):
            status = None
        self._record_slow_poll(name, at)
        if status is None:
            return
        with self._lock:
            self.polls.append(
                histories.Poll(
                    name,
                    status["incarnation"],
                    at,
                    status["state"],
                    status["documents"],
                )
            )

    def _record_slow_poll(self, name: str, at: float) -> None:
        now = fleets.read_time()
        if now - at > _SLOW_POLL_MS:
            with self._lock:
                self.stalls.append(histories.Stall(at, now, name))

    def _detect_stalls(self) -> None:
        previous = fleets.read_time()
        while not self._fleet.ended.wait(_STALL_CHECK_INTERVAL.seconds):
            now = fleets.read_time()
            if now - previous > _MIN_STALL_MS:
                with self._lock:
                    self.stalls.append(histories.Stall(previous, now))
            previous = now
