"""Accepts connections, and lives through every way in which accepting may fail."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.arrivals import want_times
from hollowhitch.net.failures import Blame, Call, record

BACKLOG = 512
PAUSE_S, PAUSE_MOST_S = 0.001, 0.01  # after a failure that may last; doubles
START_S = 5.0  # for failures here to pass at the start
TURN = 32  # connections accepted before others have a turn


class Listener:
    """A listening socket; `serve` runs in a greenlet of its own for each connection.

    It is given the socket, and since when the connection may have waited to be accepted (microseconds on the
    clock): None where it was accepted as soon as it came.
    """

    def __init__(
        self,
        address: Address,
        serve: Callable[[socket.socket, int | None], None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._wanted, self._serve, self._metrics, self._clock = address, serve, metrics, clock
        self._failing_since_us: int | None = None
        self._sock: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None
        self.address = address

    def start(self) -> None:
        """Bind and listen; OSError if the address can't be had. What fails for a moment is tried again."""
        until = time.monotonic() + START_S
        while True:
            try:
                return self._start()
            except OSError as e:
                if record(self._metrics, Call.LISTEN, e) is not Blame.OURS or time.monotonic() > until:
                    raise
            gevent.sleep(PAUSE_MOST_S)

    def _start(self) -> None:
        sock = socket.socket(socket.AF_INET6 if ":" in self._wanted[0] else socket.AF_INET)
        try:
            want_times(sock)  # for what comes before a connection is accepted
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._wanted)
            sock.listen(BACKLOG)
            sock.settimeout(0.0)
        except OSError:
            sock.close()
            raise
        self._sock, self.address = sock, sock.getsockname()[:2]
        self._acceptor = gevent.spawn(self._accept_forever, sock)

    def _accept_forever(self, sock: socket.socket) -> None:
        pause, accepted = PAUSE_S, 0
        while self._sock is sock:
            try:
                client, _ = sock.accept()
            except BlockingIOError:  # none waits
                self._failing_since_us = None
                gevent.socket.wait_read(sock.fileno())
                continue
            except OSError as e:
                if self._sock is not sock:
                    return
                self._failing_since_us = self._failing_since_us or self._clock.now_us()
                if record(self._metrics, Call.ACCEPT, e) is not Blame.THEIRS:
                    gevent.sleep(pause)
                    pause = min(2 * pause, PAUSE_MOST_S)
                continue
            pause = PAUSE_S
            gevent.spawn(self._serve, client, self._failing_since_us)
            accepted += 1
            if accepted % TURN == 0:
                gevent.sleep(0)

    def close(self) -> None:
        """Take what already waits to be accepted, then listen no more."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self._acceptor is not None:
            self._acceptor.kill()  # before the close: the loop must not watch a descriptor that is used again
        try:
            while True:
                client, _ = sock.accept()
                gevent.spawn(self._serve, client, self._failing_since_us)
        except OSError:  # none waits any more, or it can't be had
            pass
        sock.close()
        log.event("listener", "closed")
