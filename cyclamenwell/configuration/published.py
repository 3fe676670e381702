"""What a sidecar node knows of the platform's published items.

Nodes learn items from the store and from each other. Every item carries the
revision of its last change, and each prefix the revision up to which it is
complete, so knowledge from both sources merges and never goes back.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["PrefixReplica", "PublishedState"]

# Removals that are kept so that a peer can be sent changes only. A peer that
# is further behind is sent all items.
_MAX_REMOVALS = 512


class PrefixReplica:
    """Items under one prefix, complete up to a revision."""

    def __init__(self) -> None:
        self._items: dict[str, deployment.PublishedItem] = {}
        self._removals: dict[str, int] = {}
        self._oldest_base = 0  # Changes after this revision can be listed.
        self.revision = 0
        self.changed = 0

    @property
    def items(self) -> Iterable[deployment.PublishedItem]:
        """Items that exist."""
        return self._items.values()

    def apply(
        self, changes: deployment.PrefixChanges
    ) -> list[deployment.PublishedItem]:
        """Merge changes and return those that were news.

        Parameters
        ----------
        changes : deployment.PrefixChanges
            Changes after a base revision, or all items.

        Returns
        -------
        list of deployment.PublishedItem
            Items that changed here, removals among them. Empty if the changes
            do not continue what is known.
        """
        is_whole = changes.base < 0
        if changes.revision < self.revision:
            return []
        if not is_whole and changes.base > self.revision:
            return []
        news = [item for item in changes.items if self._merge(item)]
        if is_whole:
            news += self._remove_missing(changes)
            # Items that came and went before are not known as removed, so
            # only the whole list tells others.
            self.changed = max(self.changed, changes.revision)
            self._oldest_base = max(self._oldest_base, changes.revision)
        self.revision = changes.revision
        return news

    def list_changes(self, base: int) -> deployment.PrefixChanges:
        """Return what somebody lacks who is complete up to a revision."""
        if base < self._oldest_base or not base:
            return deployment.PrefixChanges(
                -1, self.revision, tuple(self._items.values())
            )
        changed = [i for i in self._items.values() if i.revision > base]
        changed += [
            deployment.PublishedItem(key, revision, removed=True)
            for key, revision in self._removals.items()
            if revision > base
        ]
        return deployment.PrefixChanges(base, self.revision, tuple(changed))

    def _merge(self, item: deployment.PublishedItem) -> bool:
        known = self._items.get(item.key)
        last = known.revision if known else self._removals.get(item.key, 0)
        if item.revision <= last:
            return False
        self.changed = max(self.changed, item.revision)
        if not item.removed:
            self._items[item.key] = item
            self._removals.pop(item.key, None)
            return True
        self._items.pop(item.key, None)
        self._note_removal(item.key, item.revision)
        return known is not None

    def _remove_missing(
        self, changes: deployment.PrefixChanges
    ) -> list[deployment.PublishedItem]:
        """Remove items that a whole list no longer has."""
        listed = {item.key for item in changes.items}
        gone = [
            key
            for key, item in self._items.items()
            if key not in listed and item.revision <= changes.revision
        ]
        for key in gone:
            del self._items[key]
            # When exactly it was removed is not known; the list is.
            self._note_removal(key, changes.revision)
        return [
            deployment.PublishedItem(key, changes.revision, removed=True)
            for key in gone
        ]

    def _note_removal(self, key: str, revision: int) -> None:
        self._removals.pop(key, None)
        self._removals[key] = revision
        while len(self._removals) > _MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._oldest_base = max(
                self._oldest_base, self._removals.pop(oldest)
            )


class PublishedState:
    """Configuration, data centres out and targets, as far as known.

    Parameters
    ----------
    time : clock.Clock
        Clock of the grace of targets that vanished during an outage.
    reappearance : clock.Milliseconds
        Time within which a living target registers again after an outage of
        the store.
    """

    def __init__(
        self, time: clock.Clock, reappearance: clock.Milliseconds
    ) -> None:
        self._time = time
        self._reappearance = reappearance
        self._outage_end: clock.Milliseconds | None = None
        self._vanished: dict[str, deployment.TargetEntry] = {}
        self._listeners: list[
            Callable[[list[deployment.PublishedItem]], None]
        ] = []
        self.operators = PrefixReplica()
        self.targets = PrefixReplica()
        self.configuration: deployment.Configuration | None = None
        self.data_centres_out: frozenset[str] = frozenset()
        self.entries: dict[str, deployment.TargetEntry] = {}
        self._by_address: dict[tuple[str, int], deployment.TargetEntry] = {}
        self._by_service: dict[str, tuple[deployment.TargetEntry, ...]] = {}
        self._hosts: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and a list of targets are known."""
        return self.configuration is not None and self.targets.revision > 0

    def add_listener(
        self, listener: Callable[[list[deployment.PublishedItem]], None]
    ) -> None:
        """Call a function with the news after each change."""
        self._listeners.append(listener)

    def note_outage_end(self) -> None:
        """Note that the store answers again after an outage.

        Entries lapse while the store is away. Until living targets have had
        time to register again, a missing entry does not mean that its target
        is gone.
        """
        self._outage_end = self._time.now()

    def apply_operators(self, changes: deployment.PrefixChanges) -> None:
        """Merge changes of operators."""
        news = self.operators.apply(changes)
        if not news:
            return
        for item in news:
            new = item.configuration
            if new is None:
                continue
            known = self.configuration
            if known is None or new.version >= known.version:
                self.configuration = new
        self.data_centres_out = frozenset(
            item.data_centre_out
            for item in self.operators.items
            if item.data_centre_out
        )
        self._tell(news)

    def apply_targets(self, changes: deployment.PrefixChanges) -> None:
        """Merge changes of targets."""
        news = self.targets.apply(changes)
        if not news:
            return
        self._note_vanished(news)
        self._rebuild_targets()
        self._tell(news)

    def list_targets(self, service: str) -> tuple[deployment.TargetEntry, ...]:
        """Return the targets of a service, leaving ones included."""
        if self._vanished and not self._is_in_grace():
            self._vanished.clear()
            self._rebuild_targets()
        return self._by_service.get(service, ())

    def find_target_at(
        self, host: str, port: int
    ) -> deployment.TargetEntry | None:
        """Return the entry with an address that changed last."""
        self.list_targets("")
        return self._by_address.get((host, port))

    @property
    def hosts(self) -> tuple[str, ...]:
        """IP numbers of all instances with a target, in order."""
        return self._hosts

    def _is_in_grace(self) -> bool:
        if self._outage_end is None:
            return False
        return self._time.now() < self._outage_end + self._reappearance

    def _note_vanished(self, news: list[deployment.PublishedItem]) -> None:
        latest = dict(self.entries)
        for item in news:
            target_id = item.key.rpartition("/")[2]
            if not item.removed:
                self._vanished.pop(target_id, None)
                if item.target is not None:
                    latest[target_id] = item.target
                continue
            known = latest.get(target_id)
            if known is None or not self._is_in_grace():
                continue
            # An entry that lapsed says nothing of its target; one that had
            # announced its leaving is gone on purpose.
            if known.state is enumerations.InstanceState.SERVING:
                self._vanished[target_id] = known

    def _rebuild_targets(self) -> None:
        self.entries = dict(self._vanished)
        # Addresses are used again; the entry of a target that is gone stays
        # until it lapses. What changed last is there; the clocks of targets,
        # which tell when they were born, may be set back.
        last: dict[tuple[str, int], tuple[int, deployment.TargetEntry]] = {
            (entry.host, entry.port): (0, entry)
            for entry in self._vanished.values()
        }
        for item in self.targets.items:
            entry = item.target
            if entry is None:
                continue
            self.entries[entry.target_id] = entry
            address = (entry.host, entry.port)
            known = last.get(address)
            if known is None or known[0] < item.revision:
                last[address] = (item.revision, entry)
        self._by_address = {key: entry for key, (_, entry) in last.items()}
        hosts = tuple(sorted({e.host for e in self.entries.values()}))
        if hosts != self._hosts:
            # The same object as before tells that nothing has changed.
            self._hosts = hosts
        by_service: dict[str, list[deployment.TargetEntry]] = {}
        for entry in self._by_address.values():
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }

    def _tell(self, news: list[deployment.PublishedItem]) -> None:
        for listener in self._listeners:
            listener(news)
