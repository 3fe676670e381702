"""At-most-once execution of non-idempotent requests."""

__all__: list[str] = []
