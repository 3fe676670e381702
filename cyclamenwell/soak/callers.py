"""Load generation of a soak run."""

from __future__ import annotations

import itertools
import json
import queue
import threading
from typing import Any

from cyclamenwell import clock
from cyclamenwell.idempotency import keys as idempotency_keys
from cyclamenwell.load import client as clients
from cyclamenwell.load import ports
from cyclamenwell.node import headers
from cyclamenwell.soak import fleet as fleets
from cyclamenwell.soak import history as histories
from cyclamenwell.soak import plans
from cyclamenwell.standin import target as targets

__all__ = ["Callers", "read_answer"]

_Outcome = histories.Outcome
_CALLER_COUNT = 128
# Wait beyond the deadline, to tell a late answer from a missing one.
_ANSWER_MARGIN = clock.Milliseconds(1_500)
_MAX_ENTRY_NODES = 3  # Nodes to try while connections are refused.
# A node may close a connection that has been idle for longer at any time, also
# while it lingers before it stops.
_MAX_IDLE_MS = 500.0
_END_MARGIN = clock.Milliseconds(20_000)
_PROBLEM_PREFIX = "urn:cyclamenwell:"


class Callers:
    """Sends the planned load from a pool of caller threads.

    Parameters
    ----------
    fleet : fleets.Fleet
        Nodes that receive the load.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._queue: queue.SimpleQueue[plans.Arrival | None] = (
            queue.SimpleQueue()
        )
        self._lock = threading.Lock()
        self._idempotency_keys: dict[int, str] = {}
        self._clock = clock.SystemClock()
        self.records: list[histories.CallRecord] = []

    def run(self) -> bool:
        """Send the load; return whether every caller thread finished."""
        threads = [
            threading.Thread(target=self._run_caller, daemon=True)
            for _ in range(_CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        for arrival in self._fleet.plan.arrivals:
            self._fleet.wait_until(arrival.at_ms)
            if self._fleet.ended.is_set():
                break
            self._queue.put(arrival)
        for _ in threads:
            self._queue.put(None)
        end = fleets.read_time() + _END_MARGIN.value
        for thread in threads:
            thread.join(max(end - fleets.read_time(), 0) / 1000)
        return not any(thread.is_alive() for thread in threads)

    def _run_caller(self) -> None:
        """Send queued calls over the persistent connections of one caller."""
        idle: dict[int, tuple[clients.ClientConnection, float]] = {}
        while (arrival := self._queue.get()) is not None:
            if self._fleet.ended.is_set():
                continue
            self._send(arrival, idle)
        for connection, _ in idle.values():
            connection.close()

    def _send(
        self,
        arrival: plans.Arrival,
        idle: dict[int, tuple[clients.ClientConnection, float]],
    ) -> None:
        """Send a call to one node after another until one accepts it."""
        entries = self._fleet.list_entry_nodes()
        first = int(arrival.entry * len(entries))
        order = itertools.islice(
            itertools.cycle(entries), first, first + _MAX_ENTRY_NODES
        )
        for number, (entry, port) in enumerate(order):
            connection, last_used = idle.pop(port, (None, 0.0))
            if (
                connection is None
                or fleets.read_time() - last_used > _MAX_IDLE_MS
            ):
                if connection is not None:
                    connection.close()
                connection = clients.ClientConnection(ports.LOOPBACK, port)
            record = self._attempt(arrival, number, entry, connection)
            idle[port] = (connection, record.ended)
            with self._lock:
                self.records.append(record)
            if record.outcome != _Outcome.UNSENT:
                return

    def _attempt(
        self,
        arrival: plans.Arrival,
        number: int,
        entry: str,
        connection: clients.ClientConnection,
    ) -> histories.CallRecord:
        call = arrival.call
        request_id = f"{call.number}.{arrival.attempt}.{number}"
        key = "" if call.route.open_to_all else self._fleet.choose_key(call)
        idempotency_key = self._get_idempotency_key(call)
        sent_headers = {
            "host": call.service,
            headers.TIMEOUT_MS: str(int(fleets.CALL_TIMEOUT.value)),
            targets.REQUEST_ID_HEADER: request_id,
        }
        if key:
            sent_headers[headers.AUTHORIZATION] = f"Bearer {key}"
        if idempotency_key:
            sent_headers[headers.IDEMPOTENCY_KEY] = idempotency_key
        timeout = fleets.CALL_TIMEOUT + _ANSWER_MARGIN
        if call.gone_after_ms:
            timeout = clock.Milliseconds(call.gone_after_ms)
        sent = fleets.read_time()
        try:
            answer = connection.request(
                call.route.method,
                f"/{call.route.name}/{call.number}",
                sent_headers,
                timeout,
            )
            fields = read_answer(answer)
        except clients.ClientError as error:
            fields = _read_failure(str(error), bool(call.gone_after_ms))
        return histories.CallRecord(
            request_id=request_id,
            call=call.number,
            organisation=call.organisation,
            service=call.service,
            importance=call.route.importance,
            idempotent=call.route.idempotent,
            open_to_all=call.route.open_to_all,
            key=key,
            idempotency_key=idempotency_key,
            entry=entry,
            sent=sent,
            ended=fleets.read_time(),
            **fields,
        )

    def _get_idempotency_key(self, call: plans.Call) -> str:
        """Return the idempotency key of a call, which its repeats share."""
        if call.route.idempotent:
            return ""
        with self._lock:
            key = self._idempotency_keys.get(call.number)
            if key is None:
                key = idempotency_keys.make_key(self._clock)
                self._idempotency_keys[call.number] = key
            return key


def read_answer(answer: clients.ClientAnswer) -> dict[str, Any]:
    """Return the record fields that a complete answer determines."""
    try:
        body = json.loads(answer.body)
    except ValueError:
        return {"outcome": _Outcome.FAILED, "kind": "not-json"}
    if answer.status == 200:
        return {
            "outcome": _Outcome.WHOLE,
            "echo": body.get("request_id", ""),
            "answered_for": _list_organisations(body),
        }
    kind = str(body.get("type", ""))
    if kind.startswith(_PROBLEM_PREFIX):
        return {
            "outcome": body["outcome"],
            "kind": kind.removeprefix(_PROBLEM_PREFIX),
        }
    return {"outcome": _Outcome.FAILED, "kind": answer.kind}


def _list_organisations(body: dict[str, Any]) -> tuple[str, ...]:
    organisations = []
    while body is not None:
        organisations.append(body.get("organisation", ""))
        body = body.get("further")
    return tuple(organisations)


def _read_failure(kind: str, is_abandoned: bool) -> dict[str, Any]:
    outcome = _Outcome.BROKEN
    if kind == "refused-connection":
        outcome = _Outcome.UNSENT
    elif kind == "timeout":
        outcome = _Outcome.GONE if is_abandoned else _Outcome.TIMEOUT
    return {"outcome": outcome, "kind": kind}
