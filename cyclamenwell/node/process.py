"""The parts of a node and their start and stop."""

from __future__ import annotations

import random
import secrets

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.configuration import audit
from cyclamenwell.configuration import reader as readers
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.keys import contexts
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.limits import service_peers
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import views
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
from cyclamenwell.telemetry import logs

__all__ = ["Node"]

_log = logs.PartLog("node")
_State = enumerations.InstanceState
_LOOPBACK = "127.0.0.1"
_INCARNATION_RANDOM_BITS = 16


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
        self._registry = contexts.ContextRegistry()
        self._target = targets.TargetClient(loaded.target, time)
        self._client = peer_clients.PeerClient(loaded.peers.connect_timeout)
        self.parts = self._build_parts(time)
        self._service_peers = self._build_service_peers()
        self._reader = readers.Reader(
            platform_clients.PlatformClient(loaded.platform.url),
            loaded.platform,
            self.parts.store,
            self.parts.directory,
        )
        self._build_servers()

    def start(self) -> None:
        """Start to serve; calls are refused until configuration is there."""
        self.parts.watcher.start()
        self._peer_server.start()
        self._operations_server.start()
        self._target_side_server.start()
        self._caller_server.start()
        self._service_peers.start()
        self._reader.start()
        self._reader.wait_until_current()
        self._wait_for_share()
        self.parts.executor.state = _State.SERVING
        _log.info(
            "serving %s as %s",
            self._settings.instance.service,
            self.parts.identity,
        )

    def stop(self) -> bool:
        """Finish running requests and stop.

        Returns
        -------
        bool
            Whether every request was finished in time.
        """
        _log.info("leaving")
        self.parts.executor.state = _State.LEAVING
        self._caller_server.end_keep_alive()
        max_drain = self._settings.stop.max_drain
        finished = self._caller_server.drain(max_drain)
        self._reader.stop()
        self._service_peers.stop()
        self._peer_server.close()
        finished = self._target_side_server.drain(max_drain) and finished
        self._operations_server.drain(clock.ZERO)
        self._client.close()
        self._target.close()
        self.parts.watcher.close()
        _log.info("stopped")
        return finished

    def _build_parts(self, time: clock.Clock) -> parts.Parts:
        random_bits = secrets.randbits(_INCARNATION_RANDOM_BITS)
        trail = audit.AuditTrail()
        store = stores.Store(time, trail)
        directory = directories.Directory(time)
        identity = identities.Identity(
            self._settings.instance.name,
            directories.make_incarnation(time, random_bits),
        )
        limiter = limiters.FleetLimiter(identity, time, self._settings.limits)
        return parts.Parts(
            settings=self._settings,
            identity=identity,
            time=time,
            trail=trail,
            store=store,
            directory=directory,
            ledger=views.ViewLedger(
                identity,
                time,
                self._settings.limits,
                self._settings.peers.view_interval,
            ),
            limiter=limiter,
            executor=self._build_executor(time, store, limiter),
            watcher=cancellations.DisconnectWatcher(),
        )

    def _build_executor(
        self,
        time: clock.Clock,
        store: stores.Store,
        limiter: limiters.FleetLimiter,
    ) -> executors.Executor:
        return executors.Executor(
            instance=self._settings.instance,
            time=time,
            store=store,
            gate=gates.Gate(time, 200),
            limiter=limiter,
            registry=self._registry,
            target=self._target,
        )

    def _wait_for_share(self) -> None:
        """Wait until requests within their rate need not be refused.

        Notes
        -----
        A node whose peers are slow to settle serves from leases meanwhile.
        """
        hold = self.parts.ledger.lease_hold
        longest = hold + self._settings.peers.view_interval * 2
        if not self.parts.ledger.wait_until_settled(longest):
            _log.warn("serving without a base share")

    def _build_service_peers(self) -> service_peers.ServicePeers:
        node = self.parts
        node.store.add_listener(self._take_documents)
        return service_peers.ServicePeers(
            service=self._settings.instance.service,
            time=node.time,
            ledger=node.ledger,
            limiter=node.limiter,
            directory=node.directory,
            client=self._client,
            timeout=self._settings.peers.call_timeout,
            lease_timeout=self._settings.limits.lease_duration * 0.25,
            report_load=node.report_load,
        )

    def _take_documents(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        """Pass the limits of a new version of the own service's document."""
        service = self._settings.instance.service
        for entry in accepted:
            if entry.name == f"service/{service}":
                document = snapshot.services.get(service)
                callers = document.callers if document else ()
                # The ledger's bound must not come before the plan it names.
                self.parts.limiter.apply_document(entry.version, callers)
                self.parts.ledger.note_version(entry.version)

    def _build_dispatcher(self) -> dispatchers.Dispatcher:
        node = self.parts
        return dispatchers.Dispatcher(
            identity=node.identity,
            time=node.time,
            store=node.store,
            directory=node.directory,
            chooser=choosers.Chooser(
                node.directory,
                self._settings.instance.data_centre,
                random.Random(node.identity.incarnation),
            ),
            executor=node.executor,
            client=self._client,
            budget=budgets.RetryBudget(),
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
