"""Document files, as a team keeps them under version control."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import pathlib

from cyclamenwell import exceptions
from cyclamenwell.documents import parser
from cyclamenwell.generated import documents
from cyclamenwell.schema import reader

__all__ = ["CheckResult", "check_documents", "get_document_name", "parse_file"]


_SUFFIX = ".yaml"


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of checking document files.

    Parameters
    ----------
    parsed : tuple of parser.ParsedDocument
        Valid documents.
    problems : tuple of str
        One message for each problem, with file and line.
    """

    parsed: tuple[parser.ParsedDocument, ...]
    problems: tuple[str, ...]


def get_document_name(path: pathlib.Path) -> str:
    """Return the document name that a file path stands for.

    Parameters
    ----------
    path : pathlib.Path
        File such as ``.../service/billing.yaml`` or ``.../fleet.yaml``.

    Raises
    ------
    exceptions.DocumentError
        If the path is not that of a document.
    """
    if path.suffix == _SUFFIX and path.stem == "fleet":
        return "fleet"
    kind = path.parent.name
    if path.suffix == _SUFFIX and kind in ("service", "organisation"):
        return f"{kind}/{path.stem}"
    raise exceptions.DocumentError(
        (
            f"{path}: not a document file; expected service/<name>.yaml, "
            "organisation/<name>.yaml or fleet.yaml",
        )
    )


def parse_file(path: pathlib.Path, version: int = 1) -> parser.ParsedDocument:
    """Read one document from a file.

    Raises
    ------
    exceptions.DocumentError
        If the file cannot be read or the document is not valid.
    """
    name = get_document_name(path)
    text = reader.read_text(path, exceptions.DocumentError)
    return parser.parse_document(name, version, text, str(path))


def check_documents(paths: Iterable[pathlib.Path]) -> CheckResult:
    """Read documents from files and folders and collect all problems.

    Parameters
    ----------
    paths : iterable of pathlib.Path
        Files, or folders that are searched recursively for YAML files.

    Returns
    -------
    CheckResult
        Valid documents and all problems.
    """
    parsed: list[parser.ParsedDocument] = []
    problems: list[str] = []
    for path in _list_files(paths):
        try:
            parsed.append(parse_file(path))
        except exceptions.DocumentError as error:
            problems += error.problems
    if not parsed and not problems:
        problems.append("no document files found")
    return CheckResult(
        tuple(parsed), tuple(problems) + _find_unknown_callers(parsed)
    )


def _list_files(paths: Iterable[pathlib.Path]) -> Iterable[pathlib.Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.rglob(f"*{_SUFFIX}"))
        else:
            yield path


def _find_unknown_callers(
    parsed: list[parser.ParsedDocument],
) -> tuple[str, ...]:
    """Report callers without a document, if any organisation is checked."""
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
