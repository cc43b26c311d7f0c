"""Requests that were read and wait to be started: fair among connections, and in order for each order key.

A connection's requests are started only when all its input is read, because a cancellation may lie behind
them. Requests with the same order key are started in order of their arrival, whatever their connections. So a
request with a key also waits until older input of other connections is read.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from typing import NamedTuple

from hollowhitch.call_heap import CallHeap, DueCall
from hollowhitch.clock import Clock
from hollowhitch.net.fair_queue import FairQueue

# Time in microseconds that the requests of one connection may take before those of the next connection, and
# the largest debt that counts.
QUANTUM_US, MAX_DEBT_US = 1_000, 8_000
# Microseconds after which unread input counts as late, and requests of other connections wait for it no
# longer. This is half of the time within which an attempt may still begin after its client has cancelled or
# gone. It is also less than the time between two requests of one key, so that the arrival times of input that
# is not late are exact enough for their order.
MAX_UNREAD_US = 50_000


class QueuedRequest:
    """A request that waits to be started. `cancel` takes it out of the queue."""

    __slots__ = ("connection", "arrived_at_us", "order_key", "start", "_queue", "_due_call")

    def __init__(
        self,
        queue: RequestQueue,
        connection: Hashable,
        arrived_at_us: int,
        order_key: bytes | None,
        start: Callable[[], None],
    ) -> None:
        self.connection, self.arrived_at_us, self.order_key = connection, arrived_at_us, order_key
        self.start = start
        self._queue = queue
        self._due_call: DueCall | None = None  # while it waits for older input of other connections

    def cancel(self) -> None:
        """Take the request out of the queue; this has no effect once it was started."""
        self._queue.leave(self)


class _UnreadInput(NamedTuple):
    """Input of a connection that is not read yet."""

    since_us: int  # none of it arrived before
    noted_at_us: int


class RequestQueue:
    """Requests of all connections that were read and not started. Times are microseconds on the clock."""

    def __init__(self, clock: Clock, on_work: Callable[[], None]) -> None:
        """Create the queue; `on_work` is called whenever there may be something to start."""
        self._clock, self._on_work = clock, on_work
        self._fair: FairQueue[Hashable] = FairQueue(QUANTUM_US, MAX_DEBT_US)
        # By connection: the requests that may be started once its input is read, the oldest first. The values
        # mean nothing; a dictionary is an ordered set.
        self._startable: dict[Hashable, dict[QueuedRequest, None]] = {}
        self._without_key = CallHeap()  # requests without a key that were read just now, by arrival
        self._with_key = CallHeap()  # requests with a key that wait for older input, by arrival
        # Those whose connections have late input, by connection. They do not delay others of their key.
        self._late: dict[Hashable, dict[QueuedRequest, None]] = {}
        self._by_key: dict[bytes, dict[QueuedRequest, None]] = {}  # those in order; only the first may start
        self._unread: set[Hashable] = set()  # connections with input that is not read
        # Of those for whose input others wait: a time before which none of that input can have arrived.
        self._waited_for_input: dict[Hashable, _UnreadInput] = {}
        self.started_until_us = 0  # the latest arrival of a request with a key that was started

    def __len__(self) -> int:
        """Return the number of requests in the queue; a few that were cancelled may be included."""
        return (
            len(self._without_key)
            + len(self._with_key)
            + sum(len(requests) for requests in (*self._startable.values(), *self._late.values()))
        )

    def add(
        self, connection: Hashable, arrived_at_us: int, order_key: bytes | None, start: Callable[[], None]
    ) -> QueuedRequest:
        """Queue a request; `start` must neither block nor raise."""
        request = QueuedRequest(self, connection, arrived_at_us, order_key, start)
        heap = self._without_key if order_key is None else self._with_key
        request._due_call = heap.add(arrived_at_us, lambda: self._is_in_order(request))
        self._on_work()
        return request

    def leave(self, request: QueuedRequest) -> None:
        """Take a request out of the queue. The next one with its key may be started then."""
        if request._due_call is not None:
            request._due_call.cancel()
            request._due_call = None
            return
        late_requests = self._late.get(request.connection)
        if late_requests is not None and request in late_requests:
            del late_requests[request]
            if not late_requests:
                del self._late[request.connection]
            return
        requests = self._startable.get(request.connection)
        if requests is not None and request in requests:
            del requests[request]
            if not requests:
                del self._startable[request.connection]
                self._fair.remove(request.connection)
        if request.order_key is not None:
            self._leave_key(request, request.order_key)

    def _leave_key(self, request: QueuedRequest, order_key: bytes) -> None:
        requests = self._by_key.get(order_key)
        if requests is None or request not in requests:
            return
        was_first = next(iter(requests)) is request
        del requests[request]
        if not requests:
            del self._by_key[order_key]
        elif was_first:
            self._may_start(next(iter(requests)))

    def _is_in_order(self, request: QueuedRequest) -> None:
        """Note that no older request with its key can arrive any more."""
        request._due_call = None
        if request.order_key is None:
            self._may_start(request)
            return
        if request.connection in self._unread and request.connection not in self._waited_for_input:
            self._late.setdefault(request.connection, {})[request] = None
            return
        requests = self._by_key.setdefault(request.order_key, {})
        requests[request] = None
        if len(requests) == 1:
            self._may_start(request)

    def _may_start(self, request: QueuedRequest) -> None:
        self._startable.setdefault(request.connection, {})[request] = None
        if request.connection not in self._unread:
            self._fair.add(request.connection)
            self._on_work()

    # Input of the connections

    def input_is_unread(self, connection: Hashable, since_us: int) -> None:
        """Note that a connection has input that is not read yet, so that none of its requests may start.

        None of that input arrived before `since_us`. Only the first call before `input_is_read` has an
        effect.
        """
        if connection not in self._unread:
            self._unread.add(connection)
            self._waited_for_input[connection] = _UnreadInput(since_us, self._clock.now_us())
            self._fair.remove(connection)

    def stop_waiting_for(self, connection: Hashable) -> None:
        """Let the requests of other connections no longer wait for the input of this one."""
        if self._waited_for_input.pop(connection, None) is not None:
            self._on_work()

    def input_is_read(self, connection: Hashable) -> None:
        """Note that all input of a connection is read."""
        self.stop_waiting_for(connection)
        if connection not in self._unread:
            return
        self._unread.discard(connection)
        for request in self._late.pop(connection, ()):
            self._is_in_order(request)
        if connection in self._startable:
            self._fair.add(connection)
            self._on_work()

    # Starting

    def has_work(self) -> bool:
        """Return whether a request may be started now."""
        self._release_in_order()
        return len(self._fair) > 0

    def _release_in_order(self) -> None:
        """Let requests be started, in the order of their arrival as far as all connections are read."""
        while (release := self._without_key.pop_due(math.inf)) is not None:
            release()
        if len(self._with_key):
            unread_since_us = min(self._waited_for(), default=math.inf)
            while (release := self._with_key.pop_due(unread_since_us)) is not None:
                release()

    def _waited_for(self) -> list[int]:
        """Return the times before which no input that requests with a key wait for can have arrived."""
        noted_after_us = self._clock.now_us() - MAX_UNREAD_US
        late = [c for c, unread in self._waited_for_input.items() if unread.noted_at_us < noted_after_us]
        for connection in late:
            del self._waited_for_input[connection]
        return [unread.since_us for unread in self._waited_for_input.values()]

    def run(self, duration_us: int) -> None:
        """Start requests for about that time."""
        self._release_in_order()
        now_us = self._clock.now_us()
        ends_at_us = now_us + duration_us
        while now_us < ends_at_us and (connection := self._fair.next()) is not None:
            self._start(next(iter(self._startable[connection])))
            began_at_us, now_us = now_us, self._clock.now_us()
            self._fair.charge(connection, now_us - began_at_us)

    def _start(self, request: QueuedRequest) -> None:
        if request.order_key is not None:
            self.started_until_us = max(self.started_until_us, request.arrived_at_us)
        self.leave(request)
        request.start()
