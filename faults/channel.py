"""Stub of the command channel: numbered events as server-sent events, with outages on demand."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from faults.acceptor import Acceptor
from faults.engines import StubEngine
from faults.records import EngineAnnouncement, RunRecord

COMMENT_INTERVAL_S = 1.0  # seconds between the comments that keep a connection alive


@dataclass(frozen=True, slots=True)
class Member:
    """An engine as the command channel describes it."""

    engine: StubEngine
    phase: str = "active"
    up_since_ms: int = 0  # wall clock time of its start; 0 for an engine that started long ago
    name: str = ""  # id of another engine process at the stub's address; the stub's own by default
    zone: str = "z"
    cell: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the entry that describes the engine in an event's list of members."""
        return {
            "id": self.name or self.engine.name,
            "host_port": f"{self.engine.host}:{self.engine.port}",
            "locality": self.zone,
            "flavor": "k",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1,
            "up_since_ms": self.up_since_ms,
        }


class CommandChannel:
    """Announces changes of the engine list to all proxies of one run."""

    def __init__(self, run: RunRecord) -> None:
        self.run = run
        self.events: list[dict[str, Any]] = []
        self._connections: set[socket.socket] = set()
        self._silenced: set[socket.socket] = set()  # get no events and no comments
        self._acceptor = Acceptor("127.0.0.1", self._serve)
        self.address = "{}:{}".format(*self._acceptor.address)

    def announce(self, *members: Member, complete: bool = False) -> None:
        """Add an event, and record when it was announced.

        `complete` says that these members are the whole list. The checker expects every proxy to know the
        event from now on, or MAX_DELIVERY_DELAY_S later if there is an outage of the channel.
        """
        cursor = len(self.events) + 1
        rows = [member.as_json() for member in members]
        self.events.append(
            {"cursor": cursor, "nodes": {"revision": cursor, "complete": complete, "members": rows}}
        )
        now = time.monotonic()
        for member in members:
            slow_start_began_at = now if member.up_since_ms else None
            self.run.announcements.append(
                EngineAnnouncement(member.engine.name, member.phase, now, slow_start_began_at)
            )

    def known_state(self) -> dict[str, Any]:
        """Return all events so far, as the `known` section of a proxy's configuration."""
        return {"cursor": len(self.events), "cmds": list(self.events)}

    def silence(self) -> None:
        """Send nothing more on the connections that are open now; connections opened later are served."""
        self.run.channel_outages.append(time.monotonic())
        self._silenced |= self._connections

    def drop_connections(self) -> None:
        """Close every open connection."""
        self.run.channel_outages.append(time.monotonic())
        for sock in list(self._connections):
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        self._connections.add(sock)
        try:
            request_head = b""
            while b"\r\n\r\n" not in request_head:
                data = sock.recv(4096)
                if not data:
                    return
                request_head += data
            cursor = 0
            for line in request_head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    cursor = int(value)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self._stream(sock, cursor)
        except OSError:
            pass
        finally:
            self._connections.discard(sock)
            self._silenced.discard(sock)
            sock.close()

    def _stream(self, sock: socket.socket, cursor: int) -> None:
        last_comment_at = 0.0
        while True:
            if sock in self._silenced:
                gevent.sleep(0.05)
                continue
            while cursor < len(self.events):
                event = self.events[cursor]
                cursor += 1
                sock.sendall(f"id: {cursor}\ndata: {json.dumps(event)}\n\n".encode())
            if time.monotonic() - last_comment_at >= COMMENT_INTERVAL_S:
                sock.sendall(b": alive\n\n")
                last_comment_at = time.monotonic()
            gevent.sleep(0.01)
