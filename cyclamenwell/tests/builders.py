"""Builders of small fleets of real nodes, and targets for them."""

from __future__ import annotations

import socket
import threading

from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import webserver
from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

__all__ = [
    "KEY",
    "BlockingTarget",
    "FailingTarget",
    "build_fleet",
    "start_target",
]

KEY = "cw_shop_key"
# Above the concurrency of any test, so that a gate does not shed on a slow
# machine while its target still counts as cold.
HIGH_COLD_LIMIT = "cold_limit: 64\n"


class BlockingTarget:
    """Target that blocks each request until the test releases them all.

    Attributes
    ----------
    arrived : threading.Semaphore
        Released once for each request that arrives.
    disconnected : threading.Semaphore
        Released once for each caller that disconnects before the release.
    release : threading.Event
        Set by the test to let all requests end.
    """

    def __init__(self) -> None:
        self.arrived = threading.Semaphore(0)
        self.disconnected = threading.Semaphore(0)
        self.release = threading.Event()

    def answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Answer when the test releases requests, or after 20 s."""
        del request
        self.arrived.release()
        threading.Thread(
            target=self._detect_disconnect, args=(connection,), daemon=True
        ).start()
        self.release.wait(20)
        return calls.HttpAnswer(
            200,
            (httpfields.Header("content-type", "application/json"),),
            b'{"released": true}',
        )

    def _detect_disconnect(self, connection: socket.socket) -> None:
        connection.settimeout(20)
        try:
            is_closed = not connection.recv(1, socket.MSG_PEEK)
        except OSError:
            is_closed = True
        if is_closed and not self.release.is_set():
            self.disconnected.release()


class FailingTarget:
    """Target that counts requests and fails each of them.

    Parameters
    ----------
    closes : bool
        Whether it closes the connection of a request instead of shedding it.
    """

    def __init__(self, closes: bool) -> None:
        self._closes = closes
        self._lock = threading.Lock()
        self.count = 0

    def answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Close the connection, or shed the request."""
        del request
        with self._lock:
            self.count += 1
        if self._closes:
            connection.shutdown(socket.SHUT_RDWR)
        return calls.HttpAnswer(503)


def start_target(handler: object) -> webserver.WebServer:
    """Start a target on any free port with the given handler."""
    server = webserver.WebServer("127.0.0.1", 0, handler.answer)
    server.start()
    return server


def build_fleet(*services: str, extra: str = HIGH_COLD_LIMIT) -> fleets.Fleet:
    """Return a fleet with published documents and no instances.

    Parameters
    ----------
    *services : str
        Names of the services, each with a document of
        `builders.build_service_text` and a rate that no test reaches.
    extra : str
        More fields of the service documents, in YAML.
    """
    fleet = fleets.Fleet()
    for service in services:
        fleet.platform.publish(
            f"service/{service}",
            builders.build_service_text(
                service, rate=1e6, burst=1e6, extra=extra
            ),
        )
    fleet.platform.publish(
        "organisation/shops", builders.build_organisation_text("shops", KEY)
    )
    return fleet
