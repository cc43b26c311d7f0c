"""Reading of one client connection, in turns that an `InputScheduler` gives."""

from __future__ import annotations

import enum
import time
from typing import Protocol

import gevent
from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.net.client_activity import ClientActivity
from hollowhitch.net.input_scheduler import InputScheduler
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.memory_budget import ConnectionMemory
from hollowhitch.net.peer_state import PeerState
from hollowhitch.net.receive_times import Received, Receiver
from hollowhitch.net.request_queue import MAX_UNREAD_US
from hollowhitch.net.system_call_errors import RETRY_DELAY_S, ErrorOrigin, SystemCall, error_origin
from hollowhitch.net.timers import SingleTimer
from hollowhitch.net.unread import unread_bytes
from hollowhitch.protocol import frames
from hollowhitch.protocol.buffer import MIN_FREE_BYTES

LARGE_FRAME_BYTES = 4096  # frames above this size are buffered only if the memory limit allows it
# Seconds before the next read for each unusable frame that the client has sent so far, and the longest such
# delay.
UNUSABLE_FRAME_DELAY_S, MAX_UNUSABLE_FRAME_DELAY_S = 0.01, 0.5
# Longest delay in seconds after an unusable frame while requests are open, because a cancellation must be
# noticed within 0.1 s.
MAX_DELAY_WITH_OPEN_S = 0.05
DISCARD_INTERVAL_S = 0.05  # seconds between reads of input that is discarded
# Bytes that a client can always send before this process has to read. If more were read at once, the client
# may have waited for space, and more of its input may be on its way.
RECEIVE_WINDOW_BYTES = 32_768
SETTLE_S = 0.002  # seconds for which nothing more may arrive then, before all input counts as read
READABLE = 1  # event of the event loop's watchers


class PauseReason(enum.Enum):
    """Why a connection is not read although there may be input."""

    DELAY = "delay"  # until a time
    UNREAD_ANSWERS = "unread answers"  # until the client reads


class InputHandler(Protocol):
    """The connection whose input is read."""

    protocol: frames.ClientProtocol
    memory: ConnectionMemory
    client: ClientActivity

    @property
    def discarded_input(self) -> bytearray:
        """Space for input that nobody looks at."""

    @property
    def discards_input(self) -> bool:
        """Whether all further input is discarded, because the connection is being closed."""

    def handle_event(self, event: frames.FrameEvent, received: Received) -> None:
        """Handle one frame of the input."""

    def before_turn(self) -> None:
        """Prepare for further input; this may pause the reading."""

    def input_read(self) -> None:
        """Note that a read was handled, or that there was nothing to read."""

    def input_is_late(self) -> None:
        """Note that input has been unread for too long."""

    def input_ended(self) -> None:
        """Note that the client has closed its side, or that the connection has failed."""


