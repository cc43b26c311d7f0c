"""Yielding to the event loop."""

from __future__ import annotations

import gevent
from gevent import socket

from hollowhitch.net.cooperation import yield_to_loop


# Guards against busy greenlets that yield to each other, while nothing is read and no timer fires.
def test_the_loop_polls_and_fires_timers_whenever_a_greenlet_yields():
    received, fired = [], []
    sender, receiver = socket.socketpair()
    reader = gevent.spawn(lambda: received.append(receiver.recv(1)))
    gevent.spawn_later(0.0, fired.append, True)
    yield_to_loop()
    sender.send(b"x")
    for _ in range(3):
        yield_to_loop()
    assert received == [b"x"] and fired == [True]
    reader.kill()
