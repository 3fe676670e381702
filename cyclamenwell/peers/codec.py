"""Codec between generated classes and Thrift binary messages."""

from __future__ import annotations

from collections.abc import Mapping
import io
from typing import Any

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import fastbinary
from thrift.transport import TTransport

from cyclamenwell import exceptions

__all__ = ["Codec"]

# The header of a Thrift message is its version, the length of its name, the
# name and a sequence number.
_VERSION_BYTES = 4
_NAME_START = 8


def _encode_header(cls: type) -> bytes:
    transport = TTransport.TMemoryBuffer()
    TBinaryProtocol.TBinaryProtocol(transport).writeMessageBegin(
        cls.__name__, Thrift.TMessageType.CALL, 0
    )
    return transport.getvalue()


class _FrameReader:
    """What `fastbinary` needs of a protocol and of its transport, for a frame.

    The classes of the library take as long to build as a short message to
    decode, and by default refuse strings above 16 MB, which bodies may have.
    Links bound the size of a whole frame.
    """

    __slots__ = ("cstringio_buf",)
    string_length_limit = None
    container_length_limit = None

    def __init__(self, frame: bytes, start: int) -> None:
        self.cstringio_buf = io.BytesIO(frame)
        self.cstringio_buf.seek(start)

    @property
    def trans(self) -> _FrameReader:
        return self

    def cstringio_refill(self, partial: bytes, wanted: int) -> bytes:
        """Refuse to read beyond the frame."""
        raise EOFError(f"{wanted} bytes are missing after {len(partial)}")


class Codec:
    """Encodes and decodes the messages of one protocol.

    Parameters
    ----------
    types : mapping of str to type
        Generated classes of the protocol by name.
    """

    def __init__(self, types: Mapping[str, type]) -> None:
        # All messages of a class have the same header, so it is encoded once.
        self._headers = {cls: _encode_header(cls) for cls in types.values()}
        self._by_name = {name.encode(): cls for name, cls in types.items()}

    @property
    def types(self) -> tuple[type, ...]:
        """Classes of the protocol."""
        return tuple(self._headers)

    def encode(self, message: Any) -> bytes:
        """Encode a message under the name of its class.

        Parameters
        ----------
        message : object
            Instance of a class of the protocol.
        """
        cls = type(message)
        fields = fastbinary.encode_binary(message, [cls, cls.THRIFT_SPEC])
        return self._headers[cls] + fields

    def decode(self, frame: bytes) -> Any:
        """Decode a message.

        Parameters
        ----------
        frame : bytes
            Content of one frame.

        Returns
        -------
        object
            Instance of a class of the protocol.

        Raises
        ------
        exceptions.ProtocolError
            If the frame is not a message of the protocol.
        """
        cls = self._find_class(frame)
        reader = _FrameReader(frame, len(self._headers[cls]))
        try:
            return fastbinary.decode_binary(
                None, reader, [cls, cls.THRIFT_SPEC]
            )
        except Exception as error:
            # On malformed input, fastbinary raises many types of exceptions,
            # such as EOFError, TypeError, UnicodeDecodeError and its own.
            raise exceptions.ProtocolError(
                f"frame of {len(frame)} bytes is no {cls.__name__}: {error!r}"
            ) from error

    def _find_class(self, frame: bytes) -> type:
        end = _NAME_START + int.from_bytes(frame[_VERSION_BYTES:_NAME_START])
        cls = self._by_name.get(frame[_NAME_START:end])
        if cls is None or not frame.startswith(self._headers[cls]):
            raise exceptions.ProtocolError(
                f"frame of {len(frame)} bytes is no known message: "
                f"{frame[:40]!r}"
            )
        return cls
