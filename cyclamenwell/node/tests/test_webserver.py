"""Tests of the web server with malformed and unusual HTTP requests."""

import json
import socket

import pytest

from cyclamenwell import clock
from cyclamenwell.generated import httpfields
from cyclamenwell.node import calls
from cyclamenwell.node import http1
from cyclamenwell.node import webserver

HOST = b"host: billing\r\n"


@pytest.fixture
def handled():
    return []


@pytest.fixture
def server(handled):
    def answer(request, connection):
        del connection
        handled.append(request)
        status = 204 if request.path == "/empty" else 200
        if request.path == "/reset":
            status = 205
        name = httpfields.Header("x-path", request.path)
        return calls.HttpAnswer(status, (name,), request.body)

    web_server = webserver.WebServer("127.0.0.1", 0, answer)
    web_server.start()
    yield web_server
    web_server.drain(clock.Milliseconds(5000))


def exchange(server, data, *, half_close=False):
    """Send bytes and return all that the server sends until it closes."""
    address = ("127.0.0.1", server.port)
    with socket.create_connection(address, 20) as connection:
        connection.sendall(data)
        if half_close:
            connection.shutdown(socket.SHUT_WR)
        received = bytearray()
        while part := connection.recv(65536):
            received += part
        return bytes(received)


def read_refusal(received):
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    assert b"content-type: application/problem+json" in lines
    assert b"cyclamenwell-outcome: not-run" in lines
    assert b"connection: close" in lines
    return json.loads(body)


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 9\r\n\r\nshort",
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"transfer-encoding: chunked\r\n\r\n5\r\nab",
        b"POST / HTTP/1.1\r\n"
        + HOST
        + b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0",
    ],
)
def test_partial_body_is_refused_as_not_run(server, handled, data):
    """Guards against running an incomplete request."""
    refusal = read_refusal(exchange(server, data, half_close=True))
    assert refusal["type"] == "urn:cyclamenwell:bad-request"
    assert not handled


@pytest.mark.parametrize(
    "lines",
    [
        b"content-length: 2\r\ncontent-length: 3\r\n",
        b"content-length: -2\r\n",
        b"content-length: +2\r\n",
        b"content-length: 2\r\ntransfer-encoding: chunked\r\n",
        b"transfer-encoding: gzip\r\n",
        b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        b"content-length : 2\r\n",
        b"x: 1\r\n folded\r\n",
        b"x: a\rb\r\n",
        b"x: a\0b\r\n",
        b"transfer-encoding: gzip, chunked\r\n",
        b"no colon\r\n",
        b"host: other\r\n",
    ],
)
def test_ambiguous_head_is_refused(server, handled, lines):
    """Guards against a request that two implementations frame differently."""
    read_refusal(
        exchange(server, b"POST / HTTP/1.1\r\n" + HOST + lines + b"\r\n")
    )
    assert not handled


def test_pipelined_requests_are_answered_in_order(server, handled):
    """Guards against losing or mixing pipelined requests."""
    first = b"POST /1 HTTP/1.1\r\n" + HOST + b"content-length: 2\r\n\r\nab"
    second = (
        b"POST /2 HTTP/1.1\r\n"
        + HOST
        + b"transfer-encoding: chunked\r\n\r\n2\r\ncd\r\n0\r\nt: 1\r\n\r\n"
    )
    last = b"GET /3 HTTP/1.1\r\n" + HOST + b"connection: Close\r\n\r\n"
    received = exchange(server, first + second + last)
    assert [r.path for r in handled] == ["/1", "/2", "/3"]
    assert [r.body for r in handled] == [b"ab", b"cd", b""]
    positions = [received.index(b"x-path: /%d" % n) for n in (1, 2, 3)]
    assert positions == sorted(positions)


def test_trailers_are_not_headers(server, handled):
    """Guards against fields that arrive after the head was checked."""
    exchange(
        server,
        b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n"
        b"connection: close\r\nx: head\r\n\r\n"
        b"2\r\nab\r\n0\r\nx: trailer\r\nauthorization: Bearer k\r\n\r\n",
    )
    (request,) = handled
    assert request.body == b"ab"
    assert [h.value for h in request.headers if h.name == "x"] == ["head"]
    assert not request.find_header("authorization")


def test_upgrade_is_ignored_without_a_body_and_refused_with_one(
    server, handled
):
    """Guards against parsing a body as the next request."""
    lines = HOST + b"connection: upgrade\r\nupgrade: h2c\r\n"
    last = b"GET /last HTTP/1.1\r\n" + HOST + b"connection: close\r\n\r\n"
    upgrade = b"GET /first HTTP/1.1\r\n" + lines + b"\r\n"
    received = exchange(server, upgrade * 500 + last)
    assert received.count(b"x-path: /first") == 500
    assert b"x-path: /last" in received
    handled.clear()
    with_body = b"content-length: %d\r\n\r\n" % len(last) + last
    read_refusal(exchange(server, b"POST / HTTP/1.1\r\n" + lines + with_body))
    assert not handled


