"""Cache of answers to non-idempotent requests, for repeated requests."""

from __future__ import annotations

import collections
import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields

__all__ = ["AnswerCache", "CachedAnswer", "RequestKey"]

_Kind = enumerations.ErrorKind


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """Idempotency key, unique within its organisation.

    Parameters
    ----------
    organisation : str
        Organisation for which the request runs.
    key : str
        Idempotency key.
    """

    organisation: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAnswer:
    """Complete answer to a request that ran.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of httpfields.Header
        End-to-end headers.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[httpfields.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A request that is running here (no answer yet) or has run here."""

    fingerprint: bytes
    answer: CachedAnswer | None
    since: clock.Milliseconds
    size: int


class AnswerCache:
    """Caches the answers to requests that ran at the node's own target.

    Parameters
    ----------
    time : clock.Clock
        Clock for the age of answers.
    max_bytes : int
        Largest total size of the cached bodies; the oldest answers are evicted
        first.
    max_age : clock.Milliseconds
        Age at which an answer is evicted.
    """

    def __init__(
        self, time: clock.Clock, max_bytes: int, max_age: clock.Milliseconds
    ) -> None:
        self._time = time
        self._max_bytes = max_bytes
        self._max_age = max_age
        self._lock = threading.Lock()
        self._running: dict[RequestKey, _Entry] = {}
        self._stored: collections.OrderedDict[RequestKey, _Entry] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def begin(self, key: RequestKey, fingerprint: bytes) -> None:
        """Record that a request with a granted claim starts to run."""
        with self._lock:
            self._running[key] = _Entry(fingerprint, None, self._time.now(), 0)

    def finish(self, key: RequestKey, answer: CachedAnswer | None) -> None:
        """Store the answer to a request; None if it has no complete answer."""
        with self._lock:
            entry = self._running.pop(key)
            if answer is None:
                return
            size = len(answer.body)
            self._stored[key] = dataclasses.replace(
                entry, answer=answer, since=self._time.now(), size=size
            )
            self._stored_bytes += size
            self._evict()

    def find(
        self, key: RequestKey, fingerprint: bytes
    ) -> CachedAnswer | enumerations.ErrorKind:
        """Return the cached answer to a request.

        Parameters
        ----------
        key : RequestKey
            Key of the request.
        fingerprint : bytes
            Digest that tells whether the key was used for the same request.

        Returns
        -------
        CachedAnswer or enumerations.ErrorKind
            The answer, or KEY_IN_USE while the request runs, KEY_MISMATCH if
            the key was used for another request, ANSWER_LOST if the cache has
            no entry for the key.
        """
        with self._lock:
            self._evict()
            entry = self._running.get(key) or self._stored.get(key)
        if entry is None:
            return _Kind.ANSWER_LOST
        if entry.fingerprint != fingerprint:
            return _Kind.KEY_MISMATCH
        return entry.answer or _Kind.KEY_IN_USE

    def _evict(self) -> None:
        expiry_limit = self._time.now() - self._max_age
        while self._stored:
            key, entry = next(iter(self._stored.items()))
            if (
                self._stored_bytes <= self._max_bytes
                and entry.since > expiry_limit
            ):
                return
            del self._stored[key]
            self._stored_bytes -= entry.size
