"""Execution of calls at the local target."""

from __future__ import annotations

from collections.abc import Callable
import functools

from cyclamenwell import answers
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import gate as gates
from cyclamenwell.admission import tickets
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.generated import messages
from cyclamenwell.generated import settings
from cyclamenwell.idempotency import answers as idempotency_answers
from cyclamenwell.idempotency import guard as guards
from cyclamenwell.keys import contexts
from cyclamenwell.limits import limiter as limiters
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import headers
from cyclamenwell.node import target as targets
from cyclamenwell.retries import allowance as allowances
from cyclamenwell.telemetry import metrics

__all__ = ["Executor"]

_Kind = enumerations.ErrorKind
_State = enumerations.InstanceState

_RESULTS_BY_KIND = {
    _Kind.TARGET_SHED: tickets.Result.SHED,
    _Kind.TARGET_UNREACHABLE: tickets.Result.UNREACHABLE,
    _Kind.TIMED_OUT: tickets.Result.TIMED_OUT,
    _Kind.CANCELLED: tickets.Result.CANCELLED,
    _Kind.INCOMPLETE_ANSWER: tickets.Result.BROKEN,
    _Kind.ANSWER_TOO_LARGE: tickets.Result.FAILED,
}


class _Execution:
    """Send time and result of one admitted call."""

    def __init__(self, admission: tickets.Admission) -> None:
        self.sent_at = admission.admitted_at
        self.result = tickets.Result.NOT_SENT


