"""Builders of messages and of peers with scripted replies."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import socket
import threading

from cyclamenwell.generated import messages
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import wire

__all__ = ["ScriptedPeer", "build_forward_request"]

_LOOPBACK = "127.0.0.1"


def build_forward_request(call_id: bytes) -> messages.ForwardRequest:
    """Build a forwarded request with a call identifier."""
    return messages.ForwardRequest(call_id=call_id, service="billing")


class ScriptedPeer:
    """Passes each message that it receives to a function of the test.

    Parameters
    ----------
    script : callable
        Called with the connection and the decoded message.
    """

    def __init__(
        self, script: Callable[[socket.socket, messages.ForwardRequest], None]
    ) -> None:
        self._script = script
        self._listener = socket.create_server((_LOOPBACK, 0))
        self.address = peer_clients.Address(*self._listener.getsockname()[:2])
        self.connections = 0
        self.received: list[messages.ForwardRequest] = []
        self.closing = threading.Event()
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop accepting connections."""
        self.closing.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            while frame := wire.receive_frame(connection):
                message = wire.decode(frame)
                self.received.append(message)
                self._script(connection, message)
