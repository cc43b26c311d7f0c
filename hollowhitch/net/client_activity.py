"""What a client has been doing on its connection, and what follows for time limits and evictions; no I/O.

All times are seconds on the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

import enum

IDLE_TIMEOUT_S = 30.0  # seconds without a byte while no request is open
FRAME_TIMEOUT_S = 2.0  # seconds without a byte within a frame, or before the first one
MAX_FRAME_S = 30.0  # seconds from a frame's first byte until the frame is complete
STALLED_FRAME_S = 0.5  # seconds without a byte after which a frame is given up at the connection limit
RECENTLY_ACTIVE_S = 1.0  # seconds after its last byte or answer for which a connection counts as active
FIRST_REQUEST_GRACE_S = 0.25  # seconds after connecting in which a first request is probably in transit


class EvictionRank(enum.IntEnum):
    """Ranks in which connections are closed at the connection limit, first the lowest."""

    CLOSING = 0
    EXCESSIVE = 1  # has sent more requests at once than a client may
    SILENT = 2  # without a frame, or within one, for too long
    IDLE = 3  # between requests for a while
    SLOW_FIRST_FRAME = 4  # still writing its first frame after a while
    RECENTLY_ACTIVE = 5  # between requests
    NEW = 6  # its first request may be in transit


class ClientActivity:
    """Times of a client's latest input and answers."""

    def __init__(self, now_s: float) -> None:
        self.opened_at_s = now_s
        self.last_active_at_s = now_s  # when the last byte was read or the last answer was queued
        self.last_request_at_s: float | None = None
        self.last_answer_at_s: float | None = None
        self.has_sent_frame = False  # the client has sent a complete frame
        self._last_read_at_s = now_s  # when the last byte was read, or a frame was given up
        self._frame_began_at_s = now_s  # when the first byte of the current frame was read

    # Events

    def bytes_read(self, now_s: float, begins_frame: bool) -> None:
        """Note that bytes were read; `begins_frame` is whether no frame was incomplete before."""
        self._last_read_at_s = self.last_active_at_s = now_s
        if begins_frame:
            self._frame_began_at_s = now_s

    def frame_completed(self) -> None:
        """Note that the bytes read last complete a frame."""
        self.has_sent_frame = True
        self._frame_began_at_s = self._last_read_at_s

    def frame_given_up(self, now_s: float) -> None:
        """Note that the current frame will be discarded, which gives the client another FRAME_TIMEOUT_S."""
        self._last_read_at_s = self._frame_began_at_s = now_s

    def request_received(self, now_s: float) -> None:
        """Note that a request was received."""
        self.last_request_at_s = now_s

    def answered(self, now_s: float) -> None:
        """Note that an answer was queued."""
        self.last_active_at_s = self.last_answer_at_s = now_s

    # Decisions

    def has_timed_out_in_frame(self, now_s: float, is_within_frame: bool) -> bool:
        """Return whether the client is too late with its first frame, or with the rest of a frame."""
        if self.has_sent_frame and not is_within_frame:
            return False
        is_too_slow = is_within_frame and now_s - self._frame_began_at_s > MAX_FRAME_S
        return is_too_slow or now_s - self._last_read_at_s > FRAME_TIMEOUT_S

    def has_been_idle(self, now_s: float) -> bool:
        """Return whether nothing was read or answered for IDLE_TIMEOUT_S."""
        return now_s - self.last_active_at_s > IDLE_TIMEOUT_S

    def eviction_rank(self, now_s: float, is_within_frame: bool) -> EvictionRank | None:
        """Return the rank of a connection without an open request; None if it is writing a request."""
        frame_age_s = now_s - self._frame_began_at_s
        if is_within_frame:
            if now_s - self._last_read_at_s > STALLED_FRAME_S:
                return EvictionRank.SILENT
            is_slow = not self.has_sent_frame and frame_age_s > RECENTLY_ACTIVE_S
            return EvictionRank.SLOW_FIRST_FRAME if is_slow else None
        if not self.has_sent_frame:
            return EvictionRank.SILENT if frame_age_s > FIRST_REQUEST_GRACE_S else EvictionRank.NEW
        was_active = now_s - self.last_active_at_s < RECENTLY_ACTIVE_S
        return EvictionRank.RECENTLY_ACTIVE if was_active else EvictionRank.IDLE
