"""How much lies unread in a socket."""

from __future__ import annotations

import array
import fcntl
import termios

from gevent import socket


def unread_bytes(sock: socket.socket) -> int:
    """Bytes that have come and were not read; 0 for a socket that is closed."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):
        return 0
    return count[0]
