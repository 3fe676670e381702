"""History of one request, from the log files of several nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
from typing import Any

__all__ = ["LogLine", "RequestHistory", "read_history"]

# Fields of every line; they are not repeated among the other fields.
_COMMON = ("time", "node", "event", "request")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line of a node.

    Parameters
    ----------
    time : float
        Unix time, in seconds.
    node : str
        Name of the instance that wrote the line.
    event : str
        Name of the event.
    fields : dict
        Other fields of the line.
    """

    time: float
    node: str
    event: str
    fields: dict[str, Any]

    def format_line(self, start: float) -> str:
        """Return the line as readable text, with the time since `start`."""
        shown = " ".join(f"{k}={v}" for k, v in self.fields.items() if v != "")
        delay = f"+{(self.time - start) * 1000.0:.1f} ms"
        return f"{delay:>12}  {self.node}  {self.event}  {shown}"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHistory:
    """Log lines about a request and related events.

    Parameters
    ----------
    lines : tuple of LogLine
        Lines of the request, in order of time.
    context : tuple of LogLine
        Lines of the nodes involved, shortly before or during the request, on
        lost or regained dependencies and on changes of the nodes' state.
    omitted : int
        Number of lines that these nodes omitted from their logs meanwhile.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    omitted: int


# Prefixes of events on the state of a node and on what it could reach.
_CONTEXT_EVENTS = (
    "configuration.",
    "node.",
    "settings.",
    "state.",
    "store.",
    "target.",
)
_CONTEXT_SECONDS = 3.0


def read_history(
    request_id: str, paths: Iterable[pathlib.Path]
) -> RequestHistory:
    """Return the history of a request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    paths : iterable of pathlib.Path
        Log files; lines without a JSON object are skipped, since the files may
        contain other output too.

    Raises
    ------
    OSError
        If a file cannot be read.
    """
    all_lines = [line for path in paths for line in _read_lines(path)]
    lines = sorted(
        (i for i in all_lines if i.fields.get("request") == request_id),
        key=lambda line: line.time,
    )
    if not lines:
        return RequestHistory((), (), 0)
    nodes = {line.node for line in lines}
    begin, end = lines[0].time - _CONTEXT_SECONDS, lines[-1].time
    nearby = [
        line
        for line in all_lines
        if line.node in nodes and begin <= line.time <= end
    ]
    context = sorted(
        (line for line in nearby if line.event.startswith(_CONTEXT_EVENTS)),
        key=lambda line: line.time,
    )
    omitted = sum(
        int(line.fields.get("lines", 0))
        for line in nearby
        if line.event == "log.omitted"
    )
    return RequestHistory(tuple(lines), tuple(context), omitted)


def _read_lines(path: pathlib.Path) -> Iterator[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            # Log collectors may prepend a prefix to each line.
            start = text.find("{")
            if start < 0:
                continue
            try:
                raw = json.loads(text[start:])
                yield LogLine(
                    float(raw["time"]),
                    str(raw["node"]),
                    str(raw["event"]),
                    {
                        name: value
                        for name, value in raw.items()
                        if name not in _COMMON or name == "request"
                    },
                )
            except (KeyError, TypeError, ValueError):
                continue
