"""Tests of request paths and responses of the store."""

import json

import pytest

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import httpfields
from cyclamenwell.platform import names
from cyclamenwell.platform import store
from cyclamenwell.platform.tests import builders


def test_paths_hold_whole_milliseconds_and_escaped_prefixes():
    """Guards against a wait parameter that the store rejects."""
    path = store.build_watch_path("op/", 411, clock.Milliseconds(1500.7))
    assert path == "/v1/kv-watch?prefix=op%2F&after=411&wait_ms=1500"
    assert store.build_range_path("servers/", "servers/i-1") == (
        "/v1/kv-range?prefix=servers%2F&after=servers%2Fi-1"
    )


def test_long_wait_is_cut_to_the_maximum_of_the_store():
    """Guards against a watch that the store rejects."""
    path = store.build_watch_path("op/", 1, clock.Milliseconds(99_000))
    assert "wait_ms=30000" in path


def test_pages_continue_after_the_last_key():
    """Guards against a listing that stops after its first page."""
    body = {
        "items": [
            builders.build_item("servers/i-1", builders.build_target_value())
        ],
        "has_more": True,
        "store_revision": 530,
    }
    changes, after = store.decode_range(200, json.dumps(body).encode())
    assert after == "servers/i-1"
    assert (changes.base, changes.revision) == (-1, 530)


def test_discarded_history_raises_its_own_error():
    """Guards against endless watches after a discarded revision."""
    with pytest.raises(store.HistoryLostError):
        store.decode_watch(410, b"", 7)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (503, b""),
        (429, b"{}"),
        (200, b"no json"),
        (200, b"[]"),
        (200, b'{"items": [], "has_more": false}'),
        (200, b'{"items": 3, "store_revision": 3}'),
        (200, b'{"items": [5], "store_revision": 3}'),
        (200, b'{"items": [null], "store_revision": 3}'),
        (200, b'{"items": [{"key": 3}], "store_revision": 3}'),
    ],
)
def test_error_status_and_malformed_response_are_errors(status, body):
    """Guards against a failed read that is taken for an empty list."""
    with pytest.raises(exceptions.PlatformError):
        store.decode_range(status, body)


@pytest.mark.parametrize(
    ("text", "era"),
    [
        ("1", 1),
        ("0042", 42),
        ("9" * 18, 10**18 - 1),
        ("", None),
        ("two", None),
        ("-1", None),
        ("1.5", None),
        ("\u0663", None),
        ("9" * 19, None),
    ],
)
def test_era_is_a_number_that_messages_can_carry(text, era):
    """Guards against an era that ends the reader or its messages."""
    assert store.parse_era(text) == era


def test_era_is_found_in_the_headers():
    """Guards against a return of the store that nobody notices."""
    headers = (
        httpfields.Header("content-length", "2"),
        httpfields.Header(names.STORE_ERA, "7"),
    )
    assert store.find_era(headers) == "7"
    assert store.find_era(headers[:1]) == ""
