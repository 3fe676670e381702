"""Whether a request may be sent to another target after a failed attempt.

The load that this answers: many requests that fail at once. A request goes to
another target free of charge while none has seen it; after that it may repeat
only if it is idempotent or a target said that it did not run it, within the
route's number of targets and the budget of repeated arrivals.
"""

from __future__ import annotations

import dataclasses
import enum

from cyclamenwell.generated import enumerations

__all__ = ["SATURATED", "Attempts", "Repeat", "decide_repeat"]

_Kind = enumerations.ErrorKind
# Offers that a request makes before it is refused; each takes a round trip.
_MAX_OFFERS = 5
# Offers that end for want of room. When two targets chosen by their load are
# full the service mostly is, and asking all of them would multiply the load of
# its nodes when they can bear it least.
_MAX_FULL_OFFERS = 2
# Refusals by a saturated target.
SATURATED = frozenset({_Kind.COLD, _Kind.OVERLOADED, _Kind.TARGET_SHED})
_HOPELESS = frozenset({_Kind.BAD_REQUEST, _Kind.ANSWER_TOO_LARGE})


class Repeat(enum.Enum):
    """What may follow a failed attempt."""

    NONE = 1
    FREE = 2
    FROM_BUDGET = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Attempts:
    """Attempts of a request so far.

    Parameters
    ----------
    offers : int
        Times that it was offered to a node.
    arrivals : int
        Times that it may have reached a target.
    may_have_run : bool
        Whether a target may have run it.
    full : int
        Times that there was no room for it.
    """

    offers: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    full: int = 0

    def add(
        self,
        reached_target: bool,
        not_run: bool,
        failure: enumerations.ErrorKind,
    ) -> Attempts:
        """Return the attempts with one more."""
        return Attempts(
            self.offers + 1,
            self.arrivals + (1 if reached_target else 0),
            self.may_have_run or not not_run,
            self.full + (1 if failure in SATURATED else 0),
        )


def decide_repeat(
    attempts: Attempts,
    kind: enumerations.RequestKind,
    max_attempts: int,
    failure: enumerations.ErrorKind,
) -> Repeat:
    """Return whether another target may get a request.

    Parameters
    ----------
    attempts : Attempts
        Attempts so far.
    kind : enumerations.RequestKind
        Whether the request may run more than once.
    max_attempts : int
        Most targets that the request may be sent to.
    failure : enumerations.ErrorKind
        How the last attempt failed.
    """
    if failure in _HOPELESS or attempts.offers >= _MAX_OFFERS:
        return Repeat.NONE
    if attempts.full >= _MAX_FULL_OFFERS:
        return Repeat.NONE
    is_repeatable = kind is enumerations.RequestKind.IDEMPOTENT
    if attempts.may_have_run and not is_repeatable:
        return Repeat.NONE
    if not attempts.arrivals:
        return Repeat.FREE
    if attempts.arrivals >= max_attempts:
        return Repeat.NONE
    return Repeat.FROM_BUDGET
