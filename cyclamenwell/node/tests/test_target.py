"""Tests of the target client with targets that violate HTTP."""

import contextlib
import threading

import pytest

from cyclamenwell import answers
from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.generated import enumerations
from cyclamenwell.node import calls
from cyclamenwell.node import cancellation as cancellations
from cyclamenwell.node.tests import builders

Kind = enumerations.ErrorKind
TIME = clock.SystemClock()
GET = calls.HttpRequest("GET", "/accounts/7")
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def start():
    started = []

    def build(script):
        target = builders.ScriptedTarget(script)
        started.append(target)
        return target, builders.build_target_client(target.port, TIME)

    yield build
    for target in started:
        target.close()


def send(client, request=GET, wait=10_000, cancellation=None):
    return client.send(
        request,
        TIME.now() + clock.Milliseconds(wait),
        cancellation or cancellations.Cancellation(),
    )


def expect_failure(client, **values):
    with pytest.raises(exceptions.RefusedError) as caught:
        send(client, **values)
    return caught.value.kind


def reply(data):
    return lambda connection, _: connection.sendall(data)


def reply_and_close(data):
    def script(connection, _):
        connection.sendall(data)
        connection.close()

    return script


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nconte",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nno framing",
        b"HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nbad length",
        b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\nbad length",
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabc",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_incomplete_answer_is_refused_as_unknown_and_sent_once(start, data):
    """Guards against returning a partial answer, and against a resend."""
    target, client = start(reply_and_close(data))
    kind = expect_failure(client)
    assert kind is Kind.INCOMPLETE_ANSWER
    assert answers.ANSWERS[kind].outcome is enumerations.Outcome.UNKNOWN
    assert len(target.requests) == 1


@pytest.mark.parametrize(
    "data",
    [
        OK,
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
        b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" + OK,
        b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1;x=y\r\no\r\n1\r\nk\r\n0\r\ntrailer: yes\r\n\r\n",
    ],
)
def test_complete_answer_is_returned(start, data):
    """Guards against refusing valid answers, including interim ones."""
    _, client = start(reply(data))
    answer = send(client)
    assert (answer.status, answer.body) == (200, b"ok")


def test_interim_answer_to_head_is_not_the_answer(start):
    """Guards against an answer left on the connection for the next caller.

    The interim answer must not be taken for the final one.
    """
    head = b"HTTP/1.1 204 No Content\r\n\r\n"
    _, client = start(reply(b"HTTP/1.1 103 Early Hints\r\n\r\n" + head))
    for _ in range(3):
        assert send(client, calls.HttpRequest("HEAD", "/")).status == 204


def test_repeated_headers_are_kept(start):
    """Guards against joining Set-Cookie values, which may contain commas."""
    _, client = start(
        reply(
            b"HTTP/1.1 200 OK\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n"
            b"cyclamenwell-outcome: not-run\r\ncontent-length: 0\r\n\r\n"
        )
    )
    found = [(h.name, h.value) for h in send(client).headers]
    assert found == [("set-cookie", "a=1"), ("set-cookie", "b=2")]


def test_trailers_are_not_headers(start):
    """Guards against fields that override the head after it was checked."""
    _, client = start(
        reply(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx: head\r\n\r\n"
            b"2\r\nok\r\n0\r\nx: trailer\r\nset-cookie: a=1\r\n\r\n"
        )
    )
    for _ in range(2):
        answer = send(client)
        assert [(h.name, h.value) for h in answer.headers] == [("x", "head")]
        assert answer.body == b"ok"


@pytest.mark.parametrize("part", [b"x: ", b"HTTP/1.1 200 OK\r\nx: "])
def test_endless_head_or_trailer_is_refused(start, part):
    """Guards against unbounded memory for fields outside of the body."""
    chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    prefix = chunked + part if part == b"x: " else part

    def script(connection, _):
        connection.sendall(prefix)
        with contextlib.suppress(OSError):
            while True:
                connection.sendall(b"y" * 4096)

    _, client = start(script)
    assert expect_failure(client, wait=600_000) is Kind.INCOMPLETE_ANSWER


