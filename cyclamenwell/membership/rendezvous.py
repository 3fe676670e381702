"""Rendezvous hashing."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

__all__ = ["choose_members", "compute_score"]

_SCORE_BYTES = 8


def compute_score(key: str, member: str) -> int:
    """Return the hash of a key and a member, the same at every node."""
    text = f"{key}\n{member}"
    digest = hashlib.blake2b(text.encode(), digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def choose_members(
    key: str, members: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the members with the highest scores for a key.

    Parameters
    ----------
    key : str
        Key to place.
    members : iterable of str
        Candidates.
    count : int
        Number of members to choose, at most all candidates.

    Returns
    -------
    tuple of str
        Members, highest score first. Adding or removing a candidate replaces
        at most one member of the result.
    """
    ranked = sorted(
        members, key=lambda member: compute_score(key, member), reverse=True
    )
    return tuple(ranked[:count])
