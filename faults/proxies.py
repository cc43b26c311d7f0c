"""Real proxy processes: their configuration, start, signals and exit."""

from __future__ import annotations

import itertools
import json
import os
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import gevent
from gevent import socket, subprocess

from faults import wire
from faults.records import ProcessRecord, RunRecord
from faults.shim import FaultControl

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
MIN_SIGNAL_AGE_S = 0.3  # a process younger than this many seconds may not have installed its signal handlers
# Proxies listen at 127.16.0.1 and up. Each process that runs a harness has a network of its own for them,
# derived from its process id.
FIRST_NETWORK, NETWORK_COUNT, HOST_COUNT = 16, 200, 254
_host_numbers = itertools.count()


class ProxyNotReady(RuntimeError):
    """A proxy exited before it reported that it is ready, or did not report it in time."""


class Proxy:
    """One proxy: its name, addresses and current process."""

    def __init__(self, name: str, folder: Path, run: RunRecord, fault_library: Path | None) -> None:
        self.name, self.run = name, run
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.fault_control = FaultControl(folder / f"{name}.control")
        self.fault_library = fault_library
        self.address, self.console_address = _free_address(), _free_address()
        self.process: subprocess.Popen | None = None
        self.process_record: ProcessRecord | None = None

    def configure(
        self, settings: Mapping[str, Any], known_state: Mapping[str, Any], channel: str, **overrides: Any
    ) -> None:
        """Replace the configuration file atomically; `overrides` replace its top-level sections."""
        config = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": channel,
            "console": f"{self.console_address[0]}:{self.console_address[1]}",
            "known": known_state,
            "settings": settings,
            **overrides,
        }
        partial = self.config_path.with_suffix(".partial")
        partial.write_text(json.dumps(config))
        partial.replace(self.config_path)

    def start(self, pass_fds: Sequence[int] = (), **environment: str) -> None:
        """Start a process that inherits the descriptors `pass_fds`, without waiting until it is ready.

        Its output is appended to the proxy's log file.
        """
        variables = {**os.environ, "ROUTER_CONFIG": str(self.config_path), **environment}
        if self.fault_library is not None:
            variables.update(self.fault_control.environment(self.fault_library))
        self.process_record = ProcessRecord(self.name, time.monotonic())
        self.run.processes.append(self.process_record)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollowhitch"],
                cwd=REPOSITORY_ROOT,
                env=variables,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        gevent.spawn(self._reap, self.process, self.process_record)

    def _reap(self, process: subprocess.Popen, record: ProcessRecord) -> None:
        record.exit_code = process.wait()
        record.ended_at = time.monotonic()
        record.output = self.log_path.read_text(errors="replace")

    def wait_until_ready(self) -> None:
        """Wait until the proxy reports that it is ready; raise ProxyNotReady if it does not in time."""
        assert self.process_record is not None
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at and self.process_record.ended_at is None:
            if self.reports_ready():
                self.process_record.ready_at = time.monotonic()
                return
            gevent.sleep(POLL_INTERVAL_S)
        raise ProxyNotReady(
            f"{self.name} did not report ready: {self.log_path.read_text(errors='replace')[-2000:]}"
        )

    def reports_ready(self) -> bool:
        """Return whether the proxy answers a readiness check frame with ready; False without an answer."""
        try:
            with socket.create_connection(self.address, 1.0) as sock:
                sock.sendall(wire.encode_frame(wire.READINESS_CHECK, 1))
                frames = wire.FrameReader().feed(sock.recv(100))
        except OSError:
            return False
        return any(f.kind == wire.READY and f.payload[0] == wire.IS_READY for f in frames)

    @property
    def is_running(self) -> bool:
        """Whether a process was started and the latest one has not exited."""
        return self.process_record is not None and self.process_record.ended_at is None

    @property
    def uptime_s(self) -> float:
        """Seconds since the start of the latest process, or 0 without one."""
        return time.monotonic() - self.process_record.started_at if self.process_record is not None else 0.0

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running, and record SIGTERM, SIGINT and SIGKILL."""
        if not self.is_running or self.process is None or self.process_record is None:
            return
        if signal_number in (signal.SIGTERM, signal.SIGINT) and self.process_record.terminated_at is None:
            self.process_record.terminated_at = time.monotonic()
        if signal_number is signal.SIGKILL:
            self.process_record.killed_at = time.monotonic()
        self.process.send_signal(signal_number)

    def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait until the process exits, and return whether it did in time."""
        give_up_at = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < give_up_at:
            gevent.sleep(POLL_INTERVAL_S / 4)
        return not self.is_running


def _free_address() -> tuple[str, int]:
    """Return an address for one proxy to listen at, with a port that is free now.

    No other socket listens at its host or connects from it, so the port stays free until the proxy takes it.
    """
    number = next(_host_numbers) % HOST_COUNT + 1
    host = f"127.{FIRST_NETWORK + os.getpid() % NETWORK_COUNT}.{os.getpid() // NETWORK_COUNT % 256}.{number}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()
