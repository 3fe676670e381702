"""Graceful shutdown of listening sockets."""

from __future__ import annotations

import ctypes
import socket
import struct
import threading

from cyclamenwell import clock

__all__ = ["stop_new_connections"]

_SO_ATTACH_FILTER = 26  # Linux; not defined by the socket module.
_TCP_FLAGS_OFFSET = 13
_SYN_FLAG = 0x02
_DROP, _PASS = 0, 0xFFFFFFFF
# Classic BPF instructions: code, jump if true, jump if false, operand.
_FILTER = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # Load the TCP flags.
    (0x45, 0, 1, _SYN_FLAG),  # Without SYN, skip the next instruction.
    (0x06, 0, 0, _DROP),
    (0x06, 0, 0, _PASS),
)
# Handshakes in progress complete within a round trip.
_HANDSHAKE_WAIT = clock.Milliseconds(50)


def stop_new_connections(listener: socket.socket) -> None:
    """Block new handshakes on a listening socket and let current ones complete.

    Parameters
    ----------
    listener : socket.socket
        Listening TCP socket; its owner closes it afterwards.

    Notes
    -----
    Closing a listener resets connections that completed their handshake after
    the last accept(), and their callers may already have sent a request. This
    function first drops SYN packets. A caller that connects meanwhile repeats
    its SYN after a second, finds the port closed and has sent nothing. On
    systems without the filter, a short window for such resets remains.
    """
    code = b"".join(struct.pack("HBBI", *line) for line in _FILTER)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HP", len(_FILTER), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:
        return
    threading.Event().wait(_HANDSHAKE_WAIT.seconds)
