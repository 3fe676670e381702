"""Simulated platform and target servers for tests and demonstrations."""

__all__: list[str] = []
