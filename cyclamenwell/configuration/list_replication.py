"""Replicates the instance list between nodes as incremental changes."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import operator
import threading

from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.telemetry import logs

__all__ = ["ListReplicator"]

_log = logs.ComponentLogger("config")
# Changed entries kept in the history: about 10 hours of instance replacements.
_MAX_HISTORY_ENTRIES = 4096
_FINGERPRINT_BYTES = 16
_Entries = Mapping[str, messages.InstanceEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class _ListDelta:
    """Names that differ between two list revisions seen by this node.

    Parameters
    ----------
    base : int
        Earlier revision.
    revision : int
        Later revision.
    names : frozenset of str
        Instances that were added, changed or removed.
    """

    base: int
    revision: int
    names: frozenset[str]


def _hash_entry(entry: messages.InstanceEntry) -> int:
    digest = hashlib.blake2b(
        repr(entry).encode(), digest_size=_FINGERPRINT_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def _fingerprint(entries: Iterable[messages.InstanceEntry]) -> int:
    return functools.reduce(operator.xor, map(_hash_entry, entries), 0)


class ListReplicator:
    """Builds and applies replies that replicate the instance list.

    Parameters
    ----------
    directory : directories.Directory
        Holds the list.

    Notes
    -----
    Nodes see different sets of revisions, since readers batch changes. A
    delta from revision 5 to 8 therefore also serves a peer at revision 6. Its
    entries are absolute values. However, no delta names an instance that was
    added in 6 and removed in 7, so the receiver compares the fingerprint of its
    result and requests the whole list if the two differ.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._lock = threading.Lock()
        self._latest = directory.current_list
        self._fingerprint = _fingerprint(self._latest.entries.values())
        self._deltas: collections.deque[_ListDelta] = collections.deque()
        self._history_size = 0
        directory.add_listener(self._record_revision)

    @property
    def revision(self) -> int:
        """Revision of the list that replies are built from."""
        return self._latest.revision

    def build_reply(self, revision: int) -> messages.ListReply:
        """Return the changes that a peer at a revision lacks.

        The reply holds the whole list if the history does not reach back to
        that revision.
        """
        with self._lock:
            latest, fingerprint = self._latest, self._fingerprint
            deltas = tuple(self._deltas)
        encoded = fingerprint.to_bytes(_FINGERPRINT_BYTES, "big")
        if revision >= latest.revision:
            return messages.ListReply(
                revision=latest.revision,
                base_revision=latest.revision,
                fingerprint=encoded,
            )
        if not deltas or not revision or revision < deltas[0].base:
            return messages.ListReply(
                revision=latest.revision,
                instances=tuple(latest.entries.values()),
                fingerprint=encoded,
            )
        names = set().union(
            *(delta.names for delta in deltas if delta.revision > revision)
        )
        return messages.ListReply(
            revision=latest.revision,
            instances=tuple(
                latest.entries[name]
                for name in sorted(names)
                if name in latest.entries
            ),
            removed=tuple(sorted(names - latest.entries.keys())),
            base_revision=revision,
            fingerprint=encoded,
        )

    def apply(self, reply: messages.ListReply) -> bool:
        """Apply a whole list or its changes; ignore an older revision.

        Returns
        -------
        bool
            False if the changes do not apply to the list of this node, which
            then needs the whole list.
        """
        current = self._directory.current_list
        if reply.revision <= current.revision:
            return True
        if not reply.base_revision:
            self._directory.replace_list(reply.revision, reply.instances)
            return True
        if reply.base_revision > current.revision:
            return False
        entries = dict(current.entries)
        for name in reply.removed:
            entries.pop(name, None)
        entries.update({e.instance: e for e in reply.instances})
        result = self._compute_fingerprint(current, entries)
        if result.to_bytes(_FINGERPRINT_BYTES, "big") != reply.fingerprint:
            _log.info(
                "changes to instance list revision %d do not match the list "
                "of this node; the whole list is needed",
                reply.revision,
            )
            return False
        self._directory.replace_list(reply.revision, entries.values())
        return True

    def _compute_fingerprint(
        self,
        current: directories.InstanceList,
        entries: dict[str, messages.InstanceEntry],
    ) -> int:
        with self._lock:
            latest, fingerprint = self._latest, self._fingerprint
        if latest is not current:
            return _fingerprint(entries.values())
        changed = _find_changes(current.entries, entries)
        return _update_fingerprint(
            fingerprint, current.entries, entries, changed
        )

    def _record_revision(self, listed: directories.InstanceList) -> None:
        with self._lock:
            if listed.revision <= self._latest.revision:
                return
            before = self._latest
            names = _find_changes(before.entries, listed.entries)
            self._fingerprint = _update_fingerprint(
                self._fingerprint, before.entries, listed.entries, names
            )
            self._latest = listed
            if not before.revision:
                return
            self._deltas.append(
                _ListDelta(before.revision, listed.revision, names)
            )
            self._history_size += len(names)
            while self._history_size > _MAX_HISTORY_ENTRIES:
                self._history_size -= len(self._deltas.popleft().names)


def _find_changes(before: _Entries, after: _Entries) -> frozenset[str]:
    changed = {
        name
        for name, entry in after.items()
        # Unchanged entries of an applied delta are the same objects, so the
        # identity check avoids most comparisons.
        if before.get(name) is not entry and before.get(name) != entry
    }
    return frozenset(changed | (before.keys() - after.keys()))


def _update_fingerprint(
    fingerprint: int, before: _Entries, after: _Entries, names: frozenset[str]
) -> int:
    for name in names:
        for entries in (before, after):
            if name in entries:
                fingerprint ^= _hash_entry(entries[name])
    return fingerprint
