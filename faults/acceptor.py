"""A listening socket of a stand-in: accepts until it is closed."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent import socket

BACKLOG = 256


class Acceptor:
    """Listens on a free port of `host`; `serve` runs in a greenlet of its own for each connection."""

    def __init__(self, host: str, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, 0))
        self._listener.listen(BACKLOG)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._greenlet = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            gevent.spawn(self._serve, sock)

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()
        self._greenlet.kill(block=False)
