"""Tests with up to 1024 engines and gateways: lists, connections, leftover state. None asserts a duration."""

from __future__ import annotations

import gc
import os

import gevent
import pytest
import ujson
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch import __main__ as program
from hollowhitch import config as configuration
from hollowhitch.net.engine_pools import EngineConnection
from hollowhitch.policy import interface as api
from hollowhitch.protocol import frames
from hollowhitch.protocol.channel import ChannelProtocol, decode_event, parse_command
from tests import sample_config
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_engine,
    of_type,
    random_chunks,
)
from tests.test_proxy import ROW, Client, ScriptedEngine, answer_nothing, answer_rows

NODE_COUNT = 1024


def start_proxy(*members: dict, **limits: int) -> program.Proxy:
    proxy = program.Proxy(
        configuration.parse_config(
            sample_config.make_config(*members, limits={"memory_mb": 64, **limits}), {}
        )
    )
    proxy.start()
    return proxy


@pytest.fixture
def time_limit():
    """Fail the test after 60 s."""
    with gevent.Timeout(60):
        yield


def count_greenlets() -> int:
    """Return the number of greenlets that have not ended."""
    gc.collect()
    return sum(isinstance(o, gevent.Greenlet) and not o.dead for o in gc.get_objects())


def test_the_configuration_takes_1024_gateways_and_engines():
    members = [sample_config.make_member(f"e{i}", 1000 + i) for i in range(NODE_COUNT)]
    raw = sample_config.make_config(
        *members, settings={**sample_config.SETTINGS, "replicasOfMe": NODE_COUNT, "position": NODE_COUNT - 1}
    )
    config = configuration.parse_config(raw, {})
    assert config.settings.gateway_count == NODE_COUNT and config.settings.gateway_index == NODE_COUNT - 1
    assert len(config.known[0].engines.engines) == len(config.known[0].addresses) == NODE_COUNT
    driver = ControllerDriver(*config.known[0].engines.engines, settings=config.settings)
    assert (
        len(driver.controller.engines) == len(driver.controller.engines_for_class[0]) == NODE_COUNT
        and driver.controller.gateway_count == NODE_COUNT
    )
    assert of_type(api.Send, driver.submit())


@given(st.data())
def test_a_list_of_1024_engines_is_received_in_pieces_of_any_size(data):
    members = [
        sample_config.make_member(f"engine-{i:08x}", 1000 + i, started_ms=i) for i in range(NODE_COUNT)
    ]
    text = ujson.dumps(sample_config.make_command(7, *members, complete=True))
    event = f"id: 7\ndata: {text}\n\n".encode()
    raw = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    cut = data.draw(st.integers(1, len(event) - 1))
    for part in (event[:cut], event[cut:]):
        raw += f"{len(part):x}\r\n".encode() + part + b"\r\n"
    protocol, events = ChannelProtocol(), []
    size = data.draw(st.sampled_from([7, 1000, 4096, 65536]))
    head_size = data.draw(st.integers(0, 200))
    for piece in [*random_chunks(data, raw[: min(head_size, 20)]), raw[min(head_size, 20) :]]:
        for offset in range(0, len(piece), size):
            events += protocol.feed(piece[offset : offset + size])
    (command,) = [decode_event(e) for e in events]
    assert [e.id for e in command.engines.engines] == [m["id"] for m in members]
    assert len(command.addresses) == NODE_COUNT


def test_1024_engines_are_used_and_forgotten_by_the_controller():
    driver = ControllerDriver(
        *(make_engine(f"e{i}") for i in range(NODE_COUNT)),
        settings=make_controller_settings(gateway_count=NODE_COUNT, gateway_index=NODE_COUNT - 1),
    )
    for i in range(200):
        sent = of_type(api.Send, driver.submit(f"q{i}"))
        if sent:
            driver.end_attempt(f"q{i}", api.Outcome.OK)
    driver.apply_list(
        api.ListKind.FULL, *(make_engine(f"n{i}", started_at_us=driver.now_us) for i in range(NODE_COUNT))
    )
    assert (
        set(driver.controller.engines)
        == {f"n{i}" for i in range(NODE_COUNT)}
        == {e.info.id for e in driver.controller.engines_for_class[0]}
    )
    driver.advance(20 * SECOND_US)
    assert (
        not set(driver.controller.active_engines) - set(driver.controller.engines.values())
        and not driver.controller.queries
    )
    assert not driver.controller.recent_answers.engines_since(driver.now_us)


