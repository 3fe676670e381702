"""Passing the instance list on as changes."""

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

__all__ = ["ListBook"]

_log = logs.PartLog("config")
_MAX_CHANGES = 4096  # Entries in the history; about 10 hours of replacements.
_FINGERPRINT_BYTES = 16
_Entries = Mapping[str, messages.InstanceEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """What changed between two lists that this node has seen.

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


def _fingerprint_entry(entry: messages.InstanceEntry) -> int:
    digest = hashlib.blake2b(
        repr(entry).encode(), digest_size=_FINGERPRINT_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def _fingerprint(entries: Iterable[messages.InstanceEntry]) -> int:
    return functools.reduce(operator.xor, map(_fingerprint_entry, entries), 0)


class ListBook:
    """Builds and applies replies about the instance list.

    Parameters
    ----------
    directory : directories.Directory
        Holds the list.

    Notes
    -----
    Nodes do not see the same revisions, since readers batch changes. A step
    from revision 5 to 8 is therefore also given to a peer at revision 6. Its
    entries are absolute, but an instance that came in 6 and went in 7 is in
    no step, so the receiver compares the fingerprint of its result and asks
    for the whole list if it differs.
    """

    def __init__(self, directory: directories.Directory) -> None:
        self._directory = directory
        self._lock = threading.Lock()
        self._seen = directory.current
        self._fingerprint = _fingerprint(self._seen.entries.values())
        self._steps: collections.deque[_Step] = collections.deque()
        self._change_count = 0
        directory.add_listener(self._note)

    @property
    def revision(self) -> int:
        """Revision of the list that replies are built from."""
        return self._seen.revision

    def build_reply(self, revision: int) -> messages.ListReply:
        """Return what a peer at a revision lacks."""
        with self._lock:
            seen, fingerprint = self._seen, self._fingerprint
            steps = tuple(self._steps)
        encoded = fingerprint.to_bytes(_FINGERPRINT_BYTES, "big")
        if revision >= seen.revision:
            return messages.ListReply(
                revision=seen.revision,
                base_revision=seen.revision,
                fingerprint=encoded,
            )
        if not steps or not revision or revision < steps[0].base:
            return messages.ListReply(
                revision=seen.revision,
                instances=tuple(seen.entries.values()),
                fingerprint=encoded,
            )
        names = set().union(
            *(step.names for step in steps if step.revision > revision)
        )
        return messages.ListReply(
            revision=seen.revision,
            instances=tuple(
                seen.entries[name]
                for name in sorted(names)
                if name in seen.entries
            ),
            removed=tuple(sorted(names - seen.entries.keys())),
            base_revision=revision,
            fingerprint=encoded,
        )

    def apply(self, reply: messages.ListReply) -> bool:
        """Take a list or its changes.

        Returns
        -------
        bool
            False if the changes do not fit and the whole list is needed.
        """
        current = self._directory.current
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
        result = self._predict_fingerprint(current, entries)
        if result.to_bytes(_FINGERPRINT_BYTES, "big") != reply.fingerprint:
            _log.info("changes of list %d do not fit", reply.revision)
            return False
        self._directory.replace_list(reply.revision, entries.values())
        return True

    def _predict_fingerprint(
        self,
        current: directories.InstanceList,
        entries: dict[str, messages.InstanceEntry],
    ) -> int:
        with self._lock:
            seen, fingerprint = self._seen, self._fingerprint
        if seen is not current:
            return _fingerprint(entries.values())
        changed = _find_changes(current.entries, entries)
        return _update(fingerprint, current.entries, entries, changed)

    def _note(self, listed: directories.InstanceList) -> None:
        with self._lock:
            if listed.revision <= self._seen.revision:
                return
            before = self._seen
            names = _find_changes(before.entries, listed.entries)
            self._fingerprint = _update(
                self._fingerprint, before.entries, listed.entries, names
            )
            self._seen = listed
            if not before.revision:
                return
            self._steps.append(_Step(before.revision, listed.revision, names))
            self._change_count += len(names)
            while self._change_count > _MAX_CHANGES:
                self._change_count -= len(self._steps.popleft().names)


def _find_changes(before: _Entries, after: _Entries) -> frozenset[str]:
    changed = {
        name
        for name, entry in after.items()
        # Entries passed on as changes keep their identity.
        if before.get(name) is not entry and before.get(name) != entry
    }
    return frozenset(changed | (before.keys() - after.keys()))


def _update(
    fingerprint: int, before: _Entries, after: _Entries, names: frozenset[str]
) -> int:
    for name in names:
        for entries in (before, after):
            if name in entries:
                fingerprint ^= _fingerprint_entry(entries[name])
    return fingerprint
