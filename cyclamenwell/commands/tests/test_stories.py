"""The command `explain`."""

import json

from typer import testing

from cyclamenwell.commands import main


def write_line(file, time, node, event, **fields):
    """Write a line with the prefix of a collector."""
    line = {"time": time, "node": node, "event": event} | fields
    file.write(f"12.3 {node} {json.dumps(line)}\n")


def test_lines_of_all_nodes_are_told_in_order(tmp_path):
    """Guards against a story that misses a node or mixes up its order."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    with first.open("w") as file:
        file.write("no log line {\n")
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
    told = result.output.splitlines()
    assert "offer.answered" in told[1]
    assert "request.answered" in told[2]
    assert "+100.0 ms" in told[2]
    assert "store.lost" in told[4]
    assert "left out 7 lines" in told[5]
    assert len(told) == 6


def test_an_unknown_request_is_a_clear_error(tmp_path):
    """Guards against an empty story that looks like an answer."""
    path = tmp_path / "a.log"
    path.write_text("")
    result = testing.CliRunner().invoke(main.app, ["explain", "r-1", str(path)])
    assert result.exit_code == 1
