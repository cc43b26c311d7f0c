"""What waits to be written to a connection: bounded, and written by a greenlet of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from gevent import socket
from gevent.event import Event

from hollowhitch.net.failures import Call, retried

Item = bytes | Callable[[], bytes]  # the latter is asked for its bytes just before they are written

CHUNK = 65_536  # bytes gathered for one write


class Outbox:
    """Bytes on their way out. `before_write` may wait, before lazily made bytes are asked for."""

    def __init__(
        self,
        sock: socket.socket,
        most: int,
        pause_at: int | None = None,
        before_write: Callable[[], None] | None = None,
    ) -> None:
        self.size = 0
        self.closed = False
        self._sock, self._most, self._pause_at = sock, most, pause_at or most
        self._before_write = before_write
        self._items: deque[tuple[Item, int]] = deque()
        self._wake, self._room = Event(), Event()
        self._room.set()
        self._finish = False
        self.idle = True  # nothing waits and nothing is being written

    @property
    def full(self) -> bool:
        return self.size > self._most

    @property
    def over_pause(self) -> bool:
        return self.size > self._pause_at

    def put(self, item: Item, size: int | None = None) -> None:
        if self.closed:
            return
        size = len(item) if isinstance(item, bytes) else size or 0
        self._items.append((item, size))
        self.size += size
        self.idle = False
        if self.over_pause:
            self._room.clear()
        self._wake.set()

    def wait_for_room(self) -> None:
        """Guards memory against a peer that asks and does not read."""
        self._room.wait()

    def finish(self) -> None:
        """Let `run` return once nothing waits."""
        self._finish = True
        self._wake.set()

    def resume(self) -> None:
        """Take back `finish`."""
        self._finish = False

    def close(self) -> None:
        self.closed = True
        self._items.clear()
        self.size = 0
        self._room.set()
        self._wake.set()

    def run(self) -> None:
        """Write until closed or finished; an OSError of the socket passes through."""
        while not self.closed:
            if not self._items:
                self.idle = True
                if self._finish:
                    return
                self._wake.clear()
                self._wake.wait()
                continue
            if self._before_write is not None:
                self._before_write()
            chunk = bytearray()
            size = 0
            while self._items and len(chunk) < CHUNK:
                item, length = self._items.popleft()
                chunk += item if isinstance(item, bytes) else item()
                size += length
            if chunk:
                self._send(chunk)
            self.size = max(0, self.size - size)
            if not self.over_pause:
                self._room.set()

    def _send(self, chunk: bytearray) -> None:
        """Write it all, in as many pieces as the kernel takes."""
        sent = 0
        with memoryview(chunk) as view:
            while sent < len(view):
                sent += retried(Call.SEND, self._sock.send, view[sent:])
