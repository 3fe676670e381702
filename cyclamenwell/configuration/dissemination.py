"""Threads that exchange configuration with the overlay neighbours."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration import peer_session as peer_sessions
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.telemetry import logs

__all__ = ["Disseminator", "Link"]

_log = logs.ComponentLogger("config")
_JITTER = (0.8, 1.2)
# Fraction of max_view_age after which each link makes an urgent exchange before
# its regular one is due. The rest leaves time for one failed attempt.
_URGENT_AGE_RANGE = (0.5, 0.65)
# Fraction of the exchange interval by which the delay between two urgent
# exchanges grows with each failure.
_URGENT_RETRY_FRACTION = 0.25
_MIN_UNREACHABLE_FAILURES = 2  # One failure may be a lost packet.
_MAX_SPARES_PER_NEIGHBOUR = 3  # Spares for each regular neighbour.
# The delay between urgent exchanges grows up to this multiple of the fraction,
# which keeps an isolated node from flooding dead addresses.
_MAX_URGENT_RETRY_FACTOR = 8


class Link:
    """Session with one neighbour, its schedule and pending announcements.

    Parameters
    ----------
    session : peer_sessions.PeerSession
        The session.
    context : peer_sessions.SessionContext
        Shared configuration state of this node.
    peers : settings.PeerSettings
        Intervals.
    source : random.Random
        Random generator for the jitter.
    on_change : callable
        Called after the neighbour became unreachable or reachable.
    """

    def __init__(
        self,
        session: peer_sessions.PeerSession,
        context: peer_sessions.SessionContext,
        peers: settings.PeerSettings,
        source: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._session = session
        self._context = context
        self._peers = peers
        self._random = source
        self._on_change = on_change
        self._condition = threading.Condition()
        self._pending: dict[str, int] = {}
        self._has_new_list = False
        self._is_ended = False
        self._failures = 0
        self.attempted = False
        self.is_reachable = True
        # Links of the node, which share its exchange interval.
        self.link_count = 1
        now = context.time.now()
        delay = source.uniform(0, peers.exchange_interval.value)
        self._due_at = now + clock.Milliseconds(delay)
        self._urgent_from = now
        self._urgent_age = self._draw_urgent_age()

    @property
    def peer(self) -> peer_sessions.Peer:
        """The neighbour."""
        return self._session.peer

    def run(self) -> None:
        """Announce and exchange until the link ends."""
        while self._wait():
            self.step()

    def step(self) -> None:
        """Send pending announcements, and exchange if it is due."""
        try:
            self._announce_pending()
            if self.find_wait() <= clock.ZERO:
                self._exchange()
        except exceptions.PeerUnavailableError as error:
            self._note_failure(error)
        except Exception:
            # An error in a listener of the store or the list must not end the
            # thread.
            _log.exception(
                "unexpected error in the link to neighbour %s", self.peer
            )
            self._note_failure(None)

    def queue(self, versions: tuple[messages.VersionEntry, ...]) -> None:
        """Add versions to the next announcement."""
        with self._condition:
            for entry in versions:
                known = self._pending.get(entry.name, 0)
                self._pending[entry.name] = max(known, entry.version)
            self._condition.notify()

    def queue_list(self) -> None:
        """Add the instance list to the next announcement."""
        with self._condition:
            self._has_new_list = True
            self._condition.notify()

    def drop_known(
        self, versions: tuple[messages.VersionEntry, ...], list_revision: int
    ) -> None:
        """Drop pending announcements of what the neighbour has announced."""
        with self._condition:
            for entry in versions:
                if self._pending.get(entry.name, 0) <= entry.version:
                    self._pending.pop(entry.name, None)
            if list_revision >= self._context.list_replicator.revision:
                self._has_new_list = False

    def retry_soon(self) -> None:
        """Retry at once after failures, as the neighbour has sent a message."""
        if not self._failures:
            return
        with self._condition:
            self._failures = 0
            self._due_at = self._context.time.now()
            self._condition.notify()

    def end(self) -> None:
        """End the link after the step in progress."""
        with self._condition:
            self._is_ended = True
            self._condition.notify()

    def find_wait(self) -> clock.Milliseconds:
        """Return the time until the next regular or urgent exchange."""
        now = self._context.time.now()
        wait = self._due_at - now
        age = self._context.freshness.find_view_age()
        left = clock.ZERO if age is None else self._urgent_age - age
        return min(wait, max(left, self._urgent_from - now))

    @property
    def has_pending(self) -> bool:
        """Whether an announcement is pending."""
        return bool(self._pending) or self._has_new_list

    def _wait(self) -> bool:
        """Wait until there is work; return False if the link has ended."""
        with self._condition:
            while not self._is_ended and not self.has_pending:
                wait = self.find_wait()
                if wait <= clock.ZERO:
                    break
                self._condition.wait(wait.seconds)
            return not self._is_ended

    def _announce_pending(self) -> None:
        with self._condition:
            pending, self._pending = self._pending, {}
            has_list, self._has_new_list = self._has_new_list, False
        if not pending and not has_list:
            return
        if self._failures:
            return  # The next exchange repairs what the neighbour missed.
        self._session.announce(
            messages.VersionEntry(name, version)
            for name, version in pending.items()
        )

    def _exchange(self) -> None:
        self._schedule(self._peers.exchange_interval * self.link_count)
        self._session.exchange()
        self.attempted = True
        self._failures = 0
        self._set_reachable(True)

    def _set_reachable(self, is_reachable: bool) -> None:
        if self.is_reachable is not is_reachable:
            self.is_reachable = is_reachable
            self._on_change()

    def _schedule(self, period: clock.Milliseconds) -> None:
        now = self._context.time.now()
        interval = self._peers.exchange_interval
        self._due_at = now + period * self._random.uniform(*_JITTER)
        fractions = (
            min(self._failures + 1, _MAX_URGENT_RETRY_FACTOR)
            * _URGENT_RETRY_FRACTION
        )
        self._urgent_from = now + interval * (
            fractions * self._random.uniform(*_JITTER)
        )
        self._urgent_age = self._draw_urgent_age()

    def _draw_urgent_age(self) -> clock.Milliseconds:
        return self._peers.max_view_age * self._random.uniform(
            *_URGENT_AGE_RANGE
        )

    def _note_failure(self, error: Exception | None) -> None:
        self.attempted = True
        if not self._failures and error is not None:
            _log.warning("communication with a neighbour failed: %s", error)
        self._failures += 1
        self._schedule(
            self._peers.exchange_interval * min(self._failures, self.link_count)
        )
        if self._failures >= _MIN_UNREACHABLE_FAILURES:
            self._set_reachable(False)


class Disseminator:
    """Keeps one link to each neighbour and follows the instance list.

    Parameters
    ----------
    context : peer_sessions.SessionContext
        Shared configuration state of this node.
    client : peer_sessions.Client
        Transport.
    own : settings.InstanceSettings
        Name and location of this node.
    peers : settings.PeerSettings
        Neighbours and intervals.
    source : random.Random
        Random generator for the jitter.
    spawn : callable or None
        Runs a link; by default in a thread of its own.
    """

    def __init__(
        self,
        context: peer_sessions.SessionContext,
        client: peer_sessions.Client,
        own: settings.InstanceSettings,
        peers: settings.PeerSettings,
        source: random.Random,
        spawn: Callable[[Link], None] | None = None,
    ) -> None:
        self._context = context
        self._client = client
        self._peers = peers
        self._random = source
        self._spawn = spawn or _start_thread
        self._selector = overlay.NeighbourSelector(own, peers)
        self._lock = threading.Lock()
        self._links: dict[peer_sessions.Peer, Link] = {}
        self._closed = False

    @property
    def links(self) -> tuple[Link, ...]:
        """Links to the current neighbours."""
        return tuple(self._links.values())

    def start(self) -> None:
        """Start the links to the neighbours in the current list."""
        self._context.store.add_listener(self._queue_announcements)
        self._context.directory.add_listener(self._handle_list_change)
        self._handle_list_change(self._context.directory.current_list)

    def stop(self) -> None:
        """End all links."""
        with self._lock:
            self._closed = True
            links, self._links = self._links, {}
        for link in links.values():
            link.end()

    def has_tried_all(self) -> bool:
        """Return whether each neighbour has replied or failed at least once."""
        return all(
            link.attempted for link in self.links[: self._selector.count]
        )

    def note_message(
        self,
        sender: messages.Sender,
        versions: tuple[messages.VersionEntry, ...] = (),
        list_revision: int = 0,
    ) -> None:
        """Record what a message of a peer shows about it.

        Parameters
        ----------
        sender : messages.Sender
            The peer.
        versions : tuple of messages.VersionEntry
            Versions that the peer has announced.
        list_revision : int
            Revision of the list that the peer has announced.
        """
        for link in self.links:
            if link.peer.instance == sender.instance:
                link.drop_known(versions, list_revision)
                link.retry_soon()

    def _queue_announcements(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        del snapshot
        for link in self.links:
            link.queue(accepted)

    def _handle_list_change(self, listed: directories.InstanceList) -> None:
        del listed
        self._update_links()
        for link in self.links:
            link.queue_list()

    def _update_links(self) -> None:
        """Start and end links after a change of the list or of reachability.

        Notes
        -----
        A spare replaces each unreachable neighbour, so that a node that a
        network partition separates from all its neighbours finds others on its
        side.
        """
        with self._lock:
            if self._closed:
                return
            unreachable = sum(not link.is_reachable for link in self.links)
            spares = min(
                unreachable, _MAX_SPARES_PER_NEIGHBOUR * self._selector.count
            )
            # The list is read under the lock, so that a delayed call cannot
            # restore the neighbours of an older list.
            chosen = [
                peer_sessions.Peer.of(entry)
                for entry in self._selector.select(
                    self._context.directory.current_list, spares
                )
            ]
            before = self._links
            self._links = {
                peer: before.get(peer) or self._build_link(peer)
                for peer in chosen
            }
            started = [
                link for peer, link in self._links.items() if peer not in before
            ]
            ended = [
                link for peer, link in before.items() if peer not in self._links
            ]
            for link in self._links.values():
                link.link_count = len(self._links)
        for link in ended:
            link.end()
        for link in started:
            self._spawn(link)

    def _build_link(self, peer: peer_sessions.Peer) -> Link:
        session = peer_sessions.PeerSession(
            self._context, self._client, peer, self._peers.call_timeout
        )
        return Link(
            session,
            self._context,
            self._peers,
            self._random,
            self._update_links,
        )


def _start_thread(link: Link) -> None:
    threading.Thread(
        target=link.run, name=f"neighbour-{link.peer}", daemon=True
    ).start()
