"""Instances of the fleet, their state, and membership views of a service."""

__all__: list[str] = []
