"""Schema of messages, settings and documents, and its code generator."""

__all__: list[str] = []
