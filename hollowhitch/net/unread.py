"""Number of unread bytes in a socket."""

from __future__ import annotations

import array
import fcntl
import termios

from gevent import socket


def unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes that were received and not yet read; 0 for a closed socket."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except (OSError, ValueError):
        return 0
    return count[0]
