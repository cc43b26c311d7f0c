"""Usual clients beside floods: how their requests are answered, by the time that they allow.

The usual clients send a look-up every tenth of a second, with short and long times. Each flood is a process
of its own (`faults.flood`).
"""

from __future__ import annotations

import math
import re
import secrets
import signal
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from faults.checker import Checker
from faults.clients import ClientConnection
from faults.dating import wall_clock_offset
from faults.flood import read_report, start_flood
from faults.harness import Harness
from faults.proxies import Proxy
from faults.records import AnswerCode, FloodReport, RequestRecord, RuleViolation
from faults.settings import make_settings

ALLOWED_S = (0.04, 0.2, 0.5, 0.6, 2.5)  # times that usual clients allow, in turn
SERVED_FROM_S = 0.5  # requests with this much time or more should be served
USUAL_CLIENTS, REQUEST_INTERVAL_S = 3, 0.1
LATE_S = 0.5 + 0.05  # an answer later than this after its request's time is lost
SETTLE_S = 0.4  # seconds between the clients' connects and the floods
FLOOD_START_S = 0.6  # seconds that the flood processes get to make their frames
PROXY_LIMITS = {"cores": 1.0, "sockets": 1024}


@dataclass
class TrialResult:
    """What was seen of the usual clients' requests and of the proxy."""

    requests: list[RequestRecord] = field(default_factory=list)
    floods: list[FloodReport] = field(default_factory=list)
    peak_memory_mb: float = 0.0
    core_share: float = 0.0  # processor time of the proxy per second while the floods ran
    violations: list[RuleViolation] = field(default_factory=list)
    shutdown_s: float | None = None  # from SIGTERM to the end of the process

    def lateness_s(self, request: RequestRecord) -> float:
        """Return by how much the answer came after the request's time; infinity if it never came."""
        if not request.answers:
            return math.inf
        return request.answers[0].received_at - request.sent_at - request.allowed_s

    def lost(self) -> list[RequestRecord]:
        """Return the requests whose answers came later than the rule on lost requests allows, or never."""
        return [
            r
            for r in self.requests
            if self.lateness_s(r) > LATE_S and not _ended_by_close(r, self.shutdown_s)
        ]

    def latest_s(self) -> float:
        """Return the largest lateness of an answer; negative if all came in time."""
        return max((self.lateness_s(r) for r in self.requests if r.answers), default=-math.inf)

    def servable(self) -> list[RequestRecord]:
        """Return the requests that allow at least SERVED_FROM_S."""
        return [r for r in self.requests if r.allowed_s >= SERVED_FROM_S]

    def served_share(self) -> float:
        """Return the share of the servable requests that were served."""
        servable = self.servable()
        served = sum(bool(r.answers) and r.answers[0].code is AnswerCode.SERVED for r in servable)
        return served / max(len(servable), 1)

    def describe(self) -> str:
        """Return one line of figures."""
        written_mb = sum(flood.bytes_written for flood in self.floods) / 1e6
        held_back = sum(flood.was_held_back for flood in self.floods)
        shutdown = "" if self.shutdown_s is None else f", ended after {self.shutdown_s:.2f} s"
        return (
            f"{len(self.lost())} of {len(self.requests)} lost, latest {self.latest_s():+.3f} s, "
            f"{self.served_share():.3f} of {len(self.servable())} with {SERVED_FROM_S} s served, "
            f"{self.peak_memory_mb:.1f} MB, {self.core_share:.2f} cores, {written_mb:.0f} MB written, "
            f"{held_back} of {len(self.floods)} floods held back{shutdown}"
        )


def _ended_by_close(request: RequestRecord, shutdown_s: float | None) -> bool:
    """Return whether the request crossed the close of its connection by a process that shuts down."""
    return shutdown_s is not None and not request.answers and request.connection_ended_at is not None


