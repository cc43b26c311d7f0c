"""Clients that send chains of requests with one key, faster than engines answer them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from faults.clients import ClientConnection, new_ref, new_replay
from faults.proxies import Proxy
from faults.settings import CHAIN_CLASS

# Seconds between two requests with the same key. The gap is longer after the first request on a connection.
KEY_GAP_S, KEY_GAP_NEW_CONNECTION_S = 0.06, 0.25
MAX_CHAIN_LENGTH = 12
CHAIN_PAUSE_S = 0.6  # mean pause between two chains
RECONNECT_DELAY_S = 0.05
CHAIN_EFFORT_MS = 60.0  # the client's estimate of the run time of one request
SLOW_READ_PAUSE_S = 0.15
SLOW_RECEIVE_BUFFER_BYTES = 4096


@dataclass(frozen=True, slots=True)
class ChainProfile:
    """How a client sends its chains."""

    connections: int  # number of connections over which the requests of the key come
    has_open_request: bool  # another request is open beside the chain
    reads_slowly: bool


def draw_profile(rng: random.Random) -> ChainProfile:
    """Return a random profile."""
    return ChainProfile(rng.choice((1, 1, 2, 3)), rng.random() < 0.5, rng.random() < 0.2)


class ChainClient:
    """Sends chains of requests with one key, over its connections by turns."""

    def __init__(
        self,
        proxy: Proxy,
        key: str,
        allowed_s: float,
        rng: random.Random,
        connect: Callable[..., ClientConnection],
    ) -> None:
        self.proxy, self.key, self.allowed_s, self.rng = proxy, key, allowed_s, rng
        self.profile = draw_profile(rng)
        self._connect = connect
        self._connections: list[ClientConnection | None] = [None] * self.profile.connections
        self._is_stopped = False

    def stop(self) -> None:
        """Send no further requests."""
        self._is_stopped = True

    def run(self) -> None:
        """Send until `stop` is called."""
        while not self._is_stopped:
            for _ in range(self.rng.randint(1, MAX_CHAIN_LENGTH)):
                if self._is_stopped:
                    return
                gevent.sleep(self._send_next())
            gevent.sleep(self.rng.expovariate(1 / CHAIN_PAUSE_S))

    def _send_next(self) -> float:
        """Send one request if a connection can be had; return the seconds until the next one may be sent."""
        position = self.rng.randrange(len(self._connections))
        connection = self._connections[position]
        is_new = connection is None or connection.ended.is_set()
        if is_new:
            connection = self._open_connection()
            self._connections[position] = connection
        if connection is None:
            return RECONNECT_DELAY_S
        rng = self.rng
        connection.request(
            new_ref(rng),
            CHAIN_CLASS,
            self.allowed_s,
            replay=new_replay(rng),
            key=self.key,
            effort_ms=CHAIN_EFFORT_MS,
        )
        if is_new and self.profile.has_open_request:
            connection.request(new_ref(rng), "unsafe", self.allowed_s)
        return KEY_GAP_NEW_CONNECTION_S if is_new else KEY_GAP_S

    def _open_connection(self) -> ClientConnection | None:
        options = {}
        if self.profile.reads_slowly:
            options = {
                "receive_buffer_bytes": SLOW_RECEIVE_BUFFER_BYTES,
                "read_pause_s": SLOW_READ_PAUSE_S,
            }
        try:
            return self._connect(self.proxy, **options)
        except OSError:
            return None
