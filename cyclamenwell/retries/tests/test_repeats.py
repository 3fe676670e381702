"""Whether a request may be sent to another target."""

import pytest

from cyclamenwell.generated import enumerations
from cyclamenwell.retries import repeats

Kind = enumerations.ErrorKind
ONCE = (
    enumerations.RequestKind.NON_IDEMPOTENT,
    enumerations.RequestKind.UPLOAD,
)


@pytest.mark.parametrize("kind", ONCE)
def test_what_may_have_run_is_not_sent_again(kind):
    """Guards against a second run of a request that may run once."""
    attempts = repeats.Attempts().add(reached_target=True, not_run=False)
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.INCOMPLETE_ANSWER)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", ONCE)
def test_an_earlier_attempt_that_may_have_run_counts(kind):
    """Guards against forgetting it after an attempt that did not run."""
    attempts = (
        repeats.Attempts()
        .add(reached_target=True, not_run=False)
        .add(reached_target=False, not_run=True)
    )
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.OVERLOADED)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", list(enumerations.RequestKind))
def test_what_no_target_has_seen_goes_elsewhere_free_of_charge(kind):
    """Guards against failing a request because one node is gone."""
    attempts = repeats.Attempts().add(reached_target=False, not_run=True)
    decision = repeats.decide_repeat(attempts, kind, 1, Kind.PEER_UNREACHABLE)
    assert decision is repeats.Repeat.FREE


def test_arrivals_stay_within_the_route():
    """Guards against more targets than the route allows."""
    kind = enumerations.RequestKind.IDEMPOTENT
    attempts = repeats.Attempts().add(reached_target=True, not_run=False)
    allowed = repeats.decide_repeat(attempts, kind, 2, Kind.INCOMPLETE_ANSWER)
    assert allowed is repeats.Repeat.FROM_BUDGET
    refused = repeats.decide_repeat(attempts, kind, 1, Kind.INCOMPLETE_ANSWER)
    assert refused is repeats.Repeat.NONE


def test_offers_are_bounded():
    """Guards against a request that is offered for ever."""
    attempts = repeats.Attempts()
    while (
        repeats.decide_repeat(
            attempts, enumerations.RequestKind.IDEMPOTENT, 9, Kind.OVERLOADED
        )
        is not repeats.Repeat.NONE
    ):
        attempts = attempts.add(reached_target=False, not_run=True)
        assert attempts.offers < 10
