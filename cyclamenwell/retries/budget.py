"""Retry budget of a node, which prevents retry storms."""

from __future__ import annotations

import threading

__all__ = ["RetryBudget"]

_MAX_BALANCE = 10.0


class RetryBudget:
    """Limits retries in proportion to first attempts.

    Notes
    -----
    Each first attempt adds `ratio` retries to the balance, which is at most 10.
    A node therefore sends at most ``ratio * first attempts + 10`` retries. The
    sum over the nodes bounds the retries of the fleet.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._balance = _MAX_BALANCE

    def deposit(self, ratio: float) -> None:
        """Add the retries for one first attempt.

        Parameters
        ----------
        ratio : float
            Retries for each first attempt, from the fleet document.
        """
        with self._lock:
            self._balance = min(self._balance + ratio, _MAX_BALANCE)

    def spend(self) -> bool:
        """Spend one retry if the balance allows it.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
