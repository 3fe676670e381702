"""Views of a service's membership and their history."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell.telemetry import logs

__all__ = [
    "Holder",
    "Standing",
    "Tenure",
    "View",
    "build_view",
    "compute_digest",
    "insert_point",
]

_log = logs.PartLog("views")

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A membership of the service and a range of revisions that have it.

    Parameters
    ----------
    first, last : int
        List revisions that are known to have exactly these members. Nothing
        is claimed of the revisions between them.
    members : tuple of str
        Instances of the service, sorted.
    digest : bytes
        Digest of the members.
    """

    first: int
    last: int
    members: tuple[str, ...]
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What bounds the base share of this node at one moment.

    Parameters
    ----------
    instance : str
        Name of this instance.
    views : tuple of View
        Live views, oldest first.
    versions : tuple of int
        Live versions of the service document, oldest first.
    settled : bool
        Whether this process has settled on ``views[0]``.
    usable_until : clock.Milliseconds or None
        When the base share stops for want of contact, None for never.
    """

    instance: str
    views: tuple[View, ...] = ()
    versions: tuple[int, ...] = ()
    settled: bool = False
    usable_until: clock.Milliseconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """The time during which a view was live at this node.

    Parameters
    ----------
    view : View
        The view.
    since : clock.Milliseconds
        Monotonic time when it was added.
    until : clock.Milliseconds or None
        Monotonic time when it was dropped, None while it is live.
    """

    view: View
    since: clock.Milliseconds
    until: clock.Milliseconds | None = None


class Holder(Protocol):
    """The owner of shares, which a view must fit before it is declared."""

    def apply_standing(self, standing: Standing) -> None:
        """Bound the base shares from now on."""

    def fits(self, view: View) -> bool:
        """Return whether the units lent out fit in the share of a view."""


def build_view(revision: int, members: Iterable[str]) -> View:
    """Return the view of one revision of the list."""
    ordered = tuple(sorted(members))
    return View(revision, revision, ordered, compute_digest(ordered))


def insert_point(
    views: tuple[View, ...], revision: int, members: tuple[str, ...]
) -> tuple[View, ...]:
    """Add what the list says at one revision to a history of views.

    Parameters
    ----------
    views : tuple of View
        Views with disjoint ranges, oldest first.
    revision : int
        Revision of the list.
    members : tuple of str
        Sorted members of the service at that revision.

    Returns
    -------
    tuple of View
        The history with the point, unchanged if it was covered.
    """
    point = build_view(revision, members)
    for index, view in enumerate(views):
        if revision < view.first:
            if view.digest == point.digest:
                return views
            return views[:index] + (point,) + views[index:]
        if view.digest == point.digest and revision <= view.last:
            return views
        if revision <= view.last:
            return views[:index] + _split(view, point) + views[index + 1 :]
        next_first = (
            views[index + 1].first if index + 1 < len(views) else revision + 1
        )
        if view.digest == point.digest and revision < next_first:
            longer = dataclasses.replace(view, last=revision)
            return views[:index] + (longer,) + views[index + 1 :]
    return views + (point,)


def _split(view: View, point: View) -> tuple[View, ...]:
    """Cut a view at a revision that turned out to have other members."""
    if point.first in (view.first, view.last):
        _log.warn("two memberships for list revision %d", point.first)
        return (view,)
    return (
        dataclasses.replace(view, last=view.first),
        point,
        dataclasses.replace(view, first=view.last),
    )


def compute_digest(members: Iterable[str]) -> bytes:
    """Return the first 8 bytes of the SHA-256 over sorted members."""
    text = "\n".join(members)
    return hashlib.sha256(text.encode()).digest()[:_DIGEST_BYTES]
