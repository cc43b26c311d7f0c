"""Tests of real proxy processes under faults that once led to a rule violation.

Clients, engines and the command channel are the stubs of `faults`.
"""

from __future__ import annotations

import errno
import signal
import time

import gevent
import pytest

from faults.clients import new_ref, new_replay
from faults.engines import Behaviour
from faults.harness import wait_for
from faults.records import AnswerCode, AttemptEnd
from faults.settings import shutdown_grace_s
from faults.shim import Call
from tests.fault_fixtures import answer_codes, violations

HANGING = Behaviour(hang_share=1.0)  # an engine that answers no request


@pytest.mark.parametrize("step_s", [0.0, -3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0])
def test_keyed_request_is_not_repeated_past_its_window_when_the_wall_clock_steps(make_harness, step_s):
    harness = make_harness(deadline_s=6.0, repeat_window_s=0.4)
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(harness.proxies[0])
    client.request(new_ref(harness.rng), "keyed", 6.0, replay=new_replay(harness.rng))
    assert wait_for(lambda: harness.run.attempts)
    harness.proxies[0].fault_control.step_clock(step_s)
    gevent.sleep(0.7)
    for engine in harness.engines:
        engine.reset_all()
    assert wait_for(lambda: answer_codes(harness), 7.0)
    assert len(harness.run.attempts) == 1
    assert violations(harness) == []


@pytest.mark.parametrize("step_s", [-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0])
def test_requests_are_served_in_time_after_the_wall_clock_steps(make_harness, step_s):
    harness = make_harness(deadline_s=1.5)
    client = harness.connect(harness.proxies[0])
    for step in (step_s, step_s, -step_s):
        harness.proxies[0].fault_control.step_clock(step)
        for _ in range(10):
            client.request(new_ref(harness.rng), "safe", 1.5)
            gevent.sleep(0.01)
    assert wait_for(lambda: len(answer_codes(harness)) == 30)
    assert answer_codes(harness) == [AnswerCode.SERVED] * 30
    assert violations(harness) == []


@pytest.mark.parametrize("step_s", [-3600.0, 5.0, 3600.0])
def test_a_hung_request_is_answered_in_time_when_the_wall_clock_steps(make_harness, step_s):
    harness = make_harness(deadline_s=1.5)
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(harness.proxies[0])
    for name in ("safe", "unsafe"):
        client.request(new_ref(harness.rng), name, 1.5)
    gevent.sleep(0.3)
    assert not answer_codes(harness)
    harness.proxies[0].fault_control.step_clock(step_s)
    gevent.sleep(0.3)
    assert "unsafe" not in [r.class_name for r in harness.run.requests if r.answers]
    assert wait_for(lambda: len(answer_codes(harness)) == 2)
    assert violations(harness) == []


@pytest.mark.parametrize("deadline_s", [0.5, 1.5, 20.0])
def test_process_ends_within_its_grace_time_while_engines_hang(make_harness, deadline_s):
    harness = make_harness(deadline_s=deadline_s)
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(harness.proxies[0])
    for name in ("safe", "unsafe", "safe"):
        client.request(new_ref(harness.rng), name, deadline_s)
    assert wait_for(lambda: len(harness.run.attempts) >= 3)
    harness.proxies[0].send_signal(signal.SIGTERM)
    assert harness.proxies[0].wait_for_exit(shutdown_grace_s(harness.settings))
    assert wait_for(client.ended.is_set)
    assert violations(harness) == []


@pytest.mark.parametrize("deadline_s", [0.5, 1.5])
def test_process_ends_within_its_grace_time_while_clients_do_not_read(make_harness, deadline_s):
    harness = make_harness(deadline_s=deadline_s)
    for engine in harness.engines:
        engine.behaviour = Behaviour(pages=8, page_bytes=6000)
    silent_clients = [harness.connect(harness.proxies[0], receive_buffer_bytes=4096) for _ in range(3)]
    for silent_client in silent_clients:
        silent_client.reading = False
        for _ in range(30):
            silent_client.request(new_ref(harness.rng), "safe", deadline_s)
    gevent.sleep(0.2)
    harness.proxies[0].send_signal(signal.SIGTERM)
    assert harness.proxies[0].wait_for_exit(shutdown_grace_s(harness.settings))
    # The clients read nothing, so they get no answers.
    assert [text for text in violations(harness) if not text.startswith("lost: ")] == []


@pytest.mark.parametrize("deadline_s", [0.5, 3.0])
def test_process_ends_within_its_grace_time_while_clients_keep_their_side_open(make_harness, deadline_s):
    harness = make_harness(deadline_s=deadline_s)
    clients = [harness.connect(harness.proxies[0], closes_when_ended=False) for _ in range(3)]
    for client in clients:
        client.request(new_ref(harness.rng), "safe", deadline_s)
    harness.proxies[0].send_signal(signal.SIGTERM)
    assert harness.proxies[0].wait_for_exit(shutdown_grace_s(harness.settings))
    assert violations(harness) == []


