"""Stand-in clients: they speak the platform's frames and record what each request got."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from faults import wire
from faults.records import Answer, Code, ConnectionRecord, RequestRecord, Run

if TYPE_CHECKING:
    from random import Random

CONNECT_S = 1.0


class ClientConnection:
    """One connection to a proxy."""

    serial = 0

    def __init__(
        self,
        proxy: str,
        address: tuple[str, int],
        run: Run,
        receive_buffer: int | None = None,
        closes_after_end: bool = True,
    ) -> None:
        ClientConnection.serial += 1
        self.number = ClientConnection.serial
        self.proxy, self.run = proxy, run
        self.opened_at = time.monotonic()
        self.closes_after_end = closes_after_end
        self.sock = socket.socket()
        if receive_buffer is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.settimeout(CONNECT_S)
        self.sock.connect(address)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.warned = Event()  # type 6 came
        self.ready = Event()  # type 5 came, with yes
        self.ended = Event()  # the proxy closed or reset it
        self.ended_at: float | None = None
        self.reading = True
        self.used = False
        self.open: dict[int, RequestRecord] = {}
        self.record = ConnectionRecord(self.number, proxy, self.opened_at)
        run.connections.append(self.record)
        self._stream = 0
        self._closed = False
        self._reader = gevent.spawn(self._read)

    def request(
        self,
        ref: str,
        class_name: str,
        allow_s: float,
        replay: str | None = None,
        key: str | None = None,
        effort_ms: float = 20.0,
        slowly: bool = False,
    ) -> RequestRecord | None:
        """Write a request and record it; None if the connection is gone."""
        self._stream += 1
        fields = {
            "service": class_name,
            "ref": ref,
            "allow": str(int(allow_s * 1000)),
            "effort": str(effort_ms),
            "need_mb": "8",
        }
        if replay:
            fields["replay"] = replay
        if key:
            fields["lookup"] = key
        body = b"select a from sales_1.orders"
        frame = wire.encode_frame(wire.REQUEST, self._stream, wire.encode_fields(fields) + body)
        record = RequestRecord(ref, self.proxy, self.number, class_name, 0.0, allow_s, replay, key)
        self.open[self._stream] = record
        try:
            if slowly:
                for at in range(0, len(frame), 40):
                    self.sock.sendall(frame[at : at + 40])
                    gevent.sleep(0.002)
            else:
                self.sock.sendall(frame)
        except OSError:
            self.open.pop(self._stream, None)
            return None
        record.sent_at = time.monotonic()
        self.run.requests.append(record)
        if self.ended_at is not None:
            record.connection_ended_at = self.ended_at
        return record

    def stop_reading(self) -> None:
        """Read nothing from now on."""
        self.reading = self.record.reads = False

    def ask_ready(self) -> None:
        self.sock.sendall(wire.encode_frame(wire.ASK_READY, 1_000_000))

    def cancel(self, record: RequestRecord) -> None:
        """Tell the proxy that nobody waits for it any more."""
        for stream, open_record in list(self.open.items()):
            if open_record is record:
                del self.open[stream]
                self._send_quietly(wire.encode_frame(wire.CANCEL, stream))
                record.cancelled_at = time.monotonic()

    def send_garbage(self, data: bytes) -> None:
        self._send_quietly(data)

    def _send_quietly(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def close(self) -> None:
        """Leave: nobody waits for what is open."""
        if self._closed:
            return
        self._closed = True
        self._reader.kill(block=False)
        self.sock.close()
        now = time.monotonic()
        self.record.ended_at = self.record.ended_at or now
        for record in self.open.values():
            record.cancelled_at = now
        self.open.clear()

    def _read(self) -> None:
        reader = wire.FrameReader()
        reset = False
        try:
            while True:
                while not self.reading:
                    gevent.sleep(0.02)
                data = self.sock.recv(65_536)
                if not data:
                    break
                for frame in reader.feed(data):
                    self._take(frame)
        except OSError:
            reset = True
        self.ended_at = time.monotonic()
        self.record.ended_at = self.record.ended_at or self.ended_at
        for record in self.open.values():
            record.connection_ended_at, record.connection_reset = self.ended_at, reset
        self.ended.set()
        if not self._closed and self.closes_after_end:
            self._closed = True
            self.sock.close()

    def _take(self, frame: wire.Frame) -> None:
        if frame.kind == wire.CLOSING:
            self.warned.set()
        elif frame.kind == wire.READY and frame.payload[0] == wire.YES:
            self.ready.set()
        elif frame.kind == wire.ANSWER and frame.stream:
            code, fields, body = wire.decode_answer(frame.payload)
            cooldown = int(fields["cooldown"]) if "cooldown" in fields else None
            record = self.open.get(frame.stream)
            if record is not None:
                record.answers.append(Answer(time.monotonic(), Code(code), body, cooldown))


def new_ref(rng: Random) -> str:
    return f"{rng.getrandbits(64):016x}"


def new_replay(rng: Random) -> str:
    return f"{rng.getrandbits(128):032x}"
