"""Bound on the retries that a node sends when everything fails."""

from __future__ import annotations

import threading

__all__ = ["RetryBudget"]

_MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Retries in proportion to first attempts.

    Notes
    -----
    Each first attempt earns `ratio` retries, of which at most 10 are saved.
    The retries of a node are at most ``ratio * first attempts + 10``, and so
    are those of the fleet with the sums of both.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = _MAX_SAVED_RETRIES

    def earn(self, ratio: float) -> None:
        """Count a first attempt.

        Parameters
        ----------
        ratio : float
            Retries allowed for each first attempt, from the fleet document.
        """
        with self._lock:
            self._saved = min(self._saved + ratio, _MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Use one retry if one is saved.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
