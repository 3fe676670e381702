"""Request-reply transport of messages between nodes."""

__all__: list[str] = []
