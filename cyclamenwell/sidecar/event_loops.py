"""Event loop of a sidecar node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools
import math
import select
import selectors
from typing import Any

from cyclamenwell import clock

__all__ = ["build_loop"]

# Turns with ready callbacks that may pass before the sockets are polled again.
_MAX_SKIPPED_POLLS = 6
_MAX_EVENTS = 256
# Errors and disconnections wake readers and writers, which then see them.
_READ_EVENTS = ~select.EPOLLOUT
_WRITE_EVENTS = ~select.EPOLLIN


class _Selector(selectors.BaseSelector):
    """Selector of an event loop that runs the callbacks of streams itself.

    Notes
    -----
    In each turn, the event loop polls the sockets and then runs the callbacks
    that are ready. Most task wake-ups form a turn of their own, so most polls
    return nothing and are skipped while callbacks are ready.

    `asyncio` wraps each callback of a socket in a handle, which wakes a task
    only for the next turn. Callbacks that were added with `set_callback` run
    during the poll, so the tasks that they wake run in the same turn.

    Parameters
    ----------
    begin_turn : callable
        Called at the beginning of each turn.
    """

    def __init__(self, begin_turn: Callable[[], object]) -> None:
        self._begin_turn = begin_turn
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}
        # Callbacks for reading and writing of each descriptor.
        self._readers: dict[int, Callable[[], object]] = {}
        self._writers: dict[int, Callable[[], object]] = {}
        self._skipped = 0
        self.handle_error: Callable[[Exception], None] | None = None

    def set_callback(
        self,
        descriptor: int,
        *,
        is_writer: bool,
        callback: Callable[[], object] | None,
    ) -> bool:
        """Set or remove the callback for a direction of a descriptor.

        Returns
        -------
        bool
            Whether there was a callback before.
        """
        callbacks = self._writers if is_writer else self._readers
        before = self._find_mask(descriptor)
        known = callbacks.pop(descriptor, None)
        if callback is not None:
            callbacks[descriptor] = callback
        self._update(descriptor, before)
        return known is not None

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Register a descriptor whose events are returned by `select`."""
        descriptor = _find_descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"descriptor {descriptor} is registered already")
        before = self._find_mask(descriptor)
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        self._update(descriptor, before)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a descriptor.

        Raises
        ------
        KeyError
            If it is not registered.
        """
        descriptor = _find_descriptor(fileobj)
        before = self._find_mask(descriptor)
        key = self._keys.pop(descriptor)
        self._update(descriptor, before)
        return key

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Run the callbacks of ready sockets; return the other events."""
        is_poll = timeout is not None and timeout <= 0
        if is_poll and self._skipped < _MAX_SKIPPED_POLLS:
            self._skipped += 1
            self._begin_turn()
            return []
        self._skipped = 0
        if timeout is None:
            timeout = -1
        elif timeout > 0:
            # The system rounds down to milliseconds, and the loop would spin
            # until the time has come.
            timeout = math.ceil(timeout * 1000) / 1000
        try:
            events = self._epoll.poll(timeout, _MAX_EVENTS)
        except InterruptedError:
            events = []
        self._begin_turn()
        returned = []
        for descriptor, event in events:
            key = self._keys.get(descriptor)
            if key is not None:
                ready = 0
                if event & _READ_EVENTS:
                    ready |= selectors.EVENT_READ
                if event & _WRITE_EVENTS:
                    ready |= selectors.EVENT_WRITE
                returned.append((key, ready & key.events))
            if event & _READ_EVENTS:
                self._run(self._readers.get(descriptor))
            if event & _WRITE_EVENTS:
                self._run(self._writers.get(descriptor))
        return returned

    def close(self) -> None:
        """Close the selector."""
        self._epoll.close()
        self._keys.clear()
        self._readers.clear()
        self._writers.clear()

    def get_map(self) -> dict[int, selectors.SelectorKey]:
        """Return the registered keys by descriptor."""
        return self._keys

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the key of a descriptor.

        Raises
        ------
        KeyError
            If it is not registered.
        """
        return self._keys[_find_descriptor(fileobj)]

    def _run(self, callback: Callable[[], object] | None) -> None:
        if callback is None:
            return
        try:
            callback()
        except Exception as error:
            if self.handle_error is None:
                raise
            self.handle_error(error)

    def _find_mask(self, descriptor: int) -> int:
        """Return the events for which a descriptor is polled."""
        key = self._keys.get(descriptor)
        events = key.events if key is not None else 0
        mask = 0
        if descriptor in self._readers or events & selectors.EVENT_READ:
            mask |= select.EPOLLIN
        if descriptor in self._writers or events & selectors.EVENT_WRITE:
            mask |= select.EPOLLOUT
        return mask

    def _update(self, descriptor: int, before: int) -> None:
        mask = self._find_mask(descriptor)
        if mask == before:
            return
        if not before:
            self._epoll.register(descriptor, mask)
        elif mask:
            self._epoll.modify(descriptor, mask)
        else:
            self._epoll.unregister(descriptor)


class _EventLoop(asyncio.SelectorEventLoop):
    """Event loop whose selector runs the callbacks of sockets.

    Parameters
    ----------
    begin_turn : callable
        Called at the beginning of each turn.
    """

    def __init__(self, begin_turn: Callable[[], object]) -> None:
        self._stream_selector = _Selector(begin_turn)
        self._stream_selector.handle_error = self._handle_callback_error
        super().__init__(self._stream_selector)

    def add_reader(
        self, fd: int, callback: Callable[..., object], *args: Any
    ) -> None:
        """Call a function whenever a descriptor can be read."""
        self._set_callback(fd, False, callback, args)

    def remove_reader(self, fd: int) -> bool:
        """Stop watching a descriptor; return whether it was watched.

        `asyncio` also calls this for descriptors that it watches itself.
        """
        known = self._set_callback(fd, False, None, ())
        return known or super().remove_reader(fd)

    def add_writer(
        self, fd: int, callback: Callable[..., object], *args: Any
    ) -> None:
        """Call a function whenever a descriptor can be written."""
        self._set_callback(fd, True, callback, args)

    def remove_writer(self, fd: int) -> bool:
        """Stop watching a descriptor; return whether it was watched."""
        known = self._set_callback(fd, True, None, ())
        return known or super().remove_writer(fd)

    def _set_callback(
        self,
        fd: Any,
        is_writer: bool,
        callback: Callable[..., object] | None,
        args: tuple[Any, ...],
    ) -> bool:
        if callback is not None and args:
            callback = functools.partial(callback, *args)
        return self._stream_selector.set_callback(
            _find_descriptor(fd), is_writer=is_writer, callback=callback
        )

    def _handle_callback_error(self, error: Exception) -> None:
        self.call_exception_handler(
            {"message": "callback of a socket failed", "exception": error}
        )


def _find_descriptor(fileobj: Any) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()


def build_loop(time: clock.TurnClock) -> asyncio.AbstractEventLoop:
    """Return a new event loop.

    Parameters
    ----------
    time : clock.TurnClock
        Clock that the loop advances in each of its turns.
    """
    return _EventLoop(time.advance_turn)
