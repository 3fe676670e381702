"""The story of one request out of the log files of many nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import pathlib
from typing import Any

__all__ = ["LogLine", "Story", "read_story"]

# Fields that every line has, shown in front.
_COMMON = ("time", "node", "event", "request")


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a node's log.

    Parameters
    ----------
    time : float
        Unix time, in seconds.
    node : str
        Instance that wrote it.
    event : str
        What happened.
    fields : dict
        Inputs and outcome.
    """

    time: float
    node: str
    event: str
    fields: dict[str, Any]

    def describe(self, start: float) -> str:
        """Return the line for reading, with the time since a start."""
        shown = " ".join(f"{k}={v}" for k, v in self.fields.items() if v != "")
        delay = f"+{(self.time - start) * 1000.0:.1f} ms"
        return f"{delay:>12}  {self.node}  {self.event}  {shown}"


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of a request.

    Parameters
    ----------
    lines : tuple of LogLine
        Lines of the request, by time.
    context : tuple of LogLine
        Lines of the nodes involved, shortly before or during the request,
        that tell of lost or regained dependencies and changed beliefs.
    omitted : int
        Lines that these nodes left out in that time.
    """

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    omitted: int


# Events that say what a node believed or could reach.
_BELIEFS = (
    "configuration.",
    "node.",
    "settings.",
    "state.",
    "store.",
    "target.",
)
_CONTEXT_SECONDS = 3.0


def read_story(request_id: str, paths: Iterable[pathlib.Path]) -> Story:
    """Return the story of a request.

    Parameters
    ----------
    request_id : str
        Identity of the request.
    paths : iterable of pathlib.Path
        Log files; lines that are no JSON object are skipped, since an output
        may hold more than the log.

    Raises
    ------
    OSError
        If a file can not be read.
    """
    all_lines = [line for path in paths for line in _read_lines(path)]
    lines = sorted(
        (i for i in all_lines if i.fields.get("request") == request_id),
        key=lambda line: line.time,
    )
    if not lines:
        return Story((), (), 0)
    nodes = {line.node for line in lines}
    begin, end = lines[0].time - _CONTEXT_SECONDS, lines[-1].time
    nearby = [
        line
        for line in all_lines
        if line.node in nodes and begin <= line.time <= end
    ]
    context = sorted(
        (line for line in nearby if line.event.startswith(_BELIEFS)),
        key=lambda line: line.time,
    )
    omitted = sum(
        int(line.fields.get("lines", 0))
        for line in nearby
        if line.event == "log.omitted"
    )
    return Story(tuple(lines), tuple(context), omitted)


def _read_lines(path: pathlib.Path) -> Iterator[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            # A collector may put its own prefix in front of a line.
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
