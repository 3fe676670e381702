"""Header names of the project, and filters of headers to forward."""

from __future__ import annotations

from collections.abc import Iterable
import functools

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

_PROJECT_PREFIX = "cyclamenwell-"
_NAME_CACHE_SIZE = 512
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
_NOT_FORWARDED = frozenset({AUTHORIZATION, "host"})


def _parse_connection_header(value: str) -> frozenset[str]:
    """Return the headers that a Connection header names as hop-by-hop."""
    return frozenset(part.strip().lower() for part in value.split(","))


def _find_connection_headers(
    headers: tuple[httpfields.Header, ...],
) -> frozenset[str]:
    """Return the headers that all Connection headers name as hop-by-hop."""
    hop_by_hop = frozenset()
    for header in headers:
        if header.name == "connection":
            hop_by_hop |= _parse_connection_header(header.value)
    return hop_by_hop


# Nearly all headers in a deployment have the same few names.
@functools.lru_cache(_NAME_CACHE_SIZE)
def _is_end_to_end(name: str) -> bool:
    """Return whether a header may be forwarded, by its name alone."""
    return name not in _HOP_BY_HOP and not name.startswith(_PROJECT_PREFIX)


def strip_request(
    headers: Iterable[httpfields.Header],
) -> tuple[httpfields.Header, ...]:
    """Return the headers of a request that may reach a target.

    Notes
    -----
    The key, hop-by-hop headers and all headers of the project are removed, so
    that a caller cannot forge the headers that a node adds for a target.
    """
    kept = keep_end_to_end(headers)
    return tuple(header for header in kept if header.name not in _NOT_FORWARDED)


def keep_end_to_end(
    headers: Iterable[httpfields.Header],
) -> tuple[httpfields.Header, ...]:
    """Return the end-to-end headers of a caller or a target.

    Notes
    -----
    Headers of the project are removed as well, so that only a node can report
    the outcome of a request and its verified attributes.
    """
    kept = tuple(headers)
    hop_by_hop = _find_connection_headers(kept)
    return tuple(
        [
            header
            for header in kept
            if _is_end_to_end(header.name) and header.name not in hop_by_hop
        ]
    )
