"""Health checks of the target, which can only lower the gate's limit."""

from __future__ import annotations

from collections.abc import Callable
import threading

import urllib3

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.generated import settings
from cyclamenwell.telemetry import logs

__all__ = ["HealthReader", "HealthWatch"]

_log = logs.ComponentLogger("admission")
_HEALTHY = 200
# A single lost probe is no failure; this many consecutive ones are.
_MAX_UNANSWERED = 3
_MAX_TIMEOUT = clock.Milliseconds(1000)


class HealthReader:
    """Reads the status of the health endpoint over a dedicated connection.

    Parameters
    ----------
    target : settings.TargetSettings
        Address and path of the endpoint.
    """

    def __init__(self, target: settings.TargetSettings) -> None:
        self._path = target.health_path
        self._timeout = min(target.health_interval, _MAX_TIMEOUT)
        self._pool = urllib3.HTTPConnectionPool(
            target.host, target.port, maxsize=1, retries=False
        )

    def read_status(self) -> int | None:
        """Return the HTTP status of the endpoint, None without an answer."""
        try:
            response = self._pool.request(
                "GET",
                self._path,
                timeout=self._timeout.seconds,
                redirect=False,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        # The body is not needed and may be arbitrarily long.
        response.close()
        return response.status

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()


class HealthWatch:
    """Caps the gate's limit while the health endpoint reports a failure.

    Parameters
    ----------
    reader : HealthReader
        Reads the endpoint.
    gate : gates.Gate
        Gate whose concurrency limit is capped.
    read_cold_limit : callable
        Returns the cold limit in the service document.
    interval : clock.Milliseconds
        Time between two health checks.

    Notes
    -----
    The cap is the cold limit and never less, so that a faulty or unreachable
    endpoint does not stop all traffic. A successful check only removes the cap:
    the gate keeps the limit derived from its own observations.
    """

    def __init__(
        self,
        reader: HealthReader,
        gate: gates.Gate,
        read_cold_limit: Callable[[], int],
        interval: clock.Milliseconds,
    ) -> None:
        self._reader = reader
        self._gate = gate
        self._read_cold_limit = read_cold_limit
        self._interval = interval
        self._stopping = threading.Event()
        self._unanswered = 0
        self._capped = False
        self._thread = threading.Thread(
            target=self._run, name="health", daemon=True
        )

    @property
    def is_running(self) -> bool:
        """Whether the health check thread is alive."""
        return self._thread.is_alive()

    def start(self) -> None:
        """Start the health check thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and close the connection."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(2 * _MAX_TIMEOUT.seconds)
        self._reader.close()

    def probe(self) -> None:
        """Check the endpoint once and set or remove the cap."""
        capped = self._should_cap(self._reader.read_status())
        if capped != self._capped:
            _log.info("health check: limit capped: %s", capped)
        self._capped = capped
        # Applied after each check, as the cold limit may have changed.
        self._gate.cap_limit(self._read_cold_limit() if capped else None)

    def _should_cap(self, status: int | None) -> bool:
        """Update the failure count and return whether to cap the limit."""
        if status is not None:
            self._unanswered = 0
            return status != _HEALTHY
        self._unanswered += 1
        return self._capped or self._unanswered >= _MAX_UNANSWERED

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self.probe()
            except Exception:
                _log.exception("health check failed with an unexpected error")
            self._stopping.wait(self._interval.seconds)
