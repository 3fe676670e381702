"""Simulation of the nodes of one service, for tests of limit shares.

Time is simulated and all randomness comes from one generator, so a seed gives
the same run on every machine.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import documents
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.limits import shares
from cyclamenwell.membership import view_agreement as agreements
from cyclamenwell.peers import identity as identities
from cyclamenwell.peers import wire

__all__ = ["Faults", "SimulatedNode", "SimulatedService", "build_caller"]

_CALL_TIMEOUT = clock.Milliseconds(1000)
_FRAME_HEADER_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the network and of the clocks.

    Parameters
    ----------
    loss, duplication, long_delay : float
        Probability for each message.
    delay : clock.Milliseconds
        Minimum latency of a message; jitter can up to double it.
    longest_delay : clock.Milliseconds
        Upper bound of a long delay.
    drift : float
        Largest relative drift of a node's clock.
    """

    loss: float = 0.0
    duplication: float = 0.0
    long_delay: float = 0.0
    delay: clock.Milliseconds = clock.Milliseconds(1)
    longest_delay: clock.Milliseconds = clock.Milliseconds(3000)
    drift: float = 0.0


def build_caller(
    organisation: str = "shops", rate: float = 1000.0, burst: float = 100.0
) -> documents.CallerDocument:
    """Return the limits of an organisation."""
    return documents.CallerDocument(organisation, rate, burst)


