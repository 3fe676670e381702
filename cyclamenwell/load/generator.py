"""Open-loop load generator that sends scheduled requests from many clients."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import queue
import threading
import time

from cyclamenwell import clock
from cyclamenwell.generated import experiments
from cyclamenwell.idempotency import keys as idempotency_keys
from cyclamenwell.load import arrivals
from cyclamenwell.load import client as clients
from cyclamenwell.load import deployment
from cyclamenwell.load import plans
from cyclamenwell.load import ports
from cyclamenwell.node import headers
from cyclamenwell.standin import target as targets

__all__ = ["LoadPart", "Sample", "read_samples", "run_part"]

WHOLE = "whole"
LATE = "late"
FAILED = "failed"
# Wait beyond the deadline, to tell a late answer from a missing one.
_LATE_ANSWER_MARGIN = clock.Milliseconds(500)
# Longest time for which a client retries a request in a retry storm.
_MAX_STORM_RETRY_TIME = clock.Milliseconds(8_000)
_JOIN_TIMEOUT = clock.Milliseconds(20_000)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPart:
    """Partition of the load that one process sends.

    Parameters
    ----------
    experiment : experiments.Experiment
        The experiment.
    caller_ports : tuple of int
        Ports to which clients send; each client uses one.
    start : float
        Monotonic time of the load start in milliseconds.
    index, count : int
        Index of this partition, from 0, and number of partitions.
    """

    experiment: experiments.Experiment
    caller_ports: tuple[int, ...]
    start: float
    index: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of a root request; times are relative to the load start.

    Parameters
    ----------
    number : int
        Index of the arrival in the schedule.
    organisation, request_class : str
        Organisation and class of the request.
    arrival, end : float
        Time of the scheduled arrival and of the last answer or failure, in
        milliseconds.
    outcome : str
        ``whole`` for a complete answer in time, ``late`` or ``failed``.
    attempts : tuple of tuple of float and str
        Send time in milliseconds and kind of failure, empty for a complete
        answer, of each attempt.
    """

    number: int
    organisation: str
    request_class: str
    arrival: float
    end: float
    outcome: str
    attempts: tuple[tuple[float, str], ...]


def run_part(part: LoadPart) -> list[Sample]:
    """Send a partition of the load and return a sample for each request."""
    schedule = [
        arrival
        for arrival in arrivals.build_schedule(part.experiment)
        if arrival.number % part.count == part.index
    ]
    pending: queue.SimpleQueue[arrivals.Arrival | None] = queue.SimpleQueue()
    samples: list[Sample] = []
    threads = [
        threading.Thread(
            target=_run_client,
            args=(part, index, pending, samples),
            daemon=True,
        )
        for index in range(part.experiment.clients)
    ]
    for thread in threads:
        thread.start()
    for arrival in schedule:
        _sleep_until(part.start + arrival.at)
        pending.put(arrival)
    for _ in threads:
        pending.put(None)
    end = time.monotonic() + _JOIN_TIMEOUT.seconds
    for thread in threads:
        thread.join(max(end - time.monotonic(), 0))
    return samples


def write_samples(path: pathlib.Path, samples: list[Sample]) -> None:
    """Write samples to a file as a JSON list."""
    plain = [dataclasses.asdict(sample) for sample in samples]
    path.write_text(json.dumps(plain), "utf-8")


def read_samples(path: pathlib.Path) -> list[Sample]:
    """Read samples that `write_samples` has written."""
    return [
        Sample(**raw | {"attempts": tuple(map(tuple, raw["attempts"]))})
        for raw in json.loads(path.read_text("utf-8"))
    ]


def _sleep_until(at: float) -> None:
    remaining = at - time.monotonic_ns() / 1e6
    if remaining > 0:
        time.sleep(remaining / 1000)


def _run_client(
    part: LoadPart,
    index: int,
    pending: queue.SimpleQueue[arrivals.Arrival | None],
    samples: list[Sample],
) -> None:
    """Send queued requests as one client over a persistent connection."""
    position = (index * part.count + part.index) % len(part.caller_ports)
    connection = clients.ClientConnection(
        ports.LOOPBACK, part.caller_ports[position]
    )
    sender = _RequestSender(part, connection)
    while (arrival := pending.get()) is not None:
        samples.append(sender.send(arrival))
    connection.close()


class _RequestSender:
    """Sends and measures the requests of one client."""

    def __init__(
        self, part: LoadPart, connection: clients.ClientConnection
    ) -> None:
        self._start = part.start
        self._connection = connection
        self._time = clock.SystemClock()
        self._classes = {plan.name: plan for plan in part.experiment.classes}

    def send(self, arrival: arrivals.Arrival) -> Sample:
        """Send a request; in a retry storm, retry until it succeeds."""
        request_class = self._classes[arrival.request_class]
        key = ""
        if not request_class.idempotent:
            key = idempotency_keys.make_key(self._time)
        attempts: list[tuple[float, str]] = []
        while True:
            sent = self._read_time()
            kind = self._send_attempt(
                arrival, request_class, key, len(attempts)
            )
            end = self._read_time()
            attempts.append((sent, kind))
            may_retry = end - arrival.at < _MAX_STORM_RETRY_TIME.value
            if not kind or not arrival.storm or not may_retry:
                break
        late = end - arrival.at > request_class.timeout.value
        outcome = FAILED if kind else LATE if late else WHOLE
        return Sample(
            arrival.number,
            arrival.organisation,
            arrival.request_class,
            arrival.at,
            end,
            outcome,
            tuple(attempts),
        )

    def _send_attempt(
        self,
        arrival: arrivals.Arrival,
        request_class: experiments.ClassPlan,
        key: str,
        attempt: int,
    ) -> str:
        """Send one attempt and return the kind of failure, empty for none."""
        request_id = f"{arrival.number}.{attempt}"
        organisation_key = deployment.build_key(arrival.organisation)
        sent = {
            "host": request_class.service,
            headers.AUTHORIZATION: f"Bearer {organisation_key}",
            headers.TIMEOUT_MS: str(int(request_class.timeout.value)),
            targets.REQUEST_ID_HEADER: request_id,
        }
        if key:
            sent[headers.IDEMPOTENCY_KEY] = key
        try:
            answer = self._connection.request(
                "GET" if request_class.idempotent else "POST",
                f"/{request_class.name}/{arrival.number}",
                sent,
                request_class.timeout + _LATE_ANSWER_MARGIN,
            )
        except clients.ClientError as error:
            return str(error)
        if answer.status != 200:
            return answer.kind
        return "" if answer.matches_request(request_id) else "foreign-answer"

    def _read_time(self) -> float:
        return self._time.now().value - self._start


def build_part(
    path: pathlib.Path,
    caller_ports: tuple[int, ...],
    start: float,
    index: int,
    count: int,
) -> LoadPart:
    """Return a partition of the load that an experiment file defines."""
    return LoadPart(
        plans.load_experiment(path), caller_ports, start, index, count
    )
