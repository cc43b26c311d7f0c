"""The frontend: accepts client connections, decides which requests are accepted, and closes connections."""

from __future__ import annotations

import time

import gevent
from gevent import socket
from gevent.event import Event

from hollowhitch import log
from hollowhitch.audit import Audit, Rule
from hollowhitch.clock import US_PER_S
from hollowhitch.config import Config
from hollowhitch.gateway import Gateway, Refused
from hollowhitch.lifecycle import ConnectionStage, Lifecycle, State
from hollowhitch.net.client_activity import EvictionRank
from hollowhitch.net.client_connection import DISCARD_READ_BYTES, ClientConnection
from hollowhitch.net.connection_closing import CloseReason
from hollowhitch.net.input_scheduler import InputScheduler
from hollowhitch.net.listener import Listener
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.memory_budget import MemoryBudget
from hollowhitch.net.query_refs import QueryRefs
from hollowhitch.net.receive_times import AcceptWait
from hollowhitch.protocol import frames

SWEEP_INTERVAL_S = 0.25  # seconds between checks for connections that have timed out
ENFORCE_INTERVAL_S = 0.02  # seconds between applications of the lifecycle's decisions to the connections
# Number of connections closed at once at the connection limit. More than one is closed, because clients that
# hold too many connections usually open several at a time.
EVICTION_BATCH = 8