@pytest.mark.usefixtures("time_limit")
def test_400_engines_share_the_file_descriptors_and_clients_are_served():
    """Of 64 descriptors, the engines share 16. An unused connection is closed if another engine needs one."""
    engines = [ScriptedEngine(answer_rows) for _ in range(4)]
    proxy = start_proxy(
        *(sample_config.make_member(f"e{i}", engines[i % 4].port) for i in range(400)), sockets=64
    )
    max_connections = 0
    clients = [Client(proxy) for _ in range(8)]
    for round_number in range(25):
        for n, client in enumerate(clients):
            client.send_request(round_number + 1, ref=f"{round_number * 8 + n:016x}")
        for client in clients:
            assert client.read_answer() == (round_number + 1, frames.SERVED, ROW)
        max_connections = max(max_connections, proxy.engine_pools.connection_count)
    assert proxy.config.engines_sockets_most == 16 and 8 < max_connections <= 16
    assert len(proxy.engine_pools.pools) == 400
    proxy.frontend.stop_accepting()


@pytest.mark.usefixtures("time_limit")
def test_a_dial_at_the_connection_limit_does_not_count_as_a_failure_of_the_engine():
    engine = ScriptedEngine(answer_nothing)
    proxy = start_proxy(*(sample_config.make_member(f"e{i}", engine.port) for i in range(40)), sockets=32)
    client = Client(proxy)
    for stream in range(1, 31):
        client.send_request(stream, ref=f"{stream:016x}")
    while len(engine.statements) < 8 or any(p.dialing for p in proxy.engine_pools.pools.values()):
        gevent.sleep(0.001)
    controller = proxy.gateway.controller
    assert proxy.engine_pools.connection_count <= 8 == proxy.config.engines_sockets_most
    assert all(e.failure_share == 0 and not e.ejected_until_us for e in controller.engines.values())
    ended_flags = [a.ended for q in proxy.gateway.queries.values() for a in q.attempts]
    assert len(ended_flags) >= 8
    for stream in range(1, 31):
        client.send(frames.CANCEL, stream)
    engine.wait_for_line("STOP")
    while proxy.gateway.unanswered_count:
        gevent.sleep(0.001)
    proxy.frontend.stop_accepting()


@pytest.mark.usefixtures("time_limit")
def test_a_connection_with_an_unsent_stop_is_not_closed_to_make_room():
    engine = ScriptedEngine(answer_rows)
    proxy = start_proxy(*(sample_config.make_member(f"e{i}", engine.port) for i in range(60)), sockets=32)
    client, pools = Client(proxy), proxy.engine_pools
    for round_number in range(1, 31):
        client.send_request(round_number, ref=f"{round_number:016x}")
        assert client.read_answer()[1] == frames.SERVED
    connections = [c for pool in pools.pools.values() for c in pool.connections]
    assert len(connections) == pools.config.engines_sockets_most == 8
    for connection in connections:
        connection.send_queue.put(b"")
    assert not pools.make_room(needed=True) and not any(c.closed for c in connections)
    while not all(c.send_queue.idle for c in connections):
        gevent.sleep(0)
    assert not pools.make_room(needed=False)
    assert pools.make_room(needed=True) and pools.connection_count == 7
    proxy.frontend.stop_accepting()


@pytest.mark.usefixtures("time_limit")
def test_no_state_is_left_of_engines_that_were_replaced():
    engine = ScriptedEngine(answer_rows)
    proxy = start_proxy(*(sample_config.make_member(f"a{i}", engine.port) for i in range(60)), sockets=256)
    client = Client(proxy)
    first_usage = None  # open file descriptors and greenlets after the first round
    for round_number in range(6):
        members = [sample_config.make_member(f"r{round_number}-{i}", engine.port) for i in range(60)]
        proxy.apply(parse_command(sample_config.make_command(round_number + 2, *members, complete=True)))
        for n in range(20):
            client.send_request(round_number * 20 + n + 1, ref=f"{round_number * 20 + n:016x}")
        assert {client.read_answer()[1] for _ in range(20)} == {frames.SERVED}
        # Wait until the pools of the old engines are removed.
        while set(proxy.engine_pools.pools) != {m["id"] for m in members}:
            gevent.sleep(0.01)
        usage = len(os.listdir("/proc/self/fd")), count_greenlets()
        connections = [
            o
            for o in gc.get_objects()
            if isinstance(o, EngineConnection) and o.pool.owner is proxy.engine_pools
        ]
        assert proxy.engine_pools.connection_count <= 20 and set(proxy.gateway.controller.engines) == set(
            proxy.engine_pools.pools
        )
        assert sum(not c.closed for c in connections) == proxy.engine_pools.connection_count
        first_usage = first_usage or usage
        # The slack covers the connections of one round, not of six.
        assert usage[0] <= first_usage[0] + 40 and usage[1] <= first_usage[1] + 80
    proxy.frontend.stop_accepting()
