"""Reading the platform's configuration service and instance list."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration import source as sources
from cyclamenwell.configuration import store as stores
from cyclamenwell.documents import parser
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.telemetry import logs
from cyclamenwell.telemetry import metrics

__all__ = ["Platform", "Reader", "draw_backoff", "draw_lone_delay"]

_log = logs.PartLog("config")
_ORIGIN = "platform"
_JITTER = (0.5, 1.0)
# A wider spread lets the second reads of nodes that started at once overlap
# the first ones: 2,178 instead of 1,500 reads in a second for 15,000 nodes.
_LONE_JITTER = (0.95, 1.05)
# Age of the youngest known answer that shows that no reader is left. A watch
# answers at least every 10 s by default, and the age spreads within seconds.
_NO_READER_WAITS = 3
_SUBSTITUTES = 16  # Expected other nodes that then read in one start_delay.
# A restarted platform may count its revisions from the start and pass the one
# that a reader remembers. A whole read finds what was missed by that.
_WHOLE_READ_PERIOD = clock.Milliseconds(3_600_000)


class Platform(Protocol):
    """Serves documents and the instance list."""

    def watch_documents(
        self, after: int, wait: clock.Milliseconds
    ) -> sources.PublishedDocuments:
        """Return documents that changed after a revision."""

    def watch_instances(
        self, after: int, wait: clock.Milliseconds
    ) -> sources.PublishedList:
        """Return the instance list if it is newer than a revision."""


def draw_backoff(
    platform: settings.PlatformSettings, failures: int, source: random.Random
) -> clock.Milliseconds:
    """Return the delay before the next watch.

    Parameters
    ----------
    platform : settings.PlatformSettings
        Bounds of the delay.
    failures : int
        Failed reads in a row; after none, the shortest delay lets changes of
        a burst gather.
    source : random.Random
        Source of jitter.
    """
    if not failures:
        return platform.min_backoff
    # The exponent is bounded, as a float overflows after 1,024 failures.
    grown = platform.min_backoff * 2.0 ** min(failures, 32)
    return min(grown, platform.max_backoff) * source.uniform(*_JITTER)


def draw_lone_delay(
    platform: settings.PlatformSettings, first: bool, source: random.Random
) -> clock.Milliseconds:
    """Return the delay before the next read of a node without peers.

    Parameters
    ----------
    platform : settings.PlatformSettings
        Gives the mean delay.
    first : bool
        Whether the node has just started.
    source : random.Random
        Source of jitter.

    Notes
    -----
    The delay does not depend on success: N such nodes cause N / start_delay
    reads a second, also when the platform fails or all start at once.
    """
    low, high = (0.0, 1.0) if first else _LONE_JITTER
    return platform.start_delay * source.uniform(low, high)


class Reader:
    """Watches the platform while this instance is one of the readers.

    Parameters
    ----------
    client : Platform
        Client of the platform.
    platform : settings.PlatformSettings
        Waits and delays.
    instance : str
        Name of this instance.
    time : clock.Clock
        Clock of the answers' ages.
    store : stores.Store
        Takes the documents.
    directory : directories.Directory
        Takes the instance list and decides who reads.
    freshness : freshnesses.Freshness
        Takes the times of answers.
    source : random.Random
        Source of jitter.

    Notes
    -----
    One thread watches documents and one watches instances; both wait while
    the instance is no reader. A third one reads now and then while no peer
    confirms the view of this node, at start or in isolation, or while a few
    of all nodes have to stand in for readers that have all died.
    """

    def __init__(
        self,
        client: Platform,
        platform: settings.PlatformSettings,
        instance: str,
        time: clock.Clock,
        store: stores.Store,
        directory: directories.Directory,
        freshness: freshnesses.Freshness,
        source: random.Random,
    ) -> None:
        self._client = client
        self._platform = platform
        self._instance = instance
        self._time = time
        self._store = store
        self._directory = directory
        self._freshness = freshness
        self._random = source
        self._stopping = threading.Event()
        self._condition = threading.Condition()
        self._revision = 0
        self._whole_read_at: clock.Milliseconds | None = None
        self._lone_reads = 0
        self.is_reader = False
        self.has_documents = False
        directory.add_listener(self._follow_list)

    def start(self) -> None:
        """Begin to read when it is this instance's turn."""
        for name, run in (
            ("documents", lambda: self._repeat(self.watch_documents)),
            ("instances", lambda: self._repeat(self.watch_instances)),
            ("alone", self._repeat_alone),
        ):
            threading.Thread(
                target=run, name=f"platform-{name}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop after the running watches."""
        with self._condition:
            self._stopping.set()
            self._condition.notify_all()

    def watch_documents(self, wait: clock.Milliseconds) -> None:
        """Read documents that changed, all at the first time.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails, or if its revision went back; the next
            read is then a whole one.
        """
        started = self._time.now()
        after = self._find_cursor(started)
        metrics.count_platform_read("documents")
        published = self._client.watch_documents(
            after, wait if after else clock.ZERO
        )
        if published.revision < after:
            self._revision = 0
            raise exceptions.PlatformError(
                f"revision went back from {after} to {published.revision}"
            )
        stale = self._is_stale(published, whole=not after)
        self._store.apply(published.documents, _ORIGIN)
        self._revision = published.revision
        if not after:
            self._whole_read_at = started
        self.has_documents = True
        if stale:
            metrics.count_stale_answer("documents")
            _log.warn("the platform is behind the documents in force")
            return
        self._freshness.note_platform(started)

    def watch_instances(self, wait: clock.Milliseconds) -> None:
        """Read the instance list if it is newer than the one known.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails.
        """
        after = self._directory.current.revision
        metrics.count_platform_read("instances")
        published = self._client.watch_instances(
            after, wait if after else clock.ZERO
        )
        if published.revision < after:
            metrics.count_stale_answer("instances")
            _log.warn(
                "list %d of the platform is older than %d",
                published.revision,
                after,
            )
            return
        self._directory.replace_list(published.revision, published.instances)

    def read_alone(self) -> None:
        """Read once, the list first, if peers can not give what is new.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails.
        """
        if self.is_reader:
            return
        if self._freshness.is_confirmed() and not self._is_substitute():
            return
        self._lone_reads += 1
        if not self._directory.current.revision or self._lone_reads % 2:
            self.watch_instances(clock.ZERO)
            return
        self.watch_documents(clock.ZERO)

    def _is_substitute(self) -> bool:
        """Decide at random whether to read in place of dead readers."""
        age = self._freshness.find_platform_age()
        if age is not None and age <= (
            self._platform.watch_wait * _NO_READER_WAITS
        ):
            return False
        listed = len(self._directory.current.entries)
        return self._random.random() * listed < _SUBSTITUTES

    def _find_cursor(self, now: clock.Milliseconds) -> int:
        read_at = self._whole_read_at
        if read_at is None or now - read_at > _WHOLE_READ_PERIOD:
            return 0
        return self._revision

    def _is_stale(
        self, published: sources.PublishedDocuments, whole: bool
    ) -> bool:
        """Return whether the answer lacks something that is in force."""
        snapshot = self._store.snapshot
        if any(
            text.version < snapshot.find_version(text.name)
            for text in published.documents
        ):
            return True
        if not whole:
            return False
        names = {text.name for text in published.documents}
        return any(
            name not in names
            and not isinstance(document.content, parser.RemovedDocument)
            for name, document in snapshot.parsed.items()
        )

    def _follow_list(self, listed: directories.InstanceList) -> None:
        del listed
        with self._condition:
            self.is_reader = overlay.is_reader(
                self._directory.current,
                self._instance,
                self._platform.readers_per_data_centre,
            )
            self._condition.notify_all()

    def _repeat(self, watch: Callable[[clock.Milliseconds], None]) -> None:
        """Watch again and again, with growing delays after failures."""
        failures = 0
        while self._wait_for_turn():
            try:
                watch(self._platform.watch_wait)
                failures = 0
            except exceptions.PlatformError as error:
                failures += 1
                _log.warn("watching the platform: %s", error)
            except Exception:
                # The thread must outlive a fault in a listener.
                failures += 1
                _log.fail("taking an answer of the platform failed")
            delay = draw_backoff(self._platform, failures, self._random)
            self._stopping.wait(delay.seconds)

    def _wait_for_turn(self) -> bool:
        """Wait until this instance is a reader; return False at the end."""
        with self._condition:
            self._condition.wait_for(
                lambda: self.is_reader or self._stopping.is_set()
            )
        return not self._stopping.is_set()

    def _repeat_alone(self) -> None:
        delay = draw_lone_delay(self._platform, True, self._random)
        while not self._stopping.wait(delay.seconds):
            try:
                self.read_alone()
            except exceptions.PlatformError as error:
                _log.warn("reading the platform: %s", error)
            except Exception:
                _log.fail("taking an answer of the platform failed")
            delay = draw_lone_delay(self._platform, False, self._random)
