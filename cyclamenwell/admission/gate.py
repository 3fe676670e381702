"""Admission control for the target of a node."""

from __future__ import annotations

import threading

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import limit as limits
from cyclamenwell.admission import queue as queues
from cyclamenwell.admission import tickets
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import settings
from cyclamenwell.telemetry import logs

__all__ = ["Gate"]

_log = logs.ComponentLogger("admission")
_Kind = enumerations.ErrorKind
# Used until the service document has been received.
_DEFAULTS = documents.ServiceDocument()

# Once the queue has not been empty for the maximum queue wait, it is a standing
# queue: longer waits only add latency. A shorter bound keeps the queue long
# enough to fill a slot that becomes free.
_STANDING_QUEUE_WAIT_PART = 0.25
# Service times vary, so a request is refused as hopeless only if less than this
# part of the mean service time is left until its deadline.
_MIN_SERVICE_TIME_PART = 0.5
# Weight of the newest service time in the moving average.
_SERVICE_TIME_WEIGHT = 0.1
_MIN_RETRY_AFTER = clock.Milliseconds(100)
_MAX_RETRY_AFTER = clock.Milliseconds(5000)
# Approximate time in which a cold target reaches its usual limit.
_COLD_RETRY_AFTER = clock.Milliseconds(1000)


