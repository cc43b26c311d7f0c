"""The whole proxy on loopback sockets, with scripted engines. No test checks how long something takes."""

from __future__ import annotations

import contextlib
import dataclasses
import gc
import json
import os
import re
import signal
import struct
import subprocess
import sys
import time
import weakref
from collections.abc import Callable

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from hollowhitch import __main__ as program
from hollowhitch import config as configuration
from hollowhitch import log
from hollowhitch.metrics import Metrics
from hollowhitch.net import client_activity, engine_pools, frontend, input_scheduler, turns
from hollowhitch.net.dial import dial
from hollowhitch.net.input_scheduler import InputScheduler
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.memory_budget import MemoryBudget
from hollowhitch.net.receive_times import Receiver
from hollowhitch.net.request_queue import RequestQueue
from hollowhitch.net.send_queue import SendQueue
from hollowhitch.net.timers import Timers
from hollowhitch.protocol import frames
from hollowhitch.protocol.channel import parse_command
from hollowhitch.shutdown import ShutdownPlan
from tests import sample_config

FIELDS = {"service": "q", "ref": "00000000000000aa", "allow": "6000"}
ROW = b"a\tb\tc\n"
MAX_EXCESS_WAIT_MS = 150  # by which the time that an engine is given may exceed what the client has left
# Takes the verb and the ref of a line that an engine received, and returns the bytes of its answer.
Responder = Callable[[str, str], bytes]


class ScriptedEngine:
    """Engine that sends what its `Responder` returns; it resets the connection if that is None."""

    def __init__(self, respond: Responder) -> None:
        self.respond, self.received_lines, self.statements = respond, [], []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.port = self.server.server_port

    def serve(self, sock: socket.socket, _: object) -> None:
        lines = sock.makefile("rb")
        while line := lines.readline():
            words = line.decode().split()
            self.received_lines.append(line.decode().strip())
            if words[0] == "REQ":
                self.statements.append(lines.read(int(words[-1]) + 2)[:-2])
            answer = self.respond(words[0], words[1])
            if answer is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                return
            sock.sendall(answer)

    def wait_for_line(self, verb: str) -> None:
        """Wait until a line that starts with `verb` has been received."""
        while not any(line.startswith(verb) for line in self.received_lines):
            gevent.sleep(0.001)


def format_answer(ref: str, word: str, fields: str = "-", body: bytes = b"") -> bytes:
    return f"{ref} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


def answer_rows(verb: str, ref: str) -> bytes:
    return format_answer(ref, "data", "fetches=1,stats=cpu:0.1", ROW) if verb == "REQ" else b""


def answer_nothing(verb: str, ref: str) -> bytes:
    return b""


def request_frame(stream: int, statement: bytes, **changes: str) -> bytes:
    """Return a request with `FIELDS`, changed by `changes`."""
    payload = frames.format_fields({**FIELDS, **changes}) + statement
    return frames.format_frame(frames.REQUEST, stream, payload)


class Client:
    """Client with one connection to the proxy; its reads block until a whole frame has arrived."""

    def __init__(self, proxy: program.Proxy) -> None:
        self.sock = socket.create_connection(proxy.frontend.address)

    def send(self, frame_type: int, stream: int, payload: bytes = b"") -> None:
        self.sock.sendall(frames.format_frame(frame_type, stream, payload))

    def send_request(self, stream: int, body: bytes = b"select 1 from s_3.t", **changes: str) -> None:
        """Send a request with `FIELDS`, changed by `changes`."""
        self.sock.sendall(request_frame(stream, body, **changes))

    def read_frame(self) -> tuple[int, int, bytes] | None:
        """Return type, stream and payload of the next frame, or None if the proxy has closed."""
        header = self._read_exactly(9)
        if header is None:
            return None
        length, frame_type, stream = frames.HEADER.unpack(header)
        return frame_type, stream, self._read_exactly(length - 5)

    def read_answer(self) -> tuple[int, int, bytes]:
        """Return stream, code and body of the next frame, which has to be an answer."""
        frame_type, stream, payload = self.read_frame()
        assert frame_type == frames.ANSWER
        _, size = frames.parse_fields(payload[1:])
        return stream, payload[0], payload[1 + size :]

    def _read_exactly(self, count: int) -> bytes | None:
        data = b""
        while len(data) < count:
            chunk = self.sock.recv(count - len(data))
            if not chunk:
                return None
            data += chunk
        return data


@pytest.fixture
def start_proxy(monkeypatch):
    """Return a function that starts a proxy with one engine for each responder, and returns both."""
    monkeypatch.setattr(program, "plan_shutdown", lambda classes: ShutdownPlan(0.05, 5.0, 5.2))
    proxies = []

    def start(*responders: Responder) -> tuple[program.Proxy, list[ScriptedEngine]]:
        engines = [ScriptedEngine(r) for r in responders]
        members = [sample_config.make_member(f"e{i}", e.port) for i, e in enumerate(engines)]
        proxy = program.Proxy(configuration.parse_config(sample_config.make_config(*members), {}))
        proxy.start()
        proxies.append(proxy)
        return proxy, engines

    with gevent.Timeout(30):
        yield start
    for proxy in proxies:
        proxy.frontend.stop_accepting()


def test_a_request_is_served_with_all_its_pages(start_proxy):
    def respond(verb, ref):
        if verb == "REQ":
            return format_answer(ref, "data", "fetches=2", b"1" + ROW)
        return format_answer(ref, "page", "fetch_no=1", b"2" + ROW)

    proxy, (engine,) = start_proxy(respond)
    client = Client(proxy)
    client.send_request(1, b"select 1 from s_3.t")
    assert client.read_answer() == (1, frames.SERVED, b"1" + ROW + b"2" + ROW)
    assert engine.statements == [b"select 1 from s_3.t"] and "class=q,wait=" in engine.received_lines[0]


@pytest.mark.parametrize(
    "respond_first",
    [
        lambda first_verb, first_ref: None,
        lambda first_verb, first_ref: b"no answer at all\r\n",
        lambda first_verb, first_ref: format_answer(first_ref, "full"),
    ],
)
def test_a_safe_query_goes_to_another_engine_when_one_fails(start_proxy, respond_first):
    verbs = []

    def respond(verb, ref):
        verbs.append(verb)
        return respond_first(verb, ref) if len(verbs) == 1 else answer_rows(verb, ref)

    proxy, _ = start_proxy(respond, respond)
    client = Client(proxy)
    client.send_request(1)
    assert client.read_answer() == (1, frames.SERVED, ROW)


def test_queries_for_an_engine_that_refuses_connections_are_served_by_another(start_proxy):
    proxy, (engine, other) = start_proxy(answer_nothing, answer_rows)
    engine.server.stop()
    client = Client(proxy)
    for stream in range(1, 9):
        client.send_request(stream, ref=f"{stream:016x}")
    assert {client.read_answer()[:2] for _ in range(8)} == {(n, frames.SERVED) for n in range(1, 9)}


def test_a_cancelled_request_gets_no_answer_and_its_engine_is_told_to_stop(start_proxy):
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    client.send(frames.CANCEL, 1)
    engine.wait_for_line("STOP")
    client.send(frames.READINESS_CHECK, 9)
    assert client.read_frame() == (frames.READY, 9, bytes([frames.IS_READY, 0]))
    assert proxy.gateway.unanswered_count == 0


def test_a_disconnect_is_reported_to_the_gateway(start_proxy, monkeypatch):
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    abandoned_queries = []
    monkeypatch.setattr(proxy.gateway, "client_left", abandoned_queries.append)
    client.sock.close()
    while not abandoned_queries:
        gevent.sleep(0.001)
    assert [q.ref for q in abandoned_queries] == [FIELDS["ref"]]


def test_bad_requests_are_answered_on_their_stream_and_bad_frames_on_stream_0(start_proxy):
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    client.send_request(1, service="ghost")
    assert client.read_answer()[:2] == (1, frames.FAILED)
    client.send(frames.REQUEST, 2, b"\x09")
    assert client.read_answer()[:2] == (2, frames.FAILED)
    client.send_request(2)
    assert client.read_answer()[:2] == (0, frames.FAILED)  # stream 2 was already used
    client.send_request(3)
    client.sock.sendall(b"\xff\xff\xff\xff\x01")
    assert {client.read_answer()[:2] for _ in range(2)} == {(0, frames.FAILED), (3, frames.SERVED)}
    assert client.read_frame() is None


def test_an_exception_while_handling_a_request_fails_only_that_request(start_proxy, monkeypatch):
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    monkeypatch.setattr(frames, "find_data_set", lambda statement: 1 / 0)
    client.send_request(1)
    assert client.read_answer()[:2] == (1, frames.FAILED)
    monkeypatch.undo()
    client.send_request(2)
    assert client.read_answer()[:2] == (2, frames.SERVED)


# Guards against the work of looking through a long statement for a request that can't be accepted anyway.
def test_the_statement_of_an_unusable_request_is_not_looked_at(start_proxy, monkeypatch):
    monkeypatch.setattr(frames, "find_data_set", lambda statement: 1 / 0)
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    client.send_request(1, service="nonesuch")
    assert client.read_answer() == (1, frames.FAILED, b"service 'nonesuch' is unknown")


def test_a_late_answer_to_an_old_attempt_is_not_taken_for_that_of_a_new_one(start_proxy):
    """A ref is sent to the same engine again only on another connection.

    An answer to the old attempt cannot arrive there.
    """
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    client.send(frames.CANCEL, 1)
    engine.wait_for_line("STOP")
    (connection,) = proxy.engine_pools.pools["e0"].connections
    assert not connection.protocol.can_use_ref(FIELDS["ref"])
    assert connection.protocol.can_use_ref("00000000000000bb")


