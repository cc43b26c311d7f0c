"""The one receive buffer of a connection: grows as it needs to, is compacted in place."""

from __future__ import annotations

FIRST, ROOM = 4096, 2048  # bytes to start with; that a read may always take


class ReceiveBuffer:
    def __init__(self) -> None:
        self.data = bytearray(FIRST)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def room(self, least: int = ROOM) -> memoryview:
        """Where the next bytes go; tell `filled` how many came. Let go of the view before the next call."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > 16 * FIRST and least <= FIRST:  # one large frame must not stay paid for
                self.data = bytearray(FIRST)
        if len(self.data) - self.end < least:
            held = len(self)
            if self.start:
                with memoryview(self.data) as view:
                    view[:held] = view[self.start : self.end]
                self.start, self.end = 0, held
            if len(self.data) - held < least:
                self.data.extend(bytes(max(len(self.data) // 4, least)))  # never far above the largest frame
        return memoryview(self.data)[self.end :]

    def filled(self, count: int) -> None:
        self.end += count

    def put(self, data: bytes | memoryview) -> None:
        with self.room(max(len(data), 1)) as view:
            view[: len(data)] = data
        self.filled(len(data))

    def peek(self, offset: int, count: int) -> bytes:
        at = self.start + offset
        return bytes(self.data[at : min(at + count, self.end)])

    def skip(self, count: int) -> None:
        self.start += count

    def take(self, count: int) -> bytes:
        taken = self.peek(0, count)
        self.skip(len(taken))
        return taken

    def find(self, mark: bytes, offset: int = 0) -> int:
        """Where `mark` begins at or after `offset`, or -1."""
        at = self.data.find(mark, self.start + offset, self.end)
        return at - self.start if at >= 0 else -1
