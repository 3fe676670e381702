"""Builders of made-up figures."""

from __future__ import annotations

import collections

from cyclamenwell.capacity import figures
from cyclamenwell.capacity import measures

__all__ = ["build_figures"]


def build_figures(added_p99_ms: float = 3.4) -> figures.Figures:
    """Return figures in which every slope is the same."""
    line = figures.fit("ms", "thing", (1, 2, 3), (1.0, 2.0, 3.0))
    slopes = collections.defaultdict(lambda: line, {"thread": line})
    return figures.Figures(
        slopes, measures.measure_bytes(), 2**20, added_p99_ms, 1.5
    )
