"""Stub load balancer, which checks whether proxies are ready to take new connections."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from faults import wire
from faults.proxies import Proxy
from faults.records import ReadinessRecord, RunRecord

CHECK_INTERVAL_S = 0.1  # seconds between the readiness checks of one proxy
NOT_READY_DELAY_S = 0.2  # seconds for which a proxy that is not ready still gets new connections
CONNECT_TIMEOUT_S = 1.0


class LoadBalancer:
    """Checks each proxy in a separate greenlet, over one connection for as long as the proxy keeps it."""

    def __init__(self, run: RunRecord, proxies: list[Proxy]) -> None:
        self.run = run
        self._not_ready_since: dict[str, float] = {}
        self._checkers = [gevent.spawn(self._check_forever, proxy) for proxy in proxies]

    def sends_to(self, proxy: Proxy) -> bool:
        """Return whether new connections are sent to this proxy."""
        not_ready_since = self._not_ready_since.get(proxy.name)
        return not_ready_since is None or time.monotonic() < not_ready_since + NOT_READY_DELAY_S

    def stop(self) -> None:
        """Stop the readiness checks."""
        gevent.killall(self._checkers)

    def _check_forever(self, proxy: Proxy) -> None:
        while True:
            try:
                with socket.create_connection(proxy.address, CONNECT_TIMEOUT_S) as sock:
                    self._check_over(proxy, sock)
            except OSError:
                pass  # a proxy that is down needs no record here: clients see that it refuses connections
            gevent.sleep(CHECK_INTERVAL_S)

    def _check_over(self, proxy: Proxy, sock: socket.socket) -> None:
        reader, stream = wire.FrameReader(), 0
        while True:
            stream += 1
            asked_at = time.monotonic()
            sock.sendall(wire.encode_frame(wire.READINESS_CHECK, stream))
            ready = self._read_answer(sock, reader, stream)
            if ready is None:
                return
            self.run.readiness.append(ReadinessRecord(proxy.name, "frame", asked_at, time.monotonic(), ready))
            if ready:
                self._not_ready_since.pop(proxy.name, None)
            else:
                self._not_ready_since.setdefault(proxy.name, time.monotonic())
            gevent.sleep(CHECK_INTERVAL_S)

    def _read_answer(self, sock: socket.socket, reader: wire.FrameReader, stream: int) -> bool | None:
        """Return whether the proxy is ready, or None if it closed the connection."""
        while data := sock.recv(4096):
            for frame in reader.feed(data):
                if frame.kind == wire.READY and frame.stream == stream:
                    return frame.payload[0] == wire.IS_READY
        return None
