"""Real proxy processes: configuration, start, signals, end."""

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
from faults.records import ProxyLife, Run
from faults.shim import Control

ROOT = Path(__file__).resolve().parent.parent
READY_WITHIN_S = 20.0
POLL_S = 0.02
STARTING_S = 0.3  # of age, before which a signal may find no handler
FIRST_NET, NETS, HOSTS = 16, 200, 254  # 127.16.0.0 and up: a net for each process with a lab
_hosts = itertools.count()


class ProxyNotReady(RuntimeError):
    """A proxy did not answer that it is ready in time, or ended before."""


class Proxy:
    """One proxy's name and address, and its present process."""

    def __init__(self, name: str, folder: Path, run: Run, library: Path | None) -> None:
        self.name, self.run = name, run
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.control = Control(folder / f"{name}.control")
        self.library = library
        self.address, self.console = _free_address(), _free_address()
        self.process: subprocess.Popen | None = None
        self.life: ProxyLife | None = None

    def configure(
        self, settings: Mapping[str, Any], known: Mapping[str, Any], channel: str, **more: Any
    ) -> None:
        """Write the configuration file, as a whole."""
        config = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": channel,
            "console": f"{self.console[0]}:{self.console[1]}",
            "known": known,
            "settings": settings,
            **more,
        }
        partial = self.config_path.with_suffix(".partial")
        partial.write_text(json.dumps(config))
        partial.replace(self.config_path)

    def start(self, pass_fds: Sequence[int] = (), **environment: str) -> None:
        """Start a process, with descriptors that it inherits; it is not waited for."""
        env = {**os.environ, "ROUTER_CONFIG": str(self.config_path), **environment}
        if self.library is not None:
            env.update(self.control.environment(self.library))
        self.life = ProxyLife(self.name, time.monotonic())
        self.run.lives.append(self.life)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollowhitch"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
            )
        gevent.spawn(self._reap, self.process, self.life)

    def _reap(self, process: subprocess.Popen, life: ProxyLife) -> None:
        life.code = process.wait()
        life.ended_at = time.monotonic()
        life.stderr = self.log_path.read_text(errors="replace")

    def wait_ready(self) -> None:
        """Wait until it says yes; raise ProxyNotReady if it does not."""
        assert self.life is not None
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until and self.life.ended_at is None:
            if self.says_ready():
                self.life.ready_at = time.monotonic()
                return
            gevent.sleep(POLL_S)
        raise ProxyNotReady(f"{self.name}: {self.log_path.read_text(errors='replace')[-2000:]}")

    def says_ready(self) -> bool:
        """Does it say yes to the question of type 4? No answer is none."""
        try:
            with socket.create_connection(self.address, 1.0) as sock:
                sock.sendall(wire.encode_frame(wire.ASK_READY, 1))
                frames = wire.FrameReader().feed(sock.recv(100))
        except OSError:
            return False
        return any(f.kind == wire.READY and f.payload[0] == wire.YES for f in frames)

    @property
    def alive(self) -> bool:
        return self.life is not None and self.life.ended_at is None

    @property
    def age_s(self) -> float:
        return time.monotonic() - self.life.started_at if self.life is not None else 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if not self.alive or self.process is None or self.life is None:
            return
        if number in (signal.SIGTERM, signal.SIGINT) and self.life.terminated_at is None:
            self.life.terminated_at = time.monotonic()
        if number is signal.SIGKILL:
            self.life.killed_at = time.monotonic()
        self.process.send_signal(number)

    def wait_ended(self, within_s: float) -> bool:
        """Has it ended within this time?"""
        until = time.monotonic() + within_s
        while self.alive and time.monotonic() < until:
            gevent.sleep(POLL_S / 4)
        return not self.alive


def _free_address() -> tuple[str, int]:
    """An address that stays free until it is used: nothing else listens at its host, or calls from there."""
    number = next(_hosts) % HOSTS + 1
    host = f"127.{FIRST_NET + os.getpid() % NETS}.{os.getpid() // NETS % 256}.{number}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()
