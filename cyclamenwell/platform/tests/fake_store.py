"""In-memory fake of the platform's store with injectable failures."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
from typing import Any
import urllib.parse

from cyclamenwell import clock
from cyclamenwell.node import http1
from cyclamenwell.platform import names
from cyclamenwell.sidecar import streams
from cyclamenwell.telemetry import structured_log

__all__ = ["Copy", "FakeStore"]

_IDLE_TIMEOUT = clock.Milliseconds(60_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """What a store held at a revision."""

    revision: int
    items: dict[str, _Item]


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    """A revision of an item; `value` is None if the item was removed."""

    key: str
    revision: int
    value: bytes | None


class FakeStore:
    """Serves range and watch requests as the platform's store does.

    Parameters
    ----------
    log : structured_log.StructuredLog
        Log for failures of connections.
    page_size : int
        Number of items on a page.

    Notes
    -----
    `mode` is ``up``, ``refusing`` (503 to all requests), ``silent`` (no
    responses), ``losing`` (connections are closed before the response),
    ``forgetting`` (410 to all watches), ``older`` (the same, and lists of all
    items are at revision 1) or ``hasty`` (watches return at once without
    events).
    Serializable reads return the items at the last call of `hold_stale_reads`,
    if there was one.
    """

    def __init__(
        self, log: structured_log.StructuredLog, page_size: int = 500
    ) -> None:
        self._log = log
        self._page_size = page_size
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._server: streams.Listener | None = None
        self.revision = 1
        # Text of the header that names the era, None to leave it out.
        self.era: str | None = "1"
        self.mode = "up"
        self.reads = 0
        self.full_reads = 0  # Of all items of a prefix, not serializable.
        self._cuts = 0
        self._stale_items: dict[str, _Item] | None = None
        self._stale_pages: int | None = None

    @property
    def port(self) -> int:
        """Port on which the store listens."""
        return self._server.port

    async def start(self, host: str) -> None:
        """Start to accept connections."""
        self._server = streams.Listener(host, 0, self._serve, self._log)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def put(self, key: str, value: Any) -> None:
        """Write a value as JSON; bytes are written unchanged."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(key, raw)

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if key in self._items:
            self._write(key, None)

    def hold_stale_reads(self, pages: int | None = None) -> None:
        """Let serializable reads return the present items from now on.

        Parameters
        ----------
        pages : int, optional
            Number of pages that do so, by default all.
        """
        self._stale_items = dict(self._items)
        self._stale_pages = pages

    def forget_history(self) -> None:
        """Discard the history, so that watches after older revisions fail."""
        self._compacted_revision = self.revision
        self._history.clear()
        self._notify_watches()

    def take_copy(self) -> Copy:
        """Return a copy of what the store holds."""
        return Copy(self.revision, dict(self._items))

    def restore(self, copy: Copy, era: str | None = "2") -> None:
        """Return to an earlier copy; what was written since is gone."""
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = [
            item for item in self._history if item.revision <= copy.revision
        ]
        self.era = era
        self._notify_watches()

    def cut_waiting(self) -> None:
        """Close the connections of the watches that are waiting."""
        self._cuts += 1
        self._notify_watches()

    def _write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        item = _Item(key, self.revision, value)
        if value is None:
            del self._items[key]
        else:
            self._items[key] = item
        self._history.append(item)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, stream: streams.Stream) -> None:
        parser = http1.RequestParser()
        while True:
            while (received := parser.pop_request()) is None:
                data = await stream.receive(_IDLE_TIMEOUT)
                if not data:
                    return
                parser.feed(data)
            self.reads += 1
            if self.mode == "losing":
                return
            if self.mode == "silent":
                await asyncio.sleep(_IDLE_TIMEOUT.seconds)
            status, body = 503, {}
            if self.mode not in ("refusing", "silent"):
                status, body = await self._answer(received.request.path)
            if not status:
                return
            encoded = json.dumps(body).encode()
            head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(encoded)}\r\n"
            if self.era is not None:
                head += f"{names.STORE_ERA}: {self.era}\r\n"
            stream.send(head.encode() + b"\r\n" + encoded)

    async def _answer(self, path: str) -> tuple[int, dict[str, Any]]:
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/v1/kv-range":
            items = self._items
            if "serializable" not in query:
                self.full_reads += 1
            elif self._stale_items is not None:
                items = self._take_stale_items()
            answer = self._read_range(
                items, query["prefix"], query.get("after", "")
            )
            if self.mode == "older":
                answer["store_revision"] = 1
            return 200, answer
        return await self._watch(
            query["prefix"], int(query["after"]), int(query["wait_ms"])
        )

    def _take_stale_items(self) -> dict[str, _Item]:
        """Return the items for the next serializable read."""
        if self._stale_pages is None:
            return self._stale_items
        self._stale_pages -= 1
        return self._items if self._stale_pages < 0 else self._stale_items

    def _read_range(
        self, items: dict[str, _Item], prefix: str, after: str
    ) -> dict[str, Any]:
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = keys[: self._page_size]
        return {
            "items": [_encode(items[key]) for key in page],
            "has_more": len(keys) > len(page),
            "store_revision": self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000.0
        cuts = self._cuts
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return 410, {}
            if self.mode in ("forgetting", "older"):
                return 410, {}
            if self.mode == "hasty":
                return 200, {"events": [], "store_revision": self.revision}
            events = [
                _encode(item)
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            if self._cuts != cuts:
                return 0, {}
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue


def _encode(item: _Item) -> dict[str, Any]:
    if item.value is None:
        return {"key": item.key, "revision": item.revision, "tombstone": True}
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created_rev": item.revision,
        "lease": 0,
    }
