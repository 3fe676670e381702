"""Demonstration of a small fleet with real requests and live changes."""

__all__: list[str] = []
