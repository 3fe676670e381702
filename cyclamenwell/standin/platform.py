"""Stand-in of the platform: configuration service and instance list."""

from __future__ import annotations

import json
import socket
import threading
from typing import Any
import urllib.parse

from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import webserver

__all__ = ["PlatformStandin"]

_MAX_WAIT_SECONDS = 60.0


class PlatformStandin:
    """Serves published documents and instances, and a control for tests.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port, 0 for any free one.

    Notes
    -----
    Readers use ``GET /v1/documents`` and ``GET /v1/instances`` with the
    parameters ``after`` (revision) and ``wait_ms``. Tests publish with
    ``PUT /control/documents/<name>`` (body: text) and
    ``PUT /control/instances`` (body: JSON list), and set the service down or
    stale with ``PUT /control/mode`` (``up``, ``down``, ``stale``).
    """

    def __init__(self, host: str, port: int) -> None:
        self._condition = threading.Condition()
        self._revision = 0
        self._documents: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._list_revision = 0
        self._instances: list[dict[str, Any]] = []
        self._mode = "up"
        self._stale: dict[str, dict[str, Any]] = {}
        self.reads = 0
        self._server = webserver.WebServer(host, port, self._answer)

    @property
    def port(self) -> int:
        """Port on which the stand-in listens."""
        return self._server.port

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def publish(self, name: str, text: str) -> int:
        """Publish a document and return its version."""
        with self._condition:
            known = self._documents.get(name)
            version = known["version"] + 1 if known else 1
            self._revision += 1
            self._documents[name] = {
                "name": name,
                "version": version,
                "text": text,
            }
            self._changed[name] = self._revision
            self._condition.notify_all()
        return version

    def list_instances(self, instances: list[dict[str, Any]]) -> int:
        """Publish an instance list and return its revision."""
        with self._condition:
            self._list_revision += 1
            self._instances = instances
            self._condition.notify_all()
            return self._list_revision

    def restart(self) -> None:
        """Count revisions of documents from the start, as after a restart."""
        with self._condition:
            self._revision = 1
            self._changed = dict.fromkeys(self._documents, 1)
            self._condition.notify_all()

    def keep_replica(self) -> None:
        """Keep the present contents for the mode ``stale``."""
        with self._condition:
            self._stale = {
                "documents": self._read_documents(0),
                "instances": self._read_instances(0),
            }

    def set_mode(self, mode: str) -> None:
        """Be ``up``, ``down``, or ``stale``.

        A stale platform serves the kept replica, or the present contents if
        none was kept.

        Raises
        ------
        ValueError
            If the mode is none of these.
        """
        if mode not in ("up", "down", "stale"):
            raise ValueError(f"got mode {mode!r}, allowed: up, down, stale")
        with self._condition:
            if mode == "stale" and not self._stale:
                self._stale = {
                    "documents": self._read_documents(0),
                    "instances": self._read_instances(0),
                }
            self._mode = mode
            self._condition.notify_all()

    def _answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        del connection
        path, _, query = request.path.partition("?")
        parts = path.strip("/").split("/", 2)
        if parts[0] == "control":
            return self._control(request, parts)
        if parts[0] != "v1" or len(parts) != 2:
            return _build_json(404, {"error": "no such path"})
        values = dict(urllib.parse.parse_qsl(query))
        after = int(values.get("after", "0"))
        wait = min(int(values.get("wait_ms", "0")) / 1000, _MAX_WAIT_SECONDS)
        return self._watch(parts[1], after, wait)

    def _control(
        self, request: calls.HttpRequest, parts: list[str]
    ) -> calls.HttpAnswer:
        text = request.body.decode("utf-8")
        if parts[1] == "documents":
            return _build_json(200, {"version": self.publish(parts[2], text)})
        if parts[1] == "instances":
            revision = self.list_instances(json.loads(text))
            return _build_json(200, {"revision": revision})
        if parts[1] == "mode":
            self.set_mode(text)
            return _build_json(200, {"mode": text})
        return _build_json(200, {"reads": self.reads})

    def _watch(self, what: str, after: int, wait: float) -> calls.HttpAnswer:
        with self._condition:
            self.reads += 1
            self._condition.wait_for(
                lambda: self._mode == "down" or self._is_newer(what, after),
                wait,
            )
            if self._mode == "down":
                return _build_json(503, {"error": "down"})
            if self._mode == "stale":
                return _build_json(200, self._read_stale(what, after))
            if what == "documents":
                return _build_json(200, self._read_documents(after))
            return _build_json(200, self._read_instances(after))

    def _is_newer(self, what: str, after: int) -> bool:
        if self._mode == "stale":
            return self._stale[what]["revision"] > after
        current = self._revision if what == "documents" else self._list_revision
        return current > after

    def _read_documents(self, after: int) -> dict[str, Any]:
        return {
            "revision": self._revision,
            "documents": [
                document
                for name, document in self._documents.items()
                if self._changed[name] > after
            ],
        }

    def _read_instances(self, after: int) -> dict[str, Any]:
        newer = self._list_revision > after
        return {
            "revision": self._list_revision,
            "instances": self._instances if newer else [],
        }

    def _read_stale(self, what: str, after: int) -> dict[str, Any]:
        """Return what a replica that is behind would answer."""
        kept = self._stale[what]
        if after >= kept["revision"]:
            return {**kept, what: []}
        return kept


def _build_json(status: int, value: Any) -> calls.HttpAnswer:
    kind = httpfields.Header("content-type", "application/json")
    return calls.HttpAnswer(status, (kind,), json.dumps(value).encode())
