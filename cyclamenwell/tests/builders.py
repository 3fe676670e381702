"""Builders of small fleets of real nodes."""

from __future__ import annotations

import socket
import threading

from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import webserver
from cyclamenwell.testing import builders
from cyclamenwell.testing import fleet as fleets

__all__ = ["KEY", "FailingTarget", "Gatekeeper", "build_fleet", "serve"]

KEY = "cw_shop_key"
# Targets that bear all callers of a test at once from the start, so that a
# slow machine does not make a gate shed.
WARM = "cold_limit: 64\n"


class Gatekeeper:
    """Handler of a target that holds each request until it is released."""

    def __init__(self) -> None:
        self.arrived = threading.Semaphore(0)
        self.disconnected = threading.Semaphore(0)
        self.release = threading.Event()

    def answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Wait for the release or for the end of the connection."""
        del request
        self.arrived.release()
        threading.Thread(
            target=self._watch, args=(connection,), daemon=True
        ).start()
        self.release.wait(20)
        return calls.HttpAnswer(
            200,
            (httpfields.Header("content-type", "application/json"),),
            b'{"released": true}',
        )

    def _watch(self, connection: socket.socket) -> None:
        connection.settimeout(20)
        try:
            ended = not connection.recv(1, socket.MSG_PEEK)
        except OSError:
            ended = True
        if ended and not self.release.is_set():
            self.disconnected.release()


class FailingTarget:
    """Handler of a target that counts requests and fails in some way."""

    def __init__(self, closes: bool) -> None:
        self._closes = closes
        self._lock = threading.Lock()
        self.count = 0

    def answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Close the connection, or shed."""
        del request
        with self._lock:
            self.count += 1
        if self._closes:
            connection.shutdown(socket.SHUT_RDWR)
        return calls.HttpAnswer(503)


def serve(handler: object) -> webserver.WebServer:
    """Start a target with a handler of its own."""
    server = webserver.WebServer("127.0.0.1", 0, handler.answer)
    server.start()
    return server


def build_fleet(*services: str, extra: str = WARM) -> fleets.Fleet:
    """Return a fleet whose documents are published, without instances.

    Parameters
    ----------
    *services : str
        Services, each with the document of `builders.build_service_text`.
    extra : str
        Further fields of the documents in YAML.
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
