"""Tests of the command `explain`."""

import json

from typer import testing

from cyclamenwell.commands import main


def write_line(file, time, node, event, **fields):
    """Write a log line with the prefix that a log collector prepends."""
    line = {"time": time, "node": node, "event": event} | fields
    file.write(f"12.3 {node} {json.dumps(line)}\n")


def test_lines_of_all_nodes_are_merged_by_time(tmp_path):
    """Guards against a history that misses a node or is out of order."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    with first.open("w") as file:
        file.write("not a log line {\n")
        write_line(file, 100.0, "a", "store.lost", error="reset")
        write_line(
            file, 101.5, "a", "request.answered", request="r-1", status=502
        )
        write_line(file, 101.6, "a", "request.answered", request="r-2")
        write_line(file, 101.2, "a", "log.omitted", lines=7)
    with second.open("w") as file:
        write_line(
            file, 101.4, "b", "offer.answered", request="r-1", outcome="X"
        )
        write_line(file, 90.0, "b", "target.gone", target="i-1")
    result = testing.CliRunner().invoke(
        main.app, ["explain", "r-1", str(first), str(second)]
    )
    assert result.exit_code == 0
    printed = result.output.splitlines()
    assert "offer.answered" in printed[1]
    assert "request.answered" in printed[2]
    assert "+100.0 ms" in printed[2]
    assert "store.lost" in printed[4]
    assert "7 lines were omitted" in printed[5]
    assert len(printed) == 6


def test_unknown_request_is_an_error(tmp_path):
    """Guards against an empty history reported as a success."""
    path = tmp_path / "a.log"
    path.write_text("")
    result = testing.CliRunner().invoke(main.app, ["explain", "r-1", str(path)])
    assert result.exit_code == 1
