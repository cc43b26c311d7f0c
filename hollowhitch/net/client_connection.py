"""A client's connection, with a reader, a writer and a bounded send queue of its own."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.audit import Audit, Rule
from hollowhitch.clock import US_PER_S
from hollowhitch.config import QUERY_STATE_BYTES
from hollowhitch.gateway import Answer, Failed, Gateway, Query, Refused, Served, Timer
from hollowhitch.lifecycle import ConnectionActivity, ConnectionStage
from hollowhitch.net.client_activity import ClientActivity, EvictionRank
from hollowhitch.net.connection_closing import CloseReason, ConnectionClosing, PendingInput
from hollowhitch.net.connection_reader import ConnectionReader, PauseReason
from hollowhitch.net.input_scheduler import InputScheduler
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.memory_budget import ConnectionMemory, MemoryBudget
from hollowhitch.net.query_refs import QueryRefs
from hollowhitch.net.receive_times import AcceptWait, Received, Receiver, enable_receive_timestamps
from hollowhitch.net.request_queue import QueuedRequest
from hollowhitch.net.send_queue import SendQueue
from hollowhitch.net.unread import unread_bytes
from hollowhitch.protocol import frames

MAX_QUEUED_BYTES = 256 * 1024  # bytes queued for a client above which its new requests are refused
READ_PAUSE_BYTES = 512 * 1024  # bytes queued for a client above which nothing more is read from it
SOCKET_TIMEOUT_S = 30.0  # seconds after which a write without progress fails
# Seconds for the client to read the last answers and close, after the write side is shut down.
LINGER_S = 0.5
REQUEST_COPIES = 3  # copies of a request that are in memory while it is submitted and written to an engine
# Microseconds after which a request that was not started is not worth its time any more. Refusing it is
# quicker than to start it, so that thousands of requests at once do not delay those that come after them.
MAX_QUEUED_US = 1_000_000
_FRAME_TIMEOUT_TEXT = CloseReason.FRAME_TIMEOUT.value
# Size in bytes and number of the reads that discard unread bytes before a socket is closed.
DISCARD_READ_BYTES, MAX_DISCARD_READS = 65_536, 16


class ConnectionHost(Protocol):
    """The frontend that owns a connection, as the connection uses it."""

    gateway: Gateway
    loop_monitor: LoopMonitor
    audit: Audit
    scheduler: InputScheduler
    request_validator: frames.RequestValidator
    refs: QueryRefs
    memory: MemoryBudget
    discarded_input: bytearray  # space into which any connection reads input that nobody looks at

    def ready(self) -> bool:
        """Return whether this process is ready to serve."""

    def rejection_reason(self) -> str:
        """Return why a request cannot be accepted now, apart from its memory; empty if it can."""

    def reject(self, reason: str) -> Refused:
        """Record that a request was not accepted, and return its answer."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Note that the connection is closed."""


@dataclass(frozen=True, slots=True)
class _QueuedRequest:
    """A request that was read and not started, and the timer that refuses it in time."""

    request: QueuedRequest
    watchdog: Timer
    queued_at_us: int