def test_complete_requests_before_a_malformed_one_are_answered(server, handled):
    """Guards against a refusal sent in place of an answer."""
    first = b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\n"
    received = exchange(server, first + b"nonsense\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 200")
    read_refusal(received[received.index(b"HTTP/1.1 400") :])
    assert [r.path for r in handled] == ["/1"]


def test_http_1_0_is_answered_and_closed(server):
    """Guards against a caller that waits for the end of the connection."""
    received = exchange(server, b"GET /old HTTP/1.0\r\n" + HOST + b"\r\n")
    assert b"x-path: /old" in received
    assert b"connection: close" in received


@pytest.mark.parametrize(
    ("start_line", "length"),
    [
        (b"HEAD / HTTP/1.1", None),
        (b"GET /empty HTTP/1.1", None),
        (b"GET /reset HTTP/1.1", b"content-length: 0"),
    ],
)
def test_answer_without_body_keeps_the_framing(server, start_line, length):
    """Guards against a caller waiting for a body that is never sent."""
    request = start_line + b"\r\n" + HOST + b"\r\n"
    last = b"GET /last HTTP/1.1\r\n" + HOST + b"connection: close\r\n\r\n"
    first, _, rest = exchange(server, request + last).partition(b"\r\n\r\n")
    assert rest.startswith(b"HTTP/1.1 200")
    assert (length in first) if length else (b"content-length" not in first)


def test_continue_is_sent_before_the_body(server, handled):
    """Guards against a caller that keeps waiting for 100 Continue."""
    address = ("127.0.0.1", server.port)
    with socket.create_connection(address, 20) as connection:
        connection.sendall(
            b"POST /c HTTP/1.1\r\n" + HOST + b"expect: 100-Continue\r\n"
            b"content-length: 2\r\n\r\n"
        )
        assert connection.recv(100).startswith(b"HTTP/1.1 100 ")
        connection.sendall(b"ab")
        assert b"x-path: /c" in connection.recv(65536)
    assert handled[0].body == b"ab"


def test_oversize_body_is_refused_unread(server, handled):
    """Guards against unbounded memory, and a reset that loses the refusal."""
    size = http1.MAX_BODY_BYTES + 1
    head = b"POST / HTTP/1.1\r\n" + HOST + b"content-length: %d\r\n\r\n" % size
    refusal = read_refusal(exchange(server, head + b"x" * 500_000))
    assert refusal["status"] == 413
    # A chunk is refused at the limit, not once its announced size has arrived.
    head = b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n"
    sent = head + b"%x\r\n" % (size * 64) + b"x" * size
    assert read_refusal(exchange(server, sent))["status"] == 413
    assert not handled


def test_oversize_head_is_refused(server, handled):
    """Guards against unbounded memory for one head."""
    head = b"GET / HTTP/1.1\r\n" + HOST + b"x: " + b"y" * 70_000 + b"\r\n\r\n"
    assert read_refusal(exchange(server, head))["status"] == 400
    head = b"GET /" + b"y" * 70_000 + b" HTTP/1.1\r\n" + HOST + b"\r\n"
    assert read_refusal(exchange(server, head))["status"] == 400
    assert not handled


@pytest.mark.parametrize(
    "start_line",
    [
        b"GET /\r\n",
        b"GET / HTTP/0.9\r\n",
        b"GET / HTTP/2.0\r\n",
        b"GET / HTTP/1.1\n",
        b"GET http://billing/ HTTP/1.1\r\n",
        b"CONNECT billing:80 HTTP/1.1\r\n",
        b"GET /a b HTTP/1.1\r\n",
        b"GET /\x01 HTTP/1.1\r\n",
    ],
)
def test_unsupported_start_line_is_refused(server, handled, start_line):
    """Guards against paths and versions that a target parses differently."""
    read_refusal(exchange(server, start_line + HOST + b"\r\n"))
    assert not handled


def test_repeated_headers_reach_the_handler(server, handled):
    """Guards against dropping all but the last of equal headers."""
    exchange(
        server,
        b"GET / HTTP/1.1\r\n"
        + HOST
        + b"x: 1\r\nX: 2\r\nconnection: close\r\n\r\n",
    )
    assert [h.value for h in handled[0].headers if h.name == "x"] == ["1", "2"]


def test_request_that_arrived_before_the_stop_is_answered(server):
    """Guards against closing a connection whose request has arrived."""
    address = ("127.0.0.1", server.port)
    request = b"GET /late HTTP/1.1\r\n" + HOST + b"\r\n"
    with socket.create_connection(address, 20) as connection:
        connection.sendall(request)
        assert b"x-path: /late" in connection.recv(65536)
        # Without this call, a fast server thread would answer the request
        # before the stop and, correctly, keep the connection open.
        server.disable_keep_alive()
        connection.sendall(request)
        assert server.drain(clock.Milliseconds(10_000))
        received = connection.recv(65536)
    assert b"x-path: /late" in received
    assert b"connection: close" in received
