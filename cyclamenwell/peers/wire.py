"""Wire format of messages between nodes: framed Thrift binary."""

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

MAX_FRAME_BYTES = 20 * 1024 * 1024  # Fits a body of 16 MiB with its headers.

_LENGTH = struct.Struct(">I")
_RECEIVE_BUFFER_BYTES = 64 * 1024


_CODEC = codec.Codec(messages.WIRE_TYPES)
encode = _CODEC.encode
decode = _CODEC.decode


def send_frame(
    connection: socket.socket, frame: bytes, deadline: float | None = None
) -> None:
    """Send one frame.

    Parameters
    ----------
    connection : socket.socket
        Connection without a timeout of its own.
    frame : bytes
        Content of the frame.
    deadline : float or None
        Deadline on the clock of `time.monotonic`, None for no deadline.

    Raises
    ------
    OSError
        If the connection fails or times out; part of the frame may have been
        sent.
    """
    data = _LENGTH.pack(len(frame)) + frame
    if deadline is None:
        connection.sendall(data)
        return
    sockets.send(connection, data, _find_remaining(deadline))


def receive_frame(
    connection: socket.socket, deadline: float | None = None
) -> bytes | None:
    """Receive one frame.

    Parameters
    ----------
    connection : socket.socket
        Connection to read from, without a timeout of its own.
    deadline : float or None
        Deadline for the whole frame on the clock of `time.monotonic`, None
        for no deadline. It bounds the time for which a peer that sends byte
        by byte can block the caller.

    Returns
    -------
    bytes or None
        Content of the frame, or None if the peer closed the connection
        between frames.

    Raises
    ------
    exceptions.ProtocolError
        If the frame is too long, is truncated or is followed by another one;
        a connection carries one message at a time.
    OSError
        If the connection fails or times out.
    """
    chunk = _receive(connection, deadline)
    if not chunk:
        return None
    buffer = bytearray(chunk)
    while len(buffer) < _LENGTH.size:
        buffer += _receive_more(connection, deadline)
    (length,) = _LENGTH.unpack_from(buffer)
    if length > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    frame_end = _LENGTH.size + length
    while len(buffer) < frame_end:
        buffer += _receive_more(connection, deadline)
    if len(buffer) > frame_end:
        raise exceptions.ProtocolError("two frames without a reply between")
    return bytes(memoryview(buffer)[_LENGTH.size :])


def _receive_more(connection: socket.socket, deadline: float | None) -> bytes:
    chunk = _receive(connection, deadline)
    if not chunk:
        raise exceptions.ProtocolError("connection closed inside a frame")
    return chunk


def _receive(connection: socket.socket, deadline: float | None) -> bytes:
    if deadline is None:
        return connection.recv(_RECEIVE_BUFFER_BYTES)
    return sockets.receive(connection, _find_remaining(deadline))


def _find_remaining(deadline: float) -> clock.Milliseconds:
    return clock.Milliseconds.from_seconds(deadline - time.monotonic())
