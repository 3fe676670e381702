"""Tests of the limit on runs whose nested calls are refused."""

from __future__ import annotations

import pytest

from cyclamenwell import clock
from cyclamenwell.admission.tests import throttle_builders


@pytest.fixture
def player():
    return throttle_builders.RunPlayer()


def test_runs_without_refused_calls_are_not_limited(player):
    """Guards against a limit on routes whose requests make no calls."""
    assert player.play(500, lost_share=0.0) == 500


def test_failures_of_the_target_itself_limit_nothing(player):
    """Guards against fewer runs at a target that fails for another reason."""
    for _ in range(500):
        end = player.throttles.note_end(
            "read", player.now, player.now, is_failed=True
        )
        assert not end.is_lost
        assert end.change is None
    assert player.play(500, lost_share=0.0) == 500


def test_lost_runs_lower_the_rate_of_their_route_alone(player):
    """Guards against refusals of requests that could be finished."""
    player.play(500, lost_share=0.8)
    assert player.play(500, lost_share=0.8) < 250
    assert player.play(500, lost_share=0.0, route="write") == 500


def test_the_limit_ends_when_no_more_runs_are_lost(player):
    """Guards against a limit that outlasts the lack of slots."""
    player.play(1000, lost_share=0.9)
    player.play(1000, lost_share=0.0)
    assert player.play(500, lost_share=0.0) == 500


@pytest.mark.parametrize("lost_share", [0.5, 1.0])
def test_some_runs_begin_however_many_are_lost(player, lost_share):
    """Guards against a limit that can never learn of free slots."""
    player.play(4000, lost_share)
    assert player.play(500, lost_share) >= 1


def test_a_refused_run_is_told_when_the_next_one_begins(player):
    """Guards against callers that return while nothing is admitted."""
    player.play(1000, lost_share=0.9)
    throttles, now = player.throttles, player.now
    while throttles.admit("read", now):
        pass
    wait = throttles.find_wait("read", now)
    assert wait.value > 0
    assert not throttles.admit("read", now + wait * 0.9)
    assert throttles.admit("read", now + wait + clock.Milliseconds(1))
