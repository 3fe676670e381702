"""Tests of the capacity page with synthetic measurements."""

from __future__ import annotations

import pytest

from cyclamenwell.capacity import figures
from cyclamenwell.capacity import main
from cyclamenwell.capacity import model
from cyclamenwell.capacity.tests import builders


def test_page_has_a_row_for_each_target_and_the_factor_of_a_miss():
    """Guards against a page that omits a target or hides that it is missed."""
    measured = builders.build_measurements(added_p99_ms=3.4)

    page = main.render(measured)

    for target in model.build_targets(measured):
        assert f"| {target.name} |" in page
    assert "| 0.34 | 3.4 | ms | missed by a factor of 10.0 |" in page


def test_fit_returns_the_line_and_refuses_two_points():
    """Guards against fits through too few sizes."""
    line = figures.fit_line("ms", "thing", (1, 2, 4), (5.0, 7.0, 11.0))

    assert (line.slope, line.start) == pytest.approx((2.0, 3.0))
    with pytest.raises(ValueError, match="3 or more"):
        figures.fit_line("ms", "thing", (1, 2), (5.0, 7.0))


def test_bench_results_come_from_the_last_row_of_one_caller():
    """Guards against results of an earlier run or of another call path."""
    text = (
        "| 1 | 1 | two nodes | 9 | 1 | 2 | 3 | 4 | 5 | 6 |\n"
        "| 2 | 1 | two nodes | 9 | 1 | 2 | 3 | 4 | 7 | 8 |\n"
        "| 2 | 4 | two nodes | 9 | 1 | 2 | 3 | 4 | 9 | 9 |\n"
    )

    assert main.read_bench(text) == (7.0, 8.0)
