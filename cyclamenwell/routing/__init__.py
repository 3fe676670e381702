"""Matching routes and choosing instances."""

__all__: list[str] = []