def run_trial(
    folder: Path,
    kinds: Sequence[str],
    count: int,
    seconds: float,
    memory_mb: int = 192,
    terminate_after_s: float | None = None,
    engines: int = 3,
    prepare: Callable[[Harness], None] = lambda harness: None,
    reconnects: bool = False,
) -> TrialResult:
    """Run `count` floods for that time, of the kinds in turn, beside usual clients of one proxy.

    With `terminate_after_s` the proxy gets SIGTERM that long after the floods' start, and the usual clients
    send nothing afterwards. `prepare` is called before the proxy starts. With `reconnects` the usual clients
    open a connection for each request.
    """
    harness = Harness(folder, None, make_settings(), 1, engines, 1)
    try:
        harness.configure_all(limits={**PROXY_LIMITS, "memory_mb": memory_mb})
        prepare(harness)
        harness.start()
        result = _Trial(harness, terminate_after_s, reconnects).run(kinds, count, seconds)
        harness.run.dating_error_s = wall_clock_offset.max_error_s
        result.violations = Checker(harness.run, harness.settings).check()
        return result
    finally:
        harness.close()


class _Trial:
    """One trial on a running harness."""

    def __init__(self, harness: Harness, terminate_after_s: float | None, reconnects: bool) -> None:
        self._harness, self._proxy = harness, harness.proxies[0]
        self._terminate_after_s, self._reconnects = terminate_after_s, reconnects
        self._result = TrialResult()
        self._is_sending = True

    def run(self, kinds: Sequence[str], count: int, seconds: float) -> TrialResult:
        result, proxy = self._result, self._proxy
        assert proxy.process is not None
        pid = proxy.process.pid
        clients = [gevent.spawn(self._send_requests, number) for number in range(USUAL_CLIENTS)]
        gevent.sleep(SETTLE_S)
        floods = [start_flood(proxy.address, kinds[n % len(kinds)], seconds) for n in range(count)]
        gevent.sleep(FLOOD_START_S)
        cpu_began_s, began_at = cpu_seconds(pid), time.monotonic()
        ends_at = began_at + seconds
        if self._terminate_after_s is not None:
            gevent.sleep(self._terminate_after_s)
            self._is_sending = False
            self._shut_down()
        while time.monotonic() < ends_at and proxy.is_running:
            result.peak_memory_mb = max(result.peak_memory_mb, peak_memory_mb(pid))
            result.core_share = (cpu_seconds(pid) - cpu_began_s) / max(time.monotonic() - began_at, 0.1)
            gevent.sleep(0.1)
        self._is_sending = False
        gevent.joinall(clients)
        result.floods = [read_report(flood) for flood in floods]
        gevent.sleep(max(ALLOWED_S) + LATE_S)
        if proxy.is_running:
            result.peak_memory_mb = max(result.peak_memory_mb, peak_memory_mb(pid))
        return result

    def _send_requests(self, number: int) -> None:
        client, sent = connect(self._harness, self._proxy), number
        while self._is_sending:
            if self._reconnects:
                client = connect(self._harness, self._proxy)
            allowed_s = ALLOWED_S[sent % len(ALLOWED_S)]
            record = client.request(secrets.token_hex(8), "safe", allowed_s)
            if record is not None:
                self._result.requests.append(record)
            elif self._proxy.is_running:
                client = connect(self._harness, self._proxy)
            sent += 1
            gevent.sleep(REQUEST_INTERVAL_S)

    def _shut_down(self) -> None:
        signalled_at = time.monotonic()
        self._proxy.send_signal(signal.SIGTERM)
        self._proxy.wait_for_exit(10.0)
        self._result.shutdown_s = time.monotonic() - signalled_at


def connect(harness: Harness, proxy: Proxy) -> ClientConnection:
    """Return a new connection of a usual client."""
    return harness.connect(proxy)


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a running process has held so far."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found.group(1)) / 1024 if found is not None else 0.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a running process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100
