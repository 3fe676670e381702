"""Contexts of running requests, on which targets make further calls."""

from __future__ import annotations

import dataclasses
import secrets
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.retries import allowance as allowances

__all__ = ["CallContext", "ContextRegistry"]

_TOKEN_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class CallContext:
    """What further calls of a running request inherit.

    Parameters
    ----------
    organisation : str
        Organisation the request runs for, empty on open routes.
    key_identifier : bytes
        Identifier of the caller's key, 8 bytes, empty on open routes.
    importance : enumerations.Importance
        Importance of the root request.
    deadline : clock.Milliseconds
        Monotonic time by which the answer must be there.
    depth : int
        Number of calls above this request.
    allowance : allowances.RetryAllowance
        Retries that the request still holds.
    failure : FailureMark
        What its further calls came to.
    """

    organisation: str
    key_identifier: bytes
    importance: enumerations.Importance
    deadline: clock.Milliseconds
    depth: int
    allowance: allowances.RetryAllowance
    failure: FailureMark


class FailureMark:
    """Remembers what the further calls of a request came to.

    Attributes
    ----------
    called : bool
        Whether a further call was made, so the target has begun to run the
        request.
    retried : bool
        Whether a further call failed. The node of this request is the hop
        right above that failure, so no hop further up retries it.
    """

    def __init__(self) -> None:
        self.called = False
        self.retried = False


class ContextRegistry:
    """Contexts of the requests that run at the target beside the node."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._contexts: dict[str, CallContext] = {}

    def open(self, context: CallContext) -> str:
        """Register a context.

        Returns
        -------
        str
            Unguessable token of 256 bits that names it.
        """
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        with self._lock:
            self._contexts[token] = context
        return token

    def find(self, token: str) -> CallContext | None:
        """Return the context of a running request, None if it has ended."""
        return self._contexts.get(token)

    def close(self, token: str) -> None:
        """End a context; later calls with it are refused."""
        with self._lock:
            self._contexts.pop(token, None)
