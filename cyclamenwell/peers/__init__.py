"""Transport of messages between nodes."""

__all__: list[str] = []
