"""Matching of requests with the routes in a service's document."""

from __future__ import annotations

import functools

from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations

__all__ = ["match_route"]

_PATTERN_CACHE_SIZE = 4096


@functools.lru_cache(maxsize=_PATTERN_CACHE_SIZE)
def _split_pattern(path: str) -> tuple[tuple[str | None, ...], bool]:
    """Return the segments, None for a parameter, and whether `*` ends it."""
    segments = path.split("/")[1:]
    has_wildcard = segments[-1] == "*"
    if has_wildcard:
        segments.pop()
    return tuple(
        None if s.startswith("{") and s.endswith("}") else s for s in segments
    ), has_wildcard


def _matches(pattern: str, segments: list[str]) -> bool:
    expected, has_wildcard = _split_pattern(pattern)
    if len(segments) < len(expected):
        return False
    if len(segments) > len(expected) and not has_wildcard:
        return False
    return all(
        wanted is None or wanted == actual
        for wanted, actual in zip(expected, segments, strict=False)
    )


def match_route(
    service: documents.ServiceDocument, method: str, path: str
) -> documents.RouteDocument:
    """Return the first route of a service that matches a request.

    Parameters
    ----------
    service : documents.ServiceDocument
        Current document of the service.
    method : str
        HTTP method in upper case.
    path : str
        Path of the request, with or without a query.

    Returns
    -------
    documents.RouteDocument
        The route.

    Raises
    ------
    exceptions.RefusedError
        With kind NO_SUCH_ROUTE if no path matches, METHOD_NOT_ALLOWED if only
        the method differs.
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
