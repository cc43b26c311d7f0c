"""Server of the console, with limits on connections, bytes and time so that no operator delays the others."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from gevent import socket

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.config import Address
from hollowhitch.console.protocol import RequestError, RequestParser, Response
from hollowhitch.console.routes import ROUTES, Operations, handle
from hollowhitch.metrics import Metrics
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.listener import Listener
from hollowhitch.net.receive_times import AcceptWait
from hollowhitch.net.system_call_errors import SystemCall, retry_transient
from hollowhitch.net.unread import unread_bytes

REQUEST_TIMEOUT_S = 2.0  # from connecting until the request is complete
WRITE_TIMEOUT_S = 1.0  # for each write of the response
LINGER_S = 0.5  # after the response, for the operator to read it and close the connection
READ_BYTES = 4_096  # size of one read
MAX_DISCARDED_BYTES = 262_144  # limit on the bytes that are discarded after the response


class Console:
    """Server for operators' requests."""

    def __init__(
        self,
        address: Address,
        operations: Operations,
        max_connections: int,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._operations, self._max_connections, self._metrics = operations, max_connections, metrics
        self._listener = Listener(address, self._admit, metrics, clock)
        self._connections: dict[OperatorConnection, None] = {}  # an ordered set, the oldest first

    def start(self) -> None:
        """Start to listen. Raise OSError if the address cannot be bound."""
        self._listener.start()

    @property
    def address(self) -> Address:
        """The address that the console listens on, with the actual port if any free port was configured."""
        return self._listener.address

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        for connection in list(self._connections):
            connection.close()

    def _admit(self, sock: socket.socket, _: AcceptWait) -> Callable[[], None]:
        if len(self._connections) >= self._max_connections:
            self._evict()
        connection = OperatorConnection(sock)
        self._connections[connection] = None
        return partial(self._serve, connection)

    def _serve(self, connection: OperatorConnection) -> None:
        try:
            response = connection.read_request(self._answer)
            if response is not None:
                connection.send_response(response)
        except OSError:
            pass  # the operator has disconnected
        finally:
            connection.close()
            self._connections.pop(connection, None)

    def _answer(self, parser: RequestParser, data: bytes) -> Response | None:
        """Carry out the request that `data` completes and return its response; None if it is incomplete."""
        try:
            request = parser.feed(data)
            if request is None:
                return None
            response = handle(self._operations, request)
            path = request.path if request.path in ROUTES else "other"
        except RequestError as e:
            path, response = "none", e.response
        except Exception as e:  # a bug in the proxy must not leave the operator without a response
            log.event("fault", "handling a console request failed", error=repr(e))
            path, response = "fault", Response(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
        self._metrics.console_requests.add(f"{path}:{response.status:d}")
        log.event("console", "request answered", path=path, status=int(response.status), text=response.text)
        return response

    def _evict(self) -> None:
        """Close the oldest connection without unread bytes, to make room for a new one."""
        oldest = next((c for c in self._connections if not unread_bytes(c.sock)), None)
        if oldest is not None:
            del self._connections[oldest]
            oldest.close()


class OperatorConnection:
    """One operator's connection, which carries one request and its response."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._deadline_s = time.monotonic() + REQUEST_TIMEOUT_S

    def read_request(self, answer: Callable[[RequestParser, bytes], Response | None]) -> Response | None:
        """Read until `answer` returns a response, and return that; None if the operator closes first."""
        parser = RequestParser()
        while True:
            self.sock.settimeout(max(self._deadline_s - time.monotonic(), 0.001))
            try:
                data = retry_transient(SystemCall.RECEIVE, self.sock.recv, READ_BYTES)
            except TimeoutError:
                return Response(HTTPStatus.REQUEST_TIMEOUT, "timed out waiting for the request")
            if not data:
                return None
            if (response := answer(parser, data)) is not None:
                return response

    def send_response(self, response: Response) -> None:
        """Write the response, then discard input for up to LINGER_S until the operator closes.

        Closing while bytes are unread would reset the connection, and the operator could lose the response.
        """
        self.sock.settimeout(WRITE_TIMEOUT_S)
        data = memoryview(response.format())
        while data:
            data = data[retry_transient(SystemCall.SEND, self.sock.send, data) :]
        self.sock.shutdown(socket.SHUT_WR)
        deadline_s, discarded_bytes = time.monotonic() + LINGER_S, 0
        while (remaining_s := deadline_s - time.monotonic()) > 0 and discarded_bytes < MAX_DISCARDED_BYTES:
            self.sock.settimeout(remaining_s)
            count = len(self.sock.recv(READ_BYTES))
            if not count:
                return
            discarded_bytes += count
            yield_to_loop()

    def close(self) -> None:
        """Close the socket; further calls have no effect."""
        with contextlib.suppress(OSError):
            self.sock.close()
