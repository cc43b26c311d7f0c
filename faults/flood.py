"""Floods: client processes that write ready-made frames as fast as the proxy reads them.

`python -m faults.flood HOST PORT KIND SECONDS` runs one flood, which makes its frames before it connects, so
that writing costs it little, and reads all answers. At the end it prints what it wrote as JSON.
"""

from __future__ import annotations

import dataclasses
import json
import secrets
import selectors
import socket
import sys
import time
from collections.abc import Callable

from gevent import subprocess

from faults import wire
from faults.proxies import REPOSITORY_ROOT
from faults.records import FloodReport

STATEMENT = b"select a from sales_1.orders"
LARGE_STATEMENT = STATEMENT.ljust(3_000)
FRAMES_PER_BLOCK = 10_000  # more than the used streams that a proxy remembers for a connection
LARGE_FRAMES_PER_BLOCK = 2_000
READ_BYTES = 262_144
RECONNECT_DELAY_S = 0.01  # after a connection has failed
WAIT_S = 0.1  # longest wait for the connection to become writable or readable
RECONNECTS_PER_S = {"connects": 500.0, "impossible-length": 700.0}


FrameMaker = Callable[[int], bytes]  # makes the frames that use one stream


def _request(stream: int, statement: bytes = STATEMENT, **changes: str) -> bytes:
    fields = {"service": "safe", "ref": secrets.token_hex(8), "allow": "500", "effort": "20.0", **changes}
    return wire.encode_frame(wire.REQUEST, stream, wire.encode_fields(fields) + statement)


def _taken_back(make_request: FrameMaker) -> FrameMaker:
    return lambda stream: make_request(stream) + wire.encode_frame(wire.CANCEL, stream)


def _with_new_names(stream: int) -> bytes:
    name = secrets.token_hex(6)
    return _request(stream, f"select a from sales_{stream}.t{name}".encode(), service=name, project=name)


def _with_new_key(stream: int) -> bytes:
    return _request(stream, service="keyed", lookup=secrets.token_hex(8), replay=secrets.token_hex(16))


FLOODS: dict[str, FrameMaker] = {
    "taken-back": _taken_back(_request),
    "taken-back-new-names": _taken_back(_with_new_names),
    "taken-back-new-keys": _taken_back(_with_new_key),
    "taken-back-large": _taken_back(lambda stream: _request(stream, LARGE_STATEMENT)),
    "sound": _request,
    "new-keys": _with_new_key,
    "new-tenants": lambda stream: _request(stream, project=secrets.token_hex(6)),
    "bad-numbers": lambda stream: _request(stream, allow="soon"),
    "malformed": lambda stream: wire.encode_frame(
        wire.REQUEST, stream, b"\x09\x05servi" + secrets.token_bytes(4)
    ),
    "one-stream": lambda stream: _request(1),
    "cancels": lambda stream: wire.encode_frame(wire.CANCEL, stream),
    "readiness": lambda stream: wire.encode_frame(wire.READINESS_CHECK, stream, b"\0"),
    "connects": _request,
    "impossible-length": lambda stream: b"\x7f\xff\xff\x00",
}


class Flood:
    """A flood of one kind against one proxy."""

    def __init__(self, address: tuple[str, int], kind: str) -> None:
        self._address, self._kind = address, kind
        self.report = FloodReport(kind, is_paced=kind in RECONNECTS_PER_S)
        count = LARGE_FRAMES_PER_BLOCK if kind.endswith("large") else FRAMES_PER_BLOCK
        if kind in RECONNECTS_PER_S:
            count = 1
        self._block = b"".join(FLOODS[kind](stream) for stream in range(1, count + 1))

    def run(self, seconds: float) -> None:
        """Write frames for that time, on one connection at a time, opened again whenever it ends."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            try:
                if self._kind in RECONNECTS_PER_S:
                    self._connect_and_close(ends_at)
                else:
                    self._write_until_closed(ends_at)
            except OSError:
                time.sleep(RECONNECT_DELAY_S)

    def _connect_and_close(self, ends_at: float) -> None:
        started_at = time.monotonic()
        with socket.create_connection(self._address, 2.0) as sock:
            sock.sendall(self._block)
        self.report.connections += 1
        self.report.bytes_written += len(self._block)
        pause_s = started_at + 1 / RECONNECTS_PER_S[self._kind] - time.monotonic()
        time.sleep(max(min(pause_s, ends_at - time.monotonic()), 0.0))

    def _write_until_closed(self, ends_at: float) -> None:
        report, view = self.report, memoryview(self._block)
        with socket.create_connection(self._address, 2.0) as sock, selectors.DefaultSelector() as selector:
            report.connections += 1
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_WRITE | selectors.EVENT_READ)
            offset = 0
            while time.monotonic() < ends_at:
                ready = sum(events for _, events in selector.select(WAIT_S))
                if ready & selectors.EVENT_READ and not sock.recv(READ_BYTES):
                    return
                if not ready & selectors.EVENT_WRITE:
                    report.blocked_waits += 1
                    continue
                size = sock.send(view[offset:])
                report.writes += 1
                report.bytes_written += size
                report.blocked_waits += offset + size < len(view)
                offset = (offset + size) % len(view)


def start_flood(address: tuple[str, int], kind: str, seconds: float) -> subprocess.Popen[str]:
    """Start a flood in a process of its own; `read_report` returns its report once it has ended."""
    command = [sys.executable, "-m", "faults.flood", address[0], str(address[1]), kind, str(seconds)]
    return subprocess.Popen(command, cwd=REPOSITORY_ROOT, stdout=subprocess.PIPE, text=True)


def read_report(process: subprocess.Popen[str]) -> FloodReport:
    """Return the report of a flood that has ended; raise ValueError if it printed none."""
    output, _ = process.communicate()
    return FloodReport(**json.loads(output))


def main() -> None:
    """Run the flood that the arguments name."""
    host, port, kind, seconds = sys.argv[1:5]
    flood = Flood((host, int(port)), kind)
    flood.run(float(seconds))
    print(json.dumps(dataclasses.asdict(flood.report)))


if __name__ == "__main__":
    main()
