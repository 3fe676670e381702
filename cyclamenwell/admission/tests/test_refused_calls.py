"""Tests of the attribution of refused nested calls."""

from __future__ import annotations

import pytest

from cyclamenwell import clock
from cyclamenwell.admission import refused_calls
from cyclamenwell.generated import enumerations

Kind = enumerations.ErrorKind


def test_a_refused_call_accounts_for_one_failed_run():
    """Guards against failures of targets that are taken for lost runs."""
    calls = refused_calls.RefusedCalls()
    assert not calls.claim(clock.Milliseconds(5))
    calls.note_refusal(Kind.OVERLOADED, clock.Milliseconds(10))
    assert calls.claim(clock.Milliseconds(12))
    assert not calls.claim(clock.Milliseconds(13))


def test_an_old_refusal_accounts_for_nothing():
    """Guards against failures that are blamed on refusals long ago."""
    calls = refused_calls.RefusedCalls()
    calls.note_refusal(Kind.OVERLOADED, clock.Milliseconds(10))
    assert not calls.claim(clock.Milliseconds(500))


@pytest.mark.parametrize(
    "kind",
    [Kind.COLD, Kind.NO_SUCH_ROUTE, Kind.LEAVING, Kind.TARGET_SHED],
)
def test_only_a_lack_of_capacity_counts(kind):
    """Guards against requests refused for a reason that load can not mend."""
    calls = refused_calls.RefusedCalls()
    calls.note_refusal(kind, clock.Milliseconds(10))
    assert not calls.claim(clock.Milliseconds(12))
