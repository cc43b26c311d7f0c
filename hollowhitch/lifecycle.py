"""The life of the process: the one place that decides what may be taken, sent, held and closed at a time.

States: starting, serving, draining (an operator's order, which another order undoes), stopping (a signal,
which nothing undoes) and stopped. Events come in, decisions go out; nothing here does I/O. All times are
seconds on the monotonic clock, passed in by the caller.

The times of draining come from the operators' page: 0.2 s after a no to the question of readiness new
connections stop; 4 s after the call no connection may be held that is idle or has had a request in its last
2 s. Those of stopping come from `shutdown.plan_shutdown`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from hollowhitch.shutdown import ShutdownPlan

DRAIN_LIMIT_S = 4.0  # by then a drained process holds no idle or busy connection
RECENT_S = 2.0  # a connection with a request as recent as this is busy
RECENT_MARGIN_S = 0.2
END_IDLE_AFTER_S = 0.5  # the front has noticed by then, so that what is closed is not opened again
CLEAR_AFTER_S = 3.2  # busy connections get all their answers, and end
CLOSE_AFTER_S = 3.5  # what has not ended by itself is closed
FLUSH_S = 0.3  # for an answer to leave; what was answered before the limit is closed before it
CLOSE_ALL_AFTER_S = 3.8
NEW_CONNECTION_S = 0.3  # for the first frame of a connection to come


class State(enum.Enum):
    """States of the process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    STOPPED = "stopped"


class Event(enum.Enum):
    """What changes the state."""

    STARTED = "started"  # it listens for clients
    DRAIN = "drain"
    UNDRAIN = "undrain"
    STOP = "stop"  # SIGTERM or SIGINT
    EXITED = "exited"  # its last connection is closed, or its time is up


class Refusal(enum.Enum):
    """Why a request is not taken."""

    STARTING = "starting"
    DRAINING = "draining"
    SHUTDOWN = "shutdown"


class Stage(enum.IntEnum):
    """What is to become of a connection; a later stage includes the earlier ones."""

    SERVE = 0
    END_WHEN_IDLE = 1  # close it as soon as nothing is open on it
    ANSWER_AND_END = 2  # give everything open its final answer now, then close it
    CLOSE = 3  # close it now


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """What the decision on a client's connection goes by. Times in seconds."""

    opened_s: float
    last_request_s: float | None  # None: it has sent no request
    last_answer_s: float | None  # None: it has got no answer
    open_requests: int


