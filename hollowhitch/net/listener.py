"""Listening socket that goes on accepting connections after any failure to accept one."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.receive_times import enable_receive_timestamps
from hollowhitch.net.system_call_errors import ErrorOrigin, SystemCall, record_failure

BACKLOG = 512  # connections that the kernel holds until they are accepted
# Bounds of the delay after a failure that may last, in seconds. It doubles with each consecutive failure.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.001, 0.01
START_RETRY_S = 5.0  # seconds for which listening is retried while this machine lacks a resource
ACCEPTS_PER_YIELD = 8  # connections accepted before other greenlets run


class Listener:
    """A listening socket that calls `admit` for each connection.

    `admit` receives the socket, and the earliest time from which the connection may have waited to be
    accepted (microseconds on the proxy's clock), or None if it was accepted as soon as it arrived. It must
    not block. What it returns, unless that is None, is run in a new greenlet. `address` is the bound address
    once `start` has returned.
    """

    def __init__(
        self,
        address: Address,
        admit: Callable[[socket.socket, int | None], Callable[[], None] | None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._bind_address, self._admit, self._metrics, self._clock = address, admit, metrics, clock
        self._failing_since_us: int | None = None
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
        backoff_s, accepted_count = MIN_BACKOFF_S, 0
        while self._sock is sock:
            try:
                client, _ = sock.accept()
            except BlockingIOError:  # no connection is waiting
                self._failing_since_us = None
                gevent.socket.wait_read(sock.fileno())
                continue
            except OSError as e:
                if self._sock is not sock:
                    return
                self._failing_since_us = self._failing_since_us or self._clock.now_us()
                if record_failure(self._metrics, SystemCall.ACCEPT, e) is not ErrorOrigin.REMOTE:
                    gevent.sleep(backoff_s)
                    backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = MIN_BACKOFF_S
            self._serve(client)
            accepted_count += 1
            if accepted_count % ACCEPTS_PER_YIELD == 0:
                yield_to_loop()

    def _serve(self, client: socket.socket) -> None:
        serve = self._admit(client, self._failing_since_us)
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
