"""Reads the platform's configuration service and instance list."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
from typing import Protocol

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import overlay
from cyclamenwell.configuration import platform_client as platform_clients
from cyclamenwell.configuration import store as stores
from cyclamenwell.documents import parser
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.telemetry import logs
from cyclamenwell.telemetry import metrics

__all__ = ["Platform", "Reader", "draw_backoff", "draw_fallback_delay"]

_log = logs.ComponentLogger("config")
_ORIGIN = "platform"
_JITTER = (0.5, 1.0)
# With more jitter, the second reads of nodes that start at once overlap with
# the first ones: 2,178 instead of 1,500 reads in a second for 15,000 nodes.
_FALLBACK_JITTER = (0.95, 1.05)
# Number of watch waits without any platform answer after which no reader is
# assumed to be alive. A watch returns at least every 10 s by default, and the
# age of the last answer reaches all nodes within seconds.
_MAX_SILENT_WAITS = 3
# Expected number of other nodes that read within one start_delay if all readers
# are dead.
_EXPECTED_SUBSTITUTES = 16
# A restarted platform may count its revisions from the start again and overtake
# the revision that a reader remembers. A periodic whole read finds documents
# that were missed this way.
_WHOLE_READ_PERIOD = clock.Milliseconds(3_600_000)


class Platform(Protocol):
    """Source of documents and the instance list."""

    def watch_documents(
        self, after: int, wait: clock.Milliseconds
    ) -> platform_clients.PublishedDocuments:
        """Return documents that changed after a revision."""

    def watch_instances(
        self, after: int, wait: clock.Milliseconds
    ) -> platform_clients.PublishedList:
        """Return the instance list if it is newer than a revision."""


def draw_backoff(
    platform: settings.PlatformSettings, failures: int, source: random.Random
) -> clock.Milliseconds:
    """Return the delay before the next watch.

    The delay grows exponentially with failures, with jitter.

    Parameters
    ----------
    platform : settings.PlatformSettings
        Bounds of the delay.
    failures : int
        Failed reads in a row. After none, the delay is the shortest one, which
        batches the changes of a burst.
    source : random.Random
        Random generator for the jitter.
    """
    if not failures:
        return platform.min_backoff
    # Without the bound, the float would overflow after 1,024 failures.
    backoff = platform.min_backoff * 2.0 ** min(failures, 32)
    return min(backoff, platform.max_backoff) * source.uniform(*_JITTER)


def draw_fallback_delay(
    platform: settings.PlatformSettings, first: bool, source: random.Random
) -> clock.Milliseconds:
    """Return the delay before the next fallback read.

    Parameters
    ----------
    platform : settings.PlatformSettings
        Holds the mean delay.
    first : bool
        Whether the node has just started.
    source : random.Random
        Random generator for the jitter.

    Notes
    -----
    The delay does not depend on success. A number N of such nodes causes
    N / start_delay reads a second, even if the platform fails or all nodes
    start at once.
    """
    low, high = (0.0, 1.0) if first else _FALLBACK_JITTER
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
        Clock for the age of answers.
    store : stores.Store
        Receives the documents.
    directory : directories.Directory
        Receives the instance list, which determines the readers.
    freshness : freshnesses.Freshness
        Receives the times of answers.
    source : random.Random
        Random generator for jitter and for the choice of substitutes.

    Notes
    -----
    One thread watches documents and one watches instances; both wait while the
    instance is not a reader. A third thread makes fallback reads: while no peer
    confirms the view of this node, as at start or in isolation, and while a few
    random nodes have to substitute for readers that have all died.
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
        self._fallback_reads = 0
        self.is_reader = False
        self.has_documents = False
        directory.add_listener(self._update_role)

    def start(self) -> None:
        """Start the threads that watch and read the platform."""
        for name, run in (
            ("documents", lambda: self._run_watch(self.watch_documents)),
            ("instances", lambda: self._run_watch(self.watch_instances)),
            ("fallback", self._run_fallback_reads),
        ):
            threading.Thread(
                target=run, name=f"platform-{name}", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop reading; watches in progress are completed first."""
        with self._condition:
            self._stopping.set()
            self._condition.notify_all()

    def watch_documents(self, wait: clock.Milliseconds) -> None:
        """Read changed documents, or all documents in a whole read.

        The first read is a whole one, and so is one read in each hour.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails, or if its revision decreased; the next read
            is then a whole one.
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
                f"platform revision decreased from {after} to "
                f"{published.revision}"
            )
        stale = self._is_stale(published, whole=not after)
        self._store.apply(published.documents, _ORIGIN)
        self._revision = published.revision
        if not after:
            self._whole_read_at = started
        self.has_documents = True
        if stale:
            metrics.count_stale_answer("documents")
            _log.warning(
                "stale platform answer: it lacks document versions that are "
                "in force"
            )
            return
        self._freshness.note_platform(started)

    def watch_instances(self, wait: clock.Milliseconds) -> None:
        """Read the instance list if it is newer than the known one.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails.
        """
        after = self._directory.current_list.revision
        metrics.count_platform_read("instances")
        published = self._client.watch_instances(
            after, wait if after else clock.ZERO
        )
        if published.revision < after:
            metrics.count_stale_answer("instances")
            _log.warning(
                "stale platform answer: instance list revision %d is older "
                "than the known revision %d",
                published.revision,
                after,
            )
            return
        self._directory.replace_list(published.revision, published.instances)

    def read_fallback(self) -> None:
        """Read once if peers cannot provide recent configuration.

        Reads alternate between the instance list, which comes first, and the
        documents.

        Raises
        ------
        exceptions.PlatformError
            If the platform fails.
        """
        if self.is_reader:
            return
        if self._freshness.is_confirmed() and not self._is_substitute():
            return
        self._fallback_reads += 1
        if (
            not self._directory.current_list.revision
            or self._fallback_reads % 2
        ):
            self.watch_instances(clock.ZERO)
            return
        self.watch_documents(clock.ZERO)

    def _is_substitute(self) -> bool:
        """Decide at random whether to read in place of dead readers."""
        age = self._freshness.find_platform_age()
        if age is not None and age <= (
            self._platform.watch_wait * _MAX_SILENT_WAITS
        ):
            return False
        listed = len(self._directory.current_list.entries)
        return self._random.random() * listed < _EXPECTED_SUBSTITUTES

    def _find_cursor(self, now: clock.Milliseconds) -> int:
        read_at = self._whole_read_at
        if read_at is None or now - read_at > _WHOLE_READ_PERIOD:
            return 0
        return self._revision

    def _is_stale(
        self, published: platform_clients.PublishedDocuments, whole: bool
    ) -> bool:
        """Return whether the answer lacks a version that is in force."""
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

    def _update_role(self, listed: directories.InstanceList) -> None:
        del listed
        with self._condition:
            self.is_reader = overlay.is_reader(
                self._directory.current_list,
                self._instance,
                self._platform.readers_per_data_centre,
            )
            self._condition.notify_all()

    def _run_watch(self, watch: Callable[[clock.Milliseconds], None]) -> None:
        """Watch repeatedly, with exponential backoff after failures."""
        failures = 0
        while self._wait_until_reader():
            try:
                watch(self._platform.watch_wait)
                failures = 0
            except exceptions.PlatformError as error:
                failures += 1
                _log.warning("error watching the platform: %s", error)
            except Exception:
                # An error in a listener must not end the thread.
                failures += 1
                _log.exception("applying a platform answer failed")
            delay = draw_backoff(self._platform, failures, self._random)
            self._stopping.wait(delay.seconds)

    def _wait_until_reader(self) -> bool:
        """Wait until this instance is a reader; return False if stopped."""
        with self._condition:
            self._condition.wait_for(
                lambda: self.is_reader or self._stopping.is_set()
            )
        return not self._stopping.is_set()

    def _run_fallback_reads(self) -> None:
        delay = draw_fallback_delay(self._platform, True, self._random)
        while not self._stopping.wait(delay.seconds):
            try:
                self.read_fallback()
            except exceptions.PlatformError as error:
                _log.warning("error reading the platform: %s", error)
            except Exception:
                _log.exception("applying a platform answer failed")
            delay = draw_fallback_delay(self._platform, False, self._random)
