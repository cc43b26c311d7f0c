"""Stand-ins for clients, databases and the command channel, and the start of the proxy itself.

Everything runs on loopback addresses and the real clock, with the standard library alone. A case records
what it sees with `Record`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HEADER = struct.Struct(">IBI")
REQUEST, ANSWER, CANCEL, READINESS_CHECK, READY, CLOSING = 1, 2, 3, 4, 5, 6
SERVED, REFUSED, FAILED = 1, 2, 3
STATEMENT = b"select a from sales_1.orders"
WORDS = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
END_S = 5.0  # seconds that a process has to end after it was killed
READY_S = 30.0  # seconds that a proxy has until it is ready
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be carried out; this says nothing about the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the current time."""
        self._file.write(f"{time.monotonic() - self.began_at:9.3f} {text}\n")
        self._file.flush()


def free_address(host: str = "127.0.0.1") -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


def member(
    name: str, address: str, phase: str = "active", started_ms: int = 0, **more: Any
) -> dict[str, Any]:
    """Return a database as a list on the command channel describes it."""
    row = {"id": name, "host_port": address, "locality": "split-podvala", "flavor": "std-8a", "cell": 0}
    return {**row, "phase": phase, "size": 1, "up_since_ms": started_ms, **more}


class Channel:
    """The command channel: numbered events as server-sent events, and a comment each second."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def announce(self, *members: dict[str, Any], complete: bool = False) -> None:
        """Add an event that names these databases."""
        cursor = len(self.events) + 1
        nodes = {"revision": cursor, "complete": complete, "members": list(members)}
        self.events.append({"cursor": cursor, "nodes": nodes})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line.partition(":") for line in head.split("\r\n")]
            cursor = int(next((v for n, _, v in lines if n.lower() == "last-event-id"), "0"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while True:
                changed = self._changed
                for event in self.events[cursor:]:
                    cursor += 1
                    writer.write(f"id: {cursor}\ndata: {json.dumps(event)}\n\n".encode())
                await writer.drain()
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except TimeoutError:
                    writer.write(b": alive\n\n")
        writer.close()


@dataclass(eq=False)
class Attempt:
    """A request that has arrived whole at a database."""

    database: Database
    writer: asyncio.StreamWriter
    ref: str
    fields: dict[str, str]
    statement: bytes
    arrived_at: float
    ended_at: float | None = None  # when its end was written, or it was given up
    end: str = ""

    def over(self, end: str) -> None:
        """Note how and when the attempt ended, unless it has ended before."""
        if self.ended_at is None:
            self.ended_at, self.end = time.monotonic(), end
            self.database.record.add(f"{self.database.name} {self.ref} {end}")

    def write(self, word: str, fields: str = "-", body: bytes = b"", ends: bool = True) -> None:
        """Write an answer line with its body; `ends` says that it is the end of the attempt."""
        if self.ended_at is not None or self.writer.is_closing():
            return
        self.writer.write(f"{self.ref} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        if ends:
            self.over(word)


def rows_for(ref: str) -> bytes:
    """Return the result of a request, which names the request."""
    return f"{ref}\tresult\tof this request\n".encode()


class Database:
    """A database, which runs what it is sent; `run` decides how long and how it ends."""

    def __init__(self, name: str, record: Record, host: str = "127.0.0.1") -> None:
        self.name, self.record, self.host = name, record, host
        self.address = ""
        self.attempts: list[Attempt] = []
        self.work_s = 0.02
        self.run: Callable[[Attempt], Awaitable[None]] = self.serve
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen, by default on a free port."""
        self.server = await asyncio.start_server(self._connected, self.host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, attempt: Attempt) -> None:
        """Serve an attempt after the usual time."""
        await asyncio.sleep(self.work_s)
        attempt.write("data", "fetches=1", rows_for(attempt.ref))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_attempts: dict[str, Attempt] = {}
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                words = line.decode().rstrip("\r\n").split(" ")
                if words[0] == "REQ":
                    statement = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",") if "=" in pair)
                    attempt = Attempt(self, writer, words[1], fields, statement, time.monotonic())
                    self.attempts.append(attempt)
                    open_attempts[words[1]] = attempt
                    self.record.add(f"{self.name} {words[1]} arrived {words[2]}")
                    self._spawn(attempt)
                elif words[0] in ("STOP", "END") and words[1] in open_attempts:
                    open_attempts[words[1]].over(f"given up ({words[0]})")
                elif words[0] == "FETCH" and words[1] in open_attempts:
                    self.fetch(open_attempts[words[1]], int(words[2]))
                elif words[0] == "HELO":
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        for attempt in open_attempts.values():
            attempt.over("given up (connection closed)")
        self.writers.discard(writer)
        writer.close()

    def fetch(self, attempt: Attempt, number: int) -> None:
        """Answer a request for a further page."""
        attempt.writer.write(f"{attempt.ref} failed - 0\r\n\r\n".encode())

    def _spawn(self, attempt: Attempt) -> None:
        task = asyncio.ensure_future(self._run(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, attempt: Attempt) -> None:
        with contextlib.suppress(OSError):
            await self.run(attempt)


@dataclass(eq=False)
class Asked:
    """A request of a client, and its answers."""

    ref: str
    class_name: str
    allow_s: float
    sent_at: float = 0.0
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)
    lost_at: float | None = None  # when the connection ended, if that was before an answer
    cancelled_at: float | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def outcome(self) -> str:
        """The word for the first answer, or for its absence."""
        if self.answers:
            return WORDS.get(self.answers[0][1], "unreadable")
        return "connection ended" if self.lost_at is not None else "unanswered"


