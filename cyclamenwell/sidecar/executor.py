"""Execution of requests at the local target."""

from __future__ import annotations

import asyncio
from typing import Any

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import run_throttle
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.node import encoding
from cyclamenwell.node import http1
from cyclamenwell.platform import http_adapter
from cyclamenwell.retries import retry_decisions
from cyclamenwell.sidecar import admission_queue as admission_queues
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import http_client
from cyclamenwell.sidecar import receivers

__all__ = ["AttemptError", "Executor"]

_Kind = enumerations.ErrorKind
# The target runs on the same machine, where connecting takes about 1 ms.
_CONNECT_TIMEOUT = clock.Milliseconds(500)
# Idle connections are closed before the target closes them, since a request
# that crosses the target's close may have run. If the target states no
# keep-alive time-out, the usual 5 s of HTTP servers is assumed.
_DEFAULT_MAX_IDLE = clock.Milliseconds(3000)
_IDLE_MARGIN = clock.Milliseconds(1000)
_PROBE_INTERVAL = clock.Milliseconds(300)
_PROBE_TIMEOUT = clock.Milliseconds(1000)
# A health report is in the head; its body is not read.
_MAX_HEALTH_BYTES = 64 * 1024
# A target is treated as cold until its health endpoint has answered.
_UNKNOWN_COLD_DURATION = clock.Milliseconds(60_000)
# Pacing lasts a little longer than the target states: queued requests start all
# at once when it ends, and some may reach the target before it is warm.
_COLD_MARGIN = clock.Milliseconds(200)
# A broken connection may mean a restart of the target or only one lost answer;
# it triggers no new probe within this time after a health report.
_MIN_HEALTH_AGE = clock.Milliseconds(1000)
_NOT_COLD = http_adapter.HealthReport(True, "", clock.ZERO)
# Statuses that tell callers that a request has not run. They are not passed on
# for a non-idempotent request that the target may have run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_FIRST_ERROR_STATUS = 400
_FIRST_FAILURE_STATUS = 500
# Size of a body up to which an answer is collected before it is passed on, so
# that one that breaks off can be replaced by the answer of another target.
_MAX_WHOLE_BYTES = 256 * 1024
# The parts of an answer that is being passed on may arrive after the deadline,
# at most this time apart.
_PART_TIMEOUT = clock.Milliseconds(1000)
# An answer that is still being passed on this long after the deadline is broken
# off: a faulty target may send a body without end.
_MAX_OVERTIME = clock.Milliseconds(10_000)
# Answers to other requests that are skipped while waiting for the right one. A
# late answer or two is common; a target that sends more than this is faulty.
_MAX_FOREIGN_ANSWERS = 8
# Identifier and start of a target.
_Incarnation = tuple[str, int]


class AttemptError(exceptions.RefusedError):
    """An attempt that yielded no valid answer from the target.

    Parameters
    ----------
    kind : enumerations.ErrorKind
        Reason of the failure.
    detail : str
        Explanation for logs and callers.
    reached_target : bool
        Whether any byte of the request was sent to a target.
    not_run : bool
        Whether the request has certainly not run and never will.
    retry_after : clock.Milliseconds
        Time until a slot is expected to be free.
    """

    def __init__(
        self,
        kind: enumerations.ErrorKind,
        detail: str,
        *,
        reached_target: bool,
        not_run: bool,
        retry_after: clock.Milliseconds = clock.ZERO,
    ) -> None:
        super().__init__(kind, detail, retry_after)
        self.reached_target = reached_target
        self.not_run = not_run


class _Reservation:
    """Context that holds a slot of the target for an offered request.

    A plain class: contexts made from generators took a twentieth of the
    processor time of an offer.
    """

    __slots__ = ("_executor", "_offer", "_slot")

    def __init__(self, executor: Executor, offer: deployment.Offer) -> None:
        self._executor = executor
        self._offer = offer

    async def __aenter__(self) -> admission_queues.Slot:
        executor, offer = self._executor, self._offer
        slot = await executor.acquire_slot(offer)
        if not executor.memory.reserve(offer.request_bytes):
            executor.admission_queue.release(slot)
            raise _build_refusal(_Kind.OVERLOADED, "no memory for the request")
        self._slot = slot
        return slot

    async def __aexit__(self, *failure: object) -> None:
        self._executor.memory.release(self._offer.request_bytes)
        self._executor.admission_queue.release(self._slot)


