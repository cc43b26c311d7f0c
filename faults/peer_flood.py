"""Peers that write without end: an engine with answers that nobody asked for, a channel with comments.

`python -m faults.peer_flood HOST PORT KIND` listens at the address, and writes ready-made bytes to each
connection as fast as the proxy reads them, until the process is ended.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from dataclasses import dataclass

from gevent import subprocess

from faults.proxies import REPOSITORY_ROOT

BLOCK_REPETITIONS = 5_000
BLOCKS = {
    "answers": b"00000000000000ff data fetches=1 6\r\na\tb\tc\n\r\n" * BLOCK_REPETITIONS,
    "comments": b": nothing new\n\n" * BLOCK_REPETITIONS,
}
GREETINGS = {"answers": b"", "comments": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"}
CONNECT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class FloodingPeer:
    """A process that floods whoever connects to it; it can be announced as an engine."""

    name: str
    host: str
    port: int
    process: subprocess.Popen[bytes]

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def start_peer_flood(kind: str, name: str, host: str) -> FloodingPeer:
    """Start a flooding peer, and wait until it listens; raise OSError if it does not in time."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
    command = [sys.executable, "-m", "faults.peer_flood", host, str(port), kind]
    peer = FloodingPeer(name, host, port, subprocess.Popen(command, cwd=REPOSITORY_ROOT))
    give_up_at = time.monotonic() + CONNECT_TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, port), 1.0).close()
            return peer
        except OSError:
            if time.monotonic() > give_up_at:
                peer.stop()
                raise
            time.sleep(0.02)


def _flood(sock: socket.socket, kind: str) -> None:
    try:
        sock.sendall(GREETINGS[kind])
        while True:
            sock.sendall(BLOCKS[kind])
    except OSError:
        sock.close()


def main() -> None:
    """Listen and flood until the process is ended."""
    host, port, kind = sys.argv[1:4]
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen()
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=_flood, args=(sock, kind), daemon=True).start()


if __name__ == "__main__":
    main()
