"""Closing a listening socket without cutting connections."""

from __future__ import annotations

import ctypes
import socket
import struct
import threading

from cyclamenwell import clock

__all__ = ["stop_new_connections"]

_SO_ATTACH_FILTER = 26  # Linux; the socket module does not name it.
_TCP_FLAGS_OFFSET = 13
_SYN = 0x02
_DROP, _PASS = 0, 0xFFFFFFFF
# Instructions of the classic packet filter: code, jump if true, jump if
# false, operand.
_FILTER = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # Load the byte of the flags.
    (0x45, 0, 1, _SYN),  # Skip the next instruction without SYN.
    (0x06, 0, 0, _DROP),
    (0x06, 0, 0, _PASS),
)
# Handshakes that have begun are finished within a round trip.
_HANDSHAKE_WAIT = clock.Milliseconds(50)


def stop_new_connections(listener: socket.socket) -> None:
    """Let a listening socket take no new handshake and finish begun ones.

    Parameters
    ----------
    listener : socket.socket
        Listening TCP socket, closed by the owner soon after.

    Notes
    -----
    Closing a listener resets the connections whose handshake ended since the
    last accept(); their callers may have sent a request already. With the
    packets that open a connection dropped first, such a caller waits for a
    second and then finds the port closed, and has sent nothing. On a system
    without this filter the short gap remains.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _FILTER)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HP", len(_FILTER), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:
        return
    threading.Event().wait(_HANDSHAKE_WAIT.seconds)
