"""Attribution of refused nested calls to the runs that fail because of them.

A target makes nested calls while it runs a request, and answers the request
with a failure as soon as a call that it needs is refused. Nothing in a nested
call names the run that it belongs to, but the failure follows the refusal
within a moment.
"""

from __future__ import annotations

import collections

from cyclamenwell import clock
from cyclamenwell.generated import enumerations

__all__ = ["RefusedCalls"]

_Kind = enumerations.ErrorKind
# Refusals for lack of capacity. Cold targets are left out: they are warm again
# after a few seconds, whatever their callers do meanwhile. So are requests that
# a target sheds, since its node sends it no more than it has slots for: it is
# faulty, and fails as many of fewer requests.
_COUNTED_KINDS = frozenset(
    {_Kind.CALLS_REFUSED, _Kind.OVERLOADED, _Kind.TARGET_LIMITED}
)
# Time in which a target answers a run after one of its calls was refused.
_MAX_REACTION = clock.Milliseconds(100)


class RefusedCalls:
    """Refused calls of one target that no failed run accounts for yet."""

    def __init__(self) -> None:
        self._refused_at: collections.deque[clock.Milliseconds] = (
            collections.deque()
        )

    def note_refusal(
        self, kind: enumerations.ErrorKind, now: clock.Milliseconds
    ) -> None:
        """Note that a call of the target was refused.

        Parameters
        ----------
        kind : enumerations.ErrorKind
            Reason of the refusal; only a lack of capacity counts.
        now : clock.Milliseconds
            Present monotonic time.
        """
        if kind not in _COUNTED_KINDS:
            return
        self._drop_old(now)
        self._refused_at.append(now)

    def claim(self, now: clock.Milliseconds) -> bool:
        """Return whether a refused call accounts for a run that has failed.

        Each refused call accounts for one run.
        """
        self._drop_old(now)
        if not self._refused_at:
            return False
        self._refused_at.popleft()
        return True

    def _drop_old(self, now: clock.Milliseconds) -> None:
        while self._refused_at and self._refused_at[0] + _MAX_REACTION < now:
            self._refused_at.popleft()
