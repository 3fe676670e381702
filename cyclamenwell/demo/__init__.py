"""Demonstration of a small fleet with live configuration changes."""

__all__: list[str] = []
