"""Handling of requests from callers and from the local target."""

from __future__ import annotations

from collections.abc import Callable
import functools
import secrets
import socket

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.configuration import freshness as freshnesses
from cyclamenwell.configuration import snapshot as snapshots
from cyclamenwell.configuration import store as stores
from cyclamenwell.generated import documents
from cyclamenwell.generated import enumerations
from cyclamenwell.idempotency import keys as idempotency_keys
from cyclamenwell.keys import authenticator
from cyclamenwell.keys import contexts
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node import dispatcher as dispatchers
from cyclamenwell.node import headers
from cyclamenwell.node import problems
from cyclamenwell.retries import allowance as allowances
from cyclamenwell.routing import route_matching
from cyclamenwell.telemetry import logs
from cyclamenwell.telemetry import metrics

__all__ = ["Frontend"]

_log = logs.ComponentLogger("calls")
_Kind = enumerations.ErrorKind
_CALL_ID_BYTES = 16
_MAX_DEPTH = 32
_STARTING_RETRY_AFTER = clock.Milliseconds(1000)
_MAX_TIMEOUT_DIGITS = 12
_UNKNOWN_SERVICE_LABEL = "unknown"


class Frontend:
    """Converts requests into calls, and refusals into answers.

    Parameters
    ----------
    time : clock.Clock
        Clock of the deadlines.
    store : stores.Store
        Configuration in force.
    registry : contexts.ContextRegistry
        Contexts of the requests that run at the local target.
    dispatcher : dispatchers.Dispatcher
        Runs the calls.
    watcher : cancellations.DisconnectWatcher
        Detects callers that disconnect.
    is_starting : callable
        Returns whether the node is starting and may lack documents.
    freshness : freshnesses.Freshness
        Refuses calls with a key under an unconfirmed view.
    """

    def __init__(
        self,
        time: clock.Clock,
        store: stores.Store,
        registry: contexts.ContextRegistry,
        dispatcher: dispatchers.Dispatcher,
        watcher: cancellations.DisconnectWatcher,
        is_starting: Callable[[], bool],
        freshness: freshnesses.Freshness,
    ) -> None:
        self._time = time
        self._store = store
        self._registry = registry
        self._dispatcher = dispatcher
        self._watcher = watcher
        self._is_starting = is_starting
        self._freshness = freshness

    def answer_caller(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Answer a request of a caller, with a key or to an open route."""
        return self._answer(
            request, connection, functools.partial(self._run_root, request)
        )

    def answer_target(
        self, request: calls.HttpRequest, connection: socket.socket
    ) -> calls.HttpAnswer:
        """Answer a nested call of the local target."""
        return self._answer(
            request, connection, functools.partial(self._run_nested, request)
        )

    def _answer(
        self,
        request: calls.HttpRequest,
        connection: socket.socket,
        run: functools.partial,
    ) -> calls.HttpAnswer:
        started = self._time.now()
        service = _find_service_name(request)
        kind = "NONE"
        try:
            with self._watcher.watch(connection) as cancellation:
                return run(cancellation)
        except exceptions.RefusedError as refusal:
            kind = refusal.kind.name
            return problems.build_problem(refusal)
        except Exception:
            _log.exception("a call to %s failed unexpectedly", service)
            kind = _Kind.INTERNAL.name
            return problems.build_problem(
                exceptions.RefusedError(_Kind.INTERNAL, "internal error")
            )
        finally:
            metrics.count_call(
                self._find_metric_label(service),
                kind,
                self._time.now() - started,
            )

    def _find_metric_label(self, service: str) -> str:
        """Return the service as a label; unknown names share one label.

        Callers could otherwise create any number of labels.
        """
        known = service in self._store.snapshot.services
        return service if known else _UNKNOWN_SERVICE_LABEL

    def _run_root(
        self,
        request: calls.HttpRequest,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        if self._is_starting():
            # Without documents, every service would look unknown.
            raise exceptions.RefusedError(
                _Kind.STALE_VIEW, "the node is starting", _STARTING_RETRY_AFTER
            )
        snapshot = self._store.snapshot
        service = _find_service(snapshot, request)
        route = route_matching.match_route(
            service, request.method, request.path
        )
        organisation, identifier = "", b""
        if not route.open_to_all:
            # A stale view may also lack a key that was issued recently.
            self._freshness.check_freshness()
            owner = authenticator.identify_owner(
                snapshot, request.find_header(headers.AUTHORIZATION)
            )
            organisation, identifier = owner.organisation, owner.identifier
        call = calls.Call(
            call_id=secrets.token_bytes(_CALL_ID_BYTES),
            service=service.service,
            route=route,
            request=_check_and_strip(request, service),
            organisation=organisation,
            key_identifier=identifier,
            importance=route.importance,
            deadline=self._find_deadline(request, route),
            idempotency_key=self._find_idempotency_key(request, route),
            depth=0,
        )
        allowance = allowances.RetryAllowance(snapshot.fleet.retries)
        return self._dispatcher.run(call, allowance, cancellation)

    def _run_nested(
        self,
        request: calls.HttpRequest,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        context = self._registry.find(request.find_header(headers.CONTEXT))
        if context is None:
            raise exceptions.RefusedError(
                _Kind.CONTEXT_ENDED,
                f"the header {headers.CONTEXT} names no running request",
            )
        if context.depth >= _MAX_DEPTH:
            raise exceptions.RefusedError(
                _Kind.BAD_REQUEST, f"the chain is deeper than {_MAX_DEPTH}"
            )
        if context.organisation:
            self._freshness.check_freshness()
        service = _find_service(self._store.snapshot, request)
        route = route_matching.match_route(
            service, request.method, request.path
        )
        call = calls.Call(
            call_id=secrets.token_bytes(_CALL_ID_BYTES),
            service=service.service,
            route=route,
            request=_check_and_strip(request, service),
            organisation=context.organisation,
            key_identifier=context.key_identifier,
            importance=context.importance,
            deadline=min(context.deadline, self._find_deadline(request, route)),
            idempotency_key=self._find_idempotency_key(request, route),
            depth=context.depth + 1,
        )
        return self._run_with_lent_retries(call, context, cancellation)

    def _run_with_lent_retries(
        self,
        call: calls.Call,
        context: contexts.CallContext,
        cancellation: cancellations.Cancellation,
    ) -> calls.HttpAnswer:
        """Run a nested call on retries that its parent lends."""
        context.nested_calls.called = True
        lent = context.allowance.lend()
        allowance = allowances.RetryAllowance(lent)
        try:
            return self._dispatcher.run(call, allowance, cancellation)
        except exceptions.RefusedError:
            # This node is the hop directly above the failure: it has retried
            # as far as it may, and no hop above it retries again.
            context.nested_calls.retried = True
            raise
        finally:
            context.allowance.take_back(lent, allowance.held)

    def _find_deadline(
        self, request: calls.HttpRequest, route: documents.RouteDocument
    ) -> clock.Milliseconds:
        timeout = route.timeout
        given = request.find_header(headers.TIMEOUT_MS)
        if given:
            is_number = given.isascii() and given.isdigit()
            if (
                not is_number
                or len(given) > _MAX_TIMEOUT_DIGITS
                or int(given) < 1
            ):
                raise exceptions.RefusedError(
                    _Kind.BAD_REQUEST,
                    f"{headers.TIMEOUT_MS}: got {given[:80]!r}, must be a "
                    "whole number of milliseconds with up to "
                    f"{_MAX_TIMEOUT_DIGITS} digits",
                )
            timeout = min(timeout, clock.Milliseconds(int(given)))
        return self._time.now() + timeout

    def _find_idempotency_key(
        self, request: calls.HttpRequest, route: documents.RouteDocument
    ) -> str:
        if route.idempotent:
            return ""
        given = request.find_header(headers.IDEMPOTENCY_KEY)
        if not given:
            return idempotency_keys.make_key(self._time)
        return idempotency_keys.normalise_key(given)


def _find_service_name(request: calls.HttpRequest) -> str:
    """Return the service that the Host header names, without a port."""
    return request.find_header("host").partition(":")[0].lower()


def _find_service(
    snapshot: snapshots.Snapshot, request: calls.HttpRequest
) -> documents.ServiceDocument:
    name = _find_service_name(request)
    service = snapshot.services.get(name)
    if service is None:
        raise exceptions.RefusedError(
            _Kind.NO_SUCH_SERVICE, f"the header Host names no service: {name!r}"
        )
    return service


def _check_and_strip(
    request: calls.HttpRequest, service: documents.ServiceDocument
) -> calls.HttpRequest:
    if len(request.body) > service.max_body_bytes:
        raise exceptions.RefusedError(
            _Kind.BODY_TOO_LARGE,
            f"the body has {len(request.body)} bytes, service "
            f"{service.service} takes {service.max_body_bytes}",
        )
    return calls.HttpRequest(
        request.method,
        request.path,
        headers.strip_request(request.headers),
        request.body,
    )
