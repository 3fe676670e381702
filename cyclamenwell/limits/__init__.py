"""Rate and burst of an organisation over all instances of a service."""

__all__: list[str] = []
