"""Idempotency keys: UUIDs of version 7, which contain a timestamp."""

from __future__ import annotations

import secrets
import uuid

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations

__all__ = ["make_key", "normalise_key", "read_time"]

_VERSION = 7
_RANDOM_BITS = 74
_TIME_SHIFT = 80
_HIGH_RANDOM_SHIFT = 62
_VARIANT = 0b10


def make_key(time: clock.Clock) -> str:
    """Return a new key with the current wall time as its timestamp."""
    random = secrets.randbits(_RANDOM_BITS)
    high, low = divmod(random, 1 << _HIGH_RANDOM_SHIFT)
    value = int(time.wall_time().value) << _TIME_SHIFT
    value |= _VERSION << 76 | high << 64 | _VARIANT << 62 | low
    return str(uuid.UUID(int=value))


def normalise_key(key: str) -> str:
    """Return a key in canonical notation.

    Parameters
    ----------
    key : str
        UUID of version 7; capitals, braces and a URN prefix are accepted.

    Returns
    -------
    str
        Lower-case hexadecimal digits with hyphens.

    Raises
    ------
    exceptions.RefusedError
        As BAD_REQUEST if the key is not a UUID of version 7.

    Notes
    -----
    Two notations of one UUID are the same key, so the request runs once.
    """
    return str(_parse(key))


def read_time(key: str) -> clock.Milliseconds:
    """Return the timestamp of a key: the wall time at which it was made.

    Raises
    ------
    exceptions.RefusedError
        As BAD_REQUEST if the key is not a UUID of version 7.
    """
    return clock.Milliseconds(_parse(key).int >> _TIME_SHIFT)


def _parse(key: str) -> uuid.UUID:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != _VERSION:
        raise exceptions.RefusedError(
            enumerations.ErrorKind.BAD_REQUEST,
            f"idempotency-key: got {key!r}, must be a UUID of version 7",
        )
    return parsed
