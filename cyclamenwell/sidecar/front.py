"""Connections of callers and of the target beside the node."""

from __future__ import annotations

import asyncio

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.admission import patience
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls
from cyclamenwell.node import encoding
from cyclamenwell.node import http1
from cyclamenwell.platform import dialect
from cyclamenwell.routing import hosts
from cyclamenwell.sidecar import dispatcher as dispatchers
from cyclamenwell.sidecar import parts
from cyclamenwell.sidecar import streams

__all__ = ["Front"]

_Kind = enumerations.ErrorKind
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A caller that takes longer to read an answer is cut off, so that what it
# leaves unread does not stay in memory.
_WRITE_WAIT = clock.Milliseconds(10_000)
# For the whole body after the head; the largest allowed body comes within it.
_BODY_WAIT = clock.Milliseconds(30_000)
# A caller sends its first request within this time after it has connected; a
# round trip between data centres and a busy moment of the caller.
_FIRST_REQUEST_WAIT = clock.Milliseconds(500)
_STARTING_RETRY = clock.Milliseconds(300)
_DEFAULT_LIMITS = deployment.ClientLimits()
# What is told to come back rather than to give up.
_RETURNING = frozenset(
    {
        _Kind.COLD,
        _Kind.DATA_CENTRE_OUT,
        _Kind.LEAVING,
        _Kind.NO_INSTANCE,
        _Kind.OVERLOADED,
        _Kind.PEER_UNREACHABLE,
        _Kind.TARGET_SHED,
        _Kind.TARGET_UNREACHABLE,
        _Kind.WRONG_INSTANCE,
    }
)


