"""Agreement of the members of a service on its live views.

A node declares a view to its peers once the units that it has on loan fit in
its share of that view. It settles on a declared view, and drops the older
ones, once no process can use a share that the view does not allow.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import random
import threading

from cyclamenwell import clock
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.membership import views as histories
from cyclamenwell.peers import identity as identities
from cyclamenwell.telemetry import logs

__all__ = ["ViewAgreement"]

_log = logs.ComponentLogger("views")

_MAX_BACKOFF_STEPS = 5  # The backoff for a silent peer ends at 32 intervals.
# Exchanges while all is settled: one message a second over all peers.
_STEADY_INTERVAL_PER_PEER = clock.Milliseconds(1000)
_MEMBERSHIP_CACHE_SIZE = 64
_STEADY_JITTER = (0.75, 1.0)  # Keeps nodes from sending at the same time.
_STEADY_EXCHANGES = 3  # Minimum of exchanges with a peer within `share_stop`.


class _NullOwner:
    """Placeholder until an owner of shares is attached."""

    def apply_bounds(self, bounds: histories.ShareBounds) -> None:
        """Do nothing."""

    def fits_view(self, view: histories.View) -> bool:
        """Return True, as no unit is on loan."""
        del view
        return True


class _PeerState:
    """Protocol state for a member of a live view."""

    def __init__(self, now: clock.Milliseconds) -> None:
        self.incarnation = 0
        self.declared: dict[bytes, int] = {}
        self.known_digests: frozenset[bytes] = frozenset()
        self.oldest_view: messages.ViewEntry | None = None
        self.settled = False
        self.version = 0
        self.heard_at = now
        self.replied_at = now
        self.gone_at: clock.Milliseconds | None = None
        self.said_goodbye = False
        self.declared_at: dict[tuple[bytes, int], clock.Milliseconds] = {}
        self.acknowledged_summary: object = None
        self.next_exchange_at = now
        self.attempts = 0

    def reset(self, incarnation: int) -> None:
        """Discard the declarations of an earlier process."""
        self.incarnation = incarnation
        self.declared = {}
        self.known_digests = frozenset()
        self.oldest_view = None
        self.settled = False
        self.version = 0
        self.gone_at = None
        self.said_goodbye = False
        self.declared_at = {}
        self.acknowledged_summary = None


class ViewAgreement:
    """Determines which views bound the base share of this node.

    Parameters
    ----------
    identity : identities.Identity
        Instance and incarnation of this process.
    time : clock.Clock
        Clock of all time limits.
    limits : settings.LimitSettings
        Lease duration, `share_hold` and `share_stop`.
    view_interval : clock.Milliseconds
        Time between two exchanges with a peer until all is settled.

    Notes
    -----
    The rules and their proof are in ``docs/limits.md``. One lock guards the
    state. The owner of shares is called with the lock held and must not call
    back.
    """

    def __init__(
        self,
        identity: identities.Identity,
        time: clock.Clock,
        limits: settings.LimitSettings,
        view_interval: clock.Milliseconds,
    ) -> None:
        self._identity = identity
        self._time = time
        self._limits = limits
        self._view_interval = view_interval
        self._lock = threading.RLock()
        self._random = random.Random(identity.incarnation)
        self._owner: histories.ShareOwner = _NullOwner()
        self._listener: Callable[[], None] = lambda: None
        self._peers: dict[str, _PeerState] = {}
        self._memberships: dict[bytes, tuple[str, ...]] = {}
        self._views: tuple[histories.View, ...] = ()
        self._declared: tuple[histories.View, ...] = ()
        self._versions: tuple[int, ...] = ()
        self._declared_version = 0
        self._announced_summary: object = None
        self._live_since: dict[bytes, clock.Milliseconds] = {}
        self._ended_lifetimes: tuple[histories.ViewLifetime, ...] = ()
        self._started_at = time.now()
        self.settled_at: clock.Milliseconds | None = None
        self._has_settled = threading.Event()
        self.bounds = histories.ShareBounds(identity.instance)

    @property
    def lease_expiry(self) -> clock.Milliseconds:
        """Time after the end of a process when none of its leases is in use."""
        return self._limits.lease_duration + self._limits.lease_margin

    def set_owner(
        self, owner: histories.ShareOwner, listener: Callable[[], None]
    ) -> None:
        """Set the owner of shares and the listener for changes.

        Parameters
        ----------
        owner : histories.ShareOwner
            Owner of shares.
        listener : callable
            Called with the lock held when peers have to be informed.
        """
        with self._lock:
            self._owner = owner
            self._listener = listener
            self._publish()

    def add_revision(self, revision: int, members: Iterable[str]) -> None:
        """Add the members of the service at a revision of the list."""
        with self._lock:
            self._add_revision(revision, tuple(sorted(members)))
            self._advance()

    def note_version(self, version: int) -> None:
        """Add a new version of the service document."""
        with self._lock:
            if self._versions and version <= self._versions[-1]:
                return
            # Before it settles, a process has no share that an older version
            # could bound.
            kept = self._versions if self.settled_at is not None else ()
            self._versions = (*kept, version)
            self._publish()
            self._advance()

    def advance(self) -> None:
        """Declare and settle as far as time and declarations allow."""
        with self._lock:
            self._advance()

    def wait_until_settled(self, timeout: clock.Milliseconds) -> bool:
        """Wait until this process settles on its first view.

        Returns
        -------
        bool
            Whether it settled before the timeout.
        """
        return self._has_settled.wait(timeout.seconds)

    def list_peers(self) -> tuple[str, ...]:
        """Return the members of all live views except this instance."""
        with self._lock:
            return tuple(sorted(self._find_members() - {self._own_name}))

    def list_view_lifetimes(
        self, since: clock.Milliseconds
    ) -> tuple[histories.ViewLifetime, ...]:
        """Return the views that were live at or after a time.

        Parameters
        ----------
        since : clock.Milliseconds
            Monotonic time. Views that were dropped more than `share_hold` ago
            are not kept.
        """
        with self._lock:
            ended = tuple(t for t in self._ended_lifetimes if t.until >= since)
            live = tuple(
                histories.ViewLifetime(view, self._live_since[view.digest])
                for view in self._views
            )
            return ended + live

    def build_request(
        self, peer: str, load: messages.LoadReport | None = None
    ) -> messages.ViewRequest:
        """Return the declaration to send to a peer."""
        with self._lock:
            self._advance()
            state = self._find_peer(peer)
            return messages.ViewRequest(
                sender=self._identity.build_sender(peer, state.incarnation),
                live_views=self._build_entries(state),
                load=load,
                settled=self.settled_at is not None,
                document_version=self._declared_version,
                declared_count=len(self._declared),
            )

    def answer_request(
        self,
        request: messages.ViewRequest,
        load: messages.LoadReport | None = None,
    ) -> messages.ViewReply:
        """Store a peer's declaration and return the one of this node."""
        with self._lock:
            sender = request.sender
            if self._record_contact(sender.instance, sender.incarnation):
                self._store_declaration(sender.instance, request)
            self._advance()
            return messages.ViewReply(
                live_views=self._build_entries(
                    self._find_peer(sender.instance)
                ),
                load=load,
                incarnation=self._identity.incarnation,
                settled=self.settled_at is not None,
                document_version=self._declared_version,
                declared_count=len(self._declared),
            )

    def take_reply(
        self,
        peer: str,
        request: messages.ViewRequest,
        reply: messages.ViewReply,
        sent_at: clock.Milliseconds,
    ) -> None:
        """Store the reply to a declaration.

        Parameters
        ----------
        peer : str
            Instance that replied.
        request : messages.ViewRequest
            Request that was sent.
        reply : messages.ViewReply
            Reply of the peer.
        sent_at : clock.Milliseconds
            When the request was sent. It counts as the time of contact, so
            that a delayed reply is no proof of recent contact.
        """
        with self._lock:
            if not self._record_contact(peer, reply.incarnation):
                return
            state = self._find_peer(peer)
            if self._store_declaration(peer, reply):
                state.replied_at = max(state.replied_at, sent_at)
                state.acknowledged_summary = _summarize_state(
                    request.live_views,
                    request.declared_count,
                    request.settled,
                    request.document_version,
                )
            self._advance()
            has_changed = (
                state.attempts == 0
                and state.acknowledged_summary != self._announced_summary
            )
            self._schedule(state, self._needs_exchange(peer))
            if has_changed:
                # The state of this node changed during the exchange.
                state.next_exchange_at = self._time.now()
            self._publish()

    def note_failure(
        self,
        peer: str,
        request: messages.ViewRequest,
        sent_at: clock.Milliseconds,
        refused: bool,
    ) -> None:
        """Record that an exchange failed.

        Parameters
        ----------
        peer : str
            Instance that did not reply.
        request : messages.ViewRequest
            Request of the attempt. The failure is no evidence about a
            process with another incarnation than the addressed one.
        sent_at : clock.Milliseconds
            When the attempt began.
        refused : bool
            Whether its address refused the connection, which proves that no
            process listened there at some time after `sent_at`.
        """
        with self._lock:
            state = self._find_peer(peer)
            is_same = request.sender.receiver_incarnation == state.incarnation
            if refused and is_same and not state.said_goodbye:
                state.gone_at = sent_at
            self._schedule(state, True)
            self._advance()

    def note_incarnation(self, peer: str, incarnation: int) -> None:
        """Store the incarnation that a peer reported in a refusal."""
        with self._lock:
            self._record_contact(peer, incarnation)
            self._find_peer(peer).next_exchange_at = self._time.now()

    def note_goodbye(self, sender: messages.Sender) -> None:
        """Record that the process of a peer ends now."""
        with self._lock:
            if self._record_contact(sender.instance, sender.incarnation):
                state = self._find_peer(sender.instance)
                state.gone_at = self._time.now()
                state.said_goodbye = True
            self._advance()

    def request_probe(self, peer: str) -> None:
        """Contact a peer at once, as its address has refused a connection."""
        with self._lock:
            if peer in self._peers:
                self._peers[peer].next_exchange_at = self._time.now()
                self._listener()

    def find_next_exchange(self, peer: str) -> clock.Milliseconds:
        """Return the time of the next exchange with a peer."""
        with self._lock:
            return self._find_peer(peer).next_exchange_at

    def find_next_advance(self) -> clock.Milliseconds | None:
        """Return when to call `advance` next, None for never."""
        with self._lock:
            if not self._views:
                return None
            if self.settled_at is None:
                due = self._started_at + self.lease_expiry
                next_check = self._time.now() + self._view_interval
                return (
                    max(due, next_check) if self._previous_leases_ended else due
                )
            if len(self._views) > 1 or len(self._versions) > 1:
                return self._time.now() + self._view_interval
            return None

    @property
    def _own_name(self) -> str:
        return self._identity.instance

    @property
    def _own_summary(self) -> object:
        return _summarize_state(
            self._views,
            len(self._declared),
            self.settled_at is not None,
            self._declared_version,
        )

    @property
    def _previous_leases_ended(self) -> bool:
        """Whether leases of an earlier process of this instance have ended."""
        return self._time.now() >= self._started_at + self.lease_expiry

    def _find_peer(self, peer: str) -> _PeerState:
        state = self._peers.get(peer)
        if state is None:
            state = self._peers[peer] = _PeerState(self._time.now())
        return state

    def _find_members(self) -> set[str]:
        return {name for view in self._views for name in view.members}

    def _record_contact(self, peer: str, incarnation: int) -> bool:
        """Record contact with a peer; False for a process that has ended."""
        state = self._find_peer(peer)
        if incarnation < state.incarnation:
            return False
        if incarnation > state.incarnation:
            state.reset(incarnation)
            state.next_exchange_at = self._time.now()
        if state.said_goodbye:
            return False
        state.heard_at = self._time.now()
        # `gone_at` is kept: a delayed message must not revive a process that is
        # gone, and the next refused connection would set it for a live one.
        return True

    def _store_declaration(
        self,
        peer: str,
        declaration: messages.ViewRequest | messages.ViewReply,
    ) -> bool:
        """Store a declaration; False if the members of a view are unknown."""
        state = self._find_peer(peer)
        complete = True
        for index, entry in enumerate(declaration.live_views):
            members = entry.members or self._memberships.get(entry.digest, ())
            if histories.compute_digest(members) != entry.digest:
                complete = False
                continue
            self._add_revision(entry.last, members)
            if index < declaration.declared_count:
                state.declared[entry.digest] = max(
                    entry.last, state.declared.get(entry.digest, 0)
                )
        state.oldest_view = next(iter(declaration.live_views), None)
        state.known_digests = frozenset(
            e.digest for e in declaration.live_views
        )
        state.settled = declaration.settled
        state.version = max(state.version, declaration.document_version)
        return complete

    def _build_entries(
        self, state: _PeerState
    ) -> tuple[messages.ViewEntry, ...]:
        return tuple(
            messages.ViewEntry(
                view.first,
                view.last,
                view.digest,
                () if view.digest in state.known_digests else view.members,
            )
            for view in self._views
        )

    def _add_revision(self, revision: int, members: tuple[str, ...]) -> None:
        """Add the members at one revision of the list to the live views."""
        views = self._views
        if views and self.settled_at is not None and revision < views[0].first:
            return
        changed = histories.insert_revision(views, revision, members)
        if changed == views:
            return
        self._views = changed
        now = self._time.now()
        for view in changed:
            if view.digest not in self._live_since:
                self._live_since[view.digest] = now
            self._cache_members(view)
        for name in members:
            self._find_peer(name)
        if _list_digests(changed) != _list_digests(views):
            self._publish()

    def _cache_members(self, view: histories.View) -> None:
        """Cache the members of a view, as peers may send only the digest."""
        self._memberships.pop(view.digest, None)
        self._memberships[view.digest] = view.members
        while len(self._memberships) > _MEMBERSHIP_CACHE_SIZE + len(
            self._views
        ):
            del self._memberships[next(iter(self._memberships))]

    def _advance(self) -> None:
        """Declare views that fit, then settle on the newest possible one."""
        self._declare()
        for index in reversed(range(len(self._views))):
            if index == 0 and self.settled_at is not None:
                break
            if self._can_settle(index):
                self._settle(index)
                break
        self._settle_version()

    def _declare(self) -> None:
        if not self._previous_leases_ended:
            # Leases of an earlier process may still be in use.
            self._announce()
            return
        declared = []
        for view in self._views:
            if not self._owner.fits_view(view):
                break
            declared.append(view)
        self._declared = tuple(declared)
        if self._versions and len(declared) == len(self._views):
            self._declared_version = self._versions[-1]
        self._announce()

    def _announce(self) -> None:
        """Schedule exchanges with all peers after a change of the own state."""
        summary = self._own_summary
        if summary == self._announced_summary:
            return
        self._announced_summary = summary
        for state in self._peers.values():
            state.attempts = 0
            state.next_exchange_at = self._time.now()
        self._listener()

    def _can_settle(self, index: int) -> bool:
        """Return whether a view bounds all processes that may use a share."""
        view = self._views[index]
        if self._own_name not in view.members or view not in self._declared:
            return False
        if self.settled_at is None and not self._previous_leases_ended:
            return False
        counted = set(view.members)
        if not self._has_settled_member(view):
            for older in self._views[:index]:
                counted.update(older.members)
        counted.discard(self._own_name)
        declared_names = {
            name for name in counted if self._has_declared(name, view)
        }
        if not self._agree_on_version(declared_names):
            return False
        declared_times = [
            self._peers[name].declared_at[(view.digest, view.first)]
            for name in declared_names
        ]
        latest = max(declared_times, default=self._started_at)
        silent = {
            name
            for name in counted - declared_names
            if not self._is_gone(name, latest)
        }
        if not silent:
            return True
        return all(
            self._is_silent(name, latest) for name in silent
        ) and self._half_have_declared(declared_names, silent, index)

    def _has_declared(self, name: str, view: histories.View) -> bool:
        """Return whether a member has declared a view, and record when."""
        state = self._peers[name]
        if state.declared.get(view.digest, -1) < view.first:
            return False
        state.declared_at.setdefault(
            (view.digest, view.first), self._time.now()
        )
        return True

    def _is_gone(self, name: str, latest: clock.Milliseconds) -> bool:
        """Return whether a member is proven gone and its leases have ended.

        Parameters
        ----------
        name : str
            Member of a view.
        latest : clock.Milliseconds
            When the last of the other members declared the view. A connection
            that was refused earlier does not exclude a process that started
            since and got its views from members that lacked this one.
        """
        state = self._peers[name]
        if state.gone_at is None:
            return False
        if self._time.now() < state.gone_at + self.lease_expiry:
            return False
        if state.said_goodbye and self.settled_at is not None:
            return True
        return state.gone_at >= latest

    def _is_silent(self, name: str, latest: clock.Milliseconds) -> bool:
        if name in self._views[-1].members:
            return False
        since = max(latest, self._peers[name].heard_at)
        return self._time.now() >= since + self._limits.share_hold

    def _half_have_declared(
        self, declared_names: set[str], silent: set[str], index: int
    ) -> bool:
        """Return whether no silent member can have contact with a majority.

        Notes
        -----
        A node uses its base share only while it has contact with more than
        half of each of its views. If half of the members have declared the new
        view, it would have learned of that view from one of them.
        """
        declared_names = declared_names | {self._own_name}
        for view in self._views[: index + 1]:
            members = set(view.members)
            if members & silent and 2 * len(members & declared_names) < len(
                members
            ):
                return False
        return True

    def _has_settled_member(self, view: histories.View) -> bool:
        """Return whether a starting node can rely on a member that has settled.

        Notes
        -----
        A member that has settled on the view has checked the members of older
        views, which the starting node may be unable to reach.
        """
        if self.settled_at is not None:
            return False
        for name in view.members:
            state = self._peers[name]
            if (
                state.settled
                and state.gone_at is None
                and state.oldest_view is not None
                and state.oldest_view.digest == view.digest
                and state.oldest_view.last >= view.first
            ):
                return True
        return False

    def _agree_on_version(self, declared_names: set[str]) -> bool:
        """Return whether a starting node has the same document as its peers."""
        if self.settled_at is not None:
            return True
        return all(
            self._peers[name].version == self._declared_version
            for name in declared_names
        )

    def _settle(self, index: int) -> None:
        now = self._time.now()
        dropped, self._views = self._views[:index], self._views[index:]
        live = {view.digest for view in self._views}
        for view in dropped:
            if view.digest in live:
                continue
            since = self._live_since.pop(view.digest, now)
            self._ended_lifetimes += (histories.ViewLifetime(view, since, now),)
        oldest = now - self._limits.share_hold
        self._ended_lifetimes = tuple(
            t for t in self._ended_lifetimes if t.until >= oldest
        )
        if self.settled_at is None:
            self.settled_at = now
            self._has_settled.set()
        view = self._views[0]
        _log.info(
            "settled on %d members at list revision %d",
            len(view.members),
            view.first,
        )
        self._remove_stale_peers(oldest)
        self._declare()
        self._publish()

    def _remove_stale_peers(self, oldest: clock.Milliseconds) -> None:
        members = self._find_members()
        self._peers = {
            name: state
            for name, state in self._peers.items()
            if name in members or state.heard_at >= oldest
        }

    def _settle_version(self) -> None:
        """Drop older document versions once no member uses them any more."""
        if len(self._versions) < 2 or self.settled_at is None:
            return
        newest = self._versions[-1]
        if self._declared_version != newest:
            return
        now = self._time.now()
        for name in self._find_members() - {self._own_name}:
            state = self._peers[name]
            if state.version >= newest:
                continue
            if not self._is_gone(name, now - self.lease_expiry):
                return
        self._versions = (newest,)
        self._publish()

    def _publish(self) -> None:
        """Pass the present bounds to the owner of shares."""
        _check_invariants(self._views, self._declared)
        self.bounds = histories.ShareBounds(
            instance=self._own_name,
            views=self._views,
            versions=self._versions,
            settled=self.settled_at is not None,
            usable_until=self._find_contact_end(),
        )
        self._owner.apply_bounds(self.bounds)

    def _find_contact_end(self) -> clock.Milliseconds | None:
        """Return when contact with more than half of a view ends, if ever."""
        usable_until = None
        for view in self._views:
            others = [n for n in view.members if n != self._own_name]
            needed_replies = len(view.members) // 2 + 1 - 1
            if needed_replies <= 0:
                continue
            replied = sorted(
                (self._find_peer(n).replied_at for n in others), reverse=True
            )
            last = replied[min(needed_replies, len(replied)) - 1]
            expiry = last + self._limits.share_stop
            usable_until = (
                expiry if usable_until is None else min(usable_until, expiry)
            )
        return usable_until

    def _needs_exchange(self, peer: str) -> bool:
        """Return whether a peer has to declare or be informed of something."""
        state = self._find_peer(peer)
        if (
            self.settled_at is None
            or state.acknowledged_summary != self._own_summary
        ):
            return True
        if len(self._views) > 1:
            return not self._has_declared(peer, self._views[-1])
        return len(self._versions) > 1 and state.version < self._versions[-1]

    def _schedule(self, state: _PeerState, needed: bool) -> None:
        """Set the time of the next exchange with a peer."""
        now = self._time.now()
        if not needed:
            state.attempts = 0
            count = len(self._find_members())
            longest = self._limits.share_stop * (1 / _STEADY_EXCHANGES)
            steady = min(_STEADY_INTERVAL_PER_PEER * count, longest)
            jitter = self._random.uniform(*_STEADY_JITTER)
            state.next_exchange_at = now + max(
                steady * jitter, self._view_interval
            )
            return
        steps = min(state.attempts, _MAX_BACKOFF_STEPS)
        state.attempts += 1
        state.next_exchange_at = now + self._view_interval * 2**steps


def _list_digests(views: tuple[histories.View, ...]) -> tuple[bytes, ...]:
    return tuple(view.digest for view in views)


def _summarize_state(
    views: Iterable[histories.View | messages.ViewEntry],
    declared: int,
    settled: bool,
    version: int,
) -> object:
    """Return a summary of a node's state that differs after each change.

    Notes
    -----
    Peers are informed of changes to it. Revisions are left out, because the
    list often changes for other services.
    """
    return tuple(view.digest for view in views), declared, settled, version


def _check_invariants(
    views: tuple[histories.View, ...], declared: tuple[histories.View, ...]
) -> None:
    """Assert the invariants of the state of this node."""
    for older, newer in zip(views, views[1:], strict=False):
        assert older.last < newer.first, f"views overlap: {older}, {newer}"
    for view in views:
        assert view.first <= view.last, f"view is empty: {view}"
        assert histories.compute_digest(view.members) == view.digest, (
            f"wrong digest: {view}"
        )
    assert len(declared) <= len(views), "a declared view is not live"
