"""Stand-in of a target: a service with further calls."""

from __future__ import annotations

import dataclasses
import json
import socket
import threading
import time

import urllib3

from cyclamenwell.generated import messages
from cyclamenwell.node import calls
from cyclamenwell.node import headers
from cyclamenwell.node import webserver

__all__ = ["TargetPlan", "TargetStandin"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """How a stand-in target behaves.

    Parameters
    ----------
    name : str
        Name in its answers.
    service_ms : float
        Time of one request, in milliseconds.
    further_service : str
        Service to call for each request, empty for none.
    further_path : str
        Path of the further call.
    node_port : int
        Target-side port of the node beside it.
    """

    name: str
    service_ms: float = 0.0
    further_service: str = ""
    further_path: str = "/"
    node_port: int = 0


class TargetStandin:
    """Answers every request and records it.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port, 0 for any free one.
    plan : TargetPlan
        Behaviour.
    """

    def __init__(self, host: str, port: int, plan: TargetPlan) -> None:
        self._plan = plan
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(retries=False, maxsize=16)
        self.requests: list[calls.HttpRequest] = []
        self._server = webserver.WebServer(host, port, self._answer)

    @property
    def port(self) -> int:
        """Port on which the stand-in listens."""
        return self._server.port

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def _answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        del connection
        with self._lock:
            self.requests.append(request)
        if self._plan.service_ms:
            time.sleep(self._plan.service_ms / 1000)
        body = {
            "target": self._plan.name,
            "organisation": request.find_header(headers.ORGANISATION),
            "has_key": bool(request.find_header(headers.AUTHORIZATION)),
        }
        if self._plan.further_service:
            status, further = self._call_further(request)
            if status != 200:
                return _build_json(status, further)
            body["further"] = further
        return _build_json(200, body)

    def _call_further(self, request: calls.HttpRequest) -> tuple[int, dict]:
        response = self._pool.request(
            "GET",
            f"http://127.0.0.1:{self._plan.node_port}{self._plan.further_path}",
            headers={
                "Host": self._plan.further_service,
                headers.CONTEXT: request.find_header(headers.CONTEXT),
            },
        )
        return response.status, json.loads(response.data)


def _build_json(status: int, value: dict) -> calls.HttpAnswer:
    kind = messages.Header("content-type", "application/json")
    return calls.HttpAnswer(status, (kind,), json.dumps(value).encode())
