"""Restart of background work that fails unexpectedly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from cyclamenwell import clock
from cyclamenwell.telemetry import structured_log

__all__ = ["run_supervised"]

# Bounds the log lines of work that fails each time; short, since a node that
# does not follow the store has to notice changes within seconds.
_RESTART_DELAY = clock.Milliseconds(250)


async def run_supervised(
    work: Callable[[], Coroutine[Any, Any, None]],
    log: structured_log.StructuredLog,
    restart_delay: clock.Milliseconds = _RESTART_DELAY,
) -> None:
    """Run background work until it ends, and restart it after each failure.

    One malformed message must not end the process: the node serves on while
    the failed part starts again.

    Parameters
    ----------
    work : callable
        Starts the work.
    log : structured_log.StructuredLog
        Receives the failures.
    restart_delay : clock.Milliseconds
        Pause before a restart.
    """
    while True:
        try:
            return await work()
        except Exception as error:
            log.record_exception("node.work_failed", error)
        await asyncio.sleep(restart_delay.seconds)
