"""Linear fits from small runs, extrapolated to the planned fleet size."""

__all__: list[str] = []
