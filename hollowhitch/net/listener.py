"""Listening socket that goes on accepting connections after any failure to accept one."""

from __future__ import annotations

import socket as native_socket
import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.peer_state import has_peer_gone
from hollowhitch.net.receive_times import AcceptWait, enable_receive_timestamps
from hollowhitch.net.system_call_errors import ErrorOrigin, SystemCall, record_failure
from hollowhitch.net.turns import Turn

# Connections that the kernel holds until they are accepted, if it allows so many. Those that find its queue
# full wait until their first data is sent again.
BACKLOG = 4096
# Bounds of the delay after a failure that may last, in seconds. It doubles with each consecutive failure.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.001, 0.01
START_RETRY_S = 5.0  # seconds for which listening is retried while this machine lacks a resource
# Seconds between looks for a place while there is none, and for how long connections wait for one. A client
# sends again what crosses the close of its connection within 50 ms.
ROOM_RETRY_S, MAX_ROOM_WAIT_S = 0.002, 0.04


class Listener:
    """A listening socket that calls `admit` for each connection.

    `admit` receives the socket, and since when the connection may have waited to be accepted. It must not
    block. What it returns, unless that is None, is run in a new greenlet. `address` is the bound address
    once `start` has returned.

    While `has_room` returns False, connections wait, but none because of that for longer than
    MAX_ROOM_WAIT_S. With `drops_closed`, connections that their peers have closed meanwhile are closed at
    once: nobody waits for answers on them, and they would take the places of others.
    """

    def __init__(
        self,
        address: Address,
        admit: Callable[[socket.socket, AcceptWait], Callable[[], None] | None],
        metrics: Metrics,
        clock: Clock,
        has_room: Callable[[], bool] = lambda: True,
        drops_closed: bool = False,
    ) -> None:
        self._has_room, self._drops_closed = has_room, drops_closed
        # When the kernel's queue was last known to be empty. Those in it have not waited for longer.
        self._empty_at_s = time.monotonic()
        self._bind_address, self._admit, self._metrics, self._clock = address, admit, metrics, clock
        # Times here are given with the wall clock's offset at that time.
        self._failing_since: tuple[int, int] | None = None
        # When the last connections were accepted. None of those in the kernel's queue has waited for longer
        # than since the first of these times, because the queue holds no more than BACKLOG.
        self._accepted_at: deque[tuple[int, int]] = deque([self._now()], maxlen=BACKLOG + 1)
        self._sock: socket.socket | None = None
        self._unserved: socket.socket | None = None  # a connection that was accepted and waits for a place
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
                client = self._accept(sock)
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
            if client is not None:
                self._unserved = client
                self._wait_for_room(client)
                self._serve_last()
            turn.yield_if_over()

    def _accept(self, sock: socket.socket) -> socket.socket | None:
        """Accept a connection; return None if its peer has gone. Raise OSError as `accept` does."""
        # An object of the socket module costs less than one of gevent, and may be all that is needed.
        listener = native_socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
        try:
            client, _ = listener.accept()
        finally:
            listener.detach()  # the descriptor belongs to `sock`
        if self._drops_closed and has_peer_gone(client):
            self._metrics.abandoned_connections.add("before accept")
            self._accepted_at.append(self._now())
            client.close()
            return None
        return socket.socket(client.family, client.type, client.proto, fileno=client.detach())

    def _wait_for_room(self, client: socket.socket) -> None:
        """Wait for a place for a connection, unless it is closed or may have waited for too long."""
        while not self._has_room() and not (self._drops_closed and has_peer_gone(client)):
            if time.monotonic() - self._empty_at_s >= MAX_ROOM_WAIT_S:
                return
            gevent.sleep(ROOM_RETRY_S)

    def _serve_last(self) -> None:
        """Serve the connection that was accepted last, unless that is done."""
        client, self._unserved = self._unserved, None
        if client is not None:
            self._serve(client)

    def _queue_is_empty(self) -> None:
        """Note that connections that are accepted from now on have only just arrived."""
        self._empty_at_s = time.monotonic()
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
        self._serve_last()  # it may have waited for a place
        try:
            while True:
                client = self._accept(sock)
                if client is not None:
                    self._serve(client)
        except OSError:  # no connection is waiting, or accepting it failed
            pass
        sock.close()
        log.event("listener", "listening socket closed")
