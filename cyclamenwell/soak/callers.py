"""Callers of a soak run."""

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
_THREADS = 128
# A caller waits beyond the deadline, to tell a late answer from none.
_MARGIN = clock.Milliseconds(1_500)
_MAX_ENTRIES = 3  # Nodes that a caller tries while connections are refused.
# A connection that is idle for longer may end at any time, also during the
# time for which a leaving node lingers.
_MAX_IDLE_MS = 500.0
_END_MARGIN = clock.Milliseconds(20_000)
_PROBLEM = "urn:cyclamenwell:"


class Callers:
    """Sends the load of a plan.

    Parameters
    ----------
    fleet : fleets.Fleet
        Where it is sent.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._waiting: queue.SimpleQueue[plans.Arrival | None] = (
            queue.SimpleQueue()
        )
        self._lock = threading.Lock()
        self._idempotency_keys: dict[int, str] = {}
        self._time = clock.SystemClock()
        self.records: list[histories.CallRecord] = []

    def run(self) -> bool:
        """Send the load; return whether every caller got an end."""
        threads = [
            threading.Thread(target=self._serve, daemon=True)
            for _ in range(_THREADS)
        ]
        for thread in threads:
            thread.start()
        for arrival in self._fleet.plan.arrivals:
            self._fleet.wait_until(arrival.at_ms)
            if self._fleet.ended.is_set():
                break
            self._waiting.put(arrival)
        for _ in threads:
            self._waiting.put(None)
        end = fleets.read_time() + _END_MARGIN.value
        for thread in threads:
            thread.join(max(end - fleets.read_time(), 0) / 1000)
        return not any(thread.is_alive() for thread in threads)

    def _serve(self) -> None:
        """Be one caller, which keeps its connections."""
        kept: dict[int, tuple[clients.ClientConnection, float]] = {}
        while (arrival := self._waiting.get()) is not None:
            if self._fleet.ended.is_set():
                continue
            self._send(arrival, kept)
        for connection, _ in kept.values():
            connection.close()

    def _send(
        self,
        arrival: plans.Arrival,
        kept: dict[int, tuple[clients.ClientConnection, float]],
    ) -> None:
        """Send to one node after another until one takes the request."""
        entries = self._fleet.list_entries()
        first = int(arrival.entry * len(entries))
        order = itertools.islice(
            itertools.cycle(entries), first, first + _MAX_ENTRIES
        )
        for number, (entry, port) in enumerate(order):
            connection, used = kept.pop(port, (None, 0.0))
            if connection is None or fleets.read_time() - used > _MAX_IDLE_MS:
                if connection is not None:
                    connection.close()
                connection = clients.ClientConnection(ports.LOOPBACK, port)
            record = self._attempt(arrival, number, entry, connection)
            kept[port] = (connection, record.ended)
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
        idempotency_key = self._find_key(call)
        sent_headers = {
            "host": call.service,
            headers.TIMEOUT_MS: str(int(fleets.CALL_TIMEOUT.value)),
            targets.REQUEST_ID: request_id,
        }
        if key:
            sent_headers[headers.AUTHORIZATION] = f"Bearer {key}"
        if idempotency_key:
            sent_headers[headers.IDEMPOTENCY_KEY] = idempotency_key
        timeout = fleets.CALL_TIMEOUT + _MARGIN
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
            seen = read_answer(answer)
        except clients.ClientError as error:
            seen = _read_failure(str(error), bool(call.gone_after_ms))
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
            **seen,
        )

    def _find_key(self, call: plans.Call) -> str:
        """Return the idempotency key of a call, the same for repeats."""
        if call.route.idempotent:
            return ""
        with self._lock:
            known = self._idempotency_keys.get(call.number)
            if known is None:
                known = idempotency_keys.make_key(self._time)
                self._idempotency_keys[call.number] = known
            return known


def read_answer(answer: clients.ClientAnswer) -> dict[str, Any]:
    """Return the fields of a record that a whole answer gives."""
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
    if kind.startswith(_PROBLEM):
        return {
            "outcome": body["outcome"],
            "kind": kind.removeprefix(_PROBLEM),
        }
    return {"outcome": _Outcome.FAILED, "kind": answer.kind}


def _list_organisations(body: dict[str, Any]) -> tuple[str, ...]:
    found = []
    while body is not None:
        found.append(body.get("organisation", ""))
        body = body.get("further")
    return tuple(found)


def _read_failure(kind: str, goes_away: bool) -> dict[str, Any]:
    outcome = _Outcome.BROKEN
    if kind == "refused-connection":
        outcome = _Outcome.UNSENT
    elif kind == "timeout":
        outcome = _Outcome.GONE if goes_away else _Outcome.TIMEOUT
    return {"outcome": outcome, "kind": kind}