class Frontend:
    """The listener for clients, and all client connections."""

    def __init__(
        self, config: Config, gateway: Gateway, loop_monitor: LoopMonitor, lifecycle: Lifecycle, audit: Audit
    ) -> None:
        self.config, self.gateway, self.loop_monitor = config, gateway, loop_monitor
        self.lifecycle, self.audit = lifecycle, audit
        self.scheduler = InputScheduler(gateway.clock, loop_monitor, gateway.metrics)
        self.request_validator = frames.RequestValidator(config.settings)
        self.refs = QueryRefs(_ref_retention_s(config), config.recent_refs_most)
        self.connections: set[ClientConnection] = set()
        self.memory = MemoryBudget(config.held_most)
        self.discarded_input = bytearray(DISCARD_READ_BYTES)
        self._leave_requested = Event()  # set while the lifecycle asks clients to leave
        self._all_closed = Event()  # set while there is no connection
        self._all_closed.set()
        self._listener = Listener(
            config.listen, self._admit, gateway.metrics, gateway.clock, self._make_room, drops_closed=True
        )

    def start(self) -> None:
        """Listen, and start the greenlets that close connections. Raise OSError as `Listener.start` does."""
        self._listener.start()
        self.scheduler.start()
        gevent.spawn(self._sweep_forever)
        gevent.spawn(self._enforce_forever)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port; after `start`, those that are bound."""
        return self._listener.address

    def _admit(self, sock: socket.socket, accept_wait: AcceptWait) -> None:
        if not self._make_room():
            self.gateway.metrics.client_closes.add(CloseReason.CONNECTION_LIMIT.value)
            sock.close()
            return
        connection = ClientConnection(self, sock, accept_wait)
        self.connections.add(connection)
        self._all_closed.clear()
        if self.lifecycle.asks_clients_to_leave:
            connection.send_closing()
        connection.start()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        if not self.connections:
            self._all_closed.set()

    def wait_until_all_closed(self, timeout_s: float) -> None:
        """Block until there is no client connection, but at most for `timeout_s`."""
        self._all_closed.wait(max(timeout_s, 0.0))

    def _sweep_forever(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for connection in list(self.connections):
                connection.enforce_timeouts(now_s)

    def _make_room(self) -> bool:
        """Return whether one more connection is allowed, after closing some if the limit is reached.

        The limit protects other clients from those that open hundreds of connections or keep unused ones.
        Leaving new connections in the kernel's queue would be worse, because requests sent on them count as
        accepted.
        """
        if len(self.connections) < self.config.clients_most:
            return True
        for connection in list(self.connections):
            connection.close_if_client_left()
        if len(self.connections) < self.config.clients_most:
            return True
        now_s = time.monotonic()
        ranked = [
            (rank, c.client.last_active_at_s, id(c), c)
            for c in self.connections
            if (rank := c.eviction_rank(now_s)) is not None
        ]
        remaining_count = EVICTION_BATCH
        for rank, _, _, connection in sorted(ranked):
            connection.evict()
            remaining_count -= 1
            if (
                not remaining_count or rank is EvictionRank.NEW
            ):  # at most one new connection is closed at a time
                break
        return len(self.connections) < self.config.clients_most

    # Which requests are accepted

    def ready(self) -> bool:
        """Return whether this process is ready to serve and has an engine."""
        return self.lifecycle.is_ready and any(self.gateway.controller.engines_for_class)

    def rejection_reason(self) -> str:
        """Return why a request cannot be accepted now, apart from its memory; empty if it can."""
        if lifecycle_reason := self.lifecycle.refusal_reason(time.monotonic()):
            return lifecycle_reason.value
        return "crowded" if self.gateway.unanswered_count >= self.config.open_most else ""

    def reject(self, reason: str) -> Refused:
        """Record that a request was not accepted, and return its answer."""
        self.gateway.metrics.unserved.add(reason)
        log.event("refused", "request not accepted", reason=reason)
        return Refused(self.gateway.settings.limits.retry_after_us or 0)

    # Draining and stopping

    def on_lifecycle_change(self) -> None:
        """Ask all clients to send no new requests here, or stop asking them, as the lifecycle says.

        While clients are asked to leave, the lifecycle's decisions are applied to all connections every
        ENFORCE_INTERVAL_S.
        """
        if self.lifecycle.asks_clients_to_leave:
            for connection in list(self.connections):
                connection.send_closing()
            self._leave_requested.set()
            return
        self._leave_requested.clear()
        for connection in list(self.connections):
            connection.reset_closing()
            connection.apply_stage(ConnectionStage.SERVE, CloseReason.DRAIN)

    def _enforce_forever(self) -> None:
        while True:
            self._leave_requested.wait()
            self.enforce_lifecycle()
            gevent.sleep(ENFORCE_INTERVAL_S)

    def enforce_lifecycle(self) -> None:
        """Apply the lifecycle's decision to each connection, and record violations of the drain limit."""
        now_s, violation_count = time.monotonic(), 0
        for connection in list(self.connections):
            try:
                violation_count += self._enforce_on(connection, now_s)
            except Exception as e:  # a failure at one connection must not delay the others
                log.event("fault", "closing a client connection failed", error=repr(e))
        if violation_count:
            self.audit.record_violation(Rule.HELD_WHILE_DRAINED, connections=violation_count)

    def _enforce_on(self, connection: ClientConnection, now_s: float) -> bool:
        """Apply the lifecycle's decision to one connection; return whether it violated the drain limit."""
        activity = connection.activity
        violates_limit = self.lifecycle.violates_drain_limit(activity, now_s)
        is_draining = self.lifecycle.state is State.DRAINING
        reason = CloseReason.DRAIN if is_draining else CloseReason.SHUTDOWN
        connection.apply_stage(self.lifecycle.connection_stage(activity, now_s), reason)
        return violates_limit

    def stop_accepting(self) -> None:
        """Accept the connections that are already waiting, and no more."""
        self._listener.close()

    def close_all_connections(self) -> None:
        """Close all client connections now, with or without open requests."""
        for connection in list(self.connections):
            connection.disconnect(CloseReason.SHUTDOWN)


def _ref_retention_s(config: Config) -> float:
    """Return for how long a ref may matter: while its client may wait, and while engines drop its repeats."""
    classes = config.settings.classes
    return max(c.deadline_us * frames.MAX_ALLOW_FACTOR + c.dedup_window_us for c in classes) / US_PER_S
