"""Replication of published items from the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import random

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import prefix_replica
from cyclamenwell.generated import deployment
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.platform import names
from cyclamenwell.platform import store
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import http_client

__all__ = ["StoreReader"]

_CONNECT_TIMEOUT = clock.Milliseconds(1000)
# The store answers in milliseconds, a slow one in some hundred milliseconds.
_READ_TIMEOUT = clock.Milliseconds(3000)
# A watch times out this long after its maximum wait.
_WATCH_MARGIN = clock.Milliseconds(1500)
# The answer to a watch may be lost, which a node notices at the end of the
# watch. The waits are spread, as one change ends the watches of all readers.
_OPERATOR_WATCH_WAIT = clock.Milliseconds(3_000)
_TARGET_WATCH_WAIT = clock.Milliseconds(6_000)
_WAIT_SPREAD = 0.6
# Average pause of a lone reader between two watches of the targets: changes
# within it arrive in one answer, and each call has a cost.
_MIN_TARGET_PAUSE = clock.Milliseconds(600)
# Average pause for each node that reads. The pauses are spread widely, so one
# of the readers notices a change after about this time, however many they are.
_TARGET_PAUSE_PER_READER = clock.Milliseconds(250)
_PAUSE_SPREAD = 0.9
# Other nodes confirm the first read of a node within this time.
_CONFIRMATION_WAIT = clock.Milliseconds(1500)
_CONFIRMATION_CHECK = clock.Milliseconds(20)
# Parts of the store's read rate that watches of the targets and of operators'
# items may use while each of them returns immediately; the rest is for starts.
_TARGET_RATE_PART = 0.5
_OPERATOR_RATE_PART = 0.25
# If other nodes have heard from the store within this time, only this node has
# lost it, and no entries have lapsed.
_MIN_OUTAGE = clock.Milliseconds(1000)
# Calls that should be answered at once fail at least as long in an outage. One
# that is refused or reset is answered at the next attempt.
_MIN_FAILING = clock.Milliseconds(300)
# Each time-out of a call is at least as long.
_MIN_TIMEOUT = clock.Milliseconds(1000)
# After a loss the next watch returns at once, whether anything has changed or
# not: a watch that waits does not tell whether the store is away.
_PROBE_WAIT = clock.Milliseconds(1)
# A watch that fails after this time has been waiting. The store may cut it and
# answer every other call.
_MAX_PROMPT = clock.Milliseconds(500)
_MIN_BACKOFF = clock.Milliseconds(150)
_MAX_BACKOFF = clock.Milliseconds(2000)
# A watch that ends without changes before this part of its wait was cut.
_MIN_WAITED_PART = 0.5


class _Backoff:
    """Pauses of a loop, which double until an answer leads to progress.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._pause = _MIN_BACKOFF

    async def wait(self) -> None:
        """Wait for the present pause and lengthen the next one."""
        jitter = self._random.uniform(0.5, 1.0)
        pause, self._pause = self._pause, min(self._pause * 2, _MAX_BACKOFF)
        await asyncio.sleep((pause * jitter).seconds)

    def reset(self) -> None:
        """Begin again with the shortest pause."""
        self._pause = _MIN_BACKOFF


