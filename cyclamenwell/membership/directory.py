"""Instance list of the platform and the state that peers have reported."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import threading

from cyclamenwell import clock
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages

__all__ = ["Directory", "InstanceList", "PeerRecord", "make_incarnation"]

_State = enumerations.InstanceState
_INCARNATION_RANDOM_BITS = 16


def make_incarnation(time: clock.Clock, random_bits: int) -> int:
    """Return the incarnation of a starting process.

    Parameters
    ----------
    time : clock.Clock
        Clock of the process.
    random_bits : int
        Random number, of which the low 16 bits are used. They distinguish two
        processes that start in the same millisecond.

    Returns
    -------
    int
        Wall time in milliseconds shifted left by 16 bits, with the random
        bits. A later process has a higher incarnation.
    """
    mask = (1 << _INCARNATION_RANDOM_BITS) - 1
    started = int(time.wall_time().value) << _INCARNATION_RANDOM_BITS
    return started | (random_bits & mask)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """One revision of the platform's instance list.

    Parameters
    ----------
    revision : int
        Revision assigned by the platform, 0 before the first list.
    entries : Mapping of str to messages.InstanceEntry
        Entries by instance name.
    services : Mapping of str to tuple of messages.InstanceEntry
        Entries of each service, sorted by instance name.
    """

    revision: int = 0
    entries: Mapping[str, messages.InstanceEntry] = dataclasses.field(
        default_factory=dict
    )
    services: Mapping[str, tuple[messages.InstanceEntry, ...]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """State of a peer from its own messages and from calls to it.

    Parameters
    ----------
    load : messages.LoadReport or None
        Last load report that the instance sent.
    heard_at : clock.Milliseconds or None
        Monotonic time of its last message.
    gone : bool
        Whether the process with the reported incarnation is known to be gone.
    """

    load: messages.LoadReport | None = None
    heard_at: clock.Milliseconds | None = None
    gone: bool = False


class Directory:
    """Instance list and the last known state of each peer.

    Parameters
    ----------
    time : clock.Clock
        Clock for the arrival time of messages.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self._lock = threading.Lock()
        self._records: dict[str, PeerRecord] = {}
        self._listeners: list[Callable[[InstanceList], None]] = []
        self._gone_listeners: list[Callable[[str], None]] = []
        self.current_list = InstanceList()

    def add_listener(self, listener: Callable[[InstanceList], None]) -> None:
        """Add a function to call with each new revision of the list."""
        self._listeners.append(listener)

    def add_gone_listener(self, listener: Callable[[str], None]) -> None:
        """Add a function to call with an instance whose address refused."""
        self._gone_listeners.append(listener)

    def replace_list(
        self, revision: int, entries: Iterable[messages.InstanceEntry]
    ) -> bool:
        """Replace the instance list unless the revision is outdated.

        Returns
        -------
        bool
            Whether the revision is newer than the current one.
        """
        with self._lock:
            if revision <= self.current_list.revision:
                return False
            self.current_list = _index_entries(revision, entries)
            listed = self.current_list.entries
            self._records = {
                name: record
                for name, record in self._records.items()
                if name in listed
            }
            current = self.current_list
        for listener in self._listeners:
            listener(current)
        return True

    def list_service(self, service: str) -> tuple[messages.InstanceEntry, ...]:
        """Return the listed entries of a service, sorted by name."""
        return self.current_list.services.get(service, ())

    def find_entry(self, instance: str) -> messages.InstanceEntry | None:
        """Return the listed entry of an instance, None if it is not listed."""
        return self.current_list.entries.get(instance)

    def find_record(self, instance: str) -> PeerRecord:
        """Return the state of an instance from its messages and calls to it."""
        return self._records.get(instance, _UNKNOWN_PEER)

    def note_load(self, load: messages.LoadReport) -> None:
        """Store an instance's report, unless a later process has reported."""
        with self._lock:
            record = self._records.get(load.instance, _UNKNOWN_PEER)
            if record.load and load.incarnation < record.load.incarnation:
                return
            self._records[load.instance] = PeerRecord(
                load=load,
                heard_at=self._time.now(),
                gone=load.state is _State.GONE,
            )

    def note_goodbye(self, sender: messages.Sender, state: _State) -> None:
        """Store the state that a stopping peer announces."""
        self.note_load(
            messages.LoadReport(
                instance=sender.instance,
                incarnation=sender.incarnation,
                state=state,
            )
        )

    def forget_load(self, instance: str) -> None:
        """Drop the state of an instance whose process was replaced."""
        with self._lock:
            self._records.pop(instance, None)

    def note_gone(self, instance: str) -> None:
        """Record that no process listens at the instance's address."""
        with self._lock:
            record = self._records.get(instance, _UNKNOWN_PEER)
            self._records[instance] = dataclasses.replace(record, gone=True)
        for listener in self._gone_listeners:
            listener(instance)


_UNKNOWN_PEER = PeerRecord()


def _index_entries(
    revision: int, entries: Iterable[messages.InstanceEntry]
) -> InstanceList:
    by_name = {entry.instance: entry for entry in entries}
    services: dict[str, list[messages.InstanceEntry]] = {}
    for name in sorted(by_name):
        services.setdefault(by_name[name].service, []).append(by_name[name])
    entries_by_service = {
        name: tuple(found) for name, found in services.items()
    }
    return InstanceList(revision, by_name, entries_by_service)
