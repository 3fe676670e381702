"""Encoding of messages between nodes: framed Thrift binary."""

from __future__ import annotations

import socket
import struct
import time

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import sockets
from cyclamenwell.generated import messages
from cyclamenwell.peers import codec

__all__ = ["MAX_FRAME_BYTES", "decode", "encode", "receive_frame", "send_frame"]

MAX_FRAME_BYTES = 20 * 1024 * 1024  # A body of 16 MiB with its headers fits.

_LENGTH = struct.Struct(">I")
_RECEIVED_BYTES = 64 * 1024


_CODEC = codec.Codec(messages.WIRE_TYPES)
encode = _CODEC.encode
decode = _CODEC.decode


def send_frame(
    connection: socket.socket, frame: bytes, end: float | None = None
) -> None:
    """Send one frame.

    Parameters
    ----------
    connection : socket.socket
        Connection without a timeout of its own.
    frame : bytes
        The frame.
    end : float or None
        Time of `time.monotonic` by which it must be sent.

    Raises
    ------
    OSError
        If the connection fails or times out; part of the frame may have been
        sent.
    """
    data = _LENGTH.pack(len(frame)) + frame
    if end is None:
        connection.sendall(data)
        return
    sockets.send(connection, data, _find_remaining(end))


def receive_frame(
    connection: socket.socket, end: float | None = None
) -> bytes | None:
    """Receive one frame.

    Parameters
    ----------
    connection : socket.socket
        Connection to read from, without a timeout of its own.
    end : float or None
        Time of `time.monotonic` by which the frame must be whole, so that a
        peer that sends byte by byte can not hold the caller.

    Returns
    -------
    bytes or None
        The frame, or None if the peer closed the connection between frames.

    Raises
    ------
    exceptions.ProtocolError
        If the frame is too long, ends early or is followed by another one: a
        connection carries one message at a time.
    OSError
        If the connection fails or times out.
    """
    first = _receive(connection, end)
    if not first:
        return None
    buffer = bytearray(first)
    while len(buffer) < _LENGTH.size:
        buffer += _receive_more(connection, end)
    (length,) = _LENGTH.unpack_from(buffer)
    if length > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    whole = _LENGTH.size + length
    while len(buffer) < whole:
        buffer += _receive_more(connection, end)
    if len(buffer) > whole:
        raise exceptions.ProtocolError("two frames without a reply between")
    return bytes(memoryview(buffer)[_LENGTH.size :])


def _receive_more(connection: socket.socket, end: float | None) -> bytes:
    part = _receive(connection, end)
    if not part:
        raise exceptions.ProtocolError("connection closed inside a frame")
    return part


def _receive(connection: socket.socket, end: float | None) -> bytes:
    if end is None:
        return connection.recv(_RECEIVED_BYTES)
    return sockets.receive(connection, _find_remaining(end))


def _find_remaining(end: float) -> clock.Milliseconds:
    return clock.Milliseconds.from_seconds(end - time.monotonic())
