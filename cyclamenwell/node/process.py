"""A node: its servers, start and stop."""

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

_log = logs.PartLog("node")
_State = enumerations.InstanceState
_LOOPBACK = "127.0.0.1"


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
        self._assembly = assembly.assemble(loaded, time)
        self.parts = self._assembly.parts
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
            self._assembly.service_peers.start()
            if self._assembly.health is not None:
                self._assembly.health.start()
        if not self._assembly.startup.run():
            return
        self._wait_for_share()
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
        last, because running requests need them. Peers count this node out
        only when nothing here can take a token any more.
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
            self._tell_peers(_State.LEAVING)
            # A wait of fixed length; nothing ends it early.
            threading.Event().wait(self._settings.stop.linger.seconds)
        finished = self._finish_running()
        self._assembly.service_peers.stop()
        # Running requests need a confirmed view until they are finished.
        self._assembly.startup.stop()
        if was_serving and finished:
            self._tell_peers(_State.GONE)
        self._close()
        _log.info("stopped")
        return finished

    def _wait_for_share(self) -> None:
        """Wait until requests within their rate need not be refused.

        Notes
        -----
        A node whose peers are slow to settle serves from leases meanwhile.
        """
        ledger = self.parts.ledger
        longest = ledger.lease_hold + self._settings.peers.view_interval * 2
        if not ledger.wait_until_settled(longest):
            _log.warn("serving without a base share")

    def _tell_peers(self, state: enumerations.InstanceState) -> None:
        service = self._settings.instance.service
        goodbye.send_goodbye(
            state,
            self.parts.identity,
            self.parts.directory.list_service(service),
            self._assembly.client,
            self._settings.peers.call_timeout,
        )

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

    def _close(self) -> None:
        if self._assembly.health is not None:
            self._assembly.health.stop()
        self._operations_server.drain(clock.ZERO)
        self.parts.claims.claimer.close()
        self._assembly.client.close()
        self._assembly.target.close()
        self.parts.watcher.close()

    def _build_servers(self) -> None:
        node = self.parts
        instance = self._settings.instance
        front = self._assembly.front
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
