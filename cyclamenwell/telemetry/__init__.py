"""Logging and Prometheus metrics."""

__all__: list[str] = []
