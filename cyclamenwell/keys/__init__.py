"""API keys of organisations and contexts of running requests."""

__all__: list[str] = []
