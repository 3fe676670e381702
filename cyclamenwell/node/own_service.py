"""Passing the document of the own service to the parts that enforce it."""

from __future__ import annotations

import threading

from cyclamenwell.admission import gate as gates
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import messages
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import ledger as ledgers

__all__ = ["OwnService"]


class OwnService:
    """Listener of the store that applies versions of one document in order.

    Parameters
    ----------
    service : str
        Service of the target.
    store : stores.Store
        Configuration in force.
    gate : gates.Gate
        Takes the bounds on requests at once.
    limiter : limiters.FleetLimiter
        Takes the rates.
    ledger : ledgers.ViewLedger
        Takes the version.
    """

    def __init__(
        self,
        service: str,
        store: stores.Store,
        gate: gates.Gate,
        limiter: limiters.FleetLimiter,
        ledger: ledgers.ViewLedger,
    ) -> None:
        self._name = f"service/{service}"
        self._store = store
        self._gate = gate
        self._limiter = limiter
        self._ledger = ledger
        self._lock = threading.Lock()
        self._version = 0

    def take_change(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        """Apply the newest version, if the document has changed."""
        del snapshot
        if all(entry.name != self._name for entry in accepted):
            return
        # Listeners of two changes may run in any order; the store always has
        # the newest version.
        with self._lock:
            document = self._store.snapshot.parsed[self._name]
            if document.version <= self._version:
                return
            self._version = document.version
            callers: tuple[documents.CallerDocument, ...] = ()
            content = document.content
            if isinstance(content, documents.ServiceDocument):
                callers = content.callers
                self._gate.configure(
                    content.cold_limit, content.max_in_progress
                )
            # The ledger's bound must not come before the plan it names.
            self._limiter.apply_document(document.version, callers)
            self._ledger.note_version(document.version)
