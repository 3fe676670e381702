"""The process beside a target."""

__all__: list[str] = []
