"""Retry policy for sending a request to another target.

Limits retries when many requests fail at once. As long as no target has
received a request, a retry is not charged to the retry budget. After that it is
retried only if it is idempotent or no target may have run it, within the
maximum number of attempts of the route and the retry budget.
"""

from __future__ import annotations

import dataclasses
import enum

from cyclamenwell.generated import enumerations

__all__ = [
    "REPEATABLE_KINDS",
    "SATURATED",
    "Attempts",
    "RetryDecision",
    "decide_retry",
]

_Kind = enumerations.ErrorKind
# Limits the offers of a request, each of which takes a round trip.
_MAX_OFFERS = 5
# Limits the offers that saturated targets refuse. When two targets chosen by
# their load are saturated, the whole service usually is, and offers to all of
# its targets would multiply the load on its nodes during an overload.
_MAX_SATURATED_OFFERS = 2
# Kinds of refusals by a saturated target.
SATURATED = frozenset(
    {
        _Kind.CALLS_REFUSED,
        _Kind.COLD,
        _Kind.OVERLOADED,
        _Kind.TARGET_LIMITED,
        _Kind.TARGET_SHED,
    }
)
# The limit that one target names says nothing about the others.
_SATURATED_SERVICE = SATURATED - {_Kind.TARGET_LIMITED}
# Kinds of requests that may run more than once.
REPEATABLE_KINDS = frozenset(
    {
        enumerations.RequestKind.IDEMPOTENT,
        enumerations.RequestKind.DOWNLOAD,
    }
)
# Kinds of failures that recur at any target.
_PERMANENT_FAILURES = frozenset({_Kind.BAD_REQUEST, _Kind.ANSWER_TOO_LARGE})


class RetryDecision(enum.Enum):
    """Decision on a retry after a failed attempt.

    FREE retries are not charged to the retry budget.
    """

    NONE = 1
    FREE = 2
    FROM_BUDGET = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Attempts:
    """Previous attempts of a request.

    Parameters
    ----------
    offers : int
        Number of offers to nodes.
    arrivals : int
        Number of attempts that may have reached a target.
    may_have_run : bool
        Whether a target may have run it.
    saturated : int
        Number of refusals that show that the whole service is saturated.
    """

    offers: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    saturated: int = 0

    def add(
        self,
        reached_target: bool,
        not_run: bool,
        failure: enumerations.ErrorKind,
    ) -> Attempts:
        """Return a copy that includes one more failed attempt.

        Parameters
        ----------
        reached_target : bool
            Whether the request may have reached a target.
        not_run : bool
            Whether the request certainly has not run.
        failure : enumerations.ErrorKind
            Kind of the failure.
        """
        return Attempts(
            self.offers + 1,
            self.arrivals + (1 if reached_target else 0),
            self.may_have_run or not not_run,
            self.saturated + (1 if failure in _SATURATED_SERVICE else 0),
        )


def decide_retry(
    attempts: Attempts,
    kind: enumerations.RequestKind,
    max_attempts: int,
    failure: enumerations.ErrorKind,
) -> RetryDecision:
    """Return whether a request may be sent to another target.

    Parameters
    ----------
    attempts : Attempts
        Previous attempts.
    kind : enumerations.RequestKind
        Kind of the request; only an idempotent one may run again.
    max_attempts : int
        Maximum number of targets that may receive the request.
    failure : enumerations.ErrorKind
        Kind of the last failure.
    """
    if failure in _PERMANENT_FAILURES or attempts.offers >= _MAX_OFFERS:
        return RetryDecision.NONE
    if attempts.saturated >= _MAX_SATURATED_OFFERS:
        return RetryDecision.NONE
    if attempts.may_have_run and kind not in REPEATABLE_KINDS:
        return RetryDecision.NONE
    if not attempts.arrivals:
        return RetryDecision.FREE
    if attempts.arrivals >= max_attempts:
        return RetryDecision.NONE
    return RetryDecision.FROM_BUDGET
