"""Life cycle of a node and its servers."""

from __future__ import annotations

import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.node import assembly
from cyclamenwell.node import goodbye
from cyclamenwell.node import handlers
from cyclamenwell.node import operations
from cyclamenwell.node import webserver
from cyclamenwell.peers import server as peer_servers
from cyclamenwell.telemetry import logs

__all__ = ["Node"]

_log = logs.ComponentLogger("node")
_State = enumerations.InstanceState
_LOOPBACK = "127.0.0.1"


class Node:
    """A node with its servers and components.

    Parameters
    ----------
    loaded : settings.NodeSettings
        Settings.
    time : clock.Clock
        Clock of all components.
    """

    def __init__(
        self, loaded: settings.NodeSettings, time: clock.Clock
    ) -> None:
        self._settings = loaded
        self._lifecycle = threading.Lock()
        self._stopping = threading.Event()
        self._assembly = assembly.assemble(loaded, time)
        self.components = self._assembly.components
        self._build_servers()

    def start(self) -> None:
        """Start the servers; refuse calls until the configuration is loaded."""
        with self._lifecycle:
            if self._stopping.is_set():
                return
            self.components.watcher.start()
            self._peer_server.start()
            self._operations_server.start()
            self._target_side_server.start()
            self._caller_server.start()
            self._assembly.service_peers.start()
            if self._assembly.health is not None:
                self._assembly.health.start()
        if not self._assembly.startup.run():
            return
        self._wait_for_base_share()
        with self._lifecycle:
            # A concurrent stop has already set the final state.
            if self._stopping.is_set():
                return
            self.components.executor.state = _State.SERVING
        _log.info(
            "serving %s as %s",
            self._settings.instance.service,
            self.components.identity,
        )

    def stop(self) -> bool:
        """Announce the stop, drain running requests and close the servers.

        Returns
        -------
        bool
            Whether every request was finished in time.

        Notes
        -----
        Replies and refusals report the state LEAVING from the start of the
        stop. Requests of callers are forwarded to other instances until the
        listener closes. The servers for peers and for the local target close
        last, because running requests need them. Peers are told GONE, and
        stop counting this node, only when no request can take a token here
        any more.
        """
        with self._lifecycle:
            if self._stopping.is_set():
                return True
            self._stopping.set()
            was_serving = self.components.executor.state is _State.SERVING
            self.components.executor.state = _State.LEAVING
        _log.info("leaving")
        self._caller_server.disable_keep_alive()
        if was_serving:
            self._notify_peers(_State.LEAVING)
            # A fixed delay; nothing ends it early.
            threading.Event().wait(self._settings.stop.linger.seconds)
        finished = self._drain_servers()
        self._assembly.service_peers.stop()
        # Running requests need a confirmed view until they have finished.
        self._assembly.startup.stop()
        if was_serving and finished:
            self._notify_peers(_State.GONE)
        self._close()
        _log.info("stopped")
        return finished

    def _wait_for_base_share(self) -> None:
        """Wait for the base share, so that no call within its rate is refused.

        Notes
        -----
        If the peers settle slowly, the node starts to serve on leases alone.
        """
        agreement = self.components.agreement
        longest = (
            agreement.lease_expiry + self._settings.peers.view_interval * 2
        )
        if not agreement.wait_until_settled(longest):
            _log.warning("serving without a base share")

    def _notify_peers(self, state: enumerations.InstanceState) -> None:
        service = self._settings.instance.service
        goodbye.send_goodbye(
            state,
            self.components.identity,
            self.components.directory.list_service(service),
            self._assembly.client,
            self._settings.peers.call_timeout,
        )

    def _drain_servers(self) -> bool:
        """Drain the servers one after another, the one for callers first."""
        end = self.components.time.now() + self._settings.stop.max_drain
        finished = True
        for server in (
            self._caller_server,
            self._peer_server,
            self._target_side_server,
        ):
            left = max(end - self.components.time.now(), clock.ZERO)
            finished = server.drain(left) and finished
        return finished

    def _close(self) -> None:
        if self._assembly.health is not None:
            self._assembly.health.stop()
        self._operations_server.drain(clock.ZERO)
        self.components.claims.claimer.close()
        self._assembly.client.close()
        self._assembly.target.close()
        self.components.watcher.close()

    def _build_servers(self) -> None:
        node = self.components
        instance = self._settings.instance
        frontend = self._assembly.frontend
        self._caller_server = webserver.WebServer(
            instance.host, instance.caller_port, frontend.answer_caller
        )
        self._target_side_server = webserver.WebServer(
            _LOOPBACK, instance.target_side_port, frontend.answer_target
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
