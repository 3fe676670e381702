"""Incremental parsers of HTTP/1.1 requests and answers.

`httptools` does the parsing. This module assembles complete messages from its
callbacks, limits their size, and rejects messages that two implementations
could frame differently.
"""

from __future__ import annotations

import collections
import dataclasses
import functools

import httptools

from cyclamenwell import exceptions
from cyclamenwell.generated import deployment
from cyclamenwell.generated import enumerations
from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls

__all__ = [
    "MAX_BODY_BYTES",
    "AnswerParser",
    "AnswerSequenceParser",
    "PartialAnswer",
    "ReceivedAnswer",
    "ReceivedRequest",
    "RequestParser",
    "measure_request",
]

_Kind = enumerations.ErrorKind
MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024  # Head and trailer of one message together.
_HEADER_OVERHEAD_BYTES = 4  # Colon, space and line end of a header.
# Memory of the objects that hold one header, beside its bytes.
_HEADER_OBJECT_BYTES = 250
# Allowance for the path, which is counted with the header section.
_MAX_PATH_BYTES = 8 * 1024
_NAME_CACHE_SIZE = 512  # Decoded header names.
_MAX_INTERIM_ANSWERS = 16
_MIN_STATUS = 100
_MAX_STATUS = 599
_SWITCHING_PROTOCOLS = 101
_MIN_FINAL_STATUS = 200
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_VERSIONS = frozenset({"1.0", "1.1"})
_CONTENT_LENGTH = "content-length"
_TRANSFER_ENCODING = "transfer-encoding"
_HOST = "host"
_EXPECT = "expect"
_CHECKED_NAMES = frozenset(
    {_CONTENT_LENGTH, _TRANSFER_ENCODING, _HOST, _EXPECT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request.

    Parameters
    ----------
    request : calls.HttpRequest
        The request.
    keep_alive : bool
        Whether the connection stays open for another request.
    accepts_chunks : bool
        Whether the caller understands an answer in chunks.
    """

    request: calls.HttpRequest
    keep_alive: bool
    accepts_chunks: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """A complete answer.

    Parameters
    ----------
    answer : calls.HttpAnswer
        The answer with all its headers.
    keep_alive : bool
        Whether the connection may be used for another request.
    """

    answer: calls.HttpAnswer
    keep_alive: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PartialAnswer:
    """The head of an answer and the first part of its body.

    Parameters
    ----------
    answer : calls.HttpAnswer
        Status, all headers, and the bytes of the body received so far.
    body_length : int or None
        Length of the whole body, None if it is not known in advance.
    """

    answer: calls.HttpAnswer
    body_length: int | None


# Nearly all headers in a deployment have the same few names.
@functools.lru_cache(_NAME_CACHE_SIZE)
def _decode_name(name: bytes) -> str:
    """Return the name of a header in lower case."""
    return name.decode("latin-1").lower()


def measure_request(
    request: calls.HttpRequest | deployment.ForwardedRequest,
) -> int:
    """Return the approximate memory for a request."""
    return len(request.body) + len(request.headers) * _HEADER_OBJECT_BYTES


class _MessageParser:
    """Base of the parsers of requests and answers.

    Parameters
    ----------
    too_large_kind : enumerations.ErrorKind
        Error kind of a body that is too large.
    max_body_bytes : int
        Largest body.

    Notes
    -----
    `httptools` calls the methods that begin with ``on_``. An exception in one
    of them ends the parsing.
    """

    _parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(
        self,
        too_large_kind: enumerations.ErrorKind,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_head_bytes: int = _MAX_HEAD_BYTES,
    ) -> None:
        self._too_large_kind = too_large_kind
        self._max_body_bytes = max_body_bytes
        self._max_head_bytes = max_head_bytes
        self._reset()

    def _reset(self) -> None:
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._headers: tuple[httpfields.Header, ...] = ()  # Of a whole head.
        self._checked: dict[str, list[str]] = {}
        # One object, as chunks may be very small.
        self._body = bytearray()
        self._in_head = True
        self._head_bytes = 0
        self._body_bytes = 0
        # Bytes since the last callback: httptools buffers a partial header.
        self._unfinished_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, or count the bytes of a trailer."""
        self._unfinished_bytes = 0
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        # A trailer is dropped: it arrives after the head was checked.
        if self._in_head:
            self._raw_headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._unfinished_bytes = 0
        self._body_bytes += len(data)
        self._body += data

    def _parse(self, data: bytes | memoryview) -> None:
        self._unfinished_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ from None
        except httptools.HttpParserError as error:
            raise exceptions.ProtocolError(f"malformed HTTP: {error}") from None
        self._check_sizes()

    def _check_sizes(self) -> None:
        head_bytes = max(self._head_bytes, self._unfinished_bytes)
        if head_bytes > self._max_head_bytes:
            raise exceptions.ProtocolError(
                f"the head has more than {self._max_head_bytes} bytes"
            )
        self._check_body_size(self._body_bytes)

    def _check_body_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise exceptions.RefusedError(
                self._too_large_kind,
                f"the body has more than {self._max_body_bytes} bytes",
            )

    def _end_head(self) -> None:
        """Check a complete head; `httptools` has checked each header."""
        self._in_head = False
        self._unfinished_bytes = 0
        self._check_sizes()
        self._decode_headers()
        version = self._parser.get_http_version()
        if version not in _VERSIONS:
            raise exceptions.ProtocolError(f"HTTP/{version} is not supported")
        for length in self._list_values(_CONTENT_LENGTH):
            self._check_body_size(int(length))
        codings = [v.lower() for v in self._list_values(_TRANSFER_ENCODING)]
        if codings and (codings != ["chunked"] or version == "1.0"):
            raise exceptions.ProtocolError(
                f"transfer-encoding of HTTP/{version}: got "
                f"{', '.join(codings)!r}, must be chunked of HTTP/1.1"
            )

    def _decode_headers(self) -> None:
        """Decode all headers at once, which is faster than one by one."""
        headers = []
        for raw_name, raw_value in self._raw_headers:
            name = _decode_name(raw_name)
            value = raw_value.strip(b" \t").decode("latin-1")
            headers.append(httpfields.Header(name, value))
            if name in _CHECKED_NAMES:
                self._checked.setdefault(name, []).append(value)
        self._headers = tuple(headers)

    def _list_values(self, name: str) -> list[str]:
        return self._checked.get(name, [])

    def _is_framed(self) -> bool:
        return _CONTENT_LENGTH in self._checked or (
            _TRANSFER_ENCODING in self._checked
        )


class RequestParser(_MessageParser):
    """Parses the requests of one connection in order.

    Parameters
    ----------
    max_body_bytes : int
        Largest body.
    max_header_bytes : int
        Largest header section.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_header_bytes: int = _MAX_HEAD_BYTES,
    ) -> None:
        super().__init__(
            _Kind.BODY_TOO_LARGE,
            max_body_bytes,
            min(max_header_bytes + _MAX_PATH_BYTES, _MAX_HEAD_BYTES),
        )
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._keep_alive = False
        self._has_begun = False
        self._expects_continue = False
        self._complete: collections.deque[ReceivedRequest] = collections.deque()
        # Memory for the complete requests that have not been taken.
        self._complete_bytes = 0
        self._failure: exceptions.CyclamenwellError | None = None

    @property
    def held_head_bytes(self) -> int:
        """Approximate memory for the head in progress."""
        objects = max(len(self._raw_headers), len(self._headers))
        return (
            max(self._head_bytes, self._unfinished_bytes)
            + objects * _HEADER_OBJECT_BYTES
        )

    @property
    def held_body_bytes(self) -> int:
        """Bytes of bodies, complete or not, that have not been taken."""
        return len(self._body) + self._complete_bytes

    def has_data(self) -> bool:
        """Return whether a request, or a part of one, was received."""
        return bool(self._complete or self._failure or self._has_begun)

    def has_complete_head(self) -> bool:
        """Return whether the head of the next request was received."""
        return bool(self._complete) or (self._has_begun and not self._in_head)

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._failure is not None:
            return
        rest = memoryview(data)
        try:
            while rest:
                rest = self._parse_to_upgrade(rest)
        except exceptions.CyclamenwellError as error:
            # Complete requests before the failure are answered first.
            self._failure = error
            self._reset()

    def discard(self) -> None:
        """Drop all that was received; no more can be parsed."""
        self._failure = exceptions.ProtocolError("the request was dropped")
        self._complete.clear()
        self._complete_bytes = 0
        self._reset()

    def _parse_to_upgrade(self, data: memoryview) -> memoryview:
        """Parse up to the end of a request for an upgrade; return the rest.

        A server may ignore an upgrade, so the request is answered without it.
        """
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade as upgrade:
            (parsed,) = upgrade.args
            return data[parsed:]
        return data[len(data) :]

    def pop_request(self) -> ReceivedRequest | None:
        """Return the next request, if it is complete.

        Raises
        ------
        exceptions.ProtocolError
            If it is malformed.
        exceptions.RefusedError
            If its body is too large.
        """
        if self._complete:
            received = self._complete.popleft()
            self._complete_bytes -= measure_request(received.request)
            return received
        if self._failure is not None:
            raise self._failure
        return None

    def pop_continue_expectation(self) -> bool:
        """Return, once, whether the caller waits for 100 Continue."""
        expects = self._expects_continue and not self._body_bytes
        self._expects_continue = False
        return expects

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset()
        self._url = b""
        self._has_begun = True

    def on_url(self, data: bytes) -> None:
        """Collect a part of the path."""
        self._head_bytes += len(data)
        self._url += data

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._end_head()
        if not self._url.startswith(b"/"):
            raise exceptions.ProtocolError("the path must begin with a slash")
        if len(self._list_values(_HOST)) > 1:
            raise exceptions.ProtocolError("more than one header host")
        if self._parser.should_upgrade() and self._is_framed():
            # httptools would parse the body as the next request.
            raise exceptions.ProtocolError("an upgrade with a body")
        is_http_1_0 = self._parser.get_http_version() == "1.0"
        self._keep_alive = self._parser.should_keep_alive() and not is_http_1_0
        self._expects_continue = not is_http_1_0 and any(
            value.lower() == "100-continue"
            for value in self._list_values(_EXPECT)
        )

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._check_sizes()
        request = calls.HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
        )
        self._complete_bytes += measure_request(request)
        self._complete.append(
            ReceivedRequest(
                request,
                self._keep_alive,
                self._parser.get_http_version() != "1.0",
            )
        )
        self._reset()
        self._has_begun = False
        self._expects_continue = False


class _AnswerMessageParser(_MessageParser):
    """Base of the parsers of answers."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(_Kind.ANSWER_TOO_LARGE, max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._interim_answers = 0

    def _end_answer_head(self) -> None:
        """Check the head of an answer and count interim answers."""
        self._end_head()
        self._status = self._parser.get_status_code()
        is_possible = _MIN_STATUS <= self._status <= _MAX_STATUS
        if self._status == _SWITCHING_PROTOCOLS or not is_possible:
            raise exceptions.ProtocolError(f"status {self._status}")
        if not self._is_interim():
            return
        self._interim_answers += 1
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            raise exceptions.ProtocolError("too many interim answers")

    def _is_interim(self) -> bool:
        return self._status < _MIN_FINAL_STATUS


class AnswerParser(_AnswerMessageParser):
    """Parses the answers on one connection, each to the request just sent."""

    def __init__(self) -> None:
        super().__init__()
        self._is_head = False
        self.begin("GET")

    def begin(self, method: str) -> None:
        """Expect the answer to a request."""
        if self._is_head:
            # httptools still expects the body that the head announced.
            self._parser = httptools.HttpResponseParser(self)
        self._is_head = method == "HEAD"
        self._status = 0
        self._interim_answers = 0
        self._keep_alive = False
        self._is_complete = False
        self._has_extra_data = False

    def feed(self, data: bytes) -> ReceivedAnswer | None:
        """Parse received bytes and return the answer when it is complete.

        Raises
        ------
        exceptions.ProtocolError
            If it is malformed or its end cannot be determined.
        exceptions.RefusedError
            If it is too large.
        """
        try:
            self._parse(data)
        except exceptions.ProtocolError:
            if not self._is_complete:
                raise
            self._has_extra_data = True
        if not self._is_complete:
            return None
        body = b"" if self._is_head else bytes(self._body)
        return ReceivedAnswer(
            calls.HttpAnswer(self._status, self._headers, body),
            self._keep_alive and not self._has_extra_data,
        )

    def on_message_begin(self) -> None:
        """Begin an answer; a second one is unsolicited and refused."""
        if self._is_complete:
            self._has_extra_data = True
            raise exceptions.ProtocolError("more than one answer")
        self._reset()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        if self._is_complete:
            self._has_extra_data = True
            return
        super().on_body(data)

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._end_answer_head()
        if self._is_interim():
            return
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head:
            self._is_complete = True
        elif (
            self._status not in _STATUSES_WITHOUT_BODY and not self._is_framed()
        ):
            raise exceptions.ProtocolError(
                "neither length nor chunks, so an early end can not be told"
            )

    def on_message_complete(self) -> None:
        """Mark an answer as complete, unless it is interim."""
        self._check_sizes()
        if not self._is_interim():
            self._is_complete = True


class AnswerSequenceParser(_AnswerMessageParser):
    """Parses all answers on one connection, including unsolicited ones.

    Parameters
    ----------
    max_body_bytes : int
        Largest body.

    Notes
    -----
    Unlike `AnswerParser`, this class accepts an answer without length and
    chunks, which ends with its connection, and unsolicited answers, which the
    reader can tell apart by their content.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes)
        self._complete: collections.deque[ReceivedAnswer] = collections.deque()
        self._is_in_answer = False
        # Whether the body of the answer in progress is taken in parts.
        self._is_in_parts = False
        self._has_last_part = False
        # Whether the answer taken in parts allows another request.
        self.keep_alive = False
        self._is_head = False
        # After an answer to HEAD, httptools expects the body that it announces.
        self._is_over = False

    def begin(self, method: str) -> None:
        """Expect the answer to a request.

        The answer to HEAD is the last one on its connection.
        """
        self._is_head = method == "HEAD"

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        exceptions.ProtocolError
            If they are malformed; complete answers before them can be taken.
        exceptions.RefusedError
            If an answer is too large.
        """
        if self._is_over:
            raise exceptions.ProtocolError("bytes after an answer to HEAD")
        self._parse(data)

    def finish(self) -> None:
        """Handle an orderly end of the connection.

        Raises
        ------
        exceptions.ProtocolError
            If an answer with a length or chunks is incomplete.
        """
        if not self._is_in_answer:
            return
        if self._in_head or self._is_framed() or self._is_interim():
            raise exceptions.ProtocolError("the connection ended early")
        self._queue_answer(keep_alive=False)

    def pop_answer(self) -> ReceivedAnswer | None:
        """Return the next complete answer, if there is one."""
        return self._complete.popleft() if self._complete else None

    def has_answer(self) -> bool:
        """Return whether a complete answer, or its end, can be taken."""
        return bool(self._complete) or self._has_last_part

    def count_buffered(self) -> int:
        """Return the number of bytes held of a body in progress."""
        if not self._is_in_answer or self._in_head or self._is_interim():
            return 0
        return self._body_bytes

    def begin_parts(self) -> PartialAnswer:
        """Return the answer in progress; its body is then taken in parts."""
        lengths = self._list_values(_CONTENT_LENGTH)
        self._is_in_parts = True
        self._has_last_part = False
        return PartialAnswer(
            calls.HttpAnswer(self._status, self._headers, self.pop_part()),
            int(lengths[0]) if lengths else None,
        )

    def pop_part(self) -> bytes:
        """Return the bytes of the body that have not been taken yet."""
        part = bytes(self._body)
        self._body.clear()
        # The limit on the size applies to what is held.
        self._body_bytes = 0
        return part

    def pop_end(self) -> bool:
        """Return, once, whether all parts of the body have been received."""
        has_ended, self._has_last_part = self._has_last_part, False
        return has_ended

    def has_pending_data(self) -> bool:
        """Return whether bytes were received that belong to no taken answer."""
        return self._is_in_answer or self.has_answer()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self._is_over:
            raise exceptions.ProtocolError("bytes after an answer to HEAD")
        if self._has_last_part:
            # The parts of the previous answer have not all been taken.
            raise exceptions.ProtocolError("bytes after an answer in parts")
        self._reset()
        self._status = 0
        self._is_in_answer = True

    def on_headers_complete(self) -> None:
        """Check the head, with which the answer to HEAD is complete."""
        self._end_answer_head()
        if self._is_head and not self._is_interim():
            self._queue_answer(keep_alive=False)
            self._is_over = True

    def on_message_complete(self) -> None:
        """Queue a complete answer that is not interim."""
        self._check_sizes()
        if self._is_interim():
            self._is_in_answer = False
            return
        if self._is_over:
            return
        self._queue_answer(self._parser.should_keep_alive())

    def _queue_answer(self, keep_alive: bool) -> None:
        if self._is_in_parts:
            self._is_in_parts = False
            self._has_last_part = True
            self._is_in_answer = False
            self.keep_alive = keep_alive
            return
        answer = calls.HttpAnswer(
            self._status, self._headers, bytes(self._body)
        )
        self._complete.append(ReceivedAnswer(answer, keep_alive))
        self._is_in_answer = False
        self._interim_answers = 0
