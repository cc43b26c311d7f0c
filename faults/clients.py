"""Stub clients, which speak the platform's frames and record the answers to each request."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from faults import wire
from faults.dating import DatedReader, Reading, enable_receive_timestamps
from faults.records import Answer, AnswerCode, ConnectionRecord, RequestRecord, RunRecord

if TYPE_CHECKING:
    from random import Random

CONNECT_TIMEOUT_S = 1.0


class ClientConnection:
    """One client connection to a proxy.

    `receive_buffer_bytes` is the size of the socket's receive buffer, None for the system's default. With
    `closes_when_ended` set to False the client keeps its side open after the proxy closed the other. A slow
    client waits for `read_pause_s` before each read.
    """

    created_count = 0  # connections that this process has created

    def __init__(
        self,
        proxy: str,
        address: tuple[str, int],
        run: RunRecord,
        receive_buffer_bytes: int | None = None,
        closes_when_ended: bool = True,
        read_pause_s: float = 0.0,
    ) -> None:
        ClientConnection.created_count += 1
        self.number = ClientConnection.created_count
        self.proxy, self.run = proxy, run
        self.opened_at = time.monotonic()
        self.closes_when_ended = closes_when_ended
        self.read_pause_s = read_pause_s
        self.sock = socket.socket()
        enable_receive_timestamps(self.sock)
        if receive_buffer_bytes is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.settimeout(CONNECT_TIMEOUT_S)
        self.sock.connect(address)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.ready_received = Event()  # the proxy sent a READY frame that says that it is ready
        self.ended = Event()  # the proxy closed or reset the connection
        self.ended_at: float | None = None
        self.reading = True  # False: answers stay unread in the buffers of the connection
        self.has_sent = False  # set by the sender with its first request
        # Requests by stream. They stay after their answer, so that a second answer is recorded too.
        self.open_requests: dict[int, RequestRecord] = {}
        self.record = ConnectionRecord(self.number, proxy, self.opened_at)
        run.connections.append(self.record)
        self._stream = 0
        self._closed = False
        self._reader = gevent.spawn(self._read)

    def request(
        self,
        ref: str,
        class_name: str,
        allowed_s: float,
        replay: str | None = None,
        key: str | None = None,
        effort_ms: float = 20.0,
        slowly: bool = False,
    ) -> RequestRecord | None:
        """Write a request and return its record, or None if the connection is gone.

        `replay` is the idempotency key; requests with the same `key` run in order; `effort_ms` is the
        client's estimate of the run time. With `slowly` the frame is written in pieces of 40 bytes.
        """
        self._stream += 1
        fields = {
            "service": class_name,
            "ref": ref,
            "allow": str(int(allowed_s * 1000)),
            "effort": str(effort_ms),
            "need_mb": "8",
        }
        if replay:
            fields["replay"] = replay
        if key:
            fields["lookup"] = key
        body = b"select a from sales_1.orders"
        frame = wire.encode_frame(wire.REQUEST, self._stream, wire.encode_fields(fields) + body)
        record = RequestRecord(ref, self.proxy, self.number, class_name, 0.0, allowed_s, replay, key)
        record.is_read = self.reading and not self.read_pause_s
        self.open_requests[self._stream] = record
        try:
            if slowly:
                for offset in range(0, len(frame), 40):
                    self.sock.sendall(frame[offset : offset + 40])
                    gevent.sleep(0.002)
            else:
                self.sock.sendall(frame)
        except OSError:
            self.open_requests.pop(self._stream, None)
            return None
        record.sent_at = time.monotonic()
        self.run.requests.append(record)
        if self.ended_at is not None:
            record.connection_ended_at = record.connection_ended_earliest_at = self.ended_at
        return record

    def stop_reading(self) -> None:
        """Stop reading, so that the proxy's answers fill the buffers of the connection."""
        self.reading = self.record.is_reading = False
        for record in self.open_requests.values():
            record.is_read = False

    def check_readiness(self) -> None:
        """Send a readiness check; `ready_received` is set when the proxy answers that it is ready."""
        self.sock.sendall(wire.encode_frame(wire.READINESS_CHECK, 1_000_000))

    def cancel(self, record: RequestRecord) -> None:
        """Send a CANCEL frame for a request, unless the connection has no such open request."""
        for stream, open_record in list(self.open_requests.items()):
            if open_record is record:
                del self.open_requests[stream]
                record.cancel_began_at = time.monotonic()
                self._send_ignoring_errors(wire.encode_frame(wire.CANCEL, stream))
                record.cancelled_at = time.monotonic()

    def send_malformed(self, data: bytes) -> None:
        """Send bytes that are not a whole frame."""
        self._send_ignoring_errors(data)

    def _send_ignoring_errors(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def close(self) -> None:
        """Close the connection, which cancels its open requests; a second call does nothing."""
        if self._closed:
            return
        self._closed = True
        self._reader.kill(block=False)
        began_at = time.monotonic()
        self.sock.close()
        now = time.monotonic()
        self.record.ended_at = self.record.ended_at or now
        for record in self.open_requests.values():
            record.cancel_began_at, record.cancelled_at = began_at, now
        self.open_requests.clear()

    def _read(self) -> None:
        reader, frames = DatedReader(self.sock), wire.FrameReader()
        reset = False
        earliest_at = time.monotonic()
        try:
            while True:
                self._wait_before_read(reader)
                reading = reader.read()
                earliest_at = reading.earliest_at
                if not reading.data:
                    break
                self._handle_frames(
                    frames.feed(reading.data), reading, ends_frame=not frames.has_partial_frame
                )
        except OSError:
            reset = True
            earliest_at = reader.earliest_end_at()
        self._connection_ended(reset, earliest_at)

    def _wait_before_read(self, reader: DatedReader) -> None:
        if self.read_pause_s or not self.reading:
            reader.pause()
            gevent.sleep(self.read_pause_s)
        while not self.reading:
            gevent.sleep(0.02)

    def _connection_ended(self, reset: bool, earliest_at: float) -> None:
        self.ended_at = time.monotonic()
        self.record.ended_at = self.record.ended_at or self.ended_at
        for record in self.open_requests.values():
            record.connection_ended_at, record.connection_reset = self.ended_at, reset
            record.connection_ended_earliest_at = earliest_at
        self.ended.set()
        if not self._closed and self.closes_when_ended:
            self._closed = True
            self.sock.close()

    def _handle_frames(self, frames: list[wire.Frame], reading: Reading, ends_frame: bool) -> None:
        """Handle the frames of a reading; it dates the last one, if that ends with the reading."""
        for frame in frames:
            is_dated = ends_frame and frame is frames[-1]
            earliest_at = reading.received_at if is_dated else reading.earliest_at
            self._handle_frame(frame, reading.received_at, earliest_at)

    def _handle_frame(self, frame: wire.Frame, received_at: float, earliest_at: float) -> None:
        if frame.kind == wire.READY and frame.payload[0] == wire.IS_READY:
            self.ready_received.set()
        elif frame.kind == wire.ANSWER and frame.stream:
            code, fields, body = wire.decode_answer(frame.payload)
            cooldown_ms = int(fields["cooldown"]) if "cooldown" in fields else None
            record = self.open_requests.get(frame.stream)
            if record is not None:
                record.answers.append(Answer(received_at, AnswerCode(code), body, cooldown_ms, earliest_at))


def new_ref(rng: Random) -> str:
    """Return a random request id, 64 bits in hexadecimal."""
    return f"{rng.getrandbits(64):016x}"


def new_replay(rng: Random) -> str:
    """Return a random idempotency key, 128 bits in hexadecimal."""
    return f"{rng.getrandbits(128):032x}"
