"""Connections to the engines: one pool for each engine id, whose connections carry several attempts each."""

from __future__ import annotations

import contextlib
import functools
import time
from collections.abc import Callable, Mapping

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.audit import Audit, Rule
from hollowhitch.clock import Clock
from hollowhitch.config import Address, Config
from hollowhitch.gateway import Attempt, CallLater, Gateway
from hollowhitch.lifecycle import Lifecycle
from hollowhitch.metrics import Metrics
from hollowhitch.net.dial import DialError, dial
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.send_queue import SendQueue
from hollowhitch.net.system_call_errors import ErrorOrigin, SystemCall, retry_transient
from hollowhitch.net.turns import Turn
from hollowhitch.policy.constants import OVERDUE_FACTOR
from hollowhitch.policy.interface import EngineList, EngineState, ListKind, LoadReport, Outcome, ProbeEnded
from hollowhitch.policy.membership import Membership
from hollowhitch.protocol.lines import EngineProtocol

MAX_QUEUED_BYTES = 1 << 20  # bytes queued on one connection above which another connection is used
# Share of the engine's idle timeout after which an unused connection is closed. Closing it before the engine
# does avoids sending a request on a connection that the engine is closing.
IDLE_CLOSE_SHARE = 0.7
SWEEPS_PER_IDLE_TIME = 10  # number of sweeps in the time after which an unused connection is closed
# Number of attempts on one connection above which another connection is dialed, because a connection that
# breaks takes all its attempts with it.
MAX_SHARED_ATTEMPTS = 3
# Number of connections to an engine beyond the usual limit, for queries that were on a connection when it
# broke.
EXTRA_EXCLUSIVE_CONNECTIONS = 2
# Longest time between sweeps in microseconds. It bounds how late a stalled connection is noticed.
MAX_SWEEP_INTERVAL_US = 100_000
# Within an answer, a connection counts as stalled after MAX_ANSWER_PAUSE_US microseconds without a byte.
# Between answers it does so after MAX_SILENCE_US microseconds without a byte, if one of its attempts was sent
# more than MAX_SILENCE_US plus OVERDUE_FACTOR times its estimated work ago.
MAX_ANSWER_PAUSE_US, MAX_SILENCE_US = 500_000, 3_000_000
# Seconds between the write of a STOP, or a close, and the query's next attempt: the engine has to know first.
STOP_LEAD_S = 0.004
STOP_TIMEOUT_S = 0.5  # seconds after which a connection that does not take a STOP is closed instead


