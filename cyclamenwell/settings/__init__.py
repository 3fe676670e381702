"""Settings of the programs, written in YAML."""

__all__: list[str] = []
