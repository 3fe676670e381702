"""Long randomised runs of real processes that assert the invariants."""

__all__: list[str] = []
