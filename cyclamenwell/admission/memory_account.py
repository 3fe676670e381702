"""Account of the memory that a node holds for others.

Answers the load of callers that are not under control: many connections whose
requests are large, never end, or get answers that nobody reads. A limit for
each connection bounds nothing while the number of connections may grow, so all
that is held is counted in one account. When it is full, the largest holder
whose request has not begun gives way, which is rarely an ordinary caller.
"""

from __future__ import annotations

import collections
from typing import Protocol

__all__ = ["REQUEST_COPIES", "Holder", "MemoryAccount", "find_capacity"]

_BYTES_PER_MEGABYTE = 1_000_000
# Memory of the process without any caller.
_RESIDENT_BYTES = 40 * _BYTES_PER_MEGABYTE
# The rest is for buffers of short life and the fragmentation of the heap.
_CAPACITY_PART = 0.5
_MIN_CAPACITY_BYTES = 8 * _BYTES_PER_MEGABYTE
# A request on its way is held as received, as encoded and as unsent bytes.
REQUEST_COPIES = 3
# After an eviction some room is left, so that not each byte causes another.
_TARGET_PART = 0.9
# One large request may hold more than the account while all others together
# hold less than this part.
_CALM_PART = 0.25
# To close connections that hold less gives no memory back.
_MIN_EVICTED_BYTES = 16 * 1024


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
    """Memory held for connections and reserved for requests.

    Parameters
    ----------
    capacity_bytes : int
        Memory that may be held altogether.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._held: dict[Holder, int] = {}
        # Reserved memory: the number of reservations of each size.
        self._reserved: collections.Counter[int] = collections.Counter()
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
        """Reserve memory for a request; return whether there was room.

        A request of any size is accepted while little else is held.
        """
        needed = size * REQUEST_COPIES
        self._reserve(needed, 1)
        if needed < _MIN_EVICTED_BYTES or self._total <= self._capacity:
            return True
        self._measure_all()
        if self._has_room():
            return True
        self._reserve(needed, -1)
        return False

    def release(self, size: int) -> None:
        """Give back the memory that was reserved for a request."""
        self._reserve(size * REQUEST_COPIES, -1)

    def _reserve(self, needed: int, count: int) -> None:
        if not needed:
            return
        self._total += needed * count
        self._reserved[needed] += count
        if not self._reserved[needed]:
            del self._reserved[needed]

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
        if self._has_room():
            return
        evictable = sorted(
            (
                holder
                for holder, held in self._held.items()
                if held >= _MIN_EVICTED_BYTES and holder.is_evictable
            ),
            key=self._held.__getitem__,
        )
        while evictable and not self._has_room(_TARGET_PART):
            largest = evictable.pop()
            self.remove(largest)
            largest.evict()

    def _has_room(self, part: float = 1.0) -> bool:
        """Return whether all is within a part of the account, or in calm."""
        if self._total <= self._capacity * part:
            return True
        largest = max(
            max(self._held.values(), default=0),
            max(self._reserved, default=0),
        )
        return self._total - largest <= self._capacity * _CALM_PART


def find_capacity(memory_mb: float) -> int:
    """Return the capacity of the account of a process.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in megabytes.
    """
    free = memory_mb * _BYTES_PER_MEGABYTE - _RESIDENT_BYTES
    return max(int(free * _CAPACITY_PART), _MIN_CAPACITY_BYTES)
