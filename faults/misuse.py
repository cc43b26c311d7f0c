"""Clients that misuse a proxy: crowds that write slowly or stop half-way, and floods on one connection.

`python -m faults.misuse HOST PORT KIND,KIND COUNT SECONDS` runs kinds one after the other, in a process of
its own, so that it does not slow down the clients and engines of a test. Each kind ends after SECONDS, and a
crowd has COUNT connections. A flood with `:unread` after its name reads none of the answers.
"""

from __future__ import annotations

import contextlib
import itertools
import secrets
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

from faults import wire

STATEMENT = b"select a from sales_1.orders"
LARGE_STATEMENT = STATEMENT + b" where a <> '" + b"x" * 250_000 + b"'"
SLOW_PIECE_BYTES, SLOW_INTERVAL_S = 2_000, 0.05
MAX_FIELDS = 255
FLOOD_CHUNK_BYTES = 65_536
READ_BYTES = 262_144


def request(stream: int, statement: bytes = STATEMENT, **changes: str) -> bytes:
    """Return a request on a stream, with a new ref unless `changes` name one."""
    fields = {"service": "safe", "ref": secrets.token_hex(8), "allow": "3000", "effort": "20.0", **changes}
    return wire.encode_frame(wire.REQUEST, stream, wire.encode_fields(fields) + statement)


def many_fields(stream: int) -> bytes:
    """Return a request with as many short fields as a frame may have."""
    more = {f"f{number}": "v" for number in range(MAX_FIELDS - 4)}
    return request(stream, **more)


# What each connection of a crowd sends at once; the rest of a large request follows slowly or never.
CROWDS: dict[str, Callable[[], bytes]] = {
    "slow-writers": lambda: request(1, LARGE_STATEMENT),
    "half-requests": lambda: request(1, LARGE_STATEMENT)[: len(LARGE_STATEMENT) // 2],
    "large-requests": lambda: b"".join(request(stream, LARGE_STATEMENT) for stream in range(1, 4)),
    "many-fields": lambda: b"".join(many_fields(stream) for stream in range(1, 33)),
    "half-heads": lambda: many_fields(1)[:-40],
    "idle": lambda: b"",
}


def _requests(**changes: Callable[[], str]) -> Iterator[bytes]:
    for stream in itertools.count(1):
        yield request(stream, **{name: value() for name, value in changes.items()})


def _malformed() -> Iterator[bytes]:
    for stream in itertools.count(1):
        yield wire.encode_frame(wire.REQUEST, stream, b"\x09\x05servi" + secrets.token_bytes(4))


# The frames that a flood sends one after the other, as fast as the proxy reads them.
FLOODS: dict[str, Callable[[], Iterator[bytes]]] = {
    "readiness": lambda: (wire.encode_frame(wire.READINESS_CHECK, n, b"\0") for n in itertools.count(1)),
    "cancels": lambda: (wire.encode_frame(wire.CANCEL, n) for n in itertools.count(1)),
    "requests": _requests,
    "unknown-classes": lambda: _requests(service=lambda: secrets.token_hex(6)),
    "unknown-tenants": lambda: _requests(project=lambda: secrets.token_hex(6)),
    "new-keys": lambda: _requests(
        service=lambda: "keyed", lookup=lambda: secrets.token_hex(8), replay=lambda: secrets.token_hex(16)
    ),
    "bad-numbers": lambda: _requests(allow=lambda: "soon"),
    "large-unknown": lambda: (request(n, LARGE_STATEMENT, service="none") for n in itertools.count(1)),
    "malformed": _malformed,
    "one-stream": lambda: (request(1) for _ in itertools.count()),
    "taken-back": lambda: (request(n) + wire.encode_frame(wire.CANCEL, n) for n in itertools.count(1)),
}


class Connection:
    """One connection, which sends `data` in pieces and reads whatever comes, unless it is a silent reader."""

    def __init__(self, address: tuple[str, int], data: bytes, piece_bytes: int) -> None:
        self.sock = socket.create_connection(address, 2.0)
        self.sock.setblocking(False)
        self._view, self._piece_bytes = memoryview(data), piece_bytes

    def send_piece(self) -> None:
        """Send the next piece, or what of it fits."""
        if self._view:
            with contextlib.suppress(BlockingIOError):
                self._view = self._view[self.sock.send(self._view[: self._piece_bytes]) :]

    def read(self) -> bool:
        """Read what has come, and return whether the connection is still open."""
        with contextlib.suppress(BlockingIOError):
            return bool(self.sock.recv(READ_BYTES))
        return True


def run_crowd(address: tuple[str, int], kind: str, count: int, seconds: float) -> None:
    """Open `count` connections that each send data of one kind, and keep them open for `seconds`."""
    piece_bytes = SLOW_PIECE_BYTES if kind == "slow-writers" else len(LARGE_STATEMENT)
    data_of_connections = [CROWDS[kind]() for _ in range(count)]
    connections: set[Connection] = set()
    for data in data_of_connections:
        with contextlib.suppress(OSError):
            connections.add(Connection(address, data, piece_bytes))
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for connection in list(connections):
            try:
                connection.send_piece()
                is_open = connection.read()
            except OSError:
                is_open = False
            if not is_open:
                connection.sock.close()
                connections.discard(connection)
        time.sleep(SLOW_INTERVAL_S)


def run_flood(address: tuple[str, int], kind: str, seconds: float, reads: bool) -> None:
    """Send frames on one connection at a time for `seconds`.

    The connection is opened again after the proxy has closed it.
    """
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            _flood_once(address, FLOODS[kind](), ends_at, reads)
        time.sleep(0.05)


def _flood_once(address: tuple[str, int], frames: Iterator[bytes], ends_at: float, reads: bool) -> None:
    data = b""
    with socket.create_connection(address, 2.0) as sock, selectors.DefaultSelector() as selector:
        sock.setblocking(False)
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ if reads else 0)
        selector.register(sock, events)
        while time.monotonic() < ends_at:
            for _, ready in selector.select(0.1):
                if ready & selectors.EVENT_READ and not sock.recv(READ_BYTES):
                    return
                if ready & selectors.EVENT_WRITE:
                    while len(data) < FLOOD_CHUNK_BYTES:
                        data += next(frames)
                    data = data[sock.send(data) :]


def main() -> None:
    """Run the kinds of misuse that the arguments name."""
    host, port, kinds, count, seconds = sys.argv[1:6]
    address = (host, int(port))
    for kind in kinds.split(","):
        name, _, unread = kind.partition(":")
        if name in CROWDS:
            run_crowd(address, name, int(count), float(seconds))
        else:
            run_flood(address, name, float(seconds), reads=unread != "unread")


if __name__ == "__main__":
    main()
