"""Dates of what a socket receives, on the monotonic clock.

A harness that stalls reads late. So received bytes are dated by the kernel's receive timestamp, and each date
comes with the earliest time at which the event can have happened.
"""

from __future__ import annotations

import struct
import time
from dataclasses import dataclass

import gevent
from gevent import socket

SO_TIMESTAMPNS = 35  # Linux socket option that the socket module does not define
TIMESPEC = struct.Struct("qq")  # seconds and nanoseconds of Unix time
ANCILLARY_BYTES = 64
OFFSET_SAMPLES = 8  # number of clock readings of which the closest pair is used
OFFSET_MAX_AGE_S = 1.0  # seconds after which the offset between the clocks is measured again


def enable_receive_timestamps(sock: socket.socket) -> None:
    """Ask the kernel for receive timestamps; sockets that a listener accepts inherit the option."""
    sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class EventLoopPolls:
    """Remembers when the event loop last polled: what one poll reports happened after the poll before it."""

    def __init__(self) -> None:
        self.last_at = self.previous_at = time.monotonic()
        self._watcher = gevent.get_hub().loop.check()
        self._watcher.start(self._on_poll)

    def _on_poll(self) -> None:
        self.previous_at, self.last_at = self.last_at, time.monotonic()


class WallClockOffset:
    """Offset of the wall clock from the monotonic clock, and the largest error with which it was measured."""

    def __init__(self) -> None:
        self.max_error_s = 0.0
        self._offset_s, self._measured_at = 0.0, float("-inf")

    def offset_s(self) -> float:
        """Return the offset in seconds, measured within the last OFFSET_MAX_AGE_S."""
        if time.monotonic() - self._measured_at > OFFSET_MAX_AGE_S:
            self._measure()
        return self._offset_s

    def _measure(self) -> None:
        error_s, self._offset_s, self._measured_at = min(self._sample() for _ in range(OFFSET_SAMPLES))
        self.max_error_s = max(self.max_error_s, error_s)

    @staticmethod
    def _sample() -> tuple[float, float, float]:
        before, wall, after = time.monotonic(), time.time(), time.monotonic()
        return (after - before) / 2, wall - (before + after) / 2, after


@dataclass(frozen=True, slots=True)
class Reading:
    """Bytes read at once; empty if the peer has closed its side.

    `received_at` dates the last byte. The other bytes may have arrived as early as `earliest_at`.
    """

    data: bytes
    received_at: float
    earliest_at: float


class DatedReader:
    """Reads a socket whose receive timestamps are enabled, and dates what it reads."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        # While reading is paused: the earliest time at which what was unread then can have arrived.
        self._paused_since: float | None = None
        self._last_earliest_at = time.monotonic()  # of the last reading

    def pause(self) -> None:
        """Note that nothing is read until the next `read`, although bytes may arrive in the meantime."""
        if self._paused_since is None:
            self._paused_since = self.earliest_unread_at()

    def read(self, max_bytes: int = 65_536) -> Reading:
        """Block until bytes arrive or the peer closes; raise OSError if the connection fails."""
        data, ancillary, _, _ = self._sock.recvmsg(max_bytes, ANCILLARY_BYTES)
        now = time.monotonic()
        earliest_at = self.earliest_unread_at() if data else self.earliest_end_at()
        self._paused_since, self._last_earliest_at = None, earliest_at
        received_at = _kernel_time(ancillary) if data else None
        if received_at is None:
            return Reading(data, now, earliest_at)
        received_at = min(received_at, now)
        return Reading(data, received_at, min(earliest_at, received_at))

    def earliest_end_at(self) -> float:
        """Return the earliest time at which the peer can have closed, if its close is read now.

        A close that arrives with other bytes is read after them, which may be late if reading is paused.
        """
        earliest_at = self.earliest_unread_at()
        return earliest_at if self._paused_since is None else min(earliest_at, self._last_earliest_at)

    def earliest_unread_at(self) -> float:
        """Return the earliest time at which what is read now can have arrived."""
        earliest_at = min(polls().previous_at, time.monotonic())
        return earliest_at if self._paused_since is None else min(earliest_at, self._paused_since)


def _kernel_time(ancillary: list[tuple[int, int, bytes]]) -> float | None:
    for level, message_type, data in ancillary:
        if level == socket.SOL_SOCKET and message_type == SO_TIMESTAMPNS and len(data) >= TIMESPEC.size:
            seconds, nanoseconds = TIMESPEC.unpack_from(data)
            return seconds + nanoseconds / 1e9 - wall_clock_offset.offset_s()
    return None


_polls: EventLoopPolls | None = None
wall_clock_offset = WallClockOffset()


def polls() -> EventLoopPolls:
    """Return the polls of this process's event loop, which are watched from the first call on."""
    global _polls
    if _polls is None:
        _polls = EventLoopPolls()
    return _polls
