"""HTTP as callers and targets of the platform speak it."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import json
import re

from cyclamenwell import answers
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import headers
from cyclamenwell.platform import names

__all__ = [
    "HealthReport",
    "ReceivedCall",
    "TargetAnswer",
    "build_refusal",
    "build_target_headers",
    "read_call",
    "read_health",
    "read_target_answer",
]

_Kind = enumerations.ErrorKind
_MISDIRECTED = 421
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")
# Headers that nodes set or consume; a caller's value never passes.
_OWNED = frozenset(
    {
        names.API_KEY,
        names.CALLER_SERVICE,
        names.DEADLINE_MS,
        names.TARGET_INSTANCE,
        names.TENANT,
        names.REQUEST_ID,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A request of a caller, taken apart.

    Parameters
    ----------
    request_id : str
        Identity of this attempt of the caller.
    host : str
        Host without a port, in lower case.
    key : str
        Key of the caller, empty if there is none.
    patience : clock.Milliseconds or None
        How long the caller waits, if it says so.
    forwarded : deployment.ForwardedRequest
        Request for the target, without the headers that nodes set.
    """

    request_id: str
    host: str
    key: str
    patience: clock.Milliseconds | None
    forwarded: deployment.ForwardedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """An answer of a target, taken apart.

    Parameters
    ----------
    answer : calls.HttpAnswer
        Status, end-to-end headers and body.
    request_id : str
        Identity of the answered request, empty if the answer has none.
    is_sealed : bool
        Whether the target vouches for the answer.
    is_encoded : bool
        Whether the body has a content encoding, so it is not the target's.
    not_run : bool
        Whether the target says that it did not run the request.
    is_misdirected : bool
        Whether another target than the intended one answered.
    instance_id : str
        Identity of the answering target, if it gave one.
    max_idle : clock.Milliseconds or None
        How long the target keeps the connection open, if it says so.
    """

    answer: calls.HttpAnswer
    request_id: str
    is_sealed: bool
    is_encoded: bool
    not_run: bool
    is_misdirected: bool
    instance_id: str
    max_idle: clock.Milliseconds | None


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Answer of a target's health endpoint.

    Parameters
    ----------
    is_healthy : bool
        Whether the target considers itself healthy and is not leaving.
    instance_id : str
        Identity of the target, empty if it gave none.
    cold_remaining : clock.Milliseconds
        How long the target stays cold.
    """

    is_healthy: bool
    instance_id: str
    cold_remaining: clock.Milliseconds


def read_call(request: calls.HttpRequest) -> ReceivedCall:
    """Take a caller's request apart.

    Raises
    ------
    exceptions.RefusedError
        As BAD_REQUEST if the identity is missing or a header is malformed.
    """
    given: dict[str, str] = {}
    for header in request.headers:
        given.setdefault(header.name, header.value)
    request_id = given.get(names.REQUEST_ID, "")
    if not request_id:
        raise exceptions.RefusedError(
            _Kind.BAD_REQUEST, f"the header {names.REQUEST_ID} is missing"
        )
    patience = given.get(names.DEADLINE_MS)
    if patience is not None and not _NUMBER.fullmatch(patience):
        raise exceptions.RefusedError(
            _Kind.BAD_REQUEST,
            f"{names.DEADLINE_MS}: got {patience[:80]!r}, must be a number of "
            "milliseconds",
        )
    return ReceivedCall(
        request_id=request_id,
        host=given.get("host", "").partition(":")[0].lower(),
        key=given.get(names.API_KEY, ""),
        patience=clock.Milliseconds(float(patience)) if patience else None,
        forwarded=deployment.ForwardedRequest(
            method=request.method,
            path=request.path,
            headers=tuple(
                header
                for header in headers.keep_end_to_end(request.headers)
                if header.name not in _OWNED
            ),
            body=request.body,
        ),
    )


def build_target_headers(
    request: deployment.ForwardedRequest,
    offer: deployment.Offer,
    remaining: clock.Milliseconds,
) -> list[tuple[str, str]]:
    """Return the headers of a request as its target expects them.

    Parameters
    ----------
    request : deployment.ForwardedRequest
        Request with the caller's own headers.
    offer : deployment.Offer
        What the entry node established.
    remaining : clock.Milliseconds
        Time left for the target.
    """
    result = [(header.name, header.value) for header in request.headers]
    result += [
        (names.REQUEST_ID, offer.request_id),
        (names.DEADLINE_MS, str(max(int(remaining.value), 1))),
        (names.TARGET_INSTANCE, offer.target_id),
        (names.CALLER_SERVICE, offer.caller_service),
    ]
    if offer.organisation:
        result.append((names.TENANT, offer.organisation))
    return result


def read_target_answer(answer: calls.HttpAnswer) -> TargetAnswer:
    """Take a target's answer apart."""
    given = _index(answer.headers)
    is_misdirected = answer.status == _MISDIRECTED
    return TargetAnswer(
        answer=calls.HttpAnswer(
            answer.status, headers.keep_end_to_end(answer.headers), answer.body
        ),
        request_id=given.get(names.REQUEST_ID, ""),
        is_sealed=names.RESPONSE_SEAL in given,
        is_encoded="content-encoding" in given,
        not_run=names.NOT_EXECUTED in given or is_misdirected,
        is_misdirected=is_misdirected,
        instance_id=given.get(names.INSTANCE_ID, ""),
        max_idle=_read_keep_alive(given.get("keep-alive", "")),
    )


def read_health(answer: calls.HttpAnswer) -> HealthReport:
    """Read the answer of a health endpoint."""
    given = _index(answer.headers)
    cold = given.get(names.COLD_MS, "")
    return HealthReport(
        is_healthy=answer.status == 200,
        instance_id=given.get(names.INSTANCE_ID, ""),
        cold_remaining=clock.Milliseconds(
            float(cold) if _NUMBER.fullmatch(cold) else 0.0
        ),
    )


def build_refusal(
    refusal: exceptions.RefusedError, request_id: str
) -> calls.HttpAnswer:
    """Return the answer for a refusal.

    Parameters
    ----------
    refusal : exceptions.RefusedError
        The refusal.
    request_id : str
        Identity of the refused request, empty if it has none.
    """
    kind = refusal.kind.name.lower().replace("_", "-")
    added = [httpfields.Header("content-type", "application/json")]
    if request_id:
        added.append(httpfields.Header(names.REQUEST_ID, request_id))
    if refusal.retry_after:
        seconds = f"{refusal.retry_after.seconds:.3f}"
        added.append(httpfields.Header(names.RETRY_AFTER, seconds))
    body = {"error": kind, "detail": refusal.detail}
    return calls.HttpAnswer(
        answers.ANSWERS[refusal.kind].status,
        tuple(added),
        json.dumps(body).encode(),
    )


def _index(fields: Iterable[httpfields.Header]) -> dict[str, str]:
    given: dict[str, str] = {}
    for header in fields:
        given.setdefault(header.name, header.value)
    return given


def _read_keep_alive(value: str) -> clock.Milliseconds | None:
    found = _KEEP_ALIVE_TIMEOUT.search(value)
    return clock.Milliseconds(int(found[1]) * 1000.0) if found else None
