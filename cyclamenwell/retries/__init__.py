"""Retry budgets for call chains, nodes and the fleet."""

__all__: list[str] = []
