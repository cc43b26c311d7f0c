"""Connects to an address given in figures."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.failures import Blame, Call, record

RETRY_S, RETRY_MOST_S = 0.005, 0.04  # pause after a failure that is not the peer's; doubles


class DialError(OSError):
    """No connection came up in time; `blame` says why."""

    def __init__(self, cause: OSError, blame: Blame) -> None:
        super().__init__(cause.errno, str(cause))
        self.blame = blame


def dial(address: Address, timeout_s: float, metrics: Metrics) -> socket.socket:
    """A connected socket that keeps the timeout (seconds); DialError if there is none in time.

    What fails on this machine for a moment is tried again within that time.
    """
    until = time.monotonic() + timeout_s
    pause = RETRY_S
    while True:
        try:
            return _connect(address, max(until - time.monotonic(), 0.001))
        except OSError as e:
            found = record(metrics, Call.CONNECT, e, address=f"{address[0]}:{address[1]}")
            if found is Blame.THEIRS or time.monotonic() + pause >= until:
                raise DialError(e, found) from e
        gevent.sleep(pause)
        pause = min(2 * pause, RETRY_MOST_S)


def _connect(address: Address, timeout_s: float) -> socket.socket:
    """Not `create_connection`: that asks a resolver thread even for an address in figures, 25 ms at the first
    call (0.4 ms without), and there are no names to resolve here.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock
