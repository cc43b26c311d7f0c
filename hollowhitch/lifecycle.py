"""The process lifecycle, the one place that decides what may be accepted, sent, kept open and closed.

States: starting, serving, draining (requested by an operator, who can undo it), stopping (requested by a
signal, which cannot be undone) and stopped. Events come in, decisions go out; this module does no I/O. All
times are seconds on the monotonic clock, passed in by the caller.

The limits for draining come from the operators' documentation: the platform opens no new connections from
0.2 s after a readiness check was answered with no; 4 s after the order to drain, the process may keep no
connection that is idle or has had a request in the last 2 s. The limits for stopping come from
`shutdown.plan_shutdown`.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

from hollowhitch.shutdown import ShutdownPlan

# Seconds after the order to drain by which all idle and all busy connections have to be closed.
DRAIN_LIMIT_S = 4.0
# A connection is busy while its last request is at most this many seconds old.
RECENT_REQUEST_S = 2.0
# Margin in seconds that the process adds to `RECENT_REQUEST_S` in its own decisions.
RECENT_REQUEST_MARGIN_S = 0.2
# Seconds after the order to drain from which idle connections are closed. If they were closed before the
# platform notices the drain, it would open them again.
CLOSE_IDLE_AFTER_S = 0.5
# Seconds after the order to drain from which busy connections get all their final answers and are closed.
ANSWER_BUSY_AFTER_S = 3.2
# Seconds after the order to drain from which connections without open requests are closed at once, unless
# their last answer may still be on its way (see `FLUSH_S`).
CLOSE_AT_ONCE_AFTER_S = 3.5
# Seconds that the last answer on a connection gets to be sent before the connection is closed. Near the drain
# limit, `CLOSE_FLUSHING_AFTER_S` shortens this time, so that connections are closed before the limit.
FLUSH_S = 0.3
# Seconds after the order to drain from which connections are closed even if their last answer is recent,
# unless it was given less than half of `FLUSH_S` before this time, or later.
CLOSE_FLUSHING_AFTER_S = 3.8
# Seconds that the first frame of a new connection may take to arrive.
NEW_CONNECTION_S = 0.3


class State(enum.Enum):
    """States of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Event(enum.Enum):
    """Events that change the state of the process."""

    STARTED = "started"  # the process listens for clients
    DRAIN = "drain"
    UNDRAIN = "undrain"
    STOP = "stop"  # SIGTERM or SIGINT
    EXITED = "exited"  # the process has closed its last connection, or its time to exit has come


class RefusalReason(enum.Enum):
    """Reasons for which the process refuses requests."""

    STARTING = "starting"
    DRAINING = "draining"
    SHUTDOWN = "shutdown"


class ConnectionStage(enum.IntEnum):
    """Stages of closing a connection; a later stage includes the earlier ones."""

    SERVE = 0
    CLOSE_WHEN_IDLE = 1  # close the connection as soon as it has no open request
    ANSWER_AND_CLOSE = 2  # give every open request its final answer now, then close the connection
    CLOSE_NOW = 3  # close the connection now


@dataclass(frozen=True, slots=True)
class ConnectionActivity:
    """Activity of a client connection, from which its stage of closing is decided."""

    opened_at_s: float
    last_request_at_s: float | None  # None: no request has arrived
    last_answer_at_s: float | None  # None: no answer has been sent
    open_requests: int


