"""Clocks: durations are measured on the monotonic clock, and only this module reads the wall clock.

The wall clock of a machine may be stepped at any moment. It is only used for the timestamps of log lines and
to translate wall times from outside: the kernel's receive timestamps, and the start times in lists of
engines.
"""

from __future__ import annotations

import time

NS_PER_US = 1_000
US_PER_S = 1_000_000
# `Clock.now_us` at the start of the process: a day, so that times up to a day before the start are positive.
START_US = 86_400 * US_PER_S
# Smallest change of `Clock.wall_offset_us` that counts as a step of the wall clock, in microseconds:
# a smaller change may be the time that passed between reading the two clocks.
MIN_STEP_US = 2_000


def wall_time_us() -> int:
    """Return the current wall time in Unix microseconds."""
    return time.time_ns() // NS_PER_US


class Clock:
    """Monotonic clock in microseconds, unaffected by steps of the wall clock.

    `now_us` counts from an arbitrary origin, so its values mean nothing outside this process.
    """

    def __init__(self) -> None:
        self._origin_us = time.monotonic_ns() // NS_PER_US - START_US
        self._first_offset_us = self._offset_us = self.wall_offset_us()

    def now_us(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // NS_PER_US - self._origin_us

    def wall_offset_us(self) -> int:
        """Return the wall time minus `now_us`, which each step of the wall clock changes."""
        before_us = self.now_us()
        wall_us = wall_time_us()
        return wall_us - (before_us + self.now_us()) // 2

    def from_wall_us(self, wall_us: int) -> int:
        """Translate Unix microseconds to this clock, by the offset measured when the clock was created.

        Steps since then have no effect. Whether the wall clock was right at that time is unknown.
        """
        return wall_us - self._first_offset_us

    def detect_step_us(self) -> int:
        """Return by how many microseconds the wall clock was stepped since the last call; 0 if it was not."""
        offset_us = self.wall_offset_us()
        step_us = offset_us - self._offset_us
        if abs(step_us) < MIN_STEP_US:
            return 0
        self._offset_us = offset_us
        return step_us
