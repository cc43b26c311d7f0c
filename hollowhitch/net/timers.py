"""Delayed calls that share one heap and one event loop timer, because each query needs several calls."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent

from hollowhitch import log
from hollowhitch.call_heap import CallHeap, DueCall


class Timers:
    """Scheduler of delayed calls. They run in the event loop's own greenlet, so none of them may block."""

    def __init__(self) -> None:
        self._calls = CallHeap()  # by monotonic seconds
        self._loop = gevent.get_hub().loop
        self._timer, self._next_due_s = self._loop.timer(0), math.inf

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> DueCall:
        """Schedule `callback` to run after `delay_s` seconds, and return a handle that can cancel it."""
        due_s = time.monotonic() + max(delay_s, 0.0)
        call = self._calls.add(due_s, callback)
        if due_s < self._next_due_s:
            self._arm(due_s)
        return call

    def _arm(self, due_s: float) -> None:
        """Set the event loop timer to fire at `due_s`."""
        self._timer.stop()
        self._timer.close()
        self._timer, self._next_due_s = self._loop.timer(max(due_s - time.monotonic(), 0.0)), due_s
        self._timer.start(self._run)

    def _run(self) -> None:
        self._next_due_s, now_s = math.inf, time.monotonic()
        while (callback := self._calls.pop_due(now_s)) is not None:
            try:
                callback()
            except Exception as e:  # a failed call must not prevent the calls after it
                log.event("fault", "a delayed call failed", error=repr(e))
        if (due_s := self._calls.next_due_at()) < self._next_due_s:
            self._arm(due_s)


class SingleTimer:
    """A delayed call of its own timer of the event loop, which runs in the loop's own greenlet."""

    def __init__(self) -> None:
        self._timer: Any = None  # of the event loop; None: no call is scheduled

    def start(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` to run after `delay_s` seconds, in place of the call that is scheduled."""
        self.stop()
        self._timer = gevent.get_hub().loop.timer(delay_s)
        self._timer.start(self._run, callback)

    def stop(self) -> None:
        """Drop the call that is scheduled, if there is one."""
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def _run(self, callback: Callable[[], None]) -> None:
        self.stop()
        callback()
