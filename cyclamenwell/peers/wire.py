"""Encoding of messages between nodes: framed Thrift binary."""

from __future__ import annotations

import socket
import struct
import time
from typing import Any

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cyclamenwell import exceptions
from cyclamenwell.generated import messages

__all__ = ["MAX_FRAME_BYTES", "decode", "encode", "receive_frame", "send_frame"]

MAX_FRAME_BYTES = 20 * 1024 * 1024  # A body of 16 MiB with its headers fits.

_LENGTH = struct.Struct(">I")


def encode(message: Any) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message : object
        Instance of a class in `messages`.

    Returns
    -------
    bytes
        Thrift message whose name is that of the class.
    """
    cls = type(message)
    transport = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        transport, fallback=False
    )
    protocol.writeMessageBegin(cls.__name__, Thrift.TMessageType.CALL, 0)
    transport.write(protocol._fast_encode(message, [cls, cls.THRIFT_SPEC]))
    return transport.getvalue()


def decode(frame: bytes) -> Any:
    """Decode a message.

    Parameters
    ----------
    frame : bytes
        Bytes of one frame.

    Returns
    -------
    object
        Instance of a class in `messages`.

    Raises
    ------
    exceptions.ProtocolError
        If the frame is not a message of the protocol.
    """
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        TTransport.TMemoryBuffer(frame), fallback=False
    )
    try:
        name, _, _ = protocol.readMessageBegin()
        cls = messages.WIRE_TYPES[name]
        return protocol._fast_decode(None, protocol, [cls, cls.THRIFT_SPEC])
    except Exception as error:
        # The codec raises many types on malformed input, EOFError, TypeError,
        # UnicodeDecodeError and its own among them.
        raise exceptions.ProtocolError(
            f"frame of {len(frame)} bytes is not a message: {error!r}"
        ) from error


def send_frame(connection: socket.socket, frame: bytes) -> None:
    """Send one frame.

    Raises
    ------
    OSError
        If the connection fails; part of the frame may have been sent.
    """
    connection.sendall(_LENGTH.pack(len(frame)) + frame)


def receive_frame(
    connection: socket.socket, end: float | None = None
) -> bytes | None:
    """Receive one frame.

    Parameters
    ----------
    connection : socket.socket
        Connection to read from.
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
        If the frame is too long or ends early.
    OSError
        If the connection fails or times out.
    """
    head = _receive_exactly(connection, _LENGTH.size, end)
    if head is None:
        return None
    (length,) = _LENGTH.unpack(head)
    if length > MAX_FRAME_BYTES:
        raise exceptions.ProtocolError(
            f"frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )
    frame = _receive_exactly(connection, length, end)
    if frame is None and length:
        raise exceptions.ProtocolError("connection closed inside a frame")
    return frame or b""


def _receive_exactly(
    connection: socket.socket, count: int, end: float | None
) -> bytes | None:
    """Return the bytes asked for, or None if there were none at all."""
    first = _receive(connection, count, end)
    if len(first) == count:
        return first
    if not first:
        return None
    buffer = bytearray(first)
    while len(buffer) < count:
        part = _receive(connection, count - len(buffer), end)
        if not part:
            raise exceptions.ProtocolError("connection closed inside a frame")
        buffer += part
    return bytes(buffer)


def _receive(connection: socket.socket, count: int, end: float | None) -> bytes:
    if end is not None:
        remaining = end - time.monotonic()
        if remaining <= 0:
            raise TimeoutError("timed out")
        connection.settimeout(remaining)
    return connection.recv(count)
