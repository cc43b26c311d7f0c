"""Follows the command channel: calls, reads events, calls again from where it was."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent

from hollowhitch import log
from hollowhitch.config import Address
from hollowhitch.metrics import Metrics
from hollowhitch.net.dial import dial
from hollowhitch.protocol.buffer import ReceiveBuffer
from hollowhitch.protocol.channel import (
    ChannelError,
    ChannelProtocol,
    Command,
    ServerEvent,
    decode_event,
    format_call,
)

PATH = "/cmd/next"
CONNECT_S = 1.0
SILENT_S = 2.5  # a comment comes each second; what was missed counts as told 7 s after it was
PAUSE_S, PAUSE_MOST_S = 0.05, 0.5  # between calls; doubles while they fail. Half of each is drawn by chance:
# a channel that comes back, or ends all calls at once, must not be called by all proxies in step
BAD_MOST = 3  # calls that fail at the same event before it is passed over


class ChannelFollower:
    def __init__(
        self, cursor: int, apply: Callable[[Command], None], metrics: Metrics, seed: int = 0
    ) -> None:
        self._address: Address | None = None
        self.cursor, self._apply, self._metrics = cursor, apply, metrics
        self._gap_at = -1  # the cursor at which a gap was seen
        self._bad = 0
        self._rng = random.Random(seed)
        self._caller: gevent.Greenlet | None = None

    def follow(self, address: Address | None) -> None:
        """Call there from now on, from where we are; None: nowhere. A call to the old address ends at once:
        it tells nothing more. Nothing is lost with it, since an event is applied without a switch."""
        if self._caller is not None and address == self._address and not self._caller.dead:
            return
        if self._caller is not None:
            self._caller.kill(block=False)
        self._address, self._gap_at, self._bad = address, -1, 0
        self._caller = gevent.spawn(self._run) if address is not None else None

    def _run(self) -> None:
        pause = PAUSE_S
        while (address := self._address) is not None:
            before = self.cursor
            try:
                self._call(address)
            except (OSError, ChannelError) as e:
                log.event("channel", "call ended", cursor=self.cursor, error=repr(e))
            pause = PAUSE_S if self.cursor != before else min(2 * pause, PAUSE_MOST_S)
            gevent.sleep(self.drawn(pause))

    def drawn(self, pause: float) -> float:
        """Never longer than told: what the channel has to tell counts as told soon after, heard or not."""
        return pause * self._rng.uniform(0.5, 1.0)

    def _call(self, address: Address) -> None:
        with dial(address, CONNECT_S, self._metrics) as sock:
            sock.settimeout(SILENT_S)
            host = f"{address[0]}:{address[1]}"
            sock.sendall(format_call(PATH, host, self.cursor))
            protocol, buffer = ChannelProtocol(), ReceiveBuffer()
            while not protocol.ended:
                with buffer.room() as room:
                    count = sock.recv_into(room)
                    events = protocol.feed(room[:count]) if count else []
                if count == 0:
                    return
                for event in events:
                    self.take(event)

    def take(self, event: ServerEvent) -> None:
        """Apply an event, once and in its turn."""
        try:
            command = decode_event(event)
        except ChannelError as e:
            self._bad += 1
            if self._bad < BAD_MOST or not event.id.isdigit():
                raise
            # Guards against an event that never can be read: without it no later one would be heard.
            log.event("channel", "event passed over", cursor=self.cursor, error=e)
            self.cursor, self._bad = max(self.cursor, int(event.id)), 0
            return
        if command.cursor <= self.cursor:
            return
        if command.cursor > self.cursor + 1 and self._gap_at != self.cursor:
            self._gap_at = self.cursor  # called again, the channel sends what was missed, if it still can
            raise ChannelError(f"event {command.cursor} follows {self.cursor}")
        self.cursor, self._bad = command.cursor, 0
        self._apply(command)
