"""What waits to be written to a connection: bounded, and written by a greenlet of its own."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from gevent import socket
from gevent.event import Event

Item = bytes | Callable[[], bytes]  # the latter is asked for its bytes just before they are written


class Outbox:
    def __init__(self, sock: socket.socket, most: int) -> None:
        self.size = 0
        self.closed = False
        self._sock, self._most = sock, most
        self._items: deque[tuple[Item, int]] = deque()
        self._wake, self._room = Event(), Event()
        self._room.set()
        self._finish = False
        self.idle = True  # nothing waits and nothing is being written

    @property
    def full(self) -> bool:
        return self.size > self._most

    def put(self, item: Item, size: int | None = None) -> None:
        if self.closed:
            return
        size = len(item) if isinstance(item, bytes) else size or 0
        self._items.append((item, size))
        self.size += size
        self.idle = False
        if self.full:
            self._room.clear()
        self._wake.set()

    def wait_for_room(self) -> None:
        """Guards memory against a peer that asks and does not read."""
        self._room.wait()

    def finish(self) -> None:
        """Write what waits, then end."""
        self._finish = True
        self._wake.set()

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
            chunk = bytearray()
            size = 0
            while self._items and len(chunk) < 65_536:
                item, length = self._items.popleft()
                chunk += item if isinstance(item, bytes) else item()
                size += length
            if chunk:
                self._sock.sendall(chunk)
            self.size = max(0, self.size - size)
            if not self.full:
                self._room.set()
