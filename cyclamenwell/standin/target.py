"""Simulated target: a model of a back end with limited concurrency."""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import select
import socket
import threading
import time
from typing import Any

import urllib3

from cyclamenwell import clock
from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import headers
from cyclamenwell.node import webserver

__all__ = ["RunRecord", "SimulatedTarget", "TargetPlan"]

REQUEST_ID_HEADER = "x-request-id"
_LOOPBACK = "127.0.0.1"
_MAX_STORED_REQUESTS = 10_000
_MAX_RECORDS = 500_000
_DEFAULT_TIMEOUT = clock.Milliseconds(60_000)
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_NESTED_CALL_POOL_SIZE = 256
_SHED_STATUS = 503
# Differs from the shed status, because part of the work has run.
_NESTED_FAILURE_STATUS = 502


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """Behaviour of a simulated target.

    Parameters
    ----------
    name : str
        Name of the target in answers and records.
    service_ms : float
        Base service time of a request, in milliseconds.
    further_service : str
        Service that each request calls, empty for none.
    further_path : str
        Path of the nested calls.
    node_port : int
        Target-side port of the node on the same instance.
    further_services : tuple of str
        More services that each request calls, in sequence.
    service : str
        Name of the service in the records.
    slots : int
        Requests that run concurrently, 0 for no limit.
    variation : float
        Largest deviation from the service time, as a fraction of it.
    queue_penalty : float
        Increase of the service time when as many requests are queued as there
        are slots, as a fraction of the service time.
    max_queued : int
        Queue length from which the target sheds requests, 0 for never.
    cold_slots : int
        Concurrent requests that a cold target serves without slowdown, 0 for
        no cold start.
    warm_requests : int
        Completed requests after which a cold target is warm.
    starts_cold : bool
        Whether the target is cold when it starts.
    slow_factor : float
        Multiplier of the service time.
    sheds : bool
        Whether the target sheds every request.
    passes_failures : bool
        Whether the target answers with the status of a failed nested call.
        This may be the shed status, although part of the work has run.
    health_lies, load_lies : bool
        Whether the health or load endpoint always reports a healthy or idle
        target.
    seed : int
        Seed of the random variation.
    """

    name: str
    service_ms: float = 0.0
    further_service: str = ""
    further_path: str = "/"
    node_port: int = 0
    further_services: tuple[str, ...] = ()
    service: str = ""
    slots: int = 0
    variation: float = 0.0
    queue_penalty: float = 0.0
    max_queued: int = 0
    cold_slots: int = 0
    warm_requests: int = 100
    starts_cold: bool = True
    slow_factor: float = 1.0
    sheds: bool = False
    passes_failures: bool = False
    health_lies: bool = False
    load_lies: bool = False
    seed: int = 0

    @property
    def called_services(self) -> tuple[str, ...]:
        """All services that each request calls, in sequence."""
        first = (self.further_service,) if self.further_service else ()
        return first + self.further_services


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """A request that reached the target.

    Parameters
    ----------
    service : str
        Service of the target.
    target : str
        Name of the target.
    idempotency_key : str
        Idempotency key of the request, empty if it had none.
    organisation : str
        Organisation that the node put into the request.
    request_id : str
        Identifier that the client gave to the request.
    start, end : float
        Times of the system-wide monotonic clock, in milliseconds.
    result : str
        ``complete``, ``failed`` (a nested call failed), ``stopped`` (deadline
        passed or caller disconnected) or ``shed``. Only ``shed`` states that
        the request has not run.
    saw_key : bool
        Whether the request contained a caller's API key.
    """

    service: str
    target: str
    idempotency_key: str
    organisation: str
    request_id: str
    start: float
    end: float
    result: str
    saw_key: bool = False


