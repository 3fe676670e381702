"""Contexts of running requests, which their nested calls inherit."""

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
    """Properties that nested calls inherit from a running request.

    Parameters
    ----------
    organisation : str
        Organisation of the request, empty on open routes.
    key_identifier : bytes
        Identifier of the caller's key, 8 bytes, empty on open routes.
    importance : enumerations.Importance
        Importance of the root request.
    deadline : clock.Milliseconds
        Monotonic time by which the answer is required.
    depth : int
        Number of ancestors in the call tree.
    allowance : allowances.RetryAllowance
        Remaining retries of the request.
    nested_calls : NestedCallState
        State of its nested calls.
    """

    organisation: str
    key_identifier: bytes
    importance: enumerations.Importance
    deadline: clock.Milliseconds
    depth: int
    allowance: allowances.RetryAllowance
    nested_calls: NestedCallState


class NestedCallState:
    """Records whether a request made nested calls and whether one failed.

    Attributes
    ----------
    called : bool
        Whether a nested call was made, which shows that the target has begun
        to run the request.
    retried : bool
        Whether a nested call failed. The node of this request is the hop
        directly upstream of that failure, so no other upstream hop retries it.
    """

    def __init__(self) -> None:
        self.called = False
        self.retried = False


class ContextRegistry:
    """Contexts of the requests that run at the target of the node."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._contexts: dict[str, CallContext] = {}

    def open(self, context: CallContext) -> str:
        """Register a context.

        Returns
        -------
        str
            Random token of 256 bits that identifies the context.
        """
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        with self._lock:
            self._contexts[token] = context
        return token

    def find(self, token: str) -> CallContext | None:
        """Return the context of a running request, None if there is none."""
        return self._contexts.get(token)

    def close(self, token: str) -> None:
        """Remove a context; later calls with its token are refused."""
        with self._lock:
            self._contexts.pop(token, None)
