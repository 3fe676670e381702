"""Dispatch of requests to targets, with retries."""

from __future__ import annotations

import dataclasses

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import queue_wait
from cyclamenwell.admission import slots
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.node import http1
from cyclamenwell.retries import retry_decisions
from cyclamenwell.retries import window_budget
from cyclamenwell.routing import saturation
from cyclamenwell.routing import target_balancer
from cyclamenwell.sidecar import context as contexts
from cyclamenwell.sidecar import executor as executors
from cyclamenwell.sidecar import peers
from cyclamenwell.sidecar import receivers

__all__ = ["Dispatcher", "RoutedCall"]

_Kind = enumerations.ErrorKind
# Failures after which the balancer avoids a target for a back-off period.
_UNAVAILABLE_KINDS = frozenset(
    {
        _Kind.LEAVING,
        _Kind.NO_INSTANCE,
        _Kind.PEER_UNREACHABLE,
        _Kind.TARGET_UNREACHABLE,
        _Kind.WRONG_INSTANCE,
    }
)
# Allows for a round trip between data centres and a short delay at the peer.
_REPLY_MARGIN = clock.Milliseconds(300)
# An offer of an idempotent request carries the request itself up to this body
# size, which saves a round trip.
_MAX_INLINE_BYTES = 4096
# The parts of an answer that is being passed on may arrive after the deadline,
# at most this time apart.
_PART_TIMEOUT = clock.Milliseconds(1500)
# The answer has to leave the node this long before the deadline.
_ANSWER_MARGIN = clock.Milliseconds(10)


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedCall:
    """A request as resolved by the entry node.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    route : deployment.Route
        Route in force when the request arrived.
    service : str
        Service that the request is for.
    organisation : str
        Organisation of the caller, empty if there is none.
    priority : int
        Priority; 0 is the most important.
    is_nested : bool
        Whether a running request waits for this one.
    started_at : clock.Milliseconds
        Time at which the request arrived.
    deadline : clock.Milliseconds
        Time by which the caller needs the answer.
    request : deployment.ForwardedRequest
        Request to forward to the target.
    receiver : receivers.CallerReceiver
        Receives a large answer in parts.
    """

    request_id: str
    route: deployment.Route
    service: str
    organisation: str
    priority: int
    is_nested: bool
    started_at: clock.Milliseconds
    deadline: clock.Milliseconds
    request: deployment.ForwardedRequest
    receiver: receivers.CallerReceiver


