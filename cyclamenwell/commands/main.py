"""Program ``cyclamenwell``: the command line for operators."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated

import typer

from cyclamenwell import exceptions
from cyclamenwell.commands import document_files
from cyclamenwell.commands import operations_client
from cyclamenwell.commands import output as outputs
from cyclamenwell.commands import request_history
from cyclamenwell.documents import changes
from cyclamenwell.documents import parser
from cyclamenwell.keys import authenticator
from cyclamenwell.platform import settings as platform_settings
from cyclamenwell.settings import node_settings

__all__ = ["app", "run"]

EXIT_PROBLEMS = 1
EXIT_UNREACHABLE = 3

_EPILOG = (
    "Exit status: 0 success, 1 problems found, 2 wrong usage, "
    "3 a node does not answer."
)

app = typer.Typer(
    help="Check documents, preview changes and inspect nodes.",
    epilog=_EPILOG,
    no_args_is_help=True,
)
key_app = typer.Typer(
    help="Generate keys and their digests.", no_args_is_help=True
)
app.add_typer(key_app, name="key")

Paths = Annotated[
    list[pathlib.Path],
    typer.Argument(help="Document files, or folders of them.", exists=True),
]
Nodes = Annotated[
    list[str],
    typer.Option(
        "--node", help="host:port of an operations endpoint; may be repeated."
    ),
]
Form = Annotated[outputs.Output, typer.Option("--output", help="Form.")]


@app.command(epilog="Example: cyclamenwell check documents/")
def check(paths: Paths) -> None:
    """Check documents and print every problem with its file and line.

    File names are service/<name>.yaml, organisation/<name>.yaml and fleet.yaml.
    """
    result = document_files.check_documents(paths)
    for problem in result.problems:
        typer.echo(problem, err=True)
    if result.problems:
        raise typer.Exit(EXIT_PROBLEMS)
    typer.echo(f"{len(result.parsed)} documents, no problems")


@app.command(epilog="Example: cyclamenwell explain 9c41d07be2a35f68 *.log")
def explain(
    request_id: Annotated[
        str, typer.Argument(help="Identifier of the request.")
    ],
    paths: Annotated[
        list[pathlib.Path],
        typer.Argument(help="Log files of sidecar nodes.", exists=True),
    ],
) -> None:
    """Trace a request through the log files of sidecar nodes."""
    history = request_history.read_history(request_id, paths)
    if not history.lines:
        typer.echo(f"no log line of request {request_id!r} found", err=True)
        raise typer.Exit(EXIT_PROBLEMS)
    start = history.lines[0].time
    typer.echo("Log lines of the request:")
    for line in history.lines:
        typer.echo(line.format_line(start))
    if history.context:
        typer.echo(
            "Related events on these nodes, shortly before and during the "
            "request:"
        )
    for line in history.context:
        typer.echo(line.format_line(start))
    if history.omitted:
        typer.echo(
            f"{history.omitted} lines were omitted from these nodes' logs."
        )


@app.command(
    "check-sidecar", epilog="Example: cyclamenwell check-sidecar local.yaml"
)
def check_sidecar(
    path: Annotated[
        pathlib.Path,
        typer.Argument(help="Settings file that the platform provides."),
    ],
) -> None:
    """Check the settings file of a sidecar node."""
    try:
        platform_settings.read_settings(path)
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_PROBLEMS) from error
    typer.echo("no problems")


@app.command(
    "check-settings", epilog="Example: cyclamenwell check-settings node.yaml"
)
def check_settings(
    path: Annotated[
        pathlib.Path, typer.Argument(help="Settings file of a node.")
    ],
) -> None:
    """Check the settings file of a node."""
    try:
        node_settings.load_settings(path)
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_PROBLEMS) from error
    typer.echo("no problems")


@app.command(
    epilog="Example: cyclamenwell diff --node 127.0.0.1:9104 documents/"
)
def diff(
    paths: Paths,
    node: Annotated[
        str, typer.Option(help="host:port of an operations endpoint.")
    ] = "",
    old: Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Folder of documents to compare with, instead of a node."
        ),
    ] = None,
) -> None:
    """Describe in words what changes the documents would make."""
    if (old is None) == (not node):
        raise typer.BadParameter("exactly one of --node and --old is required")
    result = document_files.check_documents(paths)
    if result.problems:
        typer.echo("\n".join(result.problems), err=True)
        raise typer.Exit(EXIT_PROBLEMS)
    current = _read_files(old) if old else _read_from_node(node)
    lines = [
        f"{document.name}: {change}{_format_base(current.get(document.name))}"
        for document in result.parsed
        for change in changes.describe_change(
            current.get(document.name), document
        )
    ]
    typer.echo("\n".join(lines) if lines else "no changes")


def _read_files(old: pathlib.Path) -> dict[str, parser.ParsedDocument]:
    result = document_files.check_documents([old])
    return {document.name: document for document in result.parsed}


def _read_from_node(node: str) -> dict[str, parser.ParsedDocument]:
    return {
        raw["name"]: parser.parse_document(
            raw["name"], raw["version"], raw["text"]
        )
        for raw in _fetch(node, "/documents")
    }


def _format_base(old: parser.ParsedDocument | None) -> str:
    return f" (from version {old.version})" if old else ""


@app.command(epilog="Example: cyclamenwell status --node 127.0.0.1:9104")
def status(
    node: Nodes, output: Form = outputs.Output.TABLE, instances: bool = False
) -> None:
    """Show the state of nodes, or with --instances their view of the fleet."""
    if instances:
        rows = [
            {"seen_by": one} | row
            for one in node
            for row in _fetch(one, "/instances")
        ]
        columns = ["seen_by", "instance", "service", "data_centre", "listed"]
        columns += ["reported", "in_progress", "limit", "cold", "gone"]
        columns.append("heard_ms_ago")
    else:
        rows = [_fetch(one, "/status") for one in node]
        columns = ["instance", "service", "data_centre", "state"]
        columns += ["in_progress", "queued", "limit", "cold", "list_revision"]
        columns += ["view_confirmed", "reader"]
    outputs.print_rows(rows, columns, output)


@app.command(epilog="Example: cyclamenwell audit --node 127.0.0.1:9104")
def audit(node: Nodes, output: Form = outputs.Output.TABLE) -> None:
    """Show the audit trail of nodes, oldest entries first."""
    rows = [row for one in node for row in _fetch(one, "/audit")]
    rows.sort(key=lambda row: row["at_ms"])
    columns = ["at_ms", "instance", "document", "version", "accepted"]
    outputs.print_rows(rows, [*columns, "origin", "details"], output)


@key_app.command("make", epilog="Example: cyclamenwell key make")
def make_key(output: Form = outputs.Output.TABLE) -> None:
    """Generate a key for a caller and its digest for the organisation."""
    key = authenticator.make_key()
    digest = authenticator.compute_digest(key).hex()
    outputs.print_rows(
        [{"key": key, "digest": digest}], ["key", "digest"], output
    )


@key_app.command("digest", epilog="Example: cyclamenwell key digest < key-file")
def digest_key() -> None:
    """Print the digest of a key read from standard input."""
    key = sys.stdin.read().strip()
    if not key:
        typer.echo("no key on standard input", err=True)
        raise typer.Exit(EXIT_PROBLEMS)
    typer.echo(authenticator.compute_digest(key).hex())


def _fetch(node: str, path: str) -> list | dict:
    try:
        return operations_client.fetch(node, path)
    except exceptions.PeerUnavailableError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error


def run() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    run()
