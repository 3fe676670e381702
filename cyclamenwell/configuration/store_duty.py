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

from cyclamenwell import clock
from cyclamenwell.membership import rendezvous

__all__ = ["StoreDuty", "choose_readers"]

# In a fleet of this size every node reads: it costs little, and each node is
# independent of the others.
_MIN_READERS = 16
# Readers in each data centre at least, so that the loss of one is borne.
_MIN_READERS_PER_DATA_CENTRE = 2
_PURPOSE = "store-reader"
# A node without contact to another node for this time reads for itself. A
# change made at the moment of a cut then still arrives within the two seconds
# in which a configuration has to come into force.
_MAX_ISOLATION = clock.Milliseconds(1900)
# The longest watch and a margin: older knowledge means that the readers do not
# reach the store.
_MAX_STORE_AGE = clock.Milliseconds(14_000)
_CHECK_INTERVAL = clock.Milliseconds(250)


def choose_readers(
    hosts_by_data_centre: Mapping[str, Collection[str]],
) -> frozenset[str]:
    """Return the hosts of the nodes that read the store.

    Parameters
    ----------
    hosts_by_data_centre : mapping
        Hosts of the published targets in each data centre.
    """
    data_centres = max(len(hosts_by_data_centre), 1)
    count = max(-(-_MIN_READERS // data_centres), _MIN_READERS_PER_DATA_CENTRE)
    return frozenset(
        host
        for hosts in hosts_by_data_centre.values()
        for host in rendezvous.choose_members(_PURPOSE, hosts, count)
    )


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
        self._hosts: frozenset[str] = frozenset()
        self._readers: frozenset[str] = frozenset()
        self._last_contact = time.now()
        self._last_confirmation = time.now()

    @property
    def is_reader(self) -> bool:
        """Whether the node has to read the store now."""
        if not self._readers or self._host in self._readers:
            return True
        if self._host not in self._hosts:
            # Other nodes do not know this one, so none of them tells it.
            return True
        now = self._time.now()
        if now - self._last_contact > _MAX_ISOLATION:
            return True
        return now - self._last_confirmation > _MAX_STORE_AGE

    @property
    def has_learners(self) -> bool:
        """Whether some nodes do not read the store."""
        return len(self._readers) < len(self._hosts)

    @property
    def store_age(self) -> clock.Milliseconds:
        """Time since the store confirmed what this node knows."""
        return self._time.now() - self._last_confirmation

    @property
    def check_interval(self) -> clock.Milliseconds:
        """Time after which a node without duty checks again."""
        return _CHECK_INTERVAL

    def set_fleet(
        self, hosts_by_data_centre: Mapping[str, Collection[str]]
    ) -> None:
        """Set the hosts of the published targets in each data centre."""
        self._hosts = frozenset().union(*hosts_by_data_centre.values())
        self._readers = choose_readers(hosts_by_data_centre)

    def note_store_answer(self) -> None:
        """Note that the store has confirmed the node's knowledge."""
        self._last_confirmation = self._time.now()

    def note_contact(self, store_age: clock.Milliseconds) -> None:
        """Note an exchange with another node.

        Parameters
        ----------
        store_age : clock.Milliseconds
            Age of the other node's knowledge, which this node now shares.
        """
        self._last_contact = self._time.now()
        self._last_confirmation = max(
            self._last_confirmation, self._time.now() - store_age
        )
