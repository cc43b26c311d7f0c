"""Real processes beside clients that misuse them: memory, sockets, answers of others, what runs later."""

from __future__ import annotations

import secrets
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import pytest
from gevent import socket, subprocess

from faults import wire
from faults.flood_trial import peak_memory_mb
from faults.harness import Harness
from faults.misuse import request
from faults.proxies import REPOSITORY_ROOT
from faults.records import AnswerCode, RequestRecord
from faults.settings import make_settings
from tests.fault_fixtures import NewHarness

# The lowest and the highest limits of memory (MB) and descriptors of a scored day.
LOWEST, HIGHEST = (32, 256), (192, 1024)
CROWDS = {LOWEST: 250, HIGHEST: 700}  # connections at once
LATE_S = 0.5 + 0.05  # an answer later than this after its request's time counts as lost
GONE_S = 0.1 + 0.05  # an attempt later than this after its client has gone breaks a rule
CROWD_S, FLOOD_S, AFTERWARDS_S = 2.0, 2.0, 0.5
USUAL_INTERVAL_S, ALLOWED_S = 0.05, 2.0

StartHarness = Callable[..., Harness]


@pytest.fixture
def start(new_harness: NewHarness) -> StartHarness:
    """Provide a function that starts one proxy with given limits, and stub engines."""

    def start_harness(memory_mb: int = 192, sockets: int = 1024, engines: int = 3) -> Harness:
        harness = new_harness(make_settings(repeat_window_s=3.0), engines)
        harness.configure_all(limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets})
        harness.start()
        return harness

    return start_harness


@dataclass
class Observation:
    """What was seen of a proxy, and of its usual clients, while others misused it."""

    peak_mb: list[float] = field(default_factory=list)  # the highest so far, by time
    descriptor_counts: list[int] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)

    def lost(self) -> list[str]:
        """Return the refs of usual requests without an answer in time, unless their connection was closed."""
        return [
            r.ref
            for r in self.requests
            if (not r.answers and r.connection_ended_at is None)
            or (r.answers and r.answers[0].received_at - r.sent_at > r.allowed_s + LATE_S)
        ]

    def answered(self, *codes: AnswerCode) -> int:
        """Return the number of usual requests with one of these answers."""
        return sum(bool(r.answers) and r.answers[0].code in codes for r in self.requests)


def observe(harness: Harness, kinds: str, count: int, seconds: float) -> Observation:
    """Return what was seen beside a usual client while each kind of misuse went on for `seconds`.

    Crowds have `count` connections.
    """
    proxy, seen = harness.proxies[0], Observation()
    assert proxy.process is not None
    pid = proxy.process.pid
    client = harness.connect(proxy)
    gevent.sleep(0.3)
    arguments = [proxy.address[0], str(proxy.address[1]), kinds, str(count), str(seconds)]
    misuse = subprocess.Popen([sys.executable, "-m", "faults.misuse", *arguments], cwd=REPOSITORY_ROOT)
    ends_at = None
    while (ends_at is None or time.monotonic() < ends_at) and proxy.is_running:
        if ends_at is None and misuse.poll() is not None:
            ends_at = time.monotonic() + AFTERWARDS_S
        if client.ended_at is not None:
            client = harness.connect(proxy)
        record = client.request(secrets.token_hex(8), "safe", ALLOWED_S)
        if record is not None:
            seen.requests.append(record)
        seen.peak_mb.append(peak_memory_mb(pid))
        seen.descriptor_counts.append(len(list(Path(f"/proc/{pid}/fd").iterdir())))
        gevent.sleep(USUAL_INTERVAL_S)
    gevent.sleep(ALLOWED_S + LATE_S)
    assert proxy.is_running
    seen.peak_mb.append(peak_memory_mb(pid))
    return seen


def check_crowd(harness: Harness, kind: str, limits: tuple[int, int]) -> None:
    memory_mb, sockets = limits
    seen = observe(harness, kind, CROWDS[limits], CROWD_S)
    assert seen.peak_mb[-1] <= memory_mb and max(seen.descriptor_counts) <= sockets
    assert not seen.lost() and seen.answered(AnswerCode.SERVED)


# Guards against a process over its memory limit beside hundreds of clients that write large requests slowly.
@pytest.mark.parametrize("limits", [LOWEST, HIGHEST])
def test_memory_beside_a_crowd_that_writes_slowly(start, limits):
    check_crowd(start(*limits), "slow-writers", limits)


# Guards against a process over its memory limit beside hundreds of clients that stop within a large request.
@pytest.mark.parametrize("limits", [LOWEST, HIGHEST])
def test_memory_beside_a_crowd_that_stops_half_way(start, limits):
    check_crowd(start(*limits), "half-requests", limits)


# Guards against a process over its memory limit beside hundreds of clients that send whole large requests.
@pytest.mark.parametrize("limits", [LOWEST, HIGHEST])
def test_memory_beside_a_crowd_with_large_requests(start, limits):
    check_crowd(start(*limits), "large-requests", limits)


# Guards against a process over its memory limit because of heads of very many short fields.
@pytest.mark.parametrize("limits", [LOWEST, HIGHEST])
@pytest.mark.parametrize("kind", ["many-fields", "half-heads"])
def test_memory_beside_a_crowd_with_many_short_fields(start, limits, kind):
    check_crowd(start(*limits), kind, limits)


