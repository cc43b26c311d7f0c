"""Command channel: each event is applied once and in order, however it arrives."""

from __future__ import annotations

import gevent
import pytest
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.metrics import Metrics
from hollowhitch.net import channel
from hollowhitch.net.channel import MAX_EVENT_FAILURES, ChannelClient
from hollowhitch.policy.interface import EngineState, ListKind
from hollowhitch.protocol.channel import ChannelError, ChannelProtocol, ServerEvent, decode_event

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
MEMBER = (
    '{"id":"s-1","host_port":"10.1.0.9:8443","locality":"east","flavor":"std","cell":2,"phase":"%s",'
    '"size":4,"up_since_ms":7}'
)


def event(cursor: int, phase: str = "active") -> ServerEvent:
    body = f'{{"cursor":{cursor},"nodes":{{"revision":1,"complete":false,"members":[{MEMBER % phase}]}}}}'
    return ServerEvent(str(cursor), body)


def chunk(text: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


@given(st.lists(st.integers(1, 60), max_size=8))
def test_events_are_parsed_however_the_bytes_are_split(cuts):
    text = "".join(f": comment\r\n\r\nid: {n}\ndata: {event(n).data}\n\n" for n in (1, 2))
    raw = HEAD + chunk(text[:70]) + chunk(text[70:]) + b"0\r\n\r\n"
    protocol, events = ChannelProtocol(), []
    for cut in cuts:
        events += protocol.feed(raw[:cut])
        raw = raw[cut:]
    events += protocol.feed(raw)
    assert events == [event(1), event(2)] and protocol.ended


def test_list_change_is_parsed():
    command = decode_event(event(4, "leaving"))
    (engine,) = command.engines.engines
    assert command.engines.kind is ListKind.DELTA and command.addresses == {"s-1": ("10.1.0.9", 8443)}
    assert (engine.state, engine.started_at_us, engine.cell) == (EngineState.DRAINING, 7000, 2)


@pytest.mark.parametrize("raw", [b"HTTP/1.1 503 No\r\n\r\n", b"garbage\r\n\r\n"])
def test_invalid_response_is_an_error(raw):
    with pytest.raises(ChannelError):
        ChannelProtocol().feed(raw)


def test_reconnect_delays_differ_by_seed_and_never_exceed_the_backoff():
    delays_s = [
        ChannelClient(0, lambda command: None, Metrics(), seed).jittered_delay_s(0.5) for seed in range(40)
    ]
    assert all(0.25 <= delay_s <= 0.5 for delay_s in delays_s)
    assert max(sum(abs(a - b) < 0.01 for b in delays_s) for a in delays_s) < 10


def make_client() -> tuple[ChannelClient, list[int]]:
    applied: list[int] = []
    return ChannelClient(3, lambda command: applied.append(command.cursor), Metrics()), applied


def test_each_event_is_applied_once():
    client, applied = make_client()
    for n in (2, 3, 4, 4, 5):
        client.process_event(event(n))
    assert applied == [4, 5] and client.cursor == 5


def test_gap_is_requested_again_once():
    client, applied = make_client()
    with pytest.raises(ChannelError):
        client.process_event(event(6))
    client.process_event(event(6))
    assert applied == [6]


def test_client_reconnects_at_its_cursor_after_an_end_and_after_silence(monkeypatch):
    monkeypatch.setattr(channel, "READ_TIMEOUT_S", 0.05)
    last_event_ids: list[bytes] = []

    def serve(sock, _) -> None:
        last_event_ids.append(
            next(line for line in sock.recv(4096).split(b"\r\n") if line.startswith(b"Last-Event-ID"))
        )
        n = len(last_event_ids)
        text = "".join(f"id: {c}\ndata: {event(c).data}\n\n" for c in (2 + n, 3 + n))
        sock.sendall(HEAD + chunk(text))
        if n > 1:  # the first connection is closed, later ones stay open without further events
            gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client, applied = make_client()
    with gevent.Timeout(30):
        client.follow(server.address)
        while len(last_event_ids) < 3:
            gevent.sleep(0.001)
    client.follow(None)
    server.stop()
    assert last_event_ids[:3] == [b"Last-Event-ID: %d" % n for n in (3, 4, 5)] and applied[:2] == [4, 5]


def test_new_address_is_followed_from_the_same_cursor_and_the_old_connection_closed():
    received: list[tuple[str, bytes]] = []

    def start_server(name: str, cursor: int) -> StreamServer:
        def serve(sock, _) -> None:
            received.append((name, next(x for x in sock.recv(4096).split(b"\r\n") if x.startswith(b"Last"))))
            sock.sendall(HEAD + chunk(f"id: {cursor}\ndata: {event(cursor).data}\n\n"))
            received.append((name, sock.recv(1)))  # returns when the client closes the connection

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        return server

    old, new = start_server("old", 4), start_server("new", 5)
    client, applied = make_client()
    with gevent.Timeout(30):
        for server in (old, new):
            client.follow(server.address)
            while not applied or applied[-1] != (4 if server is old else 5):
                gevent.sleep(0.001)
        client.follow(new.address)  # the same address: the connection stays
        while ("old", b"") not in received:
            gevent.sleep(0.001)
    client.follow(None)
    assert sorted(received) == [
        ("new", b"Last-Event-ID: 4"),
        ("old", b""),
        ("old", b"Last-Event-ID: 3"),
    ] and applied == [4, 5]


def test_event_that_stays_unparsable_is_skipped():
    """Otherwise, one malformed event would block all later events."""
    client, applied = make_client()
    for _ in range(MAX_EVENT_FAILURES - 1):
        with pytest.raises(ChannelError):
            client.process_event(ServerEvent("4", '{"cursor":4,"nodes":{"members":[{}]}}'))
    client.process_event(ServerEvent("4", "{"))
    client.process_event(event(5))
    assert applied == [5]


def test_a_response_with_a_bad_status_is_reported_by_its_status():
    with pytest.raises(ChannelError, match="^response has status 503$"):
        ChannelProtocol().feed(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")


# Guards against a channel that is never heard because each call takes longer than a silence may last.
def test_a_channel_that_is_slow_to_answer_is_heard(monkeypatch):
    monkeypatch.setattr(channel, "READ_TIMEOUT_S", 0.05)
    call_count = 0

    def serve(sock, _) -> None:
        nonlocal call_count
        call_count += 1
        gevent.sleep(0.5)
        sock.sendall(HEAD)
        for cursor in range(4, 8):
            sock.sendall(chunk(f"id: {cursor}\ndata: {event(cursor).data}\n\n"))
            gevent.sleep(0.03)
        gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client, applied = make_client()
    with gevent.Timeout(5):
        client.follow(server.address)
        while len(applied) < 4:
            gevent.sleep(0.001)
    calls_until_answered = call_count
    client.follow(None)
    server.stop()
    assert applied == [4, 5, 6, 7] and calls_until_answered > 1
