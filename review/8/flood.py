"""A bad client: connects, sends requests of unknown tenants, reads what has come, goes, and comes again."""

from __future__ import annotations

import contextlib
import os
import random
import socket
import struct
import sys
import time

BATCH_BYTES, BATCHES = 20_000, 16
HEADER = struct.Struct(">IBI")


def make_batch(rng: random.Random) -> bytes:
    """Return about 20 KB of requests, each with a new id and a new tenant."""
    frames, size, stream = [], 0, 0
    while size < BATCH_BYTES:
        stream += 1
        fields = {"service": "table-check", "ref": f"{rng.getrandbits(64):016x}", "allow": "2500"}
        fields |= {"project": "riva-group", "effort": "20.0", "need_mb": "8"}
        parts = [bytes([len(fields)])]
        for name, value in fields.items():
            parts.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode())
        payload = b"".join(parts) + b"select a from sales_%d.orders" % rng.getrandbits(30)
        frames.append(HEADER.pack(5 + len(payload), 1, stream) + payload)
        size += len(frames[-1])
    return b"".join(frames)


def main() -> None:
    """Flood the address in the first argument for as many seconds as the second says."""
    host, port = sys.argv[1].rsplit(":", 1)
    ends_at, count = time.monotonic() + float(sys.argv[2]), 0
    rng = random.Random(os.getpid())
    batches = [make_batch(rng) for _ in range(BATCHES)]
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0) as sock:
            sock.sendall(rng.choice(batches))
            sock.setblocking(False)
            sock.recv(65_536)
        count += 1
    print(count)


main()
