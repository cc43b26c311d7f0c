"""Order in which the requests of all client connections are handled.

A connection on which many requests arrive at once is read in several iterations of the event loop, while a
single request on another connection is read at once. A request must not be handled before an older one, which
may have the same order key, is read. So the queue knows which connections have unread input, and since when.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from functools import partial

import gevent

from hollowhitch.call_heap import CallHeap, DueCall
from hollowhitch.clock import Clock
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.loop_monitor import LoopMonitor

# Microseconds after which a waiting request is not worth its time any more. Refusing it is quicker than to
# start it, so that thousands of requests at once do not delay those that come after them.
MAX_QUEUED_US = 1_000_000
# Microseconds for which requests wait for the older input of one connection. A client may send faster than
# its input can be read.
MAX_BEHIND_US = 250_000


class ArrivalQueue:
    """Requests that were read and not yet handled, in order of arrival.

    Times are microseconds on the proxy's clock.
    """

    def __init__(self, clock: Clock, loop_monitor: LoopMonitor) -> None:
        self._clock, self._loop_monitor = clock, loop_monitor
        self._pending = CallHeap()  # by time of arrival
        # By connection: a time before which none of its input that is not in the queue can have arrived.
        self._unread_since_us: dict[Hashable, int] = {}
        self.handled_until_us = 0  # the latest arrival of a request that was handled
        self._is_dispatching = False
        # Since when the oldest request has waited for older input of others; None: it does not wait.
        self._blocked_since_us: int | None = None

    @property
    def pending_count(self) -> int:
        """Number of requests in the queue, and of some that were taken out of it."""
        return len(self._pending)

    def add(self, arrived_at_us: int, handle: Callable[[bool], None]) -> DueCall:
        """Schedule `handle` for when all requests that arrived before `arrived_at_us` are handled.

        `handle` must neither block nor raise. Its argument is whether it has waited for so long that the
        request should be refused. Return a handle that takes the request out of the queue.
        """
        call = self._pending.add(arrived_at_us, partial(self._handle, handle, self._clock.now_us()))
        if not self._is_dispatching:
            self._is_dispatching = True
            gevent.spawn(self._dispatch)
        return call

    def input_is_unread(self, connection: Hashable, since_us: int) -> None:
        """Note that a connection has input that is not in the queue yet.

        None of it arrived before `since_us`. Only the first call before `input_is_read` has an effect.
        """
        self._unread_since_us.setdefault(connection, since_us)

    def input_is_read(self, connection: Hashable) -> None:
        """Note that the input of a connection is in the queue, or that others need not wait for it."""
        self._unread_since_us.pop(connection, None)

    def _dispatch(self) -> None:
        while not math.isinf(self._pending.next_due_at()):
            yield_to_loop()  # lets connections that are readable in this iteration be read before
            self._loop_monitor.catch_up()
            self._dispatch_batch()
        self._is_dispatching = False

    def _dispatch_batch(self) -> None:
        """Handle requests until the event loop is overdue to poll, or an older one may be unread."""
        unread_since_us = min(self._unread_since_us.values(), default=math.inf)
        while not math.isinf(arrived_at_us := self._pending.next_due_at()):
            if arrived_at_us <= unread_since_us:
                self._blocked_since_us = None
            elif not self._has_waited_long():
                return
            callback = self._pending.pop_due(arrived_at_us)
            assert callback is not None
            self.handled_until_us = max(self.handled_until_us, int(arrived_at_us))
            callback()
            if self._loop_monitor.poll_overdue:
                return

    def _has_waited_long(self) -> bool:
        """Return whether the oldest request has waited for older input for so long that it is refused."""
        if self._blocked_since_us is None:
            self._blocked_since_us = self._clock.now_us()
        return self._clock.now_us() - self._blocked_since_us > MAX_QUEUED_US

    def _handle(self, handle: Callable[[bool], None], queued_at_us: int) -> None:
        is_overdue = self._clock.now_us() - queued_at_us > MAX_QUEUED_US
        handle(is_overdue or self._blocked_since_us is not None)
