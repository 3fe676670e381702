"""Route matching and selection of the instance or target of a request."""

__all__: list[str] = []
