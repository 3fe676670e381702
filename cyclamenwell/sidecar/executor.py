"""Running requests at the target beside the node."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.node import encoding
from cyclamenwell.platform import dialect
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import gate as gates
from cyclamenwell.sidecar import http_client

__all__ = ["AttemptError", "Executor"]

_Kind = enumerations.ErrorKind
# The target is on the same machine; a connection takes about a millisecond.
_CONNECT_WAIT = clock.Milliseconds(500)
# Idle connections are closed before the target does it: a request that
# crosses the target's close may have run. Without a hint of the target the
# usual 5 s of servers are assumed.
_DEFAULT_IDLE = clock.Milliseconds(3000)
_IDLE_MARGIN = clock.Milliseconds(1000)
_PROBE_INTERVAL = clock.Milliseconds(300)
_PROBE_WAIT = clock.Milliseconds(1000)
# Until the target has said whether it is cold, it is treated as cold.
_UNKNOWN_COLD = clock.Milliseconds(60_000)
# A target is paced a little longer than it says: the requests that waited come
# all at once, and some may be early at the target.
_COLD_MARGIN = clock.Milliseconds(200)
# A broken connection may mean that the target has started again, or only that
# one answer was lost; the target is asked at most once in this time.
_MIN_HEALTH_AGE = clock.Milliseconds(1000)
_NOT_COLD = dialect.HealthReport(True, "", clock.ZERO)
# Statuses that promise that a request has not run. A target that sends one
# for a request that it may have run must not make the node promise it.
_PROMISES = frozenset({408, 421, 429, 503})
_FIRST_FAILURE = 400


class AttemptError(exceptions.RefusedError):
    """An attempt that brought no answer of the target.

    Parameters
    ----------
    kind : enumerations.ErrorKind
        Reason.
    detail : str
        Explanation.
    reached_target : bool
        Whether any byte of the request went to a target.
    not_run : bool
        Whether the request has not run and never will.
    retry_after : clock.Milliseconds
        When room is expected.
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


