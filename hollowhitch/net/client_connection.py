"""A client's connection, with a reader, a writer and a bounded send queue of its own."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.audit import Audit, Rule
from hollowhitch.call_heap import DueCall
from hollowhitch.config import QUERY_STATE_BYTES
from hollowhitch.gateway import Answer, Failed, Gateway, Query, Refused, Served
from hollowhitch.lifecycle import ConnectionActivity, ConnectionStage
from hollowhitch.net.arrival_queue import MAX_BEHIND_US, ArrivalQueue
from hollowhitch.net.client_activity import ClientActivity, EvictionRank
from hollowhitch.net.connection_closing import CloseReason, ConnectionClosing, PendingInput
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.memory_budget import ConnectionMemory, MemoryBudget
from hollowhitch.net.peer_state import PeerState
from hollowhitch.net.query_refs import QueryRefs
from hollowhitch.net.receive_times import Received, Receiver, enable_receive_timestamps
from hollowhitch.net.send_queue import SendQueue
from hollowhitch.net.unread import unread_bytes
from hollowhitch.protocol import frames
from hollowhitch.protocol.buffer import MIN_FREE_BYTES

MAX_QUEUED_BYTES = 256 * 1024  # bytes queued for a client above which its new requests are refused
READ_PAUSE_BYTES = 512 * 1024  # bytes queued for a client above which nothing more is read from it
SOCKET_TIMEOUT_S = 30.0  # seconds after which a write without progress fails
# Seconds for the client to read the last answers and close, after the write side is shut down.
LINGER_S = 0.5
# Seconds before the next read for each unusable frame that the client has sent so far, and the longest such
# delay.
UNUSABLE_FRAME_DELAY_S, MAX_UNUSABLE_FRAME_DELAY_S = 0.01, 0.5
# Longest delay in seconds after an unusable frame while requests are open, because a cancellation must be
# noticed within 0.1 s.
MAX_DELAY_WITH_OPEN_S = 0.05
DISCARD_INTERVAL_S = 0.05  # seconds between reads of input that is discarded
REQUEST_COPIES = 3  # copies of a request that are in memory while it is submitted and written to an engine
LARGE_FRAME_BYTES = 4096  # frames above this size are buffered only if the memory limit allows it
_FRAME_TIMEOUT_TEXT = CloseReason.FRAME_TIMEOUT.value
# Size in bytes and number of the reads that discard unread bytes before a socket is closed.
DISCARD_READ_BYTES, MAX_DISCARD_READS = 65_536, 16


class ConnectionHost(Protocol):
    """The frontend that owns a connection, as the connection uses it."""

    gateway: Gateway
    loop_monitor: LoopMonitor
    audit: Audit
    arrival_queue: ArrivalQueue
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


class ClientConnection:
    """A connection that reads requests, submits them in order of arrival, and writes the answers.

    `ConnectionClosing` says when the write side is shut down. Bytes that arrive later were sent before the
    client noticed, and are discarded. After LINGER_S the socket is closed.
    """

    def __init__(
        self, host: ConnectionHost, sock: socket.socket, pending_since_us: int | None = None
    ) -> None:
        self.host, self.sock = host, sock
        self.protocol = frames.ClientProtocol()
        self.closing = ConnectionClosing()
        self.memory = ConnectionMemory(host.memory)
        self.send_queue = SendQueue(sock, MAX_QUEUED_BYTES, READ_PAUSE_BYTES, budget=host.memory)
        self.peer = PeerState(sock)
        self.receiver = Receiver(sock, host.gateway.clock, host.loop_monitor, pending_since_us)
        self.queries: dict[int, Query] = {}  # open queries, by stream
        self._queued_requests: dict[int, DueCall] = {}  # requests that wait for their turn, by stream
        # Queries with an order key whose answers the kernel has not taken yet, by stream.
        self._untaken_answers: dict[int, Query] = {}
        self.has_sent_closing = False  # the client was asked to send no new requests on this connection
        self.client = ClientActivity(time.monotonic())
        self.unusable_frame_count = 0
        self._throttled_frame_count = 0  # unusable frames for which the next reads were delayed
        self._is_handling_frames = False  # the buffer may contain complete frames
        self._reads_late = False  # what is read next may have arrived long before requests of others
        self._writer: gevent.Greenlet | None = None

    def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            with contextlib.suppress(OSError):  # the connection also works without these options
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                enable_receive_timestamps(self.sock)
            self.sock.settimeout(SOCKET_TIMEOUT_S)
            self._writer = gevent.spawn(self._write)
            self._read()
        except OSError:
            pass  # the connection is broken, so nothing can be answered
        except Exception as e:  # a bug in the proxy ends only this connection and its queries
            log.event("fault", "serving a client connection failed", error=repr(e))
            self._record_close(CloseReason.FAULT)
        finally:
            self.close()

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
        for query in list(self.queries.values()):
            self.host.gateway.terminate_query(query)
        if len(self.protocol.buffer) and not self.protocol.broken and not self._has_pending_input:
            self.memory.release_frame()
            self._handle_event(self.protocol.abort(_FRAME_TIMEOUT_TEXT))

    def close(self) -> None:
        """Close the connection now, and drop its open requests, because no client waits for them."""
        if self.closed:
            return
        self.closing.is_closed = True
        for stream, query in list(self.queries.items()):
            self._remove_query(stream)
            self.host.gateway.client_left(query)
        for call in self._queued_requests.values():
            call.cancel()
        self._queued_requests.clear()
        self.protocol.open_streams.clear()
        self.memory.release_all()
        self.host.arrival_queue.input_is_read(self)
        self.send_queue.close()
        # The writer's traceback would otherwise reference this connection until a garbage collection.
        writer, self._writer = self._writer, None
        if writer is not None and writer is not gevent.getcurrent():
            writer.kill(block=False)
        self.discard_unread()
        self.sock.close()  # ends the reader too
        self.host.connection_closed(self)

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

    # Reading

    def _read(self) -> None:
        while not self.closed:
            self._wait_for_slow_client()
            if self.receiver.is_behind and self.peer.has_closed:
                return  # nobody waits for the rest of the input
            self._check_lateness()
            try:
                received = self._receive()
            except TimeoutError:
                continue  # the frontend's sweep closes connections that are silent for too long
            if received.byte_count == 0:
                return
            if not self.closing.is_write_shut:  # otherwise the client will see the close, and send it again
                self._handle_frames(received)
            if not self.receiver.is_behind:
                self._reads_late = False
            if self.is_closing:
                self.send_queue.wake()  # this may have been the last input that its close waited for
            self._throttle()

    def _receive(self) -> Received:
        """Read once, into the buffer of incomplete frames unless the input is to be discarded."""
        protocol = self.protocol
        if self.closing.is_write_shut or protocol.broken or protocol.bytes_to_skip:
            size = protocol.bytes_to_skip or len(self.host.discarded_input)
            with memoryview(self.host.discarded_input)[:size] as part:
                received = self.receiver.receive(part)
            self.client.bytes_read(time.monotonic(), begins_frame=False)
            protocol.skip(received.byte_count)
            return received
        min_bytes = protocol.missing_bytes() if self.memory.has_reserved_frame else MIN_FREE_BYTES
        with (
            protocol.buffer.reserve(max(min_bytes, MIN_FREE_BYTES)) as free_space,
            free_space[: self._read_size(len(free_space))] as part,
        ):
            received = self.receiver.receive(part)
        self.client.bytes_read(time.monotonic(), begins_frame=not len(protocol.buffer))
        protocol.commit(received.byte_count)
        return received

    def _handle_frames(self, received: Received) -> None:
        """Handle the frames that are complete, and let other greenlets run whenever the loop is overdue."""
        if not self._reads_late:
            self.host.arrival_queue.input_is_unread(self, received.earliest_at_us)
        self._is_handling_frames = True
        while not self.closed and (event := self.protocol.next_event(self._may_buffer)) is not None:
            self.client.frame_completed()
            self.memory.release_frame()
            self._handle_event(event, received)
            if len(self.protocol.buffer) and self.host.loop_monitor.poll_overdue:
                self.receiver.pause()
                yield_to_loop()
                self._check_lateness()
        self._is_handling_frames = False
        if self._reads_late or not self.receiver.is_behind:
            self.host.arrival_queue.input_is_read(self)

    def _check_lateness(self) -> None:
        """Let others not wait for the input of this connection, if it has been behind for too long."""
        if self.receiver.may_hide_close() or self.receiver.has_been_behind_for(MAX_BEHIND_US):
            self._reads_late = True
            self.host.arrival_queue.input_is_read(self)

    def _pause_reading(self) -> None:
        """Note that nothing is read for a while, and that the requests of others do not wait for it."""
        self.receiver.pause()
        self.host.arrival_queue.input_is_read(self)
        self._reads_late = True

    def _read_size(self, free_bytes: int) -> int:
        """Return how many bytes to read at once, at most.

        With a backlog, one frame is read at once, so that each frame gets its own arrival time. Otherwise all
        free space in the buffer is used.
        """
        return self.protocol.missing_bytes() if self.receiver.has_backlog else free_bytes

    def _may_buffer(self, size: int) -> bool:
        return size <= LARGE_FRAME_BYTES or self.memory.reserve_frame(size)

    def _wait_for_slow_client(self) -> None:
        """Stop reading while too many bytes are queued for the client, which bounds the memory used for it.

        While nothing is read, cancellations would go unnoticed, and no attempt may be started after the
        client has gone. So its open queries are terminated first.
        """
        if self.send_queue.above_threshold:
            self._pause_reading()
            for query in list(self.queries.values()):
                self.host.gateway.terminate_query(query)
            self.send_queue.wait_below_threshold()

    def _throttle(self) -> None:
        """Wait before the next read if this client's input would otherwise delay other clients."""
        is_unusable = self.unusable_frame_count > self._throttled_frame_count
        self._throttled_frame_count = self.unusable_frame_count
        if self.protocol.broken or self.closing.is_write_shut:  # all further input is discarded
            self._pause_reading()
            gevent.sleep(DISCARD_INTERVAL_S)
        elif is_unusable:
            self._pause_reading()
            max_delay_s = MAX_DELAY_WITH_OPEN_S if self.protocol.open_streams else MAX_UNUSABLE_FRAME_DELAY_S
            gevent.sleep(min(self.unusable_frame_count * UNUSABLE_FRAME_DELAY_S, max_delay_s))
        elif self.host.loop_monitor.poll_overdue and unread_bytes(self.sock):
            # Without unread bytes, the next read blocks and so lets other greenlets run.
            self.receiver.pause()
            yield_to_loop()

    @property
    def _is_within_frame(self) -> bool:
        return len(self.protocol.buffer) > 0 or self.protocol.bytes_to_skip > 0

    @property
    def _has_pending_input(self) -> bool:
        """Whether bytes are unread, or complete frames may wait in the buffer."""
        return self._is_handling_frames or unread_bytes(self.sock) > 0

    @property
    def _is_in_use(self) -> bool:
        """Whether a request is open, or an answer is being written."""
        return bool(self.protocol.open_streams) or not self.send_queue.idle

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection, or give up its incomplete frame, if its client has been silent for too long.

        A client may be silent for long between requests, but not before its first frame or within a frame.
        `now_s` is in monotonic seconds.
        """
        if self.protocol.broken or self.closing.is_write_shut or self._has_pending_input:
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
            self._handle_event(event)
        elif not self.protocol.open_streams:
            self._record_close(CloseReason.FRAME_TIMEOUT)
            self._handle_event(self.protocol.abort(_FRAME_TIMEOUT_TEXT))

    def eviction_rank(self, now_s: float) -> EvictionRank | None:
        """Return the connection's rank when connections are closed at the connection limit.

        None means that the connection must not be closed, because the client waits for an answer or is
        writing a request. `now_s` is in monotonic seconds.
        """
        if self.closing.is_write_shut or (self.is_closing and not self.protocol.open_streams):
            return EvictionRank.CLOSING
        if self._is_in_use or self._has_pending_input:
            return None
        return self.client.eviction_rank(now_s, self._is_within_frame)

    # Requests and answers

    def _handle_event(self, event: frames.FrameEvent, received: Received | None = None) -> None:
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
                self.unusable_frame_count += 1
                log.event("client", "request not accepted", reason=event.reason)
                self._answer(event.stream, self.host.reject("crowded"))
            case frames.DuplicateStream():
                self.unusable_frame_count += 1
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
        reads_late = self._reads_late
        self._queued_requests[event.stream] = self.host.arrival_queue.add(
            received.arrived_at_us,
            lambda is_overdue: self._start_request(event, received.earliest_at_us, is_overdue, reads_late),
        )

    def _start_request(
        self, event: frames.Request, received_at_us: int, is_overdue: bool, was_read_late: bool
    ) -> None:
        self._queued_requests.pop(event.stream, None)
        try:
            if is_overdue:
                self._answer(event.stream, self.host.reject("crowded"))
            else:
                self._submit(event, received_at_us, was_read_late)
        except Exception as e:  # a bug in the proxy fails only this request, which still gets its answer
            log.event("fault", "handling a request failed", error=repr(e))
            self._answer(event.stream, Failed())

    def check_client(self) -> None:
        """End the open requests of a client that has left, or may have left without the process's knowledge.

        Reads alone would tell too late: the close comes after all bytes that the client sent before it.
        """
        if self.closed:
            return
        if self.peer.has_closed:
            self._record_close(CloseReason.CLIENT_CLOSED)
            self.close()
        elif self.receiver.may_hide_close():
            for query in list(self.queries.values()):
                self.host.gateway.terminate_query(query)

    def _submit(self, event: frames.Request, received_at_us: int, was_read_late: bool) -> None:
        host = self.host
        if event.stream not in self.protocol.open_streams:  # cancelled, or the client has gone
            return
        self.check_client()
        if self.closed:
            return
        reason = host.rejection_reason()
        if self.send_queue.full or self.receiver.may_hide_close():
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
        return self.host.arrival_queue.handled_until_us > received_at_us

    def _answer_bad_request(self, stream: int, reason: str) -> None:
        log.event("client", "bad request", reason=reason)
        self.unusable_frame_count += 1
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
        if self.send_queue.full and self.host.memory.is_exhausted:
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

    def _on_answer_taken(self, stream: int, query: Query | None) -> Callable[[], None] | None:
        """Return the call for when the kernel has taken the answer; None if nothing depends on it."""
        if query is None or not query.awaits_delivery:
            return None
        self._untaken_answers[stream] = query
        return lambda: self._answer_taken(stream)

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
        if (call := self._queued_requests.pop(stream, None)) is not None:
            call.cancel()
        self.protocol.close_stream(stream)
        self.memory.release_request(stream)

    def _close_if_answered(self) -> None:
        """After an invalid frame, close the connection once all requests received before it are answered."""
        if self.protocol.broken and not self.protocol.open_streams:
            self.close_when_idle(CloseReason.INVALID_FRAME)


def _format_error(stream: int, reason: str) -> bytes:
    return frames.format_answer(stream, frames.FAILED, {}, reason.encode())
