"""Audit trail of the configuration changes seen by a node."""

from __future__ import annotations

import collections
import dataclasses
import threading

from cyclamenwell import clock

__all__ = ["AuditEntry", "AuditTrail"]

# The oldest entries are evicted first: a node keeps nothing permanently.
_MAX_ENTRIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """Change of a document, or refusal of a change.

    Parameters
    ----------
    at : clock.Milliseconds
        Unix time.
    document : str
        Name of the document.
    version : int
        Version of the document.
    accepted : bool
        Whether the version came into force.
    origin : str
        Platform or peer that sent the version.
    details : tuple of str
        What changed, or why the version was refused.
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
            maxlen=_MAX_ENTRIES
        )

    def record(self, entry: AuditEntry) -> None:
        """Add an entry."""
        with self._lock:
            self._entries.append(entry)

    def list_entries(self) -> tuple[AuditEntry, ...]:
        """Return all retained entries, oldest first."""
        with self._lock:
            return tuple(self._entries)
