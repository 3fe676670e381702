"""Builders of published items, and a model of the platform's store."""

from __future__ import annotations

import dataclasses

from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations


def build_entry(target_id: str = "i-1", **changes) -> deployment.TargetEntry:
    """Return a target entry."""
    values = {
        "target_id": target_id,
        "service": "meter",
        "host": "10.0.0.1",
        "port": 80,
        "data_centre": "a",
        "slots": 100,
        "state": enumerations.InstanceState.SERVING,
        "started_ms": 1000,
    }
    return deployment.TargetEntry(**(values | changes))


def build_target(
    target_id: str, revision: int, **changes
) -> deployment.PublishedItem:
    """Return a published item that holds a target."""
    return deployment.PublishedItem(
        f"servers/{target_id}",
        revision,
        target=build_entry(target_id, **changes),
    )


def build_removal(target_id: str, revision: int) -> deployment.PublishedItem:
    """Return a published item that removes a target."""
    return deployment.PublishedItem(
        f"servers/{target_id}", revision, removed=True
    )


def build_configuration(
    version: int, revision: int, **changes
) -> deployment.PublishedItem:
    """Return a published item that holds a configuration."""
    return deployment.PublishedItem(
        "op/config",
        revision,
        configuration=deployment.Configuration(version=version, **changes),
    )


def build_evacuation(
    data_centre: str, revision: int, **changes
) -> deployment.PublishedItem:
    """Return a published item that takes a data centre out."""
    return deployment.PublishedItem(
        f"op/evacuate/{data_centre}",
        revision,
        **({"data_centre_out": data_centre} | changes),
    )


def list_all(
    revision: int, *items: deployment.PublishedItem
) -> deployment.PrefixChanges:
    """Return a whole list of items."""
    return deployment.PrefixChanges(-1, revision, items)


def list_after(
    base: int, revision: int, *items: deployment.PublishedItem
) -> deployment.PrefixChanges:
    """Return the changes after a base revision."""
    return deployment.PrefixChanges(base, revision, items)


def in_era(
    era: int, changes: deployment.PrefixChanges
) -> deployment.PrefixChanges:
    """Return changes of an era of the store."""
    return dataclasses.replace(changes, era=era)


class StoreModel:
    """Reference model of a store that keeps its items and their history."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self._items: dict[str, deployment.PublishedItem] = {}
        self._history: list[deployment.PublishedItem] = []

    @property
    def items(self) -> dict[str, deployment.PublishedItem]:
        """Items by key."""
        return dict(self._items)

    @property
    def revisions(self) -> dict[str, int]:
        """Revision of each item, by key."""
        return {key: item.revision for key, item in self._items.items()}

    def put(self, target_id: str, **changes) -> None:
        """Write the item of a target."""
        self.revision += 1
        item = build_target(target_id, self.revision, **changes)
        self._items[item.key] = item
        self._history.append(item)

    def remove(self, target_id: str) -> None:
        """Remove the item of a target, if there is one."""
        item = build_removal(target_id, self.revision + 1)
        if self._items.pop(item.key, None) is not None:
            self.revision += 1
            self._history.append(item)

    def go_back(self, revision: int) -> None:
        """Return to what the store held at a revision, in a new era."""
        self.era += 1
        self.revision = min(self.revision, max(revision, 1))
        self._history = [
            item for item in self._history if item.revision <= self.revision
        ]
        self._items = {}
        for item in self._history:
            if item.removed:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item

    def read(self) -> deployment.PrefixChanges:
        """Return all items."""
        return in_era(self.era, list_all(self.revision, *self._items.values()))

    def watch(self, after: int) -> deployment.PrefixChanges:
        """Return the last change of each item changed after a revision."""
        changed = {i.key: i for i in self._history if i.revision > after}
        return in_era(
            self.era, list_after(after, self.revision, *changed.values())
        )