class ClientConnection:
    """A connection that reads requests, submits them in order of arrival, and writes the answers.

    `ConnectionClosing` says when the write side is shut down. Bytes that arrive later were sent before the
    client noticed, and are discarded. After LINGER_S the socket is closed.
    """

    def __init__(
        self, host: ConnectionHost, sock: socket.socket, accept_wait: AcceptWait | None = None
    ) -> None:
        self.host, self.sock = host, sock
        self.protocol = frames.ClientProtocol()
        self.closing = ConnectionClosing()
        self.memory = ConnectionMemory(host.memory)
        clock = host.gateway.clock
        receiver = Receiver(sock, clock, host.loop_monitor, accept_wait)
        self.reader = ConnectionReader(self, receiver, sock, host.scheduler, clock, host.loop_monitor)
        self.send_queue = SendQueue(
            sock,
            MAX_QUEUED_BYTES,
            READ_PAUSE_BYTES,
            budget=host.memory,
            on_below_threshold=lambda: self.reader.resume(PauseReason.UNREAD_ANSWERS),
        )
        self.queries: dict[int, Query] = {}  # open queries, by stream
        self._queued_requests: dict[int, _QueuedRequest] = {}  # requests that are not started, by stream
        # Queries with an order key whose answers the kernel has not taken yet, by stream.
        self._untaken_answers: dict[int, Query] = {}
        self.has_sent_closing = False  # the client was asked to send no new requests on this connection
        self.client = ClientActivity(time.monotonic())
        self._writer: gevent.Greenlet | None = None

    def start(self) -> None:
        """Serve the connection until it is closed."""
        try:
            with contextlib.suppress(OSError):  # the connection also works without these options
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                enable_receive_timestamps(self.sock)
            self.sock.settimeout(SOCKET_TIMEOUT_S)
            self._writer = gevent.spawn(self._write)
            self.reader.start()
        except OSError:
            self.close()  # the connection is broken, so nothing can be answered

    # Closing

    @property
    def closed(self) -> bool:
        """Whether the socket is closed."""
        return self.closing.is_closed

    @property
    def is_closing(self) -> bool:
        """Whether the write side will be shut down as soon as no request is open."""
        return self.closing.has_begun

    def close_when_idle(self, reason: CloseReason) -> None:
        """Shut down the write side as soon as no request is open, then close. This cannot be undone."""
        if self.closing.request(reason):
            self._record_close(reason)
        self.send_queue.wake()

    @property
    def activity(self) -> ConnectionActivity:
        """What the lifecycle's decision on this connection depends on."""
        client = self.client
        return ConnectionActivity(
            client.opened_at_s,
            client.last_request_at_s,
            client.last_answer_at_s,
            len(self.protocol.open_streams),
        )

    def apply_stage(self, stage: ConnectionStage, reason: CloseReason) -> None:
        """Apply the lifecycle's decision.

        SERVE undoes earlier decisions of the lifecycle to close the connection. `reason` is recorded when the
        connection begins to close.
        """
        if self.closing.apply_stage(stage):
            self._record_close(reason)
        self.send_queue.wake()
        if stage is ConnectionStage.ANSWER_AND_CLOSE:
            self._answer_all()
        elif stage is ConnectionStage.CLOSE_NOW:
            self._answer_all()
            self.disconnect(reason)

    def _answer_all(self) -> None:
        """Give every open request its final answer now, and wait no longer for the rest of a frame."""
        for stream in list(self._queued_requests):
            self._refuse_queued(stream, "shutdown")
        self._terminate_queries()
        if len(self.protocol.buffer) and not self.protocol.broken and not self.reader.has_unhandled_input:
            self.memory.release_frame()
            self.handle_event(self.protocol.abort(_FRAME_TIMEOUT_TEXT))

    def close(self) -> None:
        """Close the connection now, and drop its open requests, because no client waits for them."""
        if self.closed:
            return
        self.closing.is_closed = True
        for stream, query in list(self.queries.items()):
            self._remove_query(stream)
            self.host.gateway.client_left(query)
        for stream in list(self._queued_requests):
            self._leave_queue(stream)
        self.protocol.open_streams.clear()
        self.memory.release_all()
        self.reader.close()
        self.send_queue.close()
        # The writer's traceback would otherwise reference this connection until a garbage collection.
        writer, self._writer = self._writer, None
        if writer is not None and writer is not gevent.getcurrent():
            writer.kill(block=False)
        self.discard_unread()
        self.sock.close()  # ends the reader too
        self.host.connection_closed(self)

    def evict(self) -> None:
        """Close the connection to make room for others; requests that are open are refused or failed."""
        self._answer_all()
        self.disconnect(CloseReason.CONNECTION_LIMIT)

    def disconnect(self, reason: CloseReason) -> None:
        """Close the connection now, on this process's own decision.

        Open requests get no answer then, which is recorded as a violation.
        """
        if self.closed:
            return
        if not self.is_closing:
            self._record_close(reason)
        if self.queries:
            refs = ",".join(query.ref for query in self.queries.values())
            self.host.audit.record_violation(Rule.CLOSED_UNANSWERED, reason=reason.value, refs=refs)
        self._shut_write_side()
        self.close()

    def _shut_write_side(self) -> None:
        self.closing.is_write_shut = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def discard_unread(self) -> None:
        """Discard unread bytes before the socket is closed, if the write side is shut down.

        Closing a socket with unread bytes resets the connection, and the client could lose the last answers.
        """
        if not self.closing.is_write_shut:
            return
        with contextlib.suppress(OSError):
            self.sock.settimeout(0.0)
            for _ in range(MAX_DISCARD_READS):
                if not self.sock.recv(DISCARD_READ_BYTES):
                    return

    def _record_close(self, reason: CloseReason) -> None:
        self.host.gateway.metrics.client_closes.add(reason.value)
        log.event("client", "closing", reason=reason.value, open=len(self.queries))

    @property
    def peer_address(self) -> str:
        """Address of the client, for the log; empty if the connection has failed."""
        try:
            host, port = self.sock.getpeername()[:2]
        except OSError:
            return ""
        return f"{host}:{port}"

    def send_closing(self) -> None:
        """Ask the client to send no new requests on this connection, unless it was asked before."""
        if not self.has_sent_closing:
            self.has_sent_closing = True
            self.send_queue.put(frames.format_frame(frames.CLOSING, 0))

    def reset_closing(self) -> None:
        """Let the next `send_closing` send its frame again, after the decision to close was undone."""
        self.has_sent_closing = False

    def _write(self) -> None:
        try:
            self.send_queue.run(self._may_shut_write_side)
            if self.closed:
                return
            self._shut_write_side()
            if not self.reader.peer.has_closed:
                gevent.sleep(LINGER_S)
        except OSError:
            pass
        self.close()

    def _may_shut_write_side(self) -> bool:
        return self.closing.may_shut_write_side(
            PendingInput(
                len(self.protocol.open_streams),
                len(self.protocol.buffer),
                unread_bytes(self.sock) if self.is_closing else 0,
                self.protocol.broken,
            )
        )

    # Reading, see `connection_reader.InputHandler`

    @property
    def discards_input(self) -> bool:
        """Whether all further input is discarded: the client will see the close, and send it again."""
        return self.closing.is_write_shut

    @property
    def discarded_input(self) -> bytearray:
        """Space for input that nobody looks at."""
        return self.host.discarded_input

    def before_turn(self) -> None:
        """Stop reading while too many bytes are queued for the client, which bounds the memory used for it.

        While nothing is read, cancellations would go unnoticed, and no attempt may be started after the
        client has gone. So its open queries are terminated first.
        """
        if self.send_queue.above_threshold:
            self.reader.pause(PauseReason.UNREAD_ANSWERS)
            self._terminate_queries()

    def input_read(self) -> None:
        """Let the connection close, if this was the last input that its close waited for."""
        if self.is_closing:
            self.send_queue.wake()

    def input_is_late(self) -> None:
        """Report a client that sends faster than its share of the process's time allows to read."""
        self.host.gateway.metrics.late_inputs.add("unread")
        log.event(
            "share", "client sends faster than it is read", client=self.peer_address, open=len(self.queries)
        )

    def input_ended(self) -> None:
        """Close the connection, because the client has closed it or it has failed."""
        self.close()

    def _terminate_queries(self) -> None:
        for query in list(self.queries.values()):
            self.host.gateway.terminate_query(query)

    @property
    def _is_within_frame(self) -> bool:
        return len(self.protocol.buffer) > 0 or self.protocol.bytes_to_skip > 0

    @property
    def _is_in_use(self) -> bool:
        """Whether a request is open, or an answer is being written."""
        return bool(self.protocol.open_streams) or not self.send_queue.idle

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection, or give up its incomplete frame, if its client has been silent for too long.

        A client may be silent for long between requests, but not before its first frame or within a frame.
        `now_s` is in monotonic seconds.
        """
        if self.protocol.broken or self.closing.is_write_shut or self.reader.has_unhandled_input:
            return  # with pending input, this process is late to read, not the client to send
        if self.client.has_timed_out_in_frame(now_s, self._is_within_frame):
            self._give_up_frame(now_s)
        elif self.client.has_been_idle(now_s) and not self.is_closing and not self._is_in_use:
            self.close_when_idle(CloseReason.IDLE)

    def _give_up_frame(self, now_s: float) -> None:
        """Refuse the request that is not written in time; close the connection if there is nothing to refuse.

        The rest of the request is skipped if it still arrives. While other requests are open, the connection
        stays open, because the client may still write requests and cancellations.
        """
        self.client.frame_given_up(now_s)
        self.memory.release_frame()
        event = None if self.protocol.bytes_to_skip else self.protocol.skip_frame(_FRAME_TIMEOUT_TEXT)
        if event is not None:
            self.handle_event(event)
        elif not self.protocol.open_streams:
            self._record_close(CloseReason.FRAME_TIMEOUT)
            self.handle_event(self.protocol.abort(_FRAME_TIMEOUT_TEXT))

    def eviction_rank(self, now_s: float) -> EvictionRank | None:
        """Return the connection's rank when connections are closed at the connection limit.

        None means that the connection must not be closed, because the client waits for an answer or is
        writing a request, and keeps to the protocol. `now_s` is in monotonic seconds.
        """
        if self.closing.is_write_shut or (self.is_closing and not self.protocol.open_streams):
            return EvictionRank.CLOSING
        if self.protocol.has_exceeded_limit:
            return EvictionRank.EXCESSIVE
        if self._is_in_use or self.reader.has_unhandled_input:
            return None
        return self.client.eviction_rank(now_s, self._is_within_frame)

    # Requests and answers

    def handle_event(self, event: frames.FrameEvent, received: Received | None = None) -> None:
        """Handle a frame; `received` tells when a request arrived."""
        match event:
            case frames.Request():
                assert received is not None
                self._queue_request(event, received)
            case frames.Cancel():
                query = self._remove_query(event.stream)
                self._close_stream(event.stream)
                if query is not None:
                    self.host.gateway.client_left(query)
                self._answer_taken(event.stream)
                self._close_if_answered()
            case frames.ReadinessCheck():
                code = frames.IS_READY if self.host.ready() else frames.NOT_READY
                self.send_queue.put(frames.format_ready(event.stream, code))
            case frames.BadRequest():
                self.client.request_received(time.monotonic())
                self.reader.unusable_frame_count += 1
                log.event("client", "request not accepted", reason=event.reason)
                self._answer(event.stream, self.host.reject("crowded"))
            case frames.DuplicateStream():
                self.reader.unusable_frame_count += 1
                log.event("client", "request on a stream that was used before", stream=event.stream)
                self.send_queue.put(_format_error(0, f"stream {event.stream} was used before"))
            case frames.ProtocolViolation():
                log.event("client", "invalid frame", reason=event.reason)
                self.send_queue.put(_format_error(0, event.reason))
                self._close_if_answered()

    def _queue_request(self, event: frames.Request, received: Received) -> None:
        """Let the request wait for its turn among those of all connections, or refuse it without memory."""
        self.client.request_received(time.monotonic())
        size = REQUEST_COPIES * len(event.payload) + QUERY_STATE_BYTES
        if not self.memory.hold_request(event.stream, size):
            self._answer(event.stream, self.host.reject("crowded"))
            return
        gateway, now_us = self.host.gateway, self.host.gateway.clock.now_us()
        gateway.metrics.unread_time.observe((now_us - received.arrived_at_us) / US_PER_S)
        head = frames.peek_request(event.payload)
        if head.allowed_us and received.earliest_at_us + head.allowed_us <= now_us:
            self._answer(event.stream, self.host.reject("overdue"))
            return
        waits_from_us, waits_us = now_us, MAX_QUEUED_US
        if head.allowed_us is not None and received.earliest_at_us + head.allowed_us < now_us + MAX_QUEUED_US:
            waits_from_us, waits_us = received.earliest_at_us, head.allowed_us
        reads_late = self.reader.reads_late
        request = self.host.scheduler.requests.add(
            self.reader,
            received.arrived_at_us,
            head.order_key,
            lambda: self._start_request(event, received.earliest_at_us, reads_late),
        )
        watchdog = gateway.watch(
            waits_from_us, waits_us, lambda: self._refuse_queued(event.stream, "overdue")
        )
        self._queued_requests[event.stream] = _QueuedRequest(request, watchdog, now_us)

    def _refuse_queued(self, stream: int, reason: str) -> None:
        """Refuse a request that has not been started, if it still waits."""
        if self._leave_queue(stream):
            self._answer(stream, self.host.reject(reason))

    def _leave_queue(self, stream: int) -> bool:
        """Take a request out of the queue, and return whether it was there."""
        queued = self._queued_requests.pop(stream, None)
        if queued is None:
            return False
        queued.request.cancel()
        queued.watchdog.cancel()
        waited_us = self.host.gateway.clock.now_us() - queued.queued_at_us
        self.host.gateway.metrics.queued_time.observe(waited_us / US_PER_S)
        return True

    def _start_request(self, event: frames.Request, received_at_us: int, was_read_late: bool) -> None:
        self._leave_queue(event.stream)
        try:
            self._submit(event, received_at_us, was_read_late)
        except Exception as e:  # a bug in the proxy fails only this request, which still gets its answer
            log.event("fault", "handling a request failed", error=repr(e))
            self._answer(event.stream, Failed())

    def check_client(self) -> None:
        """End the open requests of a client that has left, or may have left without the process's knowledge.

        Reads alone would tell too late: the close comes after all bytes that the client sent before it.
        """
        if self.close_if_client_left():
            return
        self.reader.catch_up()
        if not self.closed and self.reader.may_hide_cancellation:
            self._terminate_queries()

    def close_if_client_left(self) -> bool:
        """Close the connection if its client has, and return whether it is closed."""
        if not self.closed and self.reader.peer.has_closed:
            self._record_close(CloseReason.CLIENT_CLOSED)
            self.close()
        return self.closed

    def _submit(self, event: frames.Request, received_at_us: int, was_read_late: bool) -> None:
        host = self.host
        if event.stream not in self.protocol.open_streams:  # cancelled, or the client has gone
            return
        if self.close_if_client_left():
            return
        reason = host.rejection_reason()
        if self.send_queue.full or self.reader.may_hide_cancellation:
            reason = reason or "client reads or writes too fast"
        if reason:
            self._answer(event.stream, host.reject(reason))
            return
        try:
            parsed = frames.parse_query(event.payload, host.request_validator)
        except frames.FieldError as e:
            self._answer_bad_request(event.stream, str(e))
            return
        if was_read_late and parsed.arrival.key is not None and self._is_overtaken(received_at_us):
            self._answer(event.stream, host.reject("read late"))
            return
        if parsed.ref in host.refs:
            self._answer_bad_request(event.stream, "ref is that of an open or an earlier request")
            return
        stream = event.stream
        query = Query(
            parsed.ref,
            parsed.arrival,
            parsed.idempotency_key,
            parsed.statement,
            lambda answer: self._answer(stream, answer),
            self.check_client,
        )
        self.queries[stream] = query
        host.refs.opened(parsed.ref)
        host.gateway.submit(query, received_at_us)

    def _is_overtaken(self, received_at_us: int) -> bool:
        """Return whether a request that arrived later, and may have the same key, was handled before."""
        return self.host.scheduler.requests.started_until_us > received_at_us

    def _answer_bad_request(self, stream: int, reason: str) -> None:
        log.event("client", "bad request", reason=reason)
        self.reader.unusable_frame_count += 1
        self._close_stream(stream)
        self.send_queue.put(_format_error(stream, reason))
        self._close_if_answered()

    def _answer(self, stream: int, answer: Answer) -> None:
        """Queue the answer, unless the request on the stream has been answered or cancelled."""
        query = self._remove_query(stream)
        if stream not in self.protocol.open_streams:
            return
        self._close_stream(stream)
        self.client.answered(time.monotonic())
        if isinstance(answer, Served) and self.send_queue.full and self.host.memory.is_exhausted:
            answer = Failed()  # a client that does not read its results cannot have more of them
        match answer:
            case Served():
                frame = frames.format_answer(stream, frames.SERVED, {}, answer.body)
            case Refused():
                retry_after_ms = answer.retry_after_us // 1000
                fields = {"cooldown": str(retry_after_ms)} if retry_after_ms > 0 else {}
                frame = frames.format_answer(stream, frames.REFUSED, fields)
            case _:
                frame = frames.format_answer(stream, frames.FAILED, {})
        self.send_queue.put(frame, on_taken=self._on_answer_taken(stream, query))
        self._close_if_answered()

    def _on_answer_taken(self, stream: int, query: Query | None) -> Callable[[], None]:
        """Return the call for when the kernel has taken the answer."""
        gateway, answered_at_us = self.host.gateway, self.host.gateway.clock.now_us()
        if query is not None and query.awaits_delivery:
            self._untaken_answers[stream] = query

        def on_taken() -> None:
            waited_us = gateway.clock.now_us() - answered_at_us
            gateway.metrics.answer_queued_time.observe(waited_us / US_PER_S)
            self._answer_taken(stream)

        return on_taken

    def _answer_taken(self, stream: int) -> None:
        query = self._untaken_answers.pop(stream, None)
        if query is not None:
            self.host.gateway.answer_delivered(query)

    def _remove_query(self, stream: int) -> Query | None:
        query = self.queries.pop(stream, None)
        if query is not None:
            self.host.refs.closed(query.ref, query.was_sent, time.monotonic())
        return query

    def _close_stream(self, stream: int) -> None:
        self._leave_queue(stream)
        self.protocol.close_stream(stream)
        self.memory.release_request(stream)

    def _close_if_answered(self) -> None:
        """After an invalid frame, close the connection once all requests received before it are answered."""
        if self.protocol.broken and not self.protocol.open_streams:
            self.close_when_idle(CloseReason.INVALID_FRAME)


def _format_error(stream: int, reason: str) -> bytes:
    return frames.format_answer(stream, frames.FAILED, {}, reason.encode())
