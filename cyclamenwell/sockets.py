"""Transfers on blocking sockets with time limits."""

from __future__ import annotations

import contextlib
import select
import socket

from cyclamenwell import clock

__all__ = ["has_no_input", "receive", "receive_available", "send", "shut_down"]

_MAX_RECEIVED_BYTES = 64 * 1024


def receive(connection: socket.socket, remaining: clock.Milliseconds) -> bytes:
    """Wait for data and return it, empty at the end of the stream.

    Parameters
    ----------
    connection : socket.socket
        Connection without a socket timeout, which would cost two more system
        calls for each message.
    remaining : clock.Milliseconds
        Longest time to wait.

    Raises
    ------
    TimeoutError
        If no data arrives in time.
    OSError
        If the connection fails.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    if remaining.value <= 0 or not poller.poll(remaining.value):
        raise TimeoutError("timed out")
    return receive_available(connection)


def receive_available(connection: socket.socket) -> bytes:
    """Return available data, empty at the end of the stream."""
    return connection.recv(_MAX_RECEIVED_BYTES, socket.MSG_DONTWAIT)


def send(
    connection: socket.socket, data: bytes, remaining: clock.Milliseconds
) -> None:
    """Send all bytes.

    Parameters
    ----------
    connection : socket.socket
        Connection without a socket timeout.
    data : bytes
        Bytes to send.
    remaining : clock.Milliseconds
        Longest time for the whole transfer.

    Raises
    ------
    TimeoutError
        If the peer does not accept the data in time.
    OSError
        If the connection fails.
    """
    try:
        sent = connection.send(data, socket.MSG_DONTWAIT)
    except BlockingIOError:
        sent = 0
    if sent == len(data):
        return
    if remaining.value <= 0:
        raise TimeoutError("timed out")
    connection.settimeout(remaining.seconds)
    connection.sendall(memoryview(data)[sent:])
    connection.settimeout(None)


def has_no_input(connection: socket.socket) -> bool:
    """Return whether neither data nor an end of stream can be read."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return not poller.poll(0)


def shut_down(connection: socket.socket) -> None:
    """Shut down both directions and wake all threads that wait for I/O.

    Notes
    -----
    Has no effect on a connection that has already ended.
    """
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