# Guards against an id that runs twice because it comes again after its client has left.
@pytest.mark.parametrize("leaves_by", ["cancel", "close"])
def test_a_ref_that_was_sent_is_not_accepted_again(start_proxy, leaves_by):
    proxy, (engine,) = start_proxy(answer_nothing)
    first, second = Client(proxy), Client(proxy)
    first.send_request(1)
    engine.wait_for_line("REQ")
    if leaves_by == "cancel":
        first.send(frames.CANCEL, 1)
    else:
        first.sock.close()
    engine.wait_for_line("STOP")
    engine.respond = answer_rows
    second.send_request(1)
    assert second.read_answer()[:2] == (1, frames.FAILED)
    second.send_request(2, ref="00000000000000bb")
    assert second.read_answer()[:2] == (2, frames.SERVED)
    assert [line.split()[1] for line in engine.received_lines if line.startswith("REQ")] == [
        FIELDS["ref"],
        "00000000000000bb",
    ]


def test_a_query_is_retried_if_its_answer_is_incomplete_or_missing(start_proxy, monkeypatch):
    for name in ("MAX_ANSWER_PAUSE_US", "MAX_SILENCE_US"):
        monkeypatch.setattr(engine_pools, name, 20_000)
    monkeypatch.setattr(engine_pools, "MAX_SWEEP_INTERVAL_US", 5_000)
    # The first answer stops within its header line, and the second one is missing.
    first_answers = [b"00000000000000aa data fetch", b""]

    def respond(verb, ref):
        return (first_answers.pop(0) if first_answers else answer_rows(verb, ref)) if verb == "REQ" else b""

    proxy, _ = start_proxy(respond)
    client = Client(proxy)
    client.send_request(1)
    assert client.read_answer() == (1, frames.SERVED, ROW)


def test_queries_of_a_broken_connection_are_retried_on_connections_of_their_own(start_proxy):
    """The retry of a query that makes engines close the connection must not affect other queries again."""
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    client.send_request(2, ref="00000000000000bb")
    while len(engine.statements) < 2:
        gevent.sleep(0.001)
    (connection,) = proxy.engine_pools.pools["e0"].connections
    connection.close("broken")
    while len(engine.statements) < 4:
        gevent.sleep(0.001)
    assert [len(c.attempts) for c in proxy.engine_pools.pools["e0"].connections] == [1, 1]


def test_attempts_are_spread_so_that_a_broken_connection_affects_few(start_proxy):
    proxy, (engine,) = start_proxy(answer_nothing)
    client, max_connections = Client(proxy), proxy.config.engine_sockets_most
    for n in range(1, 7):  # six queries, as many as the controller sends to one engine
        client.send_request(n, ref=f"{n:016x}")
        while len(engine.statements) < n:
            gevent.sleep(0.001)
    attempt_counts = [len(c.attempts) for c in proxy.engine_pools.pools["e0"].connections]
    assert 1 < len(attempt_counts) <= max_connections and max(attempt_counts) < 5


def record_read_sizes(monkeypatch, has_backlog: bool | None = None) -> list[int]:
    """Return a list that collects the size in bytes of each read from a client from now on.

    `has_backlog`, if given, overrides whether the readers report a backlog.
    """
    read_sizes, receive = [], Receiver.receive

    def recorded(self, buffer):
        received = receive(self, buffer)
        read_sizes.append(received.byte_count)
        return received

    monkeypatch.setattr(Receiver, "receive", recorded)
    if has_backlog is not None:
        monkeypatch.setattr(Receiver, "has_backlog", property(lambda self: has_backlog))
    return read_sizes


def test_input_after_an_invalid_frame_is_not_read_in_small_pieces(start_proxy, monkeypatch):
    """Reading such input in pieces of 4 bytes delayed all other connections: 2,000 reads took 0.5 s."""
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    read_sizes = record_read_sizes(monkeypatch, has_backlog=True)
    client.sock.sendall(b"\xff" * 40)
    assert client.read_answer()[:2] == (0, frames.FAILED)
    while not all(c.closing.is_write_shut for c in proxy.frontend.connections):
        gevent.sleep(0.001)
    read_sizes.clear()
    with contextlib.suppress(OSError):
        client.sock.sendall(b"\xff" * 1_000_000)
    while proxy.frontend.connections:
        gevent.sleep(0.001)
    assert 0 < len(read_sizes) < 50


def test_a_reader_that_always_finds_bytes_yields_to_the_others(start_proxy, monkeypatch):
    proxy, _ = start_proxy(answer_rows)
    busy_client, other_client = Client(proxy), Client(proxy)
    read_sizes = record_read_sizes(monkeypatch, has_backlog=True)
    check = frames.format_frame(frames.READINESS_CHECK, 1)
    busy_client.sock.sendall(check * 20_000)
    while not read_sizes:
        gevent.sleep(0)
    other_client.send(frames.READINESS_CHECK, 1)
    assert other_client.read_frame()[0] == frames.READY
    assert len(read_sizes) < 20_000  # all frames of `busy_client` together take 40,000 reads


