"""Client of the command channel: reads events, and reconnects after the last event that it applied."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from hollowhitch import log
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.dial import dial
from hollowhitch.net.turns import Turn
from hollowhitch.protocol.buffer import ReceiveBuffer
from hollowhitch.protocol.channel import (
    ChannelError,
    ChannelProtocol,
    Command,
    ServerEvent,
    decode_event,
    format_request,
)

PATH = "/cmd/next"
CONNECT_TIMEOUT_S = 1.0
# Seconds without a byte after which the client calls the channel again. The channel sends a comment each
# second, and 7 s after an event was sent, every proxy counts as having received it.
READ_TIMEOUT_S = 2.5
# Bounds of the delay before the client reconnects, in seconds. It doubles after each connection without a new
# event, and half of it is random: when the channel comes back, or ends all connections at once, the proxies
# must not all connect at the same moment.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.5
# Number of calls without a first byte that are kept open at once: the oldest, which a slow channel may answer
# next, and the latest, in case the others were lost.
MAX_WAITING_CALLS = 4
MAX_EVENT_FAILURES = 3  # number of connections on which an event must be undecodable before it is skipped


class ChannelClient:
    """Client that reads the channel's events after `cursor`.

    It calls `apply_command` once for each event, in order. `apply_command` must not block. `seed` is that of
    the random delays.
    """

    def __init__(
        self, cursor: int, apply_command: Callable[[Command], None], metrics: Metrics, seed: int = 0
    ) -> None:
        self._address: Address | None = None
        self.cursor, self._apply_command, self._metrics = cursor, apply_command, metrics
        self._gap_cursor = -1  # cursor after which a gap in the events was last found
        self._event_failures = 0  # number of connections on which decoding the next event failed
        self._rng = random.Random(seed)
        self._runner: gevent.Greenlet | None = None
        self._calls: list[gevent.Greenlet] = []  # the open calls, the oldest first
        self._answered_call: gevent.Greenlet | None = None  # the call whose response has begun
        self._call_changed = Event()  # a call was answered or has ended

    def follow(self, address: Address | None) -> None:
        """Follow the channel at `address` from the current cursor on, or no channel if `address` is None.

        The connection to the previous address is ended at once, so no further event comes from it. No event
        is lost, because an event is applied without a greenlet switch.
        """
        if self._runner is not None and address == self._address and not self._runner.dead:
            return
        if self._runner is not None:
            self._runner.kill(block=False)
        self._end_calls()
        self._address, self._gap_cursor, self._event_failures = address, -1, 0
        self._runner = gevent.spawn(self._run, address) if address is not None else None

    def _run(self, address: Address) -> None:
        """Call the channel again and again.

        A call that is not answered in time stays open while further ones are made: a channel that always
        takes long for its first byte would otherwise never be heard.
        """
        backoff_s = MIN_BACKOFF_S
        while True:
            previous_cursor = self.cursor
            self._start_call(address)
            self._call_changed.wait(READ_TIMEOUT_S)
            if self._answered_call is not None:
                self._answered_call.join()
            backoff_s = MIN_BACKOFF_S if self.cursor != previous_cursor else min(2 * backoff_s, MAX_BACKOFF_S)
            gevent.sleep(self.jittered_delay_s(backoff_s))

    def _start_call(self, address: Address) -> None:
        self._calls = [call for call in self._calls if not call.dead]
        if len(self._calls) >= MAX_WAITING_CALLS:
            self._calls.pop().kill(block=False)
        self._answered_call = None
        self._call_changed.clear()
        self._calls.append(gevent.spawn(self._call, address))

    def _end_calls(self, kept: gevent.Greenlet | None = None) -> None:
        for call in self._calls:
            if call is not kept:
                call.kill(block=False)
        self._calls = [] if kept is None else [kept]

    def _call(self, address: Address) -> None:
        try:
            self._read_events(address)
        except (OSError, ChannelError) as e:
            log.event("channel", "connection ended", cursor=self.cursor, error=repr(e))
        self._call_changed.set()

    def _call_answered(self) -> None:
        """Follow the current greenlet's call, whose response has begun, and end the others."""
        self._answered_call = gevent.getcurrent()
        self._end_calls(kept=self._answered_call)
        self._call_changed.set()

    def jittered_delay_s(self, max_delay_s: float) -> float:
        """Return a random delay between half of `max_delay_s` and `max_delay_s`.

        It does not exceed `max_delay_s`, because soon after an event was sent, the proxy counts as having
        received it, even if it was not connected then.
        """
        return max_delay_s * self._rng.uniform(0.5, 1.0)

    def _read_events(self, address: Address) -> None:
        with dial(address, CONNECT_TIMEOUT_S, self._metrics) as sock:
            sock.settimeout(None)
            host_port = f"{address[0]}:{address[1]}"
            sock.sendall(format_request(PATH, host_port, self.cursor))
            protocol, buffer, turn = ChannelProtocol(), ReceiveBuffer(), Turn()
            while not protocol.ended:
                with buffer.reserve() as free_space:
                    count = sock.recv_into(free_space)
                    if count and self._answered_call is not gevent.getcurrent():
                        self._call_answered()
                        sock.settimeout(READ_TIMEOUT_S)
                    turn.began()
                    events = protocol.feed(free_space[:count]) if count else []
                if count == 0:
                    return
                for event in events:
                    self.process_event(event)
                    turn.yield_if_over()
                turn.yield_if_over()  # also after comments, of which there may be any number

    def process_event(self, event: ServerEvent) -> None:
        """Apply an event, unless it was applied before.

        Raise ChannelError if the event cannot be decoded or does not follow the last one, so that the client
        reconnects and receives the events after its cursor again. If a gap is still there then, it is
        accepted. An event that cannot be decoded on MAX_EVENT_FAILURES connections is skipped.
        """
        try:
            command = decode_event(event)
        except ChannelError as e:
            self._event_failures += 1
            if self._event_failures < MAX_EVENT_FAILURES or not event.id.isdigit():
                raise
            # An event that can never be decoded is skipped, because it would block all later events.
            log.event("channel", "undecodable event skipped", cursor=self.cursor, error=e)
            self.cursor, self._event_failures = max(self.cursor, int(event.id)), 0
            return
        if command.cursor <= self.cursor:
            return
        if command.cursor > self.cursor + 1 and self._gap_cursor != self.cursor:
            # After the client reconnects, the channel sends the missed events if it still has them.
            self._gap_cursor = self.cursor
            raise ChannelError(f"gap before event {command.cursor}: the last event was {self.cursor}")
        self.cursor, self._event_failures = command.cursor, 0
        self._apply_command(command)
