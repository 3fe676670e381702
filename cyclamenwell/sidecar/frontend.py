"""HTTP server for callers, among them the local target."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import memory_account
from cyclamenwell.admission import queue_wait
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.node import http1
from cyclamenwell.platform import http_adapter
from cyclamenwell.routing import host_routes
from cyclamenwell.sidecar import components
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import receivers
from cyclamenwell.sidecar import streams

__all__ = ["Frontend"]

_Kind = enumerations.ErrorKind
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A caller that takes longer to read an answer is disconnected, so that unread
# answers do not accumulate in memory.
_WRITE_TIMEOUT = clock.Milliseconds(10_000)
# From the end of the head; the largest allowed body arrives within it.
_BODY_TIMEOUT = clock.Milliseconds(30_000)
# A caller sends its first request within this time after connecting: a round
# trip between data centres and a short delay at the caller.
_FIRST_REQUEST_TIMEOUT = clock.Milliseconds(500)
# A caller reads the last answer on a connection and closes it within this time.
_LINGER_TIMEOUT = clock.Milliseconds(500)
_STARTUP_RETRY_AFTER = clock.Milliseconds(300)
_DEFAULT_LIMITS = deployment.ClientLimits()
# Refusals whose retry time is computed from the caller's remaining time.
_RETRYABLE_KINDS = frozenset(
    {
        _Kind.CALLS_REFUSED,
        _Kind.COLD,
        _Kind.DATA_CENTRE_OUT,
        _Kind.LEAVING,
        _Kind.NO_INSTANCE,
        _Kind.OVERLOADED,
        _Kind.PEER_UNREACHABLE,
        _Kind.TARGET_LIMITED,
        _Kind.TARGET_SHED,
        _Kind.TARGET_UNREACHABLE,
        _Kind.WRONG_INSTANCE,
    }
)


@dataclasses.dataclass(slots=True, eq=False)
class _CallerConnection:
    """A connection of a caller and what has been read from it."""

    stream: streams.Stream
    parser: http1.RequestParser
    # Arrival of the bytes read last. The next request may be among them.
    read_at: clock.Milliseconds
    # Memory for the request that runs.
    running_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Memory that is held for the caller."""
        requests = self.parser.held_body_bytes + self.running_bytes
        return (
            requests * memory_account.REQUEST_COPIES
            + self.parser.held_head_bytes
            + self.stream.held_bytes
        )

    @property
    def is_evictable(self) -> bool:
        """Whether no request of the caller runs."""
        return not self.stream.is_in_use

    def evict(self) -> None:
        """Refuse the request that is being received, and disconnect."""
        if self.parser.has_data() and self.stream.is_flushed:
            refusal = exceptions.RefusedError(
                _Kind.OVERLOADED, "no memory for the request"
            )
            answer = http_adapter.build_refusal(refusal, "")
            with contextlib.suppress(OSError):
                self.stream.send(encoding.encode_answer(answer, "GET", False))
        self.stream.abort()
        self.parser.discard()


