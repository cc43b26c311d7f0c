"""The clients' side as a whole: who is let in, what is taken, and how it all ends."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.config import Config
from hollowhitch.gateway import Gateway, Refused
from hollowhitch.net.arrivals import Arrivals
from hollowhitch.net.clients import ClientConnection, CloseReason
from hollowhitch.net.heartbeat import Heartbeat
from hollowhitch.net.listener import Listener
from hollowhitch.protocol import frames

SWEEP_S = 0.25  # between looks at who is past its time
EVICTED = 8  # connections closed at once to make room: whoever is there too many seldom comes alone


class Front:
    """The listener and all its connections."""

    def __init__(self, config: Config, gateway: Gateway, heartbeat: Heartbeat) -> None:
        self.config, self.gateway, self.heartbeat = config, gateway, heartbeat
        self.arrivals = Arrivals()
        self.terms = frames.Terms(config.settings)
        self.refs: set[str] = set()  # of the requests that are open
        self.connections: set[ClientConnection] = set()
        self.held = 0  # bytes of the statements that are open
        self.draining = False  # asked to end: not ready, and clients are told so
        self.refusing = False  # takes no new request
        self._listener = Listener(config.listen, self._serve, gateway.metrics, gateway.clock)

    def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        self._listener.start()
        gevent.spawn(self._sweep_forever)

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.address

    def _serve(self, sock: socket.socket, waited_since_us: int | None) -> None:
        if not self._make_room():
            self.gateway.metrics.client_closes.add(CloseReason.NO_PLACE.value)
            sock.close()
            return
        connection = ClientConnection(self, sock, waited_since_us)
        self.connections.add(connection)
        if self.draining:
            connection.warn()
        connection.run()

    def _sweep_forever(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            now = time.monotonic()
            for connection in list(self.connections):
                if reason := connection.overdue(now):
                    connection.end_overdue(reason)

    def _make_room(self) -> bool:
        """Guards the usual clients against those that come by the hundred or keep what they do not use.
        Letting them wait in the kernel's queue would be worse: what they send there counts as taken by us."""
        if len(self.connections) < self.config.clients_most:
            return True
        now = time.monotonic()
        ranked = [(rank, c.moved, id(c), c) for c in self.connections if (rank := c.rank(now)) is not None]
        free = EVICTED
        for rank, _, _, connection in sorted(ranked):
            if rank != 0 and (connection.pending() or len(connection.protocol.buffer)):
                continue
            connection.hang_up(CloseReason.NO_PLACE)
            free -= 1
            if not free or rank == 3:
                break
        return len(self.connections) < self.config.clients_most

    # What is taken

    def ready(self) -> bool:
        return not self.draining and any(self.gateway.controller.open_for)

    def turns_away(self, size: int) -> str:
        """Why a request of this size (bytes) can't be taken now; empty if it can."""
        if self.refusing:
            return "shutdown"
        return "crowded" if self.crowded(size) else ""

    def crowded(self, more: int) -> bool:
        """Guards the memory limit, and the module's own limit on open queries."""
        return self.gateway.unanswered >= self.config.open_most or not self.room_for(more)

    def room_for(self, size: int) -> bool:
        """Can so many bytes more be held for clients?"""
        held = sum(c.outbox.size + len(c.protocol.buffer.data) for c in self.connections)
        return self.held + held + size <= self.config.held_most

    def turned_away(self, reason: str) -> Refused:
        """The refusal of a request that was not taken."""
        self.gateway.metrics.endings.add(reason)
        log.event("refused", "not taken", reason=reason)
        return Refused(self.gateway.settings.limits.retry_after_us or 0)

    # The end

    def drain(self) -> None:
        """Ask all clients to send nothing new here; serve on."""
        self.draining = True
        for connection in list(self.connections):
            connection.warn()

    def stop_accepting(self) -> None:
        """Take no connection and no request any more; end each connection once nothing is open on it."""
        self._listener.close()
        self.refusing = True
        gevent.sleep(0)  # what was accepted last is served from now on
        for connection in list(self.connections):
            connection.warn()
            connection.end(CloseReason.SHUTDOWN)

    def close_all(self) -> None:
        """Close what is still there."""
        for connection in list(self.connections):
            connection.close()
