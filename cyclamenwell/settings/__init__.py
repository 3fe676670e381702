"""Settings of a node in YAML."""

__all__: list[str] = []