def test_a_reader_that_has_read_everything_has_no_backlog(start_proxy, monkeypatch):
    """Otherwise each connection that is read late in a loop iteration reads its next frame in two pieces."""
    proxy, _ = start_proxy(answer_rows)
    client, read_sizes = Client(proxy), record_read_sizes(monkeypatch)
    for stream in range(1, 6):
        client.send(frames.READINESS_CHECK, stream)
        client.read_frame()
    assert len(read_sizes) == 5


def test_closed_connections_are_freed_without_a_garbage_collection(start_proxy, monkeypatch):
    """Otherwise the connections of hundreds of clients that send no request could exceed the memory limit.

    Garbage collections are too rare to free these connections in time.
    """
    monkeypatch.setattr(client_activity, "FRAME_TIMEOUT_S", 0.05)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.01)
    proxy, _ = start_proxy(answer_rows)
    gc.collect()
    gc.disable()
    try:
        clients = [Client(proxy) for _ in range(10)]
        while len(proxy.frontend.connections) < len(clients):
            gevent.sleep(0.001)
        connection_refs = [weakref.ref(connection) for connection in proxy.frontend.connections]
        for client in clients:
            assert client.read_answer()[:2] == (0, frames.FAILED)
            client.sock.close()
        while proxy.frontend.connections:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        # The event loop may still reference two of the connections.
        assert sum(connection_ref() is not None for connection_ref in connection_refs) <= 2
    finally:
        gc.enable()


def test_an_engine_that_has_begun_to_drain_is_sent_nothing(start_proxy, monkeypatch):
    """The engine's state is checked again just before a request is written."""
    proxy, (engine,) = start_proxy(answer_rows)
    pool, start_attempt = proxy.engine_pools.pools["e0"], proxy.engine_pools.start

    def start_then_drain(attempt):
        start_attempt(attempt)
        pool.ready = False  # as by a list update between the choice of the engine and the write

    monkeypatch.setattr(proxy.engine_pools, "start", start_then_drain)
    client = Client(proxy)
    client.send_request(1)
    assert client.read_answer()[1] == frames.REFUSED
    assert engine.received_lines == []


# Guards against a load that begins after its client has gone, where the settings forbid to cancel attempts.
def test_an_attempt_that_waits_for_a_connection_is_not_written_after_its_client_left(
    start_proxy, monkeypatch
):
    monkeypatch.setitem(sample_config.SETTINGS["bounds"], "cancel", False)
    may_connect = Event()
    monkeypatch.setattr(engine_pools, "dial", lambda *args: may_connect.wait() and dial(*args))
    proxy, (engine,) = start_proxy(answer_rows)
    client = Client(proxy)
    client.send_request(1)
    while not proxy.engine_pools.pools["e0"].pending:
        gevent.sleep(0.001)
    client.send(frames.CANCEL, 1)
    while proxy.gateway.unanswered_count:
        gevent.sleep(0.001)
    may_connect.set()
    client.send_request(2, ref="00000000000000bb")
    assert client.read_answer()[:2] == (2, frames.SERVED)
    assert [line.split()[1] for line in engine.received_lines] == ["00000000000000bb"]


# Guards against a load that runs twice because its repeat waited for a connection beyond the window.
def test_a_repeat_that_waits_for_a_connection_is_not_written_after_the_window(start_proxy, monkeypatch):
    window_s = 0.3
    monkeypatch.setitem(sample_config.SETTINGS["classes"][1], "repeatWindowUs", int(window_s * 1e6))
    may_connect, sent = Event(), []

    def reset_first(verb: str, ref: str) -> bytes | None:
        sent.append(ref)
        monkeypatch.setattr(engine_pools, "dial", lambda *args: may_connect.wait() and dial(*args))
        return None

    proxy, _ = start_proxy(reset_first, reset_first)
    client = Client(proxy)
    client.send_request(1, service="load", replay="k")
    while not any(pool.pending for pool in proxy.engine_pools.pools.values()) or not sent:
        gevent.sleep(0.001)
    gevent.sleep(window_s)
    may_connect.set()
    stream, code, _ = client.read_answer()
    assert (stream, len(sent)) == (1, 1) and code != frames.SERVED


def test_a_new_engine_at_a_reused_address_gets_connections_of_its_own(start_proxy):
    proxy, (engine, other) = start_proxy(answer_rows, answer_rows)
    client = Client(proxy)
    client.send_request(1)
    client.read_answer()
    removed = [sample_config.make_member(name, engine.port, "left") for name in ("e0", "e1")]
    proxy.apply(
        parse_command(sample_config.make_command(2, *removed, sample_config.make_member("new", engine.port)))
    )
    engine.received_lines.clear()
    client.send_request(2, ref="00000000000000bb")
    assert client.read_answer()[1] == frames.SERVED and len(engine.received_lines) == 1
    assert proxy.engine_pools.pools["new"].connections and not proxy.engine_pools.pools["e0"].ready


