"""A stand-in operator: calls a proxy's console and records each order and its answer."""

from __future__ import annotations

import time

from gevent import socket

from faults.proxies import Proxy
from faults.records import OrderRecord, ReadinessRecord, Run

ANSWER_WITHIN_S = 3.0  # longer than any answer may take, so that a late one is recorded as late
ANSWER_BYTES = 65_536


class Operator:
    """Calls the consoles of one run's proxies, one call to a connection."""

    def __init__(self, run: Run) -> None:
        self.run = run

    def drain(self, proxy: Proxy) -> OrderRecord:
        return self.order(proxy, "/drain")

    def undrain(self, proxy: Proxy) -> OrderRecord:
        return self.order(proxy, "/undrain")

    def disable(self, proxy: Proxy, server: str, expect_yes: bool = True) -> OrderRecord:
        return self.order(proxy, "/databases/disable", server, expect_yes)

    def enable(self, proxy: Proxy, server: str, expect_yes: bool = True) -> OrderRecord:
        return self.order(proxy, "/databases/enable", server, expect_yes)

    def order(self, proxy: Proxy, path: str, subject: str = "", expect_yes: bool = True) -> OrderRecord:
        """Give an order; the record tells what came of it."""
        record = OrderRecord(proxy.name, path, subject, time.monotonic(), expect_yes)
        self.run.orders.append(record)
        body = subject.encode()
        head = f"POST {path} HTTP/1.1\r\nHost: console\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            record.status, record.text = call(proxy.console, head.encode() + body)
            record.answered_at = time.monotonic()
        except ConnectionRefusedError:
            record.refused = True
        except (OSError, ValueError):
            pass  # no answer: the record says so
        return record

    def ask_ready(self, proxy: Proxy) -> bool | None:
        """Is it ready, by its console? None without an answer."""
        asked_at = time.monotonic()
        try:
            status, _ = call(proxy.console, b"GET /ready HTTP/1.1\r\nHost: console\r\n\r\n")
        except (OSError, ValueError):
            return None
        ready = 200 <= status < 300
        self.run.readiness.append(ReadinessRecord(proxy.name, "console", asked_at, time.monotonic(), ready))
        return ready


def call(address: tuple[str, int], request: bytes) -> tuple[int, str]:
    """Status and body of the answer; OSError or ValueError without one."""
    with socket.create_connection(address, ANSWER_WITHIN_S) as sock:
        sock.sendall(request)
        answer = b""
        while data := sock.recv(ANSWER_BYTES):
            answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), body.decode()
