"""Bound on the retries of one root request over its whole call chain."""

from __future__ import annotations

import threading

__all__ = ["RetryAllowance"]


class RetryAllowance:
    """Retries that a request still holds.

    Parameters
    ----------
    retries : int
        Retries held at the start.

    Notes
    -----
    A further call borrows part of what is held and gives back the rest with
    its reply. Units are only moved or spent, so the retries of a whole call
    tree never exceed those of its root. A reply that is lost gives nothing
    back.
    """

    def __init__(self, retries: int) -> None:
        if retries < 0:
            raise ValueError(f"got {retries} retries, must be at least 0")
        self._lock = threading.Lock()
        self._held = retries

    @property
    def held(self) -> int:
        """Retries held now."""
        return self._held

    def lend(self) -> int:
        """Take out the larger half, for one further call.

        Returns
        -------
        int
            Retries taken out; the rest stays for calls made at the same time.
        """
        with self._lock:
            lent = (self._held + 1) // 2
            self._held -= lent
            return lent

    def settle(self, lent: int, returned: int) -> None:
        """Put back what a further call has not spent.

        Parameters
        ----------
        lent : int
            Retries that `lend` took out for the call.
        returned : int
            Retries that its reply returned.

        Raises
        ------
        ValueError
            If more comes back than was lent, or less than nothing.
        """
        if not 0 <= returned <= lent:
            raise ValueError(f"got {returned} retries back, {lent} were lent")
        with self._lock:
            self._held += returned

    def spend(self) -> bool:
        """Use one retry.

        Returns
        -------
        bool
            Whether there was one.
        """
        with self._lock:
            if self._held == 0:
                return False
            self._held -= 1
            return True
