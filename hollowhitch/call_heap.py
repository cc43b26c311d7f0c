"""Heap of calls that are due at given times and can be cancelled. It reads no clock and makes no calls."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

# Cancelled calls are removed once they exceed the others by this many.
MAX_CANCELLED_CALLS = 256


class DueCall:
    """A call in a heap."""

    __slots__ = ("callback", "_heap")

    def __init__(self, callback: Callable[[], None], heap: CallHeap) -> None:
        self.callback: Callable[[], None] | None = callback  # None once it was made or cancelled
        self._heap = heap

    def cancel(self) -> None:
        """Drop the callback and what it references. This has no effect once the call was made."""
        if self.callback is not None:
            self.callback = None
            self._heap.call_cancelled()


class CallHeap:
    """Calls in the order of their due times, and then in the order in which they were added.

    Cancelled calls are removed at the latest when they outnumber the others, so that they occupy no memory
    until their due times. Times are numbers of any unit.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, DueCall]] = []  # due time, serial number, call
        self._last_serial = self._cancelled_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, due_at: float, callback: Callable[[], None]) -> DueCall:
        """Add a call, and return a handle that can cancel it."""
        call = DueCall(callback, self)
        self._last_serial += 1
        heapq.heappush(self._entries, (due_at, self._last_serial, call))
        return call

    def pop_due(self, now: float) -> Callable[[], None] | None:
        """Remove and return the next call that is due, or return None if there is none."""
        while self._entries and self._entries[0][0] <= now:
            call = heapq.heappop(self._entries)[2]
            callback, call.callback = call.callback, None
            if callback is not None:
                return callback
            self._cancelled_count -= 1
        return None

    def next_due_at(self) -> float:
        """Return the due time of the next call, or infinity if there is none."""
        while self._entries and self._entries[0][2].callback is None:
            heapq.heappop(self._entries)
            self._cancelled_count -= 1
        return self._entries[0][0] if self._entries else math.inf

    def call_cancelled(self) -> None:
        """Note that one of the calls was cancelled."""
        self._cancelled_count += 1
        if self._cancelled_count > len(self._entries) - self._cancelled_count + MAX_CANCELLED_CALLS:
            self._entries = [entry for entry in self._entries if entry[2].callback is not None]
            heapq.heapify(self._entries)
            self._cancelled_count = 0
