"""What claims need to know of the membership of the own service."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import Protocol

from cyclamenwell import clock

__all__ = ["MemberView", "ViewSource", "choose_registrars"]


class MemberView(Protocol):
    """A view of the service's members."""

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the member instances, sorted."""


class ViewSource(Protocol):
    """Source of the views that the node may act upon."""

    def list_live_views(self) -> tuple[MemberView, ...]:
        """Return the live views, empty before the first one settled."""

    def find_settled_time(self) -> clock.Milliseconds | None:
        """Return the wall time at which the node settled on its first view."""

    def list_views_since(
        self, wall: clock.Milliseconds
    ) -> tuple[MemberView, ...]:
        """Return every view that was live at or after a wall time."""


def choose_registrars(
    key: str, members: Iterable[str], count: int
) -> tuple[str, ...]:
    """Choose the instances that register a key, by rendezvous hashing.

    Parameters
    ----------
    key : str
        Idempotency key.
    members : iterable of str
        Members of a view.
    count : int
        Number of registrars, or of members if they are fewer.

    Returns
    -------
    tuple of str
        The members with the highest hash of key and name. A change of the
        view changes only the registrars that it adds or removes.
    """
    ranked = sorted(
        members, key=lambda member: _rank(key, member), reverse=True
    )
    return tuple(ranked[:count])


def _rank(key: str, member: str) -> bytes:
    return hashlib.blake2b(
        member.encode(), digest_size=8, key=key.encode()
    ).digest()
