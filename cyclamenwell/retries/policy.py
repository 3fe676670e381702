"""Retry policy for failed attempts."""

from __future__ import annotations

from cyclamenwell import answers
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["may_retry"]


def may_retry(refusal: exceptions.RefusedError, idempotent: bool) -> bool:
    """Return whether a retry at another instance is allowed.

    Parameters
    ----------
    refusal : exceptions.RefusedError
        Failure of the last attempt.
    idempotent : bool
        Whether the request is idempotent.

    Notes
    -----
    Only the hop directly upstream of a failure retries: a failure that a
    downstream hop has retried is passed on. A request with an unknown outcome
    may have run, so it is retried only if it is idempotent.
    """
    answer = answers.ANSWERS[refusal.kind]
    if refusal.retried or not answer.allows_retry:
        return False
    return idempotent or answer.outcome is enumerations.Outcome.NOT_RUN