def test_answer_to_head_is_complete_without_a_body(start):
    """Guards against waiting for a body or reading the next answer as one."""
    numbers = iter(range(10))

    def script(connection, _):
        connection.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx: %d\r\n\r\n"
            % next(numbers)
        )

    target, client = start(script)
    for number in range(3):
        answer = send(client, calls.HttpRequest("HEAD", "/"))
        assert answer.headers[0].value == str(number)
        assert answer.body == b""
    assert target.connections == 1


@pytest.mark.parametrize("separately", [False, True])
def test_unsolicited_answer_reaches_no_other_caller(start, separately):
    """Guards against an unsolicited answer on a reused connection."""
    numbers = iter(range(100))
    sent = threading.Event()

    def script(connection, _):
        number = next(numbers)
        expected = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % number
        unsolicited = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"
        if not separately:
            connection.sendall(expected + unsolicited)
            return
        connection.sendall(expected)
        connection.sendall(unsolicited)
        sent.set()

    _, client = start(script)
    for number in range(4):
        assert send(client).body == b"%d" % number
        if separately:
            assert sent.wait(10)
            sent.clear()


def test_late_answer_is_refused_and_reaches_no_other_caller(start):
    """Guards against giving the answer to one request to the next one."""
    bodies = [b"late", b"own!"]
    late = threading.Event()

    def script(connection, _):
        body = bodies.pop(0)
        if body == b"late":
            late.wait(10)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n" + body
        )

    _, client = start(script)
    assert expect_failure(client, wait=100) is Kind.TIMED_OUT
    late.set()
    assert send(client).body == b"own!"


def test_slow_answer_ends_at_the_deadline(start):
    """Guards against a timeout that restarts with each byte."""

    def script(connection, _):
        connection.sendall(b"HTTP/1.1 200 OK\r\nx: ")
        while not target.release.wait(0.02):
            connection.sendall(b"x")

    target, client = start(script)
    assert expect_failure(client, wait=300) is Kind.TIMED_OUT


def test_idle_connection_that_the_target_closed_is_not_used(start):
    """Guards against unknown outcomes due to closed idle connections."""
    closed = threading.Event()

    def script(connection, _):
        connection.sendall(OK)
        connection.close()
        closed.set()

    target, client = start(script)
    for _ in range(5):
        assert send(client).body == b"ok"
        assert closed.wait(10)
        closed.clear()
    assert len(target.requests) == 5


def test_close_after_reading_a_non_idempotent_request_is_not_repeated(start):
    """Guards against the client itself sending a request twice.

    The target answers the first request and keeps the connection. It reads
    the second request and closes the connection without an answer.
    """
    replies = [OK]

    def script(connection, _):
        if not replies:
            connection.close()
            return
        connection.sendall(replies.pop())

    target, client = start(script)
    post = calls.HttpRequest("POST", "/charges", (), b"{}")
    send(client, post)
    assert expect_failure(client, request=post) is Kind.INCOMPLETE_ANSWER
    assert len(target.requests) == 2


def test_closed_port_is_refused_as_not_run(start):
    """Guards against an unknown outcome of a request never sent."""
    target, client = start(reply(OK))
    target.close()
    kind = expect_failure(client)
    assert kind is Kind.TARGET_UNREACHABLE
    assert answers.ANSWERS[kind].outcome is enumerations.Outcome.NOT_RUN


@pytest.mark.parametrize(
    "request_",
    [
        calls.HttpRequest("GET", "/a b"),
        calls.HttpRequest("GET", "/a\r\nx: y"),
        calls.HttpRequest("G T", "/a"),
    ],
)
def test_forbidden_characters_are_never_sent(start, request_):
    """Guards against a request that the target parses as two."""
    target, client = start(reply(OK))
    assert expect_failure(client, request=request_) is Kind.BAD_REQUEST
    assert not target.requests


def test_oversize_answer_is_refused(start):
    """Guards against unbounded memory for one answer."""
    _, client = start(
        reply(b"HTTP/1.1 200 OK\r\ncontent-length: 999999999\r\n\r\n")
    )
    assert expect_failure(client) is Kind.ANSWER_TOO_LARGE


def test_cancellation_ends_the_exchange(start):
    """Guards against work for a caller that has disconnected."""
    ended = threading.Event()
    cancellation = cancellations.Cancellation()

    def script(connection, _):
        cancellation.cancel()
        if not connection.recv(1):
            ended.set()

    _, client = start(script)
    assert expect_failure(client, cancellation=cancellation) is Kind.CANCELLED
    assert ended.wait(10)
