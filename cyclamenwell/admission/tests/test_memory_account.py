"""Tests of the account of the memory held for callers and peers."""

from __future__ import annotations

import pytest

from cyclamenwell.admission import memory_account
from cyclamenwell.admission.tests import memory_builders as builders

CAPACITY = 10_000


@pytest.fixture
def account():
    return memory_account.MemoryAccount(CAPACITY)


def hold(account, *sizes, **values):
    """Return connections that hold some bytes each."""
    holders = [builders.HolderStandin(size, **values) for size in sizes]
    for holder in holders:
        account.update(holder)
    return holders


def test_the_largest_holder_gives_way(account):
    """Guards against ordinary callers that are closed for large ones."""
    small, large, newest = hold(account, 300, 6000, 5000)
    assert large.is_evicted
    assert not small.is_evicted
    assert not newest.is_evicted
    assert account.total_bytes == 5300


def test_a_connection_with_a_running_request_is_kept(account):
    """Guards against a request that runs and is not answered."""
    (running,) = hold(account, 8000, is_evictable=False)
    (newest,) = hold(account, 4000)
    assert not running.is_evicted
    assert newest.is_evicted


def test_one_large_request_is_served_in_calm(account):
    """Guards against a refusal of what is within the limits of a request."""
    large, small = hold(account, 30_000, 2000)
    assert not large.is_evicted
    assert not small.is_evicted
    hold(account, 1000)
    assert large.is_evicted


def test_memory_that_was_given_back_counts_no_more(account):
    """Guards against evictions for answers that have been read since."""
    (reader,) = hold(account, 6000)
    reader.held_bytes = 100
    (newest,) = hold(account, 8000)
    assert not reader.is_evicted
    assert not newest.is_evicted
    assert account.total_bytes == 8100


def test_a_closed_connection_holds_nothing(account):
    """Guards against an account that fills up over time."""
    for _ in range(100):
        (holder,) = hold(account, 5000)
        account.remove(holder)
    assert account.total_bytes == 0


def test_a_body_is_reserved_with_its_copies_or_refused(account):
    """Guards against grants for more bodies than there is memory for."""
    assert account.reserve(3000)
    assert not account.reserve(3000)
    account.release(3000)
    assert account.reserve(3000)


def test_one_body_larger_than_the_account_is_accepted_in_calm(account):
    """Guards against uploads within the limits that never succeed."""
    assert account.reserve(CAPACITY)
    assert not account.reserve(1000)
    account.release(CAPACITY)
    assert account.total_bytes == 0


@pytest.mark.parametrize("memory_mb", [20.0, 80.0, 300.0, 4000.0])
def test_capacity_leaves_room_for_the_process_itself(memory_mb):
    """Guards against an account that is larger than the process may be."""
    capacity = memory_account.find_capacity(memory_mb)
    assert 0 < capacity <= memory_mb * 1e6 * 0.5
