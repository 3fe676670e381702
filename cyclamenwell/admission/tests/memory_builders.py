"""Builders of connections that hold memory."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(eq=False)
class HolderStandin:
    """A connection that holds memory until it is evicted.

    Parameters
    ----------
    held_bytes : int
        Memory that is held.
    is_evictable : bool
        Whether the connection may be closed.
    is_evicted : bool
        Whether it was closed by the account.
    """

    held_bytes: int
    is_evictable: bool = True
    is_evicted: bool = False

    def evict(self) -> None:
        """Record the eviction."""
        self.is_evicted = True
        self.held_bytes = 0
