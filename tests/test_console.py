"""Operator console: parsing, routes, and responses while other operators keep their connections open."""

from __future__ import annotations

import contextlib
import errno
import socket as native_socket
import time

import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.clock import Clock
from hollowhitch.console import routes, server
from hollowhitch.console.protocol import (
    MAX_BODY_BYTES,
    MAX_REQUEST_BYTES,
    Request,
    RequestError,
    RequestParser,
)
from hollowhitch.console.server import Console
from hollowhitch.metrics import Metrics
from tests.conftest import random_chunks

MAX_RESPONSE_S = 1.0  # time limit for a response


class Operations:
    """Operations that are only recorded."""

    def __init__(self) -> None:
        self.performed: list[str] = []
        self.accepted = True  # result of each operation

    def ready(self) -> bool:
        return self.accepted

    def drain(self) -> bool:
        self.performed.append("drain")
        return self.accepted

    def undrain(self) -> bool:
        self.performed.append("undrain")
        return self.accepted

    def disable(self, engine: str) -> bool:
        self.performed.append(f"disable {engine}")
        return self.accepted

    def enable(self, engine: str) -> bool:
        self.performed.append(f"enable {engine}")
        return self.accepted


def http_request(method: str, path: str, body: bytes = b"") -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@given(st.data())
def test_request_is_parsed_however_it_is_split(data):
    parser, request = RequestParser(), None
    for piece in random_chunks(data, http_request("POST", "/databases/disable?x=1", b"s-1")):
        assert request is None
        request = parser.feed(piece)
    assert request == Request("POST", "/databases/disable", b"s-1")


def test_chunked_body_is_parsed():
    raw = b"POST /drain HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    assert RequestParser().feed(raw) == Request("POST", "/drain", b"abc")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\0\0\0\5\4\0\0\0\1", 400),
        (b"GET /ready HTTP/1.1\r\nContent-Length: nine\r\n\r\n", 400),
        (b"GET /" + b"x" * MAX_REQUEST_BYTES, 413),
        (http_request("POST", "/databases/disable", b"x" * (MAX_BODY_BYTES + 1)), 413),
    ],
)
def test_invalid_request_is_rejected_with_a_status(raw, status):
    with pytest.raises(RequestError) as raised:
        RequestParser().feed(raw)
    assert raised.value.response.status == status


@given(st.lists(st.binary(max_size=200), max_size=20))
def test_any_bytes_are_a_request_an_error_or_incomplete(chunks):
    parser = RequestParser()
    with contextlib.suppress(RequestError):
        for chunk in chunks:
            parser.feed(chunk)


@pytest.mark.parametrize(
    ("request_", "accepted", "status", "performed"),
    [
        (Request("GET", "/ready", b""), True, 200, []),
        (Request("GET", "/ready", b""), False, 503, []),
        (Request("POST", "/ready", b""), True, 405, []),
        (Request("GET", "/drain", b""), True, 405, []),
        (Request("POST", "/drain", b""), True, 200, ["drain"]),
        (Request("POST", "/undrain", b""), True, 200, ["undrain"]),
        (Request("POST", "/undrain", b""), False, 409, ["undrain"]),
        (Request("POST", "/databases/disable", b"s-1\n"), True, 200, ["disable s-1"]),
        (Request("POST", "/databases/enable", b"s-1"), True, 200, ["enable s-1"]),
        (Request("POST", "/databases/enable", b"s-1"), False, 404, ["enable s-1"]),
        (Request("POST", "/databases/disable", b""), True, 400, []),
        (Request("POST", "/databases/disable", b"a b"), True, 400, []),
        (Request("POST", "/databases/disable", b"\xff\n\xff"), True, 400, []),
        (Request("GET", "/elsewhere", b""), True, 404, []),
    ],
)
def test_each_request_is_answered(request_, accepted, status, performed):
    operations = Operations()
    operations.accepted = accepted
    response = routes.handle(operations, request_)
    assert (response.status, operations.performed) == (status, performed) and "\n" not in response.text


@pytest.fixture
def console():
    operations = Operations()
    running = Console(("127.0.0.1", 0), operations, 8, Metrics(), Clock())
    running.start()
    running.operations = operations
    with gevent.Timeout(20):
        yield running
    running.close()


def send(console: Console, raw: bytes) -> tuple[int, float]:
    """Return the status of the response, and the seconds until all of it was received."""
    started_at_s, response = time.monotonic(), b""
    with socket.create_connection(console.address) as sock:
        sock.sendall(raw)
        while data := sock.recv(4096):
            response += data
    return int(response.split()[1]), time.monotonic() - started_at_s


def test_request_is_answered_and_its_connection_closed(console):
    assert send(console, http_request("POST", "/drain"))[0] == 200
    assert console.operations.performed == ["drain"]


@pytest.mark.parametrize("sent", [b"", b"POST /drain HTT", http_request("GET", "/ready")])
def test_operators_that_keep_connections_open_do_not_delay_others(console, sent):
    open_sockets = [socket.create_connection(console.address) for _ in range(64)]
    for open_socket in open_sockets:
        open_socket.sendall(sent)
    gevent.sleep(0.05)
    status, seconds = send(console, http_request("GET", "/ready"))
    assert status == 200 and seconds < MAX_RESPONSE_S
    for open_socket in open_sockets:
        with contextlib.suppress(ConnectionResetError):
            while open_socket.recv(4096):  # until the console closes it
                pass
    assert console.operations.performed == []


def test_oversized_request_is_answered_while_its_body_still_arrives(console):
    with socket.create_connection(console.address) as sock:
        sock.sendall(http_request("POST", "/drain", b"x" * 100_000))
        assert sock.recv(4096).startswith(b"HTTP/1.1 413 ")


def test_internal_error_is_answered(console, monkeypatch):
    monkeypatch.setattr(server, "handle", lambda operations, request: 1 / 0)
    assert send(console, http_request("GET", "/ready"))[0] == 500


@pytest.mark.parametrize("error_number", [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS])
def test_request_is_answered_after_temporary_accept_errors(console, monkeypatch, error_number):
    errors, accept = [error_number] * 10, native_socket.socket.accept

    def failing_accept(self):
        if errors:
            raise OSError(errors.pop(), "temporary")
        return accept(self)

    monkeypatch.setattr(native_socket.socket, "accept", failing_accept)
    status, seconds = send(console, http_request("GET", "/ready"))
    assert status == 200 and seconds < MAX_RESPONSE_S and not errors
