"""Time. Every span is measured on the monotonic clock; the wall clock is read here and nowhere else.

The wall clock of a machine may be stepped at any moment. It serves two purposes only: stamps of log lines,
and the translation of wall times that come from outside (the kernel's receive stamps, the start times that
lists of engines give).
"""

from __future__ import annotations

import time

NS_PER_US = 1_000
US_PER_S = 1_000_000
# What `Clock.now_us` tells as the process starts: times before its start, by a day, are positive as well.
START_US = 86_400 * US_PER_S
STEP_LEAST_US = 2_000  # a smaller change between two readings may be the time that passed between them


def wall_time_us() -> int:
    """The wall clock, in Unix microseconds, wherever it stands now."""
    return time.time_ns() // NS_PER_US


class Clock:
    """Microseconds of real time: never stepped, never standing still.

    `now_us` counts from an origin of its own, so its values mean nothing outside this process.
    """

    def __init__(self) -> None:
        self._origin_us = time.monotonic_ns() // NS_PER_US - START_US
        self._first_offset_us = self._offset_us = self.wall_offset_us()

    def now_us(self) -> int:
        """Now, in microseconds."""
        return time.monotonic_ns() // NS_PER_US - self._origin_us

    def wall_offset_us(self) -> int:
        """What is to be added to `now_us` for the wall clock as it stands now. It changes with each step."""
        before = self.now_us()
        wall = wall_time_us()
        return wall - (before + self.now_us()) // 2

    def from_wall_us(self, wall_us: int) -> int:
        """Translate a Unix time told from outside, by the wall clock as it stood when the process started.

        Steps since then do not matter; whether the clock was right at the start cannot be known here.
        """
        return wall_us - self._first_offset_us

    def take_step_us(self) -> int:
        """By how much the wall clock was stepped since the last call; 0 where it was not."""
        offset = self.wall_offset_us()
        step = offset - self._offset_us
        if abs(step) < STEP_LEAST_US:
            return 0
        self._offset_us = offset
        return step
