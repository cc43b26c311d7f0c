"""Yielding of a greenlet to the event loop."""

from __future__ import annotations

import gevent

# Any time above 0: a sleep of 0 s only lets other greenlets run that are ready already, up to 50 times before
# the loop polls for I/O and timers again.
YIELD_S = 1e-9


def yield_to_loop() -> None:
    """Let the event loop poll for I/O and timers, and other greenlets run, before the caller goes on."""
    gevent.sleep(YIELD_S)
