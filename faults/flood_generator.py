"""Floods in random runs, with usual clients beside them that allow short and long times."""

from __future__ import annotations

import random
import subprocess
import time
from collections import Counter
from collections.abc import Callable

import gevent

from faults.clients import ClientConnection, new_ref
from faults.flood import FLOODS, read_report, start_flood
from faults.proxies import Proxy
from faults.records import FloodReport, RunRecord

FLOOD_SEED_SHARE = 0.4  # share of the seeds whose runs have floods
MAX_FLOODS, MAX_KINDS = 24, 3  # at once
FLOOD_S = (2.0, 12.0)
# Times that the usual clients allow. Requests with less than the machine's own stalls are not among them.
ALLOWED_S = (0.04, 0.2, 0.5, 0.6, 2.5)
USUAL_CLIENTS, REQUEST_INTERVAL_S = 3, 0.1
RECONNECT_S = 0.05

Connect = Callable[[Proxy], ClientConnection]


class FloodGenerator:
    """Draws whether a run has floods, and starts them. Its draws are apart from those of the other faults."""

    def __init__(
        self, seed: int, run: RunRecord, connect: Connect, longest_s: float, max_allowed_s: float
    ) -> None:
        """Draw the floods of a run; none takes longer than `longest_s`.

        Usual clients allow at most `max_allowed_s`. `connect` raises OSError if a proxy cannot be reached.
        """
        self._rng = random.Random(f"floods {seed}")
        self._run, self._connect, self._max_allowed_s = run, connect, max_allowed_s
        self.is_wanted = self._rng.random() < FLOOD_SEED_SHARE
        self._count = self._rng.randint(1, MAX_FLOODS)
        self._kinds = self._rng.sample(sorted(FLOODS), self._rng.randint(1, MAX_KINDS))
        self._seconds = min(self._rng.uniform(*FLOOD_S), longest_s)
        self._floods: list[subprocess.Popen[str]] = []
        self._is_sending = True

    def start(self, proxies: list[Proxy]) -> None:
        """Start the floods and the usual clients at one of the proxies, if the run has any."""
        if not self.is_wanted:
            return
        proxy = self._rng.choice(proxies)
        text = f"{self._count} at {proxy.name} for {self._seconds:.1f} s: {', '.join(self._kinds)}"
        self._run.events.append((time.monotonic(), f"floods {text}"))
        self._floods = [
            start_flood(proxy.address, self._kinds[number % len(self._kinds)], self._seconds)
            for number in range(self._count)
        ]
        for _ in range(USUAL_CLIENTS):
            gevent.spawn(self._send_usual_requests, proxy, random.Random(self._rng.random()))

    def finish(self) -> None:
        """Wait until the floods have ended, and record those that a proxy has held back."""
        self._is_sending = False
        reports = [read_report(flood) for flood in self._floods]
        self._run.floods += reports
        for kind, count in Counter(report.kind for report in reports if report.was_held_back).items():
            self._run.injected[f"flood {kind}"] = count

    def _send_usual_requests(self, proxy: Proxy, rng: random.Random) -> None:
        connection: ClientConnection | None = None
        while self._is_sending:
            if connection is None or connection.ended.is_set():
                try:
                    connection = self._connect(proxy)
                except OSError:
                    gevent.sleep(RECONNECT_S)
                    continue
            connection.request(new_ref(rng), "safe", min(rng.choice(ALLOWED_S), self._max_allowed_s))
            gevent.sleep(REQUEST_INTERVAL_S)


def describe_floods(reports: list[FloodReport]) -> str:
    """Return what the floods of a run wrote, in one line; empty without floods."""
    if not reports:
        return ""
    written_mb = sum(report.bytes_written for report in reports) / 1e6
    connections = sum(report.connections for report in reports)
    held_back = sum(report.was_held_back for report in reports)
    return f"{len(reports)} floods, {held_back} held back: {written_mb:.0f} MB, {connections} connections"
