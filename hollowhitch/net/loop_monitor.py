"""Monitor of the event loop and the wall clock: when the loop ran last, and steps of the clock."""

from __future__ import annotations

import gevent

from hollowhitch import log
from hollowhitch.clock import US_PER_S, Clock
from hollowhitch.metrics import Metrics
from hollowhitch.net.cooperation import yield_to_loop

PERIOD_US = 50_000  # interval of the updates, in microseconds
# Change of the offset between the wall clock and the monotonic clock, in microseconds, up to which the last
# measured offset stays in use.
MAX_OFFSET_DRIFT_US = 500
STALE_POLL_US = 50_000  # microseconds since the last poll after which a send waits for another poll
CATCH_UP_ITERATIONS = 2  # loop iterations after which the loop has polled and the readers have run
# Delay of an update, in microseconds, above which the loop counts as stalled and the stall is logged.
MAX_UPDATE_DELAY_US = 40_000


class LoopMonitor:
    """Monitor that is updated every 50 ms while the event loop runs.

    `loop_ran_at_us` is a time at which the loop ran. Bytes that are unread now arrived after that, except on
    a connection whose reader paused. `clock_offset_us` is the wall clock's offset at that time.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock, self._metrics = clock, metrics
        self.loop_ran_at_us = self._updated_at_us = clock.now_us()
        self.clock_offset_us = self._last_offset_us = clock.wall_offset_us()
        self.polled_at_us = self._updated_at_us  # when the loop last polled for I/O
        self._busy_us = 0  # time between the last two polls
        loop = gevent.get_hub().loop
        self._watcher, self._poll_watcher = loop.check(), loop.prepare()

    def start(self) -> None:
        """Start the updates, which do not end."""
        gevent.spawn(self._run)
        self._watcher.start(self._on_poll)
        self._poll_watcher.start(self._before_poll)

    def _run(self) -> None:
        while True:
            gevent.sleep(PERIOD_US / US_PER_S)
            self.update()

    def _on_poll(self) -> None:
        self.polled_at_us = self._clock.now_us()

    def _before_poll(self) -> None:
        self._busy_us = self._clock.now_us() - self.polled_at_us

    @property
    def unpolled_time_us(self) -> int:
        """For how long what the last poll reported may have waited before.

        While the loop waits in a poll nothing waits, unless the process was stopped meanwhile.
        """
        if self.stalled:
            return self._clock.now_us() - self.loop_ran_at_us
        return self._busy_us

    @property
    def stalled(self) -> bool:
        """Whether the loop was stalled just now, so that bytes read next may have waited for long."""
        return self._clock.now_us() - self.loop_ran_at_us > 2 * PERIOD_US + MAX_UPDATE_DELAY_US

    @property
    def poll_is_stale(self) -> bool:
        """Whether the last poll is so old that much may have arrived since then."""
        return self._clock.now_us() - self.polled_at_us > STALE_POLL_US

    def catch_up(self) -> None:
        """Wait until all bytes received so far are read, if the last poll is stale.

        Otherwise a request could be sent to an engine while its client's cancellation is still unread.
        """
        if self.poll_is_stale:
            for _ in range(CATCH_UP_ITERATIONS):
                yield_to_loop()

    def update(self) -> None:
        """Record that the loop runs, and report a stall of the loop or a step of the wall clock."""
        now_us = self._clock.now_us()
        delay_us = now_us - self._updated_at_us - PERIOD_US
        if delay_us > MAX_UPDATE_DELAY_US:
            self._metrics.loop_stalls.observe(delay_us / US_PER_S)
            log.event("standstill", "the event loop was stalled", ms=delay_us // 1000)
        self.loop_ran_at_us, self._updated_at_us = self._updated_at_us, now_us
        self.clock_offset_us, offset_us = self._last_offset_us, self._clock.wall_offset_us()
        # Smaller differences are ignored, so that timestamps taken in one loop iteration keep their order.
        if abs(offset_us - self._last_offset_us) > MAX_OFFSET_DRIFT_US:
            self._last_offset_us = offset_us
        step_us = self._clock.detect_step_us()
        if step_us:
            self._metrics.clock_steps.add("forward" if step_us > 0 else "back")
            log.event("clock", "the wall clock was stepped", by_s=round(step_us / US_PER_S, 3))
