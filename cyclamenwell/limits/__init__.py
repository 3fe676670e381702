"""Distributed rate limits of organisations over nodes of a fleet."""

__all__: list[str] = []