class SimulatedNode:
    """One process with its clock, its view agreement and its limiter."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        limits: settings.LimitSettings,
        view_interval: clock.Milliseconds,
        drift: float,
    ) -> None:
        self.instance = instance
        self.time = clock.ManualClock(clock.Milliseconds(1000))
        self.drift = drift
        self.identity = identities.Identity(instance, incarnation)
        self.limiter = limiters.FleetLimiter(self.identity, self.time, limits)
        self.agreement = agreements.ViewAgreement(
            self.identity, self.time, limits, view_interval
        )
        self.agreement.set_owner(self.limiter, lambda: None)
        self.revision = 0
        self.version = 0
        self.paused = False
        self.inbox: list[Callable[[], None]] = []
        self.busy: dict[str, clock.Milliseconds] = {}

    def take(self, organisation: str) -> bool:
        """Take a token and return whether one was available."""
        try:
            self.limiter.take(organisation)
        except exceptions.RefusedError:
            return False
        return True

    def take_after_wait(self, organisation: str) -> bool:
        """Take a token for a request that has waited for one."""
        state = self.limiter._states[organisation]
        state.account.advance(self.time.now())
        return state.account.bucket.take(self.time.now())

    def apply_document(
        self, version: int, callers: Iterable[documents.CallerDocument]
    ) -> None:
        """Put a version of the service document in force."""
        if version > self.version:
            self.version = version
            self.limiter.apply_document(version, callers)
            self.agreement.note_version(version)

    def count_held(self, organisation: str) -> int:
        """Return the units that the node can use now."""
        report = self.limiter.report_units()
        return report.get(organisation, (0, 0, 0))[0]


class SimulatedService:
    """Nodes of one service, its instance list and the network between them.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    limits : settings.LimitSettings
        Settings of all nodes.
    view_interval : clock.Milliseconds
        Setting of all nodes.
    faults : Faults
        Faults of the network and of the clocks.
    """

    def __init__(
        self,
        seed: int,
        limits: settings.LimitSettings,
        view_interval: clock.Milliseconds,
        faults: Faults,
    ) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.now = clock.ZERO
        self.nodes: dict[str, SimulatedNode] = {}
        self.silent: set[str] = set()  # Hosts that do not respond at all.
        self.partitions: dict[str, int] = {}
        self.history: list[frozenset[str]] = [frozenset()]
        self.documents: list[tuple[documents.CallerDocument, ...]] = [()]
        self.message_count = 0
        self.byte_count = 0
        self._limits = limits
        self._view_interval = view_interval
        self._incarnations = itertools.count(1)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def publish_list(self, members: Iterable[str]) -> int:
        """Publish a new revision of the list and return its number."""
        self.history.append(frozenset(members))
        return len(self.history) - 1

    def publish_document(self, *callers: documents.CallerDocument) -> int:
        """Publish a new service document and return its version."""
        self.documents.append(callers)
        return len(self.documents) - 1

    def start(self, instance: str) -> SimulatedNode:
        """Start a process, which replaces an earlier one of the instance."""
        drift = self.random.uniform(-self.faults.drift, self.faults.drift)
        node = SimulatedNode(
            instance,
            next(self._incarnations),
            self._limits,
            self._view_interval,
            drift,
        )
        self.nodes[instance] = node
        self.silent.discard(instance)
        return node

    def crash(self, instance: str) -> None:
        """End a process, so that its address refuses connections."""
        del self.nodes[instance]

    def say_goodbye(self, instance: str) -> None:
        """End a process that sends goodbye messages to its peers."""
        node = self.nodes.pop(instance)
        for peer in node.agreement.list_peers():
            goodbye = node.identity.build_sender(peer)
            if not self._is_lost(instance, peer):
                self._schedule(self._deliver_goodbye, peer, goodbye)

    def deliver_list(self, instance: str, revision: int) -> None:
        """Deliver a revision of the instance list to a node."""
        node = self.nodes[instance]
        if revision > node.revision:
            node.revision = revision
            node.agreement.add_revision(revision, self.history[revision])

    def deliver_document(self, instance: str, version: int) -> None:
        """Deliver a version of the service document to a node."""
        self.nodes[instance].apply_document(version, self.documents[version])

    def deliver_all(self) -> None:
        """Deliver the newest list and document to all nodes not paused."""
        for name, node in self.nodes.items():
            if not node.paused:
                self.deliver_list(name, len(self.history) - 1)
                self.deliver_document(name, len(self.documents) - 1)

    def resume(self, instance: str) -> None:
        """Resume a paused process, which handles what it received meanwhile."""
        node = self.nodes[instance]
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for action in waiting:
            action()

    def step(self, duration: clock.Milliseconds) -> None:
        """Advance time, deliver the messages that are due and run the nodes."""
        self.now = self.now + duration
        for node in self.nodes.values():
            node.time.advance(duration * (1 + node.drift))
        while self._queue and self._queue[0][0] <= self.now.value:
            heapq.heappop(self._queue)[2]()
        for node in tuple(self.nodes.values()):
            if not node.paused:
                self._run_tasks(node)

    def run(
        self, duration: clock.Milliseconds, step: clock.Milliseconds
    ) -> None:
        """Advance time in steps."""
        end = self.now + duration
        while self.now < end:
            self.step(step)

    def find_excess(self, organisation: str) -> int:
        """Return the units that all nodes together hold above the limit."""
        held = sum(n.count_held(organisation) for n in self.nodes.values())
        return held - shares.LIMIT_UNITS

    def _run_tasks(self, node: SimulatedNode) -> None:
        """Run the tasks of a node that are due."""
        node.agreement.advance()
        now = node.time.now()
        for peer in node.agreement.list_peers():
            if peer in node.busy:
                continue
            if node.agreement.find_next_exchange(peer) <= now:
                self._exchange(node, peer)
                continue
            due = node.limiter.find_due(peer)
            if due is not None and due <= now:
                for request in node.limiter.list_due_requests(peer):
                    self._request_lease(node, peer, request)

    def _exchange(self, node: SimulatedNode, peer: str) -> None:
        request = node.agreement.build_request(peer)
        sent_at = node.time.now()

        def handle_reply(reply: Any) -> None:
            node.busy.pop(peer, None)
            if isinstance(reply, messages.ViewReply):
                node.agreement.take_reply(peer, request, reply, sent_at)
                return
            refused = reply is None
            node.agreement.note_failure(peer, request, sent_at, refused)
            if not refused:
                node.agreement.note_incarnation(peer, reply.incarnation)

        def handle_timeout() -> None:
            node.agreement.note_failure(peer, request, sent_at, refused=False)

        self._call(node, peer, request, handle_reply, handle_timeout)

    def _request_lease(
        self, node: SimulatedNode, peer: str, request: messages.LeaseRequest
    ) -> None:
        requested_at = node.time.now()

        def handle_reply(reply: Any) -> None:
            node.busy.pop(peer, None)
            if not isinstance(reply, messages.LeaseReply):
                reply = None
            node.limiter.take_lease_reply(peer, request, reply, requested_at)

        def handle_timeout() -> None:
            node.limiter.take_lease_reply(peer, request, None, requested_at)

        self._call(node, peer, request, handle_reply, handle_timeout)

    def _call(
        self,
        node: SimulatedNode,
        peer: str,
        request: Any,
        handle_reply: Callable[[Any], None],
        handle_timeout: Callable[[], None],
    ) -> None:
        """Send a request; the peer is busy until the reply or the timeout."""
        self._count(request)
        timeout = _CALL_TIMEOUT
        if isinstance(request, messages.LeaseRequest):
            timeout = self._limits.lease_duration * 0.25
        until = node.time.now() + timeout
        node.busy[peer] = until
        self._schedule_at(
            self.now + timeout,
            lambda: self._time_out(node, peer, until, handle_timeout),
        )
        if self._is_lost(node.instance, peer):
            return
        for _ in range(self._draw_copies()):
            self._schedule(
                self._deliver_request, node, peer, request, handle_reply
            )

    def _time_out(
        self,
        node: SimulatedNode,
        peer: str,
        until: clock.Milliseconds,
        handle_timeout: Callable[[], None],
    ) -> None:
        if self.nodes.get(node.instance) is not node:
            return
        if node.busy.get(peer) == until:
            del node.busy[peer]
            self._run_or_defer(node, handle_timeout)

    def _deliver_request(
        self,
        sender: SimulatedNode,
        peer: str,
        request: Any,
        handle_reply: Callable[[Any], None],
    ) -> None:
        if peer in self.silent:
            return
        receiver = self.nodes.get(peer)
        if receiver is None:
            # The address refuses the connection of this attempt.
            self._run_or_defer(sender, lambda: handle_reply(None))
            return
        self._run_or_defer(
            receiver,
            lambda: self._handle(receiver, sender, request, handle_reply),
        )

    def _handle(
        self,
        receiver: SimulatedNode,
        sender: SimulatedNode,
        request: Any,
        handle_reply: Callable[[Any], None],
    ) -> None:
        reply: Any
        if not receiver.identity.accepts(request.sender):
            reply = messages.Fault(incarnation=receiver.identity.incarnation)
        elif isinstance(request, messages.ViewRequest):
            reply = receiver.agreement.answer_request(request)
        else:
            reply = receiver.limiter.grant(request)
        self._count(reply)
        if self._is_lost(receiver.instance, sender.instance):
            return
        for _ in range(self._draw_copies()):
            self._schedule(
                self._run_or_defer, sender, lambda: handle_reply(reply)
            )

    def _deliver_goodbye(self, peer: str, sender: messages.Sender) -> None:
        receiver = self.nodes.get(peer)
        if receiver is not None:
            self._run_or_defer(
                receiver, lambda: receiver.agreement.note_goodbye(sender)
            )

    def _run_or_defer(
        self, node: SimulatedNode, action: Callable[[], None]
    ) -> None:
        if self.nodes.get(node.instance) is not node:
            return
        if node.paused:
            node.inbox.append(action)
        else:
            action()

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if self.partitions.get(sender, 0) != self.partitions.get(receiver, 0):
            return True
        return self.random.random() < self.faults.loss

    def _draw_copies(self) -> int:
        return 2 if self.random.random() < self.faults.duplication else 1

    def _schedule(self, action: Callable[..., None], *arguments: Any) -> None:
        delay = self.faults.delay * (1 + self.random.random())
        if self.random.random() < self.faults.long_delay:
            delay = self.faults.longest_delay * self.random.random()
        self._schedule_at(self.now + delay, lambda: action(*arguments))

    def _schedule_at(
        self, at: clock.Milliseconds, action: Callable[[], None]
    ) -> None:
        heapq.heappush(self._queue, (at.value, next(self._order), action))

    def _count(self, message: Any) -> None:
        self.message_count += 1
        self.byte_count += len(wire.encode(message)) + _FRAME_HEADER_BYTES
