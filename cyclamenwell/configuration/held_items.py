"""Items that stay in force although the store lacks or contradicts them.

Answers two situations. Entries of living targets lapse while the store is
unavailable. And a store that returns from an older copy has lost what it had
acknowledged: for a moment it shows withdrawn keys, targets that have left and
data centres that are in use again, until all that has been written again.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import functools
import math

from cyclamenwell import clock
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations

__all__ = [
    "HeldItem",
    "HeldItems",
    "choose_held",
    "find_hold_time",
    "hold_learned",
    "is_later",
]

# Time in which operators and targets write again what a returned store lacks.
# It includes the time after which the entry of a target that has ended lapses.
_REWRITE_TIME = clock.Milliseconds(10_000)
_FOR_EVER = clock.Milliseconds(math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldItem:
    """An item in force in place of what the store has under its key.

    Parameters
    ----------
    item : deployment.PublishedItem
        The item, or a removal with the removed content. Its revision is that
        of the list that lacks or contradicts it: a later change replaces it.
    end : clock.Milliseconds
        Time until which it is in force.
    """

    item: deployment.PublishedItem
    end: clock.Milliseconds


class HeldItems:
    """The held items under one prefix.

    Parameters
    ----------
    time : clock.Clock
        Clock of the ends.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._held: dict[str, HeldItem] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def __contains__(self, key: str) -> bool:
        return key in self._held

    def find(self, key: str) -> HeldItem | None:
        """Return the held item with a key, None if there is none."""
        return self._held.get(key)

    @property
    def items(self) -> tuple[deployment.PublishedItem, ...]:
        """The items, with removals."""
        return tuple(held.item for held in self._held.values())

    @property
    def has_ends(self) -> bool:
        """Whether any item is held for a limited time."""
        return any(held.end < _FOR_EVER for held in self._held.values())

    def add(self, held: HeldItem) -> None:
        """Hold an item until its end."""
        self._held[held.item.key] = held

    def replace(self, held_items: Iterable[HeldItem]) -> None:
        """Hold these items and no others."""
        self._held = {held.item.key: held for held in held_items}

    def drop_changed(
        self, changed_items: Iterable[deployment.PublishedItem]
    ) -> None:
        """Drop the items that the store has changed since they are held."""
        for item in changed_items:
            held = self._held.get(item.key)
            if held is None or item.revision <= held.item.revision:
                continue
            if is_later(held.item.configuration, item.configuration):
                # Operators may write lower versions again first.
                kept = dataclasses.replace(held.item, revision=item.revision)
                self._held[item.key] = HeldItem(kept, held.end)
                continue
            del self._held[item.key]

    def drop_expired(self) -> bool:
        """Drop the items whose time is over; return whether there were any."""
        if not self._held:
            return False
        now = self._time.now()
        expired = [key for key, held in self._held.items() if held.end <= now]
        for key in expired:
            del self._held[key]
        return bool(expired)

    def overlay(
        self, items: Iterable[deployment.PublishedItem]
    ) -> Iterator[deployment.PublishedItem]:
        """Return the items in force: held ones, then others of the store."""
        for held in self._held.values():
            if not held.item.removed:
                yield held.item
        for item in items:
            if item.key not in self._held:
                yield item


@functools.singledispatch
def is_later(content: object, other: object) -> bool:
    """Return whether content was written after other content of its key.

    Parameters
    ----------
    content : object
        A configuration, a target, or the name of a data centre taken out;
        None if it could not be decoded.
    other : object
        The other content.
    """
    del content, other
    return False


@is_later.register
def _(content: deployment.Configuration, other: object) -> bool:
    if not isinstance(other, deployment.Configuration):
        return True
    return content.version > other.version


@is_later.register
def _(content: deployment.TargetEntry, other: object) -> bool:
    if not isinstance(other, deployment.TargetEntry):
        return True
    return _rank_report(content) > _rank_report(other)


def _rank_report(entry: deployment.TargetEntry) -> tuple[int, bool, int]:
    """Return the order of a report: a leaving target never serves again."""
    is_leaving = entry.state is enumerations.InstanceState.LEAVING
    return entry.started_ms, is_leaving, entry.sequence


@functools.singledispatch
def find_hold_time(
    content: object,
    is_removed: bool,
    is_listed: bool,
    reappearance: clock.Milliseconds,
) -> clock.Milliseconds:
    """Return how long an item stays in force after a return of the store.

    Parameters
    ----------
    content : object
        Content of the item, as in `is_later`.
    is_removed : bool
        Whether the item was removed before the return.
    is_listed : bool
        Whether the returned store has an item with the key.
    reappearance : clock.Milliseconds
        Time within which a living target registers again.
    """
    del content, is_removed, is_listed, reappearance
    return clock.ZERO


