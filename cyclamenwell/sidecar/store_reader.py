"""Reading and watching the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import published
from cyclamenwell.generated import deployment
from cyclamenwell.node import encoding
from cyclamenwell.platform import names
from cyclamenwell.platform import store
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import http_client

__all__ = ["StoreReader"]

_CONNECT_WAIT = clock.Milliseconds(1000)
# The store answers in milliseconds; a slow one may take some hundred.
_READ_WAIT = clock.Milliseconds(3000)
# A watch that has gone silent is noticed after its wait and this much more.
_WATCH_SLACK = clock.Milliseconds(1500)
_OPERATOR_WATCH = clock.Milliseconds(10_000)
_TARGET_WATCH = clock.Milliseconds(10_000)
# Between two watches of the targets: changes of a moment come in one answer,
# and each call has a price.
_TARGET_PAUSE = clock.Milliseconds(1000)
# Part of the store's rate of reads that watches of the targets may take while
# each of them returns at once; the rest is for starts and other watches.
_WATCH_PART = 0.5
_FIRST_BACKOFF = clock.Milliseconds(150)
_LONGEST_BACKOFF = clock.Milliseconds(2000)


class StoreReader:
    """Keeps the published state up to date from the store.

    Parameters
    ----------
    context : contexts.NodeContext
        What all parts of the node share.
    """

    def __init__(self, context: contexts.NodeContext) -> None:
        settings, time = context.settings.store, context.time
        self._time = time
        self._state = context.state
        self._random = context.generator
        self._log = context.log
        self._figures = context.figures
        self._reads_per_second = settings.reads_per_second
        address = settings.address
        self._host = f"{address.host}:{address.port}"
        self._pool = http_client.HttpPool(
            time, address.host, address.port, _CONNECT_WAIT
        )
        self._lost_since: clock.Milliseconds | None = None
        self.last_answer = clock.ZERO

    async def follow_operators(self) -> None:
        """Follow configuration and data centres taken out."""
        await self._follow(
            names.OPERATOR_PREFIX,
            self._state.operators,
            self._state.apply_operators,
            _OPERATOR_WATCH,
            lambda: clock.ZERO,
        )

    async def follow_targets(self) -> None:
        """Follow the targets of all services."""
        await self._follow(
            names.TARGET_PREFIX,
            self._state.targets,
            self._state.apply_targets,
            _TARGET_WATCH,
            self._find_target_pause,
        )

    async def _follow(
        self,
        prefix: str,
        replica: published.PrefixReplica,
        apply: Callable[[deployment.PrefixChanges], None],
        wait: clock.Milliseconds,
        find_pause: Callable[[], clock.Milliseconds],
    ) -> None:
        """Read all items, then watch for changes, until cancelled."""
        backoff = _FIRST_BACKOFF
        is_whole = False
        while True:
            try:
                if is_whole:
                    changes = await self._watch(prefix, replica.revision, wait)
                else:
                    changes = await self._read_all(prefix)
            except store.HistoryLostError as error:
                self._log.record("store.history_lost", error=str(error))
                is_whole = False
                continue
            except (OSError, exceptions.CyclamenwellError) as error:
                self._note_loss(prefix, error)
                spread = self._random.uniform(0.5, 1.0)
                await asyncio.sleep((backoff * spread).seconds)
                backoff = min(backoff * 2, _LONGEST_BACKOFF)
                continue
            backoff = _FIRST_BACKOFF
            is_whole = True
            # First: entries that lapsed in an outage are missing already in
            # the first answer after it.
            self._note_answer()
            apply(changes)
            spread = self._random.uniform(0.8, 1.2)
            await asyncio.sleep((find_pause() * spread).seconds)

    def _find_target_pause(self) -> clock.Milliseconds:
        """Return the pause that keeps the whole fleet within the rate."""
        nodes = len(self._state.hosts)
        rate = self._reads_per_second * _WATCH_PART
        return max(_TARGET_PAUSE, clock.Milliseconds(nodes / rate * 1000.0))

    async def _read_all(self, prefix: str) -> deployment.PrefixChanges:
        """Return all items; pages after the first may be newer."""
        after = ""
        items: list[deployment.PublishedItem] = []
        revision = -1
        while True:
            path = store.build_range_path(prefix, after)
            status, body = await self._call("range", path, _READ_WAIT)
            page, after = store.decode_range(status, body)
            items += page.items
            if revision < 0:
                revision = page.revision
            if not after:
                return deployment.PrefixChanges(-1, revision, tuple(items))

    async def _watch(
        self,
        prefix: str,
        after: int,
        wait: clock.Milliseconds,
    ) -> deployment.PrefixChanges:
        path = store.build_watch_path(prefix, after, wait)
        status, body = await self._call("watch", path, wait + _WATCH_SLACK)
        return store.decode_watch(status, body, after)

    async def _call(
        self, kind: str, path: str, max_wait: clock.Milliseconds
    ) -> tuple[int, bytes]:
        """Return status and body of an answer."""
        data = encoding.encode_request("GET", path, [("host", self._host)], b"")
        outcome = "failed"
        connection = self._pool.take_idle() or await self._pool.open()
        try:
            connection.send(data)
            answer = await connection.receive(max_wait)
            outcome = str(answer.status)
        except BaseException:
            # A lost answer would be taken for that of the next call.
            connection.close()
            raise
        finally:
            self._figures.count("store_calls", kind, outcome)
        self._pool.give_back(connection, _LONGEST_BACKOFF)
        return answer.status, answer.body

    def _note_loss(self, prefix: str, error: Exception) -> None:
        if self._lost_since is None:
            self._lost_since = self._time.now()
            self._log.record("store.lost", prefix=prefix, error=repr(error))
        self._pool.close_idle()

    def _note_answer(self) -> None:
        self.last_answer = self._time.now()
        if self._lost_since is None:
            return
        away = self._time.now() - self._lost_since
        self._lost_since = None
        self._state.note_outage_end()
        self._log.record("store.regained", away_ms=round(away.value))
