"""Reading a folder of documents as a team keeps it under version control."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import pathlib

from cyclamenwell import exceptions
from cyclamenwell.documents import parser
from cyclamenwell.generated import documents
from cyclamenwell.schema import reader

__all__ = ["CheckResult", "check_folder", "find_name", "parse_file"]


_SUFFIX = ".yaml"


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of reading a folder.

    Parameters
    ----------
    parsed : tuple of parser.ParsedDocument
        Documents without a problem.
    problems : tuple of str
        One line for each problem, with file and line.
    """

    parsed: tuple[parser.ParsedDocument, ...]
    problems: tuple[str, ...]


def find_name(path: pathlib.Path) -> str:
    """Return the document name that a file's place stands for.

    Parameters
    ----------
    path : pathlib.Path
        File such as ``.../service/billing.yaml`` or ``.../fleet.yaml``.

    Raises
    ------
    exceptions.DocumentError
        If the place stands for no document.
    """
    if path.suffix == _SUFFIX and path.stem == "fleet":
        return "fleet"
    kind = path.parent.name
    if path.suffix == _SUFFIX and kind in ("service", "organisation"):
        return f"{kind}/{path.stem}"
    raise exceptions.DocumentError(
        (
            f"{path}: not a document; allowed are service/<name>.yaml, "
            "organisation/<name>.yaml and fleet.yaml",
        )
    )


def parse_file(path: pathlib.Path, version: int = 1) -> parser.ParsedDocument:
    """Read one document from a file.

    Raises
    ------
    exceptions.DocumentError
        If the file can not be read or the document is not valid.
    """
    name = find_name(path)
    text = reader.read_text(path, exceptions.DocumentError)
    return parser.parse_document(name, version, text, str(path))


def check_folder(paths: Iterable[pathlib.Path]) -> CheckResult:
    """Read files and folders of documents and collect every problem.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files, or folders that are searched for YAML files.

    Returns
    -------
    CheckResult
        Documents and problems.
    """
    parsed: list[parser.ParsedDocument] = []
    problems: list[str] = []
    for path in _expand(paths):
        try:
            parsed.append(parse_file(path))
        except exceptions.DocumentError as error:
            problems += error.problems
    if not parsed and not problems:
        problems.append("no documents found")
    return CheckResult(
        tuple(parsed), tuple(problems) + _find_unknown_callers(parsed)
    )


def _expand(paths: Iterable[pathlib.Path]) -> Iterable[pathlib.Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.rglob(f"*{_SUFFIX}"))
        else:
            yield path


def _find_unknown_callers(
    parsed: list[parser.ParsedDocument],
) -> tuple[str, ...]:
    """Return callers without a document, if organisations are checked too."""
    known = {
        document.content.organisation
        for document in parsed
        if isinstance(document.content, documents.OrganisationDocument)
    }
    if not known:
        return ()
    return tuple(
        f"{document.name}: caller {caller.organisation!r} has no document "
        f"organisation/{caller.organisation}"
        for document in parsed
        if isinstance(document.content, documents.ServiceDocument)
        for caller in document.content.callers
        if caller.organisation not in known
    )
