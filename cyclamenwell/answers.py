"""HTTP responses and retry rules for each kind of error."""

from __future__ import annotations

import dataclasses

from cyclamenwell.generated import enumerations

__all__ = ["ANSWERS", "Answer"]

_Kind = enumerations.ErrorKind
_NOT_RUN = enumerations.Outcome.NOT_RUN
_UNKNOWN = enumerations.Outcome.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Response to a caller for one kind of error.

    Parameters
    ----------
    status : int
        HTTP status code.
    title : str
        Title in the problem details of the body.
    outcome : enumerations.Outcome
        What is known about the execution of the request.
    allows_retry : bool
        Whether a node may retry the request at another instance; if the
        outcome is unknown, only an idempotent one.
    """

    status: int
    title: str
    outcome: enumerations.Outcome
    allows_retry: bool


ANSWERS: dict[enumerations.ErrorKind, Answer] = {
    _Kind.BAD_REQUEST: Answer(400, "Malformed request", _NOT_RUN, False),
    _Kind.UNAUTHENTICATED: Answer(401, "Key not valid", _NOT_RUN, False),
    _Kind.FORBIDDEN: Answer(403, "Not allowed to call", _NOT_RUN, False),
    _Kind.NO_SUCH_SERVICE: Answer(404, "No such service", _NOT_RUN, False),
    _Kind.NO_SUCH_ROUTE: Answer(404, "No such route", _NOT_RUN, False),
    _Kind.METHOD_NOT_ALLOWED: Answer(
        405, "Method not allowed", _NOT_RUN, False
    ),
    _Kind.BODY_TOO_LARGE: Answer(413, "Body too large", _NOT_RUN, False),
    _Kind.CONTEXT_ENDED: Answer(403, "Call context ended", _NOT_RUN, False),
    _Kind.RATE_LIMITED: Answer(429, "Rate exceeded", _NOT_RUN, True),
    _Kind.OVERLOADED: Answer(503, "Overloaded", _NOT_RUN, True),
    _Kind.COLD: Answer(503, "Target warming up", _NOT_RUN, True),
    _Kind.LEAVING: Answer(503, "Instance leaving", _NOT_RUN, True),
    _Kind.DATA_CENTRE_OUT: Answer(503, "Data centre out", _NOT_RUN, True),
    _Kind.NO_INSTANCE: Answer(503, "No instance available", _NOT_RUN, False),
    _Kind.STALE_VIEW: Answer(503, "View unconfirmed", _NOT_RUN, True),
    _Kind.WRONG_INSTANCE: Answer(503, "Instance replaced", _NOT_RUN, True),
    _Kind.DEADLINE_PASSED: Answer(504, "Deadline passed", _NOT_RUN, False),
    _Kind.CANCELLED: Answer(499, "Caller went away", _UNKNOWN, False),
    _Kind.ABANDONED: Answer(499, "Caller did not wait", _NOT_RUN, False),
    _Kind.TARGET_UNREACHABLE: Answer(503, "Target down", _NOT_RUN, True),
    _Kind.TARGET_SHED: Answer(503, "Shed by target", _NOT_RUN, True),
    _Kind.TARGET_LIMITED: Answer(503, "Limited by target", _NOT_RUN, True),
    _Kind.CALLS_REFUSED: Answer(503, "Calls refused", _NOT_RUN, True),
    _Kind.PEER_UNREACHABLE: Answer(503, "Instance down", _NOT_RUN, True),
    _Kind.CLAIM_UNAVAILABLE: Answer(503, "Too few registrars", _UNKNOWN, False),
    _Kind.KEY_IN_USE: Answer(409, "Request still running", _UNKNOWN, False),
    _Kind.KEY_MISMATCH: Answer(
        422, "Key used for another request", _NOT_RUN, False
    ),
    _Kind.KEY_TOO_OLD: Answer(409, "Key can not be checked", _UNKNOWN, False),
    _Kind.ANSWER_LOST: Answer(409, "Answer no longer kept", _UNKNOWN, False),
    _Kind.TIMED_OUT: Answer(504, "Timed out", _UNKNOWN, True),
    _Kind.INCOMPLETE_ANSWER: Answer(502, "Answer incomplete", _UNKNOWN, True),
    _Kind.ANSWER_TOO_LARGE: Answer(502, "Answer too large", _UNKNOWN, False),
    _Kind.INTERNAL: Answer(500, "Internal error", _UNKNOWN, False),
}
