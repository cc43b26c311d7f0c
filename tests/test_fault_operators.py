"""Tests of real proxy processes that get orders from operators.

Clients, engines, operators and the command channel are the stubs of `faults`.
"""

from __future__ import annotations

import contextlib
import errno
import signal
import time
from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from faults.clients import ClientConnection, new_ref, new_replay
from faults.engines import Behaviour
from faults.harness import Harness, wait_for
from faults.operators import Operator
from faults.proxies import Proxy
from faults.records import AnswerCode
from faults.settings import shutdown_grace_s
from faults.shim import Call
from tests.fault_fixtures import answer_codes, violations

MAX_DRAIN_TIME_S = 4.0  # seconds within which a drained process has to close idle and busy connections
MAX_SIGNAL_DELAY_S = 0.2  # seconds within which a process notices a signal
HANGING = Behaviour(hang_share=1.0)  # an engine that answers no request
CLOCK_STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


def send(harness: Harness, client: ClientConnection, allowed_s: float = 3.0) -> None:
    client.request(new_ref(harness.rng), "safe", allowed_s)


def send_continuously(harness: Harness, proxy: Proxy, interval_s: float = 0.02) -> None:
    """Send on one connection until the proxy ends it."""
    client = harness.connect(proxy)
    while not client.ended.is_set():
        send(harness, client)
        gevent.sleep(interval_s)


def send_once(harness: Harness, proxy: Proxy) -> None:
    send(harness, harness.connect(proxy))


def connect_only(harness: Harness, proxy: Proxy) -> None:
    harness.connect(proxy)


def send_partial_frame(harness: Harness, proxy: Proxy) -> None:
    """Send a request, and then the beginning of another."""
    client = harness.connect(proxy)
    send(harness, client)
    gevent.sleep(0.2)
    client.send_malformed(b"\0\0\1\0\1")


def keep_request_open_and_continue_sending(harness: Harness, proxy: Proxy) -> None:
    """Send one request that hangs, and others on the same connection until the proxy ends it."""
    client = harness.connect(proxy)
    send(harness, client, 20.0)
    gevent.sleep(0.2)
    for engine in harness.engines:
        engine.behaviour = Behaviour()
    while not client.ended.is_set():
        send(harness, client)
        gevent.sleep(0.1)


CLIENT_BEHAVIOURS = [
    send_continuously,
    send_once,
    connect_only,
    send_partial_frame,
    keep_request_open_and_continue_sending,
]


@pytest.mark.parametrize("run_client", CLIENT_BEHAVIOURS)
def test_a_drained_process_closes_idle_and_busy_connections_in_time(
    make_harness, run_client: Callable[[Harness, Proxy], None]
):
    harness = make_harness(deadline_s=20.0)
    proxy = harness.proxies[0]
    if run_client is keep_request_open_and_continue_sending:
        for engine in harness.engines:
            engine.behaviour = HANGING
    gevent.spawn(run_client, harness, proxy)
    gevent.sleep(0.5)
    order = Operator(harness.run).drain(proxy)
    gevent.sleep(max(0.0, order.sent_at + MAX_DRAIN_TIME_S + 0.3 - time.monotonic()))
    assert proxy.is_running
    assert violations(harness) == []
    assert all(request.answers for request in harness.run.requests if request.connection_ended_at is None)


def test_a_drained_process_is_not_ready_until_the_drain_ends(make_harness):
    harness = make_harness()
    proxy, operator = harness.proxies[0], Operator(harness.run)
    assert operator.check_readiness(proxy) is True
    operator.drain(proxy)
    assert operator.check_readiness(proxy) is False and not proxy.reports_ready()
    operator.undrain(proxy)
    assert wait_for(lambda: operator.check_readiness(proxy) and proxy.reports_ready(), 2.0)
    client = harness.connect(proxy)
    send(harness, client)
    assert wait_for(lambda: len(answer_codes(harness)) == 1)
    assert violations(harness) == []


def test_drained_processes_close_connections_in_time_when_the_wall_clock_steps(make_harness):
    harness = make_harness(proxies=len(CLOCK_STEPS_S))
    for proxy in harness.proxies:
        gevent.spawn(send_continuously, harness, proxy)
    gevent.sleep(0.3)
    gevent.joinall([gevent.spawn(Operator(harness.run).drain, proxy) for proxy in harness.proxies])
    gevent.sleep(0.5)
    for proxy, step_s in zip(harness.proxies, CLOCK_STEPS_S, strict=True):
        proxy.fault_control.step_clock(step_s)
    gevent.sleep(MAX_DRAIN_TIME_S)
    assert violations(harness) == []


