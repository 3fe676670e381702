"""Load generation, benchmarks and experiments on loopback."""

__all__: list[str] = []
