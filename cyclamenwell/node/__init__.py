"""Node process that runs beside a target."""

__all__: list[str] = []
