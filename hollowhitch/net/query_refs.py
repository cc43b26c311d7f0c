"""Refs of open queries, and of queries of which an attempt was sent; no I/O.

Engines tell queries apart by their refs, and clients never use a ref twice. One that comes again, from a
client that has left or from another one, must not run a second time.
"""

from __future__ import annotations


class QueryRefs:
    """Refs that must not be accepted now.

    A ref of which an attempt was sent is remembered for `retention_s` seconds or longer, unless more than
    `max_recent` of them are more recent.
    """

    def __init__(self, retention_s: float, max_recent: int) -> None:
        self._open: set[str] = set()
        # Refs as numbers, which take less memory, in two generations, of which the older one is dropped.
        self._recent: set[int] = set()
        self._previous: set[int] = set()
        self._generation_began_s = 0.0
        self._retention_s, self._max_generation = retention_s, max(max_recent // 2, 1)

    def __contains__(self, ref: str) -> bool:
        return ref in self._open or (number := int(ref, 16)) in self._recent or number in self._previous

    def opened(self, ref: str) -> None:
        """Note that a query was accepted. `ref` consists of hexadecimal digits."""
        self._open.add(ref)

    def closed(self, ref: str, was_sent: bool, now_s: float) -> None:
        """Note that a query is finished; `now_s` is in monotonic seconds."""
        self._open.discard(ref)
        if not was_sent:
            return
        if now_s - self._generation_began_s > self._retention_s or len(self._recent) >= self._max_generation:
            self._previous, self._recent, self._generation_began_s = self._recent, set(), now_s
        self._recent.add(int(ref, 16))
