"""Queue of the gate: by importance, then fair between organisations."""

from __future__ import annotations

import collections
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import tickets
from cyclamenwell.generated import enumerations

__all__ = ["Entry", "OrderedQueue"]

# Bounds the turns that a small organisation waits for its next request.
_MIN_QUANTUM = 1 / 64


class Entry:
    """A request at the gate, settled once by an admission or a refusal.

    Parameters
    ----------
    ticket : tickets.Ticket
        The request.
    number : int
        Order of arrival.
    give_up_at : clock.Milliseconds
        Monotonic time at which it stops waiting.
    """

    __slots__ = (
        "admission",
        "give_up_at",
        "number",
        "refusal",
        "ticket",
        "_done",
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
        self._done = threading.Event()

    @property
    def settled(self) -> bool:
        """Whether the request was admitted or refused."""
        return self._done.is_set()

    def admit(self, admission: tickets.Admission) -> None:
        """Settle by an admission and wake the waiting thread."""
        assert not self.settled, "an entry is settled once"
        self.admission = admission
        self._done.set()

    def refuse(self, refusal: exceptions.RefusedError) -> None:
        """Settle by a refusal and wake the waiting thread."""
        assert not self.settled, "an entry is settled once"
        self.refusal = refusal
        self._done.set()

    def wait(self, timeout: clock.Milliseconds) -> bool:
        """Wait until the entry is settled, and return whether it is."""
        return self._done.wait(max(timeout.seconds, 0.0))


class _Level:
    """Entries of one importance, served by deficit round robin."""

    def __init__(self) -> None:
        self._lines: dict[str, collections.deque[Entry]] = {}
        self._turns: collections.deque[str] = collections.deque()
        self._deficits: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._lines)

    def add(self, entry: Entry) -> None:
        name = entry.ticket.organisation
        line = self._lines.get(name)
        if line is None:
            line = self._lines[name] = collections.deque()
            self._turns.append(name)
            self._deficits[name] = 0.0
        self._weights[name] = entry.ticket.weight
        line.append(entry)

    def pop(self) -> Entry:
        """Remove the entry whose turn it is."""
        largest = max(self._weights.values())
        while True:
            name = self._turns[0]
            if self._deficits[name] >= 1.0:
                self._deficits[name] -= 1.0
                entry = self._lines[name].popleft()
                self._forget_if_empty(name)
                return entry
            self._turns.rotate(-1)
            name = self._turns[0]
            self._deficits[name] += self._find_quantum(name, largest)

    def remove(self, entry: Entry) -> None:
        name = entry.ticket.organisation
        self._lines[name].remove(entry)
        self._forget_if_empty(name)

    def find_newest(self) -> Entry:
        return max(
            (line[-1] for line in self._lines.values()),
            key=lambda entry: entry.number,
        )

    def find_excess(self, ticket: tickets.Ticket) -> Entry | None:
        """Find the newest entry of an organisation that holds too much.

        Returns
        -------
        Entry or None
            An entry of the organisation with the most entries by weight, if
            it keeps at least as many by weight as the newcomer's will have.
        """
        weights = dict(self._weights)
        weights[ticket.organisation] = ticket.weight
        largest = max(weights.values())
        own = len(self._lines.get(ticket.organisation, ())) + 1
        own /= _weigh(ticket.weight, weights, largest)
        excess, name = max(
            (
                (len(line) - 1) / _weigh(weights[name], weights, largest),
                name,
            )
            for name, line in self._lines.items()
        )
        if name == ticket.organisation or excess < own:
            return None
        return self._lines[name][-1]

    def _find_quantum(self, name: str, largest: float) -> float:
        return _weigh(self._weights[name], self._weights, largest)

    def _forget_if_empty(self, name: str) -> None:
        if self._lines[name]:
            return
        del self._lines[name], self._deficits[name], self._weights[name]
        self._turns.remove(name)


def _weigh(weight: float, weights: dict[str, float], largest: float) -> float:
    """Return the weight as a part of the largest one.

    Notes
    -----
    Open routes have no entitled rate. They count as the smallest organisation
    that waits, because nobody limits or answers for their requests.
    """
    if largest <= 0:
        return 1.0
    if weight <= 0:
        weight = min(known for known in weights.values() if known > 0)
    return max(weight / largest, _MIN_QUANTUM)


class OrderedQueue:
    """Entries that wait, the most important ones first.

    Notes
    -----
    Guarded by the lock of the gate.
    """

    def __init__(self) -> None:
        self._levels = {
            importance: _Level()
            for importance in sorted(enumerations.Importance)
        }
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, entry: Entry) -> None:
        """Add an entry at the end of its organisation's line."""
        self._levels[entry.ticket.importance].add(entry)
        self._size += 1

    def pop(self) -> Entry:
        """Remove and return the entry to serve next; there must be one."""
        level = next(level for level in self._levels.values() if level)
        self._size -= 1
        return level.pop()

    def remove(self, entry: Entry) -> None:
        """Remove an entry that waits."""
        self._levels[entry.ticket.importance].remove(entry)
        self._size -= 1

    def displace(self, ticket: tickets.Ticket) -> Entry | None:
        """Remove an entry that has to give way to a newcomer.

        Parameters
        ----------
        ticket : tickets.Ticket
            The newcomer.

        Returns
        -------
        Entry or None
            The newest entry of the lowest importance, if that is lower than
            the newcomer's; else an entry of an organisation that holds more
            than its part of the newcomer's importance; else None.
        """
        lowest = next(
            (i for i in reversed(self._levels) if self._levels[i]), None
        )
        if lowest is None or lowest < ticket.importance:
            return None
        level = self._levels[lowest]
        if lowest > ticket.importance:
            entry = level.find_newest()
        else:
            entry = level.find_excess(ticket)
        if entry is not None:
            self.remove(entry)
        return entry
