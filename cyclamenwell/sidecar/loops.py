"""The event loop of a sidecar node."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["build_loop"]

# Rounds of ready callbacks between two looks at the sockets.
_MAX_SKIPPED_POLLS = 6


class _PatientSelector(selectors.EpollSelector):
    """Asks the kernel only when no callback is ready.

    The loop would otherwise poll before each round of callbacks, and most
    wake-ups of a task are a round of their own: a system call for nothing.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, or nothing without asking."""
        is_poll = timeout is not None and timeout <= 0
        if is_poll and self._skipped < _MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def build_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(_PatientSelector())
