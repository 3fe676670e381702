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
    attempts = repeats.Attempts().add(True, False, Kind.INCOMPLETE_ANSWER)
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.INCOMPLETE_ANSWER)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", ONCE)
def test_an_earlier_attempt_that_may_have_run_counts(kind):
    """Guards against forgetting it after an attempt that did not run."""
    attempts = (
        repeats.Attempts()
        .add(True, False, Kind.INCOMPLETE_ANSWER)
        .add(False, True, Kind.PEER_UNREACHABLE)
    )
    decision = repeats.decide_repeat(attempts, kind, 5, Kind.OVERLOADED)
    assert decision is repeats.Repeat.NONE


@pytest.mark.parametrize("kind", list(enumerations.RequestKind))
def test_what_no_target_has_seen_goes_elsewhere_free_of_charge(kind):
    """Guards against failing a request because one node is gone."""
    attempts = repeats.Attempts().add(False, True, Kind.PEER_UNREACHABLE)
    decision = repeats.decide_repeat(attempts, kind, 1, Kind.PEER_UNREACHABLE)
    assert decision is repeats.Repeat.FREE


def test_arrivals_stay_within_the_route():
    """Guards against more targets than the route allows."""
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
    """Guards against a request that is offered for ever.

    Asking each target of a full service would multiply the messages of an
    overload by their number.
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