class Front:
    """Turns requests into calls and outcomes into answers.

    Parameters
    ----------
    node : parts.Parts
        Parts of the node.
    """

    def __init__(self, node: parts.Parts) -> None:
        self._node = node
        self._table: hosts.HostTable | None = None
        self._rotation = hosts.SplitRotation()
        self._streams: dict[streams.Stream, bool] = {}  # Whether it is busy.
        # When connections were made on which nothing has come yet.
        self._unused: dict[streams.Stream, clock.Milliseconds] = {}
        self.is_leaving = False

    @property
    def busy_connections(self) -> int:
        """Connections on which a request is handled."""
        return sum(self._streams.values())

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._streams)

    def follow_state(self) -> None:
        """Use the configuration in force."""
        configuration = self._node.state.configuration
        if configuration is None:
            return
        if (
            self._table is None
            or self._table.configuration is not configuration
        ):
            self._table = hosts.HostTable(configuration)
            self._node.log.record(
                "configuration.in_force",
                version=configuration.version,
                routes=len(configuration.routes),
                organisations=len(configuration.organisations),
            )

    def close_idle(self) -> None:
        """Close the connections on which no request is handled or due."""
        newest = self._node.time.now() - _FIRST_REQUEST_WAIT
        for stream, is_busy in list(self._streams.items()):
            made = self._unused.get(stream)
            if not is_busy and (made is None or made <= newest):
                stream.close()

    async def serve(self, stream: streams.Stream) -> None:
        """Serve one connection until it ends."""
        self._streams[stream] = False
        self._unused[stream] = self._node.time.now()
        parser = http1.RequestParser(self._limits.max_body_bytes)
        try:
            while await self._serve_next(stream, parser):
                self._streams[stream] = False
        finally:
            del self._streams[stream]
            self._unused.pop(stream, None)

    @property
    def _limits(self) -> deployment.ClientLimits:
        if self._table is None:
            return _DEFAULT_LIMITS
        return self._table.configuration.limits

    async def _serve_next(
        self, stream: streams.Stream, parser: http1.RequestParser
    ) -> bool:
        """Answer the next request; return whether another one may follow."""
        try:
            received = await self._read_request(stream, parser)
        except (exceptions.ProtocolError, exceptions.RefusedError) as error:
            refusal = error
            if not isinstance(error, exceptions.RefusedError):
                refusal = exceptions.RefusedError(_Kind.BAD_REQUEST, str(error))
            self._node.log.record("request.malformed", error=str(error))
            answer = dialect.build_refusal(refusal, "")
            await self._write(stream, answer, "GET", keeps=False)
            return False
        if received is None:
            return False
        self._streams[stream] = True
        with stream.cancelling():
            answer = await self._answer(received.request)
        keeps = received.keeps and not self.is_leaving
        await self._write(stream, answer, received.request.method, keeps)
        return keeps

    async def _read_request(
        self, stream: streams.Stream, parser: http1.RequestParser
    ) -> http1.ReceivedRequest | None:
        """Return the next request, or None if the caller has ended."""
        limits = self._limits
        max_wait = clock.Milliseconds(limits.idle_timeout_ms)
        while (received := parser.take()) is None:
            if parser.take_expectation():
                stream.send(_CONTINUE)
            try:
                data = await stream.receive(max_wait)
            except TimeoutError:
                if not parser.has_data():
                    return None
                raise exceptions.ProtocolError(
                    "the request is not whole in time"
                ) from None
            if not data:
                return None
            self._streams[stream] = True
            self._unused.pop(stream, None)
            parser.feed(data)
            max_wait = _BODY_WAIT
            if not parser.has_whole_head():
                max_wait = clock.Milliseconds(limits.header_timeout_ms)
        return received

    async def _write(
        self,
        stream: streams.Stream,
        answer: calls.HttpAnswer,
        method: str,
        keeps: bool,
    ) -> None:
        stream.send(encoding.encode_answer(answer, method, keeps))
        await stream.flush(_WRITE_WAIT)

    async def _answer(self, request: calls.HttpRequest) -> calls.HttpAnswer:
        """Return the answer to a request and log its outcome."""
        node = self._node
        begun = node.time.now()
        outcome, request_id, route, detail = _Kind.INTERNAL.name, "", "", ""
        retry_after = clock.ZERO
        status = 499
        try:
            received = dialect.read_call(request)
            request_id = received.request_id
            call = await self._route(received, begun)
            route = call.route.name
            result = await self._run(call, received)
            outcome, status = "answered", result.status
            return calls.HttpAnswer(result.status, result.headers, result.body)
        except exceptions.RefusedError as refusal:
            outcome, detail = refusal.kind.name, refusal.detail
            retry_after = refusal.retry_after
            answer = dialect.build_refusal(refusal, request_id)
            status = answer.status
            return answer
        except asyncio.CancelledError:
            outcome = "cancelled"
            raise
        except Exception as error:
            node.log.report_failure("request.failed", error)
            refusal = exceptions.RefusedError(_Kind.INTERNAL, "internal error")
            answer = dialect.build_refusal(refusal, request_id)
            status = answer.status
            return answer
        finally:
            took = node.time.now() - begun
            node.figures.count("requests", route, outcome)
            node.figures.observe("request", took)
            version = -1
            if self._table is not None:
                version = self._table.configuration.version
            parts.record_outcome(
                node.log,
                "request.answered",
                outcome == "answered",
                request=request_id,
                route=route,
                outcome=outcome,
                status=status,
                detail=detail,
                retry_after_ms=round(retry_after.value),
                took_ms=round(took.value, 1),
                configuration=version,
            )

    async def _route(
        self,
        received: dialect.ReceivedCall,
        begun: clock.Milliseconds,
    ) -> dispatchers.RoutedCall:
        """Establish route, organisation, service and deadline.

        Raises
        ------
        exceptions.RefusedError
            If the request is not allowed, or exceeds a limit.
        """
        table = self._table
        if table is None or not self._node.state.is_complete:
            raise exceptions.RefusedError(
                _Kind.STALE_VIEW,
                "the node has no configuration yet",
                _STARTING_RETRY,
            )
        route = table.find_route(received.host, received.forwarded.path)
        if route is None:
            raise exceptions.RefusedError(
                _Kind.NO_SUCH_ROUTE,
                f"no route for {received.host}{received.forwarded.path}",
            )
        organisation = await self._authenticate(table, route, received.key)
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        timeout = clock.Milliseconds(route.timeout_ms)
        if received.patience is not None:
            timeout = min(timeout, received.patience)
        return dispatchers.RoutedCall(
            request_id=received.request_id,
            route=route,
            service=self._rotation.choose_service(route),
            organisation=organisation.name if organisation else "",
            priority=priority,
            # Callers send a key where keys exist; targets have none.
            is_further=organisation is None and table.needs_keys,
            begun=begun,
            deadline=begun + timeout,
            request=received.forwarded,
        )

    async def _authenticate(
        self, table: hosts.HostTable, route: deployment.Route, key: str
    ) -> deployment.Organisation | None:
        """Return the organisation of a request, None on public routes."""
        if route.is_public or not table.needs_keys:
            return None
        organisation = table.find_owner(key)
        if organisation is None:
            raise exceptions.RefusedError(
                _Kind.UNAUTHENTICATED, "the key belongs to no organisation"
            )
        wait = await self._node.shares.take(organisation)
        if wait is None:
            return organisation
        raise exceptions.RefusedError(
            _Kind.RATE_LIMITED,
            f"{organisation.name} is above "
            f"{organisation.rate_per_second:g} requests a second",
            wait,
        )

    async def _run(
        self, call: dispatchers.RoutedCall, received: dialect.ReceivedCall
    ) -> deployment.Result:
        try:
            return await self._node.dispatcher.run(call)
        except exceptions.RefusedError as refusal:
            if refusal.kind not in _RETURNING:
                raise
            elapsed = self._node.time.now() - call.begun
            waits = received.patience or clock.Milliseconds(
                call.route.timeout_ms
            )
            refusal.retry_after = patience.find_return_time(
                refusal.retry_after,
                clock.Milliseconds(call.route.objective_ms),
                waits - elapsed,
                self._node.generator,
            )
            raise
