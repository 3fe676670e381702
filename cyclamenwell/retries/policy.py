"""Which failed attempts may be tried again."""

from __future__ import annotations

from cyclamenwell import answers
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["may_try_elsewhere"]


def may_try_elsewhere(
    refusal: exceptions.RefusedError, idempotent: bool
) -> bool:
    """Return whether another instance may be asked after a failure.

    Parameters
    ----------
    refusal : exceptions.RefusedError
        Failure of the last attempt.
    idempotent : bool
        Whether the request may run more than once.

    Notes
    -----
    Only the hop right above a failure retries: a failure that a hop below has
    retried is passed on. A request with an unknown outcome may have run, so
    only an idempotent one is sent again.
    """
    answer = answers.ANSWERS[refusal.kind]
    if refusal.retried or not answer.try_elsewhere:
        return False
    return idempotent or answer.outcome is enumerations.Outcome.NOT_RUN
