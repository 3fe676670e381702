"""Calls to the platform's store: paths to ask for and answers to decode."""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any
import urllib.parse

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.platform import decoder

__all__ = [
    "HistoryLostError",
    "build_range_path",
    "build_watch_path",
    "decode_range",
    "decode_watch",
]

_OK = 200
_GONE = 410
# The store of the platform lets a watch wait for at most this long.
MAX_WATCH_WAIT = clock.Milliseconds(30_000)


class HistoryLostError(exceptions.PlatformError):
    """The store no longer has the history after a revision."""


def build_range_path(prefix: str, after: str) -> str:
    """Return the path that reads the items under a prefix.

    Parameters
    ----------
    prefix : str
        Beginning of the keys.
    after : str
        Key after which the page begins, empty for the first page.
    """
    query = {"prefix": prefix}
    if after:
        query["after"] = after
    return _build_path("/v1/kv-range", query)


def build_watch_path(prefix: str, after: int, wait: clock.Milliseconds) -> str:
    """Return the path that waits for changes under a prefix.

    Parameters
    ----------
    prefix : str
        Beginning of the keys.
    after : int
        Revision after which changes are wanted.
    wait : clock.Milliseconds
        Longest wait for the first change.
    """
    wait = min(wait, MAX_WATCH_WAIT)
    query = {
        "prefix": prefix,
        "after": str(after),
        "wait_ms": str(int(wait.value)),
    }
    return _build_path("/v1/kv-watch", query)


def _build_path(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urllib.parse.urlencode(query)}"


def decode_range(
    status: int, body: bytes
) -> tuple[deployment.PrefixChanges, str]:
    """Decode a page of items.

    Returns
    -------
    deployment.PrefixChanges
        The items of the page with the store's revision.
    str
        Key after which the next page begins, empty after the last page.

    Raises
    ------
    exceptions.PlatformError
        If the store refused the call or the answer can not be read.
    """
    answer = _decode_answer(status, body)
    items = _decode_items(answer, "items")
    following = items[-1].key if answer.get("has_more") and items else ""
    changes = deployment.PrefixChanges(-1, _read_revision(answer), items)
    return changes, following


def decode_watch(
    status: int, body: bytes, after: int
) -> deployment.PrefixChanges:
    """Decode the changes that a watch returned.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    body : bytes
        Body of the answer.
    after : int
        Revision after which changes were asked for.

    Raises
    ------
    HistoryLostError
        If the store has dropped the changes after the revision.
    exceptions.PlatformError
        If the store refused the call or the answer can not be read.
    """
    if status == _GONE:
        raise HistoryLostError(f"no history after revision {after}")
    answer = _decode_answer(status, body)
    return deployment.PrefixChanges(
        after, _read_revision(answer), _decode_items(answer, "events")
    )


def _decode_answer(status: int, body: bytes) -> Mapping[str, Any]:
    if status != _OK:
        raise exceptions.PlatformError(f"the store answered {status}")
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.PlatformError(
            f"the store's answer is no JSON: {error}"
        ) from error
    if not isinstance(answer, Mapping):
        raise exceptions.PlatformError("the store's answer is no object")
    return answer


def _decode_items(
    answer: Mapping[str, Any], name: str
) -> tuple[deployment.PublishedItem, ...]:
    items = answer.get(name)
    if not isinstance(items, list):
        raise exceptions.PlatformError(f"the store's answer has no {name}")
    return tuple(decoder.decode_item(item) for item in items)


def _read_revision(answer: Mapping[str, Any]) -> int:
    revision = answer.get("store_revision")
    if type(revision) is not int:
        raise exceptions.PlatformError("the store's answer has no revision")
    return revision
