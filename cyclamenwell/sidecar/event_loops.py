"""Event loop of a sidecar node."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["build_loop"]

# Rounds of ready callbacks that may run before the sockets are polled again.
_MAX_SKIPPED_POLLS = 6


class _PollSkippingSelector(selectors.EpollSelector):
    """Selector that skips most polls while callbacks are ready.

    The event loop polls the sockets before each round of callbacks. Most task
    wake-ups form a round of their own, so most of these system calls return
    nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready events, or none if the poll is skipped."""
        is_poll = timeout is not None and timeout <= 0
        if is_poll and self._skipped < _MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def build_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(_PollSkippingSelector())
