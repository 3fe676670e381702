"""Tests of the retry policy for sending requests to other targets."""

import pytest

from cyclamenwell.generated import enumerations
from cyclamenwell.retries import repeats

Kind = enumerations.ErrorKind
NON_REPEATABLE_KINDS = (
    enumerations.RequestKind.NON_IDEMPOTENT,
    enumerations.RequestKind.UPLOAD,
)


@pytest.mark.parametrize("kind", NON_REPEATABLE_KINDS)
def test_request_that_may_have_run_is_not_sent_again(kind):
    """Guards against a second run of a non-idempotent request."""
    attempts = repeats.Attempts().add(True, False, Kind.INCOMPLETE_ANSWER)
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.INCOMPLETE_ANSWER)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", NON_REPEATABLE_KINDS)
def test_earlier_attempt_that_may_have_run_is_remembered(kind):
    """Guards against a second run after an attempt that did not run."""
    attempts = (
        repeats.Attempts()
        .add(True, False, Kind.INCOMPLETE_ANSWER)
        .add(False, True, Kind.PEER_UNREACHABLE)
    )
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.OVERLOADED)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", list(enumerations.RequestKind))
def test_retry_is_free_if_no_target_received_the_request(kind):
    """Guards against failing a request because of one unreachable node."""
    attempts = repeats.Attempts().add(False, True, Kind.PEER_UNREACHABLE)
    decision = repeats.decide_repeat(attempts, kind, 1, Kind.PEER_UNREACHABLE)
    assert decision is repeats.Repeat.FREE


def test_attempts_stay_within_the_maximum_of_the_route():
    """Guards against more attempts than the route allows."""
    kind = enumerations.RequestKind.IDEMPOTENT
    attempts = repeats.Attempts().add(True, False, Kind.INCOMPLETE_ANSWER)
    allowed = repeats.decide_repeat(attempts, kind, 2, Kind.INCOMPLETE_ANSWER)
    assert allowed is repeats.Repeat.FROM_BUDGET
    refused = repeats.decide_repeat(attempts, kind, 1, Kind.INCOMPLETE_ANSWER)
    assert refused is repeats.Repeat.NONE


@pytest.mark.parametrize(
    ("failure", "most"), [(Kind.PEER_UNREACHABLE, 5), (Kind.OVERLOADED, 2)]
)
def test_offers_are_bounded(failure, most):
    """Guards against an unbounded number of offers.

    An offer to each target of a saturated service would multiply the messages
    during an overload by the number of targets.
    """
    attempts = repeats.Attempts()
    while (
        repeats.decide_repeat(
            attempts, enumerations.RequestKind.IDEMPOTENT, 9, failure
        )
        is not repeats.Repeat.NONE
    ):
        attempts = attempts.add(False, True, failure)
        assert attempts.offers <= most
    assert attempts.offers == most
