"""Builders for tests of at-most-once execution."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.idempotency import answers
from cyclamenwell.idempotency import claimer as claimers
from cyclamenwell.idempotency import guard as guards
from cyclamenwell.idempotency import registrar as registrars

TIMEOUT = clock.Milliseconds(1000)
LIMITS = settings.IdempotencySettings()


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """View of the members of the service."""

    members: tuple[str, ...]


class Views:
    """View source whose views a test sets directly.

    Parameters
    ----------
    settled : clock.Milliseconds or None
        Wall time when the node settled, None for a node that has not.
    *live : View
        Live views.
    """

    def __init__(self, settled: clock.Milliseconds | None, *live: View) -> None:
        self.settled = settled
        self.live = live
        self.before: tuple[View, ...] = ()

    def list_live_views(self):
        return self.live if self.settled is not None else ()

    def find_settled_time(self):
        return self.settled

    def list_views_since(self, wall):
        del wall
        return self.before + self.live


class Network:
    """Delivers messages between nodes once, twice or not at all.

    Parameters
    ----------
    source : random.Random
        Source of random losses.
    loss : float
        Probability that a request or a reply is lost.
    """

    def __init__(self, source: random.Random, loss: float = 0.0) -> None:
        self.nodes: dict[str, Node] = {}
        self.cut: set[str] = set()
        self._source = source
        self._loss = loss

    def send(self, sender: str, receiver: str, message: Any) -> Any:
        """Deliver a message and return its reply."""
        lost = self._source.random() < self._loss
        if lost or receiver in self.cut or sender in self.cut:
            raise _build_unavailable_error(receiver)
        node = self.nodes[receiver]
        stamped = dataclasses.replace(
            message, sender=messages.Sender(sender, self.nodes[sender].number)
        )
        reply = node.handle(stamped)
        if self._source.random() < self._loss:
            node.handle(stamped)  # The reply is lost, the request duplicated.
            raise _build_unavailable_error(receiver)
        return reply


class Node:
    """Registrar, claimer and guard of one instance."""

    def __init__(
        self, name: str, network: Network, time: clock.Clock, views: Views
    ) -> None:
        self.name = name
        self.number = len(network.nodes) + 1
        self.views = views
        self.registrar = registrars.Registrar(name, time, views, LIMITS)
        self.claimer = claimers.Claimer(
            views, self._send, LIMITS.registrars, TIMEOUT
        )
        self.cache = answers.AnswerCache(
            time, LIMITS.max_kept_bytes, LIMITS.max_key_age
        )
        self.guard = guards.Guard(self.cache, self.claimer, self._send, TIMEOUT)
        self._network = network
        network.nodes[name] = self

    def handle(self, message: Any) -> Any:
        """Return the reply to a message, as a node does."""
        if isinstance(message, messages.ClaimRequest):
            return self.registrar.decide(message)
        if isinstance(message, messages.ReleaseRequest):
            return self.registrar.release(message)
        return self.guard.answer_peer(message)

    def _send(self, receiver: str, message: Any, timeout: Any) -> Any:
        del timeout
        return self._network.send(self.name, receiver, message)


def _build_unavailable_error(receiver: str) -> exceptions.PeerUnavailableError:
    return exceptions.PeerUnavailableError(
        f"{receiver} did not reply", sent=True, refused=False
    )


def build_answer(text: str = "done") -> answers.CachedAnswer:
    """Return a complete answer."""
    return answers.CachedAnswer(200, (), text.encode())


def build_nodes(count: int, time: clock.Clock, network: Network) -> list[Node]:
    """Return nodes that settled on one common view an hour ago."""
    view = View(tuple(f"n{index}" for index in range(count)))
    settled = time.wall_time() - clock.Milliseconds(3_600_000)
    return [
        Node(name, network, time, Views(settled, view)) for name in view.members
    ]
