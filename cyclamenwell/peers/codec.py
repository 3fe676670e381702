"""Encoding of generated classes as Thrift binary messages."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.protocol import fastbinary
from thrift.transport import TTransport

from cyclamenwell import exceptions

__all__ = ["Codec"]

# A Thrift message begins with its version and the length of its name.
_VERSION_BYTES = 4
_NAME_START = 8


def _encode_beginning(cls: type) -> bytes:
    transport = TTransport.TMemoryBuffer()
    TBinaryProtocol.TBinaryProtocol(transport).writeMessageBegin(
        cls.__name__, Thrift.TMessageType.CALL, 0
    )
    return transport.getvalue()


class Codec:
    """Encodes and decodes the messages of one protocol.

    Parameters
    ----------
    types : mapping of str to type
        Generated classes of the protocol by name.
    """

    def __init__(self, types: Mapping[str, type]) -> None:
        # What precedes the struct is the same in all messages of a class.
        self._beginnings = {
            cls: _encode_beginning(cls) for cls in types.values()
        }
        self._by_name = {name.encode(): cls for name, cls in types.items()}

    def encode(self, message: Any) -> bytes:
        """Return a Thrift message whose name is that of the class.

        Parameters
        ----------
        message : object
            Instance of a class of the protocol.
        """
        cls = type(message)
        fields = fastbinary.encode_binary(message, [cls, cls.THRIFT_SPEC])
        return self._beginnings[cls] + fields

    def decode(self, frame: bytes) -> Any:
        """Decode a message.

        Parameters
        ----------
        frame : bytes
            Bytes of one frame.

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
        protocol = TBinaryProtocol.TBinaryProtocol(
            TTransport.TMemoryBuffer(frame, len(self._beginnings[cls]))
        )
        try:
            return fastbinary.decode_binary(
                None, protocol, [cls, cls.THRIFT_SPEC]
            )
        except Exception as error:
            # The codec raises many types on malformed input, EOFError,
            # TypeError, UnicodeDecodeError and its own among them.
            raise exceptions.ProtocolError(
                f"frame of {len(frame)} bytes is no {cls.__name__}: {error!r}"
            ) from error

    def _find_class(self, frame: bytes) -> type:
        end = _NAME_START + int.from_bytes(frame[_VERSION_BYTES:_NAME_START])
        cls = self._by_name.get(frame[_NAME_START:end])
        if cls is None or not frame.startswith(self._beginnings[cls]):
            raise exceptions.ProtocolError(
                f"frame of {len(frame)} bytes is no known message: "
                f"{frame[:40]!r}"
            )
        return cls
