"""A stand-in command channel: numbered events over server-sent events, with outages and silences."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from faults.acceptor import Acceptor
from faults.records import Run, ServerState
from faults.servers import Server

COMMENT_S = 1.0  # between comments


@dataclass(frozen=True, slots=True)
class Member:
    """A server as a list names it."""

    server: Server
    phase: str = "active"
    up_since_ms: int = 0

    def as_json(self) -> dict[str, Any]:
        return {
            "id": self.server.name,
            "host_port": f"{self.server.host}:{self.server.port}",
            "locality": "z",
            "flavor": "k",
            "cell": 0,
            "phase": self.phase,
            "size": 1,
            "up_since_ms": self.up_since_ms,
        }


class Channel:
    """Tells all proxies of one run what changes in the list of servers."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.events: list[dict[str, Any]] = []
        self._connections: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()  # calls that hear nothing, not even comments
        self._acceptor = Acceptor("127.0.0.1", self._serve)
        self.address = "{}:{}".format(*self._acceptor.address)

    def tell(self, *members: Member, complete: bool = False) -> None:
        """Add an event; every proxy counts as told from now on, or soon where the channel is down."""
        cursor = len(self.events) + 1
        rows = [member.as_json() for member in members]
        self.events.append(
            {"cursor": cursor, "nodes": {"revision": cursor, "complete": complete, "members": rows}}
        )
        now = time.monotonic()
        for member in members:
            started_at = now if member.up_since_ms else None
            self.run.states.append(ServerState(member.server.name, member.phase, now, started_at))

    def known(self) -> dict[str, Any]:
        return {"cursor": len(self.events), "cmds": list(self.events)}

    def silence(self) -> None:
        """Let every open call hear nothing any more; new calls are served."""
        self.run.channel_troubles.append(time.monotonic())
        self._silent |= self._connections

    def drop_all(self) -> None:
        """End every open call."""
        self.run.channel_troubles.append(time.monotonic())
        for sock in list(self._connections):
            sock.close()

    def _serve(self, sock: socket.socket) -> None:
        self._connections.add(sock)
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                data = sock.recv(4096)
                if not data:
                    return
                head += data
            cursor = 0
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    cursor = int(value)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self._stream(sock, cursor)
        except OSError:
            pass
        finally:
            self._connections.discard(sock)
            self._silent.discard(sock)
            sock.close()

    def _stream(self, sock: socket.socket, cursor: int) -> None:
        commented_at = 0.0
        while True:
            if sock in self._silent:
                gevent.sleep(0.05)
                continue
            while cursor < len(self.events):
                event = self.events[cursor]
                cursor += 1
                sock.sendall(f"id: {cursor}\ndata: {json.dumps(event)}\n\n".encode())
            if time.monotonic() - commented_at >= COMMENT_S:
                sock.sendall(b": alive\n\n")
                commented_at = time.monotonic()
            gevent.sleep(0.01)
