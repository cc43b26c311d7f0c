"""Yielding of a greenlet to the event loop."""

from __future__ import annotations

import gevent


def yield_to_loop() -> None:
    """Let the event loop poll for I/O and timers, and other greenlets run, before the caller goes on.

    `gevent.sleep(0)` only lets greenlets run that are ready already, up to 50 times before the loop polls.
    """
    hub = gevent.get_hub()
    with hub.loop.timer(0.0) as timer:
        hub.wait(timer)
