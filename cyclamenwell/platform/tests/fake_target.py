"""Fake target with the headers of the platform and injectable faults."""

from __future__ import annotations

import asyncio
import dataclasses

from cyclamenwell import clock
from cyclamenwell.node import calls
from cyclamenwell.node import http1
from cyclamenwell.platform import names
from cyclamenwell.sidecar import streams
from cyclamenwell.telemetry import structured_log

__all__ = ["FakeTarget", "Fault", "Run"]

_IDLE_TIMEOUT = clock.Milliseconds(60_000)
_NOISE = b"x" * 100_000
# Statuses of faults in which the target answers for a request that it has run.
_ERROR_STATUSES = {"busy": 503, "failing": 500}


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the target ran or started to run.

    Parameters
    ----------
    request : calls.HttpRequest
        Request as received.
    ended : bool
        Whether the target finished running it.
    begun : clock.Milliseconds
        Time at which the target started to run it.
    """

    request: calls.HttpRequest
    ended: bool
    begun: clock.Milliseconds


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Fault that the target injects into its next responses.

    Parameters
    ----------
    kind : str
        ``reset`` (no response), ``cut`` (half of the body), ``shed`` (reports
        that it did not run the request), ``misdirected``, ``unsealed``,
        ``foreign`` (a response to another request comes first),
        ``unframed`` (the body ends with the connection), ``encoded``,
        ``busy`` (503 for a request that was run), ``failing`` (500 for such a
        request), ``extra`` (bytes after the response), ``endless-head`` or
        ``endless-body`` (bytes that are no response, until the caller closes).
    times : int
        Number of responses with the fault.
    """

    kind: str
    times: int = 1


