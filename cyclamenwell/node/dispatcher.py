"""Sending a call to instances until one answers or no retry is left."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import functools
import socket

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
from cyclamenwell.routing import chooser as choosers

__all__ = ["Dispatcher"]

_Kind = enumerations.ErrorKind
_State = enumerations.InstanceState


class Dispatcher:
    """Runs calls at the own target or at the nodes of other instances.

    Parameters
    ----------
    identity : identities.Identity
        Identity of this node.
    time : clock.Clock
        Clock of the deadlines.
    store : stores.Store
        Configuration in force.
    directory : directories.Directory
        Instances and their reports.
    chooser : choosers.Chooser
        Chooses instances.
    executor : executors.Executor
        Runs calls at the own target.
    client : peer_clients.PeerClient
        Sends calls to other nodes.
    budget : budgets.RetryBudget
        Bound on the retries of this node.
    """

    def __init__(
        self,
        identity: identities.Identity,
        time: clock.Clock,
        store: stores.Store,
        directory: directories.Directory,
        chooser: choosers.Chooser,
        executor: executors.Executor,
        client: peer_clients.PeerClient,
        budget: budgets.RetryBudget,
    ) -> None:
        self._identity = identity
        self._time = time
        self._store = store
        self._directory = directory
        self._chooser = chooser
        self._executor = executor
        self._client = client
        self._budget = budget

    def run(
        self,
        call: calls.Call,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        """Run a call.

        Parameters
        ----------
        call : calls.Call
            The call.
        allowance : allowances.RetryAllowance
            Retries that the call holds; each attempt borrows a part of it.
        cancellation : cancellations.Cancellation
            Cancelled when the caller goes away.

        Returns
        -------
        calls.HttpAnswer
            The whole answer of a target.

        Raises
        ------
        exceptions.RefusedError
            With the failure of the last attempt.
        """
        fleet = self._store.snapshot.fleet
        self._budget.earn(fleet.retry_ratio)
        tried: set[str] = set()
        last: exceptions.RefusedError | None = None
        while True:
            try:
                entry = self._choose(call, tried)
            except exceptions.RefusedError as refusal:
                raise last or refusal from None
            tried.add(entry.instance)
            try:
                return self._attempt(call, entry, allowance, cancellation)
            except exceptions.RefusedError as refusal:
                last = refusal
            if not policy.may_try_elsewhere(last, call.route.idempotent):
                raise last
            if call.deadline <= self._time.now() or cancellation.cancelled:
                raise last
            if not self._budget.spend() or not allowance.spend():
                last.retried = len(tried) > 1
                raise last

    def _choose(
        self, call: calls.Call, tried: set[str]
    ) -> messages.InstanceEntry:
        return self._chooser.choose(
            call.service, self._store.snapshot.data_centres_out, tried
        )

    def _attempt(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        allowance: allowances.RetryAllowance,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        lent = allowance.lend()
        try:
            if entry.instance == self._identity.instance:
                reply = self._executor.execute(call, lent, cancellation)
            else:
                reply = self._forward(call, entry, lent, cancellation)
        except exceptions.RefusedError as refusal:
            allowance.settle(lent, min(refusal.retries_left, lent))
            raise
        allowance.settle(lent, min(reply.retries_left, lent))
        return reply.answer

    def _forward(
        self,
        call: calls.Call,
        entry: messages.InstanceEntry,
        lent: int,
        cancellation: cancellations.Cancellation,
    ) -> calls.Reply:
        request = self._build_request(call, entry, lent)
        remaining = call.deadline - self._time.now()
        registered: list[Callable[[], None]] = []

        def note_connection(connection: socket.socket) -> None:
            callback = functools.partial(_shut_down, connection)
            registered.append(callback)
            cancellation.add_callback(callback)

        try:
            reply = self._client.call(
                peer_clients.Address.of(entry),
                request,
                remaining,
                note_connection,
            )
        except exceptions.PeerUnavailableError as error:
            if error.refused:
                self._directory.note_gone(entry.instance)
            raise self._describe_failure(error, call, cancellation) from error
        finally:
            for callback in registered:
                cancellation.remove_callback(callback)
        if isinstance(reply, messages.Fault):
            # The instance has been replaced; its old reports say nothing.
            self._directory.forget_load(entry.instance)
            raise exceptions.RefusedError(reply.kind, reply.detail)
        return self._read_reply(call, reply)

    def _build_request(
        self, call: calls.Call, entry: messages.InstanceEntry, lent: int
    ) -> messages.ForwardRequest:
        known = self._directory.find_record(entry.instance).load
        incarnation = known.incarnation if known else 0
        return messages.ForwardRequest(
            sender=self._identity.address(entry.instance, incarnation),
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
        if not error.sent:
            return exceptions.RefusedError(_Kind.PEER_UNREACHABLE, str(error))
        if cancellation.cancelled:
            return exceptions.RefusedError(
                _Kind.CANCELLED, "the caller went away"
            )
        kind = _Kind.INCOMPLETE_ANSWER
        if call.deadline <= self._time.now():
            kind = _Kind.TIMED_OUT
        return exceptions.RefusedError(kind, str(error))

    def _read_reply(self, call: calls.Call, reply: object) -> calls.Reply:
        if not isinstance(reply, messages.ForwardReply) or (
            reply.call_id != call.call_id
        ):
            raise exceptions.RefusedError(
                _Kind.INCOMPLETE_ANSWER, "the reply belongs to another call"
            )
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


def _shut_down(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
