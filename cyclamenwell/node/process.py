"""The parts of a node and their start and stop."""

from __future__ import annotations

import functools
import random
import secrets
import threading

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import claims
from cyclamenwell.configuration import conversation as conversations
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import listing
from cyclamenwell.configuration import reader as readers
from cyclamenwell.configuration import responder as responders
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import startup as startups
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.keys import contexts
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import directory as directories
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import dispatcher as dispatchers
from cyclamenwell.node import executor as executors
from cyclamenwell.node import front as fronts
from cyclamenwell.node import handlers
from cyclamenwell.node import operations
from cyclamenwell.node import parts
from cyclamenwell.node import target as targets
from cyclamenwell.node import webserver
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities
from cyclamenwell.peers import server as peer_servers
from cyclamenwell.platform import client as platform_clients
from cyclamenwell.retries import budget as budgets
from cyclamenwell.routing import chooser as choosers
from cyclamenwell.routing import overload
from cyclamenwell.routing import standings as standing
from cyclamenwell.routing import tiers as distances
from cyclamenwell.telemetry import logs

__all__ = ["Node"]

_log = logs.PartLog("node")
_State = enumerations.InstanceState
_LOOPBACK = "127.0.0.1"
_INCARNATION_RANDOM_BITS = 16
_SEED_BITS = 64