def hold_partial_call(proxy: Proxy) -> None:
    """Send an incomplete call to the console, and wait until the console closes the connection."""
    with contextlib.suppress(OSError), socket.create_connection(proxy.console_address, 1.0) as sock:
        sock.sendall(b"POST /undrain HTTP/1.1\r\nContent-Le")
        while sock.recv(4096):
            pass


def test_orders_are_answered_despite_partial_calls_failing_system_calls_and_many_clients(make_harness):
    harness = make_harness()
    proxy, operator = harness.proxies[0], Operator(harness.run)
    harness.configure_all(limits={"cores": 1.0, "memory_mb": 192, "sockets": 128})
    proxy.send_signal(signal.SIGKILL)
    assert proxy.wait_for_exit(2.0)
    proxy.start()
    proxy.wait_until_ready()
    holders = [gevent.spawn(hold_partial_call, proxy) for _ in range(64)]
    clients = [harness.connect(proxy) for _ in range(120)]
    gevent.sleep(0.2)
    for call, error_number in (
        (Call.ACCEPT, errno.EMFILE),
        (Call.ACCEPT, errno.ECONNABORTED),
        (Call.WAIT, errno.EINTR),
    ):
        proxy.fault_control.fail(call, error_number, 20)
        for order in (operator.drain, operator.undrain, operator.drain):
            assert order(proxy).accepted
    gevent.sleep(MAX_DRAIN_TIME_S + 0.3)
    assert all(client.ended.is_set() for client in clients)
    gevent.joinall(holders, timeout=3.0)
    assert all(holder.dead for holder in holders)
    assert violations(harness) == []


@pytest.mark.parametrize("series", ["du", "dud", "dudd"])
def test_the_last_of_a_series_of_orders_takes_effect(make_harness, series):
    harness = make_harness()
    proxy, operator = harness.proxies[0], Operator(harness.run)
    client = harness.connect(proxy)
    send(harness, client)
    for order in series:
        (operator.drain if order == "d" else operator.undrain)(proxy)
    assert operator.check_readiness(proxy) is series.endswith("u")
    gevent.sleep(MAX_DRAIN_TIME_S + 0.3)
    assert client.ended.is_set() is series.endswith("d")
    assert violations(harness) == []


@pytest.mark.parametrize("undrain_after_s", [0.6, 2.5, 3.25])
def test_an_undrain_while_connections_close_ends_the_drain_completely(make_harness, undrain_after_s):
    harness = make_harness(deadline_s=20.0)
    proxy, operator = harness.proxies[0], Operator(harness.run)
    clients = [gevent.spawn(send_continuously, harness, proxy) for _ in range(5)]
    gevent.sleep(0.3)
    drain_order = operator.drain(proxy)
    gevent.sleep(max(0.0, drain_order.sent_at + undrain_after_s - time.monotonic()))
    operator.undrain(proxy)
    undrained_at = time.monotonic()
    assert operator.check_readiness(proxy) and proxy.reports_ready()
    new_client = harness.connect(proxy)
    while time.monotonic() < undrained_at + MAX_DRAIN_TIME_S:
        send(harness, new_client)
        gevent.sleep(0.1)
    assert not new_client.ended.is_set()
    gevent.killall(clients)
    assert wait_for(lambda: all(r.answers or r.connection_ended_at for r in harness.run.requests))
    later_requests = [r for r in harness.run.requests if r.sent_at > undrained_at]
    assert later_requests and all(r.answers[0].code is AnswerCode.SERVED for r in later_requests if r.answers)
    assert violations(harness) == []


@pytest.mark.parametrize("signal_after_s", [0.1, 1.0, 3.9])
def test_a_signal_during_a_drain_ends_the_process_within_its_grace_time(make_harness, signal_after_s):
    harness = make_harness(deadline_s=3.0)
    proxy, operator = harness.proxies[0], Operator(harness.run)
    gevent.spawn(send_continuously, harness, proxy)
    gevent.sleep(0.3)
    operator.drain(proxy)
    gevent.sleep(signal_after_s)
    proxy.send_signal(signal.SIGHUP)
    proxy.send_signal(signal.SIGTERM)
    # Until the process has seen the signal, it is draining and may be undrained.
    assert wait_for(lambda: "topic=lifecycle event=stop " in proxy.log_path.read_text(), MAX_SIGNAL_DELAY_S)
    assert not operator.undrain(proxy).accepted
    harness.run.orders[-1].expects_success = False
    assert operator.drain(proxy).accepted
    assert operator.check_readiness(proxy) is False
    assert proxy.wait_for_exit(shutdown_grace_s(harness.settings))
    assert violations(harness) == []


@pytest.mark.parametrize("reload", ["{", "another console"])
def test_a_reload_during_a_drain_does_not_end_the_drain(make_harness, reload):
    harness = make_harness()
    proxy, operator = harness.proxies[0], Operator(harness.run)
    send_once(harness, proxy)
    operator.drain(proxy)
    valid_configuration = proxy.config_path.read_text()
    proxy.config_path.write_text(
        reload if reload == "{" else valid_configuration.replace(f":{proxy.console_address[1]}", ":1")
    )
    proxy.send_signal(signal.SIGHUP)
    gevent.sleep(MAX_DRAIN_TIME_S + 0.3)
    assert operator.check_readiness(proxy) is False
    assert operator.undrain(proxy).accepted and operator.check_readiness(proxy)
    assert violations(harness) == []


def test_a_drain_ends_the_connection_of_a_client_that_does_not_read(make_harness):
    harness = make_harness()
    proxy, operator = harness.proxies[0], Operator(harness.run)
    for engine in harness.engines:
        engine.behaviour = Behaviour(pages=8, page_bytes=6000)
    silent_client = harness.connect(proxy, receive_buffer_bytes=4096)
    silent_client.stop_reading()
    for _ in range(30):
        send(harness, silent_client)
    gevent.sleep(0.3)
    operator.drain(proxy)
    gevent.sleep(MAX_DRAIN_TIME_S)
    silent_client.reading = True
    assert wait_for(silent_client.ended.is_set, 1.0)
    assert [text for text in violations(harness) if "order" in text or "violation" in text] == []


@pytest.mark.parametrize("name", ["keyed", "unsafe"])
def test_a_drain_repeats_no_query_that_may_have_run(make_harness, name):
    harness = make_harness(deadline_s=20.0, repeat_window_s=0.3)
    proxy, operator = harness.proxies[0], Operator(harness.run)
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(proxy)
    client.request(
        new_ref(harness.rng), name, 20.0, replay=new_replay(harness.rng) if name == "keyed" else None
    )
    assert wait_for(lambda: harness.run.attempts)
    operator.drain(proxy)
    while not client.ended.is_set():
        send(harness, client)
        gevent.sleep(0.2)
    assert sum(a.class_name == name for a in harness.run.attempts) == 1
    assert violations(harness) == []


def test_a_client_that_only_waits_keeps_its_connection_until_its_answer(make_harness):
    harness = make_harness(deadline_s=20.0)
    proxy, operator = harness.proxies[0], Operator(harness.run)
    for engine in harness.engines:
        engine.behaviour = Behaviour(work_s=6.0)
    client = harness.connect(proxy)
    for _ in range(10):
        send(harness, client, 20.0)
    operator.drain(proxy)
    gevent.sleep(MAX_DRAIN_TIME_S + 0.5)
    assert not client.ended.is_set()
    for engine in harness.engines:
        engine.reset_all()
        engine.behaviour = Behaviour()
    assert wait_for(client.ended.is_set, 20.0)
    assert violations(harness) == []


@pytest.mark.parametrize("gap_s", [0.0, 0.4])
def test_draining_all_processes_at_once_or_one_after_another_loses_no_request(make_harness, gap_s):
    harness = make_harness(proxies=4)
    clients = [gevent.spawn(send_continuously, harness, proxy) for proxy in harness.proxies]
    gevent.sleep(0.3)
    for proxy in harness.proxies:
        Operator(harness.run).drain(proxy)
        gevent.sleep(gap_s)
    gevent.sleep(MAX_DRAIN_TIME_S + 0.3)
    assert all(client.dead for client in clients)
    assert violations(harness) == []


def test_a_disabled_engine_gets_no_request_until_it_is_enabled(make_harness):
    harness = make_harness(engines=2)
    proxy, operator, disabled_engine = harness.proxies[0], Operator(harness.run), harness.engines[0]
    client = gevent.spawn(send_continuously, harness, proxy)
    assert wait_for(lambda: any(a.engine == disabled_engine.name for a in harness.run.attempts))
    operator.disable(proxy, disabled_engine.name)
    operator.disable(proxy, disabled_engine.name)
    gevent.sleep(1.0)
    enable_order = operator.enable(proxy, disabled_engine.name)
    assert wait_for(
        lambda: any(
            a.arrived_at > enable_order.sent_at and a.engine == disabled_engine.name
            for a in harness.run.attempts
        )
    )
    client.kill()
    assert wait_for(lambda: all(request.answers for request in harness.run.requests))
    assert operator.disable(proxy, "s-nobody", expects_success=False).status in range(400, 500)
    assert violations(harness) == []
