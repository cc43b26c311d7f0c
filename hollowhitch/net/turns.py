"""Turns of greenlets that read one peer for as long as that sends something."""

from __future__ import annotations

import time

import gevent

from hollowhitch.net.cooperation import yield_to_loop

TURN_S = 0.002  # seconds for which a peer is read before everything else has its turn


class Turn:
    """What one reader has used of an iteration of the event loop.

    A read of a gevent socket switches to other greenlets only if nothing has arrived. So a peer that sends
    faster than its reader works would keep everything else from running.
    """

    def __init__(self) -> None:
        self._loop = gevent.get_hub().loop
        self._iteration = -1
        self._began_at_s = time.monotonic()

    def began(self) -> None:
        """Note that something was read: in a new iteration of the event loop, that begins a new turn."""
        if self._iteration != self._loop.iteration:
            self._iteration = self._loop.iteration
            self._began_at_s = time.monotonic()

    def yield_if_over(self) -> None:
        """Let everything else run before the reader goes on, if its turn is over."""
        if time.monotonic() - self._began_at_s >= TURN_S:
            yield_to_loop()
