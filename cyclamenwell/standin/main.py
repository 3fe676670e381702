"""Program ``cyclamenwell-standin``: platform and targets for tests."""

from __future__ import annotations

import json
import signal
import threading
from typing import Annotated

import typer

from cyclamenwell.standin import platform as platforms
from cyclamenwell.standin import target as targets
from cyclamenwell.telemetry import logs

__all__ = ["run"]

app = typer.Typer(
    help="Stand-ins for the platform and a target; for tests only.",
    add_completion=False,
)
_LOOPBACK = "127.0.0.1"
_EXIT_BAD_INPUT = 2
_STACK_BYTES = 256 * 1024  # A thread for each connection.


@app.command("platform")
def serve_platform(
    port: Annotated[int, typer.Option(help="Port on loopback.")],
) -> None:
    """Serve published documents and instances."""
    platforms.PlatformStandin(_LOOPBACK, port).start()
    _wait_for_signal()


@app.command("target")
def serve_target(
    port: Annotated[int, typer.Option(help="Port on loopback.")],
    control_port: Annotated[
        int, typer.Option(help="Port of the controls on loopback, 0 for any.")
    ] = 0,
    plan: Annotated[
        str,
        typer.Option(help="Fields of the plan as a JSON object."),
    ] = '{"name": "target"}',
) -> None:
    """Serve requests as a target does."""
    try:
        fields = json.loads(plan)
        fields["further_services"] = tuple(fields.get("further_services", ()))
        read = targets.TargetPlan(**fields)
    except (AttributeError, TypeError, ValueError) as error:
        typer.echo(f"--plan: {error}", err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    threading.stack_size(_STACK_BYTES)
    targets.TargetStandin(_LOOPBACK, port, read, control_port).start()
    _wait_for_signal()


def _wait_for_signal() -> None:
    logs.set_up()
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()


def run() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    run()
