"""Keys of organisations and contexts of running calls."""

__all__: list[str] = []