class StoreReader:
    """Keeps the published state up to date by listing and watching.

    Parameters
    ----------
    context : contexts.NodeContext
        Dependencies shared by all components of the node.
    """

    def __init__(self, context: contexts.NodeContext) -> None:
        settings, time = context.settings.store, context.time
        self._time = time
        self._state = context.state
        self._random = context.generator
        self._log = context.log
        self._metrics = context.metrics
        self._reads_per_second = settings.reads_per_second
        address = settings.address
        self._host = f"{address.host}:{address.port}"
        self._pool = http_client.HttpPool(
            time, address.host, address.port, _CONNECT_TIMEOUT
        )
        self._duty = context.duty
        self._lost_since: clock.Milliseconds | None = None
        # Since when calls that should be answered at once have failed.
        self._failing_since: clock.Milliseconds | None = None

    async def watch_operators(self) -> None:
        """Watch the configuration and the data centres taken out."""
        await self._list_and_watch(
            names.OPERATOR_PREFIX,
            self._state.operators,
            self._state.apply_operators,
            _OPERATOR_WATCH_WAIT,
            self._find_operator_pause,
        )

    async def watch_targets(self) -> None:
        """Watch the targets of all services."""
        await self._list_and_watch(
            names.TARGET_PREFIX,
            self._state.targets,
            self._state.apply_targets,
            _TARGET_WATCH_WAIT,
            self._find_target_pause,
        )

    async def _list_and_watch(
        self,
        prefix: str,
        replica: prefix_replica.PrefixReplica,
        apply: Callable[..., None],
        wait: clock.Milliseconds,
        find_pause: Callable[[], clock.Milliseconds],
    ) -> None:
        """List all items, then watch for changes, until cancelled."""
        backoff = _Backoff(self._random)
        is_listed = await self._begin(prefix, replica, apply)
        while True:
            if is_listed:
                await self._wait_for_duty(prefix)
            asked_at = self._time.now()
            is_probe = self._lost_since is not None
            watch_wait = _PROBE_WAIT
            if not is_probe:
                watch_wait = wait * self._random.uniform(
                    1.0 - _WAIT_SPREAD, 1.0 + _WAIT_SPREAD
                )
            try:
                if is_listed:
                    changes = await self._watch(prefix, replica, watch_wait)
                else:
                    changes = await self._list_all(prefix, replica)
            except store.HistoryLostError as error:
                self._log.record("store.history_lost", error=str(error))
                is_listed = False
                self._record_reply()
                await backoff.wait()
                continue
            except (OSError, exceptions.CyclamenwellError) as error:
                is_prompt = self._time.now() - asked_at <= _MAX_PROMPT
                self._record_loss(prefix, error, is_prompt)
                if not is_prompt:
                    backoff.reset()
                await backoff.wait()
                continue
            waited = self._time.now() - asked_at
            is_cut = (
                is_listed
                and not changes.items
                and waited < watch_wait * _MIN_WAITED_PART
            )
            # A list or a probe alone is no progress: the next watch may fail
            # again.
            if is_listed and not is_cut and not is_probe:
                backoff.reset()
            is_listed = True
            # Has to precede `apply`: the first answer after an outage already
            # lacks the entries that expired in it.
            self._record_reply()
            self._duty.note_store_answer()
            self._record_rejections(changes)
            apply(changes, is_confirmed=True)
            replica.is_provisional = False
            if is_cut:
                await backoff.wait()
            jitter = self._random.uniform(
                1.0 - _PAUSE_SPREAD, 1.0 + _PAUSE_SPREAD
            )
            await asyncio.sleep((find_pause() * jitter).seconds)

    async def _begin(
        self,
        prefix: str,
        replica: prefix_replica.PrefixReplica,
        apply: Callable[..., None],
    ) -> bool:
        """Read once and let other nodes confirm it; return whether they have.

        The first read is a cheap one whose answer may be seconds old. It tells
        a starting node which other nodes there are.
        """
        try:
            changes = await self._list_all(prefix, replica, may_be_stale=True)
        except (OSError, exceptions.CyclamenwellError) as error:
            self._record_loss(prefix, error, is_prompt=True)
            return False
        if not replica.revision:
            replica.is_provisional = True
            apply(changes)
        waited = clock.ZERO
        while replica.is_provisional:
            # Before the targets are read the duty is not known.
            is_awaited = prefix != names.TARGET_PREFIX and (
                not self._state.targets.revision
            )
            if waited > _CONFIRMATION_WAIT:
                return False
            if self._duty.is_chosen and not is_awaited:
                return False
            await asyncio.sleep(_CONFIRMATION_CHECK.seconds)
            waited += _CONFIRMATION_CHECK
        return True

    async def _wait_for_duty(self, prefix: str) -> None:
        """Wait while other nodes read the store for this one."""
        if self._duty.is_reader:
            return
        # An outage no longer concerns this node.
        self._lost_since = self._failing_since = None
        self._log.record_routine("store.left_to_readers", prefix=prefix)
        while not self._duty.is_reader:
            await asyncio.sleep(self._duty.check_interval.seconds)
        self._log.record(
            "store.read_again",
            prefix=prefix,
            store_age_ms=self._duty.store_age_ms,
            reader_silence_ms=self._duty.reader_silence.value,
        )

    def _find_operator_pause(self) -> clock.Milliseconds:
        """Return the average pause, within the read rate of all nodes."""
        return self._find_rate_pause(_OPERATOR_RATE_PART)

    def _find_target_pause(self) -> clock.Milliseconds:
        """Return the average pause, within the read rate of all nodes."""
        return max(
            _MIN_TARGET_PAUSE,
            _TARGET_PAUSE_PER_READER * self._duty.readers,
            self._find_rate_pause(_TARGET_RATE_PART),
        )

    def _find_rate_pause(self, rate_part: float) -> clock.Milliseconds:
        """Return the pause with which all readers use a part of the rate."""
        rate = self._reads_per_second * rate_part
        return clock.Milliseconds(self._duty.readers / rate * 1000.0)

    async def _list_all(
        self,
        prefix: str,
        replica: prefix_replica.PrefixReplica,
        may_be_stale: bool = False,
    ) -> deployment.PrefixChanges:
        """Return all items, at the revision of the oldest page.

        Which revision a stale page shows is not known, so its newest item
        decides: later changes are read again.
        """
        after = ""
        items: list[deployment.PublishedItem] = []
        revisions: list[int] = []
        eras: set[int] = set()
        kind = "stale_range" if may_be_stale else "range"
        while True:
            path = store.build_range_path(prefix, after, may_be_stale)
            answer = await self._call(kind, path, _READ_TIMEOUT)
            page, after = store.decode_range(answer.status, answer.body)
            eras.add(self._read_era(answer, replica))
            items += page.items
            if not may_be_stale:
                revisions.append(page.revision)
            elif page.items:
                revisions.append(max(item.revision for item in page.items))
            if not after:
                break
        if len(eras) > 1 or min(eras) < replica.era:
            raise store.HistoryLostError(
                f"list of eras {sorted(eras)} does not follow era {replica.era}"
            )
        revision = min(revisions, default=0)
        return deployment.PrefixChanges(-1, revision, tuple(items), min(eras))

    async def _watch(
        self,
        prefix: str,
        replica: prefix_replica.PrefixReplica,
        wait: clock.Milliseconds,
    ) -> deployment.PrefixChanges:
        known_era, after = replica.era, replica.revision
        path = store.build_watch_path(prefix, after, wait)
        answer = await self._call("watch", path, wait + _WATCH_MARGIN)
        changes = store.decode_watch(answer.status, answer.body, after)
        era = self._read_era(answer, replica)
        if era != known_era:
            # The revision asked for has been given out to another change.
            raise store.HistoryLostError(
                f"watch in era {era} after a revision of era {known_era}"
            )
        return dataclasses.replace(changes, era=era)

    def _read_era(
        self, answer: calls.HttpAnswer, replica: prefix_replica.PrefixReplica
    ) -> int:
        """Return the era that an answer states, else the known one."""
        text = store.find_era(answer.headers)
        era = store.parse_era(text)
        if era is not None:
            return era
        if text:
            self._log.record_routine("store.era_unreadable", value=text)
        return replica.era

    async def _call(
        self, kind: str, path: str, timeout: clock.Milliseconds
    ) -> calls.HttpAnswer:
        """Send a request and return its answer."""
        data = encoding.encode_request("GET", path, [("host", self._host)], b"")
        outcome = "failed"
        connection = self._pool.acquire_idle() or await self._pool.open()
        try:
            connection.send(data)
            answer = await connection.receive(timeout)
            outcome = str(answer.status)
        except BaseException:
            # A late answer would be taken for that of the next call.
            connection.close()
            raise
        finally:
            self._metrics.count("store_calls", kind, outcome)
        self._pool.release(connection, _MAX_BACKOFF)
        return answer

    def _record_rejections(self, changes: deployment.PrefixChanges) -> None:
        for item in changes.items:
            if item.rejection:
                self._log.record_routine(
                    "store.item_rejected",
                    key=item.key,
                    revision=item.revision,
                    reason=item.rejection,
                )

    def _record_loss(
        self, prefix: str, error: Exception, is_prompt: bool
    ) -> None:
        """Note that a call failed.

        Parameters
        ----------
        prefix : str
            Prefix of the call.
        error : Exception
            Why it failed.
        is_prompt : bool
            Whether it failed at once, and not while it was waiting.
        """
        now = self._time.now()
        if self._lost_since is None:
            self._lost_since = now
            self._log.record("store.lost", prefix=prefix, error=repr(error))
        if self._failing_since is None:
            if isinstance(error, TimeoutError):
                self._failing_since = now - _MIN_TIMEOUT
            elif is_prompt:
                self._failing_since = now
        self._pool.close_idle()

    def _record_reply(self) -> None:
        """Note that the store has replied, which ends an outage."""
        if self._lost_since is None:
            return
        now, store_age = self._time.now(), self._duty.store_age
        failing_since = self._failing_since
        if failing_since is None:
            failing_since = now
        # The store may have served other nodes all the while, or one of them
        # has reached it before this one.
        is_outage = now - failing_since >= _MIN_FAILING and (
            store_age is None or store_age >= _MIN_OUTAGE
        )
        if is_outage and not self._state.has_outage_ended_since(failing_since):
            self._state.note_outage_end()
        self._log.record(
            "store.regained",
            away_ms=round((now - self._lost_since).value),
            is_outage=is_outage,
        )
        self._lost_since = self._failing_since = None