class Node:
    """One node with all its parts.

    Parameters
    ----------
    loaded : settings.NodeSettings
        Settings.
    time : clock.Clock
        Clock of all parts.
    """

    def __init__(
        self, loaded: settings.NodeSettings, time: clock.Clock
    ) -> None:
        self._settings = loaded
        self._lifecycle = threading.Lock()
        self._stopping = threading.Event()
        self._registry = contexts.ContextRegistry()
        self._target = targets.TargetClient(loaded.target, time)
        self._client = peer_clients.PeerClient(loaded.peers.connect_timeout)
        self._random = random.Random(secrets.randbits(_SEED_BITS))
        self.parts = self._build_parts(time)
        self._startup = startups.Startup(
            self._context,
            self._client,
            loaded.peers,
            self.parts.disseminator,
            self.parts.reader,
            self._random,
        )
        self._build_servers()

    def start(self) -> None:
        """Start to serve; calls are refused until configuration is there."""
        with self._lifecycle:
            if self._stopping.is_set():
                return
            self.parts.watcher.start()
            self._peer_server.start()
            self._operations_server.start()
            self._target_side_server.start()
            self._caller_server.start()
        if not self._startup.run():
            return
        with self._lifecycle:
            # A stop that came meanwhile has set the last state.
            if self._stopping.is_set():
                return
            self.parts.executor.state = _State.SERVING
        _log.info(
            "serving %s as %s",
            self._settings.instance.service,
            self.parts.identity,
        )

    def stop(self) -> bool:
        """Announce the stop, finish running requests and stop.

        Returns
        -------
        bool
            Whether every request was finished in time.

        Notes
        -----
        Replies and refusals report the state LEAVING from the first moment.
        Requests that enter here are passed to other instances until the
        listener closes. The servers for peers and for the own target close
        last, because running requests need them.
        """
        with self._lifecycle:
            if self._stopping.is_set():
                return True
            self._stopping.set()
            was_serving = self.parts.executor.state is _State.SERVING
            self.parts.executor.state = _State.LEAVING
        _log.info("leaving")
        self._caller_server.end_keep_alive()
        if was_serving:
            # A wait of fixed length; nothing ends it early.
            threading.Event().wait(self._settings.stop.linger.seconds)
        finished = self._finish_running()
        # Running requests need a confirmed view until they are finished.
        self._startup.stop()
        self._operations_server.drain(clock.ZERO)
        self._client.close()
        self._target.close()
        self.parts.watcher.close()
        _log.info("stopped")
        return finished

    def _finish_running(self) -> bool:
        """Close the servers from the outside in, each when it is idle."""
        end = self.parts.time.now() + self._settings.stop.max_drain
        finished = True
        for server in (
            self._caller_server,
            self._peer_server,
            self._target_side_server,
        ):
            left = max(end - self.parts.time.now(), clock.ZERO)
            finished = server.drain(left) and finished
        return finished

    def _build_parts(self, time: clock.Clock) -> parts.Parts:
        random_bits = secrets.randbits(_INCARNATION_RANDOM_BITS)
        trail = audit.AuditTrail()
        store = stores.Store(time, trail)
        directory = directories.Directory(time)
        freshness = freshnesses.Freshness(
            time,
            self._settings.peers,
            self._settings.instance.name,
            directory,
        )
        identity = identities.Identity(
            self._settings.instance.name,
            directories.make_incarnation(time, random_bits),
        )
        executor = self._build_executor(time, store, directory, freshness)
        self._context = conversations.Context(
            identity=identity,
            time=time,
            store=store,
            directory=directory,
            lists=listing.ListBook(directory),
            freshness=freshness,
            claims=claims.Claims(time, self._settings.peers.call_timeout),
            report_load=functools.partial(
                executor.report_load, identity.incarnation
            ),
        )
        return parts.Parts(
            settings=self._settings,
            identity=identity,
            time=time,
            trail=trail,
            store=store,
            directory=directory,
            freshness=freshness,
            responder=responders.Responder(self._context),
            disseminator=self._build_disseminator(),
            reader=self._build_reader(time, store, directory, freshness),
            executor=executor,
            watcher=cancellations.DisconnectWatcher(),
        )

    def _build_disseminator(self) -> dissemination.Disseminator:
        return dissemination.Disseminator(
            self._context,
            self._client,
            self._settings.instance,
            self._settings.peers,
            self._random,
        )

    def _build_reader(
        self,
        time: clock.Clock,
        store: stores.Store,
        directory: directories.Directory,
        freshness: freshnesses.Freshness,
    ) -> readers.Reader:
        return readers.Reader(
            platform_clients.PlatformClient(self._settings.platform.url),
            self._settings.platform,
            self._settings.instance.name,
            time,
            store,
            directory,
            freshness,
            self._random,
        )

    def _build_executor(
        self,
        time: clock.Clock,
        store: stores.Store,
        directory: directories.Directory,
        freshness: freshnesses.Freshness,
    ) -> executors.Executor:
        gate = gates.Gate(time, self._settings.admission)
        store.add_listener(self._build_gate_listener(gate, store))
        return executors.Executor(
            instance=self._settings.instance,
            time=time,
            store=store,
            directory=directory,
            gate=gate,
            limiter=limiters.FleetLimiter(time),
            registry=self._registry,
            target=self._target,
            freshness=freshness,
        )

    def _build_gate_listener(
        self, gate: gates.Gate, store: stores.Store
    ) -> stores.Listener:
        """Return a listener that hands the service's bounds to the gate."""
        service = self._settings.instance.service
        document = f"service/{service}"

        lock = threading.Lock()

        def configure(
            snapshot: snapshots.Snapshot,
            accepted: tuple[messages.VersionEntry, ...],
        ) -> None:
            del snapshot
            if all(entry.name != document for entry in accepted):
                return
            # Listeners of two changes may run in any order; the store always
            # has the newest version.
            with lock:
                content = store.snapshot.services.get(service)
                if content is None:
                    return
                gate.configure(content.cold_limit, content.max_in_progress)

        return configure

    def _build_dispatcher(self) -> dispatchers.Dispatcher:
        node = self.parts
        source = random.Random(node.identity.incarnation)
        standings = standing.Standings(node.time)
        return dispatchers.Dispatcher(
            identity=node.identity,
            time=node.time,
            store=node.store,
            directory=node.directory,
            chooser=self._build_chooser(standings, source),
            standings=standings,
            guard=overload.OverloadGuard(node.time, source),
            executor=node.executor,
            client=self._client,
            budget=budgets.RetryBudget(),
        )

    def _build_chooser(
        self, standings: standing.Standings, source: random.Random
    ) -> choosers.Chooser:
        node = self.parts
        instance = self._settings.instance
        tiers = distances.Tiers(
            node.directory,
            node.time,
            instance.name,
            instance.data_centre,
            instance.region,
        )
        node.store.add_listener(
            lambda snapshot, _: tiers.note_out(snapshot.data_centres_out)
        )
        return choosers.Chooser(
            directory=node.directory,
            tiers=tiers,
            standings=standings,
            time=node.time,
            source=source,
            instance=instance.name,
            read_own_load=node.report_load,
        )

    def _build_servers(self) -> None:
        node = self.parts
        instance = self._settings.instance
        front = fronts.Front(
            node.time,
            node.store,
            self._registry,
            self._build_dispatcher(),
            node.watcher,
            lambda: node.executor.state is _State.STARTING,
            node.freshness,
        )
        self._caller_server = webserver.WebServer(
            instance.host, instance.caller_port, front.answer_caller
        )
        self._target_side_server = webserver.WebServer(
            _LOOPBACK, instance.target_side_port, front.answer_target
        )
        self._operations_server = webserver.WebServer(
            _LOOPBACK,
            instance.operations_port,
            operations.Operations(node).answer,
        )
        self._peer_server = peer_servers.PeerServer(
            instance.host,
            instance.peer_port,
            lambda message, connection: handlers.handle_message(
                message, node, connection
            ),
        )