@find_hold_time.register
def _(
    content: deployment.Configuration,
    is_removed: bool,
    is_listed: bool,
    reappearance: clock.Milliseconds,
) -> clock.Milliseconds:
    del content, is_removed, is_listed, reappearance
    return _FOR_EVER


@find_hold_time.register
def _(
    content: deployment.TargetEntry,
    is_removed: bool,
    is_listed: bool,
    reappearance: clock.Milliseconds,
) -> clock.Milliseconds:
    if is_removed or is_listed:
        return _REWRITE_TIME
    # A leaving target that is missing has ended.
    is_serving = content.state is enumerations.InstanceState.SERVING
    return reappearance if is_serving else clock.ZERO


@find_hold_time.register
def _(
    content: str,
    is_removed: bool,
    is_listed: bool,
    reappearance: clock.Milliseconds,
) -> clock.Milliseconds:
    del content, is_listed
    # The listed item may also be new: the data centre must be out in time.
    return reappearance if is_removed else _REWRITE_TIME


def choose_held(
    known: Mapping[str, deployment.PublishedItem],
    removed: Mapping[str, deployment.PublishedItem],
    listed: deployment.PrefixChanges,
    begin: clock.Milliseconds,
    reappearance: clock.Milliseconds,
) -> Iterator[HeldItem]:
    """Choose what stays in force when the store has returned from a copy.

    Parameters
    ----------
    known : mapping of str to deployment.PublishedItem
        Items in force before the return, by key.
    removed : mapping of str to deployment.PublishedItem
        Last content of items removed before the return, by key.
    listed : deployment.PrefixChanges
        All items of the returned store.
    begin : clock.Milliseconds
        Time of the return.
    reappearance : clock.Milliseconds
        Time within which a living target registers again.
    """
    now_listed = {item.key: item for item in listed.items}
    before = {key: item for key, item in removed.items() if key not in known}
    before.update(known)
    for key, item in before.items():
        is_removed = key not in known
        current = now_listed.get(key)
        if not _is_in_place_of(item, is_removed, current):
            continue
        hold_time = find_hold_time(
            _find_content(item), is_removed, current is not None, reappearance
        )
        if not hold_time:
            continue
        revision = listed.revision
        if current is not None:
            revision = max(revision, current.revision)
        yield HeldItem(
            dataclasses.replace(item, revision=revision, removed=is_removed),
            begin + hold_time,
        )


def hold_learned(
    item: deployment.PublishedItem,
    current: deployment.PublishedItem | None,
    own: HeldItem | None,
    begin: clock.Milliseconds,
    reappearance: clock.Milliseconds,
) -> HeldItem | None:
    """Return an item that another node holds as to be held here.

    Parameters
    ----------
    item : deployment.PublishedItem
        The item, or a removal with the removed content.
    current : deployment.PublishedItem or None
        Item of the store under the same key, None if it has none.
    own : HeldItem or None
        What is held under the key already.
    begin : clock.Milliseconds
        Time of the return.
    reappearance : clock.Milliseconds
        Time within which a living target registers again.

    Returns
    -------
    HeldItem or None
        None if the store or this node knows something later.
    """
    if not _is_in_place_of(item, item.removed, current):
        return None
    if own is not None and not _is_later_knowledge(item, own.item):
        return None
    is_listed = current is not None
    return HeldItem(
        item,
        begin
        + find_hold_time(
            _find_content(item), item.removed, is_listed, reappearance
        ),
    )


def _is_later_knowledge(
    item: deployment.PublishedItem, other: deployment.PublishedItem
) -> bool:
    """Return whether an item is later than another one, or its removal."""
    content, other_content = _find_content(item), _find_content(other)
    if is_later(content, other_content):
        return True
    is_removal = item.removed and not other.removed
    return is_removal and not is_later(other_content, content)


def _is_in_place_of(
    item: deployment.PublishedItem,
    is_removed: bool,
    current: deployment.PublishedItem | None,
) -> bool:
    """Return whether an item was written after what a returned store has."""
    content = _find_content(item)
    if current is None:
        return not is_removed
    if is_removed:
        return not is_later(_find_content(current), content)
    return is_later(content, _find_content(current))


def _find_content(item: deployment.PublishedItem) -> object:
    """Return the decoded content of an item, None if it has none."""
    if item.configuration is not None:
        return item.configuration
    return item.target or item.data_centre_out or None
