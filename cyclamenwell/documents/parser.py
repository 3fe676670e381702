"""Parsing of documents and checks that the schema cannot express."""

from __future__ import annotations

import dataclasses
import functools

from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.schema import reader

__all__ = [
    "Content",
    "MAX_DOCUMENT_BYTES",
    "ParsedDocument",
    "RemovedDocument",
    "parse_document",
]

MAX_DOCUMENT_BYTES = 1_048_576  # Largest value that the platform stores.


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedDocument:
    """Content of a removed document, which is published with an empty text."""


Content = (
    documents.ServiceDocument
    | documents.OrganisationDocument
    | documents.FleetDocument
    | RemovedDocument
)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedDocument:
    """A document that passed all checks.

    Parameters
    ----------
    name : str
        ``service/<name>``, ``organisation/<name>`` or ``fleet``.
    version : int
        Version assigned by the platform, at least 1.
    text : str
        YAML text as published, empty for a removed document.
    content : Content
        Parsed content of the text.
    """

    name: str
    version: int
    text: str
    content: Content


def parse_document(
    name: str, version: int, text: str, source: str = ""
) -> ParsedDocument:
    """Parse and validate a document.

    Parameters
    ----------
    name : str
        Name under which the platform publishes the document.
    version : int
        Version assigned by the platform.
    text : str
        YAML text; an empty text removes the document.
    source : str
        Location to print in error messages, `name` if empty.

    Returns
    -------
    ParsedDocument
        The validated document.

    Raises
    ------
    exceptions.DocumentError
        With every problem found and its location.
    """
    cls = _find_class(name)
    source = source or name
    if version < 1:
        raise exceptions.DocumentError(
            (f"{source}: got version {version}, must be at least 1",)
        )
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        raise exceptions.DocumentError(
            (
                f"{source}: has {size} bytes, must have at most "
                f"{MAX_DOCUMENT_BYTES}",
            )
        )
    if not text.strip():
        return ParsedDocument(name, version, "", RemovedDocument())
    content = reader.read_struct(cls, text, source, exceptions.DocumentError)
    problems = tuple(
        f"{source}: {problem}" for problem in _find_problems(content, name)
    )
    if problems:
        raise exceptions.DocumentError(problems)
    return ParsedDocument(name, version, text, content)


def _find_class(name: str) -> type:
    kind, _, rest = name.partition("/")
    if name == "fleet":
        return documents.FleetDocument
    if kind == "service" and rest:
        return documents.ServiceDocument
    if kind == "organisation" and rest:
        return documents.OrganisationDocument
    raise exceptions.DocumentError(
        (
            f"{name!r} is not a document name; allowed are service/<name>, "
            "organisation/<name> and fleet",
        )
    )


@functools.singledispatch
def _find_problems(content: object, name: str) -> list[str]:
    """Return the problems that the schema cannot express."""
    raise TypeError(f"no checks for {type(content).__name__}")


@_find_problems.register
def _(content: documents.ServiceDocument, name: str) -> list[str]:
    problems = []
    if name != f"service/{content.service}":
        problems.append(f"service: got {content.service!r}, must match {name}")
    seen: set[tuple[tuple[str, ...], str]] = set()
    for index, route in enumerate(content.routes):
        problems += [
            f"routes[{index}]: {problem}" for problem in _check_route(route)
        ]
        for method in route.methods:
            key = (_normalise_path(route.path), method)
            if key in seen:
                problems.append(
                    f"routes[{index}]: {method} {route.path} is a duplicate"
                )
            seen.add(key)
    names = [caller.organisation for caller in content.callers]
    problems += _find_duplicates("callers", "organisation", names)
    for index, caller in enumerate(content.callers):
        # A token bucket that cannot hold one token would admit no request.
        if caller.rate_per_second > 0 and caller.burst < 1:
            problems.append(
                f"callers[{index}].burst: got {caller.burst}, must be at "
                "least 1 request when the rate is above 0"
            )
    return problems


@_find_problems.register
def _(content: documents.OrganisationDocument, name: str) -> list[str]:
    problems = []
    if name != f"organisation/{content.organisation}":
        problems.append(
            f"organisation: got {content.organisation!r}, must match {name}"
        )
    digests = [key.digest for key in content.keys]
    return problems + _find_duplicates("keys", "digest", digests)


@_find_problems.register
def _(content: documents.FleetDocument, name: str) -> list[str]:
    del name
    return _find_duplicates(
        "data_centres_out", "data centre", list(content.data_centres_out)
    )


def _check_route(route: documents.RouteDocument) -> list[str]:
    problems = []
    segments = route.path.split("/")[1:]
    for segment in segments[:-1]:
        if segment == "*":
            problems.append(f"path {route.path}: * must be the last segment")
    for method in route.methods:
        if not method.isalpha() or method != method.upper():
            problems.append(f"methods: got {method!r}, must be in capitals")
    if route.open_to_all and not route.idempotent:
        problems.append(
            "open_to_all: a route open to all must be idempotent, since its "
            "requests belong to no organisation"
        )
    return problems


def _normalise_path(path: str) -> tuple[str, ...]:
    """Replace the names of parameters, so that equivalent paths are equal."""
    return tuple(
        "{}" if segment.startswith("{") and segment.endswith("}") else segment
        for segment in path.split("/")[1:]
    )


def _find_duplicates(field: str, noun: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    problems = []
    for index, name in enumerate(names):
        if name in seen:
            problems.append(f"{field}[{index}]: {noun} {name!r} is given twice")
        seen.add(name)
    return problems
