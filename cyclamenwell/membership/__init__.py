"""Instances of the fleet, their states, and views of a service."""

__all__: list[str] = []
