"""Readiness check for the platform and metrics for operators."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.node import http1
from cyclamenwell.sidecar import metrics as metrics_module
from cyclamenwell.sidecar import streams

__all__ = ["Operations"]

_IDLE_TIMEOUT = clock.Milliseconds(30_000)
_WRITE_TIMEOUT = clock.Milliseconds(5000)
# Probes and scrapes have no body.
_MAX_BODY_BYTES = 4096


class Operations:
    """Serves metrics on `/metrics` and readiness on all other paths.

    Parameters
    ----------
    is_ready : callable
        Returns whether callers should use this node.
    metrics : metrics_module.Metrics
        Metrics of the node.
    """

    def __init__(
        self, is_ready: Callable[[], bool], metrics: metrics_module.Metrics
    ) -> None:
        self._is_ready = is_ready
        self._metrics = metrics

    async def serve(self, stream: streams.Stream) -> None:
        """Serve one connection until it is closed."""
        parser = http1.RequestParser(_MAX_BODY_BYTES)
        while True:
            try:
                received = await _read_request(stream, parser)
            except (exceptions.ProtocolError, exceptions.RefusedError):
                # Nothing is owed to a caller that no probe or scrape is.
                return
            if received is None:
                return
            stream.is_in_use = True
            status, body = self._answer(received.request.path)
            head = (
                f"HTTP/1.1 {status}\r\n"
                "content-type: text/plain; version=0.0.4\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            stream.send(head.encode() + body)
            await stream.flush(_WRITE_TIMEOUT)
            stream.is_in_use = False

    def _answer(self, path: str) -> tuple[str, bytes]:
        if path.partition("?")[0] == "/metrics":
            return "200 OK", self._metrics.render()
        if self._is_ready():
            return "200 OK", b"ready\n"
        return "503 Service Unavailable", b"not ready\n"


async def _read_request(
    stream: streams.Stream, parser: http1.RequestParser
) -> http1.ReceivedRequest | None:
    """Return the next request, or None if there will be none."""
    while (received := parser.pop_request()) is None:
        try:
            data = await stream.receive(_IDLE_TIMEOUT)
        except TimeoutError:
            return None
        if not data:
            return None
        parser.feed(data)
    return received
