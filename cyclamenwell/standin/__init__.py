"""Stand-ins for the platform and a target, for tests and demonstrations."""

__all__: list[str] = []
