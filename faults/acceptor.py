"""Listening socket of a stub peer."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

from faults.dating import enable_receive_timestamps

LISTEN_BACKLOG = 256


class Acceptor:
    """Accepts connections on a free port of `host`, and handles each in a separate greenlet."""

    def __init__(self, host: str, handle_connection: Callable[[socket.socket], None]) -> None:
        self._handle_connection = handle_connection
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        enable_receive_timestamps(self._listener)
        self._listener.bind((host, 0))
        self._listener.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._greenlet = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._handle_connection, sock)

    def close(self) -> None:
        """Stop listening; connections that were accepted before stay open."""
        self._listener.close()
        self._greenlet.kill(block=False)
