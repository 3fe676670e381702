"""Parsing, validation and comparison of published documents."""

__all__: list[str] = []
