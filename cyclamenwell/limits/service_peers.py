"""Conversation with the service peers: views and leases."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import ledger as ledgers
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.telemetry import logs

__all__ = ["ServicePeers", "ask_for_leases", "exchange_views"]

_log = logs.PartLog("limits")
_LONGEST_PAUSE = clock.Milliseconds(10_000)

Send = Callable[[Any], Any]


def exchange_views(
    ledger: ledgers.ViewLedger,
    peer: str,
    time: clock.Clock,
    load: messages.LoadReport | None,
    send: Send,
) -> messages.LoadReport | None:
    """Exchange declarations with a peer.

    Parameters
    ----------
    ledger : ledgers.ViewLedger
        Live views of this node.
    peer : str
        The peer.
    time : clock.Clock
        Clock for the start of the exchange.
    load : messages.LoadReport or None
        State and load of this node.
    send : callable
        Sends a message to the peer and returns the reply.

    Returns
    -------
    messages.LoadReport or None
        State and load of the peer, None if it did not reply.
    """
    request = ledger.build_request(peer, load)
    sent_at = time.now()
    try:
        reply = send(request)
    except exceptions.PeerUnavailableError as error:
        ledger.note_failure(peer, request, sent_at, error.refused)
        return None
    if isinstance(reply, messages.ViewReply):
        ledger.take_reply(peer, request, reply, sent_at)
        return reply.load
    ledger.note_failure(peer, request, sent_at, refused=False)
    if isinstance(reply, messages.Fault):
        ledger.note_incarnation(peer, reply.incarnation)
    return None


def ask_for_leases(
    limiter: limiters.FleetLimiter, peer: str, time: clock.Clock, send: Send
) -> None:
    """Send a peer the lease requests that are due."""
    for request in limiter.list_asks(peer):
        asked_at = time.now()
        reply = None
        try:
            received = send(request)
            if isinstance(received, messages.LeaseReply):
                reply = received
        except exceptions.PeerUnavailableError:
            pass  # No reply counts as no lease.
        limiter.take_grant(peer, request, reply, asked_at)


class ServicePeers:
    """Runs one task for each member of the live views.

    Parameters
    ----------
    service : str
        Service of this node.
    time : clock.Clock
        Clock of the tasks.
    ledger : ledgers.ViewLedger
        Live views.
    limiter : limiters.FleetLimiter
        Leases.
    directory : directories.Directory
        Addresses, and reports of refused connections.
    client : peer_clients.PeerClient
        Sends messages.
    timeout : clock.Milliseconds
        Time for a message and its reply.
    lease_timeout : clock.Milliseconds
        Time for a lease request. It is short, so that a renewal can be
        repeated before the lease ends.
    report_load : callable
        Returns state and load of this node.
    """

    def __init__(
        self,
        service: str,
        time: clock.Clock,
        ledger: ledgers.ViewLedger,
        limiter: limiters.FleetLimiter,
        directory: directories.Directory,
        client: peer_clients.PeerClient,
        timeout: clock.Milliseconds,
        lease_timeout: clock.Milliseconds,
        report_load: Callable[[], messages.LoadReport],
    ) -> None:
        self._service = service
        self._time = time
        self._ledger = ledger
        self._limiter = limiter
        self._directory = directory
        self._client = client
        self._timeout = timeout
        self._lease_timeout = min(timeout, lease_timeout)
        self._report_load = report_load
        self._addresses: dict[str, peer_clients.Address] = {}
        self._tasks: dict[str, _PeerTask] = {}
        self._changed = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._manage, name="service-peers", daemon=True
        )
        limiter.attach(self.wake)
        ledger.attach(limiter, self.wake_all)
        directory.add_listener(self._take_list)
        directory.add_gone_listener(ledger.request_probe)

    def start(self) -> None:
        """Begin to converse."""
        self._thread.start()

    def stop(self) -> None:
        """End all tasks after their present message."""
        self._stopping = True
        self.wake_all()

    def wake(self, peer: str) -> None:
        """Wake the task of one peer."""
        task = self._tasks.get(peer)
        if task is not None:
            task.wake()

    def wake_all(self) -> None:
        """Wake all tasks."""
        self._changed.set()
        for task in tuple(self._tasks.values()):
            task.wake()

    def _take_list(self, current: directories.InstanceList) -> None:
        entries = current.services.get(self._service, ())
        for entry in entries:
            address = peer_clients.Address.of(entry)
            self._addresses[entry.instance] = address
        self._ledger.observe(
            current.revision, (entry.instance for entry in entries)
        )
        self._changed.set()

    def _manage(self) -> None:
        """Keep a task for each peer and advance the ledger by time."""
        while not self._stopping:
            self._changed.clear()
            try:
                self._ledger.advance()
                self._match_tasks()
            except Exception:
                _log.fail("matching the tasks of service peers failed")
            self._changed.wait(self._find_pause().seconds)
        for task in self._tasks.values():
            task.stop()

    def _find_pause(self) -> clock.Milliseconds:
        timer = self._ledger.find_timer()
        if timer is None:
            return _LONGEST_PAUSE
        pause = min(timer - self._time.now(), _LONGEST_PAUSE)
        return max(pause, clock.Milliseconds(1))

    def _match_tasks(self) -> None:
        wanted = set(self._ledger.list_peers())
        for peer in set(self._tasks) - wanted:
            self._tasks.pop(peer).stop()
        for peer in sorted(wanted - set(self._tasks)):
            self._tasks[peer] = _PeerTask(peer, self)
            self._tasks[peer].start()
        listed = set(self._directory.current.entries)
        self._addresses = {
            name: address
            for name, address in self._addresses.items()
            if name in wanted or name in listed
        }

    def _converse(self, peer: str) -> None:
        """Send a peer what is due."""
        now = self._time.now()
        if self._ledger.find_due(peer) <= now:
            load = exchange_views(
                self._ledger,
                peer,
                self._time,
                self._report_load(),
                lambda message: self._send(peer, message, self._timeout),
            )
            if load is not None:
                self._directory.note_load(load)
        ask_for_leases(
            self._limiter,
            peer,
            self._time,
            lambda message: self._send(peer, message, self._lease_timeout),
        )

    def _send(
        self, peer: str, message: Any, timeout: clock.Milliseconds
    ) -> Any:
        address = self._addresses.get(peer)
        if address is None:
            raise exceptions.PeerUnavailableError(
                f"the address of {peer} is not known", sent=False, refused=False
            )
        return self._client.call(address, message, timeout)

    def _find_task_pause(self, peer: str) -> clock.Milliseconds:
        due = self._ledger.find_due(peer)
        lease_due = self._limiter.find_due(peer)
        if lease_due is not None:
            due = min(due, lease_due)
        return max(due - self._time.now(), clock.ZERO)


class _PeerTask:
    """The thread that converses with one peer."""

    def __init__(self, peer: str, owner: ServicePeers) -> None:
        self._peer = peer
        self._owner = owner
        self._event = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name=f"service-peer-{peer}", daemon=True
        )

    def start(self) -> None:
        self._thread.start()

    def wake(self) -> None:
        self._event.set()

    def stop(self) -> None:
        self._stopping = True
        self._event.set()

    def _run(self) -> None:
        while not self._stopping:
            self._event.clear()
            try:
                self._owner._converse(self._peer)
                pause = self._owner._find_task_pause(self._peer)
            except Exception:
                _log.fail("conversing with %s failed", self._peer)
                pause = _LONGEST_PAUSE
            self._event.wait(pause.seconds)
