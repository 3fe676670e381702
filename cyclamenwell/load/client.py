"""Minimal HTTP/1.1 client connection for load generation."""

from __future__ import annotations

from collections.abc import Mapping
import contextlib
import dataclasses
import json
import socket
import time

from cyclamenwell import clock
from cyclamenwell import exceptions

__all__ = ["ClientAnswer", "ClientConnection", "ClientError"]

_CHUNK_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"


class ClientError(exceptions.CyclamenwellError):
    """No complete answer was received; the text is the kind of failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAnswer:
    """A complete HTTP answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Complete body.
    """

    status: int
    body: bytes

    def matches_request(self, request_id: str) -> bool:
        """Return whether the body echoes the identifier of the request."""
        try:
            return json.loads(self.body).get("request_id") == request_id
        except (AttributeError, ValueError):
            return False

    @property
    def kind(self) -> str:
        """Kind of a refusal, or ``status-<number>`` for any other answer.

        Notes
        -----
        A refusal of a nested call has the suffix `` at <service>``, taken from
        the error body, in which each target names the service that failed.
        """
        # The innermost cause is last in the body of a failed call chain.
        preceding, found, rest = self.body.decode(
            "utf-8", "replace"
        ).rpartition("urn:cyclamenwell:")
        if not found:
            return f"status-{self.status}"
        kind = rest.partition('"')[0]
        _, _, failed = preceding.rpartition('"error": "')
        service, is_nested, _ = failed.partition(' failed"')
        return f"{kind} at {service}" if is_nested else kind


class ClientConnection:
    """Persistent connection to one port, for one request at a time.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.

    Notes
    -----
    The connection is opened on first use and again after it was closed.
    """

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._socket: socket.socket | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def request(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        timeout: clock.Milliseconds,
    ) -> ClientAnswer:
        """Send a request without a body and read the complete answer.

        Raises
        ------
        ClientError
            With ``refused-connection``, ``timeout`` or ``broken-connection``.
        """
        end = time.monotonic() + timeout.seconds
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append("content-length: 0")
        text = "\r\n".join(lines).encode("latin-1") + _END_OF_HEAD
        try:
            return self._exchange(text, end)
        except TimeoutError:
            self.close()
            raise ClientError("timeout") from None
        except ConnectionRefusedError:
            self.close()
            raise ClientError("refused-connection") from None
        except (OSError, ValueError):
            self.close()
            raise ClientError("broken-connection") from None

    def _exchange(self, text: bytes, end: float) -> ClientAnswer:
        if self._socket is not None and not self._is_open():
            self.close()
        if self._socket is None:
            left = max(end - time.monotonic(), 0.001)
            self._socket = socket.create_connection(self._address, left)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.sendall(text)
        received = b""
        while _END_OF_HEAD not in received:
            received += self._receive(end)
        head, _, body = received.partition(_END_OF_HEAD)
        status, fields = _read_head(head)
        length = int(fields["content-length"])
        while len(body) < length:
            body += self._receive(end)
        if len(body) > length:
            raise ValueError("received more bytes than content-length")
        if fields.get("connection") == "close":
            self.close()
        return ClientAnswer(status, body)

    def _is_open(self) -> bool:
        """Return whether the idle connection is still open at the server."""
        self._socket.setblocking(False)
        with contextlib.suppress(BlockingIOError, InterruptedError):
            self._socket.recv(1)
            return False
        return True

    def _receive(self, end: float) -> bytes:
        self._socket.settimeout(max(end - time.monotonic(), 0.001))
        received = self._socket.recv(_CHUNK_BYTES)
        if not received:
            raise ConnectionResetError(
                "connection closed before the answer was complete"
            )
        return received


def _read_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    fields.setdefault("content-length", "")
    return int(first.split(" ", 2)[1]), fields
