"""Whether the peer of a connection has closed it, although bytes that it sent before are still unread.

A read reports the close only after all these bytes. The kernel knows of it earlier.
"""

from __future__ import annotations

import socket as native_socket

from gevent import socket

# Values of the field tcpi_state, the first byte of struct tcp_info.
TCP_ESTABLISHED, TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK = 1, 7, 8, 9
CLOSED_BY_PEER = frozenset({TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK})


def tcp_state(sock: socket.socket | native_socket.socket) -> int | None:
    """Return the state of a TCP connection; None if the socket is closed or the kernel does not report it."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except (OSError, ValueError, IndexError, TypeError):
        return None


def has_peer_gone(sock: socket.socket | native_socket.socket) -> bool:
    """Return whether the peer of a connection that was just accepted has already closed or reset it."""
    state = tcp_state(sock)
    if state != TCP_CLOSE:
        return state == TCP_CLOSE_WAIT
    # The peer has reset the connection, or this is an emulated socket, whose state says nothing.
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    except OSError:
        return True


class PeerState:
    """State of the peer of one connection.

    A kernel that reports a new connection as closed does not report states at all, which is the case for some
    emulated sockets. Then only reads tell that the peer has closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._is_reported = tcp_state(sock) in (TCP_ESTABLISHED, TCP_CLOSE_WAIT)

    @property
    def has_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, as far as the kernel knows."""
        return self._is_reported and tcp_state(self._sock) in CLOSED_BY_PEER
