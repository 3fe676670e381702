"""Health reports of the target, which can only lower the gate's limit."""

from __future__ import annotations

from collections.abc import Callable
import threading

import urllib3

from cyclamenwell import clock
from cyclamenwell.admission import gate as gates
from cyclamenwell.generated import settings
from cyclamenwell.telemetry import logs

__all__ = ["HealthReader", "HealthWatch"]

_log = logs.PartLog("admission")
_HEALTHY = 200
# A single lost probe shows little; this many in a row are a failure.
_MAX_UNANSWERED = 3
_MAX_TIMEOUT = clock.Milliseconds(1000)


class HealthReader:
    """Reads the status of the health endpoint over its own connection.

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
        """Return the status of the endpoint, None if it does not answer."""
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
        # The body is of no use and may be of any length.
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
        Gate whose limit is capped.
    read_cold_limit : callable
        Returns the cold limit of the service's document.
    interval : clock.Milliseconds
        Time between two probes.

    Notes
    -----
    The cap is the cold limit and never less, so that an endpoint that lies or
    is dead does not stop all work. A healthy report only removes the cap: the
    gate keeps the limit that its own observations allow.
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
        """Whether the thread runs."""
        return self._thread.is_alive()

    def start(self) -> None:
        """Start to probe."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close the connection."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(2 * _MAX_TIMEOUT.seconds)
        self._reader.close()

    def probe(self) -> None:
        """Read the endpoint once and cap the limit or remove the cap."""
        capped = self._judge(self._reader.read_status())
        if capped != self._capped:
            _log.info("health endpoint: limit capped is %s", capped)
        self._capped = capped
        # Set again each time, as the document may have changed.
        self._gate.cap_limit(self._read_cold_limit() if capped else None)

    def _judge(self, status: int | None) -> bool:
        """Return whether the limit is to be capped after this probe."""
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
                _log.fail("a probe of the health endpoint failed")
            self._stopping.wait(self._interval.seconds)
