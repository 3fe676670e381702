"""Documents that the platform publishes: reading and comparing."""

__all__: list[str] = []