class Frontend:
    """Serves callers: authenticates, routes and answers their requests.

    Parameters
    ----------
    node : components.Components
        Components of the node.
    max_requests : int
        Requests that may be answered at once. If the listener has room for
        more connections, a caller beyond them gets a refusal instead of a
        reset, which would not tell whether its request has run.
    """

    def __init__(self, node: components.Components, max_requests: int) -> None:
        self._node = node
        self._max_requests = max_requests
        self._requests = 0
        self._host_table: host_routes.HostTable | None = None
        self._rotation = host_routes.SplitRotation()
        # Open connections, and whether each is busy with a request.
        self._streams: dict[streams.Stream, bool] = {}
        # Accept times of connections that have received nothing yet.
        self._awaiting_first_request: dict[
            streams.Stream, clock.Milliseconds
        ] = {}
        self.is_leaving = False

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(self._streams.values())

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._streams)

    def apply_state(self) -> None:
        """Rebuild the host table if the configuration has changed."""
        configuration = self._node.state.configuration
        if configuration is None:
            return
        if (
            self._host_table is None
            or self._host_table.configuration is not configuration
        ):
            self._host_table = host_routes.HostTable(configuration)
            self._node.log.record(
                "configuration.in_force",
                version=configuration.version,
                routes=len(configuration.routes),
                organisations=len(configuration.organisations),
                rejected=len(configuration.rejected_entries),
            )
            for entry in configuration.rejected_entries:
                self._node.log.record("configuration.rejected", entry=entry)
                self._node.metrics.count("rejected_entries")

    def close_idle(self) -> None:
        """Close connections without a current or imminent request."""
        latest_accept = self._node.time.now() - _FIRST_REQUEST_TIMEOUT
        for stream, is_busy in list(self._streams.items()):
            accepted_at = self._awaiting_first_request.get(stream)
            if not is_busy and (
                accepted_at is None or accepted_at <= latest_accept
            ):
                stream.close()

    async def serve(self, stream: streams.Stream) -> None:
        """Serve one connection until it is closed."""
        now = self._node.time.now()
        self._streams[stream] = False
        self._awaiting_first_request[stream] = now
        limits = self._limits
        parser = http1.RequestParser(
            limits.max_body_bytes, limits.max_header_bytes
        )
        connection = _CallerConnection(stream, parser, now)
        try:
            while await self._serve_next(connection):
                self._streams[stream] = False
        finally:
            self._node.memory.remove(connection)
            del self._streams[stream]
            self._awaiting_first_request.pop(stream, None)

    @property
    def _limits(self) -> deployment.ClientLimits:
        if self._host_table is None:
            return _DEFAULT_LIMITS
        return self._host_table.configuration.limits

    async def _serve_next(self, connection: _CallerConnection) -> bool:
        """Answer the next request; return whether another one may follow."""
        stream = connection.stream
        try:
            received = await self._read_request(connection)
        except (exceptions.ProtocolError, exceptions.RefusedError) as error:
            refusal = error
            if not isinstance(error, exceptions.RefusedError):
                refusal = exceptions.RefusedError(_Kind.BAD_REQUEST, str(error))
            self._node.log.record("request.malformed", error=str(error))
            answer = http_adapter.build_refusal(refusal, "")
            stream.send(encoding.encode_answer(answer, "GET", False))
            await stream.flush(_WRITE_TIMEOUT)
            await self._linger(stream)
            return False
        if received is None:
            return False
        self._streams[stream] = True
        connection.running_bytes = http1.measure_request(received.request)
        receiver = receivers.CallerReceiver(
            stream,
            received.request.method,
            received.keep_alive and not self.is_leaving,
            received.accepts_chunks,
        )
        with stream.cancel_on_disconnect(), self._count_request(stream):
            answer = await self._answer(
                received.request, receiver, connection.read_at
            )
        connection.running_bytes = 0
        keep_alive = receiver.keep_alive
        if answer is not None:
            keep_alive = received.keep_alive and not self.is_leaving
            method = received.request.method
            stream.send(encoding.encode_answer(answer, method, keep_alive))
            self._node.memory.update(connection)
            await stream.flush(_WRITE_TIMEOUT)
        if received.keep_alive and not keep_alive:
            await self._linger(stream)
        return keep_alive

    @contextlib.contextmanager
    def _count_request(self, stream: streams.Stream) -> Iterator[None]:
        """Keep a connection open while its request is answered."""
        self._requests += 1
        stream.is_in_use = True
        try:
            yield
        finally:
            stream.is_in_use = False
            self._requests -= 1

    async def _linger(self, stream: streams.Stream) -> None:
        """Discard what a caller still sends, until it has closed.

        Bytes that arrive on a closed socket reset the connection, and the
        caller then loses an answer that it has not read yet.
        """
        stream.end_sending()
        end = self._node.time.now() + _LINGER_TIMEOUT
        while (remaining := end - self._node.time.now()).value > 0:
            try:
                if not await stream.receive(remaining):
                    return
            except OSError:
                # Nothing more is owed to the caller.
                return

    async def _read_request(
        self, connection: _CallerConnection
    ) -> http1.ReceivedRequest | None:
        """Return the next request, or None if there will be none.

        The limits hold for the whole head and the whole body: a caller that
        sends a byte now and then would never reach one that starts anew.
        """
        stream, parser = connection.stream, connection.parser
        limits = self._limits
        timeout = clock.Milliseconds(limits.idle_timeout_ms)
        end: clock.Milliseconds | None = None
        is_in_body = False
        while (received := parser.pop_request()) is None:
            if parser.pop_continue_expectation():
                stream.send(_CONTINUE_RESPONSE)
            try:
                if timeout.value <= 0:
                    # Bytes may arrive without end.
                    raise TimeoutError
                data = await stream.receive(timeout)
            except TimeoutError:
                if not parser.has_data():
                    return None
                raise exceptions.ProtocolError(
                    "the request is not whole in time"
                ) from None
            if not data:
                return None
            self._streams[stream] = True
            self._awaiting_first_request.pop(stream, None)
            now = self._node.time.now()
            connection.read_at = now - stream.waited
            parser.feed(data)
            self._node.memory.update(connection)
            if not is_in_body and parser.has_complete_head():
                is_in_body = True
                end = now + _BODY_TIMEOUT
            elif end is None:
                end = now + clock.Milliseconds(limits.header_timeout_ms)
            timeout = end - now
        return received

    async def _answer(
        self,
        request: calls.HttpRequest,
        receiver: receivers.CallerReceiver,
        started_at: clock.Milliseconds,
    ) -> calls.HttpAnswer | None:
        """Return the answer to a request and log its outcome.

        Parameters
        ----------
        request : calls.HttpRequest
            The request.
        receiver : receivers.CallerReceiver
            Receives a large answer in parts.
        started_at : clock.Milliseconds
            When the request arrived, from which its deadline counts.

        Returns
        -------
        calls.HttpAnswer or None
            The answer, None if the receiver has got it in parts.

        Raises
        ------
        ConnectionResetError
            If the receiver has got a part of the answer and will not get the
            rest; the connection has to be closed.
        """
        node = self._node
        outcome, request_id, route, detail = _Kind.INTERNAL.name, "", "", ""
        is_nested = False
        retry_after = clock.ZERO
        status = 499
        try:
            received = http_adapter.parse_request(request)
            request_id = received.request_id
            call = await self._route(received, started_at, receiver)
            route, is_nested = call.route.name, call.is_nested
            result = await self._run(call, received)
            outcome, status = "answered", result.status
            if result.is_partial:
                return None
            return calls.HttpAnswer(result.status, result.headers, result.body)
        except exceptions.RefusedError as refusal:
            outcome, detail = refusal.kind.name, refusal.detail
            retry_after = refusal.retry_after
            if is_nested:
                node.executor.note_refused_call(refusal.kind)
            answer = http_adapter.build_refusal(refusal, request_id)
            status = answer.status
            return answer
        except (
            exceptions.BrokenAnswerError,
            exceptions.ReceiverGoneError,
        ) as error:
            outcome, detail = "broken", str(error)
            receiver.stream.reset()
            raise ConnectionResetError(detail) from error
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        except Exception as error:
            node.log.record_exception("request.failed", error)
            refusal = exceptions.RefusedError(_Kind.INTERNAL, "internal error")
            answer = http_adapter.build_refusal(refusal, request_id)
            status = answer.status
            return answer
        finally:
            elapsed = node.time.now() - started_at
            node.metrics.count("requests", route, outcome)
            node.metrics.observe("request", elapsed)
            version = -1
            if self._host_table is not None:
                version = self._host_table.configuration.version
            components.record_outcome(
                node.log,
                "request.answered",
                outcome == "answered",
                request=request_id,
                route=route,
                outcome=outcome,
                status=status,
                detail=detail,
                retry_after_ms=round(retry_after.value),
                took_ms=round(elapsed.value, 1),
                configuration=version,
            )

    async def _route(
        self,
        received: http_adapter.CallerRequest,
        started_at: clock.Milliseconds,
        receiver: receivers.CallerReceiver,
    ) -> dispatchers.RoutedCall:
        """Determine route, organisation, service and deadline.

        Raises
        ------
        exceptions.RefusedError
            If the request is not authorised, has no route or exceeds a rate
            limit.
        """
        table = self._host_table
        if table is None or not self._node.state.is_complete:
            raise exceptions.RefusedError(
                _Kind.STALE_VIEW,
                "the node has no configuration yet",
                _STARTUP_RETRY_AFTER,
            )
        route = table.find_route(received.host, received.forwarded.path)
        if route is None:
            raise exceptions.RefusedError(
                _Kind.NO_SUCH_ROUTE,
                f"no route for {received.host}{received.forwarded.path}",
            )
        timeout = clock.Milliseconds(route.timeout_ms)
        if received.timeout is not None:
            timeout = min(timeout, received.timeout)
        if started_at + timeout <= self._node.time.now():
            raise exceptions.RefusedError(
                _Kind.TIMED_OUT, "the request waited behind an earlier one"
            )
        if self._requests > self._max_requests:
            refusal = exceptions.RefusedError(
                _Kind.OVERLOADED, "the node has too many requests in progress"
            )
            self._set_retry_delay(refusal, route, started_at + timeout)
            raise refusal
        organisation = await self._authenticate(table, route, received.key)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return dispatchers.RoutedCall(
            request_id=received.request_id,
            route=route,
            service=self._rotation.choose_service(route),
            organisation=organisation.name if organisation else "",
            priority=priority,
            # Where keys are configured, callers send one and targets do not.
            is_nested=organisation is None and table.needs_keys,
            started_at=started_at,
            deadline=started_at + timeout,
            request=received.forwarded,
            receiver=receiver,
        )

    async def _authenticate(
        self, table: host_routes.HostTable, route: deployment.Route, key: str
    ) -> deployment.Organisation | None:
        """Return the organisation of a request, None if no key is needed."""
        if route.is_public or not table.needs_keys:
            return None
        organisation = table.find_owner(key)
        if organisation is None:
            raise exceptions.RefusedError(
                _Kind.UNAUTHENTICATED, "the key belongs to no organisation"
            )
        wait = await self._node.rate_limiter.take(organisation)
        if wait is None:
            return organisation
        raise exceptions.RefusedError(
            _Kind.RATE_LIMITED,
            f"{organisation.name} is above "
            f"{organisation.rate_per_second:g} requests a second",
            wait,
        )

    async def _run(
        self, call: dispatchers.RoutedCall, received: http_adapter.CallerRequest
    ) -> deployment.Result:
        try:
            return await self._node.dispatcher.run(call)
        except exceptions.RefusedError as refusal:
            if refusal.kind not in _RETRYABLE_KINDS:
                raise
            timeout = received.timeout or clock.Milliseconds(
                call.route.timeout_ms
            )
            self._set_retry_delay(
                refusal, call.route, call.started_at + timeout
            )
            raise

    def _set_retry_delay(
        self,
        refusal: exceptions.RefusedError,
        route: deployment.Route,
        end: clock.Milliseconds,
    ) -> None:
        """Choose when a caller that waits until `end` may return."""
        refusal.retry_after = queue_wait.find_retry_delay(
            refusal.retry_after,
            clock.Milliseconds(route.objective_ms),
            end - self._node.time.now(),
            self._node.generator,
        )
