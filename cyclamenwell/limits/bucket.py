"""Token bucket whose rate and cap can change."""

from __future__ import annotations

from cyclamenwell import clock

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens for the requests of one organisation at one node.

    Parameters
    ----------
    now : clock.Milliseconds
        Present time.

    Notes
    -----
    The level never exceeds the cap, so in any window of T seconds at most
    ``cap + rate * T`` tokens are taken. The owner holds the lock.
    """

    def __init__(self, now: clock.Milliseconds) -> None:
        self.rate_per_second = 0.0
        self.cap = 0.0
        self.level = 0.0
        self._filled_at = now
        self._fresh = True

    def resize(
        self, rate_per_second: float, cap: float, now: clock.Milliseconds
    ) -> None:
        """Change rate and cap; the level is clipped to the new cap."""
        self.refill(now)
        self.rate_per_second = rate_per_second
        self.cap = cap
        if self._fresh:
            self.level = cap
            self._fresh = False
        self.level = min(self.level, cap)

    def refill(self, now: clock.Milliseconds) -> None:
        """Add the tokens that have come since the last refill."""
        elapsed = max((now - self._filled_at).seconds, 0.0)
        self._filled_at = now
        self.level = min(self.level + elapsed * self.rate_per_second, self.cap)

    def take(self, now: clock.Milliseconds) -> bool:
        """Take one token if there is one."""
        self.refill(now)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def refund(self) -> None:
        """Put back one token."""
        self.level = min(self.level + 1.0, self.cap)
