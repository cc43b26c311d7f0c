"""Bounded queue of bytes to be written to a connection, drained by a greenlet of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from gevent import socket
from gevent.event import Event

from hollowhitch.net.memory_budget import MemoryBudget
from hollowhitch.net.system_call_errors import SystemCall, retry_transient

Item = bytes | Callable[[], bytes]  # a callable returns its bytes just before they are written
OnTaken = Callable[[], None]

WRITE_CHUNK_BYTES = 65_536  # bytes gathered for one write
ITEM_BYTES = 200  # memory that one waiting item takes in addition to its own bytes
MIN_PAUSE_BYTES = 16_384  # bytes up to which a queue is never above its threshold, whatever others hold


def _do_nothing() -> None:
    pass


class SendQueue:
    """Bytes that wait to be written to a socket.

    Items are accepted even above `max_bytes` and `pause_threshold` (by default the same); the owner has to
    check `full` and `above_threshold`. `before_write` is called before each write and may block. Items given
    as callables are evaluated after that. If there is a `budget`, the queue's size counts as held there, and
    a queue is above its threshold earlier while the budget is exhausted. `on_below_threshold` is called after
    each write after which the queue is not above its threshold.
    """

    def __init__(
        self,
        sock: socket.socket,
        max_bytes: int,
        pause_threshold: int | None = None,
        before_write: Callable[[], None] | None = None,
        budget: MemoryBudget | None = None,
        on_below_threshold: Callable[[], None] | None = None,
    ) -> None:
        self.size = 0  # bytes waiting or being written, with ITEM_BYTES for each item
        self.closed = False
        self._sock, self._max_bytes, self._pause_threshold = sock, max_bytes, pause_threshold or max_bytes
        self._before_write, self._budget = before_write, budget
        self._on_below_threshold = on_below_threshold or _do_nothing
        self._items: deque[tuple[Item, int, OnTaken | None]] = deque()
        # For the chunk being written: calls to make once the kernel has taken so many of its bytes.
        self._taken_calls: deque[tuple[int, OnTaken]] = deque()
        self._wake = Event()
        self.idle = True  # nothing is waiting and nothing is being written

    @property
    def full(self) -> bool:
        """Whether more than `max_bytes` bytes are waiting."""
        return self.size > self._max_bytes

    @property
    def above_threshold(self) -> bool:
        """Whether more bytes than the pause threshold are waiting, so that the owner should stop reading."""
        is_short_of_memory = self._budget is not None and self._budget.is_exhausted
        return self.size > (MIN_PAUSE_BYTES if is_short_of_memory else self._pause_threshold)

    def put(self, item: Item, size: int | None = None, on_taken: OnTaken | None = None) -> None:
        """Append an item, unless the queue is closed.

        `size` is the estimated size in bytes of an item given as a callable. `on_taken` is called once the
        kernel has taken the item's bytes, or once they are dropped because the queue is closed.
        """
        if self.closed:
            if on_taken is not None:
                on_taken()
            return
        size = (len(item) if isinstance(item, bytes) else size or 0) + ITEM_BYTES
        self._items.append((item, size, on_taken))
        self._change_size(size)
        self.idle = False
        self._wake.set()

    def _change_size(self, change: int) -> None:
        self.size += change
        if self._budget is not None:
            self._budget.hold(change)

    def wake(self) -> None:
        """Let `run` ask again whether it may finish."""
        self._wake.set()

    def close(self) -> None:
        """Drop the waiting items, and let `run` return."""
        self.closed = True
        dropped_calls = [on_taken for _, on_taken in self._taken_calls]
        dropped_calls += [on_taken for _, _, on_taken in self._items if on_taken is not None]
        self._taken_calls.clear()
        self._items.clear()
        self._change_size(-self.size)
        self._on_below_threshold = _do_nothing  # its owner would otherwise wait for a garbage collection
        self._wake.set()
        for on_taken in dropped_calls:
            on_taken()

    def run(self, may_finish: Callable[[], bool] = lambda: False) -> None:
        """Write until the queue is closed, or is empty and may finish. Raise OSError if a write fails.

        `may_finish` is asked whenever nothing is waiting; call `wake` after each change of its result.
        """
        while not self.closed:
            if not self._items:
                self.idle = True
                if may_finish():
                    return
                self._wake.clear()
                self._wake.wait()
                continue
            if self._before_write is not None:
                self._before_write()
            chunk: bytes | bytearray = b""
            size = 0
            while self._items and len(chunk) < WRITE_CHUNK_BYTES:
                item, item_size, on_taken = self._items.popleft()
                data = item if isinstance(item, bytes) else item()
                if not chunk:
                    chunk = data  # a large item is not copied
                elif isinstance(chunk, bytearray):
                    chunk += data
                else:
                    chunk = bytearray(chunk + data)
                size += item_size
                if on_taken is not None:
                    self._taken_calls.append((len(chunk), on_taken))
            self._send(chunk)
            if not self.closed:
                self._change_size(-size)
            if not self.closed and not self.above_threshold:
                self._on_below_threshold()

    def _send(self, chunk: bytes | bytearray) -> None:
        """Write the whole chunk, in as many pieces as the kernel requires."""
        sent_bytes = 0
        with memoryview(chunk) as view:
            while sent_bytes < len(view):
                sent_bytes += retry_transient(SystemCall.SEND, self._sock.send, view[sent_bytes:])
                self._call_taken(sent_bytes)
        self._call_taken(sent_bytes)

    def _call_taken(self, sent_bytes: int) -> None:
        while self._taken_calls and self._taken_calls[0][0] <= sent_bytes:
            self._taken_calls.popleft()[1]()
