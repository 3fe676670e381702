"""Slopes of small runs and what they give at the planned size."""

__all__: list[str] = []
