"""Simulated platform: configuration service and instance list."""

from __future__ import annotations

import json
import socket
import threading
from typing import Any
import urllib.parse

from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import webserver

__all__ = ["SimulatedPlatform"]

_MAX_POLL_SECONDS = 60.0


class SimulatedPlatform:
    """Serves published documents and instances to long-polling readers.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on, 0 for any free port.

    Notes
    -----
    Readers send ``GET /v1/documents`` and ``GET /v1/instances`` with the
    query parameters ``after`` (last revision read) and ``wait_ms`` (longest
    wait for a newer revision). Tests publish with
    ``PUT /control/documents/<name>`` (body: text) and
    ``PUT /control/instances`` (body: JSON list), and simulate an outage or a
    lagging replica with ``PUT /control/mode`` (``up``, ``down``, ``stale``).
    """

    def __init__(self, host: str, port: int) -> None:
        self._condition = threading.Condition()
        self._revision = 0
        self._documents: dict[str, dict[str, Any]] = {}
        self._change_revisions: dict[str, int] = {}
        self._list_revision = 0
        self._instances: list[dict[str, Any]] = []
        self._mode = "up"
        self._stale_snapshot: dict[str, dict[str, Any]] = {}
        self.reads = 0
        self._server = webserver.WebServer(host, port, self._handle)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.port

    def start(self) -> None:
        """Start the server."""
        self._server.start()

    def publish(self, name: str, text: str) -> int:
        """Publish a document and return its new version."""
        with self._condition:
            existing = self._documents.get(name)
            version = existing["version"] + 1 if existing else 1
            self._revision += 1
            self._documents[name] = {
                "name": name,
                "version": version,
                "text": text,
            }
            self._change_revisions[name] = self._revision
            self._condition.notify_all()
        return version

    def publish_instances(self, instances: list[dict[str, Any]]) -> int:
        """Publish an instance list and return its revision."""
        with self._condition:
            self._list_revision += 1
            self._instances = instances
            self._condition.notify_all()
            return self._list_revision

    def restart(self) -> None:
        """Reset document revisions, as a restart of the platform does."""
        with self._condition:
            self._revision = 1
            self._change_revisions = dict.fromkeys(self._documents, 1)
            self._condition.notify_all()

    def save_stale_snapshot(self) -> None:
        """Save the current contents for the mode ``stale``."""
        with self._condition:
            self._stale_snapshot = {
                "documents": self._read_documents(0),
                "instances": self._read_instances(0),
            }

    def set_mode(self, mode: str) -> None:
        """Set the mode to ``up``, ``down`` or ``stale``.

        In the mode ``stale`` the platform serves the saved contents, or those
        at the time of this call if none were saved.

        Raises
        ------
        ValueError
            If the mode is not one of these.
        """
        if mode not in ("up", "down", "stale"):
            raise ValueError(f"got mode {mode!r}, allowed: up, down, stale")
        with self._condition:
            if mode == "stale" and not self._stale_snapshot:
                self._stale_snapshot = {
                    "documents": self._read_documents(0),
                    "instances": self._read_instances(0),
                }
            self._mode = mode
            self._condition.notify_all()

    def _handle(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        del connection
        path, _, query = request.path.partition("?")
        segments = path.strip("/").split("/", 2)
        if segments[0] == "control":
            return self._handle_control(request, segments)
        if segments[0] != "v1" or len(segments) != 2:
            return _build_json_answer(404, {"error": "no such path"})
        values = dict(urllib.parse.parse_qsl(query))
        after = int(values.get("after", "0"))
        timeout = min(int(values.get("wait_ms", "0")) / 1000, _MAX_POLL_SECONDS)
        return self._long_poll(segments[1], after, timeout)

    def _handle_control(
        self, request: calls.HttpRequest, segments: list[str]
    ) -> calls.HttpAnswer:
        text = request.body.decode("utf-8")
        if segments[1] == "documents":
            return _build_json_answer(
                200, {"version": self.publish(segments[2], text)}
            )
        if segments[1] == "instances":
            revision = self.publish_instances(json.loads(text))
            return _build_json_answer(200, {"revision": revision})
        if segments[1] == "mode":
            self.set_mode(text)
            return _build_json_answer(200, {"mode": text})
        return _build_json_answer(200, {"reads": self.reads})

    def _long_poll(
        self, resource: str, after: int, timeout: float
    ) -> calls.HttpAnswer:
        with self._condition:
            self.reads += 1
            self._condition.wait_for(
                lambda: self._mode == "down" or self._is_newer(resource, after),
                timeout,
            )
            if self._mode == "down":
                return _build_json_answer(503, {"error": "down"})
            if self._mode == "stale":
                return _build_json_answer(
                    200, self._read_stale(resource, after)
                )
            if resource == "documents":
                return _build_json_answer(200, self._read_documents(after))
            return _build_json_answer(200, self._read_instances(after))

    def _is_newer(self, resource: str, after: int) -> bool:
        if self._mode == "stale":
            return self._stale_snapshot[resource]["revision"] > after
        current = (
            self._revision if resource == "documents" else self._list_revision
        )
        return current > after

    def _read_documents(self, after: int) -> dict[str, Any]:
        return {
            "revision": self._revision,
            "documents": [
                document
                for name, document in self._documents.items()
                if self._change_revisions[name] > after
            ],
        }

    def _read_instances(self, after: int) -> dict[str, Any]:
        is_newer = self._list_revision > after
        return {
            "revision": self._list_revision,
            "instances": self._instances if is_newer else [],
        }

    def _read_stale(self, resource: str, after: int) -> dict[str, Any]:
        """Return the answer of a replica that lags behind."""
        snapshot = self._stale_snapshot[resource]
        if after >= snapshot["revision"]:
            return {**snapshot, resource: []}
        return snapshot


def _build_json_answer(status: int, value: Any) -> calls.HttpAnswer:
    content_type = httpfields.Header("content-type", "application/json")
    return calls.HttpAnswer(status, (content_type,), json.dumps(value).encode())
