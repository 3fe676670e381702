"""Header names of the project and filtering of hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Iterable

from cyclamenwell.generated import httpfields

__all__ = [
    "AUTHORIZATION",
    "CONTEXT",
    "IDEMPOTENCY_KEY",
    "ORGANISATION",
    "OUTCOME",
    "TIMEOUT_MS",
    "keep_end_to_end",
    "strip_request",
]

AUTHORIZATION = "authorization"
CONTEXT = "cyclamenwell-context"
IDEMPOTENCY_KEY = "idempotency-key"
ORGANISATION = "cyclamenwell-organisation"
OUTCOME = "cyclamenwell-outcome"
TIMEOUT_MS = "cyclamenwell-timeout-ms"

_PREFIX = "cyclamenwell-"
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SECRET = frozenset({AUTHORIZATION, "host"})


def _list_named(value: str) -> frozenset[str]:
    """Return the headers that a Connection header names as hop-by-hop."""
    return frozenset(part.strip().lower() for part in value.split(","))


def _find_named(headers: tuple[httpfields.Header, ...]) -> frozenset[str]:
    """Return the headers that all Connection headers name as hop-by-hop."""
    named = frozenset()
    for header in headers:
        if header.name == "connection":
            named |= _list_named(header.value)
    return named


def strip_request(
    headers: Iterable[httpfields.Header],
) -> tuple[httpfields.Header, ...]:
    """Return the headers of a request that may reach a target.

    Notes
    -----
    The key, hop-by-hop headers and all headers of the project are removed, so
    that a caller can not forge what a node tells a target.
    """
    kept = keep_end_to_end(headers)
    return tuple(header for header in kept if header.name not in _SECRET)


def keep_end_to_end(
    headers: Iterable[httpfields.Header],
) -> tuple[httpfields.Header, ...]:
    """Return the headers that belong to the caller and the target.

    Notes
    -----
    Headers of the project are removed, so that only a node can state the
    outcome of a request and what it established of it.
    """
    kept = tuple(headers)
    named = _find_named(kept)
    return tuple(
        header
        for header in kept
        if header.name not in _HOP_BY_HOP
        and header.name not in named
        and not header.name.startswith(_PREFIX)
    )
