"""Readiness for the platform and metrics for operators."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwell import clock
from cyclamenwell.node import http1
from cyclamenwell.sidecar import figures as figure_module
from cyclamenwell.sidecar import streams

__all__ = ["Operations"]

_IDLE = clock.Milliseconds(30_000)
_WRITE_WAIT = clock.Milliseconds(5000)


class Operations:
    """Answers `GET /metrics` and every other path as a readiness check.

    Parameters
    ----------
    is_ready : callable
        Returns whether callers shall use this node.
    figures : figure_module.Figures
        Metrics of the node.
    """

    def __init__(
        self, is_ready: Callable[[], bool], figures: figure_module.Figures
    ) -> None:
        self._is_ready = is_ready
        self._figures = figures

    async def serve(self, stream: streams.Stream) -> None:
        """Serve one connection until it ends."""
        parser = http1.RequestParser()
        while True:
            while (received := parser.take()) is None:
                try:
                    data = await stream.receive(_IDLE)
                except TimeoutError:
                    return
                if not data:
                    return
                parser.feed(data)
            status, body = self._answer(received.request.path)
            head = (
                f"HTTP/1.1 {status}\r\n"
                "content-type: text/plain; version=0.0.4\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            stream.send(head.encode() + body)
            await stream.flush(_WRITE_WAIT)

    def _answer(self, path: str) -> tuple[str, bytes]:
        if path.partition("?")[0] == "/metrics":
            return "200 OK", self._figures.render()
        if self._is_ready():
            return "200 OK", b"ready\n"
        return "503 Service Unavailable", b"not ready\n"
