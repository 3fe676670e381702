"""Token bucket whose refill rate and capacity can change."""

from __future__ import annotations

from cyclamenwell import clock

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket of one organisation at one node.

    Parameters
    ----------
    now : clock.Milliseconds
        Time from which the bucket refills.

    Notes
    -----
    A bucket starts empty. Its level rises only by refilling, by refunds and by
    tokens transferred from another bucket, so moving capacity between nodes
    creates no tokens. The class is not thread-safe; the owner holds a lock.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self.rate_per_second = 0.0
        self.capacity = 0.0
        self.level = 0.0
        self.refilled_at = now

    def resize(
        self, rate_per_second: float, capacity: float, now: clock.Milliseconds
    ) -> None:
        """Change rate and capacity and clip the level to the new capacity."""
        self.refill(now)
        self.rate_per_second = rate_per_second
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def refill(self, now: clock.Milliseconds) -> None:
        """Add the tokens that have accrued since the last refill."""
        if now <= self.refilled_at:
            return
        elapsed = (now - self.refilled_at).seconds
        self.refilled_at = now
        self.level = min(
            self.level + elapsed * self.rate_per_second, self.capacity
        )

    def take(self, now: clock.Milliseconds) -> bool:
        """Take one token; return whether one was available."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def refund(self) -> None:
        """Return one token, up to the capacity of the bucket."""
        self.add(1.0)

    def add(self, tokens: float) -> None:
        """Add tokens transferred from another bucket, up to the capacity."""
        self.level = min(self.level + tokens, self.capacity)

    def find_wait(self) -> clock.Milliseconds | None:
        """Return the time until a token is available, None for never."""
        if self.level >= 1.0:
            return clock.ZERO
        if self.capacity < 1.0 or self.rate_per_second <= 0:
            return None
        missing = (1.0 - self.level) / self.rate_per_second
        return clock.Milliseconds.from_seconds(missing)
