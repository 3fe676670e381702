"""Which targets are known to have no room, so that they are not asked.

The load that this answers: a service without room for seconds. Offers to
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

__all__ = ["FullTargets"]

# A refused request would have waited for some time in a queue; for a quarter
# of it the queue keeps the target busy without what is not offered meanwhile.
_HELD_PART = 0.25
_SHORTEST = clock.Milliseconds(30)
_LONGEST = clock.Milliseconds(250)
# A request that would wait a little longer than the refused one is refused too.
_WAIT_TOLERANCE = 1.1
# Keeps nodes from asking again at the same moment.
_SPREAD = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """A refusal for want of room."""

    rank: tuple[int, int]
    max_wait: clock.Milliseconds
    until: clock.Milliseconds
    room: clock.Milliseconds


class FullTargets:
    """Remembers for a short time which targets refused for want of room.

    Parameters
    ----------
    time : clock.Clock
        Clock of the refusals.
    generator : random.Random
        Spreads the time of a refusal.
    """

    def __init__(self, time: clock.Clock, generator: random.Random) -> None:
        self._time = time
        self._random = generator
        self._refusals: dict[str, _Refusal] = {}

    def note_refusal(
        self,
        target_id: str,
        rank: tuple[int, int],
        max_wait: clock.Milliseconds,
        room: clock.Milliseconds,
    ) -> None:
        """Note that a target had no room for a request.

        Parameters
        ----------
        target_id : str
            Target that refused.
        rank : tuple of int
            Rank of the request in the queue.
        max_wait : clock.Milliseconds
            Longest time that it would have waited.
        room : clock.Milliseconds
            Time after which room was expected.
        """
        now = self._time.now()
        held = min(max(room * _HELD_PART, _SHORTEST), _LONGEST)
        held *= self._random.uniform(1.0 - _SPREAD, 1.0 + _SPREAD)
        known = self._refusals.get(target_id)
        if known is not None and known.until > now and known.rank < rank:
            # What was refused before ranks higher, so it says more.
            return
        self._refusals[target_id] = _Refusal(
            rank, max_wait, now + held, now + room
        )

    def list_full(
        self,
        target_ids: Iterable[str],
        rank: tuple[int, int],
        max_wait: clock.Milliseconds,
    ) -> frozenset[str]:
        """Return the targets that would refuse a request.

        Only refusals of requests that rank as high or higher and would have
        waited about as long or longer count.
        """
        if not self._refusals:
            return frozenset()
        now = self._time.now()
        found = []
        for target_id in target_ids:
            known = self._refusals.get(target_id)
            if known is None:
                continue
            if known.until <= now:
                del self._refusals[target_id]
            elif rank >= known.rank and (
                max_wait <= known.max_wait * _WAIT_TOLERANCE
            ):
                found.append(target_id)
        return frozenset(found)

    def find_room(self, target_ids: Collection[str]) -> clock.Milliseconds:
        """Return the time after which one of some full targets has room."""
        now = self._time.now()
        rooms = [
            max(self._refusals[target_id].room - now, clock.ZERO)
            for target_id in target_ids
            if target_id in self._refusals
        ]
        return min(rooms, default=clock.ZERO)
