"""Audit trail of the changes that a node has seen."""

from __future__ import annotations

import collections
import dataclasses
import threading

from cyclamenwell import clock

__all__ = ["AuditEntry", "AuditTrail"]

_CAPACITY = 4096  # Entries; the oldest go first, as nothing lasts in a node.


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change, or one refusal of a change.

    Parameters
    ----------
    at : clock.Milliseconds
        Unix time.
    document : str
        Name of the document.
    version : int
        Version concerned.
    accepted : bool
        Whether the version came into force.
    origin : str
        From whom the node heard of it.
    details : tuple of str
        What changed, or why it was refused.
    """

    at: clock.Milliseconds
    document: str
    version: int
    accepted: bool
    origin: str
    details: tuple[str, ...]


class AuditTrail:
    """Bounded list of audit entries, oldest first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: collections.deque[AuditEntry] = collections.deque(
            maxlen=_CAPACITY
        )

    def record(self, entry: AuditEntry) -> None:
        """Add an entry."""
        with self._lock:
            self._entries.append(entry)

    def list_entries(self) -> tuple[AuditEntry, ...]:
        """Return all entries kept, oldest first."""
        with self._lock:
            return tuple(self._entries)
