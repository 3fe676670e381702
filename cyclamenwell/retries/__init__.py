"""Bounds on retries over a call chain and for a node."""

__all__: list[str] = []
