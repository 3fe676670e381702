"""Live views of the own service and the declarations of its peers."""

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

__all__ = ["ViewLedger"]

_log = logs.PartLog("views")

_MAX_BACKOFF_STEPS = 5  # A silent peer is tried every 32 intervals.
_STEADY_PER_PEER = clock.Milliseconds(1000)  # One message a second in all.
_KEPT_MEMBERSHIPS = 64
_STEADY_JITTER = (0.75, 1.0)  # Spreads the messages of nodes that agree.
_STEADY_TRIES = 3  # Exchanges with a peer within `share_stop`.


class _NoShares:
    """Stands in while no holder is attached."""

    def apply_standing(self, standing: histories.Standing) -> None:
        """Do nothing."""

    def fits(self, view: histories.View) -> bool:
        """Return that nothing is lent."""
        del view
        return True


class _Peer:
    """What is known of a member of a live view."""

    def __init__(self, now: clock.Milliseconds) -> None:
        self.incarnation = 0
        self.declared: dict[bytes, int] = {}
        self.known: frozenset[bytes] = frozenset()
        self.oldest: messages.ViewEntry | None = None
        self.settled = False
        self.version = 0
        self.heard_at = now
        self.replied_at = now
        self.gone_at: clock.Milliseconds | None = None
        self.said_goodbye = False
        self.ready_at: dict[tuple[bytes, int], clock.Milliseconds] = {}
        self.told: object = None
        self.next_at = now
        self.attempts = 0

    def restart(self, incarnation: int) -> None:
        """Void what an earlier process declared."""
        self.incarnation = incarnation
        self.declared = {}
        self.known = frozenset()
        self.oldest = None
        self.settled = False
        self.version = 0
        self.gone_at = None
        self.said_goodbye = False
        self.ready_at = {}
        self.told = None


