"""Token bucket whose rate and cap can change."""

from __future__ import annotations

from cyclamenwell import clock

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens for the requests of one organisation at one node.

    Parameters
    ----------
    now : clock.Milliseconds
        Time from which tokens come in.

    Notes
    -----
    A bucket starts empty and only refilling, a refund or tokens moved from
    another bucket raise its level, so that capacity which moves between nodes
    brings no tokens of its own. The owner holds the lock.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self.rate_per_second = 0.0
        self.cap = 0.0
        self.level = 0.0
        self.filled_at = now

    def resize(
        self, rate_per_second: float, cap: float, now: clock.Milliseconds
    ) -> None:
        """Change rate and cap; the level is clipped to the new cap."""
        self.refill(now)
        self.rate_per_second = rate_per_second
        self.cap = cap
        self.level = min(self.level, cap)

    def refill(self, now: clock.Milliseconds) -> None:
        """Add the tokens that have come since the last refill."""
        if now <= self.filled_at:
            return
        elapsed = (now - self.filled_at).seconds
        self.filled_at = now
        self.level = min(self.level + elapsed * self.rate_per_second, self.cap)

    def take(self, now: clock.Milliseconds) -> bool:
        """Take one token if there is one."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def refund(self) -> None:
        """Put back one token, as far as it fits under the cap."""
        self.add(1.0)

    def add(self, tokens: float) -> None:
        """Add tokens that another bucket has given up."""
        self.level = min(self.level + tokens, self.cap)

    def find_wait(self) -> clock.Milliseconds | None:
        """Return the time until there is a token, None if there is no end."""
        if self.level >= 1.0:
            return clock.ZERO
        if self.cap < 1.0 or self.rate_per_second <= 0:
            return None
        missing = (1.0 - self.level) / self.rate_per_second
        return clock.Milliseconds.from_seconds(missing)
