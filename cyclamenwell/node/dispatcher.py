"""Dispatching of calls to instances, with retries."""

from __future__ import annotations

from cyclamenwell import answers
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import messages
from cyclamenwell.membership import directory as directories
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import executor as executors
from cyclamenwell.peers import client as peer_clients
from cyclamenwell.peers import identity as identities
from cyclamenwell.retries import allowance as allowances
from cyclamenwell.retries import budget as budgets
from cyclamenwell.retries import policy
from cyclamenwell.routing import circuit_breaker as circuit_breakers
from cyclamenwell.routing import instance_balancer
from cyclamenwell.routing import outliers

__all__ = ["Dispatcher"]

_Kind = enumerations.ErrorKind
_Outcome = enumerations.Outcome
# A second instance may have tokens left. A burst above the rate must not visit
# all instances.
_MAX_RATE_LIMITED_ATTEMPTS = 2


class Dispatcher:
    """Dispatches calls to the local target or to nodes of other instances.

    Parameters
    ----------
    identity : identities.Identity
        Identity of this node.
    time : clock.Clock
        Clock of the deadlines.
    store : stores.Store
        Configuration in force.
    directory : directories.Directory
        Listed instances and their load reports.
    balancer : instance_balancer.InstanceBalancer
        Balances calls over the instances of a service.
    tracker : outliers.OutlierTracker
        Outlier detection, told the outcome of each attempt.
    circuit_breaker : circuit_breakers.OverloadCircuitBreaker
        Circuit breaker that refuses calls to overloaded services before
        they are sent.
    executor : executors.Executor
        Runs calls at the local target.
    client : peer_clients.PeerClient
        Sends calls to other nodes.
    budget : budgets.RetryBudget
        Retry budget of this node.
    """

    def __init__(
        self,
        identity: identities.Identity,
        time: clock.Clock,
        store: stores.Store,
        directory: directories.Directory,
        balancer: instance_balancer.InstanceBalancer,
        tracker: outliers.OutlierTracker,
        circuit_breaker: circuit_breakers.OverloadCircuitBreaker,
        executor: executors.Executor,
        client: peer_clients.PeerClient,
        budget: budgets.RetryBudget,
    ) -> None:
        self._identity = identity
        self._time = time
        self._store = store
        self._directory = directory
        self._balancer = balancer
        self._tracker = tracker
        self._circuit_breaker = circuit_breaker
        self._executor = executor
        self._client = client
        self._budget = budget

    def run(
        self,
        call: calls.Call,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        """Run a call, with retries at other instances.

        Parameters
        ----------
        call : calls.Call
            The call.
        allowance : allowances.RetryAllowance
            Retries left to the call; each attempt is lent a part of them.
        cancellation : cancellations.Cancellation
            Cancelled when the caller disconnects.

        Returns
        -------
        calls.HttpAnswer
            Complete answer of a target.

        Raises
        ------
        exceptions.RefusedError
            With the failure of the last attempt that may have run the call,
            or of the last attempt if none may have run it.
        """
        self._budget.deposit(self._store.snapshot.fleet.retry_ratio)
        self._circuit_breaker.check(
            call.service, call.organisation, call.importance
        )
        tried: set[str] = set()
        rate_limited = 0
        may_have_run: exceptions.RefusedError | None = None
        entry = self._choose(call, tried)
        while True:
            tried.add(entry.instance)
            try:
                return self._attempt(call, entry, allowance, cancellation)
            except exceptions.RefusedError as refusal:
                last = refusal
            rate_limited += last.kind is _Kind.RATE_LIMITED
            if answers.ANSWERS[last.kind].outcome is _Outcome.UNKNOWN:
                may_have_run = last
            next_entry = None
            if (
                rate_limited < _MAX_RATE_LIMITED_ATTEMPTS
                and not cancellation.cancelled
            ):
                next_entry = self._plan_retry(call, last, tried, allowance)
            if next_entry is None:
                # The outcome NOT_RUN must hold for every attempt, not just the
                # last one.
                failure = may_have_run or last
                failure.retried = failure.retried or len(tried) > 1
                raise failure
            entry = next_entry

    def _choose(
        self, call: calls.Call, tried: set[str]
    ) -> messages.InstanceEntry:
        return self._balancer.choose(
            call.service, self._store.snapshot.data_centres_out, tried
        )

    def _plan_retry(
        self,
        call: calls.Call,
        last: exceptions.RefusedError,
        tried: set[str],
        allowance: allowances.RetryAllowance,
    ) -> messages.InstanceEntry | None:
        """Choose another instance and spend a retry, if one is allowed."""
        if not policy.may_retry(last, call.route.idempotent):
            return None
        if call.deadline <= self._time.now() or not allowance.held:
            return None
        try:
            entry = self._choose(call, tried)
        except exceptions.RefusedError:
            return None
        if not self._budget.spend() or not allowance.spend():
            return None
        return entry

    def _attempt(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        lent = allowance.lend()
        failure = None
        self._tracker.begin(entry.instance)
        try:
            if entry.instance == self._identity.instance:
                reply = self._executor.execute(call, lent, cancellation)
            else:
                reply = self._forward(call, entry, lent, cancellation)
        except exceptions.RefusedError as refusal:
            failure = refusal
            allowance.take_back(lent, min(max(refusal.retries_left, 0), lent))
            raise
        finally:
            self._tracker.end(entry.instance, failure)
            self._update_circuit_breaker(call, entry, failure)
        allowance.take_back(lent, min(max(reply.retries_left, 0), lent))
        return reply.answer

    def _update_circuit_breaker(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        failure: exceptions.RefusedError | None,
    ) -> None:
        if failure is None:
            self._circuit_breaker.note_answer(call.service, call.organisation)
            return
        if not self._circuit_breaker.indicates_overload(failure.kind):
            return
        out = self._store.snapshot.data_centres_out
        self._circuit_breaker.note_refusal(
            call.service,
            call.organisation,
            call.importance,
            entry.instance,
            self._balancer.count_candidates(call.service, out),
        )

    def _forward(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        lent: int,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        reply = self._exchange(call, entry, lent, cancellation)
        if isinstance(reply, messages.Fault):
            # The process was replaced: the call has not run, and the load that
            # the earlier process reported no longer applies.
            self._directory.forget_load(entry.instance)
            reply = self._exchange(call, entry, lent, cancellation)
        if isinstance(reply, messages.Fault):
            raise _build_unsent_refusal(reply.kind, reply.detail, lent)
        return self._read_reply(reply)

    def _exchange(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        lent: int,
        cancellation: cancellations.Cancellation,
    ) -> messages.ForwardReply | messages.Fault:
        request = self._build_request(call, entry, lent)
        try:
            return self._client.call(
                peer_clients.Address.from_entry(entry),
                request,
                call.deadline - self._time.now(),
                cancellation,
                lambda reply: _is_reply_to(reply, call.call_id),
            )
        except exceptions.PeerUnavailableError as error:
            if error.refused:
                self._directory.note_gone(entry.instance)
            if not error.sent:
                raise _build_unsent_refusal(
                    _Kind.PEER_UNREACHABLE, str(error), lent
                ) from error
            raise self._describe_failure(error, call, cancellation) from error

    def _build_request(
        self, call: calls.Call, entry: messages.InstanceEntry, lent: int
    ) -> messages.ForwardRequest:
        load = self._directory.find_record(entry.instance).load
        incarnation = load.incarnation if load else 0
        return messages.ForwardRequest(
            sender=self._identity.build_sender(entry.instance, incarnation),
            call_id=call.call_id,
            service=call.service,
            method=call.request.method,
            path=call.request.path,
            headers=call.request.headers,
            body=call.request.body,
            organisation=call.organisation,
            key_identifier=call.key_identifier,
            importance=call.importance,
            remaining_ms=int((call.deadline - self._time.now()).value),
            retries=lent,
            idempotency_key=call.idempotency_key,
            depth=call.depth,
        )

    def _describe_failure(
        self,
        error: exceptions.PeerUnavailableError,
        call: calls.Call,
        cancellation: cancellations.Cancellation,
    ) -> exceptions.RefusedError:
        if cancellation.cancelled:
            return exceptions.RefusedError(
                _Kind.CANCELLED, "the caller went away"
            )
        kind = _Kind.INCOMPLETE_ANSWER
        if call.deadline <= self._time.now():
            kind = _Kind.TIMED_OUT
        return exceptions.RefusedError(kind, str(error))

    def _read_reply(self, reply: messages.ForwardReply) -> calls.Reply:
        if reply.load is not None:
            self._directory.note_load(reply.load)
        if reply.refusal is not None:
            refusal = exceptions.RefusedError(
                reply.refusal,
                reply.detail,
                clock.Milliseconds(reply.retry_after_ms),
                reply.retried,
            )
            refusal.retries_left = reply.retries_left
            raise refusal
        answer = calls.HttpAnswer(reply.status, reply.headers, reply.body)
        return calls.Reply(answer, reply.retries_left)


def _is_reply_to(reply: object, call_id: bytes) -> bool:
    """Return whether a message is the reply to a call."""
    if isinstance(reply, messages.Fault):
        return True
    return isinstance(reply, messages.ForwardReply) and reply.call_id == call_id


def _build_unsent_refusal(
    kind: enumerations.ErrorKind, detail: str, lent: int
) -> exceptions.RefusedError:
    """Build the refusal of a call that no node ran, with all lent retries."""
    refusal = exceptions.RefusedError(kind, detail)
    refusal.retries_left = lent
    return refusal
