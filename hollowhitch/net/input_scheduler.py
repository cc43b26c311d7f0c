"""Shares of the process's time for client input: reading it, and starting the requests in it.

One greenlet does this work in passes. In each pass the connections with unread input take turns until the
share for reading is used up, then requests are started until the share for starting is. After each pass the
event loop polls, and everything else runs: engines' answers, timers, the channel, operators. So neither one
client nor all of them together can keep the process from the rest of its work.
"""

from __future__ import annotations

from typing import Protocol

import gevent
from gevent.event import Event

from hollowhitch import log
from hollowhitch.clock import US_PER_S, Clock
from hollowhitch.metrics import Metrics
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.fair_queue import FairQueue
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.request_queue import RequestQueue

# Microseconds of each pass for reading and for starting requests.
READ_SHARE_US, START_SHARE_US = 5_000, 5_000
# Microseconds of one connection's turn, and the largest debt that counts.
QUANTUM_US, MAX_DEBT_US = 500, 4_000


class InputReader(Protocol):
    """Reader of one connection's input."""

    def take_turn(self, duration_us: int) -> None:
        """Read and handle input for about that time.

        The reader calls `InputScheduler.nothing_to_read` once it has no more input. It must not block.
        """


class InputScheduler:
    """Gives turns to the connections whose input is unread, and starts their requests."""

    def __init__(self, clock: Clock, loop_monitor: LoopMonitor, metrics: Metrics) -> None:
        self._clock, self._loop_monitor, self._metrics = clock, loop_monitor, metrics
        self._readers: FairQueue[InputReader] = FairQueue(QUANTUM_US, MAX_DEBT_US)
        self._work = Event()
        self.requests = RequestQueue(clock, self._work.set)

    def start(self) -> None:
        """Start the passes, which do not end."""
        gevent.spawn(self._run)

    def has_input(self, reader: InputReader) -> None:
        """Let a reader take turns until `nothing_to_read`."""
        self._readers.add(reader)
        self._work.set()

    def nothing_to_read(self, reader: InputReader) -> None:
        """Give no more turns to a reader, until `has_input`."""
        self._readers.remove(reader)

    def _run(self) -> None:
        while True:
            self._work.wait()
            self._work.clear()
            while self._readers or self.requests.has_work():
                self._run_pass()
                if self._readers or self.requests.has_work():
                    yield_to_loop()

    def _run_pass(self) -> None:
        began_at_us = self._clock.now_us()
        try:
            self._read(began_at_us)
            read_until_us = self._clock.now_us()
            # Without a recent poll, a client's cancellation may be unread although all known input is read.
            if not self._loop_monitor.poll_is_stale:
                self.requests.run(START_SHARE_US)
        except Exception as e:  # a bug in the proxy must not end the work for all clients
            log.event("fault", "a pass over client input failed", error=repr(e))
            return
        self._metrics.add_pass(
            (read_until_us - began_at_us) / US_PER_S, (self._clock.now_us() - read_until_us) / US_PER_S
        )

    def _read(self, now_us: int) -> None:
        ends_at_us = now_us + READ_SHARE_US
        while now_us < ends_at_us and (reader := self._readers.next()) is not None:
            now_us = self._give_turn(reader, self._readers.credit(reader), now_us)

    def read_now(self, reader: InputReader) -> None:
        """Give a reader a turn before the others, which counts as its next one."""
        self._give_turn(reader, QUANTUM_US, self._clock.now_us())

    def _give_turn(self, reader: InputReader, duration_us: int, began_at_us: int) -> int:
        """Give a turn, charge it, and return when it ended."""
        reader.take_turn(duration_us)
        now_us = self._clock.now_us()
        # A turn that costs nothing must not be given again without end.
        self._readers.charge(reader, max(now_us - began_at_us, 1))
        return now_us
