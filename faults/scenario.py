"""A run drawn from a seed: what is disturbed, when, and how clients behave meanwhile."""

from __future__ import annotations

import errno
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import gevent

from faults.channel import Member
from faults.clients import ClientConnection, new_ref, new_replay
from faults.front import Front
from faults.lab import Lab
from faults.orders import Orders
from faults.proxies import STARTING_S, Proxy
from faults.records import RequestRecord
from faults.servers import Behaviour, Server
from faults.settings import draw_settings, grace_s, longest_deadline_s
from faults.shim import Call

STEPS_S = (-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0)
MOMENT_ERRNOS = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS),
    Call.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    Call.RECEIVE: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
    Call.SEND: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE),
    Call.WAIT: (errno.EINTR,),
    Call.SHORT: (1, 7, 50),
}
KEYS = 3
RATES, FLEET_RATES = (5.0, 40.0), (1.0, 6.0)  # requests a second of one client
FLEET_PROXIES, FLEET_SERVERS = (10, 40), (6, 16)
KEY_GAP_S, KEY_GAP_NEW_S = 0.06, 0.25  # between requests of one key; after one on a new connection
GARBAGE = (b"\xff" * 40, b"\0\0\0\x01x", b"GET / HTTP/1.1\r\n\r\n")


class Scenario:
    """One run: a lab, clients that send all the time, and disturbances one after another."""

    def __init__(
        self, seed: int, folder: Path, library: Path | None, seconds: float, fleet: bool = False
    ) -> None:
        """`fleet`: 10 to 40 proxies instead of 1 to 6, each with one client that sends less."""
        self.seed, self.seconds, self.fleet = seed, seconds, fleet
        self.rng = random.Random(seed)
        proxies, servers = self.rng.randint(1, 6), self.rng.randint(2, 6)
        if fleet:
            proxies, servers = self.rng.randint(*FLEET_PROXIES), self.rng.randint(*FLEET_SERVERS)
        self.settings = draw_settings(self.rng, proxies)
        self.deadline_s = longest_deadline_s(self.settings)
        self.lab = Lab(folder, library, self.settings, seed, servers, proxies)
        self.run = self.lab.run
        self.rate = self.rng.uniform(*(FLEET_RATES if fleet else RATES))
        self.orders = Orders(self.lab, random.Random(f"orders {seed}"), self._note)
        self.crowd = self.rng.random() < 0.25
        self.ending = False
        self._key_free_at: dict[tuple[str, str], float] = {}
        self._busy: set[str] = set()  # proxies that are being ended
        self._restarts: list[gevent.Greenlet] = []
        self._steppable = library is not None

    def play(self) -> None:
        """Play the run to its end, shutdown of every proxy included."""
        self.lab.start()
        front = Front(self.run, self.lab.proxies)
        self.front = front
        clients = [
            gevent.spawn(self._client, proxy, random.Random(self.rng.random()))
            for proxy in self.lab.proxies
            for _ in range(1 if self.fleet else self.rng.randint(1, 3))
        ]
        if self.crowd:
            clients += [gevent.spawn(self._idle_client, self.lab.proxies[0]) for _ in range(150)]
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            gevent.sleep(self.rng.uniform(0.05, 0.6))
            self._disturb()
            self.orders.give_sometimes()
        self._calm_down()
        gevent.joinall(self._restarts)
        self.orders.finish_sometimes()
        gevent.joinall([gevent.spawn(self._end, proxy) for proxy in self.lab.proxies])
        self.ending = True
        front.stop()
        self.orders.finish()
        gevent.joinall(clients, timeout=5.0)
        gevent.sleep(0.1)
        for call in Call:
            count = sum(proxy.control.injected(call) for proxy in self.lab.proxies)
            if count:
                self.run.injected[f"call {call.name.lower()}"] = count

    def _calm_down(self) -> None:
        """Failures for a moment end here; hangs and steps may go on into the shutdown."""
        for proxy in self.lab.proxies:
            for call in Call:
                proxy.control.fail(call, 0, 0)

    # Disturbances

    def _disturb(self) -> None:
        kinds: list[tuple[float, Callable[[], None]]] = [
            (3.0, self._change_server),
            (2.0, self._reset_server),
            (1.0, self._close_idle),
            (1.0, self._drain_server),
            (1.5, self._new_server),
            (0.5, self._vanish),
            (1.0, self._disturb_channel),
            (0.7, self._reload),
            (0.7, self._restart),
            (0.3, self._kill),
        ]
        if self._steppable:
            kinds += [(3.0, self._step_clock), (4.0, self._fail_calls)]
        weights = [weight for weight, _ in kinds]
        self.rng.choices([kind for _, kind in kinds], weights)[0]()

    def _note(self, kind: str, text: str) -> None:
        self.run.note(time.monotonic(), kind, text)

    def _servers(self) -> list[Server]:
        """Those that may drain or vanish: none that is out by hand, lest no other is left."""
        out = self.orders.out_now
        return [server for server in self.lab.servers if not server.draining and server.name not in out]

    def _change_server(self) -> None:
        rng, server = self.rng, self.rng.choice(self.lab.servers)
        server.behaviour = rng.choice(
            (
                Behaviour(),
                Behaviour(work_s=0.1),
                Behaviour(pages=3),
                Behaviour(hang_share=rng.choice((0.1, 0.5, 1.0))),
                Behaviour(fail_share=0.5),
                Behaviour(full_share=0.5),
                Behaviour(reset_share=0.2, reset_after_s=rng.choice((0.0, 0.1, 2.0))),
                Behaviour(silent=True),
            )
        )
        self._note("server", f"{server.name} becomes {server.behaviour}")

    def _reset_server(self) -> None:
        server = self.rng.choice(self.lab.servers)
        self._note("reset", server.name)
        server.reset_all()

    def _close_idle(self) -> None:
        server = self.rng.choice(self.lab.servers)
        self._note("idle close", server.name)
        server.close_idle()

    def _drain_server(self) -> None:
        if len(self._servers()) < 2:
            return
        server = self.rng.choice(self._servers())
        server.draining = True
        self._note("drain", server.name)
        self.lab.channel.tell(Member(server, "leaving"))

    def _new_server(self) -> None:
        if len(self.lab.servers) >= 40:
            return
        server = self.lab.new_server()
        self._note("cold start", server.name)
        self.lab.channel.tell(Member(server, up_since_ms=time.time_ns() // 1_000_000))

    def _vanish(self) -> None:
        if len(self._servers()) < 3:
            return
        server = self.rng.choice(self._servers())
        server.draining = True
        self._note("vanish", server.name)
        self.lab.channel.tell(Member(server, "left"))
        server.stop()

    def _disturb_channel(self) -> None:
        if self.rng.random() < 0.5:
            self._note("channel", "calls fall silent")
            self.lab.channel.silence()
        else:
            self._note("channel", "calls dropped")
            self.lab.channel.drop_all()

    def _reload(self) -> None:
        self._note("reload", "SIGHUP to all")
        self.lab.configure_all()
        for proxy in self.lab.proxies:
            if proxy.age_s > STARTING_S:
                proxy.signal(signal.SIGHUP)

    def _step_clock(self) -> None:
        proxy = self.rng.choice(self.lab.proxies)
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            step = self.rng.choice(STEPS_S)
            self._note("clock step", f"{proxy.name} by {step} s")
            proxy.control.step_clock(step)

    def _fail_calls(self) -> None:
        proxy, call = self.rng.choice(self.lab.proxies), self.rng.choice(list(Call))
        value = self.rng.choice(MOMENT_ERRNOS[call])
        times = self.rng.randint(1, 3 if call in (Call.RECEIVE, Call.SEND) else 12)
        self._note("system call", f"{proxy.name}: {call.name.lower()} {value} x {times}")
        proxy.control.fail(call, value, times)

    # Processes

    def _restart(self) -> None:
        proxy = self.rng.choice(self.lab.proxies)
        if proxy.alive and proxy.name not in self._busy:
            self._restarts.append(gevent.spawn(self._restart_now, proxy, signal.SIGTERM))

    def _kill(self) -> None:
        proxy = self.rng.choice(self.lab.proxies)
        if proxy.alive and proxy.name not in self._busy:
            self._restarts.append(gevent.spawn(self._restart_now, proxy, signal.SIGKILL))

    def _restart_now(self, proxy: Proxy, number: signal.Signals) -> None:
        self._busy.add(proxy.name)
        self._note("restart", f"{proxy.name} with {number.name}")
        if number is signal.SIGKILL:
            proxy.signal(number)
            proxy.wait_ended(5.0)
        else:
            self._end(proxy)
        if not self.ending:
            self.lab.configure_all()
            proxy.start()
            proxy.wait_ready()
        self._busy.discard(proxy.name)

    def _end(self, proxy: Proxy) -> None:
        """SIGTERM, other signals in series, and SIGKILL as early as the page allows."""
        if not proxy.alive:
            return
        gevent.sleep(max(0.0, STARTING_S - proxy.age_s))
        first = self.rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGINT))
        self._note("end", f"{proxy.name} with {first.name}")
        proxy.signal(first)
        terminated_at = time.monotonic()
        for _ in range(self.rng.randint(0, 2)):
            gevent.sleep(self.rng.uniform(0.0, 0.2))
            proxy.signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        if not proxy.wait_ended(terminated_at + grace_s(self.settings) - time.monotonic()):
            proxy.signal(signal.SIGKILL)
            proxy.wait_ended(5.0)

    # Clients

    def _idle_client(self, proxy: Proxy) -> None:
        while not self.ending:
            try:
                connection = self._connect(proxy)
            except OSError:
                gevent.sleep(0.3)
                continue
            connection.ended.wait(timeout=2.0)
            connection.close()

    def _client(self, proxy: Proxy, rng: random.Random) -> None:
        """Sends until the run ends; opens a new connection whenever the old one is gone."""
        connection: ClientConnection | None = None
        open_requests: list[RequestRecord] = []
        while not self.ending:
            if connection is None or connection.ended.is_set():
                try:
                    connection = self._connect(proxy)
                except OSError:
                    connection = None
                    gevent.sleep(0.05)
                    continue
            record = self._send(connection, proxy, rng)
            if record is not None:
                open_requests.append(record)
            connection = self._behave(connection, open_requests, rng)
            gevent.sleep(rng.expovariate(self.rate))

    def _connect(self, proxy: Proxy) -> ClientConnection:
        """A new connection; OSError if the front sends none there, or the proxy takes none."""
        if not self.front.takes(proxy):
            raise ConnectionRefusedError("the front sends no new connection there")
        return self.lab.connect(proxy)

    def _send(self, connection: ClientConnection, proxy: Proxy, rng: random.Random) -> RequestRecord | None:
        name = rng.choices(("safe", "keyed", "unsafe"), (5, 3, 2))[0]
        key = f"key-{rng.randrange(KEYS)}" if name == "keyed" and rng.random() < 0.6 else None
        if key is not None and not self._reserve(proxy.name, key, connection):
            key = None
        allow_s = self.deadline_s * rng.choice((1.0, 1.0, 0.5, 0.1))
        connection.used = True
        return connection.request(
            new_ref(rng),
            name,
            max(allow_s, 0.1),
            replay=new_replay(rng) if name == "keyed" else None,
            key=key,
            slowly=rng.random() < 0.05,
        )

    def _reserve(self, proxy: str, key: str, connection: ClientConnection) -> bool:
        """Requests of one key are written some time apart, more after one on a new connection."""
        now = time.monotonic()
        if now < self._key_free_at.get((proxy, key), 0.0):
            return False
        gap = KEY_GAP_S if connection.used else KEY_GAP_NEW_S
        self._key_free_at[proxy, key] = now + gap
        return True

    def _behave(
        self, connection: ClientConnection, open_requests: list[RequestRecord], rng: random.Random
    ) -> ClientConnection | None:
        """Now and then cancel, leave, rest, send what is no frame, or read slowly."""
        waiting = [r for r in open_requests if not r.answers and r.cancelled_at is None]
        open_requests[:] = waiting[-20:]
        fate = rng.random()
        if fate < 0.04 and waiting:
            connection.cancel(rng.choice(waiting))
        elif fate < 0.06:
            connection.close()
            return None
        elif fate < 0.07:
            connection.send_garbage(rng.choice(GARBAGE))
            connection.close()
            return None
        elif fate < 0.09:
            gevent.sleep(rng.uniform(0.2, 1.5))
        return connection
