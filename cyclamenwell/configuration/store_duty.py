"""Decision which nodes read the platform's store.

Answers the load of a large fleet on the store: if every node watches it, calls
grow with the fleet, although all of them tell the same. A few nodes of each
data centre read, and the others learn from them. Each node decides by itself,
so that no agreement is needed: the readers are chosen by rendezvous hashing
over the published targets, and a node that loses contact reads for itself.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
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
# A node without contact to another node for this time reads for itself. A
# change made at the moment of a cut then still arrives within the two seconds
# in which a configuration has to come into force.
_MAX_ISOLATION = clock.Milliseconds(1900)
# The longest watch, a pause after it and a margin: older knowledge means that
# the readers do not reach the store.
_MAX_STORE_AGE = clock.Milliseconds(12_000)
# Nodes that replace the readers begin in the order of their hashes, twice as
# many after each such time, so that a store that returns is not flooded.
_TAKEOVER_STEP = clock.Milliseconds(1500)
_CHECK_INTERVAL = clock.Milliseconds(250)


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
        self._last_contact = time.now()
        self._last_confirmation: clock.Milliseconds | None = None
        self.readers = 1
        self.has_learners = False
        # Hosts of the readers in the data centre of this node, without itself.
        self.near_readers: tuple[str, ...] = ()

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
        if self._time.now() - self._last_contact > _MAX_ISOLATION:
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
        for hosts in hosts_by_data_centre.values():
            if self._host not in hosts:
                continue
            ordered = rendezvous.choose_members(_PURPOSE, hosts, len(hosts))
            self._position = ordered.index(self._host)
            self.near_readers = tuple(
                host for host in ordered[:count] if host != self._host
            )

    def note_store_answer(self) -> None:
        """Note that the store has confirmed the node's knowledge."""
        self._last_confirmation = self._time.now()

    def note_contact(self, store_age: clock.Milliseconds | None) -> None:
        """Note an exchange with another node.

        Parameters
        ----------
        store_age : clock.Milliseconds or None
            Age of the other node's knowledge, which this node now shares. None
            if the store has not confirmed it.
        """
        self._last_contact = self._time.now()
        if store_age is None:
            return
        confirmation = self._time.now() - store_age
        if (
            self._last_confirmation is None
            or confirmation > self._last_confirmation
        ):
            self._last_confirmation = confirmation

    def _find_takeover_age(self) -> clock.Milliseconds:
        """Return the age of its knowledge at which the node begins to read."""
        rounds = math.log2((self._position + 1) / self._readers_per_data_centre)
        return _MAX_STORE_AGE + _TAKEOVER_STEP * rounds
