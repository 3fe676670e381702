"""HTTP headers and bodies exchanged with callers and targets."""

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
    "CallerRequest",
    "HealthReport",
    "TargetAnswer",
    "build_refusal",
    "build_target_headers",
    "parse_health",
    "parse_request",
    "parse_target_answer",
]

_Kind = enumerations.ErrorKind
_MISDIRECTED = 421
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")
# Headers that nodes set or consume; values sent by a caller are not forwarded.
_RESERVED_HEADERS = frozenset(
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
class CallerRequest:
    """A parsed request of a caller.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt, set by the caller.
    host : str
        Host name without the port, in lower case.
    key : str
        API key of the caller, empty if there is none.
    timeout : clock.Milliseconds or None
        Time that the caller waits for the response, None if not given.
    forwarded : deployment.ForwardedRequest
        Request to forward, without the headers that nodes set.
    """

    request_id: str
    host: str
    key: str
    timeout: clock.Milliseconds | None
    forwarded: deployment.ForwardedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A parsed response of a target.

    Parameters
    ----------
    answer : calls.HttpAnswer
        Status, end-to-end headers and body of the response.
    request_id : str
        Identifier of the request that was answered, empty if not given.
    is_sealed : bool
        Whether the response carries a seal, by which the target vouches that
        the response is its own.
    is_encoded : bool
        Whether the body has a content encoding, which means that it is not
        the one that the target sent.
    not_run : bool
        Whether the target reports that it did not run the request.
    is_misdirected : bool
        Whether a target other than the intended one responded.
    instance_id : str
        Identifier of the responding target, empty if not given.
    max_idle : clock.Milliseconds or None
        Time for which the target keeps an idle connection open, None if not
        given.
    named_rate : float or None
        Requests a second that the target takes from all callers together, None
        if it names no such limit.
    is_leaving : bool
        Whether the target says that it leaves.
    """

    answer: calls.HttpAnswer
    request_id: str
    is_sealed: bool
    is_encoded: bool
    not_run: bool
    is_misdirected: bool
    instance_id: str
    max_idle: clock.Milliseconds | None
    named_rate: float | None
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Response of the health endpoint of a target.

    Parameters
    ----------
    is_healthy : bool
        Whether the target reports itself healthy and is not draining.
    instance_id : str
        Identifier of the target, empty if not given.
    cold_remaining : clock.Milliseconds
        Time until the target has warmed up.
    """

    is_healthy: bool
    instance_id: str
    cold_remaining: clock.Milliseconds


def parse_request(request: calls.HttpRequest) -> CallerRequest:
    """Parse the request of a caller.

    Raises
    ------
    exceptions.RefusedError
        As BAD_REQUEST if the request identifier is missing or a header is
        malformed.
    """
    values: dict[str, str] = {}
    for header in request.headers:
        values.setdefault(header.name, header.value)
    request_id = values.get(names.REQUEST_ID, "")
    if not request_id:
        raise exceptions.RefusedError(
            _Kind.BAD_REQUEST, f"the header {names.REQUEST_ID} is missing"
        )
    deadline = values.get(names.DEADLINE_MS)
    if deadline is not None and not _NUMBER.fullmatch(deadline):
        raise exceptions.RefusedError(
            _Kind.BAD_REQUEST,
            f"{names.DEADLINE_MS}: got {deadline[:80]!r}, must be a number of "
            "milliseconds",
        )
    return CallerRequest(
        request_id=request_id,
        host=values.get("host", "").partition(":")[0].lower(),
        key=values.get(names.API_KEY, ""),
        timeout=clock.Milliseconds(float(deadline)) if deadline else None,
        forwarded=deployment.ForwardedRequest(
            method=request.method,
            path=request.path,
            headers=tuple(
                [
                    header
                    for header in headers.keep_end_to_end(request.headers)
                    if header.name not in _RESERVED_HEADERS
                ]
            ),
            body=request.body,
        ),
    )


def build_target_headers(
    request: deployment.ForwardedRequest,
    offer: deployment.Offer,
    remaining: clock.Milliseconds,
) -> list[tuple[str, str]]:
    """Build the headers of a request to a target.

    Parameters
    ----------
    request : deployment.ForwardedRequest
        Request with the end-to-end headers of the caller.
    offer : deployment.Offer
        Context of the request, as determined by the entry node.
    remaining : clock.Milliseconds
        Time until the deadline.
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


def parse_target_answer(answer: calls.HttpAnswer) -> TargetAnswer:
    """Parse the response of a target."""
    values = _index_by_name(answer.headers)
    is_misdirected = answer.status == _MISDIRECTED
    return TargetAnswer(
        answer=calls.HttpAnswer(
            answer.status, headers.keep_end_to_end(answer.headers), answer.body
        ),
        request_id=values.get(names.REQUEST_ID, ""),
        is_sealed=names.RESPONSE_SEAL in values,
        is_encoded="content-encoding" in values,
        not_run=names.NOT_EXECUTED in values or is_misdirected,
        is_misdirected=is_misdirected,
        instance_id=values.get(names.INSTANCE_ID, ""),
        max_idle=_read_keep_alive(values.get("keep-alive", "")),
        named_rate=_read_rate(values.get(names.SERVER_LIMIT, "")),
        is_leaving=values.get(names.SERVER_LEAVING) == "1",
    )


def parse_health(answer: calls.HttpAnswer) -> HealthReport:
    """Parse the response of a health endpoint."""
    values = _index_by_name(answer.headers)
    cold = values.get(names.COLD_MS, "")
    return HealthReport(
        is_healthy=answer.status == 200,
        instance_id=values.get(names.INSTANCE_ID, ""),
        cold_remaining=clock.Milliseconds(
            float(cold) if _NUMBER.fullmatch(cold) else 0.0
        ),
    )


def build_refusal(
    refusal: exceptions.RefusedError, request_id: str
) -> calls.HttpAnswer:
    """Build the response for a refusal.

    Parameters
    ----------
    refusal : exceptions.RefusedError
        The refusal.
    request_id : str
        Identifier of the refused request, empty if it has none.
    """
    kind = refusal.kind.name.lower().replace("_", "-")
    fields = [httpfields.Header("content-type", "application/json")]
    if request_id:
        fields.append(httpfields.Header(names.REQUEST_ID, request_id))
    if refusal.retry_after:
        seconds = f"{refusal.retry_after.seconds:.3f}"
        fields.append(httpfields.Header(names.RETRY_AFTER, seconds))
    body = {"error": kind, "detail": refusal.detail}
    return calls.HttpAnswer(
        answers.ANSWERS[refusal.kind].status,
        tuple(fields),
        json.dumps(body).encode(),
    )


def _index_by_name(fields: Iterable[httpfields.Header]) -> dict[str, str]:
    values: dict[str, str] = {}
    for header in fields:
        values.setdefault(header.name, header.value)
    return values


def _read_rate(value: str) -> float | None:
    return float(value) if _NUMBER.fullmatch(value) else None


def _read_keep_alive(value: str) -> clock.Milliseconds | None:
    match = _KEEP_ALIVE_TIMEOUT.search(value)
    return clock.Milliseconds(int(match[1]) * 1000.0) if match else None
