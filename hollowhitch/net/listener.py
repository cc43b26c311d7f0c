"""Listening socket that goes on accepting connections after any failure to accept one."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.receive_times import AcceptWait, enable_receive_timestamps
from hollowhitch.net.system_call_errors import ErrorOrigin, SystemCall, record_failure
from hollowhitch.net.turns import Turn

BACKLOG = 512  # connections that the kernel holds until they are accepted
# Bounds of the delay after a failure that may last, in seconds. It doubles with each consecutive failure.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.001, 0.01
START_RETRY_S = 5.0  # seconds for which listening is retried while this machine lacks a resource


class Listener:
    """A listening socket that calls `admit` for each connection.

    `admit` receives the socket, and since when the connection may have waited to be accepted. It must not
    block. What it returns, unless that is None, is run in a new greenlet. `address` is the bound address
    once `start` has returned.
    """

    def __init__(
        self,
        address: Address,
        admit: Callable[[socket.socket, AcceptWait], Callable[[], None] | None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._bind_address, self._admit, self._metrics, self._clock = address, admit, metrics, clock
        # Times here are given with the wall clock's offset at that time.
        self._failing_since: tuple[int, int] | None = None
        # When the last connections were accepted. None of those in the kernel's queue has waited for longer
        # than since the first of these times, because the queue holds no more than BACKLOG.
        self._accepted_at: deque[tuple[int, int]] = deque([self._now()], maxlen=BACKLOG + 1)
        self._sock: socket.socket | None = None
        self._acceptor: gevent.Greenlet | None = None
        self.address = address

    def start(self) -> None:
        """Bind, listen, and accept connections in a new greenlet.

        Transient failures are retried, which may block for START_RETRY_S. Raise OSError if the address cannot
        be bound.
        """
        deadline_s = time.monotonic() + START_RETRY_S
        while True:
            try:
                return self._start()
            except OSError as e:
                if (
                    record_failure(self._metrics, SystemCall.LISTEN, e) is not ErrorOrigin.LOCAL
                    or time.monotonic() > deadline_s
                ):
                    raise
            gevent.sleep(MAX_BACKOFF_S)

    def _start(self) -> None:
        sock = socket.socket(socket.AF_INET6 if ":" in self._bind_address[0] else socket.AF_INET)
        try:
            # Accepted sockets inherit this, so what they receive before the accept has timestamps too.
            enable_receive_timestamps(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self._bind_address)
            sock.listen(BACKLOG)
            sock.settimeout(0.0)
        except OSError:
            sock.close()
            raise
        self._sock, self.address = sock, sock.getsockname()[:2]
        self._acceptor = gevent.spawn(self._accept_forever, sock)

    def _accept_forever(self, sock: socket.socket) -> None:
        backoff_s, turn = MIN_BACKOFF_S, Turn()
        while self._sock is sock:
            try:
                client, _ = sock.accept()
            except BlockingIOError:  # no connection is waiting
                self._failing_since = None
                gevent.socket.wait_read(sock.fileno())
                self._queue_is_empty()
                continue
            except OSError as e:
                if self._sock is not sock:
                    return
                self._failing_since = self._failing_since or self._now()
                if record_failure(self._metrics, SystemCall.ACCEPT, e) is not ErrorOrigin.REMOTE:
                    gevent.sleep(backoff_s)
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = MIN_BACKOFF_S
            turn.began()
            self._serve(client)
            turn.yield_if_over()

    def _queue_is_empty(self) -> None:
        """Note that connections that are accepted from now on have only just arrived."""
        self._accepted_at.clear()
        self._accepted_at.append(self._now())

    def _now(self) -> tuple[int, int]:
        return self._clock.now_us(), self._clock.wall_offset_us()

    def _serve(self, client: socket.socket) -> None:
        is_failing = self._failing_since is not None
        since_us, offset_us = self._failing_since or self._accepted_at[0]
        waited = AcceptWait(since_us, offset_us, is_failing)
        self._accepted_at.append(self._now())
        serve = self._admit(client, waited)
        if serve is not None:
            gevent.spawn(serve)

    def close(self) -> None:
        """Accept the connections that are already waiting, then stop listening."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        if self._acceptor is not None:
            # The greenlet ends before the socket is closed, because the event loop must not watch a file
            # descriptor that may be reused.
            self._acceptor.kill()
        try:
            while True:
                client, _ = sock.accept()
                self._serve(client)
        except OSError:  # no connection is waiting, or accepting it failed
            pass
        sock.close()
        log.event("listener", "listening socket closed")
