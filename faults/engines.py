"""Stub engines, which take a random time for each query, fail on demand and record each attempt."""

from __future__ import annotations

import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

from faults import wire
from faults.acceptor import Acceptor
from faults.dating import DatedReader, Reading
from faults.records import AttemptEnd, AttemptRecord, RunRecord

ROW = b"a\tb\tc\n"
# Data that an engine reads within this many seconds after a silence may have arrived during the silence.
AFTER_SILENCE_S = 0.2
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0 s: closing the socket sends a reset


@dataclass(slots=True)
class Behaviour:
    """How an engine treats the requests that arrive while this behaviour is set."""

    work_s: float = 0.02  # mean run time of a query
    min_work_s: float = 0.0  # least run time of a query, to which the random one is added
    hang_share: float = 0.0  # share of requests that are never answered
    fail_share: float = 0.0  # share of requests that fail after they ran
    full_share: float = 0.0  # share of requests that are refused at once because the engine is full
    reset_share: float = 0.0  # share of requests that make the engine reset their connection while they run
    reset_after_s: float = 0.05  # mean time from the arrival of such a request to the reset
    silent: bool = False  # the engine reads nothing, like a machine that is unreachable
    pages: int = 1  # number of pages of a result
    page_bytes: int = len(ROW)  # size of a page; rounded down to whole rows, but at least one row


class StubEngine:
    """One stub engine, which listens at its own address and records the attempts that reach it."""

    def __init__(self, name: str, host: str, run: RunRecord, rng: random.Random) -> None:
        self.name, self.run, self.rng = name, run, rng
        self.behaviour = Behaviour()
        self.min_work_by_class: dict[str, float] = {}  # least run time in seconds of the queries of a class
        self.draining = False  # the channel announced that the engine is leaving or has left
        self.last_silent_at = 0.0
        self.connections: set[EngineConnection] = set()
        self._acceptor = Acceptor(host, self._serve)
        self.host, self.port = self._acceptor.address

    def _serve(self, sock: socket.socket) -> None:
        connection = EngineConnection(self, sock)
        self.connections.add(connection)
        connection.serve()

    def reset_all(self) -> None:
        """Reset every connection, as the kernel does when a process is killed."""
        for connection in list(self.connections):
            connection.reset()

    def close_idle(self) -> None:
        """Close the connections that have no running attempt."""
        for connection in list(self.connections):
            if not connection.attempts:
                connection.close(AttemptEnd.CLOSED)

    def stop(self) -> None:
        """Stop listening and reset every connection."""
        self._acceptor.close()
        self.reset_all()


@dataclass(frozen=True, slots=True)
class MessageTime:
    """When a message arrived: no later and no earlier than these times."""

    latest_at: float
    earliest_at: float


def _message_time(reading: Reading, ends_message: bool) -> MessageTime:
    """Return the time of a message; `ends_message` is whether the reading ends with its last byte."""
    return MessageTime(reading.received_at, reading.received_at if ends_message else reading.earliest_at)


def _given_up_at(attempt: AttemptRecord, earliest_at: float) -> None:
    """Note that the proxy has given up an attempt, which its engine may have read only after it had ended."""
    if attempt.ended_earliest_at is not None:
        attempt.ended_earliest_at = min(attempt.ended_earliest_at, earliest_at)


