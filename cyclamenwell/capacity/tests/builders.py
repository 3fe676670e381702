"""Builders of synthetic measurements."""

from __future__ import annotations

import collections

from cyclamenwell.capacity import figures
from cyclamenwell.capacity import measures

__all__ = ["build_measurements"]


def build_measurements(added_p99_ms: float = 3.4) -> figures.Measurements:
    """Return measurements in which every cost has the same linear fit."""
    line = figures.fit_line("ms", "thing", (1, 2, 3), (1.0, 2.0, 3.0))
    slopes = collections.defaultdict(lambda: line, {"thread": line})
    return figures.Measurements(
        slopes, measures.measure_bytes(), 2**20, added_p99_ms, 1.5
    )
