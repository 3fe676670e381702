"""Tests of the account of the memory held for callers and peers."""

from __future__ import annotations

import pytest

from cyclamenwell.admission import memory_account
from cyclamenwell.admission.tests import memory_builders as builders

KB = 1000
CAPACITY = 1000 * KB


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
    small, large, newest = hold(account, 30 * KB, 600 * KB, 500 * KB)
    assert large.is_evicted
    assert not small.is_evicted
    assert not newest.is_evicted
    assert account.total_bytes == 530 * KB


def test_a_connection_with_a_running_request_is_kept(account):
    """Guards against a request that runs and is not answered."""
    (running,) = hold(account, 700 * KB, is_evictable=False)
    (newest,) = hold(account, 500 * KB)
    assert not running.is_evicted
    assert newest.is_evicted


def test_one_large_request_is_served_in_calm(account):
    """Guards against a refusal of what is within the limits of a request."""
    large, small = hold(account, 3000 * KB, 200 * KB)
    assert not large.is_evicted
    assert not small.is_evicted
    hold(account, 100 * KB)
    assert large.is_evicted


def test_a_large_request_that_runs_closes_no_ordinary_callers(account):
    """Guards against an upload for which all others are refused."""
    hold(account, 3000 * KB, is_evictable=False)
    ordinary = hold(account, *[2 * KB] * 500)
    assert not any(holder.is_evicted for holder in ordinary)
    assert account.reserve(1 * KB)


def test_memory_that_was_given_back_counts_no_more(account):
    """Guards against evictions for answers that have been read since."""
    (reader,) = hold(account, 600 * KB)
    reader.held_bytes = 10 * KB
    (newest,) = hold(account, 800 * KB)
    assert not reader.is_evicted
    assert not newest.is_evicted
    assert account.total_bytes == 810 * KB


def test_a_closed_connection_holds_nothing(account):
    """Guards against an account that fills up over time."""
    for _ in range(100):
        (holder,) = hold(account, 500 * KB)
        account.remove(holder)
    assert account.total_bytes == 0


def test_a_body_is_reserved_with_its_copies_or_refused(account):
    """Guards against grants for more bodies than there is memory for."""
    assert account.reserve(200 * KB)
    assert not account.reserve(200 * KB)
    account.release(200 * KB)
    assert account.reserve(200 * KB)


def test_one_body_larger_than_the_account_is_accepted_in_calm(account):
    """Guards against uploads within the limits that never succeed."""
    assert account.reserve(CAPACITY)
    assert account.reserve(50 * KB)
    assert not account.reserve(100 * KB)
    account.release(50 * KB)
    account.release(CAPACITY)
    assert account.total_bytes == 0


@pytest.mark.parametrize("memory_mb", [20.0, 80.0, 300.0, 4000.0])
def test_capacity_leaves_room_for_the_process_itself(memory_mb):
    """Guards against an account that is larger than the process may be."""
    capacity = memory_account.find_capacity(memory_mb)
    assert 0 < capacity <= memory_mb * 1e6 * 0.5
