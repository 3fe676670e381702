"""Start, reload and stop of a sidecar node."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import gc
import pathlib
import random
import signal
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import published
from cyclamenwell.generated import deployment
from cyclamenwell.generated import sidecar
from cyclamenwell.platform import settings as settings_reader
from cyclamenwell.retries import arrivals
from cyclamenwell.routing import placement as placements
from cyclamenwell.routing import saturation
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import figures as figure_module
from cyclamenwell.sidecar import front as fronts
from cyclamenwell.sidecar import handlers
from cyclamenwell.sidecar import operations
from cyclamenwell.sidecar import parts
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import shares
from cyclamenwell.sidecar import spread as spreads
from cyclamenwell.sidecar import store_reader
from cyclamenwell.sidecar import streams
from cyclamenwell.telemetry import journal

__all__ = ["Process"]

_SETTINGS_INTERVAL = clock.Milliseconds(1000)
# The platform asks for readiness once a second and takes an instance out
# after two misses; callers send new requests until then.
_READINESS_WAIT = clock.Milliseconds(3200)
# Requests that still run are given up so long before SIGKILL comes.
_KILL_MARGIN = clock.Milliseconds(800)
_STOP_INTERVAL = clock.Milliseconds(100)


class Process:
    """A sidecar node.

    Parameters
    ----------
    path : pathlib.Path
        Settings file, read again when it changes.
    settings : sidecar.SidecarSettings
        Settings at the start.
    time : clock.Clock
        Clock of the node.
    log : journal.Journal
        Takes all decisions.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: sidecar.SidecarSettings,
        time: clock.Clock,
        log: journal.Journal,
    ) -> None:
        self._path = path
        self._settings = settings
        self._time = time
        self._log = log
        self._peer_connections = 0  # Accepted since the start.
        self._must_stop = asyncio.Event()
        self._must_reload = asyncio.Event()
        self._state = published.PublishedState(
            time, settings.bounds.reappearance
        )
        self._figures = figure_module.Figures()
        generator = random.Random()
        context = contexts.NodeContext(
            settings, time, self._state, generator, log, self._figures
        )
        self._placement = placements.Placement(
            time, settings.host, settings.data_centre, generator
        )
        self._saturated = saturation.SaturatedTargets(time, generator)
        bounds = settings.bounds
        self._budget = arrivals.ArrivalBudget(
            time, bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        links = peers.LinkPool(time, settings.peer_port)
        executor = executors.Executor(context)
        self._node = parts.Parts(
            settings=settings,
            time=time,
            state=self._state,
            generator=generator,
            log=log,
            figures=self._figures,
            executor=executor,
            dispatcher=dispatchers.Dispatcher(
                context,
                self._placement,
                self._saturated,
                self._budget,
                executor,
                links,
            ),
            shares=shares.Shares(context, links),
            spread=spreads.Spread(context, links),
        )
        self._front = fronts.Front(self._node)
        self._reader = store_reader.StoreReader(context)
        self._operations = operations.Operations(self._is_ready, self._figures)
        self._state.add_listener(self._follow_state)

    async def run(self) -> None:
        """Run until SIGTERM and its graceful stop are over."""
        settings = self._settings
        self._log.record(
            "node.started",
            service=settings.service,
            data_centre=settings.data_centre,
        )
        self._handle_signals()
        self._add_gauges()
        # What lives from here on is kept; later collections skip it.
        gc.collect()
        gc.freeze()
        address = settings.caller_address
        listener = streams.Listener(
            address.host, address.port, self._front.serve, self._log
        )
        streams.Listener(
            settings.host, settings.peer_port, self._serve_peer, self._log
        )
        self._listen_operations()
        tasks = [self._begin(work) for work in self._list_work()]
        await self._must_stop.wait()
        await self._stop(listener)
        for task in tasks:
            task.cancel()
        self._log.record("node.stopped")

    def _list_work(self) -> list[Coroutine[Any, Any, None]]:
        """Return the work that goes on all the time."""
        return [
            self._log.run(),
            self._reader.follow_operators(),
            self._reader.follow_targets(),
            self._node.spread.run(),
            self._node.executor.follow_health(),
            self._node.shares.run(),
            self._follow_settings(),
        ]

    def _begin(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = asyncio.create_task(work)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task) -> None:
        """Stop the node if work that must go on has failed."""
        if task.cancelled() or task.exception() is None:
            return
        self._log.report_failure("node.work_failed", task.exception())
        self._must_stop.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._must_stop.set)
        loop.add_signal_handler(signal.SIGINT, self._must_stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._must_reload.set)

    def _add_gauges(self) -> None:
        book = self._node.executor.gate.book
        figures = self._figures
        figures.add_gauge("running", lambda: book.running)
        figures.add_gauge("queued", lambda: book.queued)
        figures.add_gauge("slot_limit", lambda: book.limit)
        figures.add_gauge("connections", lambda: self._front.connections)
        figures.add_gauge("peer_connections", lambda: self._peer_connections)
        figures.add_gauge(
            "store_age_seconds",
            lambda: (self._time.now() - self._reader.last_answer).seconds,
        )

    def _listen_operations(self) -> None:
        ready = self._settings.ready_address
        if ready.port:
            streams.Listener(
                ready.host, ready.port, self._operations.serve, self._log
            )
        streams.Listener(
            self._settings.host,
            self._settings.metrics_port,
            self._operations.serve,
            self._log,
        )

    async def _serve_peer(self, stream: streams.Stream) -> None:
        self._peer_connections += 1
        await handlers.serve_peer(self._node, stream)

    def _is_ready(self) -> bool:
        return self._state.is_complete and not self._must_stop.is_set()

    def _follow_state(self, news: list[deployment.PublishedItem]) -> None:
        """Put published changes in force."""
        self._front.follow_state()
        self._node.executor.follow_state()
        self._placement.forget_missing(self._state.entries)
        self._saturated.forget_missing(self._state.entries)
        nodes = len(self._state.hosts)
        self._budget.set_fleet_size(nodes)
        self._node.shares.set_fleet_size(nodes)
        self._node.spread.tell(news)

    async def _follow_settings(self) -> None:
        """Check the settings file after SIGHUP and whenever it changes.

        Addresses and bounds hold for the life of a process, so that a change
        comes into force at the next start; a file that can not be used is
        reported before that.
        """
        known = self._find_settings_time()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_SETTINGS_INTERVAL.seconds):
                    await self._must_reload.wait()
            newest = self._find_settings_time()
            if newest == known and not self._must_reload.is_set():
                continue
            known = newest
            self._must_reload.clear()
            try:
                changed = settings_reader.read_settings(self._path)
            except exceptions.SettingsError as error:
                self._log.record("settings.refused", error=str(error))
                continue
            self._log.record("settings.read", changed=changed != self._settings)

    def _find_settings_time(self) -> int:
        """Return when the settings file was changed, 0 if it is not there."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            self._log.record_routine("settings.missing", error=repr(error))
            return 0

    async def _stop(self, listener: streams.Listener) -> None:
        """Serve what still comes, then end."""
        self._log.record("node.stopping")
        begun = self._time.now()
        self._front.is_leaving = True
        self._node.executor.is_leaving = True
        self._node.executor.follow_state()
        last = begun + self._settings.bounds.grace - _KILL_MARGIN
        while self._time.now() < last:
            await asyncio.sleep(_STOP_INTERVAL.seconds)
            if self._time.now() - begun < _READINESS_WAIT:
                continue
            self._front.close_idle()
            # What runs at the target may need this node for further calls.
            if self._node.executor.gate.book.running:
                continue
            # A refused connection tells the caller that nothing has run.
            listener.close()
            if not listener.connections:
                break
        listener.close()
