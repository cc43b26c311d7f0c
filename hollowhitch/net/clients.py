"""The clients' connections: each with a reader, a writer and a bounded outbox of its own."""

from __future__ import annotations

import array
import fcntl
import termios
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from hollowhitch import log
from hollowhitch.config import Config
from hollowhitch.gateway import Answer, Failed, Gateway, Query, Refused, Served
from hollowhitch.net.arrivals import Arrivals, Receiver, want_times
from hollowhitch.net.heartbeat import Heartbeat
from hollowhitch.net.outbox import Outbox
from hollowhitch.protocol import frames
from hollowhitch.protocol.tables import table_group

OUTBOX_MOST = 256 * 1024  # bytes that wait for a client before no more is read from it
IDLE_S = 30.0  # without a byte while nothing is open, or with a write that does not move
WHOLE_S = 2.0  # from connecting, or from a frame's first byte, until it is whole
FRESH_S = 0.25  # after connecting, in which a request may well be on its way
SWEEP_S = 0.25  # between looks at who is past these times
LINGER_S = 0.5  # for the client to read what was written, after we have ended
TURN = 32  # frames read from one connection before others have a turn
EVICTED = 8  # connections closed at once to make room: whoever is there too many seldom comes alone
PACE_S, PACE_MOST_S = 0.01, 0.5  # pause in reading, for each frame so far that could not be used
DISCARD_S = 0.05  # between reads of what follows bytes that were no frame
LARGE = 8192  # frames above it are looked at before they are buffered
HALF, IDLE = "no whole frame in time", "idle"


