"""Retry budget of one root request for its whole call tree."""

from __future__ import annotations

import threading

__all__ = ["RetryAllowance"]


class RetryAllowance:
    """Remaining retries of a request.

    Parameters
    ----------
    retries : int
        Initial number of retries.

    Notes
    -----
    Each attempt and each nested call borrows part of the remaining retries and
    returns the unused ones with its reply. Retries are only transferred or
    spent, so the retries of a whole call tree never exceed those of its root.
    If a reply is lost, the retries lent to it are lost too.
    """

    def __init__(self, retries: int) -> None:
        if retries < 0:
            raise ValueError(f"got {retries} retries, must be at least 0")
        self._lock = threading.Lock()
        self._held = retries

    @property
    def held(self) -> int:
        """Number of remaining retries."""
        return self._held

    def lend(self) -> int:
        """Lend half of the remaining retries, rounded up, to one call.

        Returns
        -------
        int
            Lent retries; the rest remains for concurrent calls.
        """
        with self._lock:
            lent = (self._held + 1) // 2
            self._held -= lent
            return lent

    def take_back(self, lent: int, returned: int) -> None:
        """Take back the retries that a call has not spent.

        Parameters
        ----------
        lent : int
            Number of retries that `lend` returned for the call.
        returned : int
            Number of unused retries in its reply.

        Raises
        ------
        ValueError
            If `returned` is negative or greater than `lent`.
        """
        if not 0 <= returned <= lent:
            raise ValueError(
                f"got {returned} retries back, but {lent} were lent"
            )
        with self._lock:
            self._held += returned

    def spend(self) -> bool:
        """Spend one retry if any remains.

        Returns
        -------
        bool
            Whether a retry was spent.
        """
        with self._lock:
            if self._held == 0:
                return False
            self._held -= 1
            return True
