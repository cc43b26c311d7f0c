"""When requests came, and in which order, as the kernel saw it.

After the process stood still, several connections are readable at once. The event loop then reads the one
that became readable last first (six connections written to 20 ms apart were read as 6 5 4 3 2 1), so that two
requests of one key would be taken in the wrong order; and a request that lay in the kernel for a while would
count as new. The kernel's own receive times put both right.

Those times are wall times. They count only as far as the monotonic clock bears them out.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

from hollowhitch.clock import STEP_LEAST_US, Clock, wall_time_us
from hollowhitch.net.failures import Call, retried
from hollowhitch.net.heartbeat import Heartbeat
from hollowhitch.net.unread import unread_bytes

SO_TIMESTAMPNS = 35  # Linux; the socket module does not name it
STAMP = struct.Struct("qq")  # seconds, nanoseconds on the Unix clock
TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED = struct.Struct("52xI")  # tcpi_last_data_recv: ms ago, by the kernel's monotonic clock


def want_times(sock: socket.socket) -> None:
    """Ask the kernel for receive times on this socket."""
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def place_stamp(stamp_us: int, now_us: int, wall_us: int, offset_us: int, earliest_us: int) -> int | None:
    """When bytes with this receive stamp came, on the proxy's clock; None where the stamp cannot tell.

    `wall_us` and `now_us` are one moment on both clocks, `offset_us` their difference at `earliest_us`,
    before which the bytes cannot have come. A step of the wall clock since then makes the stamp worthless.
    """
    if abs(wall_us - now_us - offset_us) >= STEP_LEAST_US:
        return None
    return min(max(stamp_us - offset_us, earliest_us), now_us)


def _since_last_data_us(sock: socket.socket) -> int | None:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return LAST_DATA_RECEIVED.unpack_from(info)[0] * 1000
    except (OSError, struct.error):
        return None


@dataclass(frozen=True, slots=True)
class Received:
    """What one read tells, in microseconds on the clock."""

    count: int  # bytes
    at_us: int  # when the last of them came: their place among others
    since_us: int  # when they may have come at the earliest: their time counts from here


class Receiver:
    """Reads a client's socket and tells when what it read had come."""

    def __init__(
        self, sock: socket.socket, clock: Clock, heartbeat: Heartbeat, waited_since_us: int | None = None
    ) -> None:
        """`waited_since_us`: since when the connection may have waited to be accepted."""
        self._sock, self._clock, self._heartbeat = sock, clock, heartbeat
        # Since when nothing was read, and the wall clock's offset then.
        self._paused: tuple[int, int] | None = None
        self._oldest = (0, 0)  # the time before which nothing unread can have come, with the offset then
        self._behind_until_us = 0  # what came before this may lie here unread
        if waited_since_us is not None:
            self._paused = (min(waited_since_us, heartbeat.alive_us), heartbeat.offset_us)

    def pause(self) -> None:
        """Nothing is read for a while, though more may come."""
        if self._paused is None:
            self._paused = (self._clock.now_us(), self._clock.wall_offset_us())

    @property
    def behind(self) -> bool:
        """May several requests lie here unread, of which the earlier came long before the last? Each is to be
        read by itself then: one read tells one time."""
        if self._behind_until_us:
            return True
        if self._paused is not None or self._heartbeat.late:
            self._behind_until_us = self._clock.now_us()
            self._oldest = self._paused or self._alive()
        return self._behind_until_us > 0

    def receive(self, room: memoryview) -> Received:
        """Read once."""
        count, ancillary, _, _ = retried(Call.RECEIVE, self._sock.recvmsg_into, [room], 64)
        now_us = self._clock.now_us()
        behind, self._paused = self._behind_until_us > 0, None
        earliest_us, offset_us = self._oldest if behind else self._alive()
        at_us = self._arrived_us(ancillary, now_us, earliest_us, offset_us, behind)
        if not behind or not unread_bytes(self._sock):
            self._behind_until_us = 0
            return Received(count, at_us, at_us)
        # The kernel joins what waits, and keeps the newest time alone: it may have come long before.
        return Received(count, at_us, earliest_us)

    def _alive(self) -> tuple[int, int]:
        return self._heartbeat.alive_us, self._heartbeat.offset_us

    def _arrived_us(
        self,
        ancillary: list[tuple[int, int, bytes]],
        now_us: int,
        earliest_us: int,
        offset_us: int,
        behind: bool,
    ) -> int:
        for level, kind, data in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(data) >= STAMP.size:
                seconds, ns = STAMP.unpack_from(data)
                stamp_us = seconds * 1_000_000 + ns // 1000
                at_us = place_stamp(stamp_us, now_us, wall_time_us(), offset_us, earliest_us)
                return at_us if at_us is not None else self._by_tcp(now_us, earliest_us)
        return self._by_tcp(now_us, earliest_us) if behind else now_us

    def _by_tcp(self, now_us: int, earliest_us: int) -> int:
        since_us = _since_last_data_us(self._sock)
        if since_us is None:  # the safe side: its time began as early as it can have
            return earliest_us
        return max(now_us - since_us, earliest_us)


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
