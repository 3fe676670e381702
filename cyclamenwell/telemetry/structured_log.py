"""Structured, rate-limited logging to standard output without blocking."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import sys
import traceback
from typing import Any

from cyclamenwell import clock

__all__ = ["StructuredLog"]

# Limit on the lines about requests that were served. With the lines of all
# other kinds, it keeps a node under about 100 KB of logs a second.
_MAX_ROUTINE_PER_SECOND = 200
_MAX_OTHER_PER_SECOND = 200
_MAX_QUEUED_LINES = 4000
_FLUSH_INTERVAL = clock.Milliseconds(200)
_MAX_TRACE_CHARACTERS = 2000
_ENCODER = json.JSONEncoder(separators=(",", ":"), default=str)


class StructuredLog:
    """Queues log lines as JSON objects and writes them in one task.

    Parameters
    ----------
    name : str
        Name of the instance, which is part of each line.
    time : clock.Clock
        Clock of the time stamps.
    descriptor : int or None
        File descriptor to write to, None for standard output.

    Notes
    -----
    Logging a line only appends it to a bounded queue. If the reader of
    standard output stalls, lines are dropped and counted, but no request is
    delayed.
    """

    def __init__(
        self, name: str, time: clock.Clock, descriptor: int | None = None
    ) -> None:
        self._name = name
        self._time = time
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        # Lines are encoded in one go when they are written.
        self._lines: collections.deque[dict[str, Any]] = collections.deque()
        self._unwritten = b""
        self._routine_lines = 0
        self._other_lines = 0
        self._dropped_lines = 0
        self._window_start = 0.0

    def record_routine(self, event: str, **fields: Any) -> None:
        """Log an event that occurs for most requests."""
        self._advance_window()
        self._routine_lines += 1
        if self._routine_lines > _MAX_ROUTINE_PER_SECOND:
            self._dropped_lines += 1
            return
        self._append(event, fields)

    def record(self, event: str, **fields: Any) -> None:
        """Log an event that helps to explain a failure."""
        self._advance_window()
        self._other_lines += 1
        if self._other_lines > _MAX_OTHER_PER_SECOND:
            self._dropped_lines += 1
            return
        self._append(event, fields)

    def record_exception(self, event: str, error: BaseException) -> None:
        """Log an unexpected exception with its traceback."""
        trace = "".join(traceback.format_exception(error))
        self.record(
            event, error=repr(error), trace=trace[-_MAX_TRACE_CHARACTERS:]
        )

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        if self._lines:
            text = "".join(_ENCODER.encode(line) + "\n" for line in self._lines)
            self._lines.clear()
            self._unwritten += text.encode("utf-8", "replace")
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Standard output has no reader any more, so the lines are
                # dropped and the error cannot be reported.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Write queued lines at a fixed interval until cancelled."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL.seconds)
            self.flush()

    def _advance_window(self) -> None:
        now = self._time.now().seconds
        if now - self._window_start < 1.0:
            return
        dropped, self._dropped_lines = self._dropped_lines, 0
        self._window_start, self._routine_lines, self._other_lines = now, 0, 0
        if dropped:
            self._append("log.omitted", {"lines": dropped})

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) >= _MAX_QUEUED_LINES or (
            len(self._unwritten) > _MAX_QUEUED_LINES * 100
        ):
            self._dropped_lines += 1
            return
        self._lines.append(
            {
                "time": round(self._time.wall_time().value / 1000.0, 6),
                "node": self._name,
                "event": event,
                **fields,
            }
        )