class Executor:
    """Runs requests at the target and follows the target's state.

    Parameters
    ----------
    context : contexts.NodeContext
        What all parts of the node share.
    """

    def __init__(self, context: contexts.NodeContext) -> None:
        settings, time = context.settings, context.time
        self._settings = settings
        self._time = time
        self._state = context.state
        self._log = context.log
        self._figures = context.figures
        address = settings.target_address
        self._pool = http_client.HttpPool(
            time, address.host, address.port, _CONNECT_WAIT, self._note_loss
        )
        bounds = settings.bounds
        pacer = slots.ColdPacer(bounds.cold_excess, bounds.cold_slack)
        self.gate = gates.Gate(time, slots.SlotBook(pacer))
        self.entry: deployment.TargetEntry | None = None
        self.is_leaving = False
        self._must_probe = asyncio.Event()
        self._is_cold_known = False
        self._last_health = clock.ZERO

    @property
    def load(self) -> deployment.TargetLoad:
        """Load of the target."""
        return self.gate.report(self.entry.target_id if self.entry else "")

    def follow_state(self) -> None:
        """Take what has been published about the target beside the node."""
        address = self._settings.target_address
        entry = self._state.find_target_at(address.host, address.port)
        known, self.entry = self.entry, entry
        if entry is None:
            if known is not None:
                self._log.record("target.gone", target=known.target_id)
            self.gate.refuse_waiting(_Kind.LEAVING, "the target is gone")
            return
        self.gate.book.set_slots(entry.slots)
        if not self._is_cold_known:
            # The configuration, which tells the pace, may have come only now.
            self._begin_cold(_UNKNOWN_COLD)
        is_new = known is None or (
            (known.target_id, known.born_ms) != (entry.target_id, entry.born_ms)
        )
        if is_new:
            self._log.record(
                "target.known",
                target=entry.target_id,
                service=entry.service,
                slots=entry.slots,
                cold_ms=entry.cold_remaining_ms,
            )
            self._pool.close_idle()
            self._suspect_cold("new target")
        elif entry.cold_remaining_ms > 0 and entry != known:
            self._begin_cold(
                clock.Milliseconds(entry.cold_remaining_ms) + _COLD_MARGIN
            )
        refusal = self._find_objection(entry.service, entry.target_id)
        if refusal is not None and self.gate.book.queued:
            self.gate.refuse_waiting(refusal.kind, refusal.detail)
        self.gate.wake()

    @contextlib.asynccontextmanager
    async def reserve(
        self, offer: deployment.Offer
    ) -> AsyncIterator[gates.Slot]:
        """Hold a slot for an offered request.

        Raises
        ------
        AttemptError
            If the target can not take the request; it has not run.
        """
        self._check(offer)
        try:
            async with self.gate.enter(
                offer.is_further,
                offer.priority,
                clock.Milliseconds(offer.max_wait_ms),
            ) as slot:
                # The target may have begun to leave while the request waited.
                self._check(offer)
                yield slot
        except AttemptError:
            raise
        except exceptions.RefusedError as refusal:
            raise AttemptError(
                refusal.kind,
                refusal.detail,
                reached_target=False,
                not_run=True,
                retry_after=refusal.retry_after,
            ) from refusal

    async def run(
        self,
        offer: deployment.Offer,
        request: deployment.ForwardedRequest,
        deadline: clock.Milliseconds,
        slot: gates.Slot,
    ) -> deployment.Result:
        """Send a request to the target and return its whole answer.

        Raises
        ------
        AttemptError
            If there is no whole answer.
        """
        begun = self._time.now()
        data = encoding.encode_request(
            request.method,
            request.path,
            dialect.build_target_headers(request, offer, deadline - begun),
            request.body,
        )
        connection = await self._connect()
        try:
            connection.send(data)
            received = await self._receive_own(
                connection, offer.request_id, deadline
            )
        except (OSError, exceptions.ProtocolError) as error:
            connection.close()
            raise self._describe_failure(error, deadline) from error
        except BaseException:
            # Closing the connection lets the target drop the request.
            connection.close()
            raise
        held = self._time.now() - begun
        self._pool.give_back(connection, self._find_max_idle(received.max_idle))
        self._judge(offer, received)
        slot.held = held
        self._figures.observe("target", held)
        return deployment.Result(
            request_id=offer.request_id,
            status=received.answer.status,
            headers=received.answer.headers,
            body=received.answer.body,
            load=self.load,
            service_ms=held.value,
        )

    def close_connections(self) -> None:
        """Close the idle connections to the target."""
        self._pool.close_idle()

    async def follow_health(self) -> None:
        """Ask the target whether it is cold whenever that is not known."""
        while True:
            await self._must_probe.wait()
            self._must_probe.clear()
            if not await self._probe():
                await asyncio.sleep(_PROBE_INTERVAL.seconds)
                if not self._is_cold_known:
                    self._must_probe.set()

    async def _connect(self) -> http_client.HttpConnection:
        connection = self._pool.take_idle()
        if connection is not None:
            return connection
        try:
            return await self._pool.open()
        except OSError as error:
            self._suspect_cold(f"no connection: {error!r}")
            raise AttemptError(
                _Kind.TARGET_UNREACHABLE,
                f"the target does not accept connections: {error!r}",
                reached_target=False,
                not_run=True,
            ) from error

    async def _receive_own(
        self,
        connection: http_client.HttpConnection,
        request_id: str,
        deadline: clock.Milliseconds,
    ) -> dialect.TargetAnswer:
        """Return the answer to a request, skipping answers to others."""
        while True:
            answer = await connection.receive(deadline - self._time.now())
            received = dialect.read_target_answer(answer)
            if received.request_id == request_id:
                return received
            if not received.request_id and received.not_run:
                return received
            self._log.record(
                "target.foreign_answer",
                request=request_id,
                answered=received.request_id,
                status=answer.status,
            )
            if not received.request_id:
                raise exceptions.ProtocolError("an answer without identity")

    def _judge(
        self, offer: deployment.Offer, received: dialect.TargetAnswer
    ) -> None:
        """Refuse an answer that must not pass as the target's own."""
        status = received.answer.status
        if received.not_run:
            kind = _Kind.TARGET_SHED
            if received.is_misdirected:
                kind = _Kind.WRONG_INSTANCE
                self._suspect_cold("another target answered")
            raise AttemptError(
                kind,
                f"the target answered {status} without running the request",
                reached_target=True,
                not_run=True,
                retry_after=self.gate.book.service_time,
            )
        if status < _FIRST_FAILURE and (
            not received.is_sealed or received.is_encoded
        ):
            raise AttemptError(
                _Kind.INCOMPLETE_ANSWER,
                "the answer is not one that the target vouches for",
                reached_target=True,
                not_run=False,
            )
        is_repeatable = offer.kind is enumerations.RequestKind.IDEMPOTENT
        if status in _PROMISES and not is_repeatable:
            raise AttemptError(
                _Kind.INCOMPLETE_ANSWER,
                f"the target answered {status} and may have run the request",
                reached_target=True,
                not_run=False,
            )

    def _describe_failure(
        self, error: Exception, deadline: clock.Milliseconds
    ) -> AttemptError:
        kind = _Kind.INCOMPLETE_ANSWER
        if isinstance(error, TimeoutError) and deadline <= self._time.now():
            kind = _Kind.TIMED_OUT
        elif self._time.now() - self._last_health > _MIN_HEALTH_AGE:
            self._suspect_cold(f"a connection broke: {error!r}")
        return AttemptError(
            kind,
            f"no whole answer of the target: {error!r}",
            reached_target=True,
            not_run=False,
        )

    def _note_loss(self) -> None:
        """Note that an idle connection ended before its time.

        A target that has crashed and started again is cold, and no request
        need have failed in between.
        """
        self._suspect_cold("an idle connection ended early")

    def _check(self, offer: deployment.Offer) -> None:
        objection = self._find_objection(offer.service, offer.target_id)
        if objection is not None:
            raise objection

    def _find_objection(
        self, service: str, target_id: str
    ) -> AttemptError | None:
        """Return why the target may not run a request, or None."""
        entry = self.entry
        if entry is None:
            return _object(_Kind.NO_INSTANCE, "no target is registered here")
        if entry.target_id != target_id or entry.service != service:
            return _object(
                _Kind.WRONG_INSTANCE, f"the target here is {entry.target_id}"
            )
        if entry.state is not enumerations.InstanceState.SERVING:
            return _object(_Kind.LEAVING, "the target is leaving")
        if self._find_service() is None:
            return _object(_Kind.STALE_VIEW, "the service is not known yet")
        if entry.data_centre in self._state.data_centres_out:
            return _object(
                _Kind.DATA_CENTRE_OUT, f"{entry.data_centre} is taken out"
            )
        if self.is_leaving:
            return _object(_Kind.LEAVING, "the node is stopping")
        return None

    def _find_max_idle(
        self, stated: clock.Milliseconds | None
    ) -> clock.Milliseconds:
        return _DEFAULT_IDLE if stated is None else stated - _IDLE_MARGIN

    def _suspect_cold(self, reason: str) -> None:
        """Treat the target as cold until its health endpoint says more."""
        if self._is_cold_known:
            self._log.record("target.cold_unknown", reason=reason)
        self._is_cold_known = False
        self._begin_cold(_UNKNOWN_COLD)
        self._must_probe.set()

    def _find_service(self) -> deployment.ServiceInfo | None:
        """Return the service of the target, if it is known."""
        configuration = self._state.configuration
        if configuration is None or self.entry is None:
            return None
        for service in configuration.services:
            if service.name == self.entry.service:
                return service
        return None

    def _begin_cold(self, duration: clock.Milliseconds) -> None:
        service = self._find_service()
        if service is None or service.cold_rate_per_second <= 0:
            return
        self.gate.book.begin_cold(
            self._time.now(), duration, service.cold_rate_per_second
        )

    async def _probe(self) -> bool:
        """Ask the health endpoint; return whether it answered."""
        service, entry = self._find_service(), self.entry
        if service is None or entry is None:
            return False
        if not service.health_path:
            self._take_health(_NOT_COLD, was_shed=False)
            return True
        fields = [("host", f"{entry.host}:{entry.port}")]
        data = encoding.encode_request("GET", service.health_path, fields, b"")
        try:
            connection = self._pool.take_idle() or await self._pool.open()
            try:
                connection.send(data)
                answer = await connection.receive(_PROBE_WAIT)
            except BaseException:
                connection.close()
                raise
        except (OSError, exceptions.ProtocolError) as error:
            self._log.record("target.probe_failed", error=repr(error))
            return False
        received = dialect.read_target_answer(answer)
        self._pool.give_back(connection, self._find_max_idle(received.max_idle))
        self._take_health(dialect.read_health(answer), received.not_run)
        return True

    def _take_health(
        self, report: dialect.HealthReport, was_shed: bool
    ) -> None:
        self._log.record(
            "target.health",
            healthy=report.is_healthy,
            target=report.instance_id,
            cold_ms=report.cold_remaining.value,
            shed=was_shed,
        )
        self._is_cold_known = True
        self._last_health = self._time.now()
        if report.cold_remaining.value > 0:
            self._begin_cold(report.cold_remaining + _COLD_MARGIN)
        else:
            # A target that sheds the probe is full, which a cold one is not.
            self.gate.book.end_cold()
        self.gate.wake()


def _object(kind: enumerations.ErrorKind, detail: str) -> AttemptError:
    return AttemptError(kind, detail, reached_target=False, not_run=True)
