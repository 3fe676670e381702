"""Holds the document versions in force in this node."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.documents import changes
from cyclamenwell.documents import parser
from cyclamenwell.generated import messages
from cyclamenwell.telemetry import logs

__all__ = ["Store"]

_log = logs.ComponentLogger("config")
_MAX_REFUSED = 16  # Versions remembered for each document.

Listener = Callable[
    [snapshots.Snapshot, tuple[messages.VersionEntry, ...]], None
]


class Store:
    """Holds the configuration in force; versions never decrease.

    Parameters
    ----------
    time : clock.Clock
        Clock for audit entries.
    trail : audit.AuditTrail
        Records every change and refusal.

    Notes
    -----
    `snapshot` is replaced as a whole under the lock and read without it, so
    that a call sees one consistent configuration and never waits.
    """

    def __init__(self, time: clock.Clock, trail: audit.AuditTrail) -> None:
        self._time = time
        self._trail = trail
        self._lock = threading.Lock()
        self._refused: dict[str, frozenset[int]] = {}
        self._listeners: list[Listener] = []
        self.snapshot = snapshots.EMPTY

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call after each change.

        It receives the new snapshot and the accepted versions.
        """
        self._listeners.append(listener)

    @property
    def refused_count(self) -> int:
        """Number of documents with a newer version that was refused."""
        return len(self._refused)

    def needs(self, name: str, version: int) -> bool:
        """Return whether a version is newer than the one in force.

        Notes
        -----
        A refused version is not needed again. An older version still is, so
        that a new node that has seen only a bad version accepts the last good
        one from its peers.
        """
        if version in self._refused.get(name, ()):
            return False
        return version > self.snapshot.find_version(name)

    def apply(
        self, texts: Iterable[messages.DocumentText], origin: str
    ) -> tuple[messages.VersionEntry, ...]:
        """Put documents in force.

        Parameters
        ----------
        texts : iterable of messages.DocumentText
            Documents as published. Older versions are ignored; invalid
            documents are recorded in the audit trail and change nothing.
        origin : str
            Platform or peer that sent them.

        Returns
        -------
        tuple of messages.VersionEntry
            Versions that came into force.
        """
        with self._lock:
            accepted = self._accept(texts, origin)
            current = self.snapshot
        if accepted:
            for listener in self._listeners:
                listener(current, accepted)
        return accepted

    def _accept(
        self, texts: Iterable[messages.DocumentText], origin: str
    ) -> tuple[messages.VersionEntry, ...]:
        parsed = dict(self.snapshot.parsed)
        accepted = []
        for text in texts:
            known = parsed.get(text.name)
            if known is not None and text.version <= known.version:
                continue
            if text.version in self._refused.get(text.name, ()):
                continue
            document = self._parse_or_refuse(text, origin)
            if document is None:
                continue
            details = changes.describe_change(known, document)
            parsed[text.name] = document
            self._drop_refused(text.name, text.version)
            accepted.append(messages.VersionEntry(text.name, text.version))
            self._record(text, True, origin, details)
        if accepted:
            self._replace(snapshots.build_snapshot(parsed, self.snapshot))
        return tuple(accepted)

    def _replace(self, built: snapshots.Snapshot) -> None:
        for name, document in self.snapshot.parsed.items():
            version = built.find_version(name)
            if version < document.version:
                raise AssertionError(
                    f"document {name} must not go back from version "
                    f"{document.version} to {version}"
                )
        self.snapshot = built

    def _drop_refused(self, name: str, version: int) -> None:
        newer = {v for v in self._refused.pop(name, ()) if v > version}
        if newer:
            self._refused[name] = frozenset(newer)

    def _parse_or_refuse(
        self, text: messages.DocumentText, origin: str
    ) -> parser.ParsedDocument | None:
        try:
            return parser.parse_document(text.name, text.version, text.text)
        except exceptions.DocumentError as error:
            self._remember_refused(text)
            self._record(text, False, origin, error.problems)
            return None

    def _remember_refused(self, text: messages.DocumentText) -> None:
        known = self._refused.get(text.name, frozenset())
        kept = sorted(known | {text.version})[-_MAX_REFUSED:]
        self._refused[text.name] = frozenset(kept)

    def _record(
        self,
        text: messages.DocumentText,
        accepted: bool,
        origin: str,
        details: tuple[str, ...],
    ) -> None:
        verb = "accepted" if accepted else "refused"
        _log.info(
            "%s %s version %d from %s: %s",
            verb,
            text.name,
            text.version,
            origin,
            "; ".join(details),
        )
        self._trail.record(
            audit.AuditEntry(
                at=self._time.wall_time(),
                document=text.name,
                version=text.version,
                accepted=accepted,
                origin=origin,
                details=details,
            )
        )
