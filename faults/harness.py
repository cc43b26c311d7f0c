"""Test harness: the engines, command channel, proxies and clients of one run."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import gevent

from faults.channel import CommandChannel, Member
from faults.clients import ClientConnection
from faults.dating import polls, wall_clock_offset
from faults.engines import StubEngine
from faults.proxies import Proxy
from faults.records import RunRecord

# Seconds between checks of the harness's own event loop, and the delay from which on it counts as stalled.
STALL_CHECK_INTERVAL_S, MIN_STALL_S = 0.01, 0.03
# Engines listen at 127.0.1.10 and up. The fault library recognizes connections to engines by 127.0.1.0/24.
FIRST_ENGINE_HOST = 10  # last octet of the address


class Harness:
    """The parts of one run. Whoever creates a harness has to call `close` at the end."""

    def __init__(
        self,
        folder: Path,
        fault_library: Path | None,
        settings: dict[str, Any],
        seed: int,
        engines: int,
        proxies: int,
    ) -> None:
        self.folder, self.fault_library, self.settings = folder, fault_library, settings
        self.rng = random.Random(seed)
        self.run = RunRecord()
        self.channel = CommandChannel(self.run)
        self.engines: list[StubEngine] = []
        self.connections: list[ClientConnection] = []
        for _ in range(engines):
            self.add_engine()
        self.channel.announce(*(Member(engine) for engine in self.engines), complete=True)
        self.proxies = [Proxy(f"n{i}", folder, self.run, fault_library) for i in range(proxies)]
        self.configure_all()
        polls()  # starts to watch the event loop
        self._stall_watcher = gevent.spawn(self._record_stalls)

    def _record_stalls(self) -> None:
        """Record stalls of the harness's own event loop: events during a stall are recorded late."""
        while True:
            sleep_began_at = time.monotonic()
            gevent.sleep(STALL_CHECK_INTERVAL_S)
            delay_s = time.monotonic() - sleep_began_at - STALL_CHECK_INTERVAL_S
            if delay_s > MIN_STALL_S:
                self.run.stalls.append((time.monotonic(), delay_s))

    def add_engine(self) -> StubEngine:
        """Return a new engine that listens but has not been announced yet."""
        number = len(self.engines)
        engine = StubEngine(f"s-{number:08x}", f"127.0.1.{FIRST_ENGINE_HOST + number}", self.run, self.rng)
        self.engines.append(engine)
        return engine

    def configure_all(self, **overrides: Any) -> None:
        """Rewrite each proxy's configuration file, with all events of the channel so far.

        `overrides` replace top-level sections of the configuration.
        """
        for position, proxy in enumerate(self.proxies):
            settings = {**self.settings, "position": position, "replicasOfMe": len(self.proxies)}
            proxy.configure(settings, self.channel.known_state(), self.channel.address, **overrides)

    def start(self) -> None:
        """Start all proxies and wait until they are ready; raise ProxyNotReady if one is not in time."""
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            proxy.wait_until_ready()

    def connect(self, proxy: Proxy, **options: Any) -> ClientConnection:
        """Return a new client connection; `options` are passed to `ClientConnection`."""
        connection = ClientConnection(proxy.name, proxy.address, self.run, **options)
        self.connections.append(connection)
        return connection

    def close(self) -> None:
        """Kill the proxies and close all connections, without recording the kills."""
        self.run.dating_error_s = wall_clock_offset.max_error_s
        self._stall_watcher.kill()
        for proxy in self.proxies:
            if proxy.is_running and proxy.process is not None:
                proxy.process.kill()
        for connection in self.connections:
            connection.close()
        for engine in self.engines:
            engine.stop()
        for proxy in self.proxies:
            proxy.wait_for_exit(5.0)


def wait_for(condition: Any, timeout_s: float = 5.0) -> bool:
    """Wait until a condition holds, and return whether it held in time."""
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            return False
        gevent.sleep(0.005)
    return True