class Lifecycle:
    """The state of the process, and the decisions that follow from it."""

    def __init__(self, shutdown: ShutdownPlan) -> None:
        self.state = State.STARTING
        self._shutdown = shutdown
        self._drain_ordered_at_s: float | None = None  # None: no order to drain is in force
        self._stopped_at_s: float | None = None

    def handle(self, event: Event, now_s: float) -> bool:
        """Apply an event. Return False if it is refused: stopping cannot be undone."""
        match event:
            case Event.STARTED:
                if self.state is State.STARTING:
                    self.state = State.SERVING if self._drain_ordered_at_s is None else State.DRAINING
            case Event.DRAIN:
                self._drain(now_s)
            case Event.UNDRAIN:
                return self._undrain()
            case Event.STOP:
                if self.state not in (State.STOPPING, State.STOPPED):
                    self.state, self._stopped_at_s = State.STOPPING, now_s
            case Event.EXITED:
                self.state = State.STOPPED
        return True

    def _drain(self, now_s: float) -> None:
        """Start to drain. Further calls change nothing, so the limits count from the first order."""
        if self._drain_ordered_at_s is None and self._stopped_at_s is None:
            self._drain_ordered_at_s = now_s
        if self.state is State.SERVING:
            self.state = State.DRAINING

    def _undrain(self) -> bool:
        if self.state in (State.STOPPING, State.STOPPED):
            return False
        self._drain_ordered_at_s = None
        if self.state is State.DRAINING:
            self.state = State.SERVING
        return True

    # Decisions

    @property
    def is_ready(self) -> bool:
        """Whether the process reports itself as ready to serve."""
        return self.state is State.SERVING

    @property
    def asks_clients_to_leave(self) -> bool:
        """Whether clients are asked to send no new requests."""
        return self.state in (State.DRAINING, State.STOPPING, State.STOPPED)

    def accepts_connections(self, now_s: float) -> bool:
        """Return whether connections may be accepted."""
        if self.state is State.STOPPING:
            return self._stopping_for_s(now_s) < self._shutdown.accept_until_s
        return self.state in (State.SERVING, State.DRAINING)

    def refusal_reason(self, now_s: float) -> RefusalReason | None:
        """Return why requests are refused now, or None if they are accepted."""
        if self.state is State.STARTING:
            return RefusalReason.STARTING
        if not self.accepts_connections(now_s):
            return RefusalReason.SHUTDOWN
        ordered_at_s = self._drain_ordered_at_s
        if (
            ordered_at_s is not None
            and now_s - ordered_at_s >= DRAIN_LIMIT_S - RECENT_REQUEST_S - RECENT_REQUEST_MARGIN_S
        ):
            return RefusalReason.DRAINING
        return None

    def may_send(self, now_s: float) -> bool:
        """Return whether attempts may be sent at all; the controller decides on each query."""
        if self.state is State.STOPPING:
            return self._stopping_for_s(now_s) < self._shutdown.answer_by_s
        return self.state in (State.SERVING, State.DRAINING)

    def connection_stage(self, connection: ConnectionActivity, now_s: float) -> ConnectionStage:
        """Return the stage of closing that a connection has reached."""
        return max(self._stopping_stage(now_s), self._draining_stage(connection, now_s))

    def violates_drain_limit(self, connection: ConnectionActivity, now_s: float) -> bool:
        """Return whether keeping this connection open breaks the operators' rule on draining."""
        if self._drain_ordered_at_s is None or now_s - self._drain_ordered_at_s < DRAIN_LIMIT_S:
            return False
        if now_s - connection.opened_at_s < 2 * NEW_CONNECTION_S or _answered_since(
            connection, now_s - 2 * FLUSH_S
        ):
            return False
        if not connection.open_requests:
            return True
        # For a request this recent, the process may still be sending the answer and closing the connection.
        requested_just_now = _requested_since(connection, now_s - 2 * FLUSH_S)
        return not requested_just_now and _requested_since(connection, now_s - RECENT_REQUEST_S)

    def must_answer_all(self, now_s: float) -> bool:
        """Return whether every open request must get its final answer now, since the process is stopping."""
        return self.state is State.STOPPING and self._stopping_for_s(now_s) >= self._shutdown.answer_by_s

    def must_exit(self, now_s: float) -> bool:
        """Return whether the process must close all connections and exit now."""
        return self.state is State.STOPPING and self._stopping_for_s(now_s) >= self._shutdown.exit_by_s

    @property
    def accepts_until_s(self) -> float:
        """Monotonic time at which a stopping process stops to accept connections and requests."""
        return self._stage_end_s(self._shutdown.accept_until_s)

    @property
    def answers_by_s(self) -> float:
        """Monotonic time at which a stopping process gives every open request its final answer."""
        return self._stage_end_s(self._shutdown.answer_by_s)

    @property
    def exits_by_s(self) -> float:
        """Monotonic time at which a stopping process closes all connections and exits."""
        return self._stage_end_s(self._shutdown.exit_by_s)

    def _stage_end_s(self, after_stop_s: float) -> float:
        return math.inf if self._stopped_at_s is None else self._stopped_at_s + after_stop_s

    @property
    def serving_time_after_stop_s(self) -> float:
        """Seconds after the signal to stop for which requests can still be served."""
        return self._shutdown.answer_by_s

    def _stopping_for_s(self, now_s: float) -> float:
        return now_s - self._stopped_at_s if self._stopped_at_s is not None else 0.0

    def _stopping_stage(self, now_s: float) -> ConnectionStage:
        if self.state is State.STOPPED or self.must_exit(now_s):
            return ConnectionStage.CLOSE_NOW
        if self.must_answer_all(now_s):
            return ConnectionStage.ANSWER_AND_CLOSE
        closes_idle = self.state is State.STOPPING and not self.accepts_connections(now_s)
        return ConnectionStage.CLOSE_WHEN_IDLE if closes_idle else ConnectionStage.SERVE

    def _draining_stage(self, connection: ConnectionActivity, now_s: float) -> ConnectionStage:
        if self._drain_ordered_at_s is None:
            return ConnectionStage.SERVE
        draining_for_s = now_s - self._drain_ordered_at_s
        if draining_for_s < CLOSE_IDLE_AFTER_S or _awaits_first_request(connection, now_s):
            return ConnectionStage.SERVE
        if draining_for_s < ANSWER_BUSY_AFTER_S:
            return ConnectionStage.CLOSE_WHEN_IDLE
        if connection.open_requests and not self._is_busy(connection, now_s):
            # The client only waits for answers, and the drain limit does not cover a connection without a
            # recent request.
            return ConnectionStage.CLOSE_WHEN_IDLE
        if draining_for_s < CLOSE_AT_ONCE_AFTER_S or connection.open_requests:
            return ConnectionStage.ANSWER_AND_CLOSE
        return (
            ConnectionStage.ANSWER_AND_CLOSE
            if self._may_flush(connection, now_s)
            else ConnectionStage.CLOSE_NOW
        )

    def _may_flush(self, connection: ConnectionActivity, now_s: float) -> bool:
        """Return whether the last answer may still be in the process of being sent."""
        assert self._drain_ordered_at_s is not None
        if not _answered_since(connection, now_s - FLUSH_S):
            return False
        close_flushing_at_s = self._drain_ordered_at_s + CLOSE_FLUSHING_AFTER_S
        return now_s < close_flushing_at_s or _answered_since(connection, close_flushing_at_s - FLUSH_S / 2)

    def _is_busy(self, connection: ConnectionActivity, now_s: float) -> bool:
        """Return whether the last request will count as recent at the drain limit (or now, if it is past)."""
        assert self._drain_ordered_at_s is not None
        judged_at_s = max(now_s, self._drain_ordered_at_s + DRAIN_LIMIT_S)
        return _requested_since(connection, judged_at_s - RECENT_REQUEST_S - RECENT_REQUEST_MARGIN_S)


def _requested_since(connection: ConnectionActivity, start_s: float) -> bool:
    return connection.last_request_at_s is not None and connection.last_request_at_s >= start_s


def _answered_since(connection: ConnectionActivity, start_s: float) -> bool:
    return connection.last_answer_at_s is not None and connection.last_answer_at_s >= start_s


def _awaits_first_request(connection: ConnectionActivity, now_s: float) -> bool:
    """Return whether a new connection's first request may be in transit: closing now would lose it."""
    return connection.last_request_at_s is None and now_s - connection.opened_at_s < NEW_CONNECTION_S