def test_connections_to_an_engine_process_that_was_replaced_are_closed(start_proxy):
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    restarted = sample_config.make_member("e0", engine.port, started_ms=time.time_ns() // 1_000_000 + 1)
    proxy.apply(parse_command(sample_config.make_command(2, restarted)))
    engine.respond = answer_rows
    assert client.read_answer() == (1, frames.SERVED, ROW)


def test_requests_are_handled_in_order_of_arrival(start_proxy):
    """After a stall, the loop starts with the connection that became readable last.

    Requests with the same key must still be handled in order of arrival.
    """
    proxy, (engine,) = start_proxy(answer_rows)
    clients = [Client(proxy) for _ in range(8)]
    for client in clients:
        client.send(frames.READINESS_CHECK, 1)
        client.read_frame()
    for i, client in enumerate(clients):  # sending does not switch to the proxy's greenlets
        client.send_request(2, ref=f"{i:016x}")
    for client in clients:
        client.read_answer()
    assert [line.split()[1] for line in engine.received_lines] == [f"{i:016x}" for i in range(8)]


# Guards against a load that runs after a newer one of its key because it came behind many other requests.
def test_a_request_behind_many_others_is_not_overtaken(start_proxy, monkeypatch):
    read_s, gap_s, others = 0.002, 0.09, 31
    receive = Receiver.receive

    def receive_slowly(self, buffer):
        time.sleep(read_s)  # as on a machine that is busy with the requests of many connections
        return receive(self, buffer)

    monkeypatch.setattr(Receiver, "receive", receive_slowly)
    monkeypatch.setattr(Receiver, "has_backlog", property(lambda self: True))
    proxy, (engine,) = start_proxy(answer_rows)
    many, single = Client(proxy), Client(proxy)
    for client in (many, single):
        client.send(frames.READINESS_CHECK, 1)
        client.read_frame()
    older, newer = "00000000000000aa", "00000000000000bb"
    checks = b"".join(frames.format_frame(frames.READINESS_CHECK, stream) for stream in range(2, others + 2))
    fields = {"service": "load", "lookup": "key"}
    load = request_frame(others + 2, b"select 1", ref=older, replay="k1", **fields)
    many.sock.sendall(checks + load)
    gevent.sleep(gap_s)
    single.sock.sendall(request_frame(2, b"select 1", ref=newer, replay="k2", **fields))
    while len(engine.statements) < 2:
        gevent.sleep(0.001)
    assert [line.split()[1] for line in engine.received_lines if line.startswith("REQ")] == [older, newer]


def override_limits(proxy: program.Proxy, **changes: int) -> None:
    proxy.frontend.config = dataclasses.replace(proxy.config, **changes)
    proxy.frontend.memory.limit_bytes = proxy.frontend.config.held_most


def test_silent_clients_are_closed_within_a_frame_but_not_between_requests(start_proxy, monkeypatch):
    monkeypatch.setattr(client_activity, "FRAME_TIMEOUT_S", 0.05)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.01)
    proxy, _ = start_proxy(answer_rows)
    quiet, incomplete, silent = Client(proxy), Client(proxy), Client(proxy)
    quiet.send_request(1)
    assert quiet.read_answer()[1] == frames.SERVED
    incomplete.send_request(1)
    incomplete.read_answer()
    incomplete.sock.sendall(b"\0\0\1\0\1")
    for client in (incomplete, silent):
        assert client.read_answer()[:2] == (0, frames.FAILED) and client.read_frame() is None
    quiet.send_request(2, ref="00000000000000bb")
    assert quiet.read_answer()[1] == frames.SERVED
    monkeypatch.setattr(client_activity, "IDLE_TIMEOUT_S", 0.0)
    assert quiet.read_frame() is None


def start_with_an_open_request(start_proxy) -> tuple[Client, ScriptedEngine]:
    """Return a client with an open request on stream 1, and the engine, which serves all later ones."""
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    engine.respond = answer_rows
    return client, engine


