"""Authentication of organisations by API keys."""

from __future__ import annotations

import hashlib
import secrets

from cyclamenwell import exceptions
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.generated import enumerations

__all__ = ["compute_digest", "identify_owner", "make_key"]

_KEY_BYTES = 32
_SCHEME = "bearer "


def make_key() -> str:
    """Return a new printable key with 256 random bits."""
    return f"cw_{secrets.token_urlsafe(_KEY_BYTES)}"


def compute_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a key, 32 bytes.

    Notes
    -----
    Keys have 256 random bits, so a brute-force search of the digest is
    infeasible even without a salt or a slow hash.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def identify_owner(
    snapshot: snapshots.Snapshot, authorization: str
) -> snapshots.KeyOwner:
    """Return the owner of the key in an Authorization header.

    Parameters
    ----------
    snapshot : snapshots.Snapshot
        Configuration in force.
    authorization : str
        Value of the header, empty if it is missing.

    Returns
    -------
    snapshots.KeyOwner
        Organisation and identifier of the key.

    Raises
    ------
    exceptions.RefusedError
        As UNAUTHENTICATED if there is no bearer key or the key is not valid.
    """
    if not authorization.lower().startswith(_SCHEME):
        raise exceptions.RefusedError(
            enumerations.ErrorKind.UNAUTHENTICATED,
            "the request needs the header Authorization: Bearer <key>",
        )
    key = authorization[len(_SCHEME) :].strip()
    owner = snapshot.key_owners.get(compute_digest(key))
    if owner is None:
        raise exceptions.RefusedError(
            enumerations.ErrorKind.UNAUTHENTICATED,
            "the key is not in force",
        )
    return owner
