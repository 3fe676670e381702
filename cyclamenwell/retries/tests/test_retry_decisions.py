"""Tests of the retry policy for sending requests to other targets."""

import pytest

from cyclamenwell.generated import enumerations
from cyclamenwell.retries import retry_decisions

Kind = enumerations.ErrorKind
NON_REPEATABLE_KINDS = (
    enumerations.RequestKind.NON_IDEMPOTENT,
    enumerations.RequestKind.UPLOAD,
)


@pytest.mark.parametrize("kind", NON_REPEATABLE_KINDS)
def test_request_that_may_have_run_is_not_sent_again(kind):
    """Guards against a second run of a non-idempotent request."""
    attempts = retry_decisions.Attempts().add(
        True, False, Kind.INCOMPLETE_ANSWER
    )
    decision = retry_decisions.decide_retry(
        attempts, kind, 5, Kind.INCOMPLETE_ANSWER
    )
    assert decision is retry_decisions.RetryDecision.NONE


@pytest.mark.parametrize("kind", NON_REPEATABLE_KINDS)
def test_earlier_attempt_that_may_have_run_is_remembered(kind):
    """Guards against a second run after an attempt that did not run."""
    attempts = (
        retry_decisions.Attempts()
        .add(True, False, Kind.INCOMPLETE_ANSWER)
        .add(False, True, Kind.PEER_UNREACHABLE)
    )
    decision = retry_decisions.decide_retry(attempts, kind, 5, Kind.OVERLOADED)
    assert decision is retry_decisions.RetryDecision.NONE


@pytest.mark.parametrize("kind", list(enumerations.RequestKind))
def test_retry_is_free_if_no_target_received_the_request(kind):
    """Guards against failing a request because of one unreachable node."""
    attempts = retry_decisions.Attempts().add(
        False, True, Kind.PEER_UNREACHABLE
    )
    decision = retry_decisions.decide_retry(
        attempts, kind, 1, Kind.PEER_UNREACHABLE
    )
    assert decision is retry_decisions.RetryDecision.FREE


def test_attempts_stay_within_the_maximum_of_the_route():
    """Guards against more attempts than the route allows."""
    kind = enumerations.RequestKind.IDEMPOTENT
    attempts = retry_decisions.Attempts().add(
        True, False, Kind.INCOMPLETE_ANSWER
    )
    allowed = retry_decisions.decide_retry(
        attempts, kind, 2, Kind.INCOMPLETE_ANSWER
    )
    assert allowed is retry_decisions.RetryDecision.FROM_BUDGET
    refused = retry_decisions.decide_retry(
        attempts, kind, 1, Kind.INCOMPLETE_ANSWER
    )
    assert refused is retry_decisions.RetryDecision.NONE


@pytest.mark.parametrize(
    ("failure", "most"), [(Kind.PEER_UNREACHABLE, 5), (Kind.OVERLOADED, 2)]
)
def test_offers_are_bounded(failure, most):
    """Guards against an unbounded number of offers.

    An offer to each target of a saturated service would multiply the messages
    during an overload by the number of targets.
    """
    attempts = retry_decisions.Attempts()
    while (
        retry_decisions.decide_retry(
            attempts, enumerations.RequestKind.IDEMPOTENT, 9, failure
        )
        is not retry_decisions.RetryDecision.NONE
    ):
        attempts = attempts.add(False, True, failure)
        assert attempts.offers <= most
    assert attempts.offers == most
