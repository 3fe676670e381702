"""HTTP endpoint for operators: metrics, status, audit trail."""

from __future__ import annotations

import json
import socket
from typing import Any

from cyclamenwell.generated import messages
from cyclamenwell.node import calls
from cyclamenwell.node import parts
from cyclamenwell.telemetry import metrics

__all__ = ["Operations"]

_TEXT = "text/plain; version=0.0.4; charset=utf-8"
_JSON = "application/json"


class Operations:
    """Answers the requests of operators.

    Parameters
    ----------
    node : parts.Parts
        Node to report on.
    """

    def __init__(self, node: parts.Parts) -> None:
        self._node = node

    def answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Answer one request; unknown paths get status 404."""
        del connection
        path = request.path.partition("?")[0]
        if request.method != "GET":
            return _build_answer(405, _TEXT, b"only GET is allowed\n")
        if path == "/metrics":
            metrics.record_units(self._node.limiter.report_units())
            return _build_answer(200, _TEXT, metrics.render())
        if path == "/status":
            return _build_json(self._describe_status())
        if path == "/audit":
            return _build_json(self._describe_audit())
        return _build_answer(404, _TEXT, b"see /metrics, /status, /audit\n")

    def _describe_status(self) -> dict[str, Any]:
        node = self._node
        load = node.report_load()
        snapshot = node.store.snapshot
        return {
            "instance": node.identity.instance,
            "incarnation": node.identity.incarnation,
            "service": node.settings.instance.service,
            "data_centre": node.settings.instance.data_centre,
            "state": load.state.name.lower(),
            "in_progress": load.in_progress,
            "queued": load.queued,
            "limit": load.limit,
            "cold": load.cold,
            "list_revision": node.directory.current.revision,
            "instances": len(node.directory.current.entries),
            "documents": {
                document.name: document.version
                for document in snapshot.parsed.values()
            },
        }

    def _describe_audit(self) -> list[dict[str, Any]]:
        return [
            {
                "at_ms": int(entry.at.value),
                "instance": self._node.identity.instance,
                "document": entry.document,
                "version": entry.version,
                "accepted": entry.accepted,
                "origin": entry.origin,
                "details": list(entry.details),
            }
            for entry in self._node.trail.list_entries()
        ]


def _build_json(value: Any) -> calls.HttpAnswer:
    return _build_answer(200, _JSON, json.dumps(value).encode())


def _build_answer(status: int, kind: str, body: bytes) -> calls.HttpAnswer:
    return calls.HttpAnswer(
        status, (messages.Header("content-type", kind),), body
    )