class Gate:
    """Limits the concurrency of the target and queues excess requests.

    Parameters
    ----------
    time : clock.Clock
        Clock for deadlines and queue waits.
    admission : settings.AdmissionSettings
        Bounds of the queue length and the queue wait.
    cold_limit : int
        Concurrent requests that a target sustains right after its start.
    max_in_progress : int
        Upper bound of the concurrency limit.

    Notes
    -----
    A monitor: one lock guards the limit and the queue. Each waiting thread
    blocks on the event of its own entry until the entry is settled or its
    queue wait ends.
    """

    def __init__(
        self,
        time: clock.Clock,
        admission: settings.AdmissionSettings,
        cold_limit: int = _DEFAULTS.cold_limit,
        max_in_progress: int = _DEFAULTS.max_in_progress,
    ) -> None:
        self._time = time
        self._settings = admission
        self._lock = threading.Lock()
        self._limit = limits.AdaptiveLimit(cold_limit, max_in_progress)
        self._queue = queues.OrderedQueue()
        self._in_progress = 0
        self._sequence_number = 0
        self._queued_since: clock.Milliseconds | None = None
        self._mean_service_ms = 0.0

    def enter(
        self, ticket: tickets.Ticket, cancellation: tickets.Cancellation
    ) -> tickets.Admission:
        """Wait until the request is admitted.

        Parameters
        ----------
        ticket : tickets.Ticket
            The request.
        cancellation : tickets.Cancellation
            Cancelled when the caller has disconnected.

        Returns
        -------
        tickets.Admission
            Permit to be passed to `leave`.

        Raises
        ------
        exceptions.RefusedError
            As DEADLINE_PASSED, OVERLOADED, or COLD while the target warms up,
            or as ABANDONED if the request is cancelled in the queue.
        """
        entry = self.join(ticket)
        if not entry.settled:
            self._await(entry, cancellation)
        if entry.refusal is not None:
            raise entry.refusal
        return entry.admission

    def join(self, ticket: tickets.Ticket) -> queues.Entry:
        """Admit or queue a request without blocking.

        Returns
        -------
        queues.Entry
            Admitted if the limit allows it, else queued.

        Raises
        ------
        exceptions.RefusedError
            If the deadline can not be met or the queue is full.
        """
        with self._lock:
            now = self._time.now()
            self._check_deadline(ticket, now)
            self._sequence_number += 1
            entry = queues.Entry(
                ticket, self._sequence_number, self._find_wait_end(ticket, now)
            )
            self._serve_queue(now)
            if not self._queue and self._in_progress < self._limit.value:
                self._admit(entry, now)
                return entry
            self._make_room(ticket)
            self._queue.add(entry)
            if self._queued_since is None:
                self._queued_since = now
            return entry

    def give_up(self, entry: queues.Entry, reason: str) -> None:
        """Refuse a queued request; does nothing if it is settled."""
        with self._lock:
            if entry.settled:
                return
            self._queue.remove(entry)
            self._reset_if_empty()
            self._refuse(entry, self._time.now(), reason)

    def withdraw(self, entry: queues.Entry) -> None:
        """Refuse a queued request whose caller has disconnected."""
        with self._lock:
            if entry.settled:
                return
            self._queue.remove(entry)
            self._reset_if_empty()
            entry.refuse(
                exceptions.RefusedError(
                    _Kind.ABANDONED, "the caller went away in the queue"
                )
            )

    def leave(
        self, admission: tickets.Admission, observation: tickets.Observation
    ) -> None:
        """Return an admission and report the outcome of its request."""
        with self._lock:
            assert self._in_progress > 0, (
                "more admissions returned than granted"
            )
            now = self._time.now()
            self._in_progress -= 1
            self._limit.record_in_progress(self._in_progress)
            self._limit.observe(observation, admission.epoch, now)
            if observation.result is tickets.Result.ANSWERED:
                difference_ms = (
                    observation.duration.value - self._mean_service_ms
                )
                self._mean_service_ms += _SERVICE_TIME_WEIGHT * difference_ms
            self._serve_queue(now)

    def configure(self, cold_limit: int, max_in_progress: int) -> None:
        """Apply the limits of a new service document."""
        with self._lock:
            self._limit.configure(cold_limit, max_in_progress)
            self._serve_queue(self._time.now())
        _log.info(
            "new limits: cold limit %d, max in progress %d",
            cold_limit,
            max_in_progress,
        )

    def cap_limit(self, cap: int | None) -> None:
        """Set an upper bound after a health check; None removes it."""
        with self._lock:
            self._limit.cap(cap)
            self._serve_queue(self._time.now())

    def assume_cold(self, reason: str) -> None:
        """Reset to the cold limit: the state of the target is not known."""
        with self._lock:
            self._limit.reset_to_cold_limit(self._time.now(), reason)

    def read_load(self) -> tickets.GateLoad:
        """Return the current load."""
        with self._lock:
            return tickets.GateLoad(
                self._in_progress,
                len(self._queue),
                self._limit.value,
                self._limit.cold,
            )

    def _await(
        self, entry: queues.Entry, cancellation: tickets.Cancellation
    ) -> None:
        def withdraw() -> None:
            self.withdraw(entry)

        cancellation.add_callback(withdraw)
        try:
            while not entry.wait(entry.give_up_at - self._time.now()):
                if self._time.now() >= entry.give_up_at:
                    self.give_up(entry, "the call waited too long")
        finally:
            cancellation.remove_callback(withdraw)

    def _check_deadline(
        self, ticket: tickets.Ticket, now: clock.Milliseconds
    ) -> None:
        if ticket.deadline <= now:
            raise exceptions.RefusedError(
                _Kind.DEADLINE_PASSED, "the deadline has passed"
            )
        # If nothing is in progress, the request is admitted: only a new sample
        # can show that the target has recovered.
        if self._in_progress and self._find_latest_start(ticket) < now:
            raise self._build_refusal(
                "the target needs longer than the time left"
            )

    def _find_latest_start(self, ticket: tickets.Ticket) -> clock.Milliseconds:
        needed = clock.Milliseconds(
            self._mean_service_ms * _MIN_SERVICE_TIME_PART
        )
        return ticket.deadline - needed

    def _find_wait_end(
        self, ticket: tickets.Ticket, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        wait = self._settings.max_queue_wait
        since = self._queued_since
        if since is not None and now - since > wait:
            wait = wait * _STANDING_QUEUE_WAIT_PART
        return min(now + wait, self._find_latest_start(ticket))

    def _make_room(self, ticket: tickets.Ticket) -> None:
        if len(self._queue) < self._settings.max_queued:
            return
        evicted = self._queue.evict(ticket)
        if evicted is None:
            raise self._build_refusal("the queue is full")
        evicted.refuse(self._build_refusal("the call gave way to another one"))

    def _serve_queue(self, now: clock.Milliseconds) -> None:
        while self._queue and self._in_progress < self._limit.value:
            entry = self._queue.pop()
            # An idle target serves even a late entry: see `_check_deadline`.
            late = now >= entry.give_up_at and self._in_progress > 0
            if late or now >= entry.ticket.deadline:
                self._refuse(entry, now, "the call waited too long")
            else:
                self._admit(entry, now)
        self._reset_if_empty()

    def _reset_if_empty(self) -> None:
        if not self._queue:
            self._queued_since = None

    def _admit(self, entry: queues.Entry, now: clock.Milliseconds) -> None:
        self._in_progress += 1
        assert self._in_progress <= self._limit.value, (
            "concurrency limit exceeded"
        )
        self._limit.record_in_progress(self._in_progress)
        entry.admit(tickets.Admission(now, self._limit.epoch))

    def _refuse(
        self, entry: queues.Entry, now: clock.Milliseconds, reason: str
    ) -> None:
        if entry.ticket.deadline <= now:
            refusal = exceptions.RefusedError(
                _Kind.DEADLINE_PASSED, "the deadline passed in the queue"
            )
        else:
            refusal = self._build_refusal(reason)
        entry.refuse(refusal)

    def _build_refusal(self, reason: str) -> exceptions.RefusedError:
        limit = self._limit.value
        detail = f"{reason}; {self._in_progress} of {limit} are in progress"
        if self._limit.cold:
            return exceptions.RefusedError(
                _Kind.COLD, detail, retry_after=_COLD_RETRY_AFTER
            )
        waiting = self._in_progress + len(self._queue)
        drain = clock.Milliseconds(self._mean_service_ms * waiting / limit)
        return exceptions.RefusedError(
            _Kind.OVERLOADED,
            detail,
            retry_after=min(max(drain, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )
