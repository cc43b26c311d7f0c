"""Real proxy processes that operators give orders to. Built on the stand-ins of `faults`."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
import pytest

from faults.clients import ClientConnection, new_ref
from faults.lab import Lab, wait_for
from faults.operators import Operator
from faults.proxies import Proxy
from faults.servers import Behaviour
from tests.lab import answered, broken

CLEARED_S = 4.0  # the page's time for a drained process to hold no idle or busy connection
HANG = Behaviour(hang_share=1.0)
STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)


def send(lab: Lab, client: ClientConnection, allow_s: float = 3.0) -> None:
    client.request(new_ref(lab.rng), "safe", allow_s)


def never_pause(lab: Lab, proxy: Proxy, every_s: float = 0.02) -> None:
    """A client that goes on sending on its connection until the proxy ends it."""
    client = lab.connect(proxy)
    while not client.ended.is_set():
        send(lab, client)
        gevent.sleep(every_s)


def rest(lab: Lab, proxy: Proxy) -> None:
    send(lab, lab.connect(proxy))


def never_ask(lab: Lab, proxy: Proxy) -> None:
    lab.connect(proxy)


def send_half_a_frame(lab: Lab, proxy: Proxy) -> None:
    client = lab.connect(proxy)
    send(lab, client)
    gevent.sleep(0.2)
    client.send_garbage(b"\0\0\1\0\1")


def keep_a_request_open_and_go_on_sending(lab: Lab, proxy: Proxy) -> None:
    client = lab.connect(proxy)
    send(lab, client, 20.0)
    gevent.sleep(0.2)
    for server in lab.servers:
        server.behaviour = Behaviour()
    while not client.ended.is_set():
        send(lab, client)
        gevent.sleep(0.1)


CLIENTS = [never_pause, rest, never_ask, send_half_a_frame, keep_a_request_open_and_go_on_sending]


@pytest.mark.parametrize("client", CLIENTS)
def test_a_drained_process_holds_no_idle_or_busy_connection_past_its_time(
    make_lab, client: Callable[[Lab, Proxy], None]
):
    lab = make_lab(deadline_s=20.0)
    proxy = lab.proxies[0]
    if client is keep_a_request_open_and_go_on_sending:
        for server in lab.servers:
            server.behaviour = HANG
    gevent.spawn(client, lab, proxy)
    gevent.sleep(0.5)
    order = Operator(lab.run).drain(proxy)
    gevent.sleep(max(0.0, order.sent_at + CLEARED_S + 0.3 - time.monotonic()))
    assert proxy.alive
    assert broken(lab) == []
    assert all(request.answers for request in lab.run.requests if request.connection_ended_at is None)


def test_a_drained_process_is_not_ready_until_the_drain_ends(make_lab):
    lab = make_lab()
    proxy, operator = lab.proxies[0], Operator(lab.run)
    assert operator.ask_ready(proxy) is True
    operator.drain(proxy)
    assert operator.ask_ready(proxy) is False and not proxy.says_ready()
    operator.undrain(proxy)
    assert wait_for(lambda: operator.ask_ready(proxy) and proxy.says_ready(), 2.0)
    client = lab.connect(proxy)
    send(lab, client)
    assert wait_for(lambda: len(answered(lab)) == 1)
    assert broken(lab) == []


def test_drained_processes_hold_no_connection_past_their_time_when_the_wall_clock_steps(make_lab):
    lab = make_lab(proxies=len(STEPS_S))
    for proxy in lab.proxies:
        gevent.spawn(never_pause, lab, proxy)
    gevent.sleep(0.3)
    gevent.joinall([gevent.spawn(Operator(lab.run).drain, proxy) for proxy in lab.proxies])
    gevent.sleep(0.5)
    for proxy, step_s in zip(lab.proxies, STEPS_S, strict=True):
        proxy.control.step_clock(step_s)
    gevent.sleep(CLEARED_S)
    assert broken(lab) == []


def test_a_database_out_by_hand_is_sent_nothing_until_it_is_called_back(make_lab):
    lab = make_lab(servers=2)
    proxy, operator, out = lab.proxies[0], Operator(lab.run), lab.servers[0]
    sender = gevent.spawn(never_pause, lab, proxy)
    assert wait_for(lambda: any(a.server == out.name for a in lab.run.attempts))
    operator.disable(proxy, out.name)
    operator.disable(proxy, out.name)
    gevent.sleep(1.0)
    back = operator.enable(proxy, out.name)
    assert wait_for(
        lambda: any(a.arrived_at > back.sent_at and a.server == out.name for a in lab.run.attempts)
    )
    sender.kill()
    assert wait_for(lambda: all(request.answers for request in lab.run.requests))
    assert operator.disable(proxy, "s-nobody", expect_yes=False).status in range(400, 500)
    assert broken(lab) == []
