"""Load generation and experiments."""

__all__: list[str] = []
