"""Calls to make later: one heap and one timer of the loop for all, since there are several for each query."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable

import gevent

from hollowhitch import log


class LaterCall:
    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None  # lets go of what it holds; its place in the heap passes by itself


class Timers:
    """Calls are made in the loop's own greenlet, so none of them may wait for anything."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, LaterCall]] = []
        self._serial = 0
        self._loop = gevent.get_hub().loop
        self._timer, self._due = self._loop.timer(0), math.inf

    def later(self, delay_s: float, call: Callable[[], None]) -> LaterCall:
        entry, due = LaterCall(call), time.monotonic() + max(delay_s, 0.0)
        self._serial += 1
        heapq.heappush(self._heap, (due, self._serial, entry))
        if due < self._due:
            self._arm(due)
        return entry

    def _arm(self, due: float) -> None:
        self._timer.stop()
        self._timer.close()
        self._timer, self._due = self._loop.timer(max(due - time.monotonic(), 0.0)), due
        self._timer.start(self._run)

    def _run(self) -> None:
        self._due, now = math.inf, time.monotonic()
        while self._heap and self._heap[0][0] <= now:
            call = heapq.heappop(self._heap)[2].call
            try:
                if call is not None:
                    call()
            except Exception as e:  # one call must not take the next ones with it
                log.event("fault", "a delayed call failed", error=repr(e))
        while self._heap and self._heap[0][2].call is None:
            heapq.heappop(self._heap)
        if self._heap and self._heap[0][0] < self._due:
            self._arm(self._heap[0][0])
