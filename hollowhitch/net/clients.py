"""The clients' connections: each with a reader, a writer and a bounded outbox of its own."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from hollowhitch.config import Config
from hollowhitch.gateway import Answer, Failed, Gateway, Query, Refused, Served
from hollowhitch.log import say
from hollowhitch.net.arrivals import Arrivals, receive, want_times
from hollowhitch.net.outbox import Outbox
from hollowhitch.protocol import frames
from hollowhitch.protocol.tables import table_group

OUTBOX_MOST = 256 * 1024  # bytes that wait for a client before no more is read from it
HELD_MOST = 32 << 20  # bytes of statements and of answers not yet written, over all clients
IDLE_S = 30.0  # without a byte while nothing is open, or with a write that does not move
LINGER_S = 0.5  # for the client to read what was written, after we have ended
TURN = 32  # frames read from one connection before others have a turn


class ClientConnection:
    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.protocol = frames.ClientProtocol()
        self.outbox = Outbox(sock, OUTBOX_MOST)
        self.queries: dict[int, Query] = {}  # by stream
        self.warned = self.ending = False

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
            say("fault", f"reading from a client: {type(e).__name__}: {e}")
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
            self.outbox.wait_for_room()
            try:
                with protocol.buffer.room() as room:
                    count, at_us = receive(self.sock, room, self.front.gateway.clock.now_us)
            except TimeoutError:
                if protocol.open and not self.ending:
                    continue
                return
            if count == 0:
                return
            for turn, event in enumerate(protocol.received(count), 1):
                self._take(event, at_us)
                if turn % TURN == 0:
                    gevent.sleep(0)

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
                if event.crowded:
                    self._answer(event.stream, self.front.turned_away())
                else:
                    self._bad(event.stream, event.reason)
            case frames.Duplicate():
                say("client", f"stream {event.stream} was used before")
                self.outbox.put(_error(0, f"stream {event.stream} was used before"))
            case frames.Broken():
                say("client", event.reason)
                self.outbox.put(_error(0, event.reason))
                self._end_if_done()

    def _begin(self, event: frames.Request, at_us: int) -> None:
        try:
            self._request(event, at_us)
        except Exception as e:  # a fault of ours costs this request, which is answered all the same
            say("fault", f"taking a request: {type(e).__name__}: {e}")
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
            ref, arrived, replay = frames.read_query(event, front.gateway.classes, group)
        except frames.FieldError as e:
            self._bad(event.stream, str(e))
            return
        stream = event.stream
        query = Query(ref, arrived, replay, event.body, lambda answer: self._answer(stream, answer))
        self.queries[stream] = query
        front.held += len(event.body)
        front.gateway.take(query, at_us)

    def _bad(self, stream: int, reason: str) -> None:
        say("client", f"a request that can't be used: {reason}")
        self.protocol.answered(stream)
        self.outbox.put(_error(stream, reason))
        self._end_if_done()

    def _answer(self, stream: int, answer: Answer) -> None:
        """One whole answer for each stream, never two."""
        self._forget(stream)
        if stream not in self.protocol.open:
            return
        self.protocol.answered(stream)
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

    def __init__(self, config: Config, gateway: Gateway) -> None:
        self.config, self.gateway = config, gateway
        self.arrivals = Arrivals()
        self.connections: set[ClientConnection] = set()
        self.held = 0  # bytes of the statements that are open
        self.closing = self.closed = False  # asked to end; takes nothing new
        self._server = StreamServer(config.listen, self._serve, backlog=512, spawn=Pool(config.clients_most))

    def start(self) -> None:
        self._server.start()

    def ready(self) -> bool:
        return not self.closing and any(self.gateway.controller.open_for)

    def crowded(self, more: int) -> bool:
        """Guards the memory limit, and the module's own limit on open queries."""
        if self.gateway.unanswered >= self.config.open_most:
            return True
        return self.held + more + sum(c.outbox.size for c in self.connections) > HELD_MOST

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
        connection = ClientConnection(self, sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