class _ServerModel:
    """Concurrency limit, queue and cold start of a target.

    Notes
    -----
    The service time of a request is computed when it starts and does not
    follow later changes of the state or the plan.
    """

    def __init__(self, plan: TargetPlan) -> None:
        self._condition = threading.Condition()
        self._random = random.Random(plan.seed)
        self.plan = plan
        self.in_progress = 0
        self.queued = 0
        self._completed_since_cold = (
            0 if plan.starts_cold else plan.warm_requests
        )

    def change_plan(self, **values: Any) -> None:
        with self._condition:
            self.plan = dataclasses.replace(self.plan, **values)
            self._condition.notify_all()

    def restart_warm_up(self) -> None:
        with self._condition:
            self._completed_since_cold = 0

    def acquire_slot(self, timeout: clock.Milliseconds) -> bool:
        """Wait for a slot; return whether one was free before the timeout."""
        with self._condition:
            self.queued += 1
            try:
                if not self._condition.wait_for(
                    self._has_free_slot, timeout.seconds
                ):
                    return False
                self.in_progress += 1
                return True
            finally:
                self.queued -= 1

    def release_slot(self, complete: bool) -> None:
        with self._condition:
            self.in_progress -= 1
            if complete:
                self._completed_since_cold += 1
            self._condition.notify()

    def is_shedding(self) -> bool:
        """Return whether the target would shed a request now."""
        plan = self.plan
        return plan.sheds or bool(
            plan.max_queued and self.queued >= plan.max_queued
        )

    def compute_service_time(self) -> clock.Milliseconds:
        """Return the service time of a request that starts now."""
        with self._condition:
            plan = self.plan
            deviation = self._random.uniform(-plan.variation, plan.variation)
            factor = plan.slow_factor * (1 + deviation)
            if plan.slots:
                factor *= 1 + plan.queue_penalty * self.queued / plan.slots
            return clock.Milliseconds(
                plan.service_ms * factor * self._compute_cold_factor()
            )

    def _compute_cold_factor(self) -> float:
        """Return the slowdown while the target is cold, 1 when it is warm.

        The slowdown is the square of the ratio of running requests to
        capacity, and at least 1. The capacity grows linearly with the number
        of requests completed since the cold start.
        """
        plan = self.plan
        if (
            not plan.cold_slots
            or self._completed_since_cold >= plan.warm_requests
        ):
            return 1.0
        warm_fraction = self._completed_since_cold / plan.warm_requests
        slots = max(plan.slots, plan.cold_slots)
        capacity = plan.cold_slots + (slots - plan.cold_slots) * warm_fraction
        return max(self.in_progress / capacity, 1.0) ** 2

    def _has_free_slot(self) -> bool:
        return not self.plan.slots or self.in_progress < self.plan.slots


