"""Refusals as RFC 9457 problem details."""

from __future__ import annotations

import json
import math

from cyclamenwell import answers
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import headers

__all__ = ["build_problem", "format_problem_type"]

_OUTCOME_NAMES = {
    enumerations.Outcome.NOT_RUN: "not-run",
    enumerations.Outcome.UNKNOWN: "unknown",
}
_TRANSIENT_STATUSES = frozenset({429, 503})
_DEFAULT_RETRY_AFTER = clock.Milliseconds(1000)


def format_problem_type(kind: enumerations.ErrorKind) -> str:
    """Return the URN that identifies an error kind."""
    return "urn:cyclamenwell:" + kind.name.lower().replace("_", "-")


def build_problem(refusal: exceptions.RefusedError) -> calls.HttpAnswer:
    """Build the HTTP answer for a refusal.

    Parameters
    ----------
    refusal : exceptions.RefusedError
        The refusal.

    Returns
    -------
    calls.HttpAnswer
        Status, headers and JSON body.
    """
    answer = answers.ANSWERS[refusal.kind]
    outcome = _OUTCOME_NAMES[answer.outcome]
    body = {
        "type": format_problem_type(refusal.kind),
        "title": answer.title,
        "status": answer.status,
        "detail": refusal.detail,
        "outcome": outcome,
    }
    added = [
        httpfields.Header("content-type", "application/problem+json"),
        httpfields.Header(headers.OUTCOME, outcome),
    ]
    retry_after = refusal.retry_after
    if not retry_after and answer.status in _TRANSIENT_STATUSES:
        retry_after = _DEFAULT_RETRY_AFTER
    if retry_after:
        seconds = max(math.ceil(retry_after.seconds), 1)
        added.append(httpfields.Header("retry-after", str(seconds)))
    return calls.HttpAnswer(
        answer.status, tuple(added), json.dumps(body).encode()
    )
