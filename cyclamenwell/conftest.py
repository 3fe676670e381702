"""Deselects the known failing tests that KNOWN-RED.txt lists."""

from __future__ import annotations

import pathlib
import re

import pytest

_KNOWN_FAILURES = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
# A line of the list with the node identifier of a test.
_TEST_LINE = re.compile(r"^\s*test: (\S+::\S+)$", re.MULTILINE)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the listed tests, unless tests are selected with ``-k``.

    Pytest prints the number of deselected tests and CI prints the list.
    """
    listed = set(_TEST_LINE.findall(_KNOWN_FAILURES.read_text("utf-8")))
    deselected = [item for item in items if item.nodeid in listed]
    if deselected and not config.getoption("keyword"):
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]
