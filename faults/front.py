"""A stand-in front: asks proxies whether they are ready, and opens connections only to those that are."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from faults import wire
from faults.proxies import Proxy
from faults.records import ReadinessRecord, Run

ASK_EVERY_S = 0.1
NOTICE_S = 0.2  # after a no, until new connections stop
ANSWER_WITHIN_S = 1.0


class Front:
    """One greenlet a proxy asks on a connection of its own, as long as the proxy keeps that."""

    def __init__(self, run: Run, proxies: list[Proxy]) -> None:
        self.run = run
        self._said_no_at: dict[str, float] = {}
        self._askers = [gevent.spawn(self._ask_forever, proxy) for proxy in proxies]

    def takes(self, proxy: Proxy) -> bool:
        """Are new connections still sent to this proxy?"""
        said_no_at = self._said_no_at.get(proxy.name)
        return said_no_at is None or time.monotonic() < said_no_at + NOTICE_S

    def stop(self) -> None:
        gevent.killall(self._askers)

    def _ask_forever(self, proxy: Proxy) -> None:
        while True:
            try:
                with socket.create_connection(proxy.address, ANSWER_WITHIN_S) as sock:
                    self._ask_on(proxy, sock)
            except OSError:
                pass  # a proxy that is down is noticed by its clients
            gevent.sleep(ASK_EVERY_S)

    def _ask_on(self, proxy: Proxy, sock: socket.socket) -> None:
        reader, stream = wire.FrameReader(), 0
        while True:
            stream += 1
            asked_at = time.monotonic()
            sock.sendall(wire.encode_frame(wire.ASK_READY, stream))
            ready = self._answer(sock, reader, stream)
            if ready is None:
                return
            self.run.readiness.append(ReadinessRecord(proxy.name, "frame", asked_at, time.monotonic(), ready))
            if ready:
                self._said_no_at.pop(proxy.name, None)
            else:
                self._said_no_at.setdefault(proxy.name, time.monotonic())
            gevent.sleep(ASK_EVERY_S)

    def _answer(self, sock: socket.socket, reader: wire.FrameReader, stream: int) -> bool | None:
        """Yes or no; None where the proxy closed instead."""
        while data := sock.recv(4096):
            for frame in reader.feed(data):
                if frame.kind == wire.READY and frame.stream == stream:
                    return frame.payload[0] == wire.YES
        return None
