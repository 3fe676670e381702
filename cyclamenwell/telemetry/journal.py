"""Structured log lines on standard output, bounded and never blocking."""

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

__all__ = ["Journal"]

# Lines of requests that were served; with the lines of all other kinds this
# keeps a node under about 100 KB of logs a second.
_MAX_ROUTINE_PER_SECOND = 200
_MAX_NOTABLE_PER_SECOND = 200
_MAX_WAITING_LINES = 4000
_FLUSH_INTERVAL = clock.Milliseconds(200)
_MAX_TRACE_CHARACTERS = 2000


class Journal:
    """Collects log lines and writes them from one task.

    Parameters
    ----------
    name : str
        Name of the instance, part of each line.
    time : clock.Clock
        Clock of the time stamps.
    descriptor : int
        Where lines are written.

    Notes
    -----
    Writing a line only appends to a bounded queue. A reader of standard output
    that stalls costs lines, which are counted, and never delays a request.
    """

    def __init__(
        self, name: str, time: clock.Clock, descriptor: int | None = None
    ) -> None:
        self._name = name
        self._time = time
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self._lines: collections.deque[str] = collections.deque()
        self._unwritten = b""
        self._routine = 0
        self._notable = 0
        self._omitted = 0
        self._second = 0.0

    def record_routine(self, event: str, **fields: Any) -> None:
        """Log a decision that is made for most requests."""
        self._begin_second()
        self._routine += 1
        if self._routine > _MAX_ROUTINE_PER_SECOND:
            self._omitted += 1
            return
        self._append(event, fields)

    def record(self, event: str, **fields: Any) -> None:
        """Log a decision or a change that explains a failure."""
        self._begin_second()
        self._notable += 1
        if self._notable > _MAX_NOTABLE_PER_SECOND:
            self._omitted += 1
            return
        self._append(event, fields)

    def report_failure(self, event: str, error: BaseException) -> None:
        """Log an unexpected exception with its traceback."""
        trace = "".join(traceback.format_exception(error))
        self.record(
            event, error=repr(error), trace=trace[-_MAX_TRACE_CHARACTERS:]
        )

    def flush(self) -> None:
        """Write as many lines as can be written without waiting."""
        if self._lines:
            text = "\n".join(self._lines) + "\n"
            self._lines.clear()
            self._unwritten += text.encode("utf-8", "replace")
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads standard output any more, so there is nowhere
                # to report this.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    async def run(self) -> None:
        """Write lines until cancelled."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL.seconds)
            self.flush()

    def _begin_second(self) -> None:
        now = self._time.now().seconds
        if now - self._second < 1.0:
            return
        omitted, self._omitted = self._omitted, 0
        self._second, self._routine, self._notable = now, 0, 0
        if omitted:
            self._append("log.omitted", {"lines": omitted})

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) >= _MAX_WAITING_LINES or (
            len(self._unwritten) > _MAX_WAITING_LINES * 100
        ):
            self._omitted += 1
            return
        line = {
            "time": round(self._time.wall().value / 1000.0, 6),
            "node": self._name,
            "event": event,
            **fields,
        }
        self._lines.append(json.dumps(line, separators=(",", ":"), default=str))
