"""Descriptions of the differences between two versions of a document."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import functools

from cyclamenwell.documents import parser
from cyclamenwell.generated import documents

__all__ = ["describe_change"]


def describe_change(
    old: parser.ParsedDocument | None, new: parser.ParsedDocument
) -> tuple[str, ...]:
    """Describe what a new version changes.

    Parameters
    ----------
    old : parser.ParsedDocument or None
        Version in force, None if the document is new.
    new : parser.ParsedDocument
        Version that replaces `old`.

    Returns
    -------
    tuple of str
        One description for each change; digests of keys are shortened.
    """
    before = parser.RemovedDocument() if old is None else old.content
    if isinstance(before, parser.RemovedDocument):
        added = _compare(new.content, _build_baseline(new.content))
        return (f"{new.name} added", *added)
    if isinstance(new.content, parser.RemovedDocument):
        removed = _compare(_build_baseline(before), before)
        return (f"{new.name} removed", *removed)
    return tuple(_compare(new.content, before))


@functools.singledispatch
def _build_baseline(content: object) -> object:
    """Return the document to compare an added or removed one with."""
    return content


@_build_baseline.register
def _(content: documents.OrganisationDocument) -> object:
    return dataclasses.replace(content, keys=())


@_build_baseline.register
def _(content: documents.FleetDocument) -> object:
    return documents.FleetDocument()


@functools.singledispatch
def _compare(new: object, old: object) -> Iterable[str]:
    """Return one description for each difference."""
    raise TypeError(f"no comparison for {type(new).__name__}")


@_compare.register
def _(new: parser.RemovedDocument, old: object) -> Iterable[str]:
    return ()


@_compare.register
def _(
    new: documents.ServiceDocument, old: documents.ServiceDocument
) -> Iterable[str]:
    yield from _compare_fields(new, old, ("service", "routes", "callers"))
    yield from _compare_routes(new, old)
    before = {caller.organisation: caller for caller in old.callers}
    after = {caller.organisation: caller for caller in new.callers}
    for name in sorted(before.keys() - after.keys()):
        yield f"organisation {name}: may no longer call"
    for name in sorted(after.keys() - before.keys()):
        added = after[name]
        yield (
            f"organisation {name}: may call, rate {added.rate_per_second:g} "
            f"a second, burst {added.burst:g}"
        )
    for name in sorted(after.keys() & before.keys()):
        yield from _compare_caller(after[name], before[name])


def _compare_caller(
    new: documents.CallerDocument, old: documents.CallerDocument
) -> Iterable[str]:
    if new.rate_per_second != old.rate_per_second:
        yield (
            f"organisation {new.organisation}: rate {old.rate_per_second:g} -> "
            f"{new.rate_per_second:g} a second"
        )
    if new.burst != old.burst:
        yield (
            f"organisation {new.organisation}: burst {old.burst:g} -> "
            f"{new.burst:g}"
        )


def _compare_routes(
    new: documents.ServiceDocument, old: documents.ServiceDocument
) -> Iterable[str]:
    before = {(route.path, route.methods): route for route in old.routes}
    after = {(route.path, route.methods): route for route in new.routes}
    for path, methods in sorted(before.keys() - after.keys()):
        yield f"route {','.join(methods)} {path} removed"
    for path, methods in sorted(after.keys() - before.keys()):
        yield f"route {','.join(methods)} {path} added"
    for key in sorted(after.keys() & before.keys()):
        label = f"route {','.join(key[1])} {key[0]}"
        for change in _compare_fields(
            after[key], before[key], ("path", "methods")
        ):
            yield f"{label}: {change}"
    common = [key for key in after if key in before]
    if common != [key for key in before if key in after]:
        yield "routes reordered"


@_compare.register
def _(
    new: documents.OrganisationDocument, old: documents.OrganisationDocument
) -> Iterable[str]:
    before = {key.digest for key in old.keys}
    after = {key.digest for key in new.keys}
    for digest in sorted(before - after):
        yield f"key {digest[:16]} withdrawn"
    for digest in sorted(after - before):
        yield f"key {digest[:16]} issued"


@_compare.register
def _(
    new: documents.FleetDocument, old: documents.FleetDocument
) -> Iterable[str]:
    before = set(old.data_centres_out)
    after = set(new.data_centres_out)
    for name in sorted(after - before):
        yield f"data centre {name} taken out"
    for name in sorted(before - after):
        yield f"data centre {name} brought back"
    yield from _compare_fields(new, old, ("data_centres_out",))


def _compare_fields(
    new: object, old: object, skipped: tuple[str, ...]
) -> Iterable[str]:
    """Compare field by field, leaving out the skipped fields."""
    for spec in new.FIELDS:
        if spec.name in skipped:
            continue
        before, after = getattr(old, spec.name), getattr(new, spec.name)
        if before != after:
            yield f"{spec.name} {_format(before)} -> {_format(after)}"


@functools.singledispatch
def _format(value: object) -> str:
    """Format the value of a field for operators."""
    name = getattr(value, "name", None)
    if name is not None:
        return name.lower()
    milliseconds = getattr(value, "value", None)
    return f"{milliseconds:g} ms" if milliseconds is not None else str(value)


@_format.register
def _(value: bool) -> str:
    return "true" if value else "false"
