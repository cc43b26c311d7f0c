"""Calls to make later, each in a greenlet of its own."""

from __future__ import annotations

from collections.abc import Callable

import gevent


class LaterCall:
    __slots__ = ("_greenlet",)

    def __init__(self, delay_s: float, call: Callable[[], None]) -> None:
        self._greenlet = gevent.spawn_later(max(delay_s, 0.0), call)

    def cancel(self) -> None:
        if self._greenlet is not gevent.getcurrent():  # a call may cancel itself
            self._greenlet.kill(block=False)