class Executor:
    """Runs requests at the local target and tracks the target's state.

    Parameters
    ----------
    context : contexts.NodeContext
        Dependencies shared by all components of the node.
    """

    def __init__(self, context: contexts.NodeContext) -> None:
        settings, time = context.settings, context.time
        self._settings = settings
        self._time = time
        self._state = context.state
        self.memory = context.memory
        self._log = context.log
        self._metrics = context.metrics
        address = settings.target_address
        self._pool = http_client.HttpPool(
            time,
            address.host,
            address.port,
            _CONNECT_TIMEOUT,
            self._handle_idle_close,
        )
        bounds = settings.bounds
        cold_start_limiter = slots.ColdStartLimiter(
            bounds.cold_excess, bounds.cold_slack
        )
        self.admission_queue = admission_queues.AdmissionQueue(
            time, slots.SlotScheduler(cold_start_limiter)
        )
        self._run_throttles = run_throttle.RunThrottles()
        self.entry: deployment.TargetEntry | None = None
        # The services by name, and the configuration that they are from.
        self._services: dict[str, deployment.ServiceInfo] = {}
        self._services_of: deployment.Configuration | None = None
        self.is_leaving = False
        # The target that says in its answers that it leaves.
        self._leaving: _Incarnation | None = None
        self._must_probe = asyncio.Event()
        self._is_cold_known = False
        # Whether the data centre of the target was out at the last change.
        self._was_out = False
        self._last_health_report = clock.ZERO

    @property
    def load(self) -> deployment.TargetLoad:
        """Current load of the target."""
        entry = self.entry
        if entry is None:
            return self.admission_queue.report_load("")
        return self.admission_queue.report_load(
            entry.target_id, entry.started_ms, self._is_target_leaving()
        )

    def apply_state(self) -> None:
        """Apply the published entry of the local target."""
        address = self._settings.target_address
        entry = self._state.find_target_at(address.host, address.port)
        known, self.entry = self.entry, entry
        if entry is None:
            if known is not None:
                self._log.record("target.gone", target=known.target_id)
            self.admission_queue.refuse_waiting(
                _Kind.LEAVING, "the target is gone"
            )
            return
        self.admission_queue.slot_scheduler.set_slots(entry.slots)
        if not self._is_cold_known:
            # The configuration with the cold rate may have arrived only now.
            self._begin_pacing(_UNKNOWN_COLD_DURATION)
        is_new = known is None or _identify(known) != _identify(entry)
        if is_new:
            self.admission_queue.slot_scheduler.named_rate.reset()
            self._log.record(
                "target.known",
                target=entry.target_id,
                service=entry.service,
                slots=entry.slots,
                cold_ms=entry.cold_remaining_ms,
            )
            self._pool.close_idle()
            self._assume_cold("new target")
        elif entry.cold_remaining_ms > 0 and entry != known:
            self._begin_pacing(
                clock.Milliseconds(entry.cold_remaining_ms) + _COLD_MARGIN
            )
        is_out = entry.data_centre in self._state.data_centres_out
        if self._was_out and not is_out:
            # The target may have become cold in the meantime. Its entry says
            # so, but changes of targets may arrive after this one.
            self._assume_cold("the data centre is taken back")
        self._was_out = is_out
        refusal = self._find_refusal(entry.service, entry.target_id)
        if refusal is not None and self.admission_queue.slot_scheduler.queued:
            self.admission_queue.refuse_waiting(refusal.kind, refusal.detail)
        self.admission_queue.wake()

    def reserve(self, offer: deployment.Offer) -> _Reservation:
        """Return a context that holds a slot for an offered request.

        Entering it raises AttemptError if the target cannot accept the
        request; it has not run then.
        """
        return _Reservation(self, offer)

    async def acquire_slot(
        self, offer: deployment.Offer
    ) -> admission_queues.Slot:
        """Return a slot for an offered request, which has to be released.

        Raises
        ------
        AttemptError
            If the target cannot accept the request; it has not run.
        """
        self._check_eligibility(offer)
        now = self._time.now()
        if not self._run_throttles.admit(offer.route, now):
            raise _build_refusal(
                _Kind.CALLS_REFUSED,
                "calls that the request needs are refused",
                self._run_throttles.find_wait(offer.route, now),
            )
        try:
            slot = await self.admission_queue.acquire(
                offer.is_nested,
                offer.priority,
                clock.Milliseconds(offer.max_wait_ms),
            )
        except exceptions.RefusedError as refusal:
            raise _build_refusal(
                refusal.kind, refusal.detail, refusal.retry_after
            ) from refusal
        # The target may have started to leave during the wait.
        refusal = self._find_refusal(offer.service, offer.target_id)
        if refusal is not None:
            self.admission_queue.release(slot)
            raise refusal
        return slot

    async def run(
        self,
        offer: deployment.Offer,
        request: deployment.ForwardedRequest,
        deadline: clock.Milliseconds,
        slot: admission_queues.Slot,
        receiver: Any,
    ) -> deployment.Result:
        """Send a request to the target and return its answer.

        Parameters
        ----------
        offer : deployment.Offer
            Context of the request.
        request : deployment.ForwardedRequest
            The request.
        deadline : clock.Milliseconds
            Time by which the answer is needed.
        slot : admission_queues.Slot
            Slot that the request holds.
        receiver : receivers.CallerReceiver or receivers.PeerReceiver
            Receives a large answer in parts.

        Returns
        -------
        deployment.Result
            The complete answer; a partial one if the whole of it has been
            passed on to the receiver.

        Raises
        ------
        AttemptError
            If there is no complete and valid answer.
        exceptions.BrokenAnswerError
            If the answer broke off after a part of it was passed on.
        exceptions.ReceiverGoneError
            If the receiver does not take the answer.
        """
        started_at = self._time.now()
        asked = self.entry
        data = encoding.encode_request(
            request.method,
            request.path,
            http_adapter.build_target_headers(
                request, offer, deadline - started_at
            ),
            request.body,
        )
        connection = await self._connect()
        try:
            connection.send(data, request.method)
            received, partial = await self._receive_matching(
                connection, offer.request_id, deadline
            )
        except (OSError, exceptions.CyclamenwellError) as error:
            connection.close()
            self._note_run(offer.route, started_at, is_failed=True)
            raise self._build_failure(error, deadline) from error
        except BaseException:
            # A closed connection tells the target to cancel the request.
            connection.close()
            raise
        service_time = self._time.now() - started_at
        self._note_statements(received, asked)
        result = deployment.Result(
            request_id=offer.request_id,
            status=received.answer.status,
            headers=received.answer.headers,
            body=received.answer.body,
            load=self.load,
            service_ms=service_time.value,
            is_partial=partial is not None,
            body_length=partial.body_length if partial else None,
        )
        try:
            if partial is not None:
                self._validate_answer(offer, received)
                await self._pass_on(connection, result, receiver, deadline)
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection, self._find_max_idle(received.max_idle))
        self._validate_answer(offer, received)
        is_failed = received.answer.status >= _FIRST_FAILURE_STATUS
        self._note_run(offer.route, started_at, is_failed)
        slot.service_time = service_time
        self._metrics.observe("target", service_time)
        return result

    def note_refused_call(self, kind: enumerations.ErrorKind) -> None:
        """Note that a nested call of the local target was refused."""
        self._run_throttles.note_refused_call(kind, self._time.now())

    def close_connections(self) -> None:
        """Close the idle connections to the target."""
        self._pool.close_idle()

    async def monitor_health(self) -> None:
        """Probe the health endpoint whenever the target may be cold."""
        while True:
            await self._must_probe.wait()
            self._must_probe.clear()
            if not await self._probe():
                await asyncio.sleep(_PROBE_INTERVAL.seconds)
                if not self._is_cold_known:
                    self._must_probe.set()

    async def _connect(self) -> http_client.HttpConnection:
        connection = self._pool.acquire_idle()
        if connection is not None:
            return connection
        try:
            return await self._pool.open()
        except OSError as error:
            self._assume_cold(f"cannot connect to the target: {error!r}")
            raise AttemptError(
                _Kind.TARGET_UNREACHABLE,
                f"the target does not accept connections: {error!r}",
                reached_target=False,
                not_run=True,
            ) from error

    async def _pass_on(
        self,
        connection: http_client.HttpConnection,
        result: deployment.Result,
        receiver: Any,
        deadline: clock.Milliseconds,
    ) -> None:
        """Pass a large answer on to its receiver, part by part."""
        body = await receivers.begin_answer(receiver, result)
        try:
            while True:
                remaining = deadline - self._time.now()
                if (remaining + _MAX_OVERTIME).value <= 0:
                    raise exceptions.ProtocolError("the answer does not end")
                part = await connection.receive_part(
                    max(remaining, _PART_TIMEOUT)
                )
                if not part:
                    break
                await receivers.send_part(body, part)
        except exceptions.ReceiverGoneError:
            raise
        except (OSError, exceptions.CyclamenwellError) as error:
            raise exceptions.BrokenAnswerError(
                f"the answer of the target broke off: {error!r}"
            ) from error
        await receivers.end_body(body)

    async def _receive_matching(
        self,
        connection: http_client.HttpConnection,
        request_id: str,
        deadline: clock.Milliseconds,
    ) -> tuple[http_adapter.TargetAnswer, http1.PartialAnswer | None]:
        """Return the answer to a request; skip answers to other requests.

        Of a large answer, only the beginning is returned.

        A refusal without identity is believed only as the first answer on its
        connection; later it may be an earlier refusal that is sent again.
        """
        for _ in range(_MAX_FOREIGN_ANSWERS):
            is_first = not connection.is_used
            answer = await connection.receive_begun(
                deadline - self._time.now(), _MAX_WHOLE_BYTES
            )
            partial = None
            if isinstance(answer, http1.PartialAnswer):
                partial, answer = answer, answer.answer
            received = http_adapter.parse_target_answer(answer)
            if received.request_id == request_id:
                return received, partial
            if not received.request_id and received.not_run and is_first:
                return received, partial
            self._log.record(
                "target.foreign_answer",
                request=request_id,
                answered=received.request_id,
                status=answer.status,
            )
            if not received.request_id:
                raise exceptions.ProtocolError("an answer without identity")
            if partial is not None:
                raise exceptions.ProtocolError(
                    "a large answer to another request"
                )
        raise exceptions.ProtocolError(
            f"{_MAX_FOREIGN_ANSWERS} answers to other requests"
        )

    def _validate_answer(
        self, offer: deployment.Offer, received: http_adapter.TargetAnswer
    ) -> None:
        """Raise an error if an answer must not be passed to the caller."""
        status = received.answer.status
        if received.not_run:
            kind = _Kind.TARGET_SHED
            if received.is_misdirected:
                kind = _Kind.WRONG_INSTANCE
                self._assume_cold("another target answered at the address")
            raise AttemptError(
                kind,
                f"the target answered {status} without running the request",
                reached_target=True,
                not_run=True,
                retry_after=self.admission_queue.slot_scheduler.service_time,
            )
        if status < _FIRST_ERROR_STATUS and (
            not received.is_sealed or received.is_encoded
        ):
            raise AttemptError(
                _Kind.INCOMPLETE_ANSWER,
                "the answer is not one that the target vouches for",
                reached_target=True,
                not_run=False,
            )
        is_repeatable = offer.kind in retry_decisions.REPEATABLE_KINDS
        if status in _NOT_RUN_STATUSES and not is_repeatable:
            raise AttemptError(
                _Kind.INCOMPLETE_ANSWER,
                f"the target answered {status} and may have run the request",
                reached_target=True,
                not_run=False,
            )

    def _build_failure(
        self, error: Exception, deadline: clock.Milliseconds
    ) -> AttemptError:
        kind = _Kind.INCOMPLETE_ANSWER
        if isinstance(error, exceptions.RefusedError):
            kind = error.kind
        elif isinstance(error, TimeoutError) and deadline <= self._time.now():
            kind = _Kind.TIMED_OUT
        elif self._time.now() - self._last_health_report > _MIN_HEALTH_AGE:
            self._assume_cold(f"connection to the target failed: {error!r}")
        return AttemptError(
            kind,
            f"no whole answer of the target: {error!r}",
            reached_target=True,
            not_run=False,
        )

    def _note_run(
        self, route: str, begun_at: clock.Milliseconds, is_failed: bool
    ) -> None:
        """Note how a run has ended at the target."""
        end = self._run_throttles.note_end(
            route, begun_at, self._time.now(), is_failed
        )
        if end.is_lost:
            self._metrics.count("lost_runs", route)
        if end.change is not None:
            self._log.record(
                "runs.limited",
                route=route,
                per_second=end.change.rate_per_second,
                ended=end.change.ended,
                lost=end.change.lost,
            )

    def _handle_idle_close(self) -> None:
        """Handle an idle connection that the target closed early.

        The target may have restarted and be cold, even if no request failed
        in the meantime.
        """
        self._assume_cold("target closed an idle connection early")

    def _check_eligibility(self, offer: deployment.Offer) -> None:
        refusal = self._find_refusal(offer.service, offer.target_id)
        if refusal is not None:
            raise refusal

    def _find_refusal(
        self, service: str, target_id: str
    ) -> AttemptError | None:
        """Return why the target must not run a request, or None."""
        entry = self.entry
        if entry is None:
            return _build_refusal(
                _Kind.NO_INSTANCE, "no target is registered here"
            )
        if entry.target_id != target_id or entry.service != service:
            return _build_refusal(
                _Kind.WRONG_INSTANCE, f"the target here is {entry.target_id}"
            )
        is_serving = entry.state is enumerations.InstanceState.SERVING
        if not is_serving or self._is_target_leaving():
            return _build_refusal(_Kind.LEAVING, "the target is leaving")
        if self._find_service() is None:
            return _build_refusal(
                _Kind.STALE_VIEW, "the service is not known yet"
            )
        if entry.data_centre in self._state.data_centres_out:
            return _build_refusal(
                _Kind.DATA_CENTRE_OUT, f"{entry.data_centre} is taken out"
            )
        if self.is_leaving:
            return _build_refusal(_Kind.LEAVING, "the node is stopping")
        return None

    def _is_target_leaving(self) -> bool:
        """Whether the present target has said in an answer that it leaves."""
        if self._leaving is None or self.entry is None:
            return False
        return self._leaving == _identify(self.entry)

    def _note_statements(
        self,
        received: http_adapter.TargetAnswer,
        asked: deployment.TargetEntry | None,
    ) -> None:
        """Note what an answer states about the target that was asked.

        Nothing is noted if another target answered, or has taken its place.
        """
        if received.is_misdirected or asked is None or self.entry is None:
            return
        if _identify(asked) != _identify(self.entry):
            return
        named_rate = self.admission_queue.slot_scheduler.named_rate
        if named_rate.note_answer(received.named_rate, self._time.now()):
            self._log.record(
                "target.named_rate",
                target=asked.target_id,
                per_second=received.named_rate,
            )
            self.admission_queue.wake()
        if received.is_leaving and not self._is_target_leaving():
            self._leaving = _identify(asked)
            self._log.record("target.leaving", target=asked.target_id)
            self.admission_queue.refuse_waiting(
                _Kind.LEAVING, "the target says that it leaves"
            )

    def _find_max_idle(
        self, keep_alive: clock.Milliseconds | None
    ) -> clock.Milliseconds:
        return (
            _DEFAULT_MAX_IDLE
            if keep_alive is None
            else keep_alive - _IDLE_MARGIN
        )

    def _assume_cold(self, reason: str) -> None:
        """Treat the target as cold until its health endpoint answers."""
        if self._is_cold_known:
            self._log.record("target.cold_unknown", reason=reason)
        self._is_cold_known = False
        self._begin_pacing(_UNKNOWN_COLD_DURATION)
        self._must_probe.set()

    def _find_service(self) -> deployment.ServiceInfo | None:
        """Return the configured service of the target, or None."""
        configuration = self._state.configuration
        if configuration is None or self.entry is None:
            return None
        if self._services_of is not configuration:
            self._services_of = configuration
            self._services = {s.name: s for s in configuration.services}
        return self._services.get(self.entry.service)

    def _begin_pacing(self, duration: clock.Milliseconds) -> None:
        service = self._find_service()
        if service is None or service.cold_rate_per_second <= 0:
            return
        self.admission_queue.slot_scheduler.begin_cold(
            self._time.now(), duration, service.cold_rate_per_second
        )

    async def _probe(self) -> bool:
        """Probe the health endpoint; return whether it answered."""
        service, entry = self._find_service(), self.entry
        if service is None or entry is None:
            return False
        if not service.health_path:
            self._apply_health(_NOT_COLD, was_shed=False)
            return True
        fields = [("host", f"{entry.host}:{entry.port}")]
        data = encoding.encode_request("GET", service.health_path, fields, b"")
        await self._wait_for_named_rate()
        try:
            connection = self._pool.acquire_idle() or await self._pool.open()
            try:
                connection.send(data)
                answer = await connection.receive(
                    _PROBE_TIMEOUT, _MAX_HEALTH_BYTES
                )
            except BaseException:
                connection.close()
                raise
        except (OSError, exceptions.CyclamenwellError) as error:
            self._log.record("target.probe_failed", error=repr(error))
            return False
        received = http_adapter.parse_target_answer(answer)
        self._pool.release(connection, self._find_max_idle(received.max_idle))
        self._note_statements(received, entry)
        self._apply_health(http_adapter.parse_health(answer), received.not_run)
        return True

    async def _wait_for_named_rate(self) -> None:
        """Wait until the rate that the target has named allows a probe."""
        named_rate = self.admission_queue.slot_scheduler.named_rate
        while named_rate.is_active:
            now = self._time.now()
            if named_rate.take_token(now):
                return
            delay = named_rate.find_next_token_time(now) - now
            await asyncio.sleep(delay.seconds)

    def _apply_health(
        self, report: http_adapter.HealthReport, was_shed: bool
    ) -> None:
        self._log.record(
            "target.health",
            healthy=report.is_healthy,
            target=report.instance_id,
            cold_ms=report.cold_remaining.value,
            shed=was_shed,
        )
        self._last_health_report = self._time.now()
        if self._must_probe.is_set():
            # The report may be older than the reason for the next probe.
            return
        self._is_cold_known = True
        if report.cold_remaining.value > 0:
            self._begin_pacing(report.cold_remaining + _COLD_MARGIN)
        else:
            # Pacing ends also if the target shed the probe: it is then at
            # its limit, which a cold target is not.
            self.admission_queue.slot_scheduler.end_cold()
        self.admission_queue.wake()


def _identify(entry: deployment.TargetEntry) -> _Incarnation:
    """Return what tells one start of a target from another."""
    return entry.target_id, entry.started_ms


def _build_refusal(
    kind: enumerations.ErrorKind,
    detail: str,
    retry_after: clock.Milliseconds = clock.ZERO,
) -> AttemptError:
    """Return the error of a request that no target has received."""
    return AttemptError(
        kind,
        detail,
        reached_target=False,
        not_run=True,
        retry_after=retry_after,
    )
