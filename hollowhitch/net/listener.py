"""Accepts connections, and lives through every way in which accepting may fail."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.failures import Blame, Call, record

BACKLOG = 512
PAUSE_S, PAUSE_MOST_S = 0.002, 0.05  # after a failure that may last; doubles
TURN = 32  # connections accepted before others have a turn


class Listener:
    """A listening socket; `serve` runs in a greenlet of its own for each connection."""

    def __init__(self, address: Address, serve: Callable[[socket.socket], None], metrics: Metrics) -> None:
        self._wanted, self._serve, self._metrics = address, serve, metrics
        self._sock: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None
        self.address = address

    def start(self) -> None:
        """Bind and listen; OSError if the address can't be had."""
        sock = socket.socket(socket.AF_INET6 if ":" in self._wanted[0] else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._wanted)
            sock.listen(BACKLOG)
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
            except OSError as e:
                if self._sock is not sock:
                    return
                if record(self._metrics, Call.ACCEPT, e) is not Blame.THEIRS:
                    gevent.sleep(pause)
                    pause = min(2 * pause, PAUSE_MOST_S)
                continue
            pause = PAUSE_S
            gevent.spawn(self._serve, client)
            accepted += 1
            if accepted % TURN == 0:
                gevent.sleep(0)

    def close(self) -> None:
        """Take what already waits to be accepted, then listen no more."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self._acceptor is not None:
            self._acceptor.kill(block=False)
        sock.settimeout(0.0)
        try:
            while True:
                client, _ = sock.accept()
                gevent.spawn(self._serve, client)
        except OSError:  # none waits any more, or it can't be had
            pass
        sock.close()
        log.event("listener", "closed")
