"""HTTP interface of the platform's store: request paths and responses."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any
import urllib.parse

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import httpfields
from cyclamenwell.platform import decoder
from cyclamenwell.platform import names

__all__ = [
    "HistoryLostError",
    "build_range_path",
    "build_watch_path",
    "decode_range",
    "decode_watch",
    "find_era",
    "parse_era",
]

_OK = 200
_GONE = 410
# Longest wait that the store accepts for a watch.
MAX_WATCH_WAIT = clock.Milliseconds(30_000)
# Messages between nodes carry numbers of 63 bits.
_MAX_ERA_DIGITS = 18


class HistoryLostError(exceptions.PlatformError):
    """The store has no changes that follow the known revision."""


def build_range_path(
    prefix: str, after: str, may_be_stale: bool = False
) -> str:
    """Build the request path that reads the items under a prefix.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    after : str
        Last key of the previous page, empty for the first page.
    may_be_stale : bool
        Whether the answer may be seconds old. Such a call costs a tenth.
    """
    query = {"prefix": prefix}
    if after:
        query["after"] = after
    if may_be_stale:
        query["serializable"] = "1"
    return _build_path("/v1/kv-range", query)


def build_watch_path(prefix: str, after: int, wait: clock.Milliseconds) -> str:
    """Build the request path that watches for changes under a prefix.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    after : int
        Revision after which changes are returned.
    wait : clock.Milliseconds
        Longest wait for the first change, cut to `MAX_WATCH_WAIT`.
    """
    wait = min(wait, MAX_WATCH_WAIT)
    query = {
        "prefix": prefix,
        "after": str(after),
        "wait_ms": str(int(wait.value)),
    }
    return _build_path("/v1/kv-watch", query)


def find_era(headers: Iterable[httpfields.Header]) -> str:
    """Return the text of the era that an answer states, empty for none."""
    for header in headers:
        if header.name == names.STORE_ERA:
            return header.value
    return ""


def parse_era(text: str) -> int | None:
    """Return the era of the store, None if it cannot be read.

    The store begins a new era when it returns from an older copy.
    """
    if not text.isascii() or not text.isdigit():
        return None
    return int(text) if len(text) <= _MAX_ERA_DIGITS else None


def _build_path(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urllib.parse.urlencode(query)}"


def decode_range(
    status: int, body: bytes
) -> tuple[deployment.PrefixChanges, str]:
    """Decode a page of items.

    Returns
    -------
    deployment.PrefixChanges
        The items of the page and the revision of the store.
    str
        Key to continue after, empty if this is the last page.

    Raises
    ------
    exceptions.PlatformError
        If the status is not 200 or the response is malformed.
    """
    answer = _decode_answer(status, body)
    items = _decode_items(answer, "items")
    next_key = items[-1].key if answer.get("has_more") and items else ""
    changes = deployment.PrefixChanges(-1, _read_revision(answer), items)
    return changes, next_key


def decode_watch(
    status: int, body: bytes, after: int
) -> deployment.PrefixChanges:
    """Decode the response to a watch request.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    body : bytes
        Body of the response.
    after : int
        Revision after which changes were requested.

    Raises
    ------
    HistoryLostError
        If the store has discarded the changes after the revision.
    exceptions.PlatformError
        If the status is not 200 or the response is malformed.
    """
    if status == _GONE:
        raise HistoryLostError(f"store has no history after revision {after}")
    answer = _decode_answer(status, body)
    return deployment.PrefixChanges(
        after, _read_revision(answer), _decode_items(answer, "events")
    )


def _decode_answer(status: int, body: bytes) -> Mapping[str, Any]:
    if status != _OK:
        raise exceptions.PlatformError(f"store responded with status {status}")
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.PlatformError(
            f"response of the store is not JSON: {error}"
        ) from error
    if not isinstance(answer, Mapping):
        raise exceptions.PlatformError(
            "response of the store is not a JSON object"
        )
    return answer


def _decode_items(
    answer: Mapping[str, Any], name: str
) -> tuple[deployment.PublishedItem, ...]:
    items = answer.get(name)
    if not isinstance(items, list):
        raise exceptions.PlatformError(f"response of the store has no {name}")
    if not all(isinstance(item, Mapping) for item in items):
        raise exceptions.PlatformError(f"{name} of the store are not objects")
    return tuple(decoder.decode_item(item) for item in items)


def _read_revision(answer: Mapping[str, Any]) -> int:
    revision = answer.get("store_revision")
    if type(revision) is not int:
        raise exceptions.PlatformError("response of the store has no revision")
    return revision
