"""Tests of the page without any measurement."""

from __future__ import annotations

import pytest

from cyclamenwell.capacity import figures
from cyclamenwell.capacity import main
from cyclamenwell.capacity import model
from cyclamenwell.capacity.tests import builders


def test_page_has_a_row_for_each_target_and_the_factor_of_a_miss():
    """Guards against a target that the page leaves out or glosses over."""
    found = builders.build_figures(added_p99_ms=3.4)

    page = main.render(found)

    for target in model.build_targets(found):
        assert f"| {target.name} |" in page
    assert "| 0.34 | 3.4 | ms | missed by a factor of 10.0 |" in page


def test_fit_returns_the_line_and_refuses_two_points():
    """Guards against slopes that rest on too few sizes."""
    line = figures.fit("ms", "thing", (1, 2, 4), (5.0, 7.0, 11.0))

    assert (line.slope, line.start) == pytest.approx((2.0, 3.0))
    with pytest.raises(ValueError, match="3 or more"):
        figures.fit("ms", "thing", (1, 2), (5.0, 7.0))


def test_bench_figures_come_from_the_last_row_of_one_caller():
    """Guards against figures of an earlier run or of another path."""
    text = (
        "| 1 | 1 | two nodes | 9 | 1 | 2 | 3 | 4 | 5 | 6 |\n"
        "| 2 | 1 | two nodes | 9 | 1 | 2 | 3 | 4 | 7 | 8 |\n"
        "| 2 | 4 | two nodes | 9 | 1 | 2 | 3 | 4 | 9 | 9 |\n"
    )

    assert main.read_bench(text) == (7.0, 8.0)
