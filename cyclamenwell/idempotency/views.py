"""Interfaces through which claims read the membership of the own service."""

from __future__ import annotations

from typing import Protocol

from cyclamenwell import clock

__all__ = ["MemberView", "ViewSource"]


class MemberView(Protocol):
    """View of the members of the service."""

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the member instances, sorted."""


class ViewSource(Protocol):
    """Source of the membership views that apply at the node."""

    def list_live_views(self) -> tuple[MemberView, ...]:
        """Return the live views, empty until the node settles on the first."""

    def find_settled_time(self) -> clock.Milliseconds | None:
        """Return the wall time when the node settled on its first view.

        Returns
        -------
        clock.Milliseconds or None
            The wall time, None before the node has settled.
        """

    def list_views_since(
        self, wall: clock.Milliseconds
    ) -> tuple[MemberView, ...]:
        """Return all views that were live at or after a wall time."""
