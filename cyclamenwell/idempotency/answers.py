"""Answers of non-idempotent requests, kept for repeats."""

from __future__ import annotations

import collections
import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields

__all__ = ["AnswerCache", "KeptAnswer", "RequestKey"]

_Kind = enumerations.ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Idempotency key within its organisation.

    Parameters
    ----------
    organisation : str
        Organisation the request runs for.
    key : str
        Idempotency key.
    """

    organisation: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Whole answer of a request that ran.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of httpfields.Header
        End-to-end headers.
    body : bytes
        Whole body.
    """

    status: int
    headers: tuple[httpfields.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A request that runs here (no answer yet) or has run here."""

    fingerprint: bytes
    answer: KeptAnswer | None
    since: clock.Milliseconds
    size: int


class AnswerCache:
    """Keeps the answers of requests that ran at the own target.

    Parameters
    ----------
    time : clock.Clock
        Clock for the age of answers.
    max_bytes : int
        Bound on the bodies kept; the oldest answers go first.
    max_age : clock.Milliseconds
        Age at which an answer is dropped.
    """

    def __init__(
        self, time: clock.Clock, max_bytes: int, max_age: clock.Milliseconds
    ) -> None:
        self._time = time
        self._max_bytes = max_bytes
        self._max_age = max_age
        self._lock = threading.Lock()
        self._running: dict[RequestKey, _Entry] = {}
        self._kept: collections.OrderedDict[RequestKey, _Entry] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def begin(self, key: RequestKey, fingerprint: bytes) -> None:
        """Note that a request with a granted claim starts to run."""
        with self._lock:
            self._running[key] = _Entry(fingerprint, None, self._time.now(), 0)

    def finish(self, key: RequestKey, answer: KeptAnswer | None) -> None:
        """Note the answer of a request, None if there is no whole one."""
        with self._lock:
            entry = self._running.pop(key)
            if answer is None:
                return
            size = len(answer.body)
            self._kept[key] = dataclasses.replace(
                entry, answer=answer, since=self._time.now(), size=size
            )
            self._bytes += size
            self._evict()

    def find(
        self, key: RequestKey, fingerprint: bytes
    ) -> KeptAnswer | enumerations.ErrorKind:
        """Return the answer of a request.

        Returns
        -------
        KeptAnswer or enumerations.ErrorKind
            The answer, or KEY_IN_USE while the request runs, KEY_MISMATCH if
            the key belongs to another request, ANSWER_LOST if nothing is kept.
        """
        with self._lock:
            self._evict()
            entry = self._running.get(key) or self._kept.get(key)
        if entry is None:
            return _Kind.ANSWER_LOST
        if entry.fingerprint != fingerprint:
            return _Kind.KEY_MISMATCH
        return entry.answer or _Kind.KEY_IN_USE

    def _evict(self) -> None:
        oldest_allowed = self._time.now() - self._max_age
        while self._kept:
            key, entry = next(iter(self._kept.items()))
            if self._bytes <= self._max_bytes and entry.since > oldest_allowed:
                return
            del self._kept[key]
            self._bytes -= entry.size