class ClientConnection:
    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.protocol = frames.ClientProtocol()
        self.outbox = Outbox(sock, OUTBOX_MOST)
        self.receiver = Receiver(sock, front.gateway.clock, front.heartbeat)
        self.queries: dict[int, Query] = {}  # by stream
        self.warned = self.ending = False
        self.asked = False  # it has sent a whole frame
        self.moved = self.frame_since = time.monotonic()  # last byte read or answer; first byte of a frame
        self.offences = 0

    def run(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        want_times(self.sock)
        self.sock.settimeout(IDLE_S)
        writer = gevent.spawn(self._write)
        try:
            self._read()
        except OSError:
            pass  # a client that is gone, in whatever way
        except Exception as e:  # a fault of ours costs this connection, with its queries given up below
            log.event("fault", "reading from a client failed", error=repr(e))
        finally:
            for stream, query in list(self.queries.items()):
                self._forget(stream)
                self.front.gateway.left(query)
            self.protocol.open.clear()  # nor is anything taken that was read and has not had its turn
            self.outbox.close()
            writer.kill(block=False)
            self.sock.close()

    def warn(self) -> None:
        """No new request on this connection, please."""
        if not self.warned:
            self.warned = True
            self.outbox.put(frames.format_frame(frames.CLOSING, 0))

    def _read(self) -> None:
        protocol = self.protocol
        while True:
            if self.outbox.full:
                self.receiver.pause()
                self.outbox.wait_for_room()
            try:
                with protocol.buffer.room() as room:
                    count, at_us = self.receiver.receive(room)
            except TimeoutError:
                continue  # who is silent for too long is the sweep's to tell
            if count == 0:
                return
            self.moved, offences = time.monotonic(), self.offences
            if not len(protocol.buffer):
                self.frame_since = self.moved
            events = protocol.received(count, lambda size: size <= LARGE or self.front.room_for(size))
            if events:
                self.asked, self.frame_since = True, self.moved
            for turn, event in enumerate(events, 1):
                self._take(event, at_us)
                if turn % TURN == 0:
                    self.receiver.pause()
                    gevent.sleep(0)
            if protocol.broken or self.offences > offences:
                self.receiver.pause()
            if protocol.broken:  # what comes now is thrown away, and must not cost the other clients our time
                gevent.sleep(DISCARD_S)
            elif self.offences > offences:
                gevent.sleep(min(self.offences * PACE_S, PACE_MOST_S))

    def overdue(self, now: float) -> str | None:
        """Why it is to be closed by now, if it is. One that is quiet between requests may be
        so for long, one that never came to the point or stopped within a frame may not."""
        if self.ending or self.protocol.broken:
            return None
        if not self.asked or len(self.protocol.buffer) or self.protocol.skipping:
            return HALF if now - self.frame_since > WHOLE_S else None
        quiet = not self.protocol.open and self.outbox.idle
        return IDLE if quiet and now - self.moved > IDLE_S else None

    def end_overdue(self, why: str) -> None:
        if why == IDLE:
            self.hang_up()
        elif not self.pending():  # else it is we who are late
            self._take(self.protocol.give_up(why), 0)

    def rank(self, now: float) -> int | None:
        """Whom to part with first where all places are taken; None: it waits for an answer of ours."""
        if self.ending:
            return 0
        if self.protocol.open or not self.outbox.idle:
            return None
        if not self.asked:
            return 1 if now - self.frame_since > FRESH_S else 3
        return 2

    def pending(self) -> bool:
        """Has it sent what we have not read yet?"""
        count = array.array("i", [0])
        if not self.outbox.closed:
            fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, count)
        return count[0] > 0

    def hang_up(self) -> None:
        self.outbox.close()
        self.sock.close()  # which ends the reader
        self.front.connections.discard(self)

    def _write(self) -> None:
        try:
            self.outbox.run()
            self.sock.shutdown(socket.SHUT_WR)
            self.sock.settimeout(LINGER_S)
            gevent.sleep(LINGER_S)
        except OSError:
            pass
        self.outbox.close()
        self.sock.close()  # which ends the reader too

    def _take(self, event: frames.FrameEvent, at_us: int) -> None:
        match event:
            case frames.Request():
                self.front.arrivals.add(at_us, lambda: self._begin(event, at_us))
            case frames.Gone():
                query = self._forget(event.stream)
                self.protocol.answered(event.stream)
                if query is not None:
                    self.front.gateway.left(query)
                self._end_if_done()
            case frames.AskReady():
                code = frames.YES if self.front.ready() else frames.NO
                self.outbox.put(frames.format_ready(event.stream, code))
            case frames.BadRequest():
                self.offences += 1
                if event.crowded:
                    self._answer(event.stream, self.front.turned_away())
                else:
                    self._bad(event.stream, event.reason)
            case frames.Duplicate():
                self.offences += 1
                log.event("client", "stream was used before", stream=event.stream)
                self.outbox.put(_error(0, f"stream {event.stream} was used before"))
            case frames.Broken():
                log.event("client", "bytes that are no frame", reason=event.reason)
                self.outbox.put(_error(0, event.reason))
                self._end_if_done()

    def _begin(self, event: frames.Request, at_us: int) -> None:
        try:
            self._request(event, at_us)
        except Exception as e:  # a fault of ours costs this request, which is answered all the same
            log.event("fault", "taking a request failed", error=repr(e))
            self._answer(event.stream, Failed())

    def _request(self, event: frames.Request, at_us: int) -> None:
        front = self.front
        if event.stream not in self.protocol.open:  # its client has left meanwhile
            return
        if front.closed or front.crowded(len(event.body)):
            self._answer(event.stream, front.turned_away())
            return
        try:
            group = table_group(event.body.decode("utf-8", "replace"))
            ref, arrived, replay = frames.read_query(event, front.terms, group)
        except frames.FieldError as e:
            self._bad(event.stream, str(e))
            return
        if ref in front.refs:  # each request has a new one; engines know only one statement by it
            self._bad(event.stream, "ref is that of an open request")
            return
        stream = event.stream
        query = Query(ref, arrived, replay, event.body, lambda answer: self._answer(stream, answer))
        self.queries[stream] = query
        front.refs.add(ref)
        front.held += len(event.body)
        front.gateway.take(query, at_us)

    def _bad(self, stream: int, reason: str) -> None:
        log.event("client", "request cannot be used", reason=reason)
        self.offences += 1
        self.protocol.answered(stream)
        self.outbox.put(_error(stream, reason))
        self._end_if_done()

    def _answer(self, stream: int, answer: Answer) -> None:
        """One whole answer for each stream, never two."""
        self._forget(stream)
        if stream not in self.protocol.open:
            return
        self.protocol.answered(stream)
        self.moved = time.monotonic()
        match answer:
            case Served():
                frame = frames.format_answer(stream, frames.SERVED, {}, answer.body)
            case Refused():
                wait_ms = answer.retry_after_us // 1000
                fields = {"cooldown": str(wait_ms)} if wait_ms > 0 else {}
                frame = frames.format_answer(stream, frames.REFUSED, fields)
            case _:
                frame = frames.format_answer(stream, frames.FAILED, {})
        self.outbox.put(frame)
        self._end_if_done()

    def _forget(self, stream: int) -> Query | None:
        query = self.queries.pop(stream, None)
        if query is not None:
            self.front.held -= len(query.statement)
            self.front.refs.discard(query.ref)
        return query

    def _end_if_done(self) -> None:
        """After bytes that were no frame, what had been taken before is still answered; then we end."""
        if self.protocol.broken and not self.protocol.open and not self.ending:
            self.ending = True
            self.outbox.finish()


