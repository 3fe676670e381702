"""Stand-in of a target: a small model of a served back end."""

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

__all__ = ["RunRecord", "TargetPlan", "TargetStandin"]

REQUEST_ID = "x-request-id"
_LOOPBACK = "127.0.0.1"
_MAX_KEPT_REQUESTS = 10_000
_MAX_RECORDS = 500_000
_DEFAULT_TIMEOUT = clock.Milliseconds(60_000)
_CALLER_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_FURTHER_POOL_SIZE = 256
_SHED_STATUS = 503
_FAILED_STATUS = 502  # Never the shed status: a part of the work has run.


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
        Path of the further calls.
    node_port : int
        Target-side port of the node beside it.
    further_services : tuple of str
        More services to call for each request, one after the other.
    service : str
        Service in the records.
    slots : int
        Requests that run at once, 0 for any number.
    variation : float
        Largest deviation of the service time, as a part of it.
    queue_penalty : float
        Growth of the service time when as many requests wait as there are
        slots, as a part of it.
    max_queued : int
        Waiting requests from which the target sheds, 0 for never.
    cold_slots : int
        Requests at once that the target can bear when it is cold, 0 for a
        target that is never cold.
    warm_requests : int
        Complete requests after which a cold target is warm.
    starts_cold : bool
        Whether the target is cold when it starts.
    slow_factor : float
        Factor on the service time.
    sheds : bool
        Whether the target answers every request with its shed status.
    passes_failures : bool
        Whether the status of a failed further call is passed on, which may be
        the shed status although a part of the work has run.
    health_lies, load_lies : bool
        Whether these endpoints report an idle, healthy target.
    seed : int
        Seed of the variation.
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
    def all_further(self) -> tuple[str, ...]:
        """All services to call for each request."""
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
        Key of the request, or empty.
    organisation : str
        Organisation that the node stated.
    request_id : str
        Identifier that the client gave to its request.
    start, end : float
        System-wide monotonic times in milliseconds.
    result : str
        ``complete``, ``failed``, ``stopped`` (deadline passed or caller gone)
        or ``shed``, which is the only one of a request that has not run.
    saw_key : bool
        Whether the request held the key of a caller.
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


class _Slots:
    """Slots, queue and temperature of a target.

    Notes
    -----
    The service time of a request is fixed when it starts, from the state of
    the target at that time.
    """

    def __init__(self, plan: TargetPlan) -> None:
        self._condition = threading.Condition()
        self._random = random.Random(plan.seed)
        self.plan = plan
        self.in_progress = 0
        self.queued = 0
        self._warmth = 0 if plan.starts_cold else plan.warm_requests

    def change(self, **values: Any) -> None:
        with self._condition:
            self.plan = dataclasses.replace(self.plan, **values)
            self._condition.notify_all()

    def turn_cold(self) -> None:
        with self._condition:
            self._warmth = 0

    def take(self, timeout: clock.Milliseconds) -> bool:
        """Wait for a slot; return whether there was one in time."""
        with self._condition:
            self.queued += 1
            try:
                if not self._condition.wait_for(self._is_free, timeout.seconds):
                    return False
                self.in_progress += 1
                return True
            finally:
                self.queued -= 1

    def give_back(self, complete: bool) -> None:
        with self._condition:
            self.in_progress -= 1
            if complete:
                self._warmth += 1
            self._condition.notify()

    def is_full(self) -> bool:
        """Return whether the target sheds the next request."""
        plan = self.plan
        return plan.sheds or bool(
            plan.max_queued and self.queued >= plan.max_queued
        )

    def choose_duration(self) -> clock.Milliseconds:
        """Return the service time of a request that starts now."""
        with self._condition:
            plan = self.plan
            spread = self._random.uniform(-plan.variation, plan.variation)
            factor = plan.slow_factor * (1 + spread)
            if plan.slots:
                factor *= 1 + plan.queue_penalty * self.queued / plan.slots
            return clock.Milliseconds(
                plan.service_ms * factor * self._find_cold_factor()
            )

    def _find_cold_factor(self) -> float:
        """Grow with the square of the load beyond what the target bears."""
        plan = self.plan
        if not plan.cold_slots or self._warmth >= plan.warm_requests:
            return 1.0
        warm_part = self._warmth / plan.warm_requests
        slots = max(plan.slots, plan.cold_slots)
        bearable = plan.cold_slots + (slots - plan.cold_slots) * warm_part
        return max(self.in_progress / bearable, 1.0) ** 2

    def _is_free(self) -> bool:
        return not self.plan.slots or self.in_progress < self.plan.slots


