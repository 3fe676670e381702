"""Data classes of requests, answers and calls."""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields

__all__ = ["Call", "HttpAnswer", "HttpRequest", "Reply"]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete HTTP request, independent of the server it came through.

    Parameters
    ----------
    method : str
        Method in capitals.
    path : str
        Path with query.
    headers : tuple of httpfields.Header
        Headers with names in lower case, in order.
    body : bytes
        Complete body.
    """

    method: str
    path: str
    headers: tuple[httpfields.Header, ...] = ()
    body: bytes = b""

    def find_header(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        for header in self.headers:
            if header.name == name:
                return header.value
        return ""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of httpfields.Header
        Headers with names in lower case, without hop-by-hop headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[httpfields.Header, ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request with the attributes that its key or its context gives it.

    Parameters
    ----------
    call_id : bytes
        16 random bytes.
    service : str
        Called service.
    route : documents.RouteDocument
        Matched route.
    request : HttpRequest
        Request without any key.
    organisation : str
        Organisation the request runs for, empty on open routes.
    key_identifier : bytes
        Identifier of the caller's key, 8 bytes, empty on open routes.
    importance : enumerations.Importance
        Importance of the root request.
    deadline : clock.Milliseconds
        Monotonic time by which the answer must be there.
    idempotency_key : str
        Key of a non-idempotent request, else empty.
    depth : int
        Number of calls above this one in the call chain.
    """

    call_id: bytes
    service: str
    route: documents.RouteDocument
    request: HttpRequest
    organisation: str
    key_identifier: bytes
    importance: enumerations.Importance
    deadline: clock.Milliseconds
    idempotency_key: str
    depth: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of one attempt.

    Parameters
    ----------
    answer : HttpAnswer
        Complete answer of the target.
    retries_left : int
        Lent retries that were not spent.
    """

    answer: HttpAnswer
    retries_left: int