def _error(stream: int, reason: str) -> bytes:
    return frames.format_answer(stream, frames.FAILED, {}, reason.encode())


class Front:
    """The listener and all its connections."""

    def __init__(self, config: Config, gateway: Gateway, heartbeat: Heartbeat) -> None:
        self.config, self.gateway, self.heartbeat = config, gateway, heartbeat
        self.arrivals = Arrivals()
        self.terms = frames.Terms(config.settings)
        self.refs: set[str] = set()  # of the requests that are open
        self.connections: set[ClientConnection] = set()
        self.held = 0  # bytes of the statements that are open
        self.closing = self.closed = False  # asked to end; takes nothing new
        self._server = StreamServer(config.listen, self._serve, backlog=512)

    def start(self) -> None:
        self._server.start()
        gevent.spawn(self._sweep_forever)

    def _sweep_forever(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            now = time.monotonic()
            for connection in list(self.connections):
                if why := connection.overdue(now):
                    connection.end_overdue(why)

    def ready(self) -> bool:
        return not self.closing and any(self.gateway.controller.open_for)

    def crowded(self, more: int) -> bool:
        """Guards the memory limit, and the module's own limit on open queries."""
        return self.gateway.unanswered >= self.config.open_most or not self.room_for(more)

    def room_for(self, size: int) -> bool:
        """Can so many bytes more be held for clients?"""
        held = sum(c.outbox.size + len(c.protocol.buffer.data) for c in self.connections)
        return self.held + held + size <= self.config.held_most

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
            connection.hang_up()
            free -= 1
            if not free or rank == 3:
                break
        return len(self.connections) < self.config.clients_most

    def turned_away(self) -> Refused:
        return Refused(self.gateway.settings.limits.retry_after_us or 0)

    def warn_all(self) -> None:
        for connection in list(self.connections):
            connection.warn()

    @property
    def address(self) -> tuple[str, int]:
        return self._server.address

    def stop_listening(self) -> None:
        self._server.close()

    @property
    def written(self) -> bool:
        return all(c.outbox.idle for c in self.connections)

    def end_all(self) -> None:
        for connection in list(self.connections):
            connection.ending = True
            connection.outbox.finish()

    def _serve(self, sock: socket.socket, _address: object) -> None:
        if not self._make_room():
            sock.close()
            return
        connection = ClientConnection(self, sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
