"""Program ``cyclamenwell-standin``: platform and targets for tests."""

from __future__ import annotations

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
    name: Annotated[str, typer.Option(help="Name in answers.")] = "target",
    service_ms: Annotated[
        float, typer.Option(help="Time of a request, milliseconds.")
    ] = 0.0,
    further_service: Annotated[
        str, typer.Option(help="Service to call for each request.")
    ] = "",
    further_path: Annotated[
        str, typer.Option(help="Path of the further call.")
    ] = "/",
    node_port: Annotated[
        int, typer.Option(help="Target-side port of the node beside it.")
    ] = 0,
) -> None:
    """Serve requests as a target does."""
    plan = targets.TargetPlan(
        name, service_ms, further_service, further_path, node_port
    )
    targets.TargetStandin(_LOOPBACK, port, plan).start()
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
