"""Cancellation of calls whose caller has disconnected."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import os
import select
import socket
import threading

from cyclamenwell.telemetry import logs

__all__ = ["Cancellation", "DisconnectWatcher"]

_log = logs.ComponentLogger("calls")
_END_OF_STREAM = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Cancellation:
    """Signals a running call that its caller no longer waits."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._callbacks: list[Callable[[], None]] = []
        self.cancelled = False

    def cancel(self) -> None:
        """Mark the call as cancelled and run the callbacks, once."""
        with self._lock:
            if self.cancelled:
                return
            self.cancelled = True
            callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Run a function on cancellation, at once if already cancelled."""
        with self._lock:
            if not self.cancelled:
                self._callbacks.append(callback)
                return
        callback()

    def remove_callback(self, callback: Callable[[], None]) -> None:
        """Remove a callback that has not been run."""
        with self._lock, contextlib.suppress(ValueError):
            self._callbacks.remove(callback)


class DisconnectWatcher:
    """Detects callers that disconnect while their call runs.

    Notes
    -----
    One thread waits in epoll for all connections, and only for the end of a
    stream, so pipelined data does not wake it. A caller that shuts down its
    sending side counts as disconnected.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._watched: dict[int, Cancellation] = {}
        self._wake_read, self._wake_write = os.pipe()
        self._epoll.register(self._wake_read, select.EPOLLIN)
        self._thread = threading.Thread(
            target=self._run, name="disconnect-watcher", daemon=True
        )

    def start(self) -> None:
        """Start the watching thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the watching thread."""
        os.write(self._wake_write, b"x")
        if self._thread.ident is not None:
            self._thread.join()
        self._epoll.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    @contextlib.contextmanager
    def watch(self, connection: socket.socket):
        """Watch a connection while a call runs.

        Yields
        ------
        Cancellation
            Cancelled when the connection ends.
        """
        cancellation = Cancellation()
        descriptor = connection.fileno()
        with self._lock:
            self._watched[descriptor] = cancellation
        try:
            self._epoll.register(
                descriptor, _END_OF_STREAM | select.EPOLLONESHOT
            )
        except OSError:
            cancellation.cancel()
        try:
            yield cancellation
        finally:
            with self._lock:
                self._watched.pop(descriptor, None)
            with contextlib.suppress(OSError, ValueError):
                self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while True:
            for descriptor, _ in self._epoll.poll():
                if descriptor == self._wake_read:
                    return
                with self._lock:
                    cancellation = self._watched.get(descriptor)
                    # The descriptor may belong to a newer connection.
                    if cancellation is not None and not _has_ended(descriptor):
                        cancellation = None
                if cancellation is not None:
                    self._cancel(cancellation)

    def _cancel(self, cancellation: Cancellation) -> None:
        try:
            cancellation.cancel()
        except Exception:
            # The watcher serves all calls and must outlive a failing callback.
            _log.exception("cancelling a call failed")


def _has_ended(descriptor: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))
