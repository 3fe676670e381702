"""Helpers shared by the tests of several packages."""

__all__: list[str] = []
