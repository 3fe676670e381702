"""Priority queue of the gate with fair queueing between organisations."""

from __future__ import annotations

import collections
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import tickets
from cyclamenwell.generated import enumerations

__all__ = ["Entry", "OrderedQueue"]

# Bounds the number of rounds until an organisation with a small weight is
# served.
_MIN_QUANTUM = 1 / 64


class Entry:
    """A request at the gate; it is admitted or refused exactly once.

    Parameters
    ----------
    ticket : tickets.Ticket
        The request.
    number : int
        Sequence number of the arrival.
    give_up_at : clock.Milliseconds
        Monotonic time at which the queue wait ends.

    Attributes
    ----------
    admission : tickets.Admission or None
        Permit of an admitted request.
    refusal : exceptions.RefusedError or None
        Error of a refused request.
    """

    __slots__ = (
        "admission",
        "give_up_at",
        "number",
        "refusal",
        "ticket",
        "_settled",
    )

    def __init__(
        self,
        ticket: tickets.Ticket,
        number: int,
        give_up_at: clock.Milliseconds,
    ) -> None:
        self.ticket = ticket
        self.number = number
        self.give_up_at = give_up_at
        self.admission: tickets.Admission | None = None
        self.refusal: exceptions.RefusedError | None = None
        self._settled = threading.Event()

    @property
    def settled(self) -> bool:
        """Whether the request has been admitted or refused."""
        return self._settled.is_set()

    def admit(self, admission: tickets.Admission) -> None:
        """Admit the request and wake the waiting thread."""
        assert not self.settled, "entry is already settled"
        self.admission = admission
        self._settled.set()

    def refuse(self, refusal: exceptions.RefusedError) -> None:
        """Refuse the request and wake the waiting thread."""
        assert not self.settled, "entry is already settled"
        self.refusal = refusal
        self._settled.set()

    def wait(self, timeout: clock.Milliseconds) -> bool:
        """Wait until the entry is settled or the timeout ends.

        Returns
        -------
        bool
            Whether the entry is settled.
        """
        return self._settled.wait(max(timeout.seconds, 0.0))


class _ImportanceClass:
    """Entries of one importance, served by deficit round robin."""

    def __init__(self) -> None:
        self._queues: dict[str, collections.deque[Entry]] = {}
        self._round_robin: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._queues)

    def add(self, entry: Entry) -> None:
        name = entry.ticket.organisation
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = collections.deque()
            self._round_robin.append(name)
            self._deficits[name] = 0.0
        self._weights[name] = entry.ticket.weight
        queue.append(entry)

    def pop(self) -> Entry:
        """Remove and return the next entry in the round robin order."""
        largest = max(self._weights.values())
        while True:
            name = self._round_robin[0]
            if self._deficits[name] >= 1.0:
                self._deficits[name] -= 1.0
                entry = self._queues[name].popleft()
                self._remove_if_empty(name)
                return entry
            self._round_robin.rotate(-1)
            name = self._round_robin[0]
            self._deficits[name] += self._get_quantum(name, largest)

    def remove(self, entry: Entry) -> None:
        name = entry.ticket.organisation
        self._queues[name].remove(entry)
        self._remove_if_empty(name)

    def find_newest(self) -> Entry:
        return max(
            (queue[-1] for queue in self._queues.values()),
            key=lambda entry: entry.number,
        )

    def find_over_share(self, ticket: tickets.Ticket) -> Entry | None:
        """Find an entry of an organisation that exceeds its fair share.

        Returns
        -------
        Entry or None
            Newest entry of the organisation with the most entries in relation
            to its weight, if without that entry it still has at least as many
            as the organisation of `ticket` would have. None if there is no
            other such organisation.
        """
        weights = dict(self._weights)
        weights[ticket.organisation] = ticket.weight
        largest = max(weights.values())
        own = len(self._queues.get(ticket.organisation, ())) + 1
        own /= _normalize_weight(ticket.weight, weights, largest)
        excess, name = max(
            (
                (len(queue) - 1)
                / _normalize_weight(weights[name], weights, largest),
                name,
            )
            for name, queue in self._queues.items()
        )
        if name == ticket.organisation or excess < own:
            return None
        return self._queues[name][-1]

    def _get_quantum(self, name: str, largest: float) -> float:
        return _normalize_weight(self._weights[name], self._weights, largest)

    def _remove_if_empty(self, name: str) -> None:
        if self._queues[name]:
            return
        del self._queues[name], self._deficits[name], self._weights[name]
        self._round_robin.remove(name)


def _normalize_weight(
    weight: float, weights: dict[str, float], largest: float
) -> float:
    """Return the weight relative to the largest one.

    Notes
    -----
    Open routes have no entitled rate. They get the smallest weight in the
    queue, because no organisation limits or is accountable for their requests.
    """
    if largest <= 0:
        return 1.0
    if weight <= 0:
        weight = min(known for known in weights.values() if known > 0)
    return max(weight / largest, _MIN_QUANTUM)


class OrderedQueue:
    """Waiting entries, ordered by importance.

    Notes
    -----
    Not thread-safe: the lock of the gate guards it.
    """

    def __init__(self) -> None:
        self._classes = {
            importance: _ImportanceClass()
            for importance in sorted(enumerations.Importance)
        }
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, entry: Entry) -> None:
        """Append an entry to the queue of its organisation."""
        self._classes[entry.ticket.importance].add(entry)
        self._size += 1

    def pop(self) -> Entry:
        """Remove and return the next entry; the queue must not be empty."""
        importance_class = next(
            importance_class
            for importance_class in self._classes.values()
            if importance_class
        )
        self._size -= 1
        return importance_class.pop()

    def remove(self, entry: Entry) -> None:
        """Remove a waiting entry."""
        self._classes[entry.ticket.importance].remove(entry)
        self._size -= 1

    def evict(self, ticket: tickets.Ticket) -> Entry | None:
        """Evict an entry to make room for a new request.

        Parameters
        ----------
        ticket : tickets.Ticket
            The new request.

        Returns
        -------
        Entry or None
            Evicted entry: the newest entry of the lowest importance if that is
            lower than the importance of the new request; else an entry of an
            organisation that exceeds its fair share of the same importance;
            None if the new request has to be refused.
        """
        lowest = next(
            (i for i in reversed(self._classes) if self._classes[i]), None
        )
        if lowest is None or lowest < ticket.importance:
            return None
        importance_class = self._classes[lowest]
        if lowest > ticket.importance:
            entry = importance_class.find_newest()
        else:
            entry = importance_class.find_over_share(ticket)
        if entry is not None:
            self.remove(entry)
        return entry
