"""Admission control for the target of a node."""

__all__: list[str] = []
