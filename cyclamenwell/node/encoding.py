"""Encoding of HTTP/1.1 requests and answers."""

from __future__ import annotations

from collections.abc import Iterable
import http
import re

from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls

__all__ = ["encode_answer", "encode_answer_head", "encode_request"]

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_REQUEST_LINE = re.compile(
    r"[!#$%&'*+.^_`|~0-9A-Za-z-]+ /[\x21-\x7e]* HTTP/1\.1"
)


def encode_request(
    method: str, path: str, fields: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Encode a request.

    Parameters
    ----------
    method : str
        Method in capitals.
    path : str
        Path with query.
    fields : iterable of tuple
        Name and value of each header, without content-length.
    body : bytes
        Complete body.

    Raises
    ------
    exceptions.RefusedError
        As BAD_REQUEST if a forbidden character could make the receiver read
        two requests.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method in _METHODS_WITH_BODY:
        lines.append(f"content-length: {len(body)}")
    head = "\r\n".join(lines)
    line_breaks = len(lines) - 1
    if (
        _REQUEST_LINE.fullmatch(lines[0]) is None
        or head.count("\r") != line_breaks
        or head.count("\n") != line_breaks
        or "\0" in head
    ):
        raise exceptions.RefusedError(
            enumerations.ErrorKind.BAD_REQUEST,
            "the request holds a forbidden character",
        )
    return head.encode("latin-1", "replace") + b"\r\n\r\n" + body


def encode_answer(
    answer: calls.HttpAnswer, method: str, keep_alive: bool
) -> bytes:
    """Encode an answer, head and body together.

    Parameters
    ----------
    answer : calls.HttpAnswer
        The answer.
    method : str
        Method of the request.
    keep_alive : bool
        Whether the connection stays open for another request.
    """
    head = encode_answer_head(answer, method, keep_alive, len(answer.body))
    return head + answer.body if _has_body(answer, method) else head


def encode_answer_head(
    answer: calls.HttpAnswer,
    method: str,
    keep_alive: bool,
    body_length: int | None,
) -> bytes:
    """Encode the head of an answer.

    Parameters
    ----------
    answer : calls.HttpAnswer
        The answer; its body is ignored.
    method : str
        Method of the request.
    keep_alive : bool
        Whether the connection stays open for another request.
    body_length : int or None
        Length of the whole body, None for a body in chunks.
    """
    reason = _REASONS.get(answer.status, "")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines += [f"{h.name}: {h.value}" for h in answer.headers]
    if body_length is None:
        lines.append("transfer-encoding: chunked")
    elif _has_body(answer, method):
        lines.append(f"content-length: {body_length}")
    if not keep_alive:
        lines.append("connection: close")
    return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"


def _has_body(answer: calls.HttpAnswer, method: str) -> bool:
    return method != "HEAD" and answer.status not in _STATUSES_WITHOUT_BODY
