"""Exchanges with the peers of the own service: views and leases."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.membership import directory as directories
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.telemetry import logs

__all__ = ["ServicePeers", "exchange_views", "request_leases"]

_log = logs.ComponentLogger("limits")
_MAX_PAUSE = clock.Milliseconds(10_000)

SendMessage = Callable[[Any], Any]


def exchange_views(
    agreement: agreements.ViewAgreement,
    peer: str,
    time: clock.Clock,
    load: messages.LoadReport | None,
    send: SendMessage,
) -> messages.LoadReport | None:
    """Exchange declared views with a peer.

    Parameters
    ----------
    agreement : agreements.ViewAgreement
        Live views of this node.
    peer : str
        Name of the peer instance.
    time : clock.Clock
        Clock for the start of the exchange.
    load : messages.LoadReport or None
        State and load of this node.
    send : callable
        Sends a message to the peer and returns the reply; raises
        `exceptions.PeerUnavailableError`.

    Returns
    -------
    messages.LoadReport or None
        State and load of the peer; None if it did not reply or its reply is
        not a `messages.ViewReply`.
    """
    request = agreement.build_request(peer, load)
    sent_at = time.now()
    try:
        reply = send(request)
    except exceptions.PeerUnavailableError as error:
        agreement.note_failure(peer, request, sent_at, error.refused)
        return None
    if isinstance(reply, messages.ViewReply):
        agreement.take_reply(peer, request, reply, sent_at)
        return reply.load
    agreement.note_failure(peer, request, sent_at, refused=False)
    if isinstance(reply, messages.Fault):
        agreement.note_incarnation(peer, reply.incarnation)
    return None


def request_leases(
    limiter: limiters.FleetLimiter,
    peer: str,
    time: clock.Clock,
    send: SendMessage,
) -> None:
    """Send a peer the lease requests that are due.

    Parameters
    ----------
    limiter : limiters.FleetLimiter
        Builds the requests and takes the replies.
    peer : str
        Name of the peer instance.
    time : clock.Clock
        Clock from which leases are counted.
    send : callable
        Sends a message to the peer and returns the reply; raises
        `exceptions.PeerUnavailableError`.
    """
    for request in limiter.list_due_requests(peer):
        asked_at = time.now()
        reply = None
        try:
            received = send(request)
            if isinstance(received, messages.LeaseReply):
                reply = received
        except exceptions.PeerUnavailableError:
            pass  # A missing reply is handled as no lease.
        limiter.take_lease_reply(peer, request, reply, asked_at)


class ServicePeers:
    """Runs one task for each other member of the live views.

    Parameters
    ----------
    service : str
        Service of this node.
    time : clock.Clock
        Clock of the tasks.
    agreement : agreements.ViewAgreement
        Live views of this node.
    limiter : limiters.FleetLimiter
        Builds lease requests and takes the replies.
    directory : directories.Directory
        Source of the peers' addresses and of reports of refused connections;
        it takes the load that peers report.
    client : peer_clients.PeerClient
        Sends messages to peers.
    timeout : clock.Milliseconds
        Time limit for a message and its reply.
    lease_timeout : clock.Milliseconds
        Time limit for a lease request, at most `timeout`. It is short, so that
        a renewal can be repeated before the lease expires.
    report_load : callable
        Returns state and load of this node.
    """

    def __init__(
        self,
        service: str,
        time: clock.Clock,
        agreement: agreements.ViewAgreement,
        limiter: limiters.FleetLimiter,
        directory: directories.Directory,
        client: peer_clients.PeerClient,
        timeout: clock.Milliseconds,
        lease_timeout: clock.Milliseconds,
        report_load: Callable[[], messages.LoadReport],
    ) -> None:
        self._service = service
        self._time = time
        self._agreement = agreement
        self._limiter = limiter
        self._directory = directory
        self._client = client
        self._timeout = timeout
        self._lease_timeout = min(timeout, lease_timeout)
        self._report_load = report_load
        self._addresses: dict[str, peer_clients.Address] = {}
        self._tasks: dict[str, _PeerTask] = {}
        self._peers_changed = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._manage_tasks, name="service-peers", daemon=True
        )
        limiter.attach(self.wake)
        agreement.set_owner(limiter, self.wake_all)
        directory.add_listener(self._apply_list)
        directory.add_gone_listener(agreement.request_probe)

    def start(self) -> None:
        """Start the thread that manages the tasks of the peers."""
        self._thread.start()

    def stop(self) -> None:
        """Stop all tasks; an exchange in progress is completed first."""
        self._stopping = True
        self.wake_all()

    def wake(self, peer: str) -> None:
        """Wake the task of one peer."""
        task = self._tasks.get(peer)
        if task is not None:
            task.wake()

    def wake_all(self) -> None:
        """Wake all tasks."""
        self._peers_changed.set()
        for task in tuple(self._tasks.values()):
            task.wake()

    def _apply_list(self, current: directories.InstanceList) -> None:
        entries = current.services.get(self._service, ())
        for entry in entries:
            address = peer_clients.Address.from_entry(entry)
            self._addresses[entry.instance] = address
        self._agreement.add_revision(
            current.revision, (entry.instance for entry in entries)
        )
        self._peers_changed.set()

    def _manage_tasks(self) -> None:
        """Keep one task for each peer and advance the agreement with time."""
        while not self._stopping:
            self._peers_changed.clear()
            try:
                self._agreement.advance()
                self._update_tasks()
            except Exception:
                _log.exception("updating the tasks of service peers failed")
            self._peers_changed.wait(self._find_pause().seconds)
        for task in self._tasks.values():
            task.stop()

    def _find_pause(self) -> clock.Milliseconds:
        timer = self._agreement.find_next_advance()
        if timer is None:
            return _MAX_PAUSE
        pause = min(timer - self._time.now(), _MAX_PAUSE)
        return max(pause, clock.Milliseconds(1))

    def _update_tasks(self) -> None:
        wanted = set(self._agreement.list_peers())
        for peer in set(self._tasks) - wanted:
            self._tasks.pop(peer).stop()
        for peer in sorted(wanted - set(self._tasks)):
            self._tasks[peer] = _PeerTask(peer, self)
            self._tasks[peer].start()
        listed = set(self._directory.current_list.entries)
        self._addresses = {
            name: address
            for name, address in self._addresses.items()
            if name in wanted or name in listed
        }

    def _run_exchanges(self, peer: str) -> None:
        """Exchange views with a peer and request leases, each if due."""
        now = self._time.now()
        if self._agreement.find_next_exchange(peer) <= now:
            load = exchange_views(
                self._agreement,
                peer,
                self._time,
                self._report_load(),
                lambda message: self._send(peer, message, self._timeout),
            )
            if load is not None:
                self._directory.note_load(load)
        request_leases(
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
                f"no known address for peer {peer}", sent=False, refused=False
            )
        return self._client.call(address, message, timeout)

    def _find_task_pause(self, peer: str) -> clock.Milliseconds:
        due = self._agreement.find_next_exchange(peer)
        lease_due = self._limiter.find_due(peer)
        if lease_due is not None:
            due = min(due, lease_due)
        return max(due - self._time.now(), clock.ZERO)


class _PeerTask:
    """Thread that runs the exchanges with one peer."""

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
                self._owner._run_exchanges(self._peer)
                pause = self._owner._find_task_pause(self._peer)
            except Exception:
                _log.exception("exchange with peer %s failed", self._peer)
                pause = _MAX_PAUSE
            self._event.wait(pause.seconds)
