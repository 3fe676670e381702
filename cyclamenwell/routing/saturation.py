"""Targets that are known to be saturated, so that they are not asked.

The load that this answers: a service that is saturated for seconds. Offers to
targets that refused a moment ago cost two messages each and delay the refusal
that lets the caller come back in time, while the queue before those targets
keeps them busy anyway.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import random

from cyclamenwell import clock

__all__ = ["SaturatedTargets"]

# A refused request would have waited for some time in a queue; for a quarter
# of it the queue keeps the target busy without what is not offered meanwhile.
_HELD_PART = 0.25
_SHORTEST = clock.Milliseconds(30)
_LONGEST = clock.Milliseconds(250)
# A request that would wait a little longer than the refused one is refused too.
_WAIT_TOLERANCE = 1.1
# Keeps nodes from asking again at the same moment.
_SPREAD = 0.3

_Rank = tuple[int, int]  # As `admission.slots.rank_request` returns it.


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal by a saturated target."""

    max_wait: clock.Milliseconds
    until: clock.Milliseconds
    free_at: clock.Milliseconds


class SaturatedTargets:
    """Remembers for a short time which targets refused which requests.

    Parameters
    ----------
    time : clock.Clock
        Clock of the refusals.
    generator : random.Random
        Spreads the time of a refusal.

    Notes
    -----
    A refusal counts for requests of its own rank only: more important ones go
    first at the target, and a part of its slots is kept for less important
    ones.
    """

    def __init__(self, time: clock.Clock, generator: random.Random) -> None:
        self._time = time
        self._random = generator
        self._refusals: dict[tuple[str, _Rank], _Refusal] = {}

    def note_refusal(
        self,
        target_id: str,
        rank: _Rank,
        max_wait: clock.Milliseconds,
        expected_wait: clock.Milliseconds,
    ) -> None:
        """Note that a saturated target refused a request.

        Parameters
        ----------
        target_id : str
            Target that refused.
        rank : tuple of int
            Rank of the request in the queue.
        max_wait : clock.Milliseconds
            Longest time that it would have waited.
        expected_wait : clock.Milliseconds
            Time after which a slot was expected to be free.
        """
        now = self._time.now()
        held = min(max(expected_wait * _HELD_PART, _SHORTEST), _LONGEST)
        held *= self._random.uniform(1.0 - _SPREAD, 1.0 + _SPREAD)
        self._refusals[target_id, rank] = _Refusal(
            max_wait, now + held, now + expected_wait
        )

    def list_saturated(
        self,
        target_ids: Iterable[str],
        rank: _Rank,
        max_wait: clock.Milliseconds,
    ) -> frozenset[str]:
        """Return the targets that would refuse a request.

        Only refusals of requests of its rank that would have waited about as
        long or longer count.
        """
        if not self._refusals:
            return frozenset()
        now = self._time.now()
        found = []
        for target_id in target_ids:
            known = self._refusals.get((target_id, rank))
            if known is None:
                continue
            if known.until <= now:
                del self._refusals[target_id, rank]
            elif max_wait <= known.max_wait * _WAIT_TOLERANCE:
                found.append(target_id)
        return frozenset(found)

    def forget_missing(self, known: Collection[str]) -> None:
        """Forget targets that no longer exist."""
        for key in [key for key in self._refusals if key[0] not in known]:
            del self._refusals[key]

    def find_wait(
        self, target_ids: Collection[str], rank: _Rank
    ) -> clock.Milliseconds:
        """Return the shortest expected wait for a slot of some targets."""
        now = self._time.now()
        waits = [
            max(self._refusals[target_id, rank].free_at - now, clock.ZERO)
            for target_id in target_ids
            if (target_id, rank) in self._refusals
        ]
        return min(waits, default=clock.ZERO)