def check_floods(harness: Harness, limits: tuple[int, int], *kinds: str) -> None:
    seen = observe(harness, ",".join(kinds), 1, FLOOD_S)
    assert seen.peak_mb[-1] <= limits[0]
    assert not seen.lost()
    assert seen.answered(AnswerCode.SERVED) == seen.answered(*AnswerCode)


# Guards against late answers, and growing memory, beside a client that sends small requests at full speed.
def test_others_are_served_beside_floods_of_small_requests(start):
    check_floods(start(*LOWEST), LOWEST, "requests", "readiness", "cancels", "taken-back", "requests:unread")


# Guards against late answers, and growing memory, beside a client that sends unsound requests at full speed.
def test_others_are_served_beside_floods_of_unsound_requests(start):
    check_floods(start(*LOWEST), LOWEST, "malformed", "bad-numbers", "one-stream", "malformed:unread")


# Guards against late answers, and growing memory, beside a client that uses ever new names at full speed.
def test_others_are_served_beside_floods_of_new_names(start):
    check_floods(start(*LOWEST), LOWEST, "unknown-classes", "unknown-tenants", "new-keys")


def send_and_close(harness: Harness, data: bytes, resets: bool = False) -> float:
    """Write `data` on a new connection, close it with answers unread, and return when it was closed."""
    sock = socket.create_connection(harness.proxies[0].address)
    if resets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.sendall(data)
    closed_at = time.monotonic()
    sock.close()
    return closed_at


def requests(count: int, statement_bytes: int = 0, **changes: str) -> bytes:
    statement = b"select a from sales_1.orders".ljust(statement_bytes)
    return b"".join(request(stream, statement, **changes) for stream in range(1, count + 1))


def keyed_requests_and_cancellations() -> bytes:
    """Return requests of one key, which run one after another, and frames that take long to read behind them.

    The frames cancel nothing and get no answer, to which the client's system would reply with a reset.
    """
    keyed = b"".join(
        request(stream, service="keyed", lookup="aa", replay=secrets.token_hex(16)) for stream in range(1, 33)
    )
    return keyed + wire.encode_frame(wire.CANCEL, 99) * 400_000


# Guards against requests that are sent on after their client has closed its connection with much unread.
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize(
    "make_data",
    [
        lambda: requests(600),
        lambda: requests(8_000),
        lambda: requests(60, 60_000),
        keyed_requests_and_cancellations,
    ],
    ids=["hundreds", "thousands", "large", "keyed"],
)
def test_nothing_is_sent_on_after_its_client_has_closed(start, make_data, resets):
    harness = start(engines=2)
    for engine in harness.engines:
        engine.behaviour.min_work_s = 0.4
    data = make_data()
    closed_at = send_and_close(harness, data, resets)
    gevent.sleep(1.5)
    late = [a.arrived_at - closed_at for a in harness.run.attempts if a.arrived_at > closed_at + GONE_S]
    assert not late


# Guards against a load that overtakes an older one of its key while bad clients keep the process busy.
def test_loads_keep_their_order_beside_floods_of_long_requests(start):
    pair_count, gap_s, lookups, flood_s = 25, 0.07, 10, 4.0
    harness = start()
    proxy = harness.proxies[0]
    arguments = [proxy.address[0], str(proxy.address[1]), "large-unknown", "1", str(flood_s)]
    command = [sys.executable, "-m", "faults.misuse", *arguments]
    floods = [subprocess.Popen(command, cwd=REPOSITORY_ROOT) for _ in range(6)]
    behind, alone = harness.connect(proxy), harness.connect(proxy)
    for client in (behind, alone):
        client.request(secrets.token_hex(8), "safe", ALLOWED_S)
    gevent.sleep(0.5)
    pairs = []
    for number in range(pair_count):
        for _ in range(lookups):
            behind.request(secrets.token_hex(8), "safe", ALLOWED_S)
        pair = []
        for client in (behind, alone):
            replay = secrets.token_hex(16)
            client.request(secrets.token_hex(8), "keyed", 3.0, replay=replay, key=f"key{number}")
            pair.append(replay)
            gevent.sleep(gap_s)
        pairs.append(pair)
    gevent.sleep(3.0)
    for flood in floods:
        flood.wait()
    began = {a.once: a.arrived_at for a in reversed(harness.run.attempts) if a.once}
    both_ran = [pair for pair in pairs if all(once in began for once in pair)]
    assert len(both_ran) > pair_count // 2
    assert not [pair for pair in both_ran if began[pair[0]] > began[pair[1]]]


# Guards against an id that runs twice because it comes again after its client has left.
@pytest.mark.parametrize("class_name", ["unsafe", "keyed"])
@pytest.mark.parametrize("pause_s", [0.0, 3.2])
def test_an_id_does_not_run_again_after_its_client_has_left(start, class_name, pause_s):
    harness = start(engines=2)
    for engine in harness.engines:
        engine.behaviour.min_work_s = 0.2
    ref, changes = secrets.token_hex(8), {"service": class_name, "replay": secrets.token_hex(16)}
    for _ in range(2):
        with socket.create_connection(harness.proxies[0].address) as sock:
            sock.sendall(request(1, ref=ref, **changes))
            gevent.sleep(0.1)
        gevent.sleep(pause_s)
    gevent.sleep(1.0)
    assert len([a for a in harness.run.attempts if a.ref == ref]) == 1
