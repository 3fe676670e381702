"""Application of configuration changes to admission and rate limits."""

from __future__ import annotations

import threading

from cyclamenwell.admission import gate as gates
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import messages
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import view_agreement as agreements

__all__ = ["DataCentreListener", "OwnServiceListener"]


class OwnServiceListener:
    """Applies versions of the node's own service document in order.

    Parameters
    ----------
    service : str
        Service of the target.
    store : stores.Store
        Configuration in force.
    gate : gates.Gate
        Gets the limits on concurrent requests, in force at once.
    limiter : limiters.FleetLimiter
        Gets the rate limits of the callers.
    agreement : agreements.ViewAgreement
        Gets the version of the document.
    """

    def __init__(
        self,
        service: str,
        store: stores.Store,
        gate: gates.Gate,
        limiter: limiters.FleetLimiter,
        agreement: agreements.ViewAgreement,
    ) -> None:
        self._name = f"service/{service}"
        self._store = store
        self._gate = gate
        self._limiter = limiter
        self._agreement = agreement
        self._lock = threading.Lock()
        self._version = 0

    def apply_change(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        """Apply the newest version, if the document has changed.

        A listener of `stores.Store`.
        """
        del snapshot
        if all(entry.name != self._name for entry in accepted):
            return
        # Listeners may be called for two changes in either order, so the
        # newest version is read from the store.
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
            # The limiter must know a version before the agreement publishes
            # bounds that name it.
            self._limiter.apply_document(document.version, callers)
            self._agreement.note_version(document.version)


class DataCentreListener:
    """Treats the target as cold when its data centre is taken back.

    What the gate has learned of the target is from before the data centre was
    taken out. A target that got nothing since then may have restarted, or be
    cold for another reason, without any sign.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    store : stores.Store
        Configuration in force.
    gate : gates.Gate
        Limits the load of the target.
    """

    def __init__(
        self, data_centre: str, store: stores.Store, gate: gates.Gate
    ) -> None:
        self._data_centre = data_centre
        self._store = store
        self._gate = gate
        self._lock = threading.Lock()
        self._was_out = False

    def apply_change(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        """Note whether the data centre is out; a listener of the store."""
        del snapshot, accepted
        # Listeners may be called for two changes in either order, so the
        # newest state is read from the store.
        with self._lock:
            is_out = self._data_centre in self._store.snapshot.data_centres_out
            if self._was_out and not is_out:
                self._gate.assume_cold("the data centre is taken back")
            self._was_out = is_out
