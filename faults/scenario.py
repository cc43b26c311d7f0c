"""A random run, drawn from a seed: the injected faults, their times and what the clients do."""

from __future__ import annotations

import errno
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from faults.chains import KEY_GAP_NEW_CONNECTION_S, KEY_GAP_S, ChainClient
from faults.channel import Member
from faults.clients import ClientConnection, new_ref, new_replay
from faults.engines import Behaviour, StubEngine
from faults.flood_generator import FloodGenerator
from faults.harness import Harness
from faults.load_balancer import LoadBalancer
from faults.orders import OrderGenerator
from faults.proxies import MIN_SIGNAL_AGE_S, Proxy
from faults.records import RequestRecord
from faults.settings import CHAIN_CLASS, draw_settings, longest_deadline_s, shutdown_grace_s
from faults.shim import Call

CLOCK_STEPS_S = (-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0)
# How each kind of system call is made to fail: errno values, or for SHORT the largest transfer size in bytes.
TRANSIENT_FAILURES = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS),
    Call.SOCKET: (errno.ENFILE, errno.ENOBUFS),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    Call.RECEIVE: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
    Call.SEND: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE),
    Call.WAIT: (errno.EINTR,),
    Call.SHORT: (1, 7, 50),
}
KEY_COUNT = 3  # number of keys that requests of the class "keyed" use
REQUEST_RATES, FLEET_REQUEST_RATES = (5.0, 40.0), (1.0, 6.0)  # requests per second of one client
FLEET_PROXIES, FLEET_ENGINES = (10, 40), (6, 16)  # least and largest number
MAX_CHAIN_CLIENTS = 4  # largest number of clients that send chains of requests with one key
CHAIN_WORK_S = (0.05, 0.4)  # least run time of such a request: the range of the engines' draws
FLOOD_OVERTIME_S = 3.0  # seconds that floods may go on while the proxies shut down
MALFORMED_BYTES = (b"\xff" * 40, b"\0\0\0\x01x", b"GET / HTTP/1.1\r\n\r\n")


