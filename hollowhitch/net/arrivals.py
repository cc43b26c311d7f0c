"""When requests came, and in which order, as the kernel saw it.

After the process stood still, several connections are readable at once. The event loop then reads the one
that became readable last first (six connections written to 20 ms apart were read as 6 5 4 3 2 1), so that two
requests of one key would be taken in the wrong order; and a request that lay in the kernel for a while would
count as new. The kernel's own receive times put both right.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

import gevent
from gevent import socket

SO_TIMESTAMPNS = 35  # Linux; the socket module does not name it
STAMP = struct.Struct("qq")  # seconds, nanoseconds on the Unix clock


def want_times(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(sock: socket.socket, room: memoryview, now_us: Callable[[], int]) -> tuple[int, int]:
    """How many bytes came, and when the last of them reached this machine."""
    count, ancillary, _, _ = sock.recvmsg_into([room], 64)
    now = now_us()
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= STAMP.size:
            seconds, ns = STAMP.unpack_from(data)
            return count, min(seconds * 1_000_000 + ns // 1000, now)
    return count, now


class Arrivals:
    """What is read in one turn of the loop, handed on in the order in which it came."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0

    def add(self, at_us: int, take: Callable[[], None]) -> None:
        if not self._waiting:
            gevent.spawn(self._hand_on)
        self._serial += 1
        self._waiting.append((at_us, self._serial, take))

    def _hand_on(self) -> None:
        gevent.sleep(0)  # connections accepted in this turn are read first
        waiting, self._waiting = sorted(self._waiting), []
        for _, _, take in waiting:
            take()
