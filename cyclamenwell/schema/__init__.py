"""Schema of messages, settings and documents, and the generator of its code."""

__all__: list[str] = []
