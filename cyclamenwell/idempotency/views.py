"""What claims need to know of the membership of the own service."""

from __future__ import annotations

from typing import Protocol

from cyclamenwell import clock

__all__ = ["MemberView", "ViewSource"]


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
