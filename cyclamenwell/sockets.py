"""Sending and receiving on blocking sockets within a time."""

from __future__ import annotations

import contextlib
import select
import socket

from cyclamenwell import clock

__all__ = ["is_quiet", "receive", "receive_ready", "send", "shut_down"]

_RECEIVED_BYTES = 64 * 1024


def receive(connection: socket.socket, remaining: clock.Milliseconds) -> bytes:
    """Wait for bytes and return them, empty at the end of the stream.

    Parameters
    ----------
    connection : socket.socket
        Connection without a timeout of its own: that would cost two more
        system calls for each message.
    remaining : clock.Milliseconds
        Longest time to wait.

    Raises
    ------
    TimeoutError
        If nothing came in time.
    OSError
        If the connection fails.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    if remaining.value <= 0 or not poller.poll(remaining.value):
        raise TimeoutError("timed out")
    return receive_ready(connection)


def receive_ready(connection: socket.socket) -> bytes:
    """Return bytes that are there, empty at the end of the stream."""
    return connection.recv(_RECEIVED_BYTES, socket.MSG_DONTWAIT)


def send(
    connection: socket.socket, data: bytes, remaining: clock.Milliseconds
) -> None:
    """Send all bytes.

    Parameters
    ----------
    connection : socket.socket
        Connection without a timeout of its own.
    data : bytes
        What to send.
    remaining : clock.Milliseconds
        Longest time for all of it.

    Raises
    ------
    TimeoutError
        If the other side did not take it in time.
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


def is_quiet(connection: socket.socket) -> bool:
    """Return whether nothing, not even an end of stream, waits to be read."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return not poller.poll(0)


def shut_down(connection: socket.socket) -> None:
    """End both directions, which wakes every thread that waits for it.

    Notes
    -----
    A connection that has ended already is left as it is.
    """
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
