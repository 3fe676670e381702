"""Lifecycle of a sidecar node: start, reload and graceful stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import dataclasses
import gc
import math
import pathlib
import random
import signal
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import memory_account
from cyclamenwell.configuration import published
from cyclamenwell.configuration import store_duty
from cyclamenwell.generated import deployment
from cyclamenwell.generated import sidecar
from cyclamenwell.platform import settings as settings_reader
from cyclamenwell.retries import window_budget
from cyclamenwell.routing import saturation
from cyclamenwell.routing import target_balancer
from cyclamenwell.sidecar import components
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import frontend as frontends
from cyclamenwell.sidecar import gossip as gossip_module
from cyclamenwell.sidecar import handlers
from cyclamenwell.sidecar import metrics as metrics_module
from cyclamenwell.sidecar import operations
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import rate_limiter
from cyclamenwell.sidecar import store_reader
from cyclamenwell.sidecar import streams
from cyclamenwell.sidecar import supervision
from cyclamenwell.telemetry import structured_log

__all__ = ["Process"]

_SETTINGS_CHECK_INTERVAL = clock.Milliseconds(1000)
# The platform checks readiness once a second and takes an instance out of
# service after two failures; callers send new requests until then.
_READINESS_DELAY = clock.Milliseconds(3200)
# After this time the platform sends no new callers to a node that is not ready,
# unless most nodes of its data centre are not. The users excuse a cut request
# that was sent in the first 3 s; the signal may be handled a little late.
_NOTICE_DELAY = clock.Milliseconds(2500)
# Running requests are abandoned this long before SIGKILL.
_KILL_MARGIN = clock.Milliseconds(800)
_STOP_CHECK_INTERVAL = clock.Milliseconds(100)
_HELD_CHECK_INTERVAL = clock.Milliseconds(500)
# Parts of the descriptors for the connections that each listener accepts. The
# rest is for connections to targets, peers and the store, and for files.
_CALLER_DESCRIPTOR_PART = 0.5
_PEER_DESCRIPTOR_PART = 0.25
_OPERATIONS_DESCRIPTOR_PART = 0.02
# Part of the callers' connections that may have a request in progress.
_REQUEST_PART = 0.875
_UNKNOWN_AGE = clock.Milliseconds(math.nan)


class Process:
    """The process of a sidecar node.

    Parameters
    ----------
    path : pathlib.Path
        Settings file, checked again when it changes.
    settings : sidecar.SidecarSettings
        Settings at the start.
    time : clock.Clock
        Clock of the node.
    log : structured_log.StructuredLog
        Receives all log lines.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: sidecar.SidecarSettings,
        time: clock.Clock,
        log: structured_log.StructuredLog,
    ) -> None:
        self._path = path
        self._settings = settings
        self._time = time
        self._log = log
        self._peer_connections = 0  # Accepted since the start.
        # Hosts for which `StoreDuty` has chosen the readers last.
        self._fleet_hosts: tuple[str, ...] = ()
        self._is_expiry_scheduled = False
        self._must_stop = asyncio.Event()
        self._must_reload = asyncio.Event()
        self._state = published.PublishedState(
            time, settings.bounds.reappearance
        )
        self._metrics = metrics_module.Metrics()
        generator = random.Random()
        self._duty = store_duty.StoreDuty(time, settings.host)
        context = contexts.NodeContext(
            settings,
            time,
            self._state,
            generator,
            log,
            self._metrics,
            self._duty,
            memory_account.MemoryAccount(
                memory_account.find_capacity(settings.memory_mb)
            ),
        )
        self._balancer = target_balancer.TargetBalancer(
            time, settings.host, settings.data_centre, generator
        )
        self._saturated = saturation.SaturatedTargets(time, generator)
        bounds = settings.bounds
        self._retry_budget = window_budget.WindowRetryBudget(
            time,
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window,
            generator,
        )
        links = peers.LinkPool(time, settings.peer_port)
        executor = executors.Executor(context)
        self._node = components.Components(
            settings=settings,
            time=time,
            state=self._state,
            generator=generator,
            log=log,
            metrics=self._metrics,
            duty=self._duty,
            memory=context.memory,
            executor=executor,
            dispatcher=dispatchers.Dispatcher(
                context,
                self._balancer,
                self._saturated,
                self._retry_budget,
                executor,
                links,
            ),
            rate_limiter=rate_limiter.RateLimiter(context, links),
            gossip=gossip_module.Gossip(context, links),
        )
        self._frontend = frontends.Frontend(
            self._node,
            self._find_max_connections(_CALLER_DESCRIPTOR_PART * _REQUEST_PART),
        )
        self._store_reader = store_reader.StoreReader(context)
        self._operations = operations.Operations(self._is_ready, self._metrics)
        self._state.add_listener(self._apply_state)
        self._state.add_era_listener(self._record_era)

    async def run(self) -> None:
        """Run until the graceful stop after SIGTERM has finished."""
        settings = self._settings
        self._log.record(
            "node.started",
            service=settings.service,
            data_centre=settings.data_centre,
        )
        self._handle_signals()
        self._add_gauges()
        # Objects created so far live as long as the process; later garbage
        # collections skip them.
        gc.collect()
        gc.freeze()
        address = settings.caller_address
        listener = streams.Listener(
            address.host,
            address.port,
            self._frontend.serve,
            self._log,
            self._find_max_connections(_CALLER_DESCRIPTOR_PART),
        )
        streams.Listener(
            settings.host,
            settings.peer_port,
            self._serve_peer,
            self._log,
            self._find_max_connections(_PEER_DESCRIPTOR_PART),
        )
        self._listen_operations()
        tasks = [
            asyncio.create_task(supervision.run_supervised(work, self._log))
            for work in self._list_background_work()
        ]
        await self._must_stop.wait()
        await self._stop(listener)
        for task in tasks:
            task.cancel()
        self._log.record("node.stopped")

    def _list_background_work(
        self,
    ) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the background work that runs until the node stops."""
        return [
            self._log.run,
            self._store_reader.watch_operators,
            self._store_reader.watch_targets,
            self._node.gossip.run,
            self._node.gossip.follow_source,
            self._node.executor.monitor_health,
            self._node.rate_limiter.run,
            self._watch_settings,
        ]

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._must_stop.set)
        loop.add_signal_handler(signal.SIGINT, self._must_stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._must_reload.set)

    def _add_gauges(self) -> None:
        slot_scheduler = self._node.executor.admission_queue.slot_scheduler
        metrics = self._metrics
        metrics.add_gauge("running", lambda: slot_scheduler.running)
        metrics.add_gauge("queued", lambda: slot_scheduler.queued)
        metrics.add_gauge("slot_limit", lambda: slot_scheduler.limit)
        memory = self._node.memory
        metrics.add_gauge("held_bytes", lambda: memory.total_bytes)
        metrics.add_gauge("connections", lambda: self._frontend.connections)
        metrics.add_gauge("peer_connections", lambda: self._peer_connections)
        metrics.add_gauge(
            "store_age_seconds",
            lambda: (self._duty.store_age or _UNKNOWN_AGE).seconds,
        )
        metrics.add_gauge(
            "reader_silence_seconds",
            lambda: self._duty.reader_silence.seconds,
        )
        metrics.add_gauge("store_reader", lambda: float(self._duty.is_reader))

    def _find_max_connections(self, part: float) -> int:
        """Return the connections that one listener may have."""
        return max(int(self._settings.max_descriptors * part), 1)

    def _listen_operations(self) -> None:
        ready = self._settings.ready_address
        addresses = [(self._settings.host, self._settings.metrics_port)]
        if ready.port:
            addresses.append((ready.host, ready.port))
        for host, port in addresses:
            streams.Listener(
                host,
                port,
                self._operations.serve,
                self._log,
                self._find_max_connections(_OPERATIONS_DESCRIPTOR_PART),
            )

    async def _serve_peer(self, stream: streams.Stream) -> None:
        self._peer_connections += 1
        await handlers.serve_peer(self._node, stream)

    def _is_ready(self) -> bool:
        return self._state.is_complete and not self._must_stop.is_set()

    def _apply_state(self, changes: list[deployment.PublishedItem]) -> None:
        """Apply published changes to all components."""
        self._frontend.apply_state()
        self._node.executor.apply_state()
        self._balancer.keep_only(self._state.entries)
        self._saturated.keep_only(self._state.entries)
        if self._state.hosts is not self._fleet_hosts:
            self._fleet_hosts = self._state.hosts
            self._duty.set_fleet(self._state.hosts_by_data_centre)
        nodes = len(self._state.hosts)
        self._retry_budget.set_fleet_size(nodes)
        self._node.rate_limiter.set_fleet_size(nodes)
        self._node.gossip.notify_peers(changes)
        self._schedule_expiry()

    def _record_era(self, change: published.EraChange) -> None:
        self._metrics.count("store_eras")
        self._log.record("store.era", **dataclasses.asdict(change))

    def _schedule_expiry(self) -> None:
        """Check later whether the time of held items is over."""
        if self._is_expiry_scheduled or not self._state.has_expiring:
            return
        self._is_expiry_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(_HELD_CHECK_INTERVAL.seconds, self._expire_held)

    def _expire_held(self) -> None:
        self._is_expiry_scheduled = False
        self._state.expire_held()
        self._schedule_expiry()

    async def _watch_settings(self) -> None:
        """Validate the settings file after SIGHUP and after each change.

        Addresses and bounds are fixed for the life of a process, so a change
        takes effect at the next start; an invalid file is logged before then.
        """
        last_modified = self._find_settings_time()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_SETTINGS_CHECK_INTERVAL.seconds):
                    await self._must_reload.wait()
            modified = self._find_settings_time()
            if modified == last_modified and not self._must_reload.is_set():
                continue
            last_modified = modified
            self._must_reload.clear()
            try:
                changed = settings_reader.read_settings(self._path)
            except exceptions.SettingsError as error:
                self._log.record("settings.refused", error=str(error))
                continue
            self._log.record("settings.read", changed=changed != self._settings)

    def _find_settings_time(self) -> int:
        """Return the modification time of the settings file, 0 if missing."""
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            self._log.record_routine("settings.missing", error=repr(error))
            return 0

    async def _stop(self, listener: streams.Listener) -> None:
        """Serve the remaining requests, then stop listening for callers."""
        self._log.record("node.stopping")
        started_at = self._time.now()
        self._frontend.is_leaving = True
        self._node.executor.is_leaving = True
        self._node.executor.apply_state()
        last = started_at + self._settings.bounds.grace - _KILL_MARGIN
        self._node.dispatcher.begin_stop(started_at + _NOTICE_DELAY, last)
        while self._time.now() < last:
            await asyncio.sleep(_STOP_CHECK_INTERVAL.seconds)
            if self._time.now() - started_at < _READINESS_DELAY:
                continue
            self._frontend.close_idle()
            # Requests running at the target may make nested calls through
            # this node.
            if self._node.executor.admission_queue.slot_scheduler.running:
                continue
            # A refused connection tells the caller that its request has not
            # run.
            listener.close()
            if not listener.connections:
                break
        listener.close()
