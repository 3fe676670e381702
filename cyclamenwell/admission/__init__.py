"""Admission of requests to the target beside the node."""

__all__: list[str] = []
