"""Processes that a program starts and always ends."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from types import FrameType
from typing import Any

from cyclamenwell import clock

__all__ = ["ProcessGroup", "raise_on_signals"]

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_STOP_TIMEOUT = clock.Milliseconds(5_000)
_KILL_TIMEOUT = clock.Milliseconds(5_000)


def raise_on_signals() -> None:
    """Turn SIGTERM into `SystemExit`, so that ``finally`` clauses run.

    Notes
    -----
    Python turns SIGINT into `KeyboardInterrupt` by itself, unless the shell
    started the program with SIGINT ignored.
    """
    signal.signal(signal.SIGTERM, _raise_exit)
    signal.signal(signal.SIGINT, signal.default_int_handler)


def _raise_exit(number: int, frame: FrameType | None) -> None:
    del frame
    raise SystemExit(128 + number)


@contextlib.contextmanager
def _ignore_signals() -> Iterator[None]:
    """Ignore signals; only the main thread of a process may do this."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    numbers = (signal.SIGINT, signal.SIGTERM)
    former = [signal.signal(number, signal.SIG_IGN) for number in numbers]
    try:
        yield
    finally:
        for number, handler in zip(numbers, former, strict=True):
            signal.signal(number, handler)


class ProcessGroup(contextlib.AbstractContextManager):
    """Python programs of this project; leaving the context ends them all.

    Attributes
    ----------
    directory : pathlib.Path
        Temporary directory for settings and logs.
    """

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="cyclamenwell-")
        self.directory = pathlib.Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __exit__(self, *details: Any) -> None:
        # A second signal must not cut the ending of the processes short.
        with _ignore_signals():
            try:
                self.stop_all()
            finally:
                self._directory.cleanup()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments``.

        Parameters
        ----------
        name : str
            Name of the process, also of its log file.
        module : str
            Module to run.
        *arguments : str
            Its arguments.
        """
        paths = [str(_ROOT), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(filter(None, paths))
        }
        with (self.directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                # A SIGINT of the terminal reaches the starter alone, which
                # then ends the processes in order.
                start_new_session=True,
            )

    def find_pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def wait(self, name: str, timeout: clock.Milliseconds) -> int:
        """Wait for the end of a process and return its exit status.

        Raises
        ------
        subprocess.TimeoutExpired
            If it still runs after the timeout.
        """
        return self._processes[name].wait(timeout.seconds)

    def find_ended(self) -> tuple[str, ...]:
        """Return the names of processes that are no longer running."""
        return tuple(
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        )

    def read_log(self, name: str) -> str:
        """Return what a process wrote."""
        path = self.directory / f"{name}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""

    def stop(self, name: str) -> None:
        """End one process and forget it."""
        process = self._processes.pop(name)
        process.terminate()
        try:
            process.wait(_STOP_TIMEOUT.seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(_KILL_TIMEOUT.seconds)

    def stop_all(self) -> None:
        """End all processes, by SIGKILL those that do not stop in time."""
        for process in self._processes.values():
            if process.poll() is None:
                process.terminate()
        end = time.monotonic() + _STOP_TIMEOUT.seconds
        for process in self._processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(end - time.monotonic(), 0.01))
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
                process.wait(_KILL_TIMEOUT.seconds)
        self._processes.clear()
