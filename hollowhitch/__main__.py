"""One real proxy: wires the parts together, and ends them in order on SIGTERM."""

from __future__ import annotations

import signal

reload_asked: list[int] = []  # a SIGHUP that came while the modules below were being loaded
signal.signal(signal.SIGHUP, lambda number, frame: reload_asked.append(number))

import dataclasses
import gc
import os
import resource
import sys
import time
from collections.abc import Callable, Mapping

import gevent
from gevent.event import Event

from hollowhitch import config as configuration
from hollowhitch import log
from hollowhitch.clock import US_PER_S, Clock
from hollowhitch.gateway import Gateway
from hollowhitch.metrics import Metrics
from hollowhitch.net.channel import ChannelFollower
from hollowhitch.net.engines import EnginePools
from hollowhitch.net.front import Front
from hollowhitch.net.heartbeat import Heartbeat
from hollowhitch.net.timers import Timers
from hollowhitch.policy.control import tolerated_doubt_us
from hollowhitch.policy.interface import ListKind
from hollowhitch.policy.start_times import StartTimes
from hollowhitch.protocol.channel import Command
from hollowhitch.shutdown import plan_shutdown

POLL_S = 0.02  # between looks whether a stage of the end is over
READ_ANEW, NEW_EACH_TIME = ("channel",), ("known", "cursor", "seed", "unread")  # at SIGHUP; with every file
COLLECT_EVERY = 20_000  # new objects between collections: short ones, but not for every few queries


class Proxy:
    def __init__(self, config: configuration.Config) -> None:
        self.config = config
        self.clock = Clock()
        self.metrics = Metrics()
        self.start_times = StartTimes(
            self.clock.now_us(), self.clock.from_wall_us, tolerated_doubt_us(config.settings.rules)
        )
        self.live = False  # lists come from the channel, no longer from the configuration
        timers = Timers()
        self.heartbeat = Heartbeat(self.clock, self.metrics)
        self.pools = EnginePools(config, self.clock, timers.later, self.metrics, self.heartbeat)
        self.gateway = Gateway(
            config.settings, config.seed, self.pools, timers.later, self.clock, self.metrics
        )
        self.pools.gateway = self.gateway
        self.front = Front(config, self.gateway, self.heartbeat)
        self.channel = ChannelFollower(config.cursor, self.apply, self.metrics, config.seed)
        self.end = Event()  # set to end in order

    def apply(self, command: Command) -> None:
        """A change to the list: first to the pools, so that every engine the module hears of has one."""
        if command.engines is not None:
            engines = self.start_times.translate(command.engines, self.clock.now_us(), self.live)
            self.pools.relist(engines, command.addresses)
            self.gateway.relist(engines)

    def start(self) -> None:
        if self.config.unread:
            log.event("configuration", "keys that nothing reads", keys=",".join(self.config.unread))
        first = True
        for command in self.config.known:
            if first and command.engines is not None:
                first = False
                cached = dataclasses.replace(command.engines, kind=ListKind.CACHED)
                command = dataclasses.replace(command, engines=cached)
            self.apply(command)
        self.live = True
        self.channel.follow(self.config.channel)
        gevent.spawn(self.pools.sweep_forever)
        self.heartbeat.start()
        try:
            self.front.start()
        except OSError as e:
            raise configuration.ConfigError(f"listen: {e}") from None
        host, port = self.front.address
        log.event("proxy", "listens", name=self.config.name, address=f"{host}:{port}")

    def reread(self, env: Mapping[str, str]) -> None:
        """The file was replaced: follow the channel it names. All else in it holds from the next start on.
        A file that can't be used changes nothing."""
        try:
            config = configuration.read(env)
        except configuration.ConfigError as e:
            log.event("configuration", "refused, the old one stays", error=e)
            return
        names = {f.name for f in dataclasses.fields(config)} - set(READ_ANEW + NEW_EACH_TIME)
        later = sorted(n for n in names if getattr(config, n) != getattr(self.config, n))
        log.event("configuration", "read anew", channel=config.channel, from_next_start=",".join(later))
        self.channel.follow(config.channel)

    def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.end.set)
        gevent.signal_handler(signal.SIGHUP, self.reread, os.environ)
        gevent.signal_handler(signal.SIGUSR1, self.write_metrics)
        gc.collect()
        gc.freeze()
        gc.set_threshold(COLLECT_EVERY, 20, 20)
        self.start()
        if reload_asked:
            self.reread(os.environ)
        self.end.wait()
        self.finish()
        return 0

    def finish(self) -> None:
        """End within the budget that the settings give, with every request answered."""
        began = time.monotonic()
        plan = plan_shutdown(self.config.settings.classes)
        self._log_stage("draining", began)
        self.front.drain()
        self.gateway.closing(int(plan.answer_by_s * US_PER_S))
        self._wait_until(began + plan.accept_until_s, lambda: False)
        self._log_stage("accepts and takes nothing more", began)
        self.front.stop_accepting()
        self._wait_until(began + plan.answer_by_s, lambda: not self.front.connections)
        self._log_stage("ends what is open", began)
        self.gateway.give_up_all()
        self._wait_until(began + plan.exit_by_s, lambda: not self.front.connections)
        self._log_stage("ended", began)
        self.front.close_all()
        self.write_metrics()

    def _wait_until(self, until: float, done: Callable[[], bool]) -> None:
        while (left := until - time.monotonic()) > 0 and not done():
            gevent.sleep(min(POLL_S, left))

    def _log_stage(self, stage: str, began: float) -> None:
        log.event(
            "shutdown",
            stage,
            after_ms=round((time.monotonic() - began) * 1000),
            open=self.gateway.unanswered,
            connections=len(self.front.connections),
        )

    def write_metrics(self) -> None:
        """All counters and histograms to standard error, in the Prometheus text format."""
        self.metrics.cpu_seconds.value = time.process_time()
        self.metrics.memory_bytes.value = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        sys.stderr.write(self.metrics.text())
        sys.stderr.flush()


def main() -> int:
    log.configure()
    try:
        return Proxy(configuration.read(os.environ)).run()
    except configuration.ConfigError as e:
        print(f"hollowhitch: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # the interpreter's own clearing up would count against the budget
