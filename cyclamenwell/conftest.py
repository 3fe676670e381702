"""Leaves out the tests that KNOWN-RED.txt lists."""

from __future__ import annotations

import pathlib
import re

import pytest

_LIST = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
# A line of the list that names a test as pytest does.
_TEST = re.compile(r"^\s*test: (\S+::\S+)$", re.MULTILINE)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect listed tests; pytest prints how many, CI prints the list."""
    listed = set(_TEST.findall(_LIST.read_text("utf-8")))
    left_out = [item for item in items if item.nodeid in listed]
    if left_out and not config.getoption("keyword"):
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if item.nodeid not in listed]
