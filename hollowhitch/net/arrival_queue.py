"""Order in which the requests of all client connections are handled.

A connection on which many requests arrive at once is read in several iterations of the event loop, while a
single request on another connection is read at once. A request must not be handled before an older one, which
may have the same order key, is read. So the queue knows which connections have unread input, and since when.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Hashable

import gevent

from hollowhitch.clock import Clock
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.loop_monitor import LoopMonitor

# Microseconds after which a waiting request is not worth its time any more. Refusing it is quicker than to
# start it, so that thousands of requests at once do not delay those that come after them.
MAX_QUEUED_US = 1_000_000


class ArrivalQueue:
    """Requests that were read and not yet handled, in order of arrival.

    Times are microseconds on the proxy's clock.
    """

    def __init__(self, clock: Clock, loop_monitor: LoopMonitor) -> None:
        self._clock, self._loop_monitor = clock, loop_monitor
        # Heap of arrival time, serial number, time of `add`, and handler.
        self._pending: list[tuple[int, int, int, Callable[[bool], None]]] = []
        # By connection: a time before which none of its input that is not in the queue can have arrived.
        self._unread_since_us: dict[Hashable, int] = {}
        self.handled_until_us = 0  # the latest arrival of a request that was handled
        self._last_serial = 0
        self._is_dispatching = False

    def add(self, arrived_at_us: int, handle: Callable[[bool], None]) -> None:
        """Schedule `handle` for when all requests that arrived before `arrived_at_us` are handled.

        `handle` must neither block nor raise. Its argument is whether it has waited for so long that the
        request should be refused.
        """
        self._last_serial += 1
        entry = (arrived_at_us, self._last_serial, self._clock.now_us(), handle)
        heapq.heappush(self._pending, entry)
        if not self._is_dispatching:
            self._is_dispatching = True
            gevent.spawn(self._dispatch)

    def input_is_unread(self, connection: Hashable, since_us: int) -> None:
        """Note that a connection has input that is not in the queue yet.

        None of it arrived before `since_us`. Only the first call before `input_is_read` has an effect.
        """
        self._unread_since_us.setdefault(connection, since_us)

    def input_is_read(self, connection: Hashable) -> None:
        """Note that the input of a connection is in the queue, or that others need not wait for it."""
        self._unread_since_us.pop(connection, None)

    def _dispatch(self) -> None:
        while self._pending:
            yield_to_loop()  # lets connections that are readable in this iteration be read before
            self._loop_monitor.catch_up()
            self._dispatch_batch()
        self._is_dispatching = False

    def _dispatch_batch(self) -> None:
        """Handle requests until the event loop is overdue to poll, or an older one may be unread."""
        unread_since_us = min(self._unread_since_us.values(), default=math.inf)
        while self._pending:
            arrived_at_us, _, queued_at_us, handle = self._pending[0]
            is_overdue = self._clock.now_us() - queued_at_us > MAX_QUEUED_US
            if arrived_at_us > unread_since_us and not is_overdue:
                return
            heapq.heappop(self._pending)
            self.handled_until_us = max(self.handled_until_us, arrived_at_us)
            handle(is_overdue)
            if self._loop_monitor.poll_overdue:
                return
