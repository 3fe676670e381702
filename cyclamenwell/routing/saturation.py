"""Short-lived record of saturated targets, which get no offers meanwhile.

While a service is saturated for seconds, an offer to a target that refused a
moment ago costs two messages and delays the refusal that lets the caller retry
in time. Skipping the target leaves no slot idle, because its queue keeps it
busy.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell.generated import enumerations

__all__ = ["SaturatedTargets"]

# For a quarter of the expected wait, the queue keeps the target busy without
# the requests that are not offered meanwhile.
_HOLD_FRACTION = 0.25
_MIN_HOLD = clock.Milliseconds(30)
_MAX_HOLD = clock.Milliseconds(250)
# A request that accepts a slightly longer wait than the refused one is expected
# to be refused too.
_WAIT_TOLERANCE = 1.1
# Relative jitter, so that nodes do not all retry a target at the same moment.
_JITTER = 0.3

_Rank = tuple[int, int]  # As `admission.slots.rank_request` returns it.


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Last refusal of a request rank by a saturated target."""

    kind: enumerations.ErrorKind
    max_wait: clock.Milliseconds
    expires_at: clock.Milliseconds
    free_at: clock.Milliseconds


class SaturatedTargets:
    """Records for a short time which targets refused requests of which rank.

    Parameters
    ----------
    time : clock.Clock
        Clock for the expiry of refusals.
    generator : random.Random
        Source of jitter for the expiry of refusals.

    Notes
    -----
    A refusal applies to requests of the same rank only: the target serves more
    important requests first, and reserves some of its slots for less important
    ones.
    """

    def __init__(self, time: clock.Clock, generator: random.Random) -> None:
        self._time = time
        self._random = generator
        # By rank and target.
        self._refusals: dict[_Rank, dict[str, _Refusal]] = {}

    def note_refusal(
        self,
        target_id: str,
        rank: _Rank,
        kind: enumerations.ErrorKind,
        max_wait: clock.Milliseconds,
        expected_wait: clock.Milliseconds,
    ) -> None:
        """Record that a saturated target refused a request.

        Parameters
        ----------
        target_id : str
            Target that refused.
        rank : tuple of int
            Rank of the request in the queue of the target.
        kind : enumerations.ErrorKind
            Kind of the refusal.
        max_wait : clock.Milliseconds
            Longest time that the request could have waited for a slot.
        expected_wait : clock.Milliseconds
            Time after which the target expected a free slot.
        """
        now = self._time.now()
        hold = min(max(expected_wait * _HOLD_FRACTION, _MIN_HOLD), _MAX_HOLD)
        hold *= self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)
        self._refusals.setdefault(rank, {})[target_id] = _Refusal(
            kind, max_wait, now + hold, now + expected_wait
        )

    def list_saturated(
        self,
        target_ids: Iterable[str],
        rank: _Rank,
        max_wait: clock.Milliseconds,
    ) -> frozenset[str]:
        """Return the targets that are expected to refuse a request.

        Only unexpired refusals of requests count that had the same rank and
        accepted about the same wait or a longer one.
        """
        refusals = self._refusals.get(rank)
        if not refusals:
            return frozenset()
        now = self._time.now()
        saturated = []
        for target_id in target_ids:
            refusal = refusals.get(target_id)
            if refusal is None:
                continue
            if refusal.expires_at <= now:
                del refusals[target_id]
            elif max_wait <= refusal.max_wait * _WAIT_TOLERANCE:
                saturated.append(target_id)
        return frozenset(saturated)

    def keep_only(self, target_ids: Collection[str]) -> None:
        """Drop the refusals of targets that are not in a collection."""
        for refusals in self._refusals.values():
            for target_id in [t for t in refusals if t not in target_ids]:
                del refusals[target_id]

    def find_kind(
        self, target_ids: Collection[str], rank: _Rank
    ) -> enumerations.ErrorKind:
        """Return the kind of the refusals if they agree, else OVERLOADED."""
        refusals = self._refusals.get(rank, {})
        kinds = {
            refusals[target_id].kind
            for target_id in target_ids
            if target_id in refusals
        }
        if len(kinds) == 1:
            return kinds.pop()
        return enumerations.ErrorKind.OVERLOADED

    def find_expected_wait(
        self, target_ids: Collection[str], rank: _Rank
    ) -> clock.Milliseconds:
        """Return the shortest remaining wait for a slot, 0 if none is known."""
        now = self._time.now()
        refusals = self._refusals.get(rank, {})
        waits = [
            max(refusals[target_id].free_at - now, clock.ZERO)
            for target_id in target_ids
            if target_id in refusals
        ]
        return min(waits, default=clock.ZERO)
