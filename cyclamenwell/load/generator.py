"""Open-loop load: clients that send scheduled requests and measure them."""

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
# A client waits a little beyond the deadline, to tell a late answer from none.
_CLIENT_MARGIN = clock.Milliseconds(500)
# Bound on the time for which a client of a storm repeats a request.
_STORM_PATIENCE = clock.Milliseconds(8_000)
_END_MARGIN = clock.Milliseconds(20_000)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPart:
    """Part of the load that one process sends.

    Parameters
    ----------
    experiment : experiments.Experiment
        The experiment.
    caller_ports : tuple of int
        Ports to which clients send; each client uses one of them.
    start : float
        Monotonic time of the start of the load, in milliseconds.
    index, count : int
        Number of this part, from 0, and number of parts.
    """

    experiment: experiments.Experiment
    caller_ports: tuple[int, ...]
    start: float
    index: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What became of a root request; times from the start of the load.

    Parameters
    ----------
    number : int
        Number of the arrival.
    organisation, request_class : str
        Names.
    arrival, end : float
        Milliseconds of arrival and of the last answer or failure.
    outcome : str
        ``whole``, ``late`` or ``failed``.
    attempts : tuple of tuple of float and str
        Time of sending and kind of failure, empty for a whole answer, of each
        request that the client sent.
    """

    number: int
    organisation: str
    request_class: str
    arrival: float
    end: float
    outcome: str
    attempts: tuple[tuple[float, str], ...]


def run_part(part: LoadPart) -> list[Sample]:
    """Send a part of the load and return a sample for each request."""
    schedule = [
        one
        for one in arrivals.build_schedule(part.experiment)
        if one.number % part.count == part.index
    ]
    waiting: queue.SimpleQueue[arrivals.Arrival | None] = queue.SimpleQueue()
    samples: list[Sample] = []
    threads = [
        threading.Thread(
            target=_serve_client,
            args=(part, index, waiting, samples),
            daemon=True,
        )
        for index in range(part.experiment.clients)
    ]
    for thread in threads:
        thread.start()
    for one in schedule:
        _sleep_until(part.start + one.at)
        waiting.put(one)
    for _ in threads:
        waiting.put(None)
    end = time.monotonic() + _END_MARGIN.seconds
    for thread in threads:
        thread.join(max(end - time.monotonic(), 0))
    return samples


def write_samples(path: pathlib.Path, samples: list[Sample]) -> None:
    """Write samples as a JSON list."""
    plain = [dataclasses.asdict(sample) for sample in samples]
    path.write_text(json.dumps(plain), "utf-8")


def read_samples(path: pathlib.Path) -> list[Sample]:
    """Read what `write_samples` wrote."""
    return [
        Sample(**raw | {"attempts": tuple(map(tuple, raw["attempts"]))})
        for raw in json.loads(path.read_text("utf-8"))
    ]


def _sleep_until(at: float) -> None:
    remaining = at - time.monotonic_ns() / 1e6
    if remaining > 0:
        time.sleep(remaining / 1000)


def _serve_client(
    part: LoadPart,
    index: int,
    waiting: queue.SimpleQueue[arrivals.Arrival | None],
    samples: list[Sample],
) -> None:
    """Be one client, which keeps its connection from request to request."""
    position = (index * part.count + part.index) % len(part.caller_ports)
    connection = clients.ClientConnection(
        ports.LOOPBACK, part.caller_ports[position]
    )
    sender = _Sender(part, connection)
    while (arrival := waiting.get()) is not None:
        samples.append(sender.send(arrival))
    connection.close()


class _Sender:
    """Sends the requests of one client."""

    def __init__(
        self, part: LoadPart, connection: clients.ClientConnection
    ) -> None:
        self._start = part.start
        self._connection = connection
        self._time = clock.SystemClock()
        self._classes = {one.name: one for one in part.experiment.classes}

    def send(self, arrival: arrivals.Arrival) -> Sample:
        """Send a request, in a storm until it is answered."""
        request_class = self._classes[arrival.request_class]
        key = ""
        if not request_class.idempotent:
            key = idempotency_keys.make_key(self._time)
        attempts: list[tuple[float, str]] = []
        while True:
            sent = self._read_time()
            kind = self._attempt(arrival, request_class, key, len(attempts))
            end = self._read_time()
            attempts.append((sent, kind))
            patient = end - arrival.at < _STORM_PATIENCE.value
            if not kind or not arrival.storm or not patient:
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

    def _attempt(
        self,
        arrival: arrivals.Arrival,
        request_class: experiments.ClassPlan,
        key: str,
        attempt: int,
    ) -> str:
        """Send once; return the kind of failure, empty for a whole answer."""
        request_id = f"{arrival.number}.{attempt}"
        organisation_key = deployment.build_key(arrival.organisation)
        sent = {
            "host": request_class.service,
            headers.AUTHORIZATION: f"Bearer {organisation_key}",
            headers.TIMEOUT_MS: str(int(request_class.timeout.value)),
            targets.REQUEST_ID: request_id,
        }
        if key:
            sent[headers.IDEMPOTENCY_KEY] = key
        try:
            answer = self._connection.request(
                "GET" if request_class.idempotent else "POST",
                f"/{request_class.name}/{arrival.number}",
                sent,
                request_class.timeout + _CLIENT_MARGIN,
            )
        except clients.ClientError as error:
            return str(error)
        if answer.status != 200:
            return answer.kind
        return "" if answer.belongs_to(request_id) else "foreign-answer"

    def _read_time(self) -> float:
        return self._time.now().value - self._start


def build_part(
    path: pathlib.Path,
    caller_ports: tuple[int, ...],
    start: float,
    index: int,
    count: int,
) -> LoadPart:
    """Return a part of the load of an experiment's file."""
    return LoadPart(
        plans.load_experiment(path), caller_ports, start, index, count
    )
