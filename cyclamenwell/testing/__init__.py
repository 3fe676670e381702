"""Test helpers shared by several packages."""

__all__: list[str] = []
