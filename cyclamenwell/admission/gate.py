"""Gate that admits requests to the target beside the node."""

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

_log = logs.PartLog("admission")
_Kind = enumerations.ErrorKind
# In force until the document of the service is known.
_DEFAULTS = documents.ServiceDocument()

# Once the queue has not been empty for the whole wait bound, longer waits only
# make answers late: a short bound keeps the queue fresh and still long enough
# to fill a slot that becomes free.
_STANDING_WAIT_PART = 0.25
# Requests differ; only one that needs even half of the usual time is hopeless.
_LEAST_SERVICE_PART = 0.5
_SERVICE_WEIGHT = 0.1  # Of one answer in the recent service time.
_MIN_RETRY_AFTER = clock.Milliseconds(100)
_MAX_RETRY_AFTER = clock.Milliseconds(5000)
# A cold target needs about this time to grow to its usual limit.
_COLD_RETRY_AFTER = clock.Milliseconds(1000)


class Gate:
    """Limits and orders the requests at the target.

    Parameters
    ----------
    time : clock.Clock
        Clock of the deadlines.
    admission : settings.AdmissionSettings
        Bounds of the queue.
    cold_limit : int
        Requests at once that a target that has just started can bear.
    max_in_progress : int
        Upper bound of the limit.

    Notes
    -----
    A monitor: one lock guards the limit and the queue. A waiting thread waits
    on the event of its own entry until it is settled or its time is over.
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
        self._arrivals = 0
        self._queued_since: clock.Milliseconds | None = None
        self._service_ms = 0.0

    def enter(
        self, ticket: tickets.Ticket, cancellation: tickets.Cancellation
    ) -> tickets.Admission:
        """Wait until the request may go to the target.

        Parameters
        ----------
        ticket : tickets.Ticket
            The request.
        cancellation : tickets.Cancellation
            Cancelled when nobody waits for the answer any more.

        Returns
        -------
        tickets.Admission
            To be returned by `leave`.

        Raises
        ------
        exceptions.RefusedError
            As DEADLINE_PASSED, OVERLOADED, or COLD while the target warms up,
            or as ABANDONED if the call is cancelled while it waits.
        """
        entry = self.join(ticket)
        if not entry.settled:
            self._await(entry, cancellation)
        if entry.refusal is not None:
            raise entry.refusal
        return entry.admission

    def join(self, ticket: tickets.Ticket) -> queues.Entry:
        """Take a place at the gate without waiting.

        Returns
        -------
        queues.Entry
            Admitted if there is room, else in the queue.

        Raises
        ------
        exceptions.RefusedError
            If the request can not be met or the queue has no place for it.
        """
        with self._lock:
            now = self._time.now()
            self._check_deadline(ticket, now)
            self._arrivals += 1
            entry = queues.Entry(
                ticket, self._arrivals, self._find_give_up(ticket, now)
            )
            self._serve_queue(now)
            if not self._queue and self._in_progress < self._limit.value:
                self._admit(entry, now)
                return entry
            self._make_place(ticket)
            self._queue.add(entry)
            if self._queued_since is None:
                self._queued_since = now
            return entry

    def give_up(self, entry: queues.Entry, reason: str) -> None:
        """Refuse a request that still waits; a settled one stays settled."""
        with self._lock:
            if entry.settled:
                return
            self._queue.remove(entry)
            self._note_queue()
            self._refuse(entry, self._time.now(), reason)

    def withdraw(self, entry: queues.Entry) -> None:
        """Drop a request that still waits and that nobody waits for."""
        with self._lock:
            if entry.settled:
                return
            self._queue.remove(entry)
            self._note_queue()
            entry.refuse(
                exceptions.RefusedError(
                    _Kind.ABANDONED, "the caller went away in the queue"
                )
            )

    def leave(
        self, admission: tickets.Admission, observation: tickets.Observation
    ) -> None:
        """Return an admission, with what the request showed of the target."""
        with self._lock:
            assert self._in_progress > 0, "an admission is returned once"
            now = self._time.now()
            self._in_progress -= 1
            self._limit.note_use(self._in_progress)
            self._limit.observe(observation, admission.epoch, now)
            if observation.result is tickets.Result.ANSWERED:
                difference_ms = observation.duration.value - self._service_ms
                self._service_ms += _SERVICE_WEIGHT * difference_ms
            self._serve_queue(now)

    def configure(self, cold_limit: int, max_in_progress: int) -> None:
        """Take the values of a new service document."""
        with self._lock:
            self._limit.configure(cold_limit, max_in_progress)
            self._serve_queue(self._time.now())
        _log.info(
            "cold limit is %d, at most %d in progress",
            cold_limit,
            max_in_progress,
        )

    def cap_limit(self, cap: int | None) -> None:
        """Bound the limit by a health report; None removes the bound."""
        with self._lock:
            self._limit.cap(cap)
            self._serve_queue(self._time.now())

    def read_load(self) -> tickets.GateLoad:
        """Return the present load."""
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
        # With nothing in progress the request is the only way to learn that
        # the target has become fast again.
        if self._in_progress and self._find_latest_start(ticket) < now:
            raise self._build_refusal(
                "the target needs longer than the time left"
            )

    def _find_latest_start(self, ticket: tickets.Ticket) -> clock.Milliseconds:
        needed = clock.Milliseconds(self._service_ms * _LEAST_SERVICE_PART)
        return ticket.deadline - needed

    def _find_give_up(
        self, ticket: tickets.Ticket, now: clock.Milliseconds
    ) -> clock.Milliseconds:
        wait = self._settings.max_queue_wait
        since = self._queued_since
        if since is not None and now - since > wait:
            wait = wait * _STANDING_WAIT_PART
        return min(now + wait, self._find_latest_start(ticket))

    def _make_place(self, ticket: tickets.Ticket) -> None:
        if len(self._queue) < self._settings.max_queued:
            return
        displaced = self._queue.displace(ticket)
        if displaced is None:
            raise self._build_refusal("the queue is full")
        displaced.refuse(
            self._build_refusal("the call gave way to another one")
        )

    def _serve_queue(self, now: clock.Milliseconds) -> None:
        while self._queue and self._in_progress < self._limit.value:
            entry = self._queue.pop()
            # With an idle target a late entry is still served: see
            # `_check_deadline`.
            late = now >= entry.give_up_at and self._in_progress > 0
            if late or now >= entry.ticket.deadline:
                self._refuse(entry, now, "the call waited too long")
            else:
                self._admit(entry, now)
        self._note_queue()

    def _note_queue(self) -> None:
        if not self._queue:
            self._queued_since = None

    def _admit(self, entry: queues.Entry, now: clock.Milliseconds) -> None:
        self._in_progress += 1
        assert self._in_progress <= self._limit.value, "the limit holds"
        self._limit.note_use(self._in_progress)
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
        drain = clock.Milliseconds(self._service_ms * waiting / limit)
        return exceptions.RefusedError(
            _Kind.OVERLOADED,
            detail,
            retry_after=min(max(drain, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
        )
