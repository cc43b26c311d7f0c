"""Random operators' orders during a run: single, repeated or in series, in parallel with other faults."""

from __future__ import annotations

import contextlib
import random
import signal
import time
from collections.abc import Callable

import gevent
from gevent import socket

from faults.channel import Member
from faults.engines import StubEngine
from faults.harness import Harness
from faults.operators import Operator
from faults.proxies import MIN_SIGNAL_AGE_S, Proxy

PARTIAL_CALLS = (b"", b"POST /drain HTTP/1.1\r\nContent-Le", b"GET /ready HTTP/1.1\r\n", b"\0\0\0\5\4")
PARTIAL_CALL_HOLD_S = 4.0  # seconds for which a connection is kept open after an incomplete call
ORDER_PROBABILITY = 0.5  # probability that an order or series of orders follows an injected fault


class OrderGenerator:
    """Gives random orders. Those that are undone later, and partial calls, run in greenlets of their own."""

    def __init__(
        self, harness: Harness, rng: random.Random, record_fault: Callable[[str, str], None]
    ) -> None:
        self.harness, self.rng, self.record_fault = harness, rng, record_fault
        self.operator = Operator(harness.run)
        self._running: list[gevent.Greenlet] = []
        self.disabled_engines: set[str] = set()  # engines that an operator has disabled

    def maybe_start(self) -> None:
        """Start a random order or series of orders, with the probability ORDER_PROBABILITY."""
        if self.rng.random() < ORDER_PROBABILITY:
            self._start()

    def _start(self) -> None:
        weighted_actions: list[tuple[float, Callable[[], None]]] = [
            (3.0, self._start_drain),
            (1.0, self._start_drain_of_all),
            (3.0, self._start_disabling),
            (1.0, self._send_invalid_orders),
            (1.0, self._start_partial_calls),
            (0.7, self._reload_unusable_configuration),
        ]
        self.rng.choices(
            [action for _, action in weighted_actions], [weight for weight, _ in weighted_actions]
        )[0]()

    def maybe_finish(self) -> None:
        """Wait for the running orders in half of the runs; in the others they go on while processes end."""
        if self.rng.random() < 0.5:
            self.finish()

    def finish(self) -> None:
        """Wait until every order that has to be undone has been undone, and every partial call has ended."""
        gevent.joinall(self._running)

    def _spawn(self, action: Callable[..., None], *args: object) -> None:
        self._running.append(gevent.spawn(action, *args))

    # Drains.

    def _start_drain(self) -> None:
        proxy = self.rng.choice(self.harness.proxies)
        self._spawn(
            self._drain, proxy, self.rng.choice((0.1, 1.0, 2.0, 3.3, 5.5)), random.Random(self.rng.random())
        )

    def _start_drain_of_all(self) -> None:
        """Drain all proxies, either at once or one after another."""
        gap_s = self.rng.choice((0.0, 0.3))
        for position, proxy in enumerate(self.harness.proxies):
            rng = random.Random(self.rng.random())
            gevent.spawn_later(position * gap_s, self._spawn, self._drain, proxy, 5.0, rng)

    def _drain(self, proxy: Proxy, hold_s: float, rng: random.Random) -> None:
        self.record_fault("order drain", f"{proxy.name} for {hold_s} s")
        series = rng.choice(("d", "d", "dd", "dud", "dudd"))
        for order in series:
            self._order(proxy, order)
            gevent.sleep(rng.uniform(0.0, 0.1))
        ends_at = time.monotonic() + hold_s
        while time.monotonic() < ends_at:
            self.operator.check_readiness(proxy)
            gevent.sleep(0.2)
        for _ in range(rng.choice((1, 1, 2))):
            self._order(proxy, "u")
        gevent.sleep(0.1)
        self.operator.check_readiness(proxy)

    def _order(self, proxy: Proxy, order: str) -> None:
        """Give one order of a series: "d" drains, "u" undrains.

        A process that is stopping refuses to undrain. The checker allows for that, because it also knows the
        signals that were sent after the order.
        """
        if order == "d":
            self.operator.drain(proxy)
        else:
            self.operator.undrain(proxy)

    # Disabled engines.

    def _start_disabling(self) -> None:
        candidates = [
            e for e in self.harness.engines if not e.draining and e.name not in self.disabled_engines
        ]
        if len(candidates) < 2:  # a proxy without any engine may report that it is not ready
            return
        proxies = self.harness.proxies if self.rng.random() < 0.5 else [self.rng.choice(self.harness.proxies)]
        engine = self.rng.choice(candidates)
        restarts_engine = len(proxies) == len(self.harness.proxies) and self.rng.random() < 0.5
        self.disabled_engines.add(engine.name)
        self._spawn(
            self._disable_then_enable, engine, list(proxies), restarts_engine, self.rng.uniform(0.3, 3.0)
        )

    def _disable_then_enable(
        self, engine: StubEngine, proxies: list[Proxy], restarts_engine: bool, hold_s: float
    ) -> None:
        """Disable an engine for a time; with `restarts_engine` it restarts while it is disabled."""
        self.record_fault("order disable", f"{engine.name} at {len(proxies)} for {hold_s:.2f} s")
        self._call_at_all(proxies, lambda proxy: self.operator.disable(proxy, engine.name))
        if self.rng.random() < 0.5:
            self._call_at_all(proxies, lambda proxy: self.operator.disable(proxy, engine.name))
        gevent.sleep(hold_s / 2)
        if restarts_engine and not engine.draining:
            engine.reset_all()
            self.harness.channel.announce(Member(engine, up_since_ms=time.time_ns() // 1_000_000))
        gevent.sleep(hold_s / 2)
        self._call_at_all(proxies, lambda proxy: self.operator.enable(proxy, engine.name))
        self.disabled_engines.discard(engine.name)

    def _call_at_all(self, proxies: list[Proxy], order: Callable[[Proxy], object]) -> None:
        gevent.joinall([gevent.spawn(order, proxy) for proxy in proxies])

    # Invalid calls and configuration files.

    def _send_invalid_orders(self) -> None:
        proxy = self.rng.choice(self.harness.proxies)
        self.record_fault("order nonsense", proxy.name)
        self._spawn(self.operator.disable, proxy, f"s-{self.rng.getrandbits(32):08x}-no", False)
        self._spawn(self.operator.order, proxy, "/elsewhere", "", False)
        self._spawn(self.operator.disable, proxy, "x" * 20_000, False)

    def _start_partial_calls(self) -> None:
        proxy, count = self.rng.choice(self.harness.proxies), self.rng.choice((8, 64))
        self.record_fault("half calls", f"{count} at {proxy.name}")
        for _ in range(count):
            self._spawn(self._hold_partial_call, proxy, self.rng.choice(PARTIAL_CALLS))

    def _hold_partial_call(self, proxy: Proxy, partial_call: bytes) -> None:
        with contextlib.suppress(OSError), socket.create_connection(proxy.console_address, 1.0) as sock:
            sock.sendall(partial_call)
            sock.settimeout(PARTIAL_CALL_HOLD_S)
            while sock.recv(4096):
                pass

    def _reload_unusable_configuration(self) -> None:
        """Send SIGHUP with a configuration that is invalid or names another console; nothing may change."""
        proxy = self.rng.choice(self.harness.proxies)
        if not proxy.is_running or proxy.uptime_s < MIN_SIGNAL_AGE_S:
            return
        self.record_fault("bad reload", proxy.name)
        valid_configuration = proxy.config_path.read_text()
        proxy.config_path.write_text(
            self.rng.choice(("{", valid_configuration.replace(str(proxy.console_address[1]), "1")))
        )
        proxy.send_signal(signal.SIGHUP)
        gevent.sleep(0.05)
        proxy.config_path.write_text(valid_configuration)
