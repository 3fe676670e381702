"""Fetches configuration and the instance list before a node serves."""

from __future__ import annotations

import random
import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import dissemination
from cyclamenwell.configuration import peer_session as peer_sessions
from cyclamenwell.configuration import reader as readers
from cyclamenwell.generated import settings
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.telemetry import logs

__all__ = ["Startup"]

_log = logs.ComponentLogger("config")
_CHECK_INTERVAL = clock.Milliseconds(50)
_MIN_RETRY = clock.Milliseconds(200)
_MAX_RETRY = clock.Milliseconds(10_000)
_JITTER = (0.5, 1.0)


class Startup:
    """Obtains the first configuration from seeds, peers or the platform.

    Parameters
    ----------
    context : peer_sessions.SessionContext
        Shared configuration state of this node.
    client : peer_sessions.Client
        Transport to the seeds.
    peers : settings.PeerSettings
        Seeds and timeouts.
    disseminator : dissemination.Disseminator
        Exchanges configuration with listed peers.
    reader : readers.Reader
        Reads the platform.
    source : random.Random
        Random generator for jitter and for the order of seeds.
    """

    def __init__(
        self,
        context: peer_sessions.SessionContext,
        client: peer_sessions.Client,
        peers: settings.PeerSettings,
        disseminator: dissemination.Disseminator,
        reader: readers.Reader,
        source: random.Random,
    ) -> None:
        self._context = context
        self._client = client
        self._peers = peers
        self._disseminator = disseminator
        self._reader = reader
        self._random = source
        self._stopping = threading.Event()

    def run(self) -> bool:
        """Wait until the node may serve.

        Asks seeds again, with exponential backoff, while the node is not ready.

        Returns
        -------
        bool
            False if the node was stopped first.
        """
        self.fetch_from_seeds()
        self._disseminator.start()
        self._reader.start()
        delay = _MIN_RETRY
        while not self._stopping.is_set():
            if self._wait_until_ready(delay):
                return True
            self.fetch_from_seeds()
            delay = min(delay * 2, _MAX_RETRY)
        return False

    def stop(self) -> None:
        """Stop waiting, and stop the links to neighbours and the reader."""
        self._stopping.set()
        self._disseminator.stop()
        self._reader.stop()

    def is_ready(self) -> bool:
        """Return whether the node has an instance list and documents.

        Notes
        -----
        Documents read from the platform alone count only after every neighbour
        has been tried once, since a stale platform replica could otherwise
        bring old documents into force.
        """
        if not self._context.list_replicator.revision:
            return False
        if self._context.freshness.find_view_age() is not None:
            return True
        return self._reader.has_documents and self._disseminator.has_tried_all()

    def fetch_from_seeds(self) -> None:
        """Ask seeds in random order until one supplies list and documents."""
        seeds = list(self._peers.seeds)
        self._random.shuffle(seeds)
        for seed in seeds:
            if self._stopping.is_set() or self._fetch_from_seed(seed):
                return

    def _fetch_from_seed(self, seed: str) -> bool:
        host, _, port = seed.rpartition(":")
        address = peer_clients.Address(host.strip("[]"), int(port))
        session = peer_sessions.PeerSession(
            self._context,
            self._client,
            peer_sessions.Peer(address),
            self._peers.call_timeout,
        )
        started = self._context.time.now()
        try:
            session.fetch_list()
            ready = session.fetch(())
        except exceptions.PeerUnavailableError as error:
            _log.warning("fetching configuration from a seed failed: %s", error)
            return False
        if ready and self._context.list_replicator.revision:
            self._context.freshness.confirm(started)
            return True
        return False

    def _wait_until_ready(self, max_wait: clock.Milliseconds) -> bool:
        end = self._context.time.now() + max_wait * self._random.uniform(
            *_JITTER
        )
        while not self.is_ready():
            if self._context.time.now() >= end:
                return False
            if self._stopping.wait(_CHECK_INTERVAL.seconds):
                return False
        return True