class Client:
    """One client connection."""

    def __init__(self, record: Record, name: str = "client") -> None:
        self.record, self.name = record, name
        self.asked: dict[int, Asked] = {}
        self.ready: asyncio.Queue[int] = asyncio.Queue()
        self.ended_at: float | None = None
        self.told_to_leave = False
        self._stream = 0

    async def connect(self, address: str) -> Client:
        """Connect to a proxy."""
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.ensure_future(self._read())
        return self

    def ask(
        self,
        class_name: str,
        allow_s: float,
        statement: bytes = b"select a from sales_1.orders",
        **fields: str,
    ) -> Asked:
        """Write a request; `fields` replace or add fields, and `effort` is 20 ms by default."""
        self._stream += 1
        asked = Asked(fields.pop("ref", secrets.token_hex(8)), class_name, allow_s)
        values = {
            "service": class_name,
            "ref": asked.ref,
            "allow": str(int(allow_s * 1000)),
            "effort": "20.0",
        }
        values |= {"need_mb": "8", **fields}
        parts = [bytes([len(values)])]
        for name, value in values.items():
            raw = value.encode()
            parts.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(raw)) + raw)
        payload = b"".join(parts) + statement
        self.asked[self._stream] = asked
        self.writer.write(HEADER.pack(5 + len(payload), REQUEST, self._stream) + payload)
        asked.sent_at = time.monotonic()
        self.record.add(f"{self.name} asks {asked.ref} {class_name} allow={allow_s}")
        return asked

    def cancel(self, asked: Asked) -> None:
        """Stop waiting for a request."""
        stream = next(number for number, a in self.asked.items() if a is asked)
        asked.cancelled_at = time.monotonic()
        self.writer.write(HEADER.pack(5, CANCEL, stream))
        self.record.add(f"{self.name} cancels {asked.ref}")

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask whether the proxy is ready."""
        self._stream += 1
        self.writer.write(HEADER.pack(6, READINESS_CHECK, self._stream) + b"\0")
        return await asyncio.wait_for(self.ready.get(), timeout_s) == 1

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = HEADER.unpack(await self.reader.readexactly(HEADER.size))
                payload = await self.reader.readexactly(length - 5)
                if kind == ANSWER and stream in self.asked:
                    asked = self.asked[stream]
                    asked.answers.append((time.monotonic(), payload[0], _body(payload[1:])))
                    self.record.add(f"{self.name} got {asked.ref} {WORDS.get(payload[0])}")
                    asked.done.set()
                elif kind == READY:
                    self.ready.put_nowait(payload[0])
                elif kind == CLOSING:
                    self.told_to_leave = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ended_at = time.monotonic()
        for asked in self.asked.values():
            if not asked.answers:
                asked.lost_at = self.ended_at
                asked.done.set()
        self.writer.close()

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self.writer.close()


def _body(payload: bytes) -> bytes:
    offset = 1
    for _ in range(payload[0]):
        name_end = offset + 1 + payload[offset]
        offset = name_end + 2 + int.from_bytes(payload[name_end : name_end + 2], "big")
    return payload[offset:]


class Proxy:
    """The project's own program, started with the command `run` of the deploy file."""

    def __init__(self, folder: Path, settings: dict[str, Any], channel: Channel, name: str = "n1") -> None:
        self.folder, self.settings, self.channel, self.name = folder, settings, channel, name
        self.address, self.console = free_address(), free_address()
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, **changes: Any) -> None:
        """Replace the configuration file; `changes` replace its top-level keys."""
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": self.channel.address,
            "console": self.console,
            "known": {"cursor": len(self.channel.events), "cmds": list(self.channel.events)},
            "settings": self.settings,
            **changes,
        }
        partial = self.config_path.with_suffix(".partial")
        partial.write_text(json.dumps(config))
        partial.replace(self.config_path)

    def start(self) -> None:
        """Start a process with its present configuration file."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        environment = {
            **os.environ,
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.address,
            "ROUTER_CONSOLE": self.console,
            "ROUTER_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Wait until the proxy says that it is ready, as the front does."""
        ends_at = time.monotonic() + READY_S
        while time.monotonic() < ends_at:
            if self.process is None or self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client(Record(Path(os.devnull))).connect(self.address)
                ready = await client.is_ready()
                client.close()
                if ready:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log_path.read_text(errors='replace')[-800:]}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait(END_S)


