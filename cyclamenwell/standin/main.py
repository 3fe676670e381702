"""Program ``cyclamenwell-standin``: simulated platform and targets."""

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
    help="Simulated platform and target servers; for tests only.",
    add_completion=False,
)
_LOOPBACK = "127.0.0.1"
_EXIT_INVALID_INPUT = 2
_STACK_BYTES = 256 * 1024  # One thread serves each connection.


@app.command("platform")
def serve_platform(
    port: Annotated[int, typer.Option(help="Loopback port.")],
) -> None:
    """Serve published documents and the instance list."""
    platforms.SimulatedPlatform(_LOOPBACK, port).start()
    _wait_for_signal()


@app.command("target")
def serve_target(
    port: Annotated[int, typer.Option(help="Loopback port.")],
    control_port: Annotated[
        int,
        typer.Option(help="Loopback port of the control endpoints, 0 for any."),
    ] = 0,
    plan: Annotated[
        str,
        typer.Option(help="Fields of the target plan as a JSON object."),
    ] = '{"name": "target"}',
) -> None:
    """Serve requests as the target plan describes."""
    try:
        fields = json.loads(plan)
        fields["further_services"] = tuple(fields.get("further_services", ()))
        target_plan = targets.TargetPlan(**fields)
    except (AttributeError, TypeError, ValueError) as error:
        typer.echo(f"--plan: {error}", err=True)
        raise typer.Exit(_EXIT_INVALID_INPUT) from error
    threading.stack_size(_STACK_BYTES)
    targets.SimulatedTarget(_LOOPBACK, port, target_plan, control_port).start()
    _wait_for_signal()


def _wait_for_signal() -> None:
    logs.configure_logging()
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()


def run() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    run()
