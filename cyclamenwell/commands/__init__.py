"""Command line for operators."""

__all__: list[str] = []