async def call_console(address: str, method: str, path: str, body: str = "") -> int:
    """Call the console as operators do, and return the status."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: p\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment; `changes` replace their keys."""
    return {
        "accounts": [{"name": "riva-group", "quotaPerS": 500.0, "share": 1.0}],
        "areas": ["split-podvala"],
        "bounds": {
            "cancel": True,
            "dialTimeoutUs": 250000,
            "keepaliveUs": 30000000,
            "maxAttempts": 4,
            "maxOpen": 20000,
            "maxRetryAfterUs": 500000,
            "peerMessages": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 100,
        },
        "callers": {"marksRetry": True},
        "classes": [
            {
                "name": "table-check",
                "aimStretch": 1.5,
                "deadlineUs": 2500000,
                "goalTimeUs": 500000,
                "lateShare": 0.0,
                "semantics": "retryable",
                "worth": 1.0,
            },
            {
                "name": "covers-report",
                "aimStretch": 2.5,
                "deadlineUs": 20000000,
                "goalTimeUs": 2000000,
                "lateShare": 0.4,
                "semantics": "retryable",
                "worth": 10.0,
            },
            {
                "name": "booking-load",
                "aimStretch": 2.5,
                "deadlineUs": 20000000,
                "goalTimeUs": 4000000,
                "keyScope": "all",
                "lateShare": 0.6,
                "repeatWindowUs": 12000000,
                "semantics": "dedup",
                "sequential": True,
                "worth": 12.0,
            },
        ],
        "deductions": {"lateFail": 0.062, "waste": 0.024},
        "discovery": "automatic",
        "extra": {
            "grantsCount": True,
            "holdsTables": [False, False, True],
            "kindCores": [8, 8],
            "mostGrant": 0.4,
            "parallelism": [1, 3, 2],
            "progressUs": 0,
            "sizeMb": [16384.0, 16384.0],
            "whenShort": "swap",
            "yieldsToLoads": [True, False, False],
        },
        "family": "queries",
        "granularityUs": 5000,
        "kinds": ["std-8a", "std-8b"],
        "loadInfo": {"fields": ["cpu", "waiting", "x0"], "how": "answers"},
        "myZone": "split-podvala",
        "overShareWorth": 0.2,
        "position": 0,
        "replicasOfMe": 1,
        "rules": {
            "answerSlackUs": 20000,
            "coldUs": 14000000,
            "drainGraceUs": 2000000,
            "keyRestUs": 0,
            "startCapacity": 0.31,
            "tipAfterUs": 3000000,
            "tipMultiple": 4.0,
        },
        "weights": "none",
        **changes,
    }


def main(case: Callable[[Record, Path, list[Proxy]], Awaitable[bool]], folder: Path) -> None:
    """Carry out a case, which returns whether the rule held, and exit with its code.

    The case adds each proxy that it creates to the list; all of them are ended here.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))  # the proxies are ended below
    record = Record(folder / "record.txt")
    proxies: list[Proxy] = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, Path(temporary), proxies), 115))
            code = HELD if held else BROKEN
        except (CannotRun, OSError, TimeoutError, subprocess.TimeoutExpired) as e:
            record.add(f"the case could not run: {type(e).__name__}: {e}")
            code = NOT_RUN
        finally:
            for proxy in proxies:
                proxy.end()
                if "KEEP_LOG" in os.environ:
                    shutil.copy(proxy.log_path, os.environ["KEEP_LOG"])
    record.add({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' connections need no orderly end
