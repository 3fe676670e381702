"""Child processes that are always stopped with their parent."""

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
    """Raise `SystemExit` on SIGTERM, so that ``finally`` clauses run.

    Notes
    -----
    Python raises `KeyboardInterrupt` on SIGINT by default, but not if the
    shell started the program with SIGINT ignored; the handler is therefore
    installed explicitly.
    """
    signal.signal(signal.SIGTERM, _raise_exit)
    signal.signal(signal.SIGINT, signal.default_int_handler)


def _raise_exit(number: int, frame: FrameType | None) -> None:
    del frame
    raise SystemExit(128 + number)


@contextlib.contextmanager
def _ignore_signals() -> Iterator[None]:
    """Ignore SIGINT and SIGTERM within the context.

    Only the main thread may set signal handlers; in other threads the context
    does nothing.
    """
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
    """Python child processes; leaving the context stops all of them.

    Attributes
    ----------
    directory : pathlib.Path
        Temporary directory for settings and log files.
    """

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="cyclamenwell-")
        self.directory = pathlib.Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __exit__(self, *details: Any) -> None:
        # A second signal must not interrupt the shutdown of the processes.
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
            Name of the process and of its log file.
        module : str
            Module to run.
        *arguments : str
            Command-line arguments.
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
                # SIGINT from the terminal then reaches only the parent, which
                # shuts the processes down in order.
                start_new_session=True,
            )

    def find_pid(self, name: str) -> int:
        """Return the process identifier of a process."""
        return self._processes[name].pid

    def wait(self, name: str, timeout: clock.Milliseconds) -> int:
        """Wait for a process to exit and return its exit status.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process is still running after the timeout.
        """
        return self._processes[name].wait(timeout.seconds)

    def find_ended(self) -> tuple[str, ...]:
        """Return the names of processes that have exited."""
        return tuple(
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        )

    def read_log(self, name: str) -> str:
        """Return the output of a process."""
        path = self.directory / f"{name}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""

    def stop(self, name: str) -> None:
        """Stop one process and remove it from the group."""
        process = self._processes.pop(name)
        process.terminate()
        try:
            process.wait(_STOP_TIMEOUT.seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(_KILL_TIMEOUT.seconds)

    def stop_all(self) -> None:
        """Stop all processes; SIGKILL ends those that exceed the timeout."""
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