@pytest.mark.parametrize("deadline_s", [0.5, 3.0])
def test_requests_on_open_connections_are_answered_until_the_process_ends(make_harness, deadline_s):
    harness = make_harness(deadline_s=deadline_s)
    proxy = harness.proxies[0]
    connections = [harness.connect(proxy) for _ in range(4)]
    proxy.send_signal(signal.SIGTERM)
    give_up_at = time.monotonic() + shutdown_grace_s(harness.settings)
    while time.monotonic() < give_up_at and proxy.is_running:
        for connection in connections:
            if not connection.ended.is_set():
                connection.request(new_ref(harness.rng), "safe", deadline_s)
        gevent.sleep(0.02)
    assert proxy.wait_for_exit(0.05)
    assert wait_for(lambda: all(c.ended.is_set() for c in connections))
    assert violations(harness) == []
    assert len(answer_codes(harness)) > 20


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGINT, signal.SIGTERM, signal.SIGHUP),
    ],
)
def test_a_series_of_signals_ends_the_process_once_and_in_time(make_harness, signals):
    harness = make_harness(deadline_s=1.5)
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(harness.proxies[0])
    client.request(new_ref(harness.rng), "unsafe", 1.5)
    assert wait_for(lambda: harness.run.attempts)
    for signal_number in signals:
        harness.proxies[0].send_signal(signal_number)
        gevent.sleep(0.1)
    assert harness.proxies[0].wait_for_exit(shutdown_grace_s(harness.settings))
    assert violations(harness) == []


@pytest.mark.parametrize("errno_name", ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS"])
def test_failing_accepts_are_retried_and_logged_without_a_traceback(make_harness, errno_name):
    harness = make_harness()
    error_number = getattr(errno, errno_name)
    harness.proxies[0].fault_control.fail(Call.ACCEPT, error_number, 20)
    started_at = time.monotonic()
    client = harness.connect(harness.proxies[0])
    client.request(new_ref(harness.rng), "safe", 3.0)
    assert wait_for(lambda: answer_codes(harness) == [AnswerCode.SERVED], 3.0)
    assert time.monotonic() - started_at < 1.5
    log = harness.proxies[0].log_path.read_text()
    assert "Traceback" not in log
    assert "accept" in log and len(log.splitlines()) < 20
    assert violations(harness) == []


@pytest.mark.parametrize("call", [Call.SOCKET, Call.CONNECT])
@pytest.mark.parametrize("errno_name", ["ENFILE", "ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH"])
def test_transient_connect_failures_lose_no_request(make_harness, call, errno_name):
    harness = make_harness()
    client = harness.connect(harness.proxies[0])
    harness.proxies[0].fault_control.fail(call, getattr(errno, errno_name), 6)
    client.request(new_ref(harness.rng), "unsafe", 3.0)
    client.request(new_ref(harness.rng), "safe", 3.0)
    assert wait_for(lambda: len(answer_codes(harness)) == 2)
    assert answer_codes(harness) == [AnswerCode.SERVED] * 2
    assert violations(harness) == []


@pytest.mark.parametrize("errno_name", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_a_broken_connection_never_repeats_an_unsafe_request(make_harness, errno_name):
    harness = make_harness()
    for engine in harness.engines:
        engine.behaviour = HANGING
    client = harness.connect(harness.proxies[0])
    client.request(new_ref(harness.rng), "unsafe", 3.0)
    assert wait_for(lambda: harness.run.attempts)
    harness.proxies[0].fault_control.fail(Call.RECEIVE, getattr(errno, errno_name), 1)
    client.request(new_ref(harness.rng), "safe", 3.0)
    for engine in harness.engines:
        for connection in list(engine.connections):
            connection.sock.sendall(b"x")
    assert wait_for(lambda: any(a.end is AttemptEnd.CLOSED for a in harness.run.attempts))
    assert wait_for(lambda: len(answer_codes(harness)) == 2, 4.0)
    assert violations(harness) == []


def test_a_process_starts_despite_transient_socket_failures(make_harness):
    harness = make_harness()
    proxy = harness.proxies[0]
    proxy.send_signal(signal.SIGKILL)
    assert proxy.wait_for_exit(2.0)
    proxy.fault_control.fail(Call.SOCKET, errno.ENFILE, 12)
    proxy.start()
    proxy.wait_until_ready()
    assert proxy.fault_control.injected(Call.SOCKET) > 0


@pytest.mark.parametrize("steps", [(), (-3600.0, 0.5, 3600.0, 5.0)], ids=["steady", "stepped"])
def test_time_in_the_accept_queue_counts_against_the_deadline(make_harness, steps):
    harness = make_harness(deadline_s=3.0)
    for step in steps:
        harness.proxies[0].fault_control.step_clock(step)
    gevent.sleep(0.5)
    harness.proxies[0].fault_control.fail(Call.ACCEPT, errno.ENFILE, 50)
    clients = [harness.connect(harness.proxies[0]) for _ in range(3)]
    for _ in range(40):
        for client in clients:
            client.request(new_ref(harness.rng), "safe", 3.0)
        gevent.sleep(0.02)
    assert wait_for(lambda: len(answer_codes(harness)) == 120)
    assert max(a.first_byte_at for a in harness.run.attempts) > harness.run.requests[0].sent_at + 0.2
    assert violations(harness) == []


# A `sitecustomize` module that sends SIGHUP to its own process while modules of the proxy are imported.
SIGHUP_DURING_IMPORTS = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name in ("gevent", "hollowhitch.policy.control"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
"""


def test_sighup_during_the_start_does_not_end_the_process(make_harness, tmp_path):
    harness = make_harness()
    proxy = harness.proxies[0]
    proxy.send_signal(signal.SIGKILL)
    assert proxy.wait_for_exit(2.0)
    (tmp_path / "sitecustomize.py").write_text(SIGHUP_DURING_IMPORTS)
    proxy.start(PYTHONPATH=str(tmp_path))
    proxy.wait_until_ready()
    assert wait_for(lambda: "configuration reloaded" in proxy.log_path.read_text())
    assert violations(harness) == []
