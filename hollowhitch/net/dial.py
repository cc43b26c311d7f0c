"""Connecting to a numeric address."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.system_call_errors import ErrorOrigin, SystemCall, record_failure

# Bounds of the delay before the next try after a failure that the peer did not cause, in seconds. The delay
# doubles with each failure.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.005, 0.04


class DialError(OSError):
    """No connection was established in time. `origin` tells which side caused the last failure."""

    def __init__(self, cause: OSError, origin: ErrorOrigin) -> None:
        super().__init__(cause.errno, str(cause))
        self.origin = origin


def dial(address: Address, timeout_s: float, metrics: Metrics) -> socket.socket:
    """Connect to `address` within `timeout_s` seconds, and return the socket, whose timeout is still set.

    Raise DialError at the first failure that the peer caused, or if no connection is established in time.
    Other failures are retried.
    """
    deadline_s = time.monotonic() + timeout_s
    backoff_s = MIN_BACKOFF_S
    while True:
        try:
            return _connect(address, max(deadline_s - time.monotonic(), 0.001))
        except OSError as e:
            origin = record_failure(metrics, SystemCall.CONNECT, e, address=f"{address[0]}:{address[1]}")
            if origin is ErrorOrigin.REMOTE or time.monotonic() + backoff_s >= deadline_s:
                raise DialError(e, origin) from e
        gevent.sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _connect(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket.

    `create_connection` is not used, because it passes even a numeric address to a resolver thread: the first
    call took 25 ms with it, and 0.4 ms without it. Addresses here are never host names.
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
