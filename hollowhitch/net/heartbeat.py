"""Looks at the event loop and at the wall clock: when did the loop last run, and was the clock stepped?"""

from __future__ import annotations

import gevent

from hollowhitch import log
from hollowhitch.clock import US_PER_S, Clock
from hollowhitch.metrics import Metrics

PERIOD_US = 50_000
DRIFT_US = 500  # between the clocks, before their difference is taken anew
STALE_US = 50_000  # since the loop looked for what had come
STARVED_US = 5_000  # since the loop looked: a greenlet that has run for so long gives way
POLLS = 2  # turns of the loop in which it surely looks and readers are heard
STANDSTILL_US = 40_000  # late by more is worth a line


class Heartbeat:
    """Beats every 50 ms while the event loop runs.

    `alive_us` is a time at which the loop ran, before anything that can be read now has arrived unless its
    reader paused; `offset_us` is the wall clock's offset then.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock, self._metrics = clock, metrics
        self.alive_us = self._beat_us = clock.now_us()
        self.offset_us = self._beat_offset_us = clock.wall_offset_us()
        self.polled_us = self._beat_us  # when the loop last looked for what had come
        self._watcher = gevent.get_hub().loop.check()

    def start(self) -> None:
        gevent.spawn(self._run)
        self._watcher.start(self._polled)

    def _run(self) -> None:
        while True:
            gevent.sleep(PERIOD_US / US_PER_S)
            self.beat()

    def _polled(self) -> None:
        self.polled_us = self._clock.now_us()

    @property
    def late(self) -> bool:
        """Did the loop stand still just now, so that what is read next may have waited for long?"""
        return self._clock.now_us() - self.alive_us > 2 * PERIOD_US + STANDSTILL_US

    @property
    def starved(self) -> bool:
        """Has the loop not looked for a while because greenlets kept it from it?"""
        return self._clock.now_us() - self.polled_us > STARVED_US

    def catch_up(self) -> None:
        """Wait until all that had come by now was read, if the loop has not looked for a while: no request
        may be sent on while its client's cancel lies here unread."""
        if self._clock.now_us() - self.polled_us > STALE_US:
            for _ in range(POLLS):
                gevent.sleep(0)

    def beat(self) -> None:
        """The loop runs: say so if it stood still, or if the wall clock was stepped."""
        now_us = self._clock.now_us()
        late_us = now_us - self._beat_us - PERIOD_US
        if late_us > STANDSTILL_US:
            self._metrics.standstills.observe(late_us / US_PER_S)
            log.event("standstill", "the event loop stood still", ms=late_us // 1000)
        self.alive_us, self._beat_us = self._beat_us, now_us
        self.offset_us, offset_us = self._beat_offset_us, self._clock.wall_offset_us()
        if abs(offset_us - self._beat_offset_us) > DRIFT_US:  # else stamps of one turn keep their order
            self._beat_offset_us = offset_us
        step_us = self._clock.take_step_us()
        if step_us:
            self._metrics.clock_steps.add("forward" if step_us > 0 else "back")
            log.event("clock", "the wall clock was stepped", by_s=round(step_us / US_PER_S, 3))
