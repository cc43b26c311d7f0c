"""Operators at work in a run: orders drawn from its seed, in series, doubled, undone, and beside troubles."""

from __future__ import annotations

import contextlib
import random
import signal
import time
from collections.abc import Callable

import gevent
from gevent import socket

from faults.channel import Member
from faults.lab import Lab
from faults.operators import Operator
from faults.proxies import STARTING_S, Proxy
from faults.servers import Server

HALF_CALLS = (b"", b"POST /drain HTTP/1.1\r\nContent-Le", b"GET /ready HTTP/1.1\r\n", b"\0\0\0\5\4")
HOLD_S = 4.0  # for which a caller keeps a connection without a whole call
ORDER_SHARE = 0.5  # of disturbances that an order comes beside


class Orders:
    """Gives orders; each that is undone later has a greenlet of its own."""

    def __init__(self, lab: Lab, rng: random.Random, note: Callable[[str, str], None]) -> None:
        self.lab, self.rng, self.note = lab, rng, note
        self.operator = Operator(lab.run)
        self._running: list[gevent.Greenlet] = []
        self.out_now: set[str] = set()  # servers that are out by hand

    def give_sometimes(self) -> None:
        """Beside half of the disturbances: one order, or a series of them."""
        if self.rng.random() < ORDER_SHARE:
            self._give()

    def _give(self) -> None:
        kinds: list[tuple[float, Callable[[], None]]] = [
            (3.0, self._drain_one),
            (1.0, self._drain_all),
            (3.0, self._take_out),
            (1.0, self._ask_nonsense),
            (1.0, self._hold_calls),
            (0.7, self._break_configuration),
        ]
        self.rng.choices([kind for _, kind in kinds], [weight for weight, _ in kinds])[0]()

    def finish_sometimes(self) -> None:
        """Half of the time orders stand, and are given, while processes end."""
        if self.rng.random() < 0.5:
            self.finish()

    def finish(self) -> None:
        """Wait until every order that is to be undone was undone."""
        gevent.joinall(self._running)

    def _spawn(self, play: Callable[..., None], *args: object) -> None:
        self._running.append(gevent.spawn(play, *args))

    # Drains

    def _drain_one(self) -> None:
        proxy = self.rng.choice(self.lab.proxies)
        self._spawn(
            self._drain, proxy, self.rng.choice((0.1, 1.0, 2.0, 3.3, 5.5)), random.Random(self.rng.random())
        )

    def _drain_all(self) -> None:
        """All at once, or one after the other."""
        gap_s = self.rng.choice((0.0, 0.3))
        for place, proxy in enumerate(self.lab.proxies):
            rng = random.Random(self.rng.random())
            gevent.spawn_later(place * gap_s, self._spawn, self._drain, proxy, 5.0, rng)

    def _drain(self, proxy: Proxy, hold_s: float, rng: random.Random) -> None:
        self.note("order drain", f"{proxy.name} for {hold_s} s")
        series = rng.choice(("d", "d", "dd", "dud", "dudd"))
        for order in series:
            self._order(proxy, order)
            gevent.sleep(rng.uniform(0.0, 0.1))
        until = time.monotonic() + hold_s
        while time.monotonic() < until:
            self.operator.ask_ready(proxy)
            gevent.sleep(0.2)
        for _ in range(rng.choice((1, 1, 2))):
            self._order(proxy, "u")
        gevent.sleep(0.1)
        self.operator.ask_ready(proxy)

    def _order(self, proxy: Proxy, order: str) -> None:
        """An undrain is refused by a process that is stopping: its life's end is not known beforehand."""
        if order == "d":
            self.operator.drain(proxy)
        else:
            self.operator.undrain(proxy)

    # Databases

    def _take_out(self) -> None:
        servers = [s for s in self.lab.servers if not s.draining and s.name not in self.out_now]
        if len(servers) < 2:  # with none left, a proxy rightly says that it is not ready
            return
        proxies = self.lab.proxies if self.rng.random() < 0.5 else [self.rng.choice(self.lab.proxies)]
        server = self.rng.choice(servers)
        restart = len(proxies) == len(self.lab.proxies) and self.rng.random() < 0.5
        self.out_now.add(server.name)
        self._spawn(self._out, server, list(proxies), restart, self.rng.uniform(0.3, 3.0))

    def _out(self, server: Server, proxies: list[Proxy], restart: bool, hold_s: float) -> None:
        self.note("order disable", f"{server.name} at {len(proxies)} for {hold_s:.2f} s")
        self._at_all(proxies, lambda proxy: self.operator.disable(proxy, server.name))
        if self.rng.random() < 0.5:
            self._at_all(proxies, lambda proxy: self.operator.disable(proxy, server.name))
        gevent.sleep(hold_s / 2)
        if restart and not server.draining:
            server.reset_all()
            self.lab.channel.tell(Member(server, up_since_ms=time.time_ns() // 1_000_000))
        gevent.sleep(hold_s / 2)
        self._at_all(proxies, lambda proxy: self.operator.enable(proxy, server.name))
        self.out_now.discard(server.name)

    def _at_all(self, proxies: list[Proxy], order: Callable[[Proxy], object]) -> None:
        gevent.joinall([gevent.spawn(order, proxy) for proxy in proxies])

    # Bad calls and bad files

    def _ask_nonsense(self) -> None:
        proxy = self.rng.choice(self.lab.proxies)
        self.note("order nonsense", proxy.name)
        self._spawn(self.operator.disable, proxy, f"s-{self.rng.getrandbits(32):08x}-no", False)
        self._spawn(self.operator.order, proxy, "/elsewhere", "", False)
        self._spawn(self.operator.disable, proxy, "x" * 20_000, False)

    def _hold_calls(self) -> None:
        proxy, count = self.rng.choice(self.lab.proxies), self.rng.choice((8, 64))
        self.note("half calls", f"{count} at {proxy.name}")
        for _ in range(count):
            self._spawn(self._hold, proxy, self.rng.choice(HALF_CALLS))

    def _hold(self, proxy: Proxy, half: bytes) -> None:
        with contextlib.suppress(OSError), socket.create_connection(proxy.console, 1.0) as sock:
            sock.sendall(half)
            sock.settimeout(HOLD_S)
            while sock.recv(4096):
                pass

    def _break_configuration(self) -> None:
        """SIGHUP with a file that cannot be used, or that names another console: nothing is undone by it."""
        proxy = self.rng.choice(self.lab.proxies)
        if not proxy.alive or proxy.age_s < STARTING_S:
            return
        self.note("bad reload", proxy.name)
        whole = proxy.config_path.read_text()
        proxy.config_path.write_text(self.rng.choice(("{", whole.replace(str(proxy.console[1]), "1"))))
        proxy.signal(signal.SIGHUP)
        gevent.sleep(0.05)
        proxy.config_path.write_text(whole)