# Guards against requests that are thrown away because one ahead of them on the connection is written slowly.
def test_requests_behind_a_slowly_written_one_are_answered(start_proxy, monkeypatch):
    monkeypatch.setattr(client_activity, "FRAME_TIMEOUT_S", 0.2)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.01)
    client, engine = start_with_an_open_request(start_proxy)
    slow = request_frame(2, b"select 1".ljust(80_000), ref="00000000000000bb")
    for offset in range(0, len(slow), len(slow) // 8):
        client.sock.sendall(slow[offset : offset + len(slow) // 8])
        gevent.sleep(0.05)
    assert client.read_answer()[:2] == (2, frames.SERVED)


# Guards against complete frames that are given up because a busy process is late to handle them.
def test_frames_that_this_process_is_late_to_handle_are_not_given_up(start_proxy, monkeypatch):
    monkeypatch.setattr(client_activity, "FRAME_TIMEOUT_S", 0.05)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setattr(input_scheduler, "QUANTUM_US", 1)
    monkeypatch.setattr(input_scheduler, "READ_SHARE_US", 1)
    monkeypatch.setattr(input_scheduler, "yield_to_loop", lambda: gevent.sleep(0.01))
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    cancellations = b"".join(frames.format_frame(frames.CANCEL, stream) for stream in range(2, 32))
    client.sock.sendall(cancellations + request_frame(1, b"select 1"))
    assert client.read_answer()[:2] == (1, frames.SERVED)


# Guards against requests and cancellations that are not read because one ahead of them was given up.
def test_requests_behind_one_that_stalls_are_answered(start_proxy, monkeypatch):
    monkeypatch.setattr(client_activity, "FRAME_TIMEOUT_S", 0.05)
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 0.01)
    client, engine = start_with_an_open_request(start_proxy)
    stalled = request_frame(2, b"select 1".ljust(80_000), ref="00000000000000bb")
    client.sock.sendall(stalled[:40_000])
    assert client.read_answer()[:2] == (2, frames.REFUSED)
    gevent.sleep(0.2)
    client.sock.sendall(stalled[40_000:])
    client.send_request(3, ref="00000000000000cc")
    assert client.read_answer()[:2] == (3, frames.SERVED)
    client.send(frames.CANCEL, 1)
    engine.wait_for_line("STOP")


def test_the_longest_idle_connection_is_closed_at_the_connection_limit(start_proxy, monkeypatch):
    """Otherwise clients that keep unused connections would lock out new clients.

    The new clients' requests would not be read, although they already count as accepted.
    """
    monkeypatch.setattr(frontend, "EVICTION_BATCH", 1)
    proxy, (engine,) = start_proxy(answer_nothing)
    override_limits(proxy, clients_most=3)
    busy, first, second = Client(proxy), Client(proxy), Client(proxy)
    busy.send_request(1)
    engine.wait_for_line("REQ")
    engine.respond = answer_rows
    for n, client in enumerate((first, second)):
        client.send_request(1, ref=f"{n:016x}")
        client.read_answer()
    third = Client(proxy)
    third.send_request(1, ref="00000000000000bb")
    assert third.read_answer()[1] == frames.SERVED and first.read_frame() is None
    for n, client in enumerate((second, third)):
        client.send_request(2, ref=f"cc{n:014x}")
        assert client.read_answer()[1] == frames.SERVED


def test_a_frame_above_the_memory_limit_is_refused_from_its_header_and_not_buffered(start_proxy):
    proxy, _ = start_proxy(answer_rows)
    override_limits(proxy, held_most=100_000)
    client = Client(proxy)
    body = frames.format_fields(FIELDS) + b"select 1".ljust(200_000)
    frame = frames.format_frame(frames.REQUEST, 1, body)
    client.sock.sendall(frame[:5000])
    assert client.read_answer()[:2] == (1, frames.REFUSED)
    client.sock.sendall(frame[5000:])
    client.send_request(2)
    assert client.read_answer() == (2, frames.SERVED, ROW)
    assert all(len(c.protocol.buffer.data) < 20_000 for c in proxy.frontend.connections)


def test_large_statements_above_the_memory_limit_are_refused(start_proxy):
    """A refusal does no harm, but a proxy that exceeds its memory limit is killed."""
    proxy, (engine,) = start_proxy(answer_nothing)
    override_limits(proxy, held_most=700_000)
    client, second = Client(proxy), Client(proxy)
    client.send_request(1, b"select 1".ljust(200_000))
    engine.wait_for_line("REQ")
    second.send_request(2, b"select 1".ljust(200_000), ref="00000000000000bb")
    assert second.read_answer()[:2] == (2, frames.REFUSED)
    client.send(frames.CANCEL, 1)
    engine.wait_for_line("STOP")
    assert proxy.frontend.memory.held_bytes == 0


# Guards against a request without an answer in time because its turn to be started does not come.
def test_a_request_that_is_not_started_is_refused_in_its_time(start_proxy, monkeypatch):
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    monkeypatch.setattr(RequestQueue, "run", lambda queue, duration_us: None)
    with gevent.Timeout(0.5):
        client.send_request(1, allow="40")
        assert client.read_answer()[:2] == (1, frames.REFUSED)


# Guards against requests with time left that are refused because the process has stalled before their read.
def test_a_stall_before_the_read_does_not_count_as_time_in_the_queue(start_proxy, monkeypatch):
    stall_s, pause_s = 1.2, 0.05
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    client.send(frames.READINESS_CHECK, 1)
    client.read_frame()
    client.send_request(2)
    time.sleep(stall_s)
    starts_at, run = time.monotonic() + pause_s, RequestQueue.run
    monkeypatch.setattr(
        RequestQueue, "run", lambda queue, us: run(queue, us) if time.monotonic() > starts_at else 0
    )
    assert client.read_answer()[:2] == (2, frames.SERVED)


# Guards against requests that are ended because input of their client has waited while the process stalled.
def test_input_that_waited_during_a_stall_is_read_before_requests_are_ended(start_proxy, monkeypatch):
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    client.send_request(2, ref="00000000000000bb")
    while len(engine.statements) < 2:
        gevent.sleep(0.001)
    (connection,) = proxy.frontend.connections
    monkeypatch.setattr(InputScheduler, "_run_pass", lambda scheduler: None)
    monkeypatch.setattr(LoopMonitor, "unpolled_time_us", 1_000_000)
    client.send(frames.CANCEL, 1)
    while not connection.reader.may_hide_cancellation:
        gevent.sleep(0.001)
    connection.check_client()
    assert list(connection.queries) == [2]


# Guards against engines that are given time which a request has spent in the kernel's queue of connections.
def test_the_time_in_a_long_queue_of_new_connections_counts(start_proxy, monkeypatch):
    count, interval_s = 20, 0.03
    monkeypatch.setattr(turns, "TURN_S", 0.0)
    monkeypatch.setattr(turns, "yield_to_loop", lambda: gevent.sleep(interval_s))
    proxy, (engine,) = start_proxy(answer_rows)
    clients = [Client(proxy) for _ in range(count)]
    for number, client in enumerate(clients):
        client.send_request(1, ref=f"{number:016x}")
    assert clients[-1].read_answer()[:2] == (1, frames.SERVED)
    waits_ms = [int(re.search(r"wait=(\d+)", line)[1]) for line in engine.received_lines]
    waited_ms = (count - 1) * interval_s * 1000
    assert min(waits_ms) <= int(FIELDS["allow"]) - waited_ms + MAX_EXCESS_WAIT_MS


# Guards against a refusal, after which a client may send again, that becomes a failure for lack of memory.
def test_a_refusal_stays_a_refusal_while_memory_is_exhausted(start_proxy, monkeypatch):
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    monkeypatch.setattr(SendQueue, "full", True)
    monkeypatch.setattr(MemoryBudget, "is_exhausted", True)
    client.send_request(1)
    assert client.read_answer()[:2] == (1, frames.REFUSED)


def test_an_attempt_cancelled_while_its_connection_closes_may_have_run(start_proxy):
    """The controller may cancel an attempt after its connection broke, but before it is told of that.

    Such an attempt must not count as unsent.
    """
    proxy, (engine,) = start_proxy(answer_nothing)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    (query,) = proxy.gateway.queries.values()
    (connection,) = proxy.engine_pools.pools["e0"].connections
    connection.close("broken")
    assert not query.attempts[0].ended and proxy.engine_pools.cancel(query.attempts[0], lambda: None)


def test_dialing_uses_no_resolver(start_proxy, monkeypatch):
    """A resolver thread would delay the first query on each engine by 25 ms."""
    monkeypatch.setattr(gevent.get_hub().resolver, "getaddrinfo", lambda *a, **k: 1 / 0)
    proxy, (engine,) = start_proxy(answer_rows)
    with dial(("127.0.0.1", engine.port), 5, Metrics()) as sock:
        assert sock.getpeername()[1] == engine.port
    engine.server.stop()
    with pytest.raises(OSError):
        dial(("127.0.0.1", engine.port), 5, Metrics())


def test_delayed_calls_run_in_order_unless_cancelled():
    timers, calls, done = Timers(), [], Event()
    cancelled_call = timers.call_later(0.02, lambda: calls.append("cancelled"))
    timers.call_later(0.03, done.set)
    timers.call_later(0.01, lambda: (calls.append("first"), cancelled_call.cancel()))
    timers.call_later(0.0, lambda: 1 / 0)  # a failing call must not prevent the others
    assert done.wait(30) and calls == ["first"]


def test_a_slow_client_delays_only_itself(start_proxy):
    proxy, _ = start_proxy(
        lambda verb, ref: format_answer(ref, "data", "fetches=1", ROW * 900) if verb == "REQ" else b""
    )
    slow, quick = Client(proxy), Client(proxy)
    slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for stream in range(1, 25):
        slow.send_request(stream, ref=f"{stream:016x}")
    quick.send_request(1)
    assert quick.read_answer()[:2] == (1, frames.SERVED)


def test_a_stopping_proxy_answers_the_requests_that_it_accepted(start_proxy):
    proxy, (engine,) = start_proxy(answer_nothing)
    busy_client, idle_client = Client(proxy), Client(proxy)
    busy_client.send_request(1)
    engine.wait_for_line("REQ")
    shutdown = gevent.spawn(proxy.shut_down)
    assert (
        busy_client.read_frame() == (frames.CLOSING, 0, b"") and idle_client.read_frame()[0] == frames.CLOSING
    )
    idle_client.send(frames.READINESS_CHECK, 1)
    assert idle_client.read_frame()[2][0] == frames.NOT_READY
    engine.respond = answer_rows
    idle_client.send_request(2, ref="00000000000000bb")  # as if sent before CLOSING arrived
    assert idle_client.read_answer() == (2, frames.SERVED, ROW)
    busy_client.send(frames.CANCEL, 1)
    shutdown.join()
    assert busy_client.read_frame() is None


def test_a_failure_at_one_connection_does_not_delay_the_close_of_the_others(start_proxy, monkeypatch):
    monkeypatch.setattr(program, "plan_shutdown", lambda classes: ShutdownPlan(0.05, 5.0, 5.1))
    proxy, _ = start_proxy(answer_rows)
    clients = [Client(proxy) for _ in range(6)]
    while len(proxy.frontend.connections) < len(clients):
        gevent.sleep(0.001)

    def fail(*_: object) -> None:
        raise RuntimeError("a bug")

    failing, *others = proxy.frontend.connections
    monkeypatch.setattr(failing, "apply_stage", fail)
    proxy.stop()
    gevent.sleep(0.06)
    proxy.frontend.enforce_lifecycle()
    assert all(connection.is_closing for connection in others)


def test_an_attempt_counts_as_stopped_only_when_its_stop_has_left_the_process(start_proxy):
    def read_nothing_more(verb, ref):
        gevent.sleep(5.0)
        return b""

    proxy, (engine,) = start_proxy(read_nothing_more)
    client = Client(proxy)
    client.send_request(1)
    engine.wait_for_line("REQ")
    (connection,) = proxy.engine_pools.pools["e0"].connections
    (attempt,) = connection.attempts.values()
    connection.send_queue.put(b"x" * 20_000_000)  # more than the socket buffers hold
    stopped = Event()
    assert proxy.engine_pools.cancel(attempt, stopped.set)
    assert not stopped.wait(0.2) and not connection.closed
    assert stopped.wait(1.0) and connection.closed


def test_a_client_that_reads_nothing_does_not_keep_the_proxy_from_exiting(start_proxy, monkeypatch):
    monkeypatch.setattr(program, "plan_shutdown", lambda classes: ShutdownPlan(0.05, 0.1, 0.15))
    proxy, _ = start_proxy(answer_rows)
    silent = Client(proxy)
    silent.send(frames.READINESS_CHECK, 1)
    silent.read_frame()
    (connection,) = proxy.frontend.connections
    connection.send_queue.put(b"x" * 20_000_000)  # more than the socket buffers hold
    gevent.spawn(proxy.shut_down).join()
    assert not connection.send_queue.idle


def test_sighup_applies_the_new_channel_and_nothing_from_an_invalid_file(start_proxy, tmp_path, capsys):
    proxy, _ = start_proxy(answer_rows)
    path = tmp_path / "c.json"
    env = {"ROUTER_CONFIG": str(path)}
    log.configure()
    followed = []
    proxy.channel.follow = followed.append
    for changes in ({"channel": "127.0.0.1:9"}, {"channel": "nowhere"}):
        path.write_text(json.dumps(sample_config.make_config(**changes)))
        proxy.reload_config(env)
    path.write_text("{")
    proxy.reload_config(env)
    assert followed == [("127.0.0.1", 9)]
    output = capsys.readouterr().err
    assert "keeping the previous configuration" in output
    assert "channel: 'nowhere' is not host:port" in output and "is not JSON" in output


# Guards against a process that follows the channel, but sends nothing for want of a subscription.
def test_requests_are_served_where_the_settings_want_a_subscription(start_proxy, monkeypatch):
    monkeypatch.setitem(sample_config.SETTINGS, "discovery", "subscribe")
    monkeypatch.setitem(sample_config.SETTINGS["rules"], "mustAskInUs", 1)
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    client.send_request(1)
    assert client.read_answer()[:2] == (1, frames.SERVED)


def test_the_program_survives_sighup_and_exits_with_0_after_sigterm(tmp_path):
    path = tmp_path / "c.json"
    path.write_text(json.dumps(sample_config.make_config(sample_config.make_member("e0", 1))))
    env = {**os.environ, "ROUTER_CONFIG": str(path)}
    process = subprocess.Popen([sys.executable, "-m", "hollowhitch"], env=env, stderr=subprocess.PIPE)
    try:
        host, _, port = process.stderr.readline().decode().split("address=")[-1].strip().rpartition(":")
        sock = socket.create_connection((host, int(port)))
        process.send_signal(signal.SIGHUP)
        while "configuration reloaded" not in (line := process.stderr.readline().decode()):
            assert line
        process.send_signal(signal.SIGTERM)
        assert sock.recv(9) == frames.format_frame(frames.CLOSING, 0)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.stderr.close()
