"""Stub operator, which calls a proxy's console and records each order and its answer."""

from __future__ import annotations

import time

from gevent import socket

from faults.proxies import Proxy
from faults.records import OrderRecord, ReadinessRecord, RunRecord

ANSWER_TIMEOUT_S = 3.0  # longer than any answer may take, so that a late answer is recorded with its time
READ_BYTES = 65_536


class Operator:
    """Calls the consoles of one run's proxies, each call on a new connection."""

    def __init__(self, run: RunRecord) -> None:
        self.run = run

    def drain(self, proxy: Proxy) -> OrderRecord:
        """Order a proxy to report that it is not ready and to close its client connections."""
        return self.order(proxy, "/drain")

    def undrain(self, proxy: Proxy) -> OrderRecord:
        """Order a proxy to end its drain."""
        return self.order(proxy, "/undrain")

    def disable(self, proxy: Proxy, engine_name: str, expects_success: bool = True) -> OrderRecord:
        """Order a proxy to send nothing to an engine."""
        return self.order(proxy, "/databases/disable", engine_name, expects_success)

    def enable(self, proxy: Proxy, engine_name: str, expects_success: bool = True) -> OrderRecord:
        """Order a proxy to use a disabled engine again."""
        return self.order(proxy, "/databases/enable", engine_name, expects_success)

    def order(
        self, proxy: Proxy, path: str, engine_name: str = "", expects_success: bool = True
    ) -> OrderRecord:
        """Give an order and return its record, which holds the answer.

        With `expects_success` set to False, the checker expects the console to reject the order.
        """
        record = OrderRecord(proxy.name, path, engine_name, time.monotonic(), expects_success)
        self.run.orders.append(record)
        body = engine_name.encode()
        head = f"POST {path} HTTP/1.1\r\nHost: console\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            record.status, record.text = call_console(proxy.console_address, head.encode() + body)
            record.answered_at = time.monotonic()
        except ConnectionRefusedError:
            record.refused = True
        except (OSError, ValueError):
            pass  # the record stays without an answer
        return record

    def check_readiness(self, proxy: Proxy) -> bool | None:
        """Record and return whether the console says that the proxy is ready; None without an answer."""
        asked_at = time.monotonic()
        try:
            status, _ = call_console(proxy.console_address, b"GET /ready HTTP/1.1\r\nHost: console\r\n\r\n")
        except (OSError, ValueError):
            return None
        ready = 200 <= status < 300
        self.run.readiness.append(ReadinessRecord(proxy.name, "console", asked_at, time.monotonic(), ready))
        return ready


def call_console(address: tuple[str, int], request: bytes) -> tuple[int, str]:
    """Return the status and body of the console's answer; raise OSError or ValueError without one."""
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as sock:
        sock.sendall(request)
        answer = b""
        while data := sock.recv(READ_BYTES):
            answer += data
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), body.decode()