class FakeTarget:
    """Runs requests for a fixed time and records them.

    Parameters
    ----------
    target_id : str
        Identifier of the target.
    log : structured_log.StructuredLog
        Log for failures of connections.
    """

    def __init__(
        self, target_id: str, log: structured_log.StructuredLog
    ) -> None:
        self.target_id = target_id
        self.service_time = clock.Milliseconds(5)
        self.cold = clock.ZERO
        # Time from what a health report states to its arrival.
        self.probe_time = clock.ZERO
        # Body of the next answers, None for a short one with the identity.
        self.body: bytes | None = None
        # Headers of all answers in which the target states something of itself.
        self.statements: list[tuple[str, str]] = []
        self.runs: list[Run] = []
        self.connections = 0
        self.running = 0
        self.probes = 0
        self._does_fail_probes = False
        self._cold_until = clock.ZERO
        self._streams: set[streams.Stream] = set()
        self._faults: list[Fault] = []
        self._log = log
        self._time = clock.SystemClock()
        self._server: streams.Listener | None = None

    @property
    def port(self) -> int:
        """Port on which the target listens."""
        return self._server.port

    async def start(self, host: str, port: int = 0) -> None:
        """Start to accept connections."""
        self._server = streams.Listener(host, port, self._serve, self._log)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def restart(self, cold: clock.Milliseconds) -> None:
        """Abort all connections, as a crash does, and be cold for a time."""
        self._cold_until = self._time.now() + cold
        for stream in list(self._streams):
            stream.abort()

    def inject_faults(self, *faults: Fault) -> None:
        """Inject faults into the next responses."""
        self._faults += [
            Fault(fault.kind) for fault in faults for _ in range(fault.times)
        ]

    def clear_faults(self) -> None:
        """Answer without faults from now on."""
        self._faults.clear()

    def inject_probe_failures(self) -> None:
        """Close the connections of all further probes without an answer."""
        self._does_fail_probes = True

    async def _serve(self, stream: streams.Stream) -> None:
        self.connections += 1
        self._streams.add(stream)
        parser = http1.RequestParser()
        try:
            while await self._serve_next(stream, parser):
                pass
        finally:
            self._streams.discard(stream)

    async def _serve_next(
        self, stream: streams.Stream, parser: http1.RequestParser
    ) -> bool:
        """Serve the next request; return whether another one may follow."""
        while (received := parser.pop_request()) is None:
            data = await stream.receive(_IDLE_TIMEOUT)
            if not data:
                return False
            parser.feed(data)
        with stream.cancel_on_disconnect():
            return await self._answer(received.request, stream)

    async def _answer(
        self, request: calls.HttpRequest, stream: streams.Stream
    ) -> bool:
        if request.path == "/health":
            self.probes += 1
            if self._does_fail_probes:
                stream.abort()
                return False
            fields = [
                (names.INSTANCE_ID, self.target_id),
                (names.COLD_MS, f"{self._find_cold_remaining().value:g}"),
                *self.statements,
            ]
            await asyncio.sleep(self.probe_time.seconds)
            _send(stream, 200, fields, b"")
            return True
        fault = self._faults.pop(0).kind if self._faults else ""
        request_id = request.find_header(names.REQUEST_ID)
        intended = request.find_header(names.TARGET_INSTANCE)
        if fault == "misdirected" or intended != self.target_id:
            fields = [
                (names.INSTANCE_ID, "i-other"),
                (names.REQUEST_ID, request_id),
                (names.SERVER_LEAVING, "1"),
            ]
            _send(stream, 421, fields, b"")
            return True
        if fault == "shed":
            fields = [(names.NOT_EXECUTED, "1"), (names.REQUEST_ID, request_id)]
            fields += self.statements
            _send(stream, 503, fields, b"")
            return True
        await self._run(request)
        body = b"whole answer of " + request_id.encode()
        if self.body is not None:
            body = self.body
        fields = [(names.REQUEST_ID, request_id)]
        sealed = [*fields, (names.RESPONSE_SEAL, "seal"), *self.statements]
        if fault == "reset":
            stream.abort()
            return False
        if fault == "cut":
            _send(stream, 200, sealed, body, cut=len(body) // 2)
            return False
        if fault == "unframed":
            _send(stream, 200, sealed, body, is_framed=False)
            return False
        if fault == "endless-head":
            stream.send(b"HTTP/1.1 200 X\r\nx-noise: ")
            await _send_without_end(stream)
        if fault == "endless-body":
            _send(stream, 200, sealed, b"", is_framed=False)
            await _send_without_end(stream)
        if fault == "foreign":
            other = [(names.REQUEST_ID, "other"), (names.RESPONSE_SEAL, "x")]
            _send(stream, 200, other, b"another answer")
        if fault in _ERROR_STATUSES:
            _send(stream, _ERROR_STATUSES[fault], sealed, b"")
            return True
        if fault == "encoded":
            sealed.append(("content-encoding", "gzip"))
        _send(stream, 200, fields if fault == "unsealed" else sealed, body)
        if fault == "extra":
            _send(stream, 200, sealed, body)
        return True

    def _find_cold_remaining(self) -> clock.Milliseconds:
        """Return the time until the target has warmed up."""
        remaining = self._cold_until - self._time.now()
        return max(self.cold, remaining)

    async def _run(self, request: calls.HttpRequest) -> None:
        index = len(self.runs)
        started = self._time.now()
        self.runs.append(Run(request, False, started))
        self.running += 1
        try:
            await asyncio.sleep(self.service_time.seconds)
            self.runs[index] = Run(request, True, started)
        finally:
            self.running -= 1


def _send(
    stream: streams.Stream,
    status: int,
    fields: list[tuple[str, str]],
    body: bytes,
    cut: int | None = None,
    is_framed: bool = True,
) -> None:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    if is_framed:
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    stream.send(head + body[:cut])


async def _send_without_end(stream: streams.Stream) -> None:
    """Send bytes until the other side closes.

    Raises
    ------
    OSError
        When it has closed.
    """
    while True:
        stream.send(_NOISE)
        await stream.flush(_IDLE_TIMEOUT)
        await asyncio.sleep(0.001)
