"""Membership views of a service and the order of their revisions."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell.telemetry import logs

__all__ = [
    "ShareBounds",
    "ShareOwner",
    "View",
    "ViewLifetime",
    "build_view",
    "compute_digest",
    "insert_revision",
]

_log = logs.ComponentLogger("views")

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A membership of the service and the range of revisions that have it.

    Parameters
    ----------
    first, last : int
        Revisions of the instance list that are known to have exactly these
        members. The revisions between them may have others.
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
class ShareBounds:
    """Bounds on the base share of this node at one time.

    Parameters
    ----------
    instance : str
        Name of this instance.
    views : tuple of View
        Live views, oldest first.
    versions : tuple of int
        Live versions of the service document, oldest first.
    settled : bool
        Whether this process has settled on ``views[0]``, that is, has dropped
        all older views.
    usable_until : clock.Milliseconds or None
        Monotonic time from which the base share is not used, because contact
        with the peers is too old; None for never.
    """

    instance: str
    views: tuple[View, ...] = ()
    versions: tuple[int, ...] = ()
    settled: bool = False
    usable_until: clock.Milliseconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ViewLifetime:
    """The time during which a view was live at this node.

    Parameters
    ----------
    view : View
        The view.
    since : clock.Milliseconds
        Monotonic time when the view was added.
    until : clock.Milliseconds or None
        Monotonic time when the view was dropped, None while it is live.
    """

    view: View
    since: clock.Milliseconds
    until: clock.Milliseconds | None = None


class ShareOwner(Protocol):
    """Owner of the shares, which must fit a view before it is declared."""

    def apply_bounds(self, bounds: ShareBounds) -> None:
        """Replace the bounds on the base shares."""

    def fits_view(self, view: View) -> bool:
        """Return whether the units on loan fit in the shares of a view."""


def build_view(revision: int, members: Iterable[str]) -> View:
    """Return the view of one revision of the instance list."""
    ordered = tuple(sorted(members))
    return View(revision, revision, ordered, compute_digest(ordered))


def insert_revision(
    views: tuple[View, ...], revision: int, members: tuple[str, ...]
) -> tuple[View, ...]:
    """Add the members at one revision of the list to a history of views.

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
        The history with the revision, unchanged if the revision adds nothing.
    """
    observed = build_view(revision, members)
    for index, view in enumerate(views):
        if revision < view.first:
            if view.digest == observed.digest:
                return views
            return views[:index] + (observed,) + views[index:]
        if view.digest == observed.digest and revision <= view.last:
            return views
        if revision <= view.last:
            return (
                views[:index] + _split_view(view, observed) + views[index + 1 :]
            )
        next_first = (
            views[index + 1].first if index + 1 < len(views) else revision + 1
        )
        if view.digest == observed.digest and revision < next_first:
            extended = dataclasses.replace(view, last=revision)
            return views[:index] + (extended,) + views[index + 1 :]
    return views + (observed,)


def _split_view(view: View, observed: View) -> tuple[View, ...]:
    """Split a view at a revision that has other members."""
    if observed.first in (view.first, view.last):
        _log.warning("conflicting members for list revision %d", observed.first)
        return (view,)
    return (
        dataclasses.replace(view, last=view.first),
        observed,
        dataclasses.replace(view, first=view.last),
    )


def compute_digest(members: Iterable[str]) -> bytes:
    """Return the first 8 bytes of the SHA-256 digest of sorted members."""
    text = "\n".join(members)
    return hashlib.sha256(text.encode()).digest()[:_DIGEST_BYTES]
