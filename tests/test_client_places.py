"""Places for client connections: who takes one, who waits for one, and who loses one."""

from __future__ import annotations

import socket as native_socket
import struct

import gevent
import pytest

from hollowhitch import __main__ as program
from hollowhitch import config as configuration
from hollowhitch.protocol import frames
from tests import sample_config
from tests.test_proxy import ROW, Client, ScriptedEngine, answer_rows, request_frame

PLACES = 12
GONE_CLIENTS = 3 * PLACES
RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection


@pytest.fixture
def start_proxy():
    """Return a function that starts a proxy with PLACES places for clients and one engine."""
    proxies = []

    def start(respond=answer_rows) -> tuple[program.Proxy, ScriptedEngine]:
        engine = ScriptedEngine(respond)
        members = [sample_config.make_member("e", engine.port)]
        config = configuration.parse_config(sample_config.make_config(*members), {})
        object.__setattr__(config, "clients_most", PLACES)
        proxy = program.Proxy(config)
        proxy.start()
        proxies.append(proxy)
        return proxy, engine

    with gevent.Timeout(30):
        yield start
    for proxy in proxies:
        proxy.frontend.stop_accepting()


def ref(number: int) -> str:
    return f"{number:016x}"


def connect_send_and_go(proxy: program.Proxy, number: int, resets: bool) -> None:
    """Be a client that sends a request and goes, without letting the proxy run meanwhile."""
    with native_socket.create_connection(proxy.frontend.address) as sock:
        sock.sendall(request_frame(1, b"select 1 from s_3.t", ref=ref(number)))
        if resets:
            sock.setsockopt(native_socket.SOL_SOCKET, native_socket.SO_LINGER, RESET)


# Guards against clients that send and go, which took all places: requests of others were closed unread.
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_clients_that_have_gone_before_they_are_accepted_take_no_place(start_proxy, resets):
    proxy, engine = start_proxy()
    usual = Client(proxy)
    usual.send_request(1, ref=ref(1))
    assert usual.read_answer() == (1, frames.SERVED, ROW)
    for number in range(GONE_CLIENTS):
        connect_send_and_go(proxy, 100 + number, resets)
    newcomer = Client(proxy)
    newcomer.send_request(1, ref=ref(2))
    assert newcomer.read_answer() == (1, frames.SERVED, ROW)
    usual.send_request(2, ref=ref(3))
    assert usual.read_answer() == (2, frames.SERVED, ROW)
    assert len([line for line in engine.received_lines if line.startswith("REQ")]) == 3
    assert proxy.metrics.abandoned_connections.values["before accept"] == GONE_CLIENTS


# Guards against the same by clients that go after their connections were accepted.
def test_a_client_that_has_gone_loses_its_place_before_others_do(start_proxy):
    proxy, _ = start_proxy()
    usual = Client(proxy)
    usual.send_request(1, ref=ref(1))
    assert usual.read_answer() == (1, frames.SERVED, ROW)
    others = [native_socket.create_connection(proxy.frontend.address) for _ in range(PLACES - 1)]
    while len(proxy.frontend.connections) < PLACES:
        gevent.sleep(0.001)
    for number, other in enumerate(others):
        other.sendall(request_frame(1, b"select 1 from s_3.t", ref=ref(100 + number)))
        other.close()
    newcomer = native_socket.create_connection(proxy.frontend.address)
    proxy.frontend._make_room()  # as when the newcomer is accepted before the closes are read
    assert len(proxy.frontend.connections) == 1
    usual.send_request(2, ref=ref(2))
    assert usual.read_answer() == (2, frames.SERVED, ROW)
    newcomer.close()


# Guards against clients that exceed the limit of open requests and keep places that others lose.
def test_a_client_with_too_many_requests_at_once_loses_its_place_before_others_do(start_proxy):
    proxy, _ = start_proxy(lambda verb, query_ref: b"")
    usual = Client(proxy)
    usual.send(frames.READINESS_CHECK, 0, b"\0")
    assert usual.read_frame()[0] == frames.READY
    others = [Client(proxy) for _ in range(PLACES - 1)]
    for n, other in enumerate(others):
        streams = range(1, frames.MAX_OPEN_REQUESTS + 9)
        requests = [
            request_frame(stream, b"select 1 from s_3.t", ref=ref(1000 * n + stream)) for stream in streams
        ]
        other.sock.sendall(b"".join(requests))
    while (
        sum(connection.protocol.has_exceeded_limit for connection in proxy.frontend.connections) < PLACES - 1
    ):
        gevent.sleep(0.001)
    newcomer = Client(proxy)
    for client in (newcomer, usual):
        client.send(frames.READINESS_CHECK, 0, b"\0")
        assert client.read_frame()[0] == frames.READY
    assert not proxy.metrics.violations.values


def fill_all_places(proxy: program.Proxy) -> list[Client]:
    """Return clients that write a request, so that none of them may lose its place."""
    clients = [Client(proxy) for _ in range(PLACES)]
    while len(proxy.frontend.connections) < PLACES:
        gevent.sleep(0.001)
    for client in clients:
        client.sock.sendall(request_frame(1, b"select 1 from s_3.t")[:30])
    while any(not len(connection.protocol.buffer) for connection in proxy.frontend.connections):
        gevent.sleep(0.001)
    return clients


# Guards against a request on a new connection that is closed unread, although a place becomes free soon.
def test_a_new_connection_waits_for_a_place_while_all_are_in_use(start_proxy):
    proxy, _ = start_proxy()
    others = fill_all_places(proxy)
    newcomer = Client(proxy)
    newcomer.send_request(1, ref=ref(1))
    gevent.sleep(0.02)
    others[0].sock.close()
    assert newcomer.read_answer() == (1, frames.SERVED, ROW)


# Guards against connections that wait for a place without end, while their clients' time runs out.
def test_a_new_connection_is_closed_if_no_place_becomes_free(start_proxy):
    proxy, _ = start_proxy()
    others = fill_all_places(proxy)
    assert Client(proxy).read_frame() is None
    assert len(proxy.frontend.connections) == PLACES == len(others)


# Guards against a connection that is forgotten when the process stops to accept while it waits for a place.
def test_a_connection_that_waits_for_a_place_is_served_when_the_listener_closes(start_proxy):
    proxy, _ = start_proxy()
    others = fill_all_places(proxy)
    newcomer = Client(proxy)
    newcomer.send(frames.READINESS_CHECK, 0, b"\0")
    gevent.sleep(0.02)
    others[0].sock.close()
    proxy.frontend.stop_accepting()
    assert newcomer.read_frame()[0] == frames.READY