class ConnectionReader:
    """Reads a client's socket without blocking, and passes the frames on. Times are on the proxy's clock."""

    def __init__(
        self,
        handler: InputHandler,
        receiver: Receiver,
        sock: socket.socket,
        scheduler: InputScheduler,
        clock: Clock,
        loop_monitor: LoopMonitor,
    ) -> None:
        self._handler, self._receiver, self._sock = handler, receiver, sock
        self._scheduler, self._clock, self._loop_monitor = scheduler, clock, loop_monitor
        self.peer = PeerState(sock)
        self.unusable_frame_count = 0
        self._delayed_frame_count = 0  # unusable frames for which reading was delayed
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self._delay_timer = SingleTimer()  # runs while reading is paused for a time
        self._settle_timer = SingleTimer()  # runs while more input may be on its way
        self._bytes_read = 0  # since input was unread
        self._is_closed = False
        self._pause_reasons: set[PauseReason] = set()
        self._paused_at_us: int | None = None
        self._unread_since_us: int | None = None  # since when input is known to be unread; None: it is not
        self._waited_before_us = 0  # for how long that input may have waited before it was known
        self._received: Received | None = None  # the last read, while frames of it may be in the buffer
        self._reads_late = False  # what is read next may have arrived long before requests of others
        self._is_reported_late = False

    def start(self) -> None:
        """Read whenever there is input."""
        self._watcher.start(self._on_readable)

    def close(self) -> None:
        """Read no more. This has to be called before the socket is closed."""
        if self._is_closed:
            return
        self._is_closed = True
        self._watcher.stop()
        self._watcher.close()
        self._delay_timer.stop()
        self._settle_timer.stop()
        self._received = None
        self._scheduler.nothing_to_read(self)
        self._scheduler.requests.input_is_read(self)
        self._receiver.close()
        del self._handler  # it refers to this reader, and would otherwise wait for a garbage collection

    # When input is read

    def _on_readable(self) -> None:
        self._settle_timer.stop()
        if self._unread_since_us is None:
            self._unread_since_us = self._clock.now_us()
            self._waited_before_us = self._loop_monitor.unpolled_time_us
            self._bytes_read = 0
            self._scheduler.requests.input_is_unread(self, self._receiver.earliest_unread_us())
        self._scheduler.has_input(self)

    def _nothing_is_left(self) -> None:
        """Note that all that has arrived is read, and whether more may be on its way."""
        self._scheduler.nothing_to_read(self)
        if self._bytes_read < RECEIVE_WINDOW_BYTES:
            self._everything_is_read()
        else:
            self._settle_timer.start(SETTLE_S, self._everything_is_read)

    def _everything_is_read(self) -> None:
        self._settle_timer.stop()
        if self._paused_at_us is None:
            self._unread_since_us = None
            self._reads_late = self._is_reported_late = False
            self._scheduler.requests.input_is_read(self)

    def pause(self, reason: PauseReason) -> None:
        """Read nothing until `resume`. Requests of others do not wait for this input meanwhile."""
        if self._is_closed:
            return
        self._pause_reasons.add(reason)
        if self._paused_at_us is not None:
            return
        self._paused_at_us = self._clock.now_us()
        self._receiver.pause()
        self._watcher.stop()
        self._scheduler.nothing_to_read(self)
        self._scheduler.requests.stop_waiting_for(self)
        self._reads_late = True

    def resume(self, reason: PauseReason) -> None:
        """Read again, unless there is another reason for the pause."""
        self._pause_reasons.discard(reason)
        if self._paused_at_us is None or self._pause_reasons or self._is_closed:
            return
        self._paused_at_us = None
        self._watcher.start(self._on_readable)
        if self._unread_since_us is not None:
            self._scheduler.has_input(self)

    def _pause_for(self, seconds: float) -> None:
        self.pause(PauseReason.DELAY)
        self._delay_timer.start(seconds, lambda: self.resume(PauseReason.DELAY))

    @property
    def reads_late(self) -> bool:
        """Whether what is read now may have arrived long before requests of others that were started."""
        return self._reads_late or self.is_late

    @property
    def is_late(self) -> bool:
        """Whether input has been unread for so long that others do not wait for it any more."""
        return self._has_been_unread_for(MAX_UNREAD_US)

    def _has_been_unread_for(self, duration_us: int) -> bool:
        since_us = self._unread_since_us
        return since_us is not None and self._clock.now_us() - since_us >= duration_us

    @property
    def may_hide_cancellation(self) -> bool:
        """Whether a cancellation, or the client's close, may have been unread for too long."""
        if self._unread_since_us is not None or self._paused_at_us is None:
            return self._has_been_unread_for(MAX_UNREAD_US - self._waited_before_us)
        return self._clock.now_us() - self._paused_at_us >= MAX_UNREAD_US and unread_bytes(self._sock) > 0

    def catch_up(self) -> None:
        """Read now if a cancellation may be overdue, as after a stall, in which the input had no turn."""
        if self.may_hide_cancellation and self._may_read:
            self._scheduler.read_now(self)

    @property
    def has_unhandled_input(self) -> bool:
        """Whether bytes are unread, or complete frames may wait in the buffer."""
        return self._received is not None or unread_bytes(self._sock) > 0

    # Turns

    def take_turn(self, duration_us: int) -> None:
        """Read and handle input for about that time, see `InputReader`."""
        try:
            self._take_turn(self._clock.now_us() + duration_us)
        except Exception as e:  # a bug in the proxy ends only this connection and its queries
            log.event("fault", "serving a client connection failed", error=repr(e))
            if not self._is_closed:
                self._handler.input_ended()

    def _take_turn(self, ends_at_us: int) -> None:
        self._handler.before_turn()
        if self._receiver.is_behind and self.peer.has_closed:
            self._handler.input_ended()  # nobody waits for the rest of the input
        while self._may_read:
            if self._received is None and not self._read():
                return
            self._handle_frames(ends_at_us)
            if self._received is None and self._may_read:
                self._handler.input_read()
                self._after_read()
            if self._clock.now_us() >= ends_at_us:
                break
        if self._may_read and self.is_late and not self._is_reported_late:
            self._is_reported_late = True
            self._handler.input_is_late()

    @property
    def _may_read(self) -> bool:
        """Whether the connection is still in its turn: neither paused nor closed, nor without input."""
        return self._unread_since_us is not None and self._paused_at_us is None and not self._is_closed

    def _read(self) -> bool:
        """Read once; return whether there are bytes to handle."""
        try:
            received = self._receive()
        except BlockingIOError:
            self._nothing_is_left()
            self._handler.input_read()
            return False
        except OSError as e:
            if error_origin(SystemCall.RECEIVE, e) is ErrorOrigin.LOCAL:
                self._pause_for(RETRY_DELAY_S)
            else:
                self._handler.input_ended()
            return False
        if received.byte_count == 0:
            self._handler.input_ended()
            return False
        self._received = received
        self._bytes_read += received.byte_count
        return True

    def _receive(self) -> Received:
        """Read once, into the buffer of incomplete frames unless the input is to be discarded."""
        handler, protocol = self._handler, self._handler.protocol
        now_s = time.monotonic()
        if handler.discards_input or protocol.broken or protocol.bytes_to_skip:
            size = protocol.bytes_to_skip or len(handler.discarded_input)
            with memoryview(handler.discarded_input)[:size] as part:
                received = self._receiver.receive(part)
            handler.client.bytes_read(now_s, begins_frame=False)
            protocol.skip(received.byte_count)
            return received
        min_bytes = protocol.missing_bytes() if handler.memory.has_reserved_frame else MIN_FREE_BYTES
        with (
            protocol.buffer.reserve(max(min_bytes, MIN_FREE_BYTES)) as free_space,
            free_space[: self._read_size(len(free_space))] as part,
        ):
            received = self._receiver.receive(part)
        handler.client.bytes_read(now_s, begins_frame=not len(protocol.buffer))
        protocol.commit(received.byte_count)
        return received

    def _read_size(self, free_bytes: int) -> int:
        """Return how many bytes to read at once, at most.

        After a stall, one frame is read at once, so that each frame gets its own arrival time.
        """
        is_exact = self._receiver.has_backlog and not self.reads_late
        return self._handler.protocol.missing_bytes() if is_exact else free_bytes

    def _handle_frames(self, ends_at_us: int) -> None:
        """Handle the frames that are complete, until the time is over."""
        handler, received = self._handler, self._received
        assert received is not None
        if handler.discards_input:  # the client will see the close, and send it again
            self._received = None
            return
        while not self._is_closed:
            event = handler.protocol.next_event(self._may_buffer)
            if event is None:
                self._received = None
                return
            handler.client.frame_completed()
            handler.memory.release_frame()
            handler.handle_event(event, received)
            if self._clock.now_us() >= ends_at_us and len(handler.protocol.buffer):
                return

    def _may_buffer(self, size: int) -> bool:
        return size <= LARGE_FRAME_BYTES or self._handler.memory.reserve_frame(size)

    def _after_read(self) -> None:
        """Read on, wait for more input, or wait for longer if this client's input is unusable."""
        protocol = self._handler.protocol
        if not self._receiver.is_behind:
            self._nothing_is_left()
        is_unusable = self.unusable_frame_count > self._delayed_frame_count
        self._delayed_frame_count = self.unusable_frame_count
        if protocol.broken or self._handler.discards_input:
            self._pause_for(DISCARD_INTERVAL_S)
        elif is_unusable:
            max_delay_s = MAX_DELAY_WITH_OPEN_S if protocol.open_streams else MAX_UNUSABLE_FRAME_DELAY_S
            self._pause_for(min(self.unusable_frame_count * UNUSABLE_FRAME_DELAY_S, max_delay_s))