class Lifecycle:
    """The state, and every decision that follows from it."""

    def __init__(self, shutdown: ShutdownPlan) -> None:
        self.state = State.STARTING
        self._shutdown = shutdown
        self._drained_at: float | None = None  # since when an order to drain has stood
        self._stopped_at: float | None = None

    def handle(self, event: Event, now_s: float) -> bool:
        """Take in an event. False where it is refused: nothing undoes stopping."""
        match event:
            case Event.STARTED:
                if self.state is State.STARTING:
                    self.state = State.SERVING if self._drained_at is None else State.DRAINING
            case Event.DRAIN:
                self._drain(now_s)
            case Event.UNDRAIN:
                return self._undrain()
            case Event.STOP:
                if self.state not in (State.STOPPING, State.STOPPED):
                    self.state, self._stopped_at = State.STOPPING, now_s
            case Event.EXITED:
                self.state = State.STOPPED
        return True

    def _drain(self, now_s: float) -> None:
        """A second order changes nothing: the time counts from the first."""
        if self._drained_at is None and self._stopped_at is None:
            self._drained_at = now_s
        if self.state is State.SERVING:
            self.state = State.DRAINING

    def _undrain(self) -> bool:
        if self.state in (State.STOPPING, State.STOPPED):
            return False
        self._drained_at = None
        if self.state is State.DRAINING:
            self.state = State.SERVING
        return True

    # Decisions

    @property
    def ready(self) -> bool:
        """Is this process ready to serve?"""
        return self.state is State.SERVING

    @property
    def sends_clients_away(self) -> bool:
        """Are clients asked to send nothing new?"""
        return self.state in (State.DRAINING, State.STOPPING, State.STOPPED)

    def accepts(self, now_s: float) -> bool:
        """May a connection be accepted?"""
        if self.state is State.STOPPING:
            return self._stopping_for(now_s) < self._shutdown.accept_until_s
        return self.state in (State.SERVING, State.DRAINING)

    def refusal(self, now_s: float) -> Refusal | None:
        """Why no request is taken now; None if one is."""
        if self.state is State.STARTING:
            return Refusal.STARTING
        if not self.accepts(now_s):
            return Refusal.SHUTDOWN
        since = self._drained_at
        if since is not None and now_s - since >= DRAIN_LIMIT_S - RECENT_S - RECENT_MARGIN_S:
            return Refusal.DRAINING
        return None

    def may_send(self, now_s: float) -> bool:
        """May an attempt be sent, or sent again? The rules on one query are the decision module's."""
        if self.state is State.STOPPING:
            return self._stopping_for(now_s) < self._shutdown.answer_by_s
        return self.state in (State.SERVING, State.DRAINING)

    def stage(self, connection: ConnectionFacts, now_s: float) -> Stage:
        """What is to become of a connection now."""
        return max(self._stopping_stage(now_s), self._draining_stage(connection, now_s))

    def held_too_long(self, connection: ConnectionFacts, now_s: float) -> bool:
        """Does holding this connection break the operators' rule on draining?"""
        if self._drained_at is None or now_s - self._drained_at < DRAIN_LIMIT_S:
            return False
        if now_s - connection.opened_s < 2 * NEW_CONNECTION_S or _answered_since(
            connection, now_s - 2 * FLUSH_S
        ):
            return False
        if not connection.open_requests:
            return True
        just_now = _asked_since(connection, now_s - 2 * FLUSH_S)  # about to be answered and closed
        return not just_now and _asked_since(connection, now_s - RECENT_S)

    def gives_up(self, now_s: float) -> bool:
        """Is every open request to have its final answer now, since the process ends?"""
        return self.state is State.STOPPING and self._stopping_for(now_s) >= self._shutdown.answer_by_s

    def must_exit(self, now_s: float) -> bool:
        """Is the time of the process up?"""
        return self.state is State.STOPPING and self._stopping_for(now_s) >= self._shutdown.exit_by_s

    @property
    def serves_for_s(self) -> float:
        """Once stopping: seconds after the order until which requests can be served."""
        return self._shutdown.answer_by_s

    def _stopping_for(self, now_s: float) -> float:
        return now_s - self._stopped_at if self._stopped_at is not None else 0.0

    def _stopping_stage(self, now_s: float) -> Stage:
        if self.state is State.STOPPED or self.must_exit(now_s):
            return Stage.CLOSE
        if self.gives_up(now_s):
            return Stage.ANSWER_AND_END
        ends = self.state is State.STOPPING and not self.accepts(now_s)
        return Stage.END_WHEN_IDLE if ends else Stage.SERVE

    def _draining_stage(self, connection: ConnectionFacts, now_s: float) -> Stage:
        if self._drained_at is None:
            return Stage.SERVE
        drained_for = now_s - self._drained_at
        if drained_for < END_IDLE_AFTER_S or _may_still_ask(connection, now_s):
            return Stage.SERVE
        if drained_for < CLEAR_AFTER_S:
            return Stage.END_WHEN_IDLE
        if connection.open_requests and not self._is_busy(connection, now_s):
            return Stage.END_WHEN_IDLE  # its client only waits
        if drained_for < CLOSE_AFTER_S or connection.open_requests:
            return Stage.ANSWER_AND_END
        return Stage.ANSWER_AND_END if self._may_flush(connection, now_s) else Stage.CLOSE

    def _may_flush(self, connection: ConnectionFacts, now_s: float) -> bool:
        """May its last answer still be on its way out?"""
        assert self._drained_at is not None
        if not _answered_since(connection, now_s - FLUSH_S):
            return False
        close_all_at = self._drained_at + CLOSE_ALL_AFTER_S
        return now_s < close_all_at or _answered_since(connection, close_all_at - FLUSH_S / 2)

    def _is_busy(self, connection: ConnectionFacts, now_s: float) -> bool:
        """Will it have had a request lately when the drain's time is up?"""
        assert self._drained_at is not None
        judged_at = max(now_s, self._drained_at + DRAIN_LIMIT_S)
        return _asked_since(connection, judged_at - RECENT_S - RECENT_MARGIN_S)


def _asked_since(connection: ConnectionFacts, at_s: float) -> bool:
    return connection.last_request_s is not None and connection.last_request_s >= at_s


def _answered_since(connection: ConnectionFacts, at_s: float) -> bool:
    return connection.last_answer_s is not None and connection.last_answer_s >= at_s


def _may_still_ask(connection: ConnectionFacts, now_s: float) -> bool:
    """A new connection's first request may be on its way, and would be lost with it."""
    return connection.last_request_s is None and now_s - connection.opened_s < NEW_CONNECTION_S
