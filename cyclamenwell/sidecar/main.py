"""Entry point of the program `cyclamenwell-sidecar`."""

from __future__ import annotations

import asyncio
import functools
import os
import pathlib
import sys

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.platform import names
from cyclamenwell.platform import settings as settings_reader
from cyclamenwell.sidecar import event_loops
from cyclamenwell.sidecar import process
from cyclamenwell.telemetry import structured_log

__all__ = ["run"]

_DEFAULT_SETTINGS_PATH = "/etc/cyclamenwell/local.yaml"
_EXIT_BAD_SETTINGS = 2


def run() -> None:
    """Run a sidecar node until it is stopped."""
    path = pathlib.Path(
        os.environ.get(names.SETTINGS_VARIABLE, _DEFAULT_SETTINGS_PATH)
    )
    time = clock.TurnClock()
    try:
        settings = settings_reader.read_settings(path)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    log = structured_log.StructuredLog(settings.name, time)
    try:
        build_loop = functools.partial(event_loops.build_loop, time)
        with asyncio.Runner(loop_factory=build_loop) as runner:
            runner.run(process.Process(path, settings, time, log).run())
    finally:
        log.flush()


if __name__ == "__main__":
    run()
