"""Choosing ports on loopback for processes that are started."""

from __future__ import annotations

import contextlib
import os
import socket

__all__ = ["LOOPBACK", "find_ports"]

LOOPBACK = "127.0.0.1"
# Below the range from which Linux takes ports of outgoing connections, as such
# a connection could take a port between the choice and the start.
_FIRST_PORT = 12_000
_LAST_PORT = 31_000
_STEP_PER_PROCESS = 211


def find_ports(count: int) -> tuple[int, ...]:
    """Return ports that no process listens on now.

    Parameters
    ----------
    count : int
        Number of ports.

    Raises
    ------
    OSError
        If there are not so many.
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
    raise OSError(f"found {len(found)} free ports, wanted {count}")


def _is_free(port: int) -> bool:
    with contextlib.closing(socket.socket()) as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
