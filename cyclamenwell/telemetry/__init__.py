"""Logs and metrics."""

__all__: list[str] = []