class Executor:
    """Checks calls to the local target and runs them there.

    Parameters
    ----------
    instance : settings.InstanceSettings
        Identity of the node.
    time : clock.Clock
        Clock of the deadlines.
    store : stores.Store
        Configuration in force.
    gate : gates.Gate
        Admission control of the target.
    limiter : limiters.FleetLimiter
        Rate limits of the organisations.
    registry : contexts.ContextRegistry
        Contexts of running requests, for their nested calls.
    target : targets.TargetClient
        Client of the target.
    freshness : freshnesses.Freshness
        Refuses calls with a key under an unconfirmed view.
    idempotency_guard : guards.Guard
        Runs non-idempotent calls at most once.
    """

    def __init__(
        self,
        instance: settings.InstanceSettings,
        time: clock.Clock,
        store: stores.Store,
        gate: gates.Gate,
        limiter: limiters.FleetLimiter,
        registry: contexts.ContextRegistry,
        target: targets.TargetClient,
        freshness: freshnesses.Freshness,
        idempotency_guard: guards.Guard,
    ) -> None:
        self._instance = instance
        self._time = time
        self._store = store
        self._gate = gate
        self._limiter = limiter
        self._registry = registry
        self._target = target
        self._freshness = freshness
        self._idempotency_guard = idempotency_guard
        self.state = _State.STARTING

    def execute(
        self,
        call: calls.Call,
        retries: int,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        """Run a call at the target.

        Parameters
        ----------
        call : calls.Call
            The call.
        retries : int
            Retries lent to it for its nested calls.
        cancellation : cancellations.Cancellation
            Cancelled when no caller waits for the answer any more.

        Returns
        -------
        calls.Reply
            Complete answer of the target.

        Raises
        ------
        exceptions.RefusedError
            If a check fails, or for the reasons of `targets.TargetClient`.
        """
        allowance = allowances.RetryAllowance(retries)
        try:
            self._check_call(call)
            return self._run_with_token(call, allowance, cancellation)
        except exceptions.RefusedError as refusal:
            refusal.retries_left = allowance.held
            raise

    def report_load(self, incarnation: int) -> messages.LoadReport:
        """Return the load of this instance."""
        load = self._gate.read_load()
        return messages.LoadReport(
            instance=self._instance.name,
            incarnation=incarnation,
            state=self.state,
            in_progress=load.in_progress,
            queued=load.queued,
            limit=load.limit,
            cold=load.cold,
        )

    def _check_call(self, call: calls.Call) -> None:
        """Refuse a call that may not run here, for the first failed check."""
        snapshot = self._store.snapshot
        if call.service != self._instance.service:
            raise exceptions.RefusedError(
                _Kind.WRONG_INSTANCE,
                f"instance {self._instance.name} serves "
                f"{self._instance.service}, not {call.service}",
            )
        if self.state is _State.STARTING:
            raise exceptions.RefusedError(
                _Kind.STALE_VIEW, f"instance {self._instance.name} is starting"
            )
        if self.state is not _State.SERVING:
            raise exceptions.RefusedError(
                _Kind.LEAVING, f"instance {self._instance.name} is not serving"
            )
        if self._instance.data_centre in snapshot.data_centres_out:
            raise exceptions.RefusedError(
                _Kind.DATA_CENTRE_OUT,
                f"data centre {self._instance.data_centre} is taken out",
            )
        self._check_key(call)
        if call.deadline <= self._time.now():
            raise exceptions.RefusedError(
                _Kind.DEADLINE_PASSED, "the deadline has passed"
            )

    def _check_key(self, call: calls.Call) -> None:
        if not call.organisation:
            return
        self._freshness.check_freshness()
        owner = self._store.snapshot.identifiers.get(call.key_identifier)
        if owner != call.organisation:
            raise exceptions.RefusedError(
                _Kind.UNAUTHENTICATED, "the key is no longer in force"
            )

    def _find_caller(self, call: calls.Call) -> documents.CallerDocument | None:
        if not call.organisation:
            return None
        service = self._store.snapshot.services[call.service]
        for caller in service.callers:
            if caller.organisation == call.organisation:
                return caller
        raise exceptions.RefusedError(
            _Kind.FORBIDDEN,
            f"organisation {call.organisation} may not call {call.service}",
        )

    def _run_with_token(
        self,
        call: calls.Call,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        """Take a rate limit token, refunded if the call has not run."""
        caller = self._find_caller(call)
        if caller is None:
            return self._run_admitted(call, caller, allowance, cancellation)
        self._limiter.take(
            caller.organisation, call.deadline - self._time.now()
        )
        try:
            return self._run_admitted(call, caller, allowance, cancellation)
        except exceptions.RefusedError as refusal:
            outcome = answers.ANSWERS[refusal.kind].outcome
            if outcome is enumerations.Outcome.NOT_RUN:
                self._limiter.refund(caller.organisation)
            raise

    def _run_admitted(
        self,
        call: calls.Call,
        caller: documents.CallerDocument | None,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        admission = self._enter_gate(call, caller, cancellation)
        execution = _Execution(admission)
        run = functools.partial(
            self._run, call, allowance, cancellation, execution
        )
        try:
            # The key may have been withdrawn while the call was queued.
            self._check_key(call)
            return run() if call.route.idempotent else self._run_once(call, run)
        finally:
            duration = self._time.now() - execution.sent_at
            self._gate.leave(
                admission, tickets.Observation(execution.result, duration)
            )

    def _enter_gate(
        self,
        call: calls.Call,
        caller: documents.CallerDocument | None,
        cancellation: cancellations.Cancellation,
    ) -> tickets.Admission:
        admission_request = tickets.Ticket(
            organisation=call.organisation,
            weight=caller.rate_per_second if caller else 0.0,
            importance=call.importance,
            deadline=call.deadline,
        )
        try:
            return self._gate.enter(admission_request, cancellation)
        except exceptions.RefusedError as refusal:
            metrics.count_gate_refusal(refusal.kind.name, call.importance.name)
            raise

    def _run_once(
        self, call: calls.Call, run: Callable[[], calls.Reply]
    ) -> calls.Reply:
        """Run a non-idempotent call under a claim of its idempotency key."""
        retries_left = 0

        def run_claimed() -> idempotency_answers.CachedAnswer:
            nonlocal retries_left
            reply = run()
            retries_left = reply.retries_left
            return idempotency_answers.CachedAnswer(
                reply.answer.status, reply.answer.headers, reply.answer.body
            )

        request = call.request
        cached = self._idempotency_guard.run(
            idempotency_answers.RequestKey(
                call.organisation, call.idempotency_key
            ),
            guards.compute_fingerprint(
                call.service, request.method, request.path, request.body
            ),
            run_claimed,
        )
        answer = calls.HttpAnswer(cached.status, cached.headers, cached.body)
        return calls.Reply(answer, retries_left)

    def _run(
        self,
        call: calls.Call,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
        execution: _Execution,
    ) -> calls.Reply:
        """Run an admitted call and record its result for the gate."""
        if cancellation.cancelled:
            raise exceptions.RefusedError(
                _Kind.ABANDONED, "the caller went away"
            )
        if call.deadline <= self._time.now():
            raise exceptions.RefusedError(
                _Kind.DEADLINE_PASSED, "the deadline has passed"
            )
        execution.sent_at = self._time.now()
        try:
            reply = self._send(call, allowance, cancellation)
        except exceptions.RefusedError as refusal:
            # Other kinds are refusals by this node and say nothing about
            # the target.
            execution.result = _RESULTS_BY_KIND.get(
                refusal.kind, tickets.Result.NOT_SENT
            )
            raise
        failed = reply.answer.status >= 500
        execution.result = (
            tickets.Result.FAILED if failed else tickets.Result.ANSWERED
        )
        return reply

    def _send(
        self,
        call: calls.Call,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        context = contexts.CallContext(
            organisation=call.organisation,
            key_identifier=call.key_identifier,
            importance=call.importance,
            deadline=call.deadline,
            depth=call.depth,
            allowance=allowance,
            nested_calls=contexts.NestedCallState(),
        )
        token = self._registry.open(context)
        try:
            answer = self._target.send(
                self._add_headers(call, token), call.deadline, cancellation
            )
        except exceptions.RefusedError as refusal:
            refusal.retried = refusal.retried or context.nested_calls.retried
            raise
        finally:
            self._registry.close(token)
        service = self._store.snapshot.services.get(call.service)
        # A target that has made a nested call has begun to run the request:
        # its status is then an answer, often the failure of the nested call
        # passed on.
        if (
            service is not None
            and not context.nested_calls.called
            and (answer.status == service.shed_status)
        ):
            raise exceptions.RefusedError(
                _Kind.TARGET_SHED, "the target shed the request"
            )
        return calls.Reply(answer, allowance.held)

    def _add_headers(self, call: calls.Call, token: str) -> calls.HttpRequest:
        """Add the headers that describe the call to the target."""
        remaining = max(int((call.deadline - self._time.now()).value), 1)
        added = [
            httpfields.Header(headers.CONTEXT, token),
            httpfields.Header(headers.TIMEOUT_MS, str(remaining)),
        ]
        if call.organisation:
            added.append(
                httpfields.Header(headers.ORGANISATION, call.organisation)
            )
        request = call.request
        return calls.HttpRequest(
            request.method,
            request.path,
            request.headers + tuple(added),
            request.body,
        )
