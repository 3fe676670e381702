"""Output of rows as a table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
import enum
import json
from typing import Any

import typer

__all__ = ["Output", "print_rows"]


class Output(enum.StrEnum):
    """Output format."""

    TABLE = "table"
    JSON = "json"


def print_rows(
    rows: Sequence[dict[str, Any]], columns: Sequence[str], output: Output
) -> None:
    """Print rows.

    Parameters
    ----------
    rows : sequence of dict
        Rows by column name; a table leaves missing values empty.
    columns : sequence of str
        Columns of the table, in order; JSON contains all values.
    output : Output
        Output format.
    """
    if output is Output.JSON:
        typer.echo(json.dumps(list(rows), indent=2))
        return
    cells = [
        [_format_cell(row.get(column)) for column in columns] for row in rows
    ]
    lines = [list(columns), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        typer.echo("  ".join(padded).rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return "; ".join(str(item) for item in value)
    return str(value).lower() if isinstance(value, bool) else str(value)
