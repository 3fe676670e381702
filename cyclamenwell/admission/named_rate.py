"""Rate limit that a target in need names in its answers.

Answers the load of a target that has told its callers how many requests a
second it takes from all of them together. Only the node beside a target reaches
it, so the rate is held exactly there, whichever node sends.
"""

from __future__ import annotations

from cyclamenwell import clock
from cyclamenwell.limits import bucket

__all__ = ["NamedRateLimiter"]

# Seconds of the rate that may start at once after a pause.
_BURST_SECONDS = 0.25
# A target that takes nothing gets a request this often: only its answers tell
# when it takes more again.
_MIN_RATE_PER_SECOND = 0.25
# Answers without a limit end it only this long after the last one that named
# it, or after this many requests: a target may name it in some answers only.
_MIN_HOLD = clock.Milliseconds(1000)
_HELD_REQUESTS = 4.0


class NamedRateLimiter:
    """Token bucket at the rate that a target has named, if it has.

    Parameters
    ----------
    now : clock.Milliseconds
        Present monotonic time.
    """

    def __init__(self, now: clock.Milliseconds = clock.ZERO) -> None:
        self._bucket = bucket.TokenBucket(now)
        self._named_at: clock.Milliseconds | None = None

    @property
    def is_active(self) -> bool:
        """Whether a limit is in force."""
        return self._named_at is not None

    @property
    def rate_per_second(self) -> float:
        """Rate in requests a second, meaningful while the limit is active."""
        return self._bucket.rate_per_second

    def note_answer(
        self, named_per_second: float | None, now: clock.Milliseconds
    ) -> bool:
        """Note what an answer of the target names.

        Parameters
        ----------
        named_per_second : float or None
            Requests a second that the target takes, None if it names none.
        now : clock.Milliseconds
            Present monotonic time.

        Returns
        -------
        bool
            Whether the limit begins, ends or changes.
        """
        if named_per_second is None:
            return self._end_if_unnamed(now)
        rate = max(named_per_second, _MIN_RATE_PER_SECOND)
        is_new = not self.is_active or rate != self.rate_per_second
        if not self.is_active:
            self._bucket = bucket.TokenBucket(now)
        if is_new:
            self._bucket.resize(rate, max(rate * _BURST_SECONDS, 1.0), now)
        self._named_at = now
        return is_new

    def reset(self) -> None:
        """Forget the limit, for a target that has started anew."""
        self._named_at = None

    def has_token(self, now: clock.Milliseconds) -> bool:
        """Return whether a request may start."""
        self._bucket.refill(now)
        return self._bucket.level >= 1.0

    def take_token(self, now: clock.Milliseconds) -> bool:
        """Take a token, and return whether one was available."""
        return self._bucket.take(now)

    def find_next_token_time(
        self, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        """Return the monotonic time at which a token is available."""
        self._bucket.refill(now)
        # The rate is never 0, so there always is such a time.
        return now + self._bucket.find_wait() + clock.Milliseconds(1.0)

    def _end_if_unnamed(self, now: clock.Milliseconds) -> bool:
        if self._named_at is None:
            return False
        hold = max(
            _MIN_HOLD,
            clock.Milliseconds.from_seconds(
                _HELD_REQUESTS / self.rate_per_second
            ),
        )
        if now - self._named_at < hold:
            return False
        self._named_at = None
        return True
