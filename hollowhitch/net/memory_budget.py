"""Budget of the memory that the process holds for its clients.

Everything that a client can make the process hold is counted before it is held: the bytes of incomplete
frames, requests until they are answered, and answers until the kernel has taken them. Receive buffers of
their initial size are part of what the configuration reserves for each connection.
"""

from __future__ import annotations

# Share of the budget that incomplete frames may take, so that clients that never complete them leave room for
# others.
INCOMPLETE_FRAMES_SHARE = 0.5
# Largest ratio of what one connection holds for requests to what is free. Connections that take all they can
# get then hold equal parts, and leave room for those that hold little (a dynamic threshold).
MAX_HELD_PER_FREE = 1.0


class MemoryBudget:
    """Bytes held for all clients, and the limit on them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0  # includes `incomplete_frame_bytes`
        self.incomplete_frame_bytes = 0

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes can be held."""
        return self.held_bytes + size <= self.limit_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more should be held for a client that can be made to wait."""
        return self.held_bytes > self.limit_bytes

    def hold(self, size: int) -> None:
        """Count `size` more bytes, or fewer if it is negative."""
        self.held_bytes += size

    def try_hold(self, size: int) -> bool:
        """Count `size` more bytes if there is room for them, and return whether there was."""
        if not self.has_room(size):
            return False
        self.held_bytes += size
        return True


class ConnectionMemory:
    """What one client connection holds of the budget."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._frame_bytes = 0  # reserved for the incomplete frame
        self._request_bytes: dict[int, int] = {}  # by stream
        self._all_request_bytes = 0

    def reserve_frame(self, size: int) -> bool:
        """Reserve `size` bytes for the frame that is being received; return whether there is room.

        Repeated calls for one frame reserve it once.
        """
        budget = self.budget
        if self._frame_bytes:
            return True
        max_incomplete_bytes = budget.limit_bytes * INCOMPLETE_FRAMES_SHARE
        if budget.incomplete_frame_bytes + size > max_incomplete_bytes or not budget.try_hold(size):
            return False
        self._frame_bytes = size
        budget.incomplete_frame_bytes += size
        return True

    @property
    def has_reserved_frame(self) -> bool:
        """Whether memory is reserved for the frame that is being received."""
        return self._frame_bytes > 0

    def release_frame(self) -> None:
        """Release the reservation for the incomplete frame: it is complete, or will be discarded."""
        self.budget.incomplete_frame_bytes -= self._frame_bytes
        self.budget.hold(-self._frame_bytes)
        self._frame_bytes = 0

    def hold_request(self, stream: int, size: int) -> bool:
        """Count a request until `release_request`, and return whether there is room for it.

        The first request of a connection may take all that is free, each further one only its part.
        """
        max_bytes = MAX_HELD_PER_FREE * (self.budget.limit_bytes - self.budget.held_bytes)
        if self._all_request_bytes and self._all_request_bytes + size > max_bytes:
            return False
        if not self.budget.try_hold(size):
            return False
        self._request_bytes[stream] = size
        self._all_request_bytes += size
        return True

    def release_request(self, stream: int) -> None:
        """Release what is held for a request, if anything is."""
        size = self._request_bytes.pop(stream, 0)
        self._all_request_bytes -= size
        self.budget.hold(-size)

    def release_all(self) -> None:
        """Release everything that the connection holds."""
        self.release_frame()
        for stream in list(self._request_bytes):
            self.release_request(stream)
