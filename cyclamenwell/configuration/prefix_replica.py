"""Replica of the published items under one prefix of the platform's store.

Every item carries the revision of its last change, and each prefix the revision
up to which it is complete. Updates from the store and from other nodes can
therefore be merged, and no item goes back to an older revision.

A store that returns from an older copy gives out its last revisions again. It
begins a new era then, so the order of two positions is by era first, then by
revision, and no history leads from one era to the next.
"""

from __future__ import annotations

from collections.abc import Iterable

from cyclamenwell.generated import deployment

__all__ = ["PrefixReplica"]

# Removals kept so that a peer can be sent changes only. A peer that is further
# behind is sent all items.
_MAX_REMOVALS = 512


class PrefixReplica:
    """Copy of the items under one prefix, complete up to a revision."""

    def __init__(self) -> None:
        self._items: dict[str, deployment.PublishedItem] = {}
        self._removals: dict[str, int] = {}
        # Last content of removed items, also of earlier eras.
        self._departed: dict[str, deployment.PublishedItem] = {}
        self._history_start = 0  # Later changes can be listed.
        # Era of the store to which all revisions here belong, 0 if unknown.
        self.era = 0
        self.revision = 0
        self.change_revision = 0
        # Whether the items are from a read that may have been stale. They may
        # also be older than the era in which they were read.
        self.is_provisional = False
        # Whether the store has returned from an older copy.
        self.has_returned = False

    @property
    def known_revision(self) -> int:
        """Revision up to which all changes are known.

        Peers list the changes after it. The newest change may be later: the
        pages of a list show different revisions.
        """
        return min(self.revision, self.change_revision)

    @property
    def items(self) -> Iterable[deployment.PublishedItem]:
        """Items that are not removed."""
        return self._items.values()

    @property
    def departed(self) -> dict[str, deployment.PublishedItem]:
        """Last content of the items that were removed most recently, by key."""
        return self._departed

    def find_item(self, key: str) -> deployment.PublishedItem | None:
        """Return the item with a key, None if there is none."""
        return self._items.get(key)

    def find_revision(self, key: str) -> int:
        """Return the revision of the last change of a key, 0 if unknown."""
        known = self._items.get(key)
        return known.revision if known else self._removals.get(key, 0)

    def is_return(self, changes: deployment.PrefixChanges) -> bool:
        """Return whether the store has returned from a copy before a list."""
        if changes.era is None or changes.base >= 0:
            return False
        return 0 < self.era < changes.era

    def lacks(self, era: int | None, revision: int) -> bool:
        """Return whether a peer knows changes that this replica lacks.

        Parameters
        ----------
        era : int or None
            Era of the peer's replica, None if its version knows no eras.
        revision : int
            Revision of the peer's newest change.
        """
        if era is None and self.has_returned:
            return False
        if era is None or era == self.era:
            return revision > self.change_revision
        return era > self.era

    def is_ahead_of(self, era: int | None, revision: int) -> bool:
        """Return whether a peer lacks changes that are known here.

        Parameters
        ----------
        era : int or None
            Era of the peer's replica, None if its version knows no eras.
        revision : int
            Revision up to which the peer knows all changes.
        """
        if era is None or era == self.era:
            return self.change_revision > revision
        return self.era > era

    def apply(
        self, changes: deployment.PrefixChanges, is_confirmed: bool = False
    ) -> list[deployment.PublishedItem]:
        """Merge changes and return the items that changed here.

        Parameters
        ----------
        changes : deployment.PrefixChanges
            Changes after a base revision, or all items. Without an era they
            are taken to be of this replica's, until the store has returned
            from an older copy.
        is_confirmed : bool
            Whether the store has confirmed the changes.

        Returns
        -------
        list of deployment.PublishedItem
            Items that changed here, including removals. Empty if the changes
            are older than this replica or leave a gap after its revision.
        """
        is_whole = changes.base < 0
        if changes.era is None and self.has_returned:
            return []
        era = self.era if changes.era is None else changes.era
        if era < self.era:
            return []
        replaces = self.is_provisional and is_confirmed
        if era > self.era or (replaces and is_whole):
            return self._replace(changes, era) if is_whole else []
        if changes.revision < self.revision:
            return []
        if not is_whole and changes.base > self.revision:
            return []
        changed_items = [item for item in changes.items if self._merge(item)]
        if is_whole:
            changed_items += self._remove_missing(changes)
            # Removals that happened before are not known one by one, so
            # peers that are behind need the whole list too.
            self.change_revision = max(self.change_revision, changes.revision)
            self._history_start = max(self._history_start, changes.revision)
        self.revision = changes.revision
        return changed_items

    def list_all(self) -> deployment.PrefixChanges:
        """Return all items."""
        return deployment.PrefixChanges(
            -1, self.revision, tuple(self._items.values()), self.era
        )

    def list_changes(
        self, base: int, era: int | None = None
    ) -> deployment.PrefixChanges:
        """Return the changes that a peer lacks.

        Parameters
        ----------
        base : int
            Revision up to which the peer is complete.
        era : int or None
            Era of that revision, None if the peer's version knows no eras.

        Returns
        -------
        deployment.PrefixChanges
            Changes after `base`, or all items if it is too old to list changes
            or belongs to another era.
        """
        is_same_era = not self.has_returned if era is None else era == self.era
        if base < self._history_start or not base or not is_same_era:
            return self.list_all()
        changed = [i for i in self._items.values() if i.revision > base]
        changed += [
            deployment.PublishedItem(key, revision, removed=True)
            for key, revision in self._removals.items()
            if revision > base
        ]
        return deployment.PrefixChanges(
            base, self.revision, tuple(changed), self.era
        )

    def _replace(
        self, changes: deployment.PrefixChanges, era: int
    ) -> list[deployment.PublishedItem]:
        """Take a whole list in place of all items and begin its era."""
        before = self._items
        self.has_returned = self.has_returned or 0 < self.era < era
        self._items = {item.key: item for item in changes.items}
        self._removals.clear()
        self.era = era
        self.revision = self._history_start = changes.revision
        self.change_revision = max(
            changes.revision, *(item.revision for item in changes.items), 0
        )
        changed_items = [
            item for key, item in self._items.items() if before.get(key) != item
        ]
        gone = [item for key, item in before.items() if key not in self._items]
        for item in gone:
            self._record_departure(item)
        return changed_items + [
            deployment.PublishedItem(item.key, changes.revision, removed=True)
            for item in gone
        ]

    def _merge(self, item: deployment.PublishedItem) -> bool:
        known = self._items.get(item.key)
        if item.revision <= self.find_revision(item.key):
            return False
        self.change_revision = max(self.change_revision, item.revision)
        if not item.removed:
            self._items[item.key] = item
            self._removals.pop(item.key, None)
            return True
        if known is not None:
            self._record_departure(self._items.pop(item.key))
        self._record_removal(item.key, item.revision)
        return known is not None

    def _remove_missing(
        self, changes: deployment.PrefixChanges
    ) -> list[deployment.PublishedItem]:
        """Remove items that a whole list no longer contains."""
        listed = {item.key for item in changes.items}
        gone = [
            key
            for key, item in self._items.items()
            if key not in listed and item.revision <= changes.revision
        ]
        for key in gone:
            self._record_departure(self._items.pop(key))
            # The exact revision of the removal is unknown, so the revision
            # of the list stands in for it.
            self._record_removal(key, changes.revision)
        return [
            deployment.PublishedItem(key, changes.revision, removed=True)
            for key in gone
        ]

    def _record_departure(self, item: deployment.PublishedItem) -> None:
        self._departed.pop(item.key, None)
        self._departed[item.key] = item
        if len(self._departed) > _MAX_REMOVALS:
            del self._departed[next(iter(self._departed))]

    def _record_removal(self, key: str, revision: int) -> None:
        self._removals.pop(key, None)
        self._removals[key] = revision
        while len(self._removals) > _MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._history_start = max(
                self._history_start, self._removals.pop(oldest)
            )
