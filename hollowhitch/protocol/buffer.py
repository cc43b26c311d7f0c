"""Receive buffer of one connection, which grows on demand and is compacted in place."""

from __future__ import annotations

# Size of a new buffer, and the minimum of free space that a read is given, in bytes.
INITIAL_BYTES, MIN_FREE_BYTES = 4096, 2048


class ReceiveBuffer:
    """Bytes that were received and not yet consumed: `data[start:end]`.

    Offsets in arguments and results count from the first of these bytes.
    """

    def __init__(self) -> None:
        self.data = bytearray(INITIAL_BYTES)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def reserve(self, min_bytes: int = MIN_FREE_BYTES) -> memoryview:
        """Return a writable view of the free space, at least `min_bytes` long.

        Call `commit` with the number of bytes written there. Release the view before any other call on the
        buffer: a bytearray cannot be resized while a view of it exists.
        """
        if self.start == self.end:
            self.start = self.end = 0
        if len(self.data) - self.end < min_bytes:
            buffered = len(self)
            if self.start:
                with memoryview(self.data) as view:
                    view[:buffered] = view[self.start : self.end]
                self.start, self.end = 0, buffered
            if len(self.data) - buffered < min_bytes:
                # Growth by a quarter keeps the buffer's size close to that of the largest frame.
                grown = bytearray(len(self.data) + max(len(self.data) // 4, min_bytes))
                grown[:buffered] = self.data[:buffered]
                self.data = grown
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Add `count` bytes that were written to the view that `reserve` returned."""
        self.end += count

    def write(self, data: bytes | memoryview) -> None:
        """Copy `data` to the end of the buffer."""
        with self.reserve(max(len(data), 1)) as view:
            view[: len(data)] = data
        self.commit(len(data))

    def peek(self, offset: int, count: int) -> bytes:
        """Return up to `count` bytes from `offset` on without consuming them."""
        first = self.start + offset
        return bytes(self.data[first : min(first + count, self.end)])

    def consume(self, count: int) -> None:
        """Consume `count` bytes, which must be buffered.

        A buffer that has grown shrinks once it is empty, so that a large frame does not occupy its memory.
        """
        self.start += count
        if self.start == self.end and len(self.data) > 2 * INITIAL_BYTES:
            self.data = bytearray(INITIAL_BYTES)
            self.start = self.end = 0

    def read(self, count: int) -> bytes:
        """Consume and return up to `count` bytes."""
        data = self.peek(0, count)
        self.consume(len(data))
        return data

    def find(self, separator: bytes, offset: int = 0) -> int:
        """Return the offset of the first `separator` at or after `offset`, or -1 if there is none."""
        index = self.data.find(separator, self.start + offset, self.end)
        return index - self.start if index >= 0 else -1
