"""A laboratory: servers, a channel, proxies and clients of one run, wired together."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Any

import gevent

from faults.channel import Channel, Member
from faults.clients import ClientConnection
from faults.proxies import Proxy
from faults.records import Run
from faults.servers import Server

WATCH_EVERY_S, STALL_S = 0.01, 0.03  # between looks at our own loop; a look so late is noted
FIRST_HOST = 10  # servers listen at 127.0.1.10 and up, where the fault library knows them


class Lab:
    """Everything that one run consists of. Call `close` at the end."""

    def __init__(
        self,
        folder: Path,
        library: Path | None,
        settings: dict[str, Any],
        seed: int,
        servers: int,
        proxies: int,
    ) -> None:
        self.folder, self.library, self.settings = folder, library, settings
        self.rng = random.Random(seed)
        self.run = Run()
        self.channel = Channel(self.run)
        self.servers: list[Server] = []
        self.connections: list[ClientConnection] = []
        for _ in range(servers):
            self.new_server()
        self.channel.tell(*(Member(s) for s in self.servers), complete=True)
        self.proxies = [Proxy(f"n{i}", folder, self.run, library) for i in range(proxies)]
        self.configure_all()
        self._watch = gevent.spawn(self._watch_stalls)

    def _watch_stalls(self) -> None:
        """Note when the stand-ins themselves stood still: what they recorded then is late."""
        while True:
            before = time.monotonic()
            gevent.sleep(WATCH_EVERY_S)
            late_s = time.monotonic() - before - WATCH_EVERY_S
            if late_s > STALL_S:
                self.run.stalls.append((time.monotonic(), late_s))

    def new_server(self) -> Server:
        """A server that listens, which no list names yet."""
        number = len(self.servers)
        server = Server(f"s-{number:08x}", f"127.0.1.{FIRST_HOST + number}", self.run, self.rng)
        self.servers.append(server)
        return server

    def configure_all(self, **more: Any) -> None:
        """Write each proxy's configuration anew, with all that the channel has told so far."""
        for position, proxy in enumerate(self.proxies):
            settings = {**self.settings, "position": position, "replicasOfMe": len(self.proxies)}
            proxy.configure(settings, self.channel.known(), self.channel.address, **more)

    def start(self) -> None:
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            proxy.wait_ready()

    def connect(self, proxy: Proxy, **options: Any) -> ClientConnection:
        """A client's connection; `options` are those of `ClientConnection`."""
        connection = ClientConnection(proxy.name, proxy.address, self.run, **options)
        self.connections.append(connection)
        return connection

    def close(self) -> None:
        """End what still runs. What happens from now on is not part of the run."""
        self._watch.kill()
        for proxy in self.proxies:
            if proxy.alive and proxy.process is not None:
                proxy.process.kill()
        for connection in self.connections:
            connection.close()
        for server in self.servers:
            server.stop()
        for proxy in self.proxies:
            proxy.wait_ended(5.0)


def wait_for(condition: Any, within_s: float = 5.0) -> bool:
    """Wait until a condition holds; say whether it did."""
    until = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until:
            return False
        gevent.sleep(0.005)
    return True