class EngineConnection:
    """One connection of a proxy to a stub engine."""

    def __init__(self, engine: StubEngine, sock: socket.socket) -> None:
        self.engine, self.sock = engine, sock
        self.attempts: dict[str, AttemptRecord] = {}  # running attempts by ref
        self.ended_attempts: dict[str, AttemptRecord] = {}  # the others by ref
        self.pages_left: dict[str, int] = {}  # number of pages still to be fetched, by ref
        self.closed = False
        self._message: MessageTime | None = (
            None  # when the proxy's last message arrived; None: the engine acts
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def serve(self) -> None:
        """Read and handle the proxy's lines until the connection ends."""
        handlers: dict[str, Callable[[list[str]], None]] = {
            "STOP": self._handle_stop,
            "END": self._handle_end,
            "FETCH": self._handle_fetch,
            "HELO": self._handle_hello,
        }
        reader, data = DatedReader(self.sock), bytearray()
        first_byte = MessageTime(0.0, 0.0)
        try:
            while (reading := reader.read()).data:
                read_late = self.engine.last_silent_at > time.monotonic() - AFTER_SILENCE_S
                while self.engine.behaviour.silent:
                    read_late = True
                    reader.pause()
                    gevent.sleep(0.02)
                    self.engine.last_silent_at = time.monotonic()
                first_byte = first_byte if data else MessageTime(reading.received_at, reading.earliest_at)
                data += reading.data
                while (end := data.find(b"\r\n")) >= 0:
                    words = data[:end].decode().split(" ")
                    size = end + 2 + (int(words[3]) + 2 if words[0] == "REQ" else 0)
                    if len(data) < size:
                        break
                    del data[:size]
                    self._message = _message_time(reading, ends_message=not data)
                    if words[0] == "REQ":
                        self._handle_request(words, first_byte, read_late)
                    else:
                        handlers[words[0]](words)
                    first_byte = MessageTime(reading.received_at, reading.earliest_at)
        except OSError:
            pass
        self._message = MessageTime(time.monotonic(), reader.earliest_end_at())
        for attempt in self.ended_attempts.values():
            _given_up_at(attempt, self._message.earliest_at)
        self.close(AttemptEnd.CLOSED)

    def _handle_request(self, words: list[str], first_byte: MessageTime, read_late: bool) -> None:
        fields = wire.decode_request_fields(words[2])
        ref = words[1]
        attempt = AttemptRecord(
            ref=ref,
            engine=self.engine.name,
            class_name=fields["class"],
            first_byte_at=first_byte.latest_at,
            arrived_at=self._message.latest_at,
            earliest_at=min(first_byte.earliest_at, self._message.earliest_at),
            wait_s=int(fields["wait"]) / 1000,
            once=fields.get("once"),
            read_late=read_late,
        )
        self.engine.run.attempts.append(attempt)
        self.attempts[ref] = attempt
        if self.closed:  # reset while the engine was silent: a STOP may have been lost unread
            self._record_end(ref, AttemptEnd.RESET)
            attempt.end_read_late = True
            return
        gevent.spawn(self._run_query, ref, attempt)

    def _run_query(self, ref: str, attempt: AttemptRecord) -> None:
        behaviour, rng = self.engine.behaviour, self.engine.rng
        draw = rng.random()
        if draw < behaviour.hang_share:
            return
        draw -= behaviour.hang_share
        if draw < behaviour.full_share:
            return self._finish(ref, attempt, "full", AttemptEnd.FULL)
        draw -= behaviour.full_share
        if draw < behaviour.reset_share:
            gevent.sleep(rng.uniform(0.0, 2 * behaviour.reset_after_s))
            return self.reset()
        draw -= behaviour.reset_share
        min_work_s = max(behaviour.min_work_s, self.engine.min_work_by_class.get(attempt.class_name, 0.0))
        gevent.sleep(min_work_s + rng.expovariate(1 / behaviour.work_s))
        if draw < behaviour.fail_share:
            return self._finish(ref, attempt, "failed", AttemptEnd.FAILED)
        pages = behaviour.pages
        if pages > 1 and self.attempts.get(ref) is attempt:
            self.pages_left[ref] = pages - 1
            return self._write(wire.encode_answer_line(ref, "data", f"fetches={pages}", self._page()))
        self._finish(ref, attempt, "data", AttemptEnd.SERVED)

    def _finish(self, ref: str, attempt: AttemptRecord, kind: str, end: AttemptEnd) -> None:
        if self.attempts.get(ref) is not attempt:
            return
        fields, body = ("fetches=1", self._page()) if kind == "data" else ("-", b"")
        self._message = None
        self._record_end(ref, end)
        self._write(wire.encode_answer_line(ref, kind, fields, body))
        attempt.end_written_at = time.monotonic()

    def _page(self) -> bytes:
        return ROW * max(1, self.engine.behaviour.page_bytes // len(ROW))

    def _write(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.close(AttemptEnd.CLOSED)

    def _record_end(self, ref: str, end: AttemptEnd) -> None:
        attempt = self.attempts.pop(ref, None)
        self.pages_left.pop(ref, None)
        if attempt is not None:
            engine = self.engine
            attempt.end, message = end, self._message
            attempt.ended_at = time.monotonic() if message is None else message.latest_at
            attempt.ended_earliest_at = attempt.ended_at if message is None else message.earliest_at
            self.ended_attempts[ref] = attempt
            attempt.end_read_late = engine.behaviour.silent or engine.last_silent_at > attempt.arrived_at

    def _handle_stop(self, words: list[str]) -> None:
        ref, message = words[1], self._message
        if ref in self.ended_attempts and message is not None:
            _given_up_at(self.ended_attempts[ref], message.earliest_at)
        self._record_end(ref, AttemptEnd.CANCELLED)

    def _handle_end(self, words: list[str]) -> None:
        self._record_end(words[1], AttemptEnd.SERVED)

    def _handle_fetch(self, words: list[str]) -> None:
        ref, number = words[1], words[2]
        if ref not in self.pages_left:
            return self._write(wire.encode_answer_line(ref, "failed"))
        self.pages_left[ref] -= 1
        attempt = self.attempts.get(ref)
        if not self.pages_left[ref]:
            self._record_end(ref, AttemptEnd.SERVED)
        self._write(wire.encode_answer_line(ref, "page", f"fetch_no={number}", self._page()))
        if attempt is not None and attempt.ended_at is not None:
            attempt.end_written_at = time.monotonic()

    def _handle_hello(self, words: list[str]) -> None:
        self._write(wire.encode_answer_line(words[1], "well"))

    def reset(self) -> None:
        """Reset the connection; its running attempts end as RESET."""
        if not self.closed:
            self._message = None
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.close(AttemptEnd.RESET)

    def close(self, end: AttemptEnd) -> None:
        """Close the connection; its running attempts end with `end`."""
        if self.closed:
            return
        self.closed = True
        self.engine.connections.discard(self)
        for ref in list(self.attempts):
            self._record_end(ref, end)
        self.sock.close()
