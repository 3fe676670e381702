"""Decision which nodes read the platform's store.

Answers the load of a large fleet on the store: if every node watches it, calls
grow with the fleet, although all of them tell the same. A few nodes of each
data centre read, and the others learn from them. Each node decides by itself,
so that no agreement is needed: the readers are chosen by rendezvous hashing
over the published targets. A node that has not heard from a reader for a
bounded time reads for itself, so a change is seen also if all readers are lost.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math

from cyclamenwell import clock
from cyclamenwell.membership import rendezvous

__all__ = ["StoreDuty", "count_readers"]

# Readers of the whole fleet at least: some of them may be dead, cut off or
# turned away by the store at the same time.
_MIN_READERS = 8
# Readers in each data centre at least, so that the loss of one is borne.
_MIN_READERS_PER_DATA_CENTRE = 2
_PURPOSE = "store-reader"
# A node that has heard from no reader for this time reads for itself. A change
# made just after the loss of the readers then still arrives within the two
# seconds in which a configuration has to come into force.
_MAX_READER_SILENCE = clock.Milliseconds(1500)
# The watches of the readers end more often than this, also without changes:
# older knowledge means that the readers are alive but do not reach the store.
_MAX_STORE_AGE = clock.Milliseconds(4000)
# Nodes that replace such readers begin in the order of their hashes, twice as
# many after each such time, so that a store that returns is not flooded.
_TAKEOVER_STEP = clock.Milliseconds(1500)
_CHECK_INTERVAL = clock.Milliseconds(100)
# Nodes of a data centre that learn from one and the same node. With more of
# them than the readers can serve, the others learn from those.
_MAX_FOLLOWERS = 16


def count_readers(data_centres: int) -> int:
    """Return the number of nodes of each data centre that read the store.

    Parameters
    ----------
    data_centres : int
        Number of data centres with published targets.
    """
    share = math.ceil(_MIN_READERS / max(data_centres, 1))
    return max(share, _MIN_READERS_PER_DATA_CENTRE)


class StoreDuty:
    """Whether one node reads the store, and how old its knowledge is.

    Parameters
    ----------
    time : clock.Clock
        Clock for the ages.
    host : str
        Host of the node.
    """

    def __init__(self, time: clock.Clock, host: str) -> None:
        self._time = time
        self._host = host
        # Position among the nodes of the data centre, None if the node is not
        # known there: nobody tells it anything then.
        self._position: int | None = None
        self._readers_per_data_centre = 1
        # The latest time at which some reader was active, as far as known. A
        # starting node waits as long as one that has just heard from a reader.
        self._last_reader_activity = time.now()
        self._has_heard_reader = False
        self._last_confirmation: clock.Milliseconds | None = None
        self._last_answer: clock.Milliseconds | None = None
        self.readers = 1
        self.has_learners = False
        # Hosts of the readers in the data centre of this node, without itself.
        self.near_readers: tuple[str, ...] = ()
        # Hosts in the data centre to learn from, the preferred one first.
        self.sources: tuple[str, ...] = ()

    @property
    def is_chosen(self) -> bool:
        """Whether the node reads the store also while all is well."""
        if self._position is None:
            return True
        return self._position < self._readers_per_data_centre

    @property
    def is_reader(self) -> bool:
        """Whether the node has to read the store now."""
        if self.is_chosen:
            return True
        if self.reader_silence > _MAX_READER_SILENCE:
            return True
        age = self.store_age
        return age is None or age > self._find_takeover_age()

    @property
    def store_age(self) -> clock.Milliseconds | None:
        """Time since the store confirmed what this node knows.

        None if that has not happened since the start of the node.
        """
        if self._last_confirmation is None:
            return None
        return self._time.now() - self._last_confirmation

    @property
    def store_age_ms(self) -> float | None:
        """The age in milliseconds, as messages carry it."""
        age = self.store_age
        return None if age is None else age.value

    @property
    def reader_age_ms(self) -> float | None:
        """Milliseconds since some reader was active, None if not known.

        A node that reads in place of others counts as a reader only while the
        store answers it, since it may be cut off from more than the readers.
        """
        if self.is_chosen or (self.is_reader and self._has_recent_answer()):
            return 0.0
        if not self._has_heard_reader:
            return None
        return self.reader_silence.value

    @property
    def reader_silence(self) -> clock.Milliseconds:
        """Time since some reader was active, as far as this node knows."""
        return self._time.now() - self._last_reader_activity

    @property
    def check_interval(self) -> clock.Milliseconds:
        """Time after which a node without duty checks again."""
        return _CHECK_INTERVAL

    def set_fleet(
        self, hosts_by_data_centre: Mapping[str, Collection[str]]
    ) -> None:
        """Set the hosts of the published targets in each data centre."""
        count = count_readers(len(hosts_by_data_centre))
        self._readers_per_data_centre = count
        sizes = [len(hosts) for hosts in hosts_by_data_centre.values()]
        self.readers = max(sum(min(size, count) for size in sizes), 1)
        self.has_learners = any(size > count for size in sizes)
        self._position = None
        self.near_readers = ()
        self.sources = ()
        for hosts in hosts_by_data_centre.values():
            if self._host not in hosts:
                continue
            ordered = rendezvous.choose_members(_PURPOSE, hosts, len(hosts))
            self._position = ordered.index(self._host)
            self.near_readers = tuple(
                host for host in ordered[:count] if host != self._host
            )
            self.sources = self._list_sources(ordered)

    def note_store_answer(self) -> None:
        """Note that the store has confirmed the node's knowledge."""
        self._last_answer = self._last_confirmation = self._time.now()

    def note_contact(
        self,
        store_age: clock.Milliseconds | None,
        reader_age: clock.Milliseconds | None,
        asked_at: clock.Milliseconds,
    ) -> None:
        """Note a reply of another node whose knowledge this node now shares.

        Parameters
        ----------
        store_age : clock.Milliseconds or None
            Age of the other node's knowledge. None if the store has not
            confirmed it.
        reader_age : clock.Milliseconds or None
            Time since some reader was active, None if not known there.
        asked_at : clock.Milliseconds
            Time at which the other node was asked. Both ages count from then,
            since a reply may have waited while this process was suspended.
        """
        if reader_age is not None:
            self._has_heard_reader = True
            self._last_reader_activity = max(
                self._last_reader_activity, asked_at - reader_age
            )
        if store_age is None:
            return
        confirmation = asked_at - store_age
        if (
            self._last_confirmation is None
            or confirmation > self._last_confirmation
        ):
            self._last_confirmation = confirmation

    def _has_recent_answer(self) -> bool:
        if self._last_answer is None:
            return False
        return self._time.now() - self._last_answer <= _MAX_STORE_AGE

    def _list_sources(self, ordered: Sequence[str]) -> tuple[str, ...]:
        """Return the hosts to learn from, of the hosts of a data centre."""
        readers = self._readers_per_data_centre
        followers_before = self._position - readers
        if followers_before < 0:
            return ()
        followers = len(ordered) - readers
        asked = max(readers, math.ceil(followers / _MAX_FOLLOWERS))
        preferred = ordered[followers_before % asked]
        others = [host for host in self.near_readers if host != preferred]
        return (preferred, *others)

    def _find_takeover_age(self) -> clock.Milliseconds:
        """Return the age of its knowledge at which the node begins to read."""
        rounds = math.log2((self._position + 1) / self._readers_per_data_centre)
        return _MAX_STORE_AGE + _TAKEOVER_STEP * rounds
