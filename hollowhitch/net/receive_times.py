"""Arrival times of requests, and the order in which they arrived, as recorded by the kernel.

After the process has been stalled, several connections are readable at once. The event loop then starts with
the connection that became readable last: six connections that were written to 20 ms apart were read in the
order 6 5 4 3 2 1. Two requests with the same key would be handled in the wrong order, and a request that had
waited in the kernel would be timed as if it were new. The kernel's receive timestamps correct both.

Receive timestamps are wall clock times, so they are used only as far as the monotonic clock confirms them.
"""

from __future__ import annotations

import socket as native_socket
import struct
from dataclasses import dataclass

from gevent import socket

from hollowhitch.clock import MIN_STEP_US, Clock, wall_time_us
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.unread import unread_bytes

SO_TIMESTAMPNS = 35  # Linux socket option that the socket module does not define
TIMESPEC = struct.Struct("qq")  # seconds and nanoseconds of Unix time
TCP_INFO_BYTES = 104  # bytes of struct tcp_info that are read
# Field tcpi_last_data_recv of struct tcp_info: milliseconds since the last data arrived, on the kernel's
# monotonic clock.
LAST_DATA_RECEIVED = struct.Struct("52xI")


def enable_receive_timestamps(sock: socket.socket) -> None:
    """Ask the kernel to report receive timestamps on this socket."""
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def map_receive_timestamp(
    timestamp_us: int, now_us: int, wall_us: int, offset_us: int, earliest_at_us: int
) -> int | None:
    """Return when bytes with this receive timestamp arrived, in microseconds on the proxy's clock.

    `wall_us` and `now_us` are the current time on the wall clock and on the proxy's clock. The bytes cannot
    have arrived before `earliest_at_us`, when the wall clock was ahead of the proxy's clock by `offset_us`.
    Return None if the wall clock was stepped after `earliest_at_us`, which makes the timestamp unusable.
    """
    if abs(wall_us - now_us - offset_us) >= MIN_STEP_US:
        return None
    return min(max(timestamp_us - offset_us, earliest_at_us), now_us)


def _elapsed_since_last_data_us(sock: socket.socket) -> int | None:
    """Return the microseconds since the last data arrived, or None if the kernel does not report them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return LAST_DATA_RECEIVED.unpack_from(info)[0] * 1000
    except (OSError, struct.error):
        return None


@dataclass(frozen=True, slots=True)
class Received:
    """Result of one read. Times are microseconds on the proxy's clock."""

    byte_count: int  # 0: the client has closed its side of the connection
    arrived_at_us: int  # arrival of the last of the bytes, which decides the order among connections
    earliest_at_us: int  # earliest possible arrival of the bytes, from which a request's time limit counts


@dataclass(frozen=True, slots=True)
class AcceptWait:
    """The wait of a connection in the kernel's queue until it was accepted."""

    since_us: int  # it did not begin before
    offset_us: int  # the wall clock's offset at that time
    was_failing: bool  # accepting failed meanwhile, so the wait may have been long


class Receiver:
    """Reader of a client's socket, which also determines when the bytes arrived. It does not block.

    `accept_wait` is what the connection may have waited before, if it came from a listener.
    """

    def __init__(
        self,
        sock: socket.socket,
        clock: Clock,
        loop_monitor: LoopMonitor,
        accept_wait: AcceptWait | None = None,
    ) -> None:
        # Another object for the same descriptor: reads of a gevent socket would block the greenlet.
        self._sock = native_socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
        self._sock.setblocking(False)
        self._clock, self._loop_monitor = clock, loop_monitor
        # While reading is paused: when the pause began, and the wall clock's offset then.
        self._paused_since: tuple[int, int] | None = None
        # Time before which no unread byte can have arrived, and the wall clock's offset then; None: all bytes
        # were read, so that those that are unread now arrived after the event loop ran last.
        self._unread_start: tuple[int, int] | None = None
        self._is_after_stall = False  # the first bytes since a stall or a pause are being read
        self.is_behind = False  # bytes were still unread after the last read
        if accept_wait is not None:
            start = min((accept_wait.since_us, accept_wait.offset_us), self._last_loop_run())
            if accept_wait.was_failing:
                self._paused_since = start
            else:
                self._unread_start = start

    def close(self) -> None:
        """Release the descriptor, which its owner closes."""
        self._sock.detach()

    def pause(self) -> None:
        """Note that nothing is read until the next `receive`, although bytes may arrive in the meantime."""
        if self._paused_since is None:
            self._paused_since = (self._clock.now_us(), self._clock.wall_offset_us())

    def earliest_unread_us(self) -> int:
        """Return a time before which none of the bytes that are unread now can have arrived."""
        return self._start()[0]

    @property
    def has_backlog(self) -> bool:
        """Whether requests may be unread since a stall or a pause, the first of them long before the last.

        Each of them has to be read separately, because one read reports only one arrival time.
        """
        if self._unread_start is None and (self._paused_since is not None or self._loop_monitor.stalled):
            self._unread_start = self._start()
            self._is_after_stall = True
        return self._is_after_stall

    def receive(self, buffer: memoryview) -> Received:
        """Read once into `buffer`, and return how much was read and when it arrived.

        Raise BlockingIOError if nothing is unread, or another OSError if the read fails.
        """
        try:
            count, ancillary, _, _ = self._sock.recvmsg_into([buffer], 64)
        except BlockingIOError:
            self._everything_is_read()
            raise
        now_us = self._clock.now_us()
        had_backlog = self._unread_start is not None
        start = self._start()
        arrived_at_us = self._arrival_time_us(ancillary, now_us, *start, had_backlog)
        if count < len(buffer) or not self.is_behind and not unread_bytes(self._sock):
            self._everything_is_read()
            return Received(count, arrived_at_us, arrived_at_us)
        self._paused_since, self._unread_start, self.is_behind = None, start, True
        # The kernel merges waiting segments and keeps only the newest timestamp, so these bytes may have
        # arrived long before that.
        return Received(count, arrived_at_us, start[0])

    def _everything_is_read(self) -> None:
        self._paused_since = self._unread_start = None
        self._is_after_stall = self.is_behind = False

    def _start(self) -> tuple[int, int]:
        return self._unread_start or self._paused_since or self._last_loop_run()

    def _last_loop_run(self) -> tuple[int, int]:
        return self._loop_monitor.loop_ran_at_us, self._loop_monitor.clock_offset_us

    def _arrival_time_us(
        self,
        ancillary: list[tuple[int, int, bytes]],
        now_us: int,
        earliest_at_us: int,
        offset_us: int,
        has_backlog: bool,
    ) -> int:
        for level, message_type, data in ancillary:
            if level == socket.SOL_SOCKET and message_type == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
                seconds, nanoseconds = TIMESPEC.unpack_from(data)
                timestamp_us = seconds * 1_000_000 + nanoseconds // 1000
                arrived_at_us = map_receive_timestamp(
                    timestamp_us, now_us, wall_time_us(), offset_us, earliest_at_us
                )
                return (
                    arrived_at_us
                    if arrived_at_us is not None
                    else self._from_tcp_info(now_us, earliest_at_us)
                )
        return self._from_tcp_info(now_us, earliest_at_us) if has_backlog else now_us

    def _from_tcp_info(self, now_us: int, earliest_at_us: int) -> int:
        elapsed_us = _elapsed_since_last_data_us(self._sock)
        if elapsed_us is None:  # the earliest possible arrival is the safe assumption
            return earliest_at_us
        return max(now_us - elapsed_us, earliest_at_us)
