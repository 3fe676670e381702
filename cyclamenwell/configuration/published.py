"""Replicated copy of the platform's published items in a sidecar node.

Nodes learn items from the platform's store and from each other. What is in
force is what the replicas of the two prefixes contain, with held items in place
of some of them: those that may have lapsed in an outage of the store, and those
that the store has lost in a return from an older copy.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from cyclamenwell import clock
from cyclamenwell.configuration import held_items
from cyclamenwell.configuration import prefix_replica
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = ["EraChange", "PublishedState"]

# Messages take some time, so the end of one outage looks a little later at each
# node that is told of it. Without a tolerance, hundreds of nodes that tell each
# other the latest end they know move it on as long as they talk.
_SAME_OUTAGE_TOLERANCE = clock.Milliseconds(500)


@dataclasses.dataclass(frozen=True, slots=True)
class EraChange:
    """The begin of a new era of the store, as a replica takes it over.

    Parameters
    ----------
    before : int
        Era until now, 0 if it was unknown.
    era : int
        The new era.
    last_revision : int
        Revision up to which the items of the earlier era were complete.
    revision : int
        Revision up to which the items of the new era are complete.
    held : int
        Number of items that stay in force in place of the store's.
    """

    before: int
    era: int
    last_revision: int
    revision: int
    held: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Merge:
    """What merging changes into a replica has changed.

    Parameters
    ----------
    changed_items : list of deployment.PublishedItem
        Items of the store that changed, with removals.
    is_return : bool
        Whether the store has returned from an older copy.
    has_learned : bool
        Whether another node told of items to hold.
    """

    changed_items: list[deployment.PublishedItem]
    is_return: bool
    has_learned: bool

    @property
    def has_effect(self) -> bool:
        """Whether anything in force may have changed."""
        return bool(self.changed_items) or self.is_return or self.has_learned


class PublishedState:
    """Configuration, data centres taken out, and targets known to this node.

    Parameters
    ----------
    time : clock.Clock
        Clock of the grace period of targets that expired during an outage.
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
        # Era and time of the last return of the store from an older copy.
        self._last_return: tuple[int, clock.Milliseconds] | None = None
        self._listeners: list[
            Callable[[list[deployment.PublishedItem]], None]
        ] = []
        self.operators = prefix_replica.PrefixReplica()
        self.targets = prefix_replica.PrefixReplica()
        self._held_operators = held_items.HeldItems(time)
        self._held_targets = held_items.HeldItems(time)
        self.configuration: deployment.Configuration | None = None
        self.data_centres_out: frozenset[str] = frozenset()
        self.entries: dict[str, deployment.TargetEntry] = {}
        self._by_address: dict[tuple[str, int], deployment.TargetEntry] = {}
        self._by_service: dict[str, tuple[deployment.TargetEntry, ...]] = {}
        self._hosts: tuple[str, ...] = ()
        self._era_listeners: list[Callable[[EraChange], None]] = []

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and a list of targets are known.

        Items from a read that may have been stale do not count until a fresh
        read or another node has confirmed them: they may hold a key that has
        been withdrawn since, or a target that has left.
        """
        if self.has_unconfirmed:
            return False
        return self.configuration is not None and self.targets.revision > 0

    @property
    def has_unconfirmed(self) -> bool:
        """Whether any item may be from a stale read."""
        return self.operators.is_provisional or self.targets.is_provisional

    @property
    def version(self) -> int | None:
        """Version in force, None if there is none."""
        if self.configuration is None:
            return None
        return self.configuration.version

    @property
    def has_expiring(self) -> bool:
        """Whether any item is held for a limited time."""
        return self._held_operators.has_ends or self._held_targets.has_ends

    def note_confirmation(self) -> None:
        """Note that another node has confirmed all items."""
        self.operators.is_provisional = False
        self.targets.is_provisional = False

    def add_listener(
        self, listener: Callable[[list[deployment.PublishedItem]], None]
    ) -> None:
        """Register a function to call with the changed items."""
        self._listeners.append(listener)

    def add_era_listener(self, listener: Callable[[EraChange], None]) -> None:
        """Register a function to call after a change of the store's era."""
        self._era_listeners.append(listener)

    def note_outage_end(self, age: clock.Milliseconds = clock.ZERO) -> None:
        """Start the grace period after an outage of the store.

        Entries expire while the store is unavailable. Until living targets have
        had time to register again, a missing entry does not mean that its
        target is gone.

        Parameters
        ----------
        age : clock.Milliseconds
            Time since the end of the outage, as seen by another node.
        """
        end = self._time.now() - age
        if (
            self._outage_end is None
            or end > self._outage_end + _SAME_OUTAGE_TOLERANCE
        ):
            self._outage_end = end

    def has_outage_ended_since(self, begin: clock.Milliseconds) -> bool:
        """Return whether the end of an outage after some time is known."""
        return self._outage_end is not None and self._outage_end >= begin

    def apply_operators(
        self, changes: deployment.PrefixChanges, is_confirmed: bool = False
    ) -> None:
        """Merge changes to items published by operators.

        Parameters
        ----------
        changes : deployment.PrefixChanges
            The changes.
        is_confirmed : bool
            Whether the store has confirmed them.
        """
        held = self._held_operators
        merged = self._apply(self.operators, held, changes, is_confirmed)
        if not merged.has_effect:
            return
        for item in (*merged.changed_items, *held.items):
            new = item.configuration
            if new is None:
                continue
            known = self.configuration
            if known is None or new.version >= known.version:
                self.configuration = new
        self._update_data_centres()
        self._notify_listeners(merged.changed_items)

    def apply_targets(
        self, changes: deployment.PrefixChanges, is_confirmed: bool = False
    ) -> None:
        """Merge changes to target entries.

        Parameters
        ----------
        changes : deployment.PrefixChanges
            The changes.
        is_confirmed : bool
            Whether the store has confirmed them.
        """
        merged = self._apply(
            self.targets, self._held_targets, changes, is_confirmed
        )
        if not merged.has_effect:
            return
        if not merged.is_return:
            self._hold_expired(merged.changed_items)
        self._rebuild_targets()
        self._notify_listeners(merged.changed_items)

    def list_targets(self, service: str) -> tuple[deployment.TargetEntry, ...]:
        """Return the targets of a service, including leaving ones."""
        if self._held_targets.drop_expired():
            self._rebuild_targets()
        return self._by_service.get(service, ())

    def find_target_at(
        self, host: str, port: int
    ) -> deployment.TargetEntry | None:
        """Return the most recently changed entry with an address."""
        self.list_targets("")
        return self._by_address.get((host, port))

    @property
    def hosts(self) -> tuple[str, ...]:
        """Sorted IP addresses of all instances that have a target."""
        return self._hosts

    @property
    def since_outage(self) -> clock.Milliseconds | None:
        """Time since the end of an outage, None after the grace period."""
        if not self._is_in_grace():
            return None
        return self._time.now() - self._outage_end

    @property
    def hosts_by_data_centre(self) -> dict[str, set[str]]:
        """IP addresses of the instances in each data centre."""
        hosts: dict[str, set[str]] = {}
        for entry in self.entries.values():
            hosts.setdefault(entry.data_centre, set()).add(entry.host)
        return hosts

    def expire_held(self) -> None:
        """Drop held items whose time is over."""
        are_operators_expired = self._held_operators.drop_expired()
        are_targets_expired = self._held_targets.drop_expired()
        if are_operators_expired:
            self._update_data_centres()
        if are_targets_expired:
            self._rebuild_targets()
        if are_operators_expired or are_targets_expired:
            self._notify_listeners([])

    def list_missing_operators(
        self, message: deployment.StateExchange
    ) -> deployment.PrefixChanges | None:
        """Return operator changes that a peer lacks, None if there are none."""
        own, peers = self.version, message.configuration_version
        return self._list_missing(
            self.operators,
            self._held_operators,
            message,
            (message.operator_era, message.operator_revision),
            own is not None and peers is not None and peers < own,
        )

    def list_missing_targets(
        self, message: deployment.StateExchange
    ) -> deployment.PrefixChanges | None:
        """Return target changes that a peer lacks, None if there are none."""
        return self._list_missing(
            self.targets,
            self._held_targets,
            message,
            (message.target_era, message.target_revision),
            False,
        )

    def lacks_changes_of(self, message: deployment.StateExchange) -> bool:
        """Return whether a peer knows changes that are not known here."""
        own, peers = self.version, message.configuration_version
        return (
            self.operators.lacks(
                message.operator_era, message.operator_revision
            )
            or self.targets.lacks(message.target_era, message.target_revision)
            or (own is not None and peers is not None and own < peers)
        )

    def is_in_earlier_era(self, message: deployment.StateExchange) -> bool:
        """Return whether a peer knows a later era of the store."""
        return self.operators.era < (message.operator_era or 0) or (
            self.targets.era < (message.target_era or 0)
        )

    def _list_missing(
        self,
        replica: prefix_replica.PrefixReplica,
        held: held_items.HeldItems,
        message: deployment.StateExchange,
        position: tuple[int | None, int],
        lacks_held: bool,
    ) -> deployment.PrefixChanges | None:
        """Return changes and held items that a peer lacks.

        What a peer has from a read that may have been stale can be older than
        the era in which it was read, so no history continues it. Held items
        are told to peers that have not seen the return themselves.
        """
        era, revision = position
        if era is not None and era > replica.era:
            return None
        if replica.is_provisional and era not in (None, replica.era):
            # A stale read may show items of an earlier era under a later one.
            return None
        is_confirmed = message.store_age_ms is not None
        changes = None
        if replica.has_returned and not is_confirmed:
            changes = replica.list_all()
        elif replica.is_ahead_of(era, revision):
            changes = replica.list_changes(revision, era)
        age = self._find_return_age(replica.era)
        if not held or age is None or era is None:
            return changes
        is_newcomer = (
            not is_confirmed
            or message.uptime_ms is None
            or message.uptime_ms < age.value
        )
        if not (lacks_held or is_newcomer or era < replica.era):
            return changes
        if changes is None:
            changes = replica.list_changes(revision, era)
        return dataclasses.replace(
            changes, held=held.items, era_age_ms=age.value
        )

    def _find_return_age(self, era: int) -> clock.Milliseconds | None:
        """Return the time since the return that began an era, if known."""
        if self._last_return is None or self._last_return[0] != era:
            return None
        return self._time.now() - self._last_return[1]

    def _apply(
        self,
        replica: prefix_replica.PrefixReplica,
        held: held_items.HeldItems,
        changes: deployment.PrefixChanges,
        is_confirmed: bool,
    ) -> _Merge:
        """Merge changes into a replica and tell of a change of its era."""
        era, revision = replica.era, replica.revision
        is_return = replica.is_return(changes)
        chosen: list[held_items.HeldItem] = []
        if is_return:
            chosen = self._choose_held(replica, held, changes)
        changed_items = replica.apply(changes, is_confirmed)
        held.drop_changed(changed_items)
        if is_return:
            held.replace(chosen)
            self.note_outage_end(self._find_return_age(replica.era))
        has_learned = self._learn_held(replica, held, changes)
        if era < replica.era:
            change = EraChange(
                era, replica.era, revision, replica.revision, len(chosen)
            )
            for listener in self._era_listeners:
                listener(change)
        return _Merge(changed_items, is_return, has_learned)

    def _choose_held(
        self,
        replica: prefix_replica.PrefixReplica,
        held: held_items.HeldItems,
        changes: deployment.PrefixChanges,
    ) -> list[held_items.HeldItem]:
        """Choose what stays in force after a return, and note its time."""
        if self._find_return_age(changes.era) is None:
            age = clock.Milliseconds(changes.era_age_ms or 0.0)
            self._last_return = (changes.era, self._time.now() - age)
        # Items that the store has not confirmed may be older than the return.
        in_force = () if replica.is_provisional else replica.items
        known = {item.key: item for item in held.overlay(in_force)}
        removed = replica.departed | {
            item.key: item for item in held.items if item.removed
        }
        return list(
            held_items.choose_held(
                known,
                removed,
                changes,
                self._last_return[1],
                self._reappearance,
            )
        )

    def _learn_held(
        self,
        replica: prefix_replica.PrefixReplica,
        held: held_items.HeldItems,
        changes: deployment.PrefixChanges,
    ) -> bool:
        """Hold what a peer holds; return whether anything was added."""
        if changes.era != replica.era or changes.era_age_ms is None:
            return False
        begin = self._time.now() - clock.Milliseconds(changes.era_age_ms)
        learned = [
            held_item
            for item in changes.held
            if replica.find_revision(item.key) <= item.revision
            and (
                held_item := held_items.hold_learned(
                    item,
                    replica.find_item(item.key),
                    held.find(item.key),
                    begin,
                    self._reappearance,
                )
            )
        ]
        for held_item in learned:
            held.add(held_item)
        return bool(learned)

    def _update_data_centres(self) -> None:
        self.data_centres_out = frozenset(
            item.data_centre_out
            for item in self._held_operators.overlay(self.operators.items)
            if item.data_centre_out
        )

    def _is_in_grace(self) -> bool:
        if self._outage_end is None:
            return False
        return self._time.now() < self._outage_end + self._reappearance

    def _hold_expired(
        self, changed_items: list[deployment.PublishedItem]
    ) -> None:
        """Hold targets whose entries may have expired in an outage."""
        latest = dict(self.entries)
        for item in changed_items:
            target_id = item.key.rpartition("/")[2]
            if not item.removed:
                if item.target is not None:
                    latest[target_id] = item.target
                continue
            known = latest.get(target_id)
            if known is None or not self._is_in_grace():
                continue
            # A serving target may be alive although its entry expired; one
            # that announced that it was leaving has stopped on purpose.
            is_serving = known.state is enumerations.InstanceState.SERVING
            if is_serving and item.key not in self._held_targets:
                lapsed = deployment.PublishedItem(
                    item.key, item.revision, target=known
                )
                self._held_targets.add(
                    held_items.HeldItem(
                        lapsed, self._outage_end + self._reappearance
                    )
                )

    def _rebuild_targets(self) -> None:
        self.entries = {}
        # Addresses are reused, and the entry of a dead target stays until it
        # expires. The entry that changed last wins: birth times do not decide,
        # since the clocks of targets may be set back. Entries that the store
        # lacks come first.
        last: dict[tuple[str, int], tuple[int, deployment.TargetEntry]] = {}
        for item in self._held_targets.overlay(self.targets.items):
            entry = item.target
            if entry is None:
                continue
            self.entries[entry.target_id] = entry
            address = (entry.host, entry.port)
            listed = self.targets.find_item(item.key)
            revision = 0 if listed is None else listed.revision
            known = last.get(address)
            if known is None or known[0] < revision:
                last[address] = (revision, entry)
        self._by_address = {key: entry for key, (_, entry) in last.items()}
        hosts = tuple(sorted({e.host for e in self.entries.values()}))
        if hosts != self._hosts:
            # An unchanged tuple stays the same object, which signals that
            # no host has changed.
            self._hosts = hosts
        by_service: dict[str, list[deployment.TargetEntry]] = {}
        for entry in self._by_address.values():
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }

    def _notify_listeners(
        self, changed_items: list[deployment.PublishedItem]
    ) -> None:
        for listener in self._listeners:
            listener(changed_items)
