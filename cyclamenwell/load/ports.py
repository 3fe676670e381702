"""Selection of free ports on loopback for child processes."""

from __future__ import annotations

import contextlib
import os
import socket

__all__ = ["LOOPBACK", "find_free_ports"]

LOOPBACK = "127.0.0.1"
# Below the ephemeral port range of Linux. Otherwise an outgoing connection
# could occupy a port between its selection and the start of the process.
_FIRST_PORT = 12_000
_LAST_PORT = 31_000
_STEP_PER_PROCESS = 211


def find_free_ports(count: int) -> tuple[int, ...]:
    """Return ports on which no process listens at present.

    Parameters
    ----------
    count : int
        Number of ports.

    Raises
    ------
    OSError
        If fewer ports than `count` are free.
    """
    span = _LAST_PORT - _FIRST_PORT
    offset = os.getpid() * _STEP_PER_PROCESS % span
    found: list[int] = []
    for step in range(span):
        port = _FIRST_PORT + (offset + step) % span
        if _is_free(port):
            found.append(port)
        if len(found) == count:
            return tuple(found)
    raise OSError(f"found {len(found)} free ports in range, need {count}")


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
