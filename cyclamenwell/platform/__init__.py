"""Client of the platform's configuration service and instance list."""

__all__: list[str] = []
