"""What every case needs: the record, the proxy's processes, and stand-ins on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from common import wire

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
QUEUE = 128  # new connections that wait to be accepted
_readers: set[asyncio.Task[None]] = set()  # tasks must be referenced while they run


class CannotRun(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, and when."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def __call__(self, who: str, what: str, **details: object) -> None:
        """Write one line."""
        at = time.monotonic() - self._started_at
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{at:9.3f} {who:<10} {what} {text}".rstrip() + "\n")
        self._file.flush()


def free_port() -> int:
    """Return a free TCP port of the loopback address."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def make_class(name: str, semantics: str, deadline_s: float, **more: Any) -> dict[str, Any]:
    """Return the settings of one class."""
    return {
        "name": name,
        "semantics": semantics,
        "goalTimeUs": int(deadline_s * 250_000),
        "deadlineUs": int(deadline_s * 1_000_000),
        "keyScope": "all",
        "repeatWindowUs": 12_000_000,
        "lateShare": 0.5,
        "worth": 1.0,
        "streaming": False,
        **more,
    }


def make_settings(**bounds: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: look-ups, reports and keyed loads."""
    return {
        "replicasOfMe": 1,
        "position": 0,
        "areas": ["hall"],
        "myZone": "hall",
        "kinds": ["std"],
        "classes": [
            make_class("lookup", "retryable", 2.5),
            make_class("report", "retryable", 20.0),
            make_class("load", "dedup", 20.0, sequential=True),
        ],
        "accounts": [{"name": "acme", "quotaPerS": 2000.0, "share": 1.0}],
        "discovery": "automatic",
        "granularityUs": 5000,
        "bounds": {
            "cancel": True,
            "dialTimeoutUs": 250_000,
            "keepaliveUs": 30_000_000,
            "maxAttempts": 4,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 500_000,
            "peerMessages": False,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 100,
            **bounds,
        },
        "rules": {
            "answerSlackUs": 20_000,
            "coldUs": 14_000_000,
            "drainGraceUs": 2_000_000,
            "keyRestUs": 0,
            "mustAskInUs": 10_000_000,
            "startCapacity": 0.31,
            "tipAfterUs": 3_000_000,
            "tipMultiple": 4.0,
        },
        "extra": {
            "grantsCount": True,
            "holdsTables": [False, False, False],
            "kindCores": [8],
            "parallelism": [1, 3, 2],
            "sizeMb": [16384.0],
            "whenShort": "swap",
            "yieldsToLoads": [False, False, False],
        },
        "loadInfo": {"fields": ["cpu", "waiting", "x0"], "how": "answers"},
        "weights": "none",
    }


class Channel:
    """The command channel: numbered server-sent events, with a comment each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, list[dict[str, Any]]()
        self.port = 0
        self.answers_after_s = 0.0  # how long a call waits before its first byte
        self.writers: set[asyncio.StreamWriter] = set()  # the open calls
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def tell(self, *members: dict[str, Any], complete: bool = False) -> None:
        """Add an event."""
        number = len(self.events) + 1
        nodes = {"revision": number, "complete": complete, "members": list(members)}
        self.events.append({"cursor": number, "nodes": nodes})
        phases = ",".join(f"{m['id']}:{m['phase']}" for m in members)
        self.record("channel", "event", cursor=number, members=phases)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            lines = [line.partition(":") for line in head.decode().lower().split("\r\n")]
            cursor = next((int(value) for name, _, value in lines if name == "last-event-id"), 0)
            self.record("channel", "call", last_event_id=cursor)
            if self.answers_after_s:
                await asyncio.sleep(self.answers_after_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            comment_at = 0.0
            while not writer.is_closing():
                for event in self.events[cursor:]:
                    cursor = event["cursor"]
                    writer.write(f"id: {cursor}\ndata: {json.dumps(event)}\n\n".encode())
                if time.monotonic() >= comment_at:
                    writer.write(b": here\n\n")
                    comment_at = time.monotonic() + 1.0
                await writer.drain()
                await asyncio.sleep(0.02)
        self.writers.discard(writer)
        writer.close()


class Attempt:
    """One request as a database received it."""

    def __init__(self, database: Database, ref: str, values: dict[str, str], statement: bytes) -> None:
        self.database, self.ref, self.values, self.statement = database, ref, values, statement
        self.arrived_at = time.monotonic()
        self.ended_at: float | None = None  # its end was written, or it was given up
        self.end = ""
        self.pages: dict[int, bytes] = {}  # further pages of the result that wait to be fetched, by number


Behaviour = Callable[[Attempt], Awaitable[bytes | None]]


async def answer_one_row(attempt: Attempt) -> bytes | None:
    """Answer as a sound database does, after a little work."""
    await asyncio.sleep(0.02)
    return data_answer(attempt)


def data_answer(attempt: Attempt) -> bytes:
    """Return an answer of one row, which names the request."""
    row = f"{attempt.ref}\t{attempt.database.name}\tok\n".encode()
    return wire.answer_line(attempt.ref, "data", "fetches=1,stats=cpu:0.3;waiting:0;x0:0.2", row)


class Database:
    """A database, which runs each request by `behaviour`; None as its result stands for no answer."""

    def __init__(self, name: str, record: Record, behaviour: Behaviour = answer_one_row) -> None:
        self.name, self.record, self.behaviour = name, record, behaviour
        self.attempts: list[Attempt] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def member(self, phase: str = "active", up_since_ms: int = 0) -> dict[str, Any]:
        """Return the database as the command channel lists it."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "hall",
            "flavor": "std",
            "cell": 0,
            "phase": phase,
            "size": 1,
            "up_since_ms": up_since_ms,
        }

    def reset_connections(self) -> None:
        """Reset all connections, as the kernel does when a process dies."""
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self) -> None:
        """End as a killed process does: connections are reset, and new ones are refused."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        self.record(self.name, "crashed")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        running: dict[str, Attempt] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    statement = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    pairs = (pair.partition("=") for pair in words[2].split(",") if words[2] != "-")
                    attempt = Attempt(self, words[1], {n: v for n, _, v in pairs}, statement)
                    running[attempt.ref] = attempt
                    self.attempts.append(attempt)
                    self.record(self.name, "request", ref=attempt.ref, **attempt.values, size=len(statement))
                    task = asyncio.create_task(self._run(attempt, running, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                elif words[0] == "STOP":
                    self._end(running.pop(words[1], None), "given up")
                elif words[0] == "FETCH":
                    self._answer_page(words[1], int(words[2]), running, writer)
                elif words[0] == "END":
                    self._end(running.pop(words[1], None), "no more pages wanted")
                elif words[0] == "HELO":
                    writer.write(wire.answer_line(words[1], "well"))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            for attempt in list(running.values()):
                self._end(attempt, "connection ended")
            running.clear()
            writer.close()

    async def _run(self, attempt: Attempt, running: dict[str, Attempt], writer: asyncio.StreamWriter) -> None:
        answer = await self.behaviour(attempt)
        if answer is not None and running.get(attempt.ref) is attempt and not writer.is_closing():
            writer.write(answer)
            if attempt.pages:
                self.record(
                    self.name, "answered the first page", ref=attempt.ref, line=answer.split(b"\r\n")[0]
                )
            else:
                del running[attempt.ref]
                self._end(attempt, "answered")

    def _answer_page(
        self, ref: str, number: int, running: dict[str, Attempt], writer: asyncio.StreamWriter
    ) -> None:
        attempt = running.get(ref)
        if attempt is None or number not in attempt.pages:
            writer.write(wire.answer_line(ref, "failed"))
            return
        writer.write(wire.answer_line(ref, "page", f"fetch_no={number}", attempt.pages.pop(number)))
        if not attempt.pages:
            del running[ref]
            self._end(attempt, "answered the last page")

    def _end(self, attempt: Attempt | None, how: str) -> None:
        if attempt is not None:
            attempt.ended_at, attempt.end = time.monotonic(), how
            self.record(self.name, how, ref=attempt.ref)


class LateDatabase(Database):
    """A database whose connections come up late while its queue of new connections is full.

    The kernel drops the first packet of a connection that finds the queue full, and the proxy's kernel sends
    it again one second later.
    """

    async def start(self) -> None:
        """Listen on a free port."""
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(QUEUE)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.fillers: list[socket.socket] = []
        self.conversations: set[asyncio.Task[None]] = set()
        self.acceptor = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.conversations.add(asyncio.create_task(self._serve(reader, writer)))

    async def hold_back(self) -> None:
        """Make the queue as short as possible and fill it, so that new connections come up late."""
        self.acceptor.cancel()
        self.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self.fillers.append(filler)
        await asyncio.sleep(0.05)
        self.record(self.name, "new connections come up late")

    def go_on(self) -> None:
        """Accept connections again."""
        for filler in self.fillers:
            filler.close()
        self.sock.listen(QUEUE)
        self.acceptor = asyncio.create_task(self._accept())
        self.record(self.name, "accepts connections")


class Request:
    """A client's request and what came back for it."""

    def __init__(self, class_name: str, allow_s: float) -> None:
        self.class_name, self.allow_s = class_name, allow_s
        self.ref = secrets.token_hex(8)
        self.sent_at: float | None = None  # when its last byte was written
        self.answers: list[tuple[float, int, bytes]] = []  # when, code, body
        self.connection_ended_at: float | None = None
        self.left_at: float | None = None  # when the client stopped waiting

    def outcome(self) -> str:
        """Return in a few words what became of the request."""
        if self.answers and self.sent_at is not None:
            at, code, _ = self.answers[0]
            return f"{wire.CODE_NAMES.get(code, code)} after {at - self.sent_at:.3f} s"
        if self.connection_ended_at is not None:
            return "no answer: the connection ended"
        return "no answer"


class Client:
    """One client connection."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.requests: dict[int, Request] = {}
        self.errors: list[tuple[float, str]] = []  # answers on stream 0
        self.asked_to_leave_at: float | None = None
        self.ended_at: float | None = None
        self.ready: asyncio.Queue[int] = asyncio.Queue()
        self._stream = 0

    async def connect(self, port: int) -> Client:
        """Connect to a proxy."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.create_task(self._read())
        _readers.add(task)
        task.add_done_callback(_readers.discard)
        return self

    def encode(
        self, request: Request, statement: bytes = b"select a, b, c from sales_1.orders", **more: str
    ) -> bytes:
        """Return a request's frame on a new stream, and expect its answer there."""
        self._stream += 1
        self.requests[self._stream] = request
        values = {
            "service": request.class_name,
            "ref": request.ref,
            "allow": str(int(request.allow_s * 1000)),
            "project": "acme",
            "effort": "60.0",
            "need_mb": "16",
            **more,
        }
        return wire.frame(wire.REQUEST, self._stream, wire.fields(values) + statement)

    def written(self, request: Request, size: int) -> Request:
        """Note that a request's last byte was written just now."""
        request.sent_at = time.monotonic()
        self.record(self.name, "request", ref=request.ref, service=request.class_name, size=size)
        return request

    async def send(self, class_name: str, allow_s: float, **more: Any) -> Request:
        """Write a request, and return it once its last byte is written."""
        request = Request(class_name, allow_s)
        data = self.encode(request, **more)
        self.writer.write(data)
        await self.writer.drain()
        return self.written(request, len(data))

    def cancel(self, request: Request) -> None:
        """Tell the proxy that nobody waits for the request any more."""
        stream = next(s for s, r in self.requests.items() if r is request)
        self.writer.write(wire.frame(wire.CANCEL, stream))
        request.left_at = time.monotonic()
        self.record(self.name, "cancel", ref=request.ref)

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask whether the proxy is ready."""
        self._stream += 1
        self.writer.write(wire.frame(wire.READY_QUESTION, self._stream, wire.fields({})))
        with contextlib.suppress(asyncio.TimeoutError):
            return await asyncio.wait_for(self.ready.get(), timeout_s) == 1
        return False

    async def _read(self) -> None:
        buffer = bytearray()
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(65_536):
                buffer += data
                for kind, stream, payload in wire.split_frames(buffer):
                    self._handle(kind, stream, payload)
        self.ended_at = time.monotonic()
        self.record(self.name, "connection ended")
        for request in self.requests.values():
            if not request.answers:
                request.connection_ended_at = self.ended_at
        self.writer.close()

    def _handle(self, kind: int, stream: int, payload: bytes) -> None:
        now = time.monotonic()
        if kind == wire.READY_ANSWER:
            self.ready.put_nowait(payload[0])
        elif kind == wire.LEAVE:
            self.asked_to_leave_at = now
            self.record(self.name, "asked to leave")
        elif kind == wire.ANSWER:
            _, body = wire.read_fields(payload[1:])
            request = self.requests.get(stream)
            code = wire.CODE_NAMES.get(payload[0], str(payload[0]))
            if request is None:
                self.errors.append((now, body.decode("utf-8", "replace")))
                self.record(self.name, "error", stream=stream, code=code, text=body[:80])
            else:
                request.answers.append((now, payload[0], body))
                self.record(self.name, "answer", ref=request.ref, code=code, body=body[:60])

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Proxy:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, record: Record, folder: Path, settings: dict[str, Any]) -> None:
        self.name, self.record, self.folder, self.settings = name, record, folder, settings
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.more: dict[str, Any] = {}  # further keys of the configuration
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, channel: Channel) -> None:
        """Write the configuration file."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "channel": f"{HOST}:{channel.port}",
            "known": {"cursor": len(channel.events), "cmds": channel.events},
            "settings": self.settings,
            **self.more,
        }
        draft = self.config_path.with_suffix(".new")
        draft.write_text(json.dumps(config))
        draft.replace(self.config_path)

    def start(self) -> None:
        """Start the process by `/bin/sh -c`, as the platform does."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = Path(tempfile.mkdtemp(dir=self.folder))
        env = {
            **os.environ,
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record(self.name, "started")

    async def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        """Ask ten times a second until the proxy says yes."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log_end()}")
            with contextlib.suppress(OSError):
                client = await Client("front", self.record).connect(self.port)
                is_ready = await client.is_ready()
                client.close()
                if is_ready:
                    self.record(self.name, "ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready: {self.log_end()}")

    def log_end(self) -> str:
        """Return the last lines that the process has logged."""
        return (self.folder / f"{self.name}.log").read_text()[-500:]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record(self.name, "signal", number=number.name)
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Bench:
    """All parts of one run."""

    def __init__(self, case: Path, folder: Path, trouble: bool) -> None:
        self.record, self.folder, self.trouble = Record(case), folder, trouble
        self.channel = Channel(self.record)
        self.databases: list[Database] = []
        self.proxies: list[Proxy] = []

    async def start(
        self, settings: dict[str, Any], databases: int, behaviour: Behaviour = answer_one_row, **more: Any
    ) -> Proxy:
        """Start databases, the channel and one proxy, and wait until the proxy is ready."""
        self.record("case", "settings", text=json.dumps(settings))
        await self.channel.start()
        for number in range(databases):
            database = Database(f"db{number}", self.record, behaviour)
            await database.start()
            self.databases.append(database)
        self.channel.tell(*(database.member() for database in self.databases), complete=True)
        proxy = Proxy("proxy0", self.record, self.folder, settings)
        proxy.more.update(more)
        self.proxies.append(proxy)
        proxy.configure(self.channel)
        proxy.start()
        await proxy.wait_until_ready()
        return proxy

    async def client(self, name: str, proxy: Proxy) -> Client:
        """Return a new client connection."""
        return await Client(name, self.record).connect(proxy.port)


def main(case_file: str, run: Callable[[Bench], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case and exit as the review asks; `run` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        bench = Bench(Path(case_file).resolve().parent, Path(folder), trouble)
        code = COULD_NOT_RUN
        try:
            held = asyncio.run(asyncio.wait_for(run(bench), limit_s))
            code = HELD if held else BROKEN
        except CannotRun as e:
            bench.record("case", f"could not run: {e}")
        except Exception as e:
            bench.record("case", f"could not run: {e!r}")
        finally:
            for proxy in bench.proxies:
                proxy.stop()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[code]
        bench.record("case", verdict, trouble=int(trouble))
        print(verdict)
        sys.stdout.flush()
    os._exit(code)  # skips the interpreter's complaints about tasks that still wait
