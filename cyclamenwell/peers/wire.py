"""Encoding of messages between nodes: framed Thrift binary."""

from __future__ import annotations

import socket
import struct
import time
from typing import Any

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import fastbinary
from thrift.transport import TTransport

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell import sockets
from cyclamenwell.generated import messages

__all__ = ["MAX_FRAME_BYTES", "decode", "encode", "receive_frame", "send_frame"]

MAX_FRAME_BYTES = 20 * 1024 * 1024  # A body of 16 MiB with its headers fits.

_LENGTH = struct.Struct(">I")
_RECEIVED_BYTES = 64 * 1024


def _encode_beginning(cls: type) -> bytes:
    transport = TTransport.TMemoryBuffer()
    TBinaryProtocol.TBinaryProtocol(transport).writeMessageBegin(
        cls.__name__, Thrift.TMessageType.CALL, 0
    )
    return transport.getvalue()


# What precedes the struct is the same in all messages of a class. No beginning
# is the beginning of another one, as it holds the length of the name.
_BEGINNINGS = {
    cls: _encode_beginning(cls) for cls in messages.WIRE_TYPES.values()
}


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
    fields = fastbinary.encode_binary(message, [cls, cls.THRIFT_SPEC])
    return _BEGINNINGS[cls] + fields


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
    cls = _find_class(frame)
    protocol = TBinaryProtocol.TBinaryProtocol(
        TTransport.TMemoryBuffer(frame, len(_BEGINNINGS[cls]))
    )
    try:
        return fastbinary.decode_binary(None, protocol, [cls, cls.THRIFT_SPEC])
    except Exception as error:
        # The codec raises many types on malformed input, EOFError, TypeError,
        # UnicodeDecodeError and its own among them.
        raise exceptions.ProtocolError(
            f"frame of {len(frame)} bytes is no {cls.__name__}: {error!r}"
        ) from error


def _find_class(frame: bytes) -> type:
    for cls, beginning in _BEGINNINGS.items():
        if frame.startswith(beginning):
            return cls
    raise exceptions.ProtocolError(
        f"frame of {len(frame)} bytes is no known message: {frame[:40]!r}"
    )


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