class EngineConnection:
    """One connection to an engine, with a reader and a writer greenlet that run until it is closed."""

    def __init__(self, pool: EnginePool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.protocol = EngineProtocol(pool.owner.expects_reports)
        self.send_queue = SendQueue(sock, MAX_QUEUED_BYTES, before_write=pool.owner.loop_monitor.catch_up)
        self.attempts: dict[str, Attempt] = {}  # by ref: attempts that are queued or written
        self.written_refs: set[str] = set()  # refs of the attempts that are written
        self.probe_sent_at_us: dict[str, int] = {}  # by tag: the probes without an answer
        self.last_used_at_us = self.opened_at_us = self.last_received_at_us = pool.owner.clock.now_us()
        self.closed = self.is_retired = False  # is_retired: finishes its attempts, and accepts no new ones
        # Whether it carries only one attempt, of a query that was on another connection when that one broke.
        self.is_exclusive = False
        # Whether it may have stalled: nothing was received since an attempt was sent that is now cancelled.
        self.is_suspect = False
        gevent.spawn(self._write)
        gevent.spawn(self._read)

    def can_carry(self, attempt: Attempt) -> bool:
        """Return whether the attempt can be sent on this connection."""
        ref = attempt.query.ref
        has_room = (
            len(self.attempts) < self.pool.owner.config.streams_per_connection and not self.send_queue.full
        )
        usable = has_room and not self.closed and not self.is_retired and not self.is_exclusive
        return usable and ref not in self.attempts and self.protocol.can_use_ref(ref)

    def send(self, attempt: Attempt) -> None:
        """Queue the attempt's request. Just before the write, it is formatted if it may still be sent."""
        self.attempts[attempt.query.ref] = attempt
        self.is_exclusive = attempt.query.has_lost_connection
        attempt.backend_handle = self
        size = len(attempt.query.statement) + 200  # 200 bytes: estimate for the rest of the request
        self.send_queue.put(lambda: self._format_request(attempt), size)

    def _format_request(self, attempt: Attempt) -> bytes:
        """Return the request's bytes, empty if it must no longer be sent. Called just before the write."""
        query = attempt.query
        if attempt.ended or self.attempts.get(query.ref) is not attempt:
            return b""
        query.check_client()
        if attempt.ended:
            return b""
        owner = self.pool.owner
        now_us = owner.clock.now_us()
        remaining_ms = (attempt.expires_at_us - now_us) // 1000
        if (
            query.finished
            or now_us >= attempt.send_by_us
            or not self.pool.ready
            or remaining_ms < 1
            or not owner.may_send(self.pool.engine_id, query.ref)
        ):
            # Since the controller sent the attempt, the client may have left, the time for a repeat may have
            # ended, or the engine may have begun to drain.
            del self.attempts[query.ref]
            gevent.spawn(owner.gateway.attempt_ended, attempt, Outcome.NEVER_SENT)
            return b""
        fields = {"class": query.arrival.class_name, "wait": str(remaining_ms)}
        if query.idempotency_key:
            fields["once"] = query.idempotency_key
        if attempt.memory_grant_mb > 0:
            fields["workmem"] = str(max(1, round(attempt.memory_grant_mb)))
        self.written_refs.add(query.ref)
        query.was_sent = True
        return self.protocol.start_request(query.ref, fields, query.statement)

    def cancel(self, attempt: Attempt, on_stopped: Callable[[], None]) -> bool:
        """Drop an attempt, as `Backend.cancel` describes."""
        ref = attempt.query.ref
        if self.attempts.get(ref) is not attempt:
            return False
        del self.attempts[ref]
        self.is_exclusive = False
        self.last_used_at_us = self.pool.owner.clock.now_us()
        if ref not in self.written_refs:
            return False
        self.written_refs.discard(ref)
        self.is_suspect = self.last_received_at_us < attempt.sent_at_us
        self._send_stop(ref, on_stopped)
        return True

    def _send_stop(self, ref: str, on_stopped: Callable[[], None]) -> None:
        """Queue a STOP, or close the connection if its engine takes none: the close gives up the attempt too.

        Nothing is sent if the connection is closed, because its close has told the engine.
        """
        call_later = self.pool.owner.call_later
        timeout = call_later(STOP_TIMEOUT_S, lambda: self.close("STOP not taken"))

        def on_taken() -> None:
            timeout.cancel()
            call_later(STOP_LEAD_S, on_stopped)

        self.send_queue.put(self.protocol.cancel(ref), on_taken=on_taken)

    def probe(self, tag: str) -> None:
        """Queue a health probe. `tag` identifies its answer, as a ref does that of an attempt."""
        self.probe_sent_at_us[tag] = self.pool.owner.clock.now_us()
        self.send_queue.put(lambda: self.protocol.start_probe(tag), 50)

    def _write(self) -> None:
        try:
            self.send_queue.run()
        except OSError as e:
            self.close(f"write: {e}")

    def _read(self) -> None:
        protocol, turn = self.protocol, Turn()
        try:
            while not self.closed:
                with protocol.buffer.reserve() as free_space:
                    count = retry_transient(SystemCall.RECEIVE, self.sock.recv_into, free_space)
                turn.began()
                if count == 0:
                    return self.close("ended by the engine")
                self.last_received_at_us, self.is_suspect = self.pool.owner.clock.now_us(), False
                for result in protocol.buffer_updated(count):
                    if result.reason:
                        log.event(
                            "engine",
                            "result is incomplete",
                            engine=self.pool.engine_id,
                            ref=result.ref,
                            reason=result.reason,
                        )
                    self._exchange_ended(result.ref, result.outcome, result.report, result.body)
                if protocol.output:
                    self.send_queue.put(bytes(protocol.output))
                    protocol.output.clear()
                if protocol.protocol_error:
                    log.event(
                        "engine", "protocol error", engine=self.pool.engine_id, reason=protocol.protocol_error
                    )
                    return self.close("")
                turn.yield_if_over()
        except OSError as e:
            self.close(f"read: {e}")
        except Exception as e:  # a bug in the proxy must not keep the connection's attempts from ending
            log.event("fault", "reading from an engine failed", engine=self.pool.engine_id, error=repr(e))
            self.close("fault")

    def _exchange_ended(self, ref: str, outcome: Outcome, report: LoadReport | None, body: bytes) -> None:
        owner = self.pool.owner
        self.last_used_at_us = owner.clock.now_us()
        if ref in self.probe_sent_at_us:
            elapsed_us = self.last_used_at_us - self.probe_sent_at_us.pop(ref)
            owner.gateway.probe_ended(ProbeEnded(self.pool.engine_id, outcome, elapsed_us, report))
            return
        attempt = self.attempts.pop(ref, None)
        self.written_refs.discard(ref)
        self.is_exclusive = False
        if attempt is not None:
            owner.gateway.attempt_ended(attempt, outcome, report, body)

    @property
    def unused(self) -> bool:
        """Whether it carries no attempt and no probe; bytes may still be queued on it."""
        return not self.attempts and not self.probe_sent_at_us

    def close_if_stalled(self, now_us: int) -> None:
        """Close the connection if an answer stopped in the middle, or an attempt gets none at all.

        No later answer can be expected on such a connection, so all its attempts are ended.
        """
        silence_us = now_us - self.last_received_at_us
        if self.protocol.has_incomplete_answer and silence_us > MAX_ANSWER_PAUSE_US:
            self.close("an answer stopped short")
        elif self.written_refs and silence_us > MAX_SILENCE_US:
            # MAX_SILENCE_US is long, because bulk loads may wait for each other.
            written = [a for ref, a in self.attempts.items() if ref in self.written_refs]
            if any(
                now_us - a.sent_at_us > MAX_SILENCE_US + OVERDUE_FACTOR * a.query.estimated_work_us
                for a in written
            ):
                self.close("nothing comes any more")

    def close_if_idle(self, now_us: int, idle_us: int) -> None:
        """Close the connection if it has been unused for `idle_us`, or is unused and not needed."""
        is_unneeded = not self.pool.ready or self.is_retired or self.is_suspect
        if self.unused and (is_unneeded or now_us - self.last_used_at_us >= idle_us):
            self.close("")

    def close(self, reason: str) -> None:
        """Close the connection and end its attempts.

        An attempt that was written may have run, and ends as RESET; one that was not written never ran, and
        ends as CONNECT_FAILED. `reason` is empty for a close that needs no log line.
        """
        if self.closed:
            return
        self.closed = True
        self.pool.owner.metrics.engine_closes.add(reason.partition(":")[0] or "idle, drained or spoilt")
        if reason and self.attempts:
            log.event(
                "engine",
                "connection closed",
                engine=self.pool.engine_id,
                reason=reason,
                attempts=",".join(self.attempts),
            )
        self.send_queue.close()
        with contextlib.suppress(OSError):  # tells the engine at once, as closing waits for the event loop
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.pool.remove(self)
        gateway = self.pool.owner.gateway
        for ref, attempt in list(self.attempts.items()):
            attempt.query.has_lost_connection = attempt.query.has_lost_connection or ref in self.written_refs
            if ref in self.written_refs:
                # If this process closes the connection, the engine has to learn of the close before the
                # query's next attempt is sent, because a query may have only one attempt at a time.
                end_attempt = functools.partial(self._exchange_ended, ref, Outcome.RESET, None, b"")
                self.pool.owner.call_later(STOP_LEAD_S, end_attempt)
            else:
                del self.attempts[ref]
                gateway.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        probes, self.probe_sent_at_us = self.probe_sent_at_us, {}
        for _ in probes:
            gateway.probe_ended(ProbeEnded(self.pool.engine_id, Outcome.RESET, 0, None))


class EnginePool:
    """Connections to one engine.

    A pool belongs to an engine id and not to an address, because addresses are reused for other engines.
    """

    def __init__(self, owner: EnginePools, engine_id: str, address: Address) -> None:
        self.owner, self.engine_id, self.address = owner, engine_id, address
        self.ready = True  # the engine may be used; changed by `set_ready`
        self.connections: list[EngineConnection] = []
        self.pending: list[Attempt] = []  # attempts that wait for the connection being dialed
        self.dialing = False  # a connection is being dialed; there is one at a time

    def set_ready(self, ready: bool) -> None:
        """Note whether the engine may be used. The pool of one that may not is removed once it is empty."""
        self.ready = ready
        if ready:
            self.owner.unready_pools.pop(self, None)
        else:
            self.owner.unready_pools[self] = None

    @property
    def is_empty(self) -> bool:
        """Whether there is neither a connection nor an attempt that waits for one."""
        return not self.connections and not self.pending and not self.dialing

    def add(self, connection: EngineConnection) -> None:
        """Add a connection that was opened."""
        self.connections.append(connection)
        self.owner.connections[connection] = None

    def remove(self, connection: EngineConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.remove(connection)
        del self.owner.connections[connection]

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on the connection that carries the fewest attempts, dialing another if needed.

        A query that was on a connection when it broke gets a connection of its own if one more is allowed:
        otherwise it could break the connections of other queries again and again.
        """
        is_exclusive, usable = (
            attempt.query.has_lost_connection,
            [c for c in self.connections if c.can_carry(attempt)],
        )
        at_limit = len(self.connections) >= self.owner.config.engine_sockets_most + (
            EXTRA_EXCLUSIVE_CONNECTIONS if is_exclusive else 0
        )
        if is_exclusive and not at_limit:
            usable = [c for c in usable if not c.attempts]
        connection = min(usable, key=lambda c: (c.is_suspect, len(c.attempts)), default=None)
        if connection is not None:
            connection.send(attempt)
        wants_dial = (
            connection is None or connection.is_suspect or len(connection.attempts) > MAX_SHARED_ATTEMPTS
        )
        if (
            wants_dial
            and not at_limit
            and not self.dialing
            and self.owner.make_room(needed=connection is None)
        ):
            self._set_dialing(True)
            gevent.spawn(self._dial)
        if connection is None and self.dialing and not at_limit:
            self.pending.append(attempt)
        elif connection is None:
            # NEVER_SENT if only the limit that all engines share is reached: this engine did not fail.
            self.owner.gateway.attempt_ended(
                attempt, Outcome.CONNECT_FAILED if at_limit else Outcome.NEVER_SENT
            )

    def _set_dialing(self, dialing: bool) -> None:
        self.owner.dialing_count += dialing - self.dialing
        self.dialing = dialing

    def _dial(self) -> None:
        address = self.address
        try:
            sock = dial(address, self.owner.config.dial_timeout_us / 1e6, self.owner.metrics)
        except DialError as e:
            log.event("engine", "connecting failed", engine=self.engine_id, error=e, blame=e.origin.value)
            self._set_dialing(False)
            outcome = Outcome.NEVER_SENT if e.origin is ErrorOrigin.LOCAL else Outcome.CONNECT_FAILED
            pending, self.pending = self.pending, []
            for attempt in pending:
                self.owner.gateway.attempt_ended(attempt, outcome)
            return
        self._set_dialing(False)
        sock.settimeout(None)
        if address != self.address:  # the engine has moved, and another one may be at the old address now
            sock.close()
        else:
            self.add(EngineConnection(self, sock))
        pending, self.pending = self.pending, []
        for attempt in pending:
            if not attempt.ended:
                self.start(attempt)

    def update_address(self, address: Address, started_at_us: int) -> None:
        """Apply the engine's entry in a new list.

        Connections that were opened before the engine's present process started are closed. They lead to a
        process that is gone, even if its machine never reported the end of the connection.
        """
        for connection in list(self.connections):
            if connection.opened_at_us < started_at_us:
                connection.close("restarted")
        if address != self.address:
            self.address = address
            for connection in self.connections:
                connection.is_retired = True


class EnginePools:
    """The pools of all engines; the gateway's `Backend`."""

    gateway: Gateway  # set after both objects are created, because each refers to the other

    def __init__(
        self,
        config: Config,
        clock: Clock,
        call_later: CallLater,
        metrics: Metrics,
        loop_monitor: LoopMonitor,
        lifecycle: Lifecycle,
        membership: Membership,
        audit: Audit,
    ) -> None:
        self.config, self.clock, self.call_later, self.metrics = config, clock, call_later, metrics
        self.loop_monitor, self.lifecycle = loop_monitor, lifecycle
        self.membership, self.audit = membership, audit
        self.expects_reports = config.settings.reports_with_answers  # answers carry load reports
        self.pools: dict[str, EnginePool] = {}  # by engine id
        # Ordered sets: what `sweep` looks at, which is not every pool.
        self.connections: dict[EngineConnection, None] = {}
        self.unready_pools: dict[EnginePool, None] = {}
        self.dialing_count = 0  # pools that are dialing a connection
        self._last_tag = 0

    @property
    def connection_count(self) -> int:
        """Number of connections to all engines, including those being dialed."""
        return len(self.connections) + self.dialing_count

    def may_send(self, engine: str, ref: str) -> bool:
        """Return whether a request may be written; the last check before the write.

        A request that may not be written should have been stopped earlier, so it is recorded as a violation.
        """
        if self.membership.is_disabled(engine):
            self.audit.record_violation(Rule.SENT_TO_DISABLED, engine=engine, ref=ref)
            return False
        if not self.lifecycle.may_send(time.monotonic()):
            self.audit.record_violation(Rule.SENT_WHILE_STOPPING, engine=engine, ref=ref)
            return False
        return True

    def make_room(self, needed: bool) -> bool:
        """Return whether one more connection may be dialed without exceeding the limit of all engines.

        If the limit is reached and the connection is `needed`, the connection to any engine that has been
        unused for longest is closed.
        """
        if self.connection_count < self.config.engines_sockets_most:
            return True
        candidates = self.connections if needed else ()
        unused = (c for c in candidates if c.unused and c.send_queue.idle)  # a queue may hold an unsent STOP
        if (oldest := min(unused, key=lambda c: c.last_used_at_us, default=None)) is None:
            return False
        oldest.close("")
        return True

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine, as `Backend.start` describes."""
        pool = self.pools.get(attempt.engine)
        if pool is None or not pool.ready:
            self.gateway.attempt_ended(attempt, Outcome.NEVER_SENT)
            return
        pool.start(attempt)

    def cancel(self, attempt: Attempt, on_stopped: Callable[[], None]) -> bool:
        """Drop an attempt, as `Backend.cancel` describes."""
        connection = attempt.backend_handle
        return isinstance(connection, EngineConnection) and connection.cancel(attempt, on_stopped)

    def probe(self, engine: str) -> None:
        """Probe an engine on an open connection; without one, the probe ends as CONNECT_FAILED."""
        pool = self.pools.get(engine)
        if pool is None or not pool.connections:
            self.gateway.probe_ended(ProbeEnded(engine, Outcome.CONNECT_FAILED, 0, None))
            return
        self._last_tag += 1
        pool.connections[0].probe(f"p{self._last_tag}")

    def update_engines(self, engines: EngineList, addresses: Mapping[str, Address]) -> None:
        """Apply a list of engines, or a change to it; `addresses` is by engine id."""
        listed_ids = {e.id for e in engines.engines}
        for engine in engines.engines:
            pool = self.pools.get(engine.id)
            address = addresses.get(engine.id)
            if pool is None and address is not None:
                pool = self.pools[engine.id] = EnginePool(self, engine.id, address)
            elif pool is not None and address is not None:
                pool.update_address(address, engine.started_at_us)
            if pool is not None:
                pool.set_ready(engine.state is EngineState.READY)
        if engines.kind is not ListKind.DELTA:
            for engine_id in self.pools.keys() - listed_ids:
                self.pools[engine_id].set_ready(False)

    def run_sweeper(self) -> None:
        """Sweep for as long as the process runs."""
        idle_us = int(self.config.keepalive_us * IDLE_CLOSE_SHARE)
        while True:
            gevent.sleep(min(idle_us / SWEEPS_PER_IDLE_TIME, MAX_SWEEP_INTERVAL_US) / 1e6)
            self.sweep(idle_us)

    def sweep(self, idle_us: int) -> None:
        """Close stalled and idle connections, and remove the pools of engines that are gone."""
        now_us = self.clock.now_us()
        for connection in list(self.connections):
            connection.close_if_stalled(now_us)
            connection.close_if_idle(now_us, idle_us)
        for pool in [pool for pool in self.unready_pools if pool.is_empty]:
            del self.unready_pools[pool]
            del self.pools[pool.engine_id]
