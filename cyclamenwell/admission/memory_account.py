"""Account of the memory that a node holds for others.

Answers the load of callers that are not under control: many connections whose
requests are large, never end, or get answers that nobody reads. A limit for
each connection bounds nothing while the number of connections may grow, so all
that is held is counted in one account. When it is full, the largest holder
whose request has not begun gives way, which is rarely an ordinary caller.
"""

from __future__ import annotations

from typing import Protocol

__all__ = ["BODY_COPIES", "Holder", "MemoryAccount", "find_capacity"]

_BYTES_PER_MEGABYTE = 1_000_000
# Memory of the process without any caller.
_RESIDENT_BYTES = 40 * _BYTES_PER_MEGABYTE
# The rest is for buffers of short life and the fragmentation of the heap.
_CAPACITY_PART = 0.5
_MIN_CAPACITY_BYTES = 8 * _BYTES_PER_MEGABYTE
# A body on its way is held as received, as encoded and as unsent bytes.
BODY_COPIES = 3
# After an eviction some room is left, so that not each byte causes another.
_TARGET_PART = 0.9
# A single large request is served while the others hold less than this part.
_CALM_PART = 0.25


class Holder(Protocol):
    """A connection for which the node holds memory."""

    @property
    def held_bytes(self) -> int:
        """Memory that is held for the connection."""

    @property
    def is_evictable(self) -> bool:
        """Whether the connection may be closed: no request of it runs."""

    def evict(self) -> None:
        """Close the connection and give its memory back."""


class MemoryAccount:
    """Memory held for connections and reserved for bodies.

    Parameters
    ----------
    capacity_bytes : int
        Memory that may be held altogether.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._held: dict[Holder, int] = {}
        self._total = 0

    @property
    def total_bytes(self) -> int:
        """Memory that is held and reserved."""
        return self._total

    def update(self, holder: Holder) -> None:
        """Count what a connection holds now; evict others if need be."""
        self._measure(holder)
        if self._total > self._capacity:
            self._make_room()

    def remove(self, holder: Holder) -> None:
        """Forget a connection that is closed."""
        self._total -= self._held.pop(holder, 0)

    def reserve(self, size: int) -> bool:
        """Reserve memory for a body; return whether there was room.

        A body that is larger than the account is accepted in calm, too.
        """
        needed = size * BODY_COPIES
        is_calm = self._total <= self._capacity * _CALM_PART
        if self._total + needed > self._capacity and not is_calm:
            self._measure_all()
            if self._total + needed > self._capacity:
                return False
        self._total += needed
        return True

    def release(self, size: int) -> None:
        """Give back the memory that was reserved for a body."""
        self._total -= size * BODY_COPIES

    def _measure(self, holder: Holder) -> None:
        held = holder.held_bytes
        self._total += held - self._held.get(holder, 0)
        self._held[holder] = held

    def _measure_all(self) -> None:
        for holder in self._held:
            self._measure(holder)

    def _make_room(self) -> None:
        """Evict the largest holders until there is room again."""
        self._measure_all()
        if self._total <= self._capacity:
            return
        evictable = sorted(
            (holder for holder in self._held if holder.is_evictable),
            key=self._held.__getitem__,
        )
        while evictable and self._total > self._capacity * _TARGET_PART:
            largest = evictable.pop()
            others = self._total - self._held[largest]
            if others <= self._capacity * _CALM_PART:
                return
            self.remove(largest)
            largest.evict()


def find_capacity(memory_mb: float) -> int:
    """Return the capacity of the account of a process.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in megabytes.
    """
    free = memory_mb * _BYTES_PER_MEGABYTE - _RESIDENT_BYTES
    return max(int(free * _CAPACITY_PART), _MIN_CAPACITY_BYTES)
