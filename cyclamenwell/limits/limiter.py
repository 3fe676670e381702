"""Rate and burst of organisations over the instances of one service."""

from __future__ import annotations

import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.limits import bucket

__all__ = ["FleetLimiter"]


class FleetLimiter:
    """Takes tokens for requests of organisations.

    Parameters
    ----------
    time : clock.Clock
        Clock of the token buckets.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._lock = threading.Lock()
        self._buckets: dict[str, bucket.TokenBucket] = {}

    def take(self, caller: documents.CallerDocument, share: float) -> None:
        """Take one token.

        Parameters
        ----------
        caller : documents.CallerDocument
            Organisation with its rate and burst over all instances.
        share : float
            Part of both that this node may use, from 0 to 1.

        Raises
        ------
        exceptions.RefusedError
            As RATE_LIMITED if there is no token.
        """
        with self._lock:
            held = self._buckets.get(caller.organisation)
            now = self._time.now()
            if held is None:
                held = bucket.TokenBucket(now)
                self._buckets[caller.organisation] = held
            held.resize(
                caller.rate_per_second * share, caller.burst * share, now
            )
            if held.take(now):
                return
        raise exceptions.RefusedError(
            enumerations.ErrorKind.RATE_LIMITED,
            f"organisation {caller.organisation} is over its rate",
            retry_after=clock.Milliseconds(1000),
        )

    def refund(self, organisation: str) -> None:
        """Put back the token of a request that was not run."""
        with self._lock:
            self._buckets[organisation].refund()
