"""HTTP endpoints for operators: metrics, status and audit trail."""

from __future__ import annotations

import json
import socket
from typing import Any

from cyclamenwell import clock
from cyclamenwell.generated import httpfields
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.node import calls
from cyclamenwell.node import components
from cyclamenwell.telemetry import metrics

__all__ = ["Operations"]

_TEXT = "text/plain; version=0.0.4; charset=utf-8"
_JSON = "application/json"


class Operations:
    """Answers HTTP requests of operators.

    Parameters
    ----------
    node : components.Components
        Components of the node to report on.
    """

    def __init__(self, node: components.Components) -> None:
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
            self._update_configuration_gauges()
            self._update_gate_gauges()
            metrics.set_share_gauges(self._node.limiter.report_units())
            return _build_answer(200, _TEXT, metrics.render())
        if path == "/status":
            return _build_json(self._describe_status())
        if path == "/audit":
            return _build_json(self._describe_audit())
        if path == "/instances":
            return _build_json(self._describe_instances())
        if path == "/documents":
            return _build_json(self._describe_documents())
        return _build_answer(
            404,
            _TEXT,
            b"see /metrics, /status, /audit, /instances, /documents\n",
        )

    def _update_configuration_gauges(self) -> None:
        node = self._node
        metrics.set_configuration_gauges(
            metrics.ConfigurationGauges(
                documents=len(node.store.snapshot.parsed),
                refused=node.store.refused_count,
                view_age=node.freshness.find_view_age(),
                platform_age=node.freshness.find_platform_age(),
            )
        )

    def _update_gate_gauges(self) -> None:
        load = self._node.report_load()
        metrics.set_gate_gauges(
            metrics.GateGauges(
                in_progress=load.in_progress,
                queued=load.queued,
                limit=load.limit,
                cold=load.cold,
            )
        )

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
            "list_revision": node.directory.current_list.revision,
            "instances": len(node.directory.current_list.entries),
            "view_age_ms": _convert_age(node.freshness.find_view_age()),
            "view_confirmed": node.freshness.is_confirmed(),
            "platform_age_ms": _convert_age(node.freshness.find_platform_age()),
            "reader": node.reader.is_reader,
            "neighbours": [
                link.peer.instance for link in node.disseminator.links
            ],
            "refused_documents": node.store.refused_count,
            "documents": {
                document.name: document.version
                for document in snapshot.parsed.values()
            },
        }

    def _describe_instances(self) -> list[dict[str, Any]]:
        directory = self._node.directory
        return [
            _describe_instance(
                entry,
                directory.find_record(entry.instance),
                self._node.time.now(),
            )
            for entry in directory.current_list.entries.values()
        ]

    def _describe_documents(self) -> list[dict[str, Any]]:
        return [
            {
                "name": document.name,
                "version": document.version,
                "text": document.text,
            }
            for document in self._node.store.snapshot.parsed.values()
        ]

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


def _describe_instance(
    entry: messages.InstanceEntry,
    record: directories.PeerRecord,
    now: clock.Milliseconds,
) -> dict[str, Any]:
    described: dict[str, Any] = {
        "instance": entry.instance,
        "service": entry.service,
        "data_centre": entry.data_centre,
        "listed": entry.state.name.lower(),
        "gone": record.gone,
    }
    if record.load is not None:
        described |= {
            "reported": record.load.state.name.lower(),
            "in_progress": record.load.in_progress,
            "queued": record.load.queued,
            "limit": record.load.limit,
            "cold": record.load.cold,
        }
    if record.heard_at is not None:
        described["heard_ms_ago"] = int((now - record.heard_at).value)
    return described


def _convert_age(age: clock.Milliseconds | None) -> int | None:
    return None if age is None else int(age.value)


def _build_json(value: Any) -> calls.HttpAnswer:
    return _build_answer(200, _JSON, json.dumps(value).encode())


def _build_answer(status: int, kind: str, body: bytes) -> calls.HttpAnswer:
    return calls.HttpAnswer(
        status, (httpfields.Header("content-type", kind),), body
    )