class Scenario:
    """One random run: a harness, clients that send requests, and one injected fault after another."""

    def __init__(
        self, seed: int, folder: Path, fault_library: Path | None, seconds: float, fleet: bool = False
    ) -> None:
        """Draw the run's parameters from the seed.

        With `fleet` there are 10 to 40 proxies instead of 1 to 6, each with one client that sends less often.
        """
        self.seed, self.seconds, self.fleet = seed, seconds, fleet
        self.rng = random.Random(seed)
        proxies, engines = self.rng.randint(1, 6), self.rng.randint(2, 6)
        if fleet:
            proxies, engines = self.rng.randint(*FLEET_PROXIES), self.rng.randint(*FLEET_ENGINES)
        self.settings = draw_settings(self.rng, proxies)
        self.deadline_s = longest_deadline_s(self.settings)
        self.harness = Harness(folder, fault_library, self.settings, seed, engines, proxies)
        self.run = self.harness.run
        self.requests_per_s = self.rng.uniform(*(FLEET_REQUEST_RATES if fleet else REQUEST_RATES))
        self.order_generator = OrderGenerator(
            self.harness, random.Random(f"orders {seed}"), self._record_fault
        )
        self.flood_generator = FloodGenerator(
            seed, self.run, self._connect, seconds + FLOOD_OVERTIME_S, 2 * self.deadline_s
        )
        self.has_idle_clients = self.rng.random() < 0.25
        self.is_ending = False
        self._chain_rng = random.Random(f"chains {seed}")  # apart from the draws of everything else
        self._key_free_at: dict[tuple[str, str], float] = {}
        self._stopping: set[str] = set()  # proxies that are being stopped
        self._restarts: list[gevent.Greenlet] = []
        self._has_fault_library = fault_library is not None

    def execute(self) -> None:
        """Carry out the whole run, including the shutdown of every proxy."""
        self.harness.start()
        load_balancer = LoadBalancer(self.run, self.harness.proxies)
        self.load_balancer = load_balancer
        clients = [
            gevent.spawn(self._run_client, proxy, random.Random(self.rng.random()))
            for proxy in self.harness.proxies
            for _ in range(1 if self.fleet else self.rng.randint(1, 3))
        ]
        chain_clients = self._start_chain_clients()
        if self.has_idle_clients:
            clients += [gevent.spawn(self._run_idle_client, self.harness.proxies[0]) for _ in range(150)]
        self.flood_generator.start(self.harness.proxies)
        ends_at = time.monotonic() + self.seconds
        while time.monotonic() < ends_at:
            gevent.sleep(self.rng.uniform(0.05, 0.6))
            self._inject_fault()
            self.order_generator.maybe_start()
        self._stop_call_failures()
        gevent.joinall(self._restarts)
        self.order_generator.maybe_finish()
        gevent.joinall([gevent.spawn(self._shut_down, proxy) for proxy in self.harness.proxies])
        self.is_ending = True
        for chain_client in chain_clients:
            chain_client.stop()
        load_balancer.stop()
        self.order_generator.finish()
        self.flood_generator.finish()
        gevent.joinall(clients, timeout=5.0)
        gevent.sleep(0.1)
        for call in Call:
            count = sum(proxy.fault_control.injected(call) for proxy in self.harness.proxies)
            if count:
                self.run.injected[f"call {call.name.lower()}"] = count

    def _stop_call_failures(self) -> None:
        """Stop the failures of system calls; hanging engines and clock steps may last into the shutdown."""
        for proxy in self.harness.proxies:
            for call in Call:
                proxy.fault_control.fail(call, 0, 0)

    # Faults.

    def _inject_fault(self) -> None:
        weighted_faults: list[tuple[float, Callable[[], None]]] = [
            (3.0, self._change_engine_behaviour),
            (2.0, self._reset_engine),
            (1.0, self._close_idle),
            (1.0, self._drain_engine),
            (1.5, self._add_engine),
            (0.5, self._remove_engine),
            (1.0, self._break_channel),
            (0.7, self._reload_all),
            (0.7, self._restart),
            (0.3, self._kill),
        ]
        if self._has_fault_library:
            weighted_faults += [(3.0, self._step_clock), (4.0, self._fail_system_calls)]
        weights = [weight for weight, _ in weighted_faults]
        self.rng.choices([inject for _, inject in weighted_faults], weights)[0]()

    def _record_fault(self, kind: str, text: str) -> None:
        self.run.record_fault(time.monotonic(), kind, text)

    def _removable_engines(self) -> list[StubEngine]:
        """Return the engines that may drain or disappear.

        Engines that an operator has disabled are left out, because every other engine may be gone.
        """
        disabled = self.order_generator.disabled_engines
        return [
            engine for engine in self.harness.engines if not engine.draining and engine.name not in disabled
        ]

    def _change_engine_behaviour(self) -> None:
        rng, engine = self.rng, self.rng.choice(self.harness.engines)
        engine.behaviour = rng.choice(
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
        self._record_fault("server", f"{engine.name} becomes {engine.behaviour}")

    def _reset_engine(self) -> None:
        engine = self.rng.choice(self.harness.engines)
        self._record_fault("reset", engine.name)
        engine.reset_all()

    def _close_idle(self) -> None:
        engine = self.rng.choice(self.harness.engines)
        self._record_fault("idle close", engine.name)
        engine.close_idle()

    def _drain_engine(self) -> None:
        if len(self._removable_engines()) < 2:
            return
        engine = self.rng.choice(self._removable_engines())
        engine.draining = True
        self._record_fault("drain", engine.name)
        self.harness.channel.announce(Member(engine, "leaving"))

    def _add_engine(self) -> None:
        if len(self.harness.engines) >= 40:
            return
        engine = self.harness.add_engine()
        self._draw_chain_work(engine)
        self._record_fault("cold start", engine.name)
        self.harness.channel.announce(Member(engine, up_since_ms=time.time_ns() // 1_000_000))

    def _remove_engine(self) -> None:
        if len(self._removable_engines()) < 3:
            return
        engine = self.rng.choice(self._removable_engines())
        engine.draining = True
        self._record_fault("vanish", engine.name)
        self.harness.channel.announce(Member(engine, "left"))
        engine.stop()

    def _break_channel(self) -> None:
        if self.rng.random() < 0.5:
            self._record_fault("channel", "open connections silenced")
            self.harness.channel.silence()
        else:
            self._record_fault("channel", "connections dropped")
            self.harness.channel.drop_connections()

    def _reload_all(self) -> None:
        self._record_fault("reload", "SIGHUP to all")
        self.harness.configure_all()
        for proxy in self.harness.proxies:
            if proxy.uptime_s > MIN_SIGNAL_AGE_S:
                proxy.send_signal(signal.SIGHUP)

    def _step_clock(self) -> None:
        proxy = self.rng.choice(self.harness.proxies)
        for _ in range(self.rng.choice((1, 1, 2, 3))):
            step_s = self.rng.choice(CLOCK_STEPS_S)
            self._record_fault("clock step", f"{proxy.name} by {step_s} s")
            proxy.fault_control.step_clock(step_s)

    def _fail_system_calls(self) -> None:
        proxy, call = self.rng.choice(self.harness.proxies), self.rng.choice(list(Call))
        value = self.rng.choice(TRANSIENT_FAILURES[call])
        times = self.rng.randint(1, 3 if call in (Call.RECEIVE, Call.SEND) else 12)
        self._record_fault("system call", f"{proxy.name}: {call.name.lower()} {value} x {times}")
        proxy.fault_control.fail(call, value, times)

    # Processes.

    def _restart(self) -> None:
        proxy = self.rng.choice(self.harness.proxies)
        if proxy.is_running and proxy.name not in self._stopping:
            self._restarts.append(gevent.spawn(self._restart_with, proxy, signal.SIGTERM))

    def _kill(self) -> None:
        proxy = self.rng.choice(self.harness.proxies)
        if proxy.is_running and proxy.name not in self._stopping:
            self._restarts.append(gevent.spawn(self._restart_with, proxy, signal.SIGKILL))

    def _restart_with(self, proxy: Proxy, signal_number: signal.Signals) -> None:
        self._stopping.add(proxy.name)
        self._record_fault("restart", f"{proxy.name} with {signal_number.name}")
        if signal_number is signal.SIGKILL:
            proxy.send_signal(signal_number)
            proxy.wait_for_exit(5.0)
        else:
            self._shut_down(proxy)
        if not self.is_ending:
            self.harness.configure_all()
            proxy.start()
            proxy.wait_until_ready()
        self._stopping.discard(proxy.name)

    def _shut_down(self, proxy: Proxy) -> None:
        """Stop a proxy with SIGTERM or SIGINT and a random series of further signals.

        SIGKILL follows if the process still runs at the earliest time at which the platform sends it.
        """
        if not proxy.is_running:
            return
        gevent.sleep(max(0.0, MIN_SIGNAL_AGE_S - proxy.uptime_s))
        first = self.rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGINT))
        self._record_fault("end", f"{proxy.name} with {first.name}")
        proxy.send_signal(first)
        terminated_at = time.monotonic()
        for _ in range(self.rng.randint(0, 2)):
            gevent.sleep(self.rng.uniform(0.0, 0.2))
            proxy.send_signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        if not proxy.wait_for_exit(terminated_at + shutdown_grace_s(self.settings) - time.monotonic()):
            proxy.send_signal(signal.SIGKILL)
            proxy.wait_for_exit(5.0)

    # Clients.

    def _start_chain_clients(self) -> list[ChainClient]:
        """Start the clients that send chains, each with a key of its own, at a few of the proxies."""
        rng = self._chain_rng
        for engine in self.harness.engines:
            self._draw_chain_work(engine)
        chain_clients = []
        for number, proxy in enumerate(self.harness.proxies[:MAX_CHAIN_CLIENTS]):
            client_rng = random.Random(rng.random())
            chain_client = ChainClient(proxy, f"chain-{number}", self.deadline_s, client_rng, self._connect)
            chain_clients.append(chain_client)
            gevent.spawn(chain_client.run)
        return chain_clients

    def _run_idle_client(self, proxy: Proxy) -> None:
        while not self.is_ending:
            try:
                connection = self._connect(proxy)
            except OSError:
                gevent.sleep(0.3)
                continue
            connection.ended.wait(timeout=2.0)
            connection.close()

    def _run_client(self, proxy: Proxy, rng: random.Random) -> None:
        """Send requests until the run ends, on a new connection whenever the old one has ended."""
        connection: ClientConnection | None = None
        open_requests: list[RequestRecord] = []
        while not self.is_ending:
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
            connection = self._act_at_random(connection, open_requests, rng)
            gevent.sleep(rng.expovariate(self.requests_per_s))

    def _draw_chain_work(self, engine: StubEngine) -> None:
        engine.min_work_by_class[CHAIN_CLASS] = self._chain_rng.uniform(*CHAIN_WORK_S)

    def _connect(self, proxy: Proxy, **options: Any) -> ClientConnection:
        """Return a new connection; raise OSError if the load balancer or the proxy refuses it."""
        if not self.load_balancer.sends_to(proxy):
            raise ConnectionRefusedError("the load balancer sends no new connections to this proxy")
        return self.harness.connect(proxy, **options)

    def _send(self, connection: ClientConnection, proxy: Proxy, rng: random.Random) -> RequestRecord | None:
        name = rng.choices(("safe", "keyed", "unsafe"), (5, 3, 2))[0]
        key = f"key-{rng.randrange(KEY_COUNT)}" if name == "keyed" and rng.random() < 0.6 else None
        if key is not None and not self._reserve_key(proxy.name, key, connection):
            key = None
        allowed_s = self.deadline_s * rng.choice((1.0, 1.0, 0.5, 0.1))
        connection.has_sent = True
        return connection.request(
            new_ref(rng),
            name,
            max(allowed_s, 0.1),
            replay=new_replay(rng) if name == "keyed" else None,
            key=key,
            slowly=rng.random() < 0.05,
        )

    def _reserve_key(self, proxy: str, key: str, connection: ClientConnection) -> bool:
        """Reserve a key for one request; return False if the last request with it is too recent."""
        now = time.monotonic()
        if now < self._key_free_at.get((proxy, key), 0.0):
            return False
        gap_s = KEY_GAP_S if connection.has_sent else KEY_GAP_NEW_CONNECTION_S
        self._key_free_at[proxy, key] = now + gap_s
        return True

    def _act_at_random(
        self, connection: ClientConnection, open_requests: list[RequestRecord], rng: random.Random
    ) -> ClientConnection | None:
        """Cancel a request, close the connection, send malformed bytes, pause, or most often do nothing.

        Return the connection, or None if it was closed.
        """
        waiting = [r for r in open_requests if not r.answers and r.cancelled_at is None]
        open_requests[:] = waiting[-20:]
        draw = rng.random()
        if draw < 0.04 and waiting:
            connection.cancel(rng.choice(waiting))
        elif draw < 0.06:
            connection.close()
            return None
        elif draw < 0.07:
            connection.send_malformed(rng.choice(MALFORMED_BYTES))
            connection.close()
            return None
        elif draw < 0.09:
            gevent.sleep(rng.uniform(0.2, 1.5))
        return connection
