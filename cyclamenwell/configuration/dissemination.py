"""Threads that keep the neighbours of the overlay level with this node."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import conversation as conversations
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.telemetry import logs

__all__ = ["Disseminator", "Link"]

_log = logs.PartLog("config")
_JITTER = (0.8, 1.2)
# Part of max_view_age after which all links exchange without waiting for
# their turn. The rest leaves time for one attempt that fails.
_URGENT_AGE = (0.5, 0.65)
_RETRY_PART = 0.25  # Part of the interval between two urgent attempts.
_UNREACHABLE_FAILURES = 2  # One failure may be a lost packet.
_MAX_SPARE_FACTOR = 3  # Spares for each wanted neighbour.
_MAX_RETRY_PARTS = 8  # Keeps an isolated node from flooding dead addresses.


class Link:
    """Conversation with one neighbour and what is to be said next.

    Parameters
    ----------
    conversation : conversations.Conversation
        The conversation.
    context : conversations.Context
        State of this node.
    peers : settings.PeerSettings
        Intervals.
    source : random.Random
        Source of jitter.
    on_change : callable
        Called after the neighbour became unreachable or reachable.
    """

    def __init__(
        self,
        conversation: conversations.Conversation,
        context: conversations.Context,
        peers: settings.PeerSettings,
        source: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._conversation = conversation
        self._context = context
        self._peers = peers
        self._random = source
        self._on_change = on_change
        self._condition = threading.Condition()
        self._pending: dict[str, int] = {}
        self._has_new_list = False
        self._ended = False
        self._failures = 0
        self.attempted = False
        self.is_reachable = True
        self.turns = 1  # Links that share the interval of the node.
        now = context.time.now()
        delay = source.uniform(0, peers.exchange_interval.value)
        self._due_at = now + clock.Milliseconds(delay)
        self._may_hurry_at = now
        self._urgent_age = self._draw_urgent_age()

    @property
    def peer(self) -> conversations.Peer:
        """The neighbour."""
        return self._conversation.peer

    def run(self) -> None:
        """Talk to the neighbour until the link ends."""
        while self._wait():
            self.step()

    def step(self) -> None:
        """Say what is to be said now."""
        try:
            self._announce_pending()
            if self.find_wait() <= clock.ZERO:
                self._exchange()
        except exceptions.PeerUnavailableError as error:
            self._note_failure(error)
        except Exception:
            # The thread must outlive a fault in a listener of store or list.
            _log.fail("talking to %s failed", self.peer)
            self._note_failure(None)

    def queue(self, versions: tuple[messages.VersionEntry, ...]) -> None:
        """Announce versions soon."""
        with self._condition:
            for entry in versions:
                known = self._pending.get(entry.name, 0)
                self._pending[entry.name] = max(known, entry.version)
            self._condition.notify()

    def queue_list(self) -> None:
        """Announce the instance list soon."""
        with self._condition:
            self._has_new_list = True
            self._condition.notify()

    def note_known(
        self, versions: tuple[messages.VersionEntry, ...], list_revision: int
    ) -> None:
        """Drop what the neighbour itself has announced."""
        with self._condition:
            for entry in versions:
                if self._pending.get(entry.name, 0) <= entry.version:
                    self._pending.pop(entry.name, None)
            if list_revision >= self._context.lists.revision:
                self._has_new_list = False

    def note_heard(self) -> None:
        """Try again soon, since the neighbour has just spoken."""
        if not self._failures:
            return
        with self._condition:
            self._failures = 0
            self._due_at = self._context.time.now()
            self._condition.notify()

    def end(self) -> None:
        """End the link after what it is doing."""
        with self._condition:
            self._ended = True
            self._condition.notify()

    def find_wait(self) -> clock.Milliseconds:
        """Return the time until the next exchange."""
        now = self._context.time.now()
        wait = self._due_at - now
        age = self._context.freshness.find_view_age()
        left = clock.ZERO if age is None else self._urgent_age - age
        return min(wait, max(left, self._may_hurry_at - now))

    @property
    def has_news(self) -> bool:
        """Whether an announcement is waiting."""
        return bool(self._pending) or self._has_new_list

    def _wait(self) -> bool:
        """Wait for news or the next exchange; return False at the end."""
        with self._condition:
            while not self._ended and not self.has_news:
                wait = self.find_wait()
                if wait <= clock.ZERO:
                    break
                self._condition.wait(wait.seconds)
            return not self._ended

    def _announce_pending(self) -> None:
        with self._condition:
            pending, self._pending = self._pending, {}
            has_list, self._has_new_list = self._has_new_list, False
        if not pending and not has_list:
            return
        if self._failures:
            return  # The next exchange finds what the neighbour missed.
        self._conversation.announce(
            messages.VersionEntry(name, version)
            for name, version in pending.items()
        )

    def _exchange(self) -> None:
        self._schedule(self._peers.exchange_interval * self.turns)
        self._conversation.exchange()
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
        parts = min(self._failures + 1, _MAX_RETRY_PARTS) * _RETRY_PART
        self._may_hurry_at = now + interval * (
            parts * self._random.uniform(*_JITTER)
        )
        self._urgent_age = self._draw_urgent_age()

    def _draw_urgent_age(self) -> clock.Milliseconds:
        return self._peers.max_view_age * self._random.uniform(*_URGENT_AGE)

    def _note_failure(self, error: Exception | None) -> None:
        self.attempted = True
        if not self._failures and error is not None:
            _log.warn("neighbour does not answer: %s", error)
        self._failures += 1
        self._schedule(
            self._peers.exchange_interval * min(self._failures, self.turns)
        )
        if self._failures >= _UNREACHABLE_FAILURES:
            self._set_reachable(False)


class Disseminator:
    """Holds one link for each neighbour and follows the instance list.

    Parameters
    ----------
    context : conversations.Context
        State of this node.
    client : conversations.Client
        Transport.
    own : settings.InstanceSettings
        Place of this node.
    peers : settings.PeerSettings
        Neighbours and intervals.
    source : random.Random
        Source of jitter.
    spawn : callable or None
        Runs a link; the default gives it a thread of its own.
    """

    def __init__(
        self,
        context: conversations.Context,
        client: conversations.Client,
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
        self._chooser = overlay.NeighbourChooser(own, peers)
        self._lock = threading.Lock()
        self._links: dict[conversations.Peer, Link] = {}
        self._closed = False

    @property
    def links(self) -> tuple[Link, ...]:
        """Links to the present neighbours."""
        return tuple(self._links.values())

    def start(self) -> None:
        """Begin to talk to the neighbours of the present list."""
        self._context.store.add_listener(self._queue_versions)
        self._context.directory.add_listener(self._follow_list)
        self._follow_list(self._context.directory.current)

    def stop(self) -> None:
        """End all links."""
        with self._lock:
            self._closed = True
            links, self._links = self._links, {}
        for link in links.values():
            link.end()

    def has_tried_all(self) -> bool:
        """Return whether each neighbour has answered or failed once."""
        return all(link.attempted for link in self.links[: self._chooser.count])

    def note_message(
        self,
        sender: messages.Sender,
        versions: tuple[messages.VersionEntry, ...] = (),
        list_revision: int = 0,
    ) -> None:
        """Take what a message of a peer shows about it."""
        for link in self.links:
            if link.peer.instance == sender.instance:
                link.note_known(versions, list_revision)
                link.note_heard()

    def _queue_versions(
        self,
        snapshot: snapshots.Snapshot,
        accepted: tuple[messages.VersionEntry, ...],
    ) -> None:
        del snapshot
        for link in self.links:
            link.queue(accepted)

    def _follow_list(self, listed: directories.InstanceList) -> None:
        del listed
        self._renew_links()
        for link in self.links:
            link.queue_list()

    def _renew_links(self) -> None:
        """Start and end links after a change of the list or of reachability.

        Notes
        -----
        Each unreachable neighbour is replaced by a spare, so that a node that
        a partition cuts from all its neighbours finds others on its side.
        """
        with self._lock:
            if self._closed:
                return
            unreachable = sum(not link.is_reachable for link in self.links)
            spares = min(unreachable, _MAX_SPARE_FACTOR * self._chooser.count)
            # Read under the lock, so that a late call can not bring back the
            # neighbours of an older list.
            chosen = [
                conversations.Peer.of(entry)
                for entry in self._chooser.choose(
                    self._context.directory.current, spares
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
                link.turns = len(self._links)
        for link in ended:
            link.end()
        for link in started:
            self._spawn(link)

    def _build_link(self, peer: conversations.Peer) -> Link:
        conversation = conversations.Conversation(
            self._context, self._client, peer, self._peers.call_timeout
        )
        return Link(
            conversation,
            self._context,
            self._peers,
            self._random,
            self._renew_links,
        )


def _start_thread(link: Link) -> None:
    threading.Thread(
        target=link.run, name=f"neighbour-{link.peer}", daemon=True
    ).start()