class Dispatcher:
    """Offers each request to targets until one answers it.

    Parameters
    ----------
    context : contexts.NodeContext
        Dependencies shared by all components of the node.
    balancer : target_balancer.TargetBalancer
        Selects a target for each attempt.
    saturated : saturation.SaturatedTargets
        Targets that refused recently for lack of capacity.
    budget : window_budget.WindowRetryBudget
        Retry budget.
    executor : executors.Executor
        Runs requests at the local target.
    links : peers.LinkPool
        Pooled connections to other nodes.
    """

    def __init__(
        self,
        context: contexts.NodeContext,
        balancer: target_balancer.TargetBalancer,
        saturated: saturation.SaturatedTargets,
        budget: window_budget.WindowRetryBudget,
        executor: executors.Executor,
        links: peers.LinkPool,
    ) -> None:
        self._settings = context.settings
        self._time = context.time
        self._state = context.state
        self._balancer = balancer
        self._saturated = saturated
        self._budget = budget
        self._executor = executor
        self._links = links
        self._log = context.log
        # While the node stops: the time from which requests are late, and the
        # end of the process.
        self._late_from: clock.Milliseconds | None = None
        self._ends_at: clock.Milliseconds | None = None

    def begin_stop(
        self, late_from: clock.Milliseconds, ends_at: clock.Milliseconds
    ) -> None:
        """Refuse late requests that may still run at the end of the process.

        Parameters
        ----------
        late_from : clock.Milliseconds
            Requests that have not begun by then are late.
        ends_at : clock.Milliseconds
            End of the process.
        """
        self._late_from = late_from
        self._ends_at = ends_at

    async def run(self, call: RoutedCall) -> deployment.Result:
        """Return the complete answer of a target.

        A partial answer has been passed on to the receiver of the call.

        Raises
        ------
        exceptions.RefusedError
            If no target answered. Its kind states that the request has not
            run only if no target can have run it.
        exceptions.BrokenAnswerError
            If the answer broke off after a part of it was passed on.
        exceptions.ReceiverGoneError
            If the caller does not take the answer.
        """
        self._budget.record_request(call.service)
        attempts = retry_decisions.Attempts()
        tried: set[str] = set()
        failure: executors.AttemptError | None = None
        while True:
            max_wait = self._find_max_wait(call)
            if max_wait is None:
                failure = _build_stop_error(self._ends_at - self._time.now())
                raise self._build_error(call, attempts, failure, frozenset())
            entries = self._state.list_targets(call.service)
            saturated = self._saturated.list_saturated(
                (entry.target_id for entry in entries),
                _find_rank(call),
                max_wait,
            )
            entry = self._balancer.choose(
                entries,
                self._state.data_centres_out,
                tried,
                call.route.name,
                len(call.request.body),
                saturated,
            )
            if entry is None:
                raise self._build_error(call, attempts, failure, saturated)
            tried.add(entry.target_id)
            try:
                return await self._attempt(call, entry, max_wait)
            except executors.AttemptError as error:
                failure = error
            attempts = attempts.add(
                failure.reached_target, failure.not_run, failure.kind
            )
            self._log.record(
                "attempt.failed",
                request=call.request_id,
                target=entry.target_id,
                kind=failure.kind.name,
                detail=failure.detail,
                not_run=failure.not_run,
                left_ms=round((call.deadline - self._time.now()).value),
            )
            if not self._may_retry(call, attempts, failure):
                raise self._build_error(call, attempts, failure, saturated)

    def _may_retry(
        self,
        call: RoutedCall,
        attempts: retry_decisions.Attempts,
        failure: executors.AttemptError,
    ) -> bool:
        if call.deadline - self._time.now() <= _ANSWER_MARGIN:
            return False
        decision = retry_decisions.decide_retry(
            attempts, call.route.kind, call.route.max_attempts, failure.kind
        )
        if decision is retry_decisions.RetryDecision.FROM_BUDGET:
            return self._budget.spend(call.service)
        return decision is retry_decisions.RetryDecision.FREE

    async def _attempt(
        self,
        call: RoutedCall,
        entry: deployment.TargetEntry,
        max_wait: clock.Milliseconds,
    ) -> deployment.Result:
        self._balancer.begin(entry.target_id)
        try:
            if entry.host == self._settings.host:
                result = await self._run_locally(call, entry, max_wait)
            else:
                result = await self._run_remotely(call, entry, max_wait)
        except executors.AttemptError as error:
            self._note_failure(call, entry, max_wait, error)
            raise
        except exceptions.BrokenAnswerError:
            self._balancer.note_failure(entry.target_id)
            raise
        finally:
            self._balancer.end(entry.target_id)
        self._balancer.note_answer(
            entry.target_id,
            call.route.name,
            clock.Milliseconds(result.service_ms),
        )
        self._balancer.note_load(result.load)
        return result

    def _note_failure(
        self,
        call: RoutedCall,
        entry: deployment.TargetEntry,
        max_wait: clock.Milliseconds,
        error: executors.AttemptError,
    ) -> None:
        if error.kind in _UNAVAILABLE_KINDS:
            self._balancer.pause(entry.target_id)
        elif error.kind in retry_decisions.SATURATED:
            self._saturated.note_refusal(
                entry.target_id,
                _find_rank(call),
                error.kind,
                max_wait,
                error.retry_after,
            )
        elif not error.not_run:
            self._balancer.note_failure(entry.target_id)

    async def _run_locally(
        self,
        call: RoutedCall,
        entry: deployment.TargetEntry,
        max_wait: clock.Milliseconds,
    ) -> deployment.Result:
        offer = self._build_offer(call, entry, max_wait, request=None)
        async with self._executor.reserve(offer) as slot:
            deadline = call.deadline - _ANSWER_MARGIN
            return await self._executor.run(
                offer, call.request, deadline, slot, call.receiver
            )

    async def _run_remotely(
        self,
        call: RoutedCall,
        entry: deployment.TargetEntry,
        max_wait: clock.Milliseconds,
    ) -> deployment.Result:
        is_inline = (
            call.route.kind in retry_decisions.REPEATABLE_KINDS
            and len(call.request.body) <= _MAX_INLINE_BYTES
        )
        offer = self._build_offer(
            call,
            entry,
            max_wait,
            call.request if is_inline else None,
            http1.measure_request(call.request),
        )
        is_sent = False
        try:
            async with self._links.borrow(entry.host) as link:
                is_sent = is_inline
                await link.send(offer)
                reply = await self._receive_grant(link, offer, entry, call)
                if isinstance(reply, deployment.Grant):
                    is_sent = True
                    await link.send(
                        deployment.Start(
                            call.request_id,
                            self._find_remaining(call).value,
                            call.request,
                        )
                    )
                    reply = await self._receive_result(link, entry, call)
                if isinstance(reply, deployment.Result) and reply.is_partial:
                    await self._pass_on(link, reply, entry, call)
        except (OSError, exceptions.ProtocolError) as error:
            if self._find_remaining(call).value <= 0:
                raise _build_timeout_error(entry, is_sent) from error
            self._links.close_idle(entry.host)
            raise _build_link_error(entry, error, is_sent) from error
        except exceptions.PeerUnavailableError as error:
            raise _build_link_error(entry, error, False) from error
        # Refusals are raised outside of `borrow`, so that the link is reused.
        return self._read_reply(reply, entry)

    async def _pass_on(
        self,
        link: peers.Link,
        result: deployment.Result,
        entry: deployment.TargetEntry,
        call: RoutedCall,
    ) -> None:
        """Pass a large answer on to the caller, part by part."""
        body = await receivers.begin_answer(call.receiver, result)
        is_last = False
        while not is_last:
            try:
                part = await self._receive_part(link, entry, call)
            except (OSError, exceptions.ProtocolError) as error:
                raise exceptions.BrokenAnswerError(
                    f"the answer from {entry.target_id} broke off: {error!r}"
                ) from error
            await receivers.send_part(body, part.data)
            is_last = part.is_last
        await receivers.end_body(body)

    async def _receive_part(
        self,
        link: peers.Link,
        entry: deployment.TargetEntry,
        call: RoutedCall,
    ) -> deployment.BodyPart:
        timeout = max(self._find_remaining(call), _PART_TIMEOUT)
        while True:
            message = await _receive(link, timeout, entry, call)
            if isinstance(message, deployment.BodyPart):
                return message
            if not isinstance(message, deployment.Waiting):
                raise exceptions.ProtocolError(
                    f"{type(message).__name__} inside of an answer"
                )

    async def _receive_result(
        self,
        link: peers.Link,
        entry: deployment.TargetEntry,
        call: RoutedCall,
    ) -> object:
        """Return the reply to a started request."""
        while True:
            reply = await _receive(
                link, self._find_remaining(call), entry, call
            )
            if not isinstance(reply, deployment.Waiting):
                return reply

    async def _receive_grant(
        self,
        link: peers.Link,
        offer: deployment.Offer,
        entry: deployment.TargetEntry,
        call: RoutedCall,
    ) -> object:
        """Return the grant or the final reply to an offer."""
        acknowledgement_timeout = min(
            peers.ACKNOWLEDGEMENT_DELAY + _REPLY_MARGIN,
            self._find_remaining(call),
        )
        try:
            message = await _receive(link, acknowledgement_timeout, entry, call)
        except OSError:
            # No reply in time: the node or the path to it is down.
            self._balancer.pause(entry.target_id)
            raise
        if not isinstance(message, deployment.Waiting):
            return message
        if offer.request is not None:
            return await self._receive_result(link, entry, call)
        grant_timeout = clock.Milliseconds(offer.max_wait_ms) + _REPLY_MARGIN
        return await _receive(
            link, min(grant_timeout, self._find_remaining(call)), entry, call
        )

    def _read_reply(
        self, reply: object, entry: deployment.TargetEntry
    ) -> deployment.Result:
        if isinstance(reply, deployment.Result):
            return reply
        if not isinstance(reply, deployment.Refusal):
            # Only a peer that runs another version sends any other message.
            raise executors.AttemptError(
                _Kind.INCOMPLETE_ANSWER,
                f"{type(reply).__name__} from the node of {entry.target_id}",
                reached_target=True,
                not_run=False,
            )
        self._balancer.note_load(reply.load)
        raise executors.AttemptError(
            reply.kind,
            reply.detail,
            reached_target=reply.reached_target,
            not_run=reply.not_run,
            retry_after=clock.Milliseconds(reply.retry_after_ms),
        )

    def _build_offer(
        self,
        call: RoutedCall,
        entry: deployment.TargetEntry,
        max_wait: clock.Milliseconds,
        request: deployment.ForwardedRequest | None,
        request_bytes: int = 0,
    ) -> deployment.Offer:
        return deployment.Offer(
            request_id=call.request_id,
            service=call.service,
            target_id=entry.target_id,
            kind=call.route.kind,
            priority=call.priority,
            is_nested=call.is_nested,
            remaining_ms=self._find_remaining(call).value,
            max_wait_ms=max_wait.value,
            organisation=call.organisation,
            caller_service=self._settings.service,
            request=request,
            route=call.route.name,
            request_bytes=request_bytes,
        )

    def _find_max_wait(self, call: RoutedCall) -> clock.Milliseconds | None:
        """Return the maximum time that a request may wait for a slot.

        None if the process may end before the request does.
        """
        max_wait = queue_wait.find_max_wait(
            call.is_nested,
            clock.Milliseconds(call.route.objective_ms),
            self._find_remaining(call),
            self._balancer.find_average_time(call.route.name),
        )
        if self._late_from is None:
            return max_wait
        now = self._time.now()
        before_stop = queue_wait.find_wait_before_stop(
            call.deadline - now, self._ends_at - now, self._late_from - now
        )
        return None if before_stop is None else min(max_wait, before_stop)

    def _find_remaining(self, call: RoutedCall) -> clock.Milliseconds:
        return call.deadline - self._time.now() - _ANSWER_MARGIN

    def _build_error(
        self,
        call: RoutedCall,
        attempts: retry_decisions.Attempts,
        failure: executors.AttemptError | None,
        saturated: frozenset[str],
    ) -> exceptions.RefusedError:
        """Return the error for the caller after the last attempt."""
        if failure is None and saturated:
            return exceptions.RefusedError(
                self._saturated.find_kind(saturated, _find_rank(call)),
                f"targets of {call.service} refused a moment ago: "
                + ", ".join(sorted(saturated)),
                self._saturated.find_expected_wait(saturated, _find_rank(call)),
            )
        if failure is None:
            return exceptions.RefusedError(
                _Kind.NO_INSTANCE, f"no target of {call.service} is available"
            )
        if not attempts.may_have_run:
            return failure
        kind = failure.kind if not failure.not_run else _Kind.INCOMPLETE_ANSWER
        return exceptions.RefusedError(kind, failure.detail)


