"""Watching the platform's configuration service and instance list."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import settings
from cyclamenwell.membership import directory as directories
from cyclamenwell.platform import client as platform_clients
from cyclamenwell.telemetry import logs

__all__ = ["Reader"]

_log = logs.PartLog("config")
_ORIGIN = "platform"


class Reader:
    """Watches documents and instances, each on a thread of its own.

    Parameters
    ----------
    client : platform_clients.PlatformClient
        Client of the platform.
    platform : settings.PlatformSettings
        Waits and delays.
    store : stores.Store
        Takes the documents.
    directory : directories.Directory
        Takes the instance list.
    """

    def __init__(
        self,
        client: platform_clients.PlatformClient,
        platform: settings.PlatformSettings,
        store: stores.Store,
        directory: directories.Directory,
    ) -> None:
        self._client = client
        self._platform = platform
        self._store = store
        self._directory = directory
        self._stopping = threading.Event()
        self._has_documents = threading.Event()
        self._has_instances = threading.Event()
        self._random = random.Random()

    def start(self) -> None:
        """Begin to watch."""
        for name, watch in (
            ("documents", self._watch_documents),
            ("instances", self._watch_instances),
        ):
            threading.Thread(
                target=self._repeat,
                args=(name, watch),
                name=f"watch-{name}",
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Stop watching after the running watches."""
        self._stopping.set()

    def wait_until_current(self) -> None:
        """Wait for the first answers of the platform."""
        self._has_documents.wait()
        self._has_instances.wait()

    def _repeat(self, name: str, watch: Callable[[int], int]) -> None:
        """Watch again and again, with growing delays after failures."""
        revision = 0
        delay = self._platform.min_backoff
        while not self._stopping.is_set():
            try:
                revision = watch(revision)
                delay = self._platform.min_backoff
            except exceptions.PlatformError as error:
                _log.warn("watching %s: %s", name, error)
                jitter = self._random.uniform(0.5, 1.0)
                self._stopping.wait((delay * jitter).seconds)
                delay = min(delay * 2, self._platform.max_backoff)

    def _find_wait(self, revision: int) -> clock.Milliseconds:
        return self._platform.watch_wait if revision else clock.ZERO

    def _watch_documents(self, revision: int) -> int:
        published = self._client.watch_documents(
            revision, self._find_wait(revision)
        )
        self._store.apply(published.documents, _ORIGIN)
        self._has_documents.set()
        return max(revision, published.revision)

    def _watch_instances(self, revision: int) -> int:
        published = self._client.watch_instances(
            revision, self._find_wait(revision)
        )
        self._directory.replace_list(published.revision, published.instances)
        self._has_instances.set()
        return max(revision, published.revision)