class SimulatedTarget:
    """Serves requests as its plan describes and records them.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        Port to listen on, 0 for any free port.
    plan : TargetPlan
        Initial behaviour.
    control_port : int
        Port of the control endpoints, 0 for any free port.

    Notes
    -----
    Control endpoints: ``PUT /control/plan`` (JSON object with fields of the
    plan), ``PUT /control/cold``, ``PUT /control/connections`` (``accept`` or
    ``refuse``) and ``GET /control/records``.
    """

    def __init__(
        self, host: str, port: int, plan: TargetPlan, control_port: int = 0
    ) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=_NESTED_CALL_POOL_SIZE
        )
        self._model = _ServerModel(plan)
        self._records: list[RunRecord] = []
        self.requests: collections.deque[calls.HttpRequest] = collections.deque(
            maxlen=_MAX_STORED_REQUESTS
        )
        self._server = webserver.WebServer(host, port, self._handle_request)
        self._is_accepting = True
        self.port = self._server.port
        self._control = webserver.WebServer(
            _LOOPBACK, control_port, self._handle_control
        )

    @property
    def control_port(self) -> int:
        """Port of the control endpoints."""
        return self._control.port

    @property
    def records(self) -> tuple[RunRecord, ...]:
        """Records of all requests that have ended, ordered by their end."""
        with self._lock:
            return tuple(self._records)

    def start(self) -> None:
        """Start the servers for requests and for control."""
        self._server.start()
        self._control.start()

    def restart_warm_up(self) -> None:
        """Restart the warm-up, as a restart of the target does."""
        self._model.restart_warm_up()

    def change_plan(self, **values: Any) -> None:
        """Change fields of the plan.

        The service times of running requests do not change.
        """
        self._model.change_plan(**values)

    def set_accepting(self, accepts: bool) -> None:
        """Accept connections, or close the listener and all connections."""
        with self._lock:
            if accepts == self._is_accepting:
                return
            self._is_accepting = accepts
            if not accepts:
                self._server.drain(clock.ZERO)
                return
            self._server = webserver.WebServer(
                self._host, self.port, self._handle_request
            )
            self._server.start()

    def _handle_request(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        if request.path == "/health":
            return self._answer_health()
        if request.path == "/load":
            return self._answer_load()
        self.requests.append(request)
        start = _read_time()
        if self._model.is_shedding():
            self._add_record(request, start, "shed")
            return _build_json_answer(_SHED_STATUS, {"error": "shed"})
        result, answer = self._serve(request, connection, start)
        self._add_record(request, start, result)
        return answer

    def _serve(
        self,
        request: calls.HttpRequest,
        connection: socket.socket,
        start: clock.Milliseconds,
    ) -> tuple[str, calls.HttpAnswer]:
        deadline = start + _read_timeout(request)
        if not self._model.acquire_slot(deadline - start):
            return "stopped", _build_json_answer(
                504, {"error": "deadline passed"}
            )
        complete = False
        try:
            if not self._simulate_work(connection, deadline):
                return "stopped", _build_json_answer(504, {"error": "stopped"})
            body = self._build_body(request)
            for service in self._model.plan.called_services:
                status, nested = self._call_service(service, request, deadline)
                if status != 200:
                    failure = {"error": f"{service} failed", "cause": nested}
                    passes_status = self._model.plan.passes_failures
                    failure_status = (
                        status if passes_status else _NESTED_FAILURE_STATUS
                    )
                    return "failed", _build_json_answer(failure_status, failure)
                body["further"] = nested
            complete = True
            return "complete", _build_json_answer(200, body)
        finally:
            self._model.release_slot(complete)

    def _simulate_work(
        self, connection: socket.socket, deadline: clock.Milliseconds
    ) -> bool:
        """Wait for the service time of the request.

        Returns
        -------
        bool
            Whether the service time elapsed before the deadline and before
            the caller disconnected.
        """
        duration = self._model.compute_service_time()
        remaining = deadline - _read_time()
        poller = select.poll()
        poller.register(connection, _DISCONNECT_EVENTS)
        wait = min(duration, max(remaining, clock.ZERO))
        # Rounds, since truncation would shorten service times by up to 1 ms.
        if poller.poll(int(wait.value + 0.5)):
            return False
        return duration <= remaining

    def _build_body(self, request: calls.HttpRequest) -> dict[str, Any]:
        return {
            "target": self._model.plan.name,
            "organisation": request.find_header(headers.ORGANISATION),
            "has_key": bool(request.find_header(headers.AUTHORIZATION)),
            "request_id": request.find_header(REQUEST_ID_HEADER),
        }

    def _call_service(
        self,
        service: str,
        request: calls.HttpRequest,
        deadline: clock.Milliseconds,
    ) -> tuple[int, Any]:
        plan = self._model.plan
        remaining = max(deadline - _read_time(), clock.Milliseconds(1))
        try:
            response = self._pool.request(
                "GET",
                f"http://{_LOOPBACK}:{plan.node_port}{plan.further_path}",
                headers={
                    "Host": service,
                    headers.CONTEXT: request.find_header(headers.CONTEXT),
                    REQUEST_ID_HEADER: request.find_header(REQUEST_ID_HEADER),
                },
                timeout=remaining.seconds,
            )
            return response.status, json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return 0, {"error": str(error)}

    def _add_record(
        self, request: calls.HttpRequest, start: clock.Milliseconds, result: str
    ) -> None:
        plan = self._model.plan
        record = RunRecord(
            service=plan.service,
            target=plan.name,
            idempotency_key=request.find_header(headers.IDEMPOTENCY_KEY),
            organisation=request.find_header(headers.ORGANISATION),
            request_id=request.find_header(REQUEST_ID_HEADER),
            start=start.value,
            end=_read_time().value,
            result=result,
            saw_key=_contains_api_key(request),
        )
        with self._lock:
            if len(self._records) < _MAX_RECORDS:
                self._records.append(record)

    def _answer_health(self) -> calls.HttpAnswer:
        healthy = self._model.plan.health_lies or not self._model.is_shedding()
        return _build_json_answer(200 if healthy else 503, {"healthy": healthy})

    def _answer_load(self) -> calls.HttpAnswer:
        model = self._model
        reports_idle = model.plan.load_lies
        return _build_json_answer(
            200,
            {
                "in_progress": 0 if reports_idle else model.in_progress,
                "queued": 0 if reports_idle else model.queued,
                "slots": model.plan.slots,
            },
        )

    def _handle_control(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        del connection
        if request.path == "/control/records":
            return _build_json_answer(
                200, [dataclasses.asdict(r) for r in self.records]
            )
        if request.method != "PUT":
            return _build_json_answer(405, {"error": "use PUT"})
        text = request.body.decode("utf-8")
        if request.path == "/control/plan":
            return self._handle_plan(text)
        if request.path == "/control/cold":
            self.restart_warm_up()
            return _build_json_answer(200, {})
        if request.path == "/control/connections":
            if text not in ("accept", "refuse"):
                return _build_json_answer(
                    400, {"error": "body must be accept or refuse"}
                )
            self.set_accepting(text == "accept")
            return _build_json_answer(200, {})
        return _build_json_answer(404, {"error": "no such control"})

    def _handle_plan(self, text: str) -> calls.HttpAnswer:
        try:
            self.change_plan(**json.loads(text))
        except (TypeError, ValueError) as error:
            return _build_json_answer(400, {"error": str(error)})
        return _build_json_answer(200, {})


def _read_time() -> clock.Milliseconds:
    """Return the monotonic time, which all local processes share."""
    return clock.Milliseconds(time.monotonic_ns() / 1e6)


def _contains_api_key(request: calls.HttpRequest) -> bool:
    """Return whether any header contains a caller's API key."""
    return any(
        header.name == headers.AUTHORIZATION or "Bearer " in header.value
        for header in request.headers
    )


def _read_timeout(request: calls.HttpRequest) -> clock.Milliseconds:
    timeout = request.find_header(headers.TIMEOUT_MS)
    return clock.Milliseconds(int(timeout)) if timeout else _DEFAULT_TIMEOUT


def _build_json_answer(status: int, value: Any) -> calls.HttpAnswer:
    content_type = httpfields.Header("content-type", "application/json")
    return calls.HttpAnswer(status, (content_type,), json.dumps(value).encode())