class ViewLedger:
    """Decides which views bound the base share of this node.

    Parameters
    ----------
    identity : identities.Identity
        Instance and incarnation of this process.
    time : clock.Clock
        Clock of all waiting times.
    limits : settings.LimitSettings
        Lease length, `share_hold` and `share_stop`.
    view_interval : clock.Milliseconds
        Time between two exchanges with a peer while something is unsettled.

    Notes
    -----
    The rules and their proof are in ``docs/limits.md``. One lock guards the
    state. The holder is called under it and must not call back.
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
        self._holder: histories.Holder = _NoShares()
        self._listener: Callable[[], None] = lambda: None
        self._peers: dict[str, _Peer] = {}
        self._memberships: dict[bytes, tuple[str, ...]] = {}
        self._views: tuple[histories.View, ...] = ()
        self._declared: tuple[histories.View, ...] = ()
        self._versions: tuple[int, ...] = ()
        self._declared_version = 0
        self._announced: object = None
        self._since: dict[bytes, clock.Milliseconds] = {}
        self._ended: tuple[histories.Tenure, ...] = ()
        self._started_at = time.now()
        self.settled_at: clock.Milliseconds | None = None
        self._has_settled = threading.Event()
        self.standing = histories.Standing(identity.instance)

    @property
    def lease_hold(self) -> clock.Milliseconds:
        """Time after which no lease of a process that is gone is in use."""
        return self._limits.lease_duration + self._limits.lease_margin

    def attach(
        self, holder: histories.Holder, listener: Callable[[], None]
    ) -> None:
        """Set the owner of shares and what to call after a change.

        Parameters
        ----------
        holder : histories.Holder
            Owner of shares.
        listener : callable
            Called under the lock when there is something to tell to peers.
        """
        with self._lock:
            self._holder = holder
            self._listener = listener
            self._publish()

    def observe(self, revision: int, members: Iterable[str]) -> None:
        """Take the members of the service at a revision of the list."""
        with self._lock:
            self._add_point(revision, tuple(sorted(members)))
            self._advance()

    def note_version(self, version: int) -> None:
        """Take a new version of the service document."""
        with self._lock:
            if self._versions and version <= self._versions[-1]:
                return
            # A process without a share has no promise to keep.
            kept = self._versions if self.settled_at is not None else ()
            self._versions = (*kept, version)
            self._publish()
            self._advance()

    def advance(self) -> None:
        """Settle on what time and declarations allow."""
        with self._lock:
            self._advance()

    def wait_until_settled(self, longest: clock.Milliseconds) -> bool:
        """Wait for the first view that this process settles on.

        Returns
        -------
        bool
            Whether it has settled in time.
        """
        return self._has_settled.wait(longest.seconds)

    def list_peers(self) -> tuple[str, ...]:
        """Return the members of all live views except this instance."""
        with self._lock:
            return tuple(sorted(self._find_members() - {self._own_name}))

    def list_tenures(
        self, since: clock.Milliseconds
    ) -> tuple[histories.Tenure, ...]:
        """Return the views that were live at some time since a time.

        Parameters
        ----------
        since : clock.Milliseconds
            Monotonic time; views that ended more than `share_hold` ago are
            forgotten.
        """
        with self._lock:
            ended = tuple(t for t in self._ended if t.until >= since)
            live = tuple(
                histories.Tenure(view, self._since[view.digest])
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
                sender=self._identity.address(peer, state.incarnation),
                live_views=self._build_entries(state),
                load=load,
                settled=self.settled_at is not None,
                document_version=self._declared_version,
                declared=len(self._declared),
            )

    def answer_request(
        self,
        request: messages.ViewRequest,
        load: messages.LoadReport | None = None,
    ) -> messages.ViewReply:
        """Take a peer's declaration and return the own one."""
        with self._lock:
            sender = request.sender
            if self._admit(sender.instance, sender.incarnation):
                self._take_declaration(sender.instance, request)
            self._advance()
            return messages.ViewReply(
                live_views=self._build_entries(
                    self._find_peer(sender.instance)
                ),
                load=load,
                incarnation=self._identity.incarnation,
                settled=self.settled_at is not None,
                document_version=self._declared_version,
                declared=len(self._declared),
            )

    def take_reply(
        self,
        peer: str,
        request: messages.ViewRequest,
        reply: messages.ViewReply,
        sent_at: clock.Milliseconds,
    ) -> None:
        """Take the reply to a declaration.

        Parameters
        ----------
        peer : str
            Instance that replied.
        request : messages.ViewRequest
            What was sent.
        reply : messages.ViewReply
            What came back.
        sent_at : clock.Milliseconds
            When the request was sent. Contact is dated from it, so that a
            reply that was long under way is no proof of recent contact.
        """
        with self._lock:
            if not self._admit(peer, reply.incarnation):
                return
            state = self._find_peer(peer)
            if self._take_declaration(peer, reply):
                state.replied_at = max(state.replied_at, sent_at)
                state.told = _token(
                    request.live_views,
                    request.declared,
                    request.settled,
                    request.document_version,
                )
            self._advance()
            is_outdated = state.attempts == 0 and state.told != self._announced
            self._schedule(state, self._is_needed(peer))
            if is_outdated:
                # Something new came up while the request was under way.
                state.next_at = self._time.now()
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
            The peer.
        request : messages.ViewRequest
            What was to be sent. The failure says nothing of a process that
            has been heard from since.
        sent_at : clock.Milliseconds
            When the attempt began.
        refused : bool
            Whether its address refused the connection, which proves that no
            process was there at some time after `sent_at`.
        """
        with self._lock:
            state = self._find_peer(peer)
            is_same = request.sender.receiver_incarnation == state.incarnation
            if refused and is_same and not state.said_goodbye:
                state.gone_at = sent_at
            self._schedule(state, True)
            self._advance()

    def note_incarnation(self, peer: str, incarnation: int) -> None:
        """Take the incarnation that a peer reported in a refusal."""
        with self._lock:
            self._admit(peer, incarnation)
            self._find_peer(peer).next_at = self._time.now()

    def note_goodbye(self, sender: messages.Sender) -> None:
        """Record that a peer's process ends now."""
        with self._lock:
            if self._admit(sender.instance, sender.incarnation):
                state = self._find_peer(sender.instance)
                state.gone_at = self._time.now()
                state.said_goodbye = True
            self._advance()

    def request_probe(self, peer: str) -> None:
        """Try a peer at once whose address has refused a connection."""
        with self._lock:
            if peer in self._peers:
                self._peers[peer].next_at = self._time.now()
                self._listener()

    def find_due(self, peer: str) -> clock.Milliseconds:
        """Return when to exchange views with a peer."""
        with self._lock:
            return self._find_peer(peer).next_at

    def find_timer(self) -> clock.Milliseconds | None:
        """Return when `advance` may have something to do, if ever."""
        with self._lock:
            if not self._views:
                return None
            if self.settled_at is None:
                due = self._started_at + self.lease_hold
                soon = self._time.now() + self._view_interval
                return max(due, soon) if self._is_old else due
            if len(self._views) > 1 or len(self._versions) > 1:
                return self._time.now() + self._view_interval
            return None

    @property
    def _own_name(self) -> str:
        return self._identity.instance

    @property
    def _own_token(self) -> object:
        return _token(
            self._views,
            len(self._declared),
            self.settled_at is not None,
            self._declared_version,
        )

    @property
    def _is_old(self) -> bool:
        """Whether leases of an earlier process of this instance are over."""
        return self._time.now() >= self._started_at + self.lease_hold

    def _find_peer(self, peer: str) -> _Peer:
        state = self._peers.get(peer)
        if state is None:
            state = self._peers[peer] = _Peer(self._time.now())
        return state

    def _find_members(self) -> set[str]:
        return {name for view in self._views for name in view.members}

    def _admit(self, peer: str, incarnation: int) -> bool:
        """Note a message of a peer; False for one of an earlier process."""
        state = self._find_peer(peer)
        if incarnation < state.incarnation:
            return False
        if incarnation > state.incarnation:
            state.restart(incarnation)
            state.next_at = self._time.now()
        if state.said_goodbye:
            return False
        state.heard_at = self._time.now()
        # A delayed message of a process that is gone must not revive it, and
        # the next refused connection repeats the proof about a living one.
        return True

    def _take_declaration(
        self,
        peer: str,
        declaration: messages.ViewRequest | messages.ViewReply,
    ) -> bool:
        """Store a declaration and adopt its views; False if one is unknown."""
        state = self._find_peer(peer)
        complete = True
        for index, entry in enumerate(declaration.live_views):
            members = entry.members or self._memberships.get(entry.digest, ())
            if histories.compute_digest(members) != entry.digest:
                complete = False
                continue
            self._add_point(entry.last, members)
            if index < declaration.declared:
                state.declared[entry.digest] = max(
                    entry.last, state.declared.get(entry.digest, 0)
                )
        state.oldest = next(iter(declaration.live_views), None)
        state.known = frozenset(e.digest for e in declaration.live_views)
        state.settled = declaration.settled
        state.version = max(state.version, declaration.document_version)
        return complete

    def _build_entries(self, state: _Peer) -> tuple[messages.ViewEntry, ...]:
        return tuple(
            messages.ViewEntry(
                view.first,
                view.last,
                view.digest,
                () if view.digest in state.known else view.members,
            )
            for view in self._views
        )

    def _add_point(self, revision: int, members: tuple[str, ...]) -> None:
        """Take the members that the list has at one revision."""
        views = self._views
        if views and self.settled_at is not None and revision < views[0].first:
            return
        changed = histories.insert_point(views, revision, members)
        if changed == views:
            return
        self._views = changed
        now = self._time.now()
        for view in changed:
            if view.digest not in self._since:
                self._since[view.digest] = now
            self._remember_members(view)
        for name in members:
            self._find_peer(name)
        if _shape(changed) != _shape(views):
            self._publish()

    def _remember_members(self, view: histories.View) -> None:
        """Keep the members of a digest that peers may send without them."""
        self._memberships.pop(view.digest, None)
        self._memberships[view.digest] = view.members
        while len(self._memberships) > _KEPT_MEMBERSHIPS + len(self._views):
            del self._memberships[next(iter(self._memberships))]

    def _advance(self) -> None:
        """Declare what fits, then settle on the newest view possible."""
        self._declare()
        for index in reversed(range(len(self._views))):
            if index == 0 and self.settled_at is not None:
                break
            if self._can_settle(index):
                self._settle(index)
                break
        self._settle_version()

    def _declare(self) -> None:
        if not self._is_old:
            # Leases of an earlier process may still be out.
            self._announce()
            return
        declared = []
        for view in self._views:
            if not self._holder.fits(view):
                break
            declared.append(view)
        self._declared = tuple(declared)
        if self._versions and len(declared) == len(self._views):
            self._declared_version = self._versions[-1]
        self._announce()

    def _announce(self) -> None:
        """Have all peers told if there is something new."""
        token = self._own_token
        if token == self._announced:
            return
        self._announced = token
        for state in self._peers.values():
            state.attempts = 0
            state.next_at = self._time.now()
        self._listener()

    def _can_settle(self, index: int) -> bool:
        """Return whether all who may hold a share are bound by a view."""
        view = self._views[index]
        if self._own_name not in view.members or view not in self._declared:
            return False
        if self.settled_at is None and not self._is_old:
            return False
        counted = set(view.members)
        if not self._has_witness(view):
            for older in self._views[:index]:
                counted.update(older.members)
        counted.discard(self._own_name)
        ready = {name for name in counted if self._is_ready(name, view)}
        if not self._agree_on_version(ready):
            return False
        times = [
            self._peers[name].ready_at[(view.digest, view.first)]
            for name in ready
        ]
        latest = max(times, default=self._started_at)
        silent = {
            name for name in counted - ready if not self._is_gone(name, latest)
        }
        if not silent:
            return True
        return all(
            self._is_silent(name, latest) for name in silent
        ) and self._has_half(ready, silent, index)

    def _is_ready(self, name: str, view: histories.View) -> bool:
        """Return whether a member has promised to stay within a view."""
        state = self._peers[name]
        if state.declared.get(view.digest, -1) < view.first:
            return False
        state.ready_at.setdefault((view.digest, view.first), self._time.now())
        return True

    def _is_gone(self, name: str, latest: clock.Milliseconds) -> bool:
        """Return whether a member is proven gone, with all its leases.

        Parameters
        ----------
        name : str
            The member.
        latest : clock.Milliseconds
            When the last of the others declared the view. An older proof of a
            refused connection says nothing of a process that started since,
            which may have found others that lacked the view.
        """
        state = self._peers[name]
        if state.gone_at is None:
            return False
        if self._time.now() < state.gone_at + self.lease_hold:
            return False
        if state.said_goodbye and self.settled_at is not None:
            return True
        return state.gone_at >= latest

    def _is_silent(self, name: str, latest: clock.Milliseconds) -> bool:
        if name in self._views[-1].members:
            return False
        since = max(latest, self._peers[name].heard_at)
        return self._time.now() >= since + self._limits.share_hold

    def _has_half(self, ready: set[str], silent: set[str], index: int) -> bool:
        """Return whether no silent member can be in contact with a majority.

        Notes
        -----
        A node goes on using its base share only in contact with more than
        half of each of its views. Half of the members have declared the new
        view, so it would have learned of that view from one of them.
        """
        ready = ready | {self._own_name}
        for view in self._views[: index + 1]:
            members = set(view.members)
            if members & silent and 2 * len(members & ready) < len(members):
                return False
        return True

    def _has_witness(self, view: histories.View) -> bool:
        """Return whether a newcomer may trust a peer that settled on a view.

        Notes
        -----
        That peer has counted the members of older views; the newcomer may not
        be able to reach them.
        """
        if self.settled_at is not None:
            return False
        for name in view.members:
            state = self._peers[name]
            if (
                state.settled
                and state.gone_at is None
                and state.oldest is not None
                and state.oldest.digest == view.digest
                and state.oldest.last >= view.first
            ):
                return True
        return False

    def _agree_on_version(self, ready: set[str]) -> bool:
        """Return whether a newcomer has the same document as its peers."""
        if self.settled_at is not None:
            return True
        return all(
            self._peers[name].version == self._declared_version
            for name in ready
        )

    def _settle(self, index: int) -> None:
        now = self._time.now()
        dropped, self._views = self._views[:index], self._views[index:]
        live = {view.digest for view in self._views}
        for view in dropped:
            if view.digest in live:
                continue
            since = self._since.pop(view.digest, now)
            self._ended += (histories.Tenure(view, since, now),)
        oldest = now - self._limits.share_hold
        self._ended = tuple(t for t in self._ended if t.until >= oldest)
        if self.settled_at is None:
            self.settled_at = now
            self._has_settled.set()
        view = self._views[0]
        _log.info(
            "settled on %d members at list revision %d",
            len(view.members),
            view.first,
        )
        self._forget_peers(oldest)
        self._declare()
        self._publish()

    def _forget_peers(self, oldest: clock.Milliseconds) -> None:
        members = self._find_members()
        self._peers = {
            name: state
            for name, state in self._peers.items()
            if name in members or state.heard_at >= oldest
        }

    def _settle_version(self) -> None:
        """Drop older document versions once all members have the newest."""
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
            if not self._is_gone(name, now - self.lease_hold):
                return
        self._versions = (newest,)
        self._publish()

    def _publish(self) -> None:
        """Hand the present bounds to the holder of shares."""
        _check(self._views, self._declared)
        self.standing = histories.Standing(
            instance=self._own_name,
            views=self._views,
            versions=self._versions,
            settled=self.settled_at is not None,
            usable_until=self._find_stop(),
        )
        self._holder.apply_standing(self.standing)

    def _find_stop(self) -> clock.Milliseconds | None:
        """Return until when more than half of each view counts as heard."""
        stop = None
        for view in self._views:
            others = [n for n in view.members if n != self._own_name]
            missing = len(view.members) // 2 + 1 - 1
            if missing <= 0:
                continue
            replied = sorted(
                (self._find_peer(n).replied_at for n in others), reverse=True
            )
            last = replied[min(missing, len(replied)) - 1]
            end = last + self._limits.share_stop
            stop = end if stop is None else min(stop, end)
        return stop

    def _is_needed(self, peer: str) -> bool:
        """Return whether a peer has to declare something or be told."""
        state = self._find_peer(peer)
        if self.settled_at is None or state.told != self._own_token:
            return True
        if len(self._views) > 1:
            return not self._is_ready(peer, self._views[-1])
        return len(self._versions) > 1 and state.version < self._versions[-1]

    def _schedule(self, state: _Peer, needed: bool) -> None:
        """Set the time of the next exchange with a peer."""
        now = self._time.now()
        if not needed:
            state.attempts = 0
            count = len(self._find_members())
            longest = self._limits.share_stop * (1 / _STEADY_TRIES)
            steady = min(_STEADY_PER_PEER * count, longest)
            jitter = self._random.uniform(*_STEADY_JITTER)
            state.next_at = now + max(steady * jitter, self._view_interval)
            return
        steps = min(state.attempts, _MAX_BACKOFF_STEPS)
        state.attempts += 1
        state.next_at = now + self._view_interval * 2**steps


def _shape(views: tuple[histories.View, ...]) -> tuple[bytes, ...]:
    return tuple(view.digest for view in views)


def _token(
    views: Iterable[histories.View | messages.ViewEntry],
    declared: int,
    settled: bool,
    version: int,
) -> object:
    """Return what a peer must be told again after a change.

    Notes
    -----
    Revisions are left out: the list changes for other services all the time.
    """
    return tuple(view.digest for view in views), declared, settled, version


def _check(
    views: tuple[histories.View, ...], declared: tuple[histories.View, ...]
) -> None:
    """Assert the invariants of one node's own state."""
    for older, newer in zip(views, views[1:], strict=False):
        assert older.last < newer.first, f"views overlap: {older}, {newer}"
    for view in views:
        assert view.first <= view.last, f"view is empty: {view}"
        assert histories.compute_digest(view.members) == view.digest, (
            f"wrong digest: {view}"
        )
    assert len(declared) <= len(views), "a declared view is not live"
