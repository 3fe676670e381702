"""Tests of the headers that are exchanged with targets."""

import pytest

from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.platform import http_adapter


def parse(*fields):
    """Return a parsed answer with the given headers."""
    headers = tuple(httpfields.Header(name, value) for name, value in fields)
    return http_adapter.parse_target_answer(calls.HttpAnswer(200, headers, b""))


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        ("29.5", 29.5),
        ("0", 0.0),
        ("999999999999", 999_999_999_999.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e9", None),
        ("9" * 400, None),
        ("12,5", None),
        ("", None),
    ],
)
def test_only_a_decimal_number_names_a_limit(value, rate):
    """Guards against a target that is stopped or flooded by an odd value."""
    assert parse(("server-limit", value)).named_rate == rate


def test_an_answer_without_statements_states_nothing():
    """Guards against limits and departures that no target has stated."""
    answer = parse(("request-id", "r"))
    assert answer.named_rate is None
    assert not answer.is_leaving
    assert not parse(("server-leaving", "0")).is_leaving
    assert parse(("server-leaving", "1")).is_leaving