def _find_rank(call: RoutedCall) -> tuple[int, int]:
    return slots.rank_request(call.is_nested, call.priority)


async def _receive(
    link: peers.Link,
    max_wait: clock.Milliseconds,
    entry: deployment.TargetEntry,
    call: RoutedCall,
) -> object:
    """Return the next message about a request from the node of a target.

    Raises
    ------
    exceptions.ProtocolError
        If the node closed the connection or answers another request.
    """
    while True:
        message = await link.receive(max_wait)
        if message is None:
            raise exceptions.ProtocolError(
                f"the node of {entry.target_id} closed the connection"
            )
        request_id = getattr(message, "request_id", None)
        if request_id == call.request_id:
            return message
        # The acknowledgement of an earlier request may arrive late.
        if not isinstance(message, deployment.Waiting):
            raise exceptions.ProtocolError(
                f"{type(message).__name__} about {request_id!r}"
            )


def _build_stop_error(
    time_left: clock.Milliseconds,
) -> executors.AttemptError:
    """Return the error of a request that is too late before a stop.

    Parameters
    ----------
    time_left : clock.Milliseconds
        Time until the process ends, before which no retry here succeeds.
    """
    return executors.AttemptError(
        _Kind.LEAVING,
        "the node stops before the request would end",
        reached_target=False,
        not_run=True,
        retry_after=time_left,
    )


def _build_timeout_error(
    entry: deployment.TargetEntry, is_sent: bool
) -> executors.AttemptError:
    """Return the error of an attempt that ran past the deadline."""
    return executors.AttemptError(
        _Kind.TIMED_OUT if is_sent else _Kind.OVERLOADED,
        f"no answer of {entry.target_id} in time",
        reached_target=is_sent,
        not_run=not is_sent,
    )


def _build_link_error(
    entry: deployment.TargetEntry, error: Exception, is_sent: bool
) -> executors.AttemptError:
    """Return the error of an attempt whose link failed.

    A request that was not sent yet cannot have run.
    """
    return executors.AttemptError(
        _Kind.INCOMPLETE_ANSWER if is_sent else _Kind.PEER_UNREACHABLE,
        f"the node of {entry.target_id} is not reached: {error!r}",
        reached_target=is_sent,
        not_run=not is_sent,
    )
