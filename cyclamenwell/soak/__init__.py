"""Randomised fault injection runs of real processes with invariant checks."""

__all__: list[str] = []
