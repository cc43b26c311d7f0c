"""Stand-in servers: they run queries for a drawn time, fail as they are told, and record each attempt."""

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
from faults.records import AttemptEnd, AttemptRecord, Run

ROW = b"a\tb\tc\n"
UNREAD_S = 0.2  # after a silence, in which what is read may have come during it
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing sends a reset


@dataclass(slots=True)
class Behaviour:
    """How a server treats requests that arrive from now on."""

    work_s: float = 0.02  # mean time of a query
    hang_share: float = 0.0  # requests that are never answered
    fail_share: float = 0.0
    full_share: float = 0.0
    reset_share: float = 0.0  # requests whose connection is reset while they run
    reset_after_s: float = 0.05
    silent: bool = False  # reads nothing, as a machine that has vanished
    pages: int = 1
    page_bytes: int = len(ROW)  # of each page, at least; whole rows


class Server:
    """One stand-in server on an address of its own."""

    def __init__(self, name: str, host: str, run: Run, rng: random.Random) -> None:
        self.name, self.run, self.rng = name, run, rng
        self.behaviour = Behaviour()
        self.draining = False
        self.spoke_at = 0.0  # when it was silent last
        self.open: set[ServerConnection] = set()
        self._acceptor = Acceptor(host, self._serve)
        self.host, self.port = self._acceptor.address

    def _serve(self, sock: socket.socket) -> None:
        connection = ServerConnection(self, sock)
        self.open.add(connection)
        connection.serve()

    def reset_all(self) -> None:
        """Reset every connection, as a process does that dies."""
        for connection in list(self.open):
            connection.reset()

    def close_idle(self) -> None:
        """Close the connections on which nothing runs."""
        for connection in list(self.open):
            if not connection.attempts:
                connection.close(AttemptEnd.CLOSED)

    def stop(self) -> None:
        """Vanish: nothing listens any more, and open connections are reset."""
        self._acceptor.close()
        self.reset_all()


class ServerConnection:
    """One connection from a proxy."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.attempts: dict[str, AttemptRecord] = {}  # running, by ref
        self.results: dict[str, int] = {}  # pages still to be fetched, by ref
        self.closed = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def serve(self) -> None:
        handlers: dict[str, Callable[[list[str]], None]] = {
            "STOP": self._stopped,
            "END": self._ended_early,
            "FETCH": self._fetched,
            "HELO": self._greeted,
        }
        data = bytearray()
        first_byte_at = 0.0
        try:
            while chunk := self.sock.recv(65_536):
                read_late = self.server.spoke_at > time.monotonic() - UNREAD_S
                while self.server.behaviour.silent:
                    read_late = True
                    gevent.sleep(0.02)
                    self.server.spoke_at = time.monotonic()
                first_byte_at = first_byte_at if data else time.monotonic()
                data += chunk
                while (end := data.find(b"\r\n")) >= 0:
                    words = data[:end].decode().split(" ")
                    if words[0] == "REQ":
                        size = int(words[3])
                        if len(data) < end + 2 + size + 2:
                            break
                        del data[: end + 2 + size + 2]
                        self._requested(words, first_byte_at, read_late)
                    else:
                        del data[: end + 2]
                        handlers[words[0]](words)
                    first_byte_at = time.monotonic()
        except OSError:
            pass
        self.close(AttemptEnd.CLOSED)

    def _requested(self, words: list[str], first_byte_at: float, read_late: bool) -> None:
        fields = wire.decode_request_fields(words[2])
        ref = words[1]
        attempt = AttemptRecord(
            ref=ref,
            server=self.server.name,
            proxy="",
            class_name=fields["class"],
            first_byte_at=first_byte_at,
            arrived_at=time.monotonic(),
            wait_s=int(fields["wait"]) / 1000,
            once=fields.get("once"),
            read_late=read_late,
        )
        self.server.run.attempts.append(attempt)
        self.attempts[ref] = attempt
        gevent.spawn(self._work, ref, attempt)

    def _work(self, ref: str, attempt: AttemptRecord) -> None:
        behaviour, rng = self.server.behaviour, self.server.rng
        fate = rng.random()
        if fate < behaviour.hang_share:
            return
        fate -= behaviour.hang_share
        if fate < behaviour.full_share:
            return self._answer(ref, attempt, "full", AttemptEnd.FULL)
        fate -= behaviour.full_share
        if fate < behaviour.reset_share:
            gevent.sleep(rng.uniform(0.0, 2 * behaviour.reset_after_s))
            return self.reset()
        fate -= behaviour.reset_share
        gevent.sleep(rng.expovariate(1 / behaviour.work_s))
        if fate < behaviour.fail_share:
            return self._answer(ref, attempt, "failed", AttemptEnd.FAILED)
        pages = behaviour.pages
        if pages > 1 and self.attempts.get(ref) is attempt:
            self.results[ref] = pages - 1
            return self._write(wire.encode_answer_line(ref, "data", f"fetches={pages}", self._page()))
        self._answer(ref, attempt, "data", AttemptEnd.SERVED)

    def _answer(self, ref: str, attempt: AttemptRecord, word: str, end: AttemptEnd) -> None:
        if self.attempts.get(ref) is not attempt:
            return
        fields, body = ("fetches=1", self._page()) if word == "data" else ("-", b"")
        self._end(ref, end)
        self._write(wire.encode_answer_line(ref, word, fields, body))

    def _page(self) -> bytes:
        return ROW * max(1, self.server.behaviour.page_bytes // len(ROW))

    def _write(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.close(AttemptEnd.CLOSED)

    def _end(self, ref: str, end: AttemptEnd) -> None:
        attempt = self.attempts.pop(ref, None)
        self.results.pop(ref, None)
        if attempt is not None:
            server = self.server
            attempt.ended_at, attempt.end = time.monotonic(), end
            attempt.end_read_late = server.behaviour.silent or server.spoke_at > attempt.arrived_at

    def _stopped(self, words: list[str]) -> None:
        self._end(words[1], AttemptEnd.GIVEN_UP)

    def _ended_early(self, words: list[str]) -> None:
        self._end(words[1], AttemptEnd.SERVED)

    def _fetched(self, words: list[str]) -> None:
        ref, number = words[1], words[2]
        if ref not in self.results:
            return self._write(wire.encode_answer_line(ref, "failed"))
        self.results[ref] -= 1
        if not self.results[ref]:
            self._end(ref, AttemptEnd.SERVED)
        self._write(wire.encode_answer_line(ref, "page", f"fetch_no={number}", self._page()))

    def _greeted(self, words: list[str]) -> None:
        self._write(wire.encode_answer_line(words[1], "well"))

    def reset(self) -> None:
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close(AttemptEnd.RESET)

    def close(self, end: AttemptEnd) -> None:
        if self.closed:
            return
        self.closed = True
        self.server.open.discard(self)
        for ref in list(self.attempts):
            self._end(ref, end)
        self.sock.close()