class TargetStandin:
    """Serves requests as its plan says and records them.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port, 0 for any free one.
    plan : TargetPlan
        Behaviour.
    control_port : int
        Port of the controls, 0 for any free one.

    Notes
    -----
    Controls: ``PUT /control/plan`` (JSON object with fields of the plan),
    ``PUT /control/cold``, ``PUT /control/connections`` (``accept`` or
    ``refuse``), ``GET /control/records``.
    """

    def __init__(
        self, host: str, port: int, plan: TargetPlan, control_port: int = 0
    ) -> None:
        self._host = host
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=_FURTHER_POOL_SIZE
        )
        self._slots = _Slots(plan)
        self._records: list[RunRecord] = []
        self.requests: collections.deque[calls.HttpRequest] = collections.deque(
            maxlen=_MAX_KEPT_REQUESTS
        )
        self._server = webserver.WebServer(host, port, self._answer)
        self._accepts = True
        self.port = self._server.port
        self._control = webserver.WebServer(
            _LOOPBACK, control_port, self._answer_control
        )

    @property
    def control_port(self) -> int:
        """Port of the controls."""
        return self._control.port

    @property
    def records(self) -> tuple[RunRecord, ...]:
        """Every request that reached the target and has ended."""
        with self._lock:
            return tuple(self._records)

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()
        self._control.start()

    def turn_cold(self) -> None:
        """Forget all warmth, as after a restart."""
        self._slots.turn_cold()

    def change_plan(self, **values: Any) -> None:
        """Change fields of the plan; running requests keep their time."""
        self._slots.change(**values)

    def set_accepting(self, accepts: bool) -> None:
        """Accept connections, or close the port and all connections."""
        with self._lock:
            if accepts == self._accepts:
                return
            self._accepts = accepts
            if not accepts:
                self._server.drain(clock.ZERO)
                return
            self._server = webserver.WebServer(
                self._host, self.port, self._answer
            )
            self._server.start()

    def _answer(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        if request.path == "/health":
            return self._answer_health()
        if request.path == "/load":
            return self._answer_load()
        self.requests.append(request)
        start = _read_time()
        if self._slots.is_full():
            self._record(request, start, "shed")
            return _build_json(_SHED_STATUS, {"error": "shed"})
        result, answer = self._serve(request, connection, start)
        self._record(request, start, result)
        return answer

    def _serve(
        self,
        request: calls.HttpRequest,
        connection: socket.socket,
        start: clock.Milliseconds,
    ) -> tuple[str, calls.HttpAnswer]:
        deadline = start + _read_timeout(request)
        if not self._slots.take(deadline - start):
            return "stopped", _build_json(504, {"error": "deadline passed"})
        complete = False
        try:
            if not self._work(connection, deadline):
                return "stopped", _build_json(504, {"error": "stopped"})
            body = self._build_body(request)
            for service in self._slots.plan.all_further:
                status, further = self._call_further(service, request, deadline)
                if status != 200:
                    failure = {"error": f"{service} failed", "cause": further}
                    passes = self._slots.plan.passes_failures
                    failed = status if passes else _FAILED_STATUS
                    return "failed", _build_json(failed, failure)
                body["further"] = further
            complete = True
            return "complete", _build_json(200, body)
        finally:
            self._slots.give_back(complete)

    def _work(
        self, connection: socket.socket, deadline: clock.Milliseconds
    ) -> bool:
        """Take the service time; return whether the work was finished."""
        duration = self._slots.choose_duration()
        remaining = deadline - _read_time()
        poller = select.poll()
        poller.register(connection, _CALLER_GONE)
        wait = min(duration, max(remaining, clock.ZERO))
        # Truncation would make every service time up to 1 ms shorter.
        if poller.poll(int(wait.value + 0.5)):
            return False
        return duration <= remaining

    def _build_body(self, request: calls.HttpRequest) -> dict[str, Any]:
        return {
            "target": self._slots.plan.name,
            "organisation": request.find_header(headers.ORGANISATION),
            "has_key": bool(request.find_header(headers.AUTHORIZATION)),
            "request_id": request.find_header(REQUEST_ID),
        }

    def _call_further(
        self,
        service: str,
        request: calls.HttpRequest,
        deadline: clock.Milliseconds,
    ) -> tuple[int, Any]:
        plan = self._slots.plan
        remaining = max(deadline - _read_time(), clock.Milliseconds(1))
        try:
            response = self._pool.request(
                "GET",
                f"http://{_LOOPBACK}:{plan.node_port}{plan.further_path}",
                headers={
                    "Host": service,
                    headers.CONTEXT: request.find_header(headers.CONTEXT),
                    REQUEST_ID: request.find_header(REQUEST_ID),
                },
                timeout=remaining.seconds,
            )
            return response.status, json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return 0, {"error": str(error)}

    def _record(
        self, request: calls.HttpRequest, start: clock.Milliseconds, result: str
    ) -> None:
        plan = self._slots.plan
        record = RunRecord(
            service=plan.service,
            target=plan.name,
            idempotency_key=request.find_header(headers.IDEMPOTENCY_KEY),
            organisation=request.find_header(headers.ORGANISATION),
            request_id=request.find_header(REQUEST_ID),
            start=start.value,
            end=_read_time().value,
            result=result,
            saw_key=_holds_key(request),
        )
        with self._lock:
            if len(self._records) < _MAX_RECORDS:
                self._records.append(record)

    def _answer_health(self) -> calls.HttpAnswer:
        healthy = self._slots.plan.health_lies or not self._slots.is_full()
        return _build_json(200 if healthy else 503, {"healthy": healthy})

    def _answer_load(self) -> calls.HttpAnswer:
        slots = self._slots
        idle = slots.plan.load_lies
        return _build_json(
            200,
            {
                "in_progress": 0 if idle else slots.in_progress,
                "queued": 0 if idle else slots.queued,
                "slots": slots.plan.slots,
            },
        )

    def _answer_control(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        del connection
        if request.path == "/control/records":
            return _build_json(
                200, [dataclasses.asdict(r) for r in self.records]
            )
        if request.method != "PUT":
            return _build_json(405, {"error": "use PUT"})
        text = request.body.decode("utf-8")
        if request.path == "/control/plan":
            return self._control_plan(text)
        if request.path == "/control/cold":
            self.turn_cold()
            return _build_json(200, {})
        if request.path == "/control/connections":
            if text not in ("accept", "refuse"):
                return _build_json(400, {"error": "accept or refuse"})
            self.set_accepting(text == "accept")
            return _build_json(200, {})
        return _build_json(404, {"error": "no such control"})

    def _control_plan(self, text: str) -> calls.HttpAnswer:
        try:
            self.change_plan(**json.loads(text))
        except (TypeError, ValueError) as error:
            return _build_json(400, {"error": str(error)})
        return _build_json(200, {})


def _read_time() -> clock.Milliseconds:
    """Return the monotonic time, which all processes of a machine share."""
    return clock.Milliseconds(time.monotonic_ns() / 1e6)


def _holds_key(request: calls.HttpRequest) -> bool:
    """Return whether any header holds a caller's key."""
    return any(
        header.name == headers.AUTHORIZATION or "Bearer " in header.value
        for header in request.headers
    )


def _read_timeout(request: calls.HttpRequest) -> clock.Milliseconds:
    given = request.find_header(headers.TIMEOUT_MS)
    return clock.Milliseconds(int(given)) if given else _DEFAULT_TIMEOUT


def _build_json(status: int, value: Any) -> calls.HttpAnswer:
    kind = httpfields.Header("content-type", "application/json")
    return calls.HttpAnswer(status, (kind,), json.dumps(value).encode())
