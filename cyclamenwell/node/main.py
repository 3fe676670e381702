"""Program ``cyclamenwell-node``, which runs a node beside a target."""

from __future__ import annotations

import pathlib
import signal
import threading
from typing import Annotated

import typer

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.node import process
from cyclamenwell.settings import node_settings
from cyclamenwell.telemetry import logs

__all__ = ["run", "serve"]

_EXIT_INVALID_SETTINGS = 2
_EXIT_UNFINISHED = 3
_STACK_BYTES = 256 * 1024  # Small, as each connection has a thread.


def serve(
    path: Annotated[
        pathlib.Path, typer.Argument(help="Settings file in YAML.")
    ],
) -> None:
    """Run a node beside a target until SIGTERM or SIGINT.

    Exit status: 0 if all running requests finished, 2 for invalid settings,
    3 if requests were still running after the maximum drain time.
    """
    logs.configure_logging()
    try:
        loaded = node_settings.load_settings(path)
    except exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_INVALID_SETTINGS) from error
    threading.stack_size(_STACK_BYTES)
    stopping = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopping.set())
    node = process.Node(loaded, clock.SystemClock())
    threading.Thread(target=node.start, name="start", daemon=True).start()
    stopping.wait()
    if not node.stop():
        raise typer.Exit(_EXIT_UNFINISHED)


def run() -> None:
    """Run the program."""
    typer.run(serve)


if __name__ == "__main__":
    run()
