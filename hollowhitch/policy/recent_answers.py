"""Answers of engines in the recent past; no I/O."""

from __future__ import annotations

from collections import deque

from hollowhitch.policy.records import EngineRecord


class RecentAnswers:
    """Answers of engines, by age; a later attempt at an engine uses up one of its answers."""

    def __init__(self) -> None:
        self.entries: deque[tuple[int, EngineRecord]] = deque()

    def add(self, now_us: int, engine: EngineRecord) -> None:
        """Record an answer of an engine."""
        self.entries.append((now_us, engine))

    def consume(self, engine: EngineRecord) -> None:
        """Remove the oldest answer of an engine, if there is one."""
        if (entry := next((x for x in self.entries if x[1] is engine), None)) is not None:
            self.entries.remove(entry)

    def engines_since(self, start_us: int) -> list[EngineRecord]:
        """Return each engine with an answer since `start_us` once, the newest answer first.

        Older answers are dropped.
        """
        while self.entries and self.entries[0][0] < start_us:
            self.entries.popleft()
        return list({e.info.id: e for _, e in reversed(self.entries)}.values())
