"""Matching a request against the routes of a service's document."""

from __future__ import annotations

import functools

from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations

__all__ = ["match_route"]

_CACHED_PATTERNS = 4096


@functools.lru_cache(maxsize=_CACHED_PATTERNS)
def _split_pattern(path: str) -> tuple[tuple[str | None, ...], bool]:
    """Return the segments, None for any one, and whether the rest is free."""
    segments = path.split("/")[1:]
    has_rest = segments[-1] == "*"
    if has_rest:
        segments.pop()
    return tuple(
        None if s.startswith("{") and s.endswith("}") else s for s in segments
    ), has_rest


def _matches(pattern: str, segments: list[str]) -> bool:
    expected, has_rest = _split_pattern(pattern)
    if len(segments) < len(expected):
        return False
    if len(segments) > len(expected) and not has_rest:
        return False
    return all(
        want is None or want == got
        for want, got in zip(expected, segments, strict=False)
    )


def match_route(
    service: documents.ServiceDocument, method: str, path: str
) -> documents.RouteDocument:
    """Find the first route of a service that takes a request.

    Parameters
    ----------
    service : documents.ServiceDocument
        Document in force.
    method : str
        HTTP method in capitals.
    path : str
        Path, with or without a query.

    Returns
    -------
    documents.RouteDocument
        The route.

    Raises
    ------
    exceptions.RefusedError
        As NO_SUCH_ROUTE if no path matches, as METHOD_NOT_ALLOWED if only the
        method differs.
    """
    segments = path.partition("?")[0].split("/")[1:]
    allowed: list[str] = []
    for route in service.routes:
        if not _matches(route.path, segments):
            continue
        if method in route.methods:
            return route
        allowed += route.methods
    if allowed:
        raise exceptions.RefusedError(
            enumerations.ErrorKind.METHOD_NOT_ALLOWED,
            f"{method} is not allowed here; allowed: {', '.join(allowed)}",
        )
    raise exceptions.RefusedError(
        enumerations.ErrorKind.NO_SUCH_ROUTE,
        f"service {service.service} has no route for this path",
    )
