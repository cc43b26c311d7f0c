"""The proxy process: creates its components, and shuts them down in order on SIGTERM or SIGINT."""

from __future__ import annotations

import signal

# SIGHUPs that arrived before the handler of `Proxy.run` was installed, for instance during the slow imports
# below. Without this handler, they would end the process.
early_sighups: list[int] = []
signal.signal(signal.SIGHUP, lambda signal_number, frame: early_sighups.append(signal_number))

import dataclasses
import gc
import os
import resource
import sys
import time
from collections.abc import Mapping

import gevent
from gevent.event import Event

from hollowhitch import config as configuration
from hollowhitch import log
from hollowhitch.audit import Audit, Rule
from hollowhitch.clock import US_PER_S, Clock
from hollowhitch.console.server import Console
from hollowhitch.gateway import Gateway
from hollowhitch.lifecycle import Event as LifecycleEvent
from hollowhitch.lifecycle import Lifecycle, State
from hollowhitch.metrics import Metrics
from hollowhitch.net.channel import ChannelClient
from hollowhitch.net.engine_pools import EnginePools
from hollowhitch.net.frontend import Frontend
from hollowhitch.net.loop_monitor import LoopMonitor
from hollowhitch.net.timers import Timers
from hollowhitch.policy.interface import ListKind
from hollowhitch.policy.membership import ListUpdate, Membership
from hollowhitch.policy.slow_start import tolerated_age_error_us
from hollowhitch.policy.start_times import StartTimes
from hollowhitch.protocol.channel import Command
from hollowhitch.shutdown import plan_shutdown

# Seconds that the greenlets of the connections accepted last get to start, before their number is looked at.
LAST_ACCEPTED_START_S = 0.02
# Fields of `Config` that a reload applies, and fields that differ in every file, so that a reload does not
# report them as changed.
RELOADED_FIELDS, UNCOMPARED_FIELDS = ("channel",), ("known", "cursor", "seed", "unread")
# Number of new objects between garbage collections: low enough that each collection is short, and high enough
# that there is not one every few queries.
GC_THRESHOLD = 20_000


class Proxy:
    """All components of one process; implements the operations that the console offers."""

    def __init__(self, config: configuration.Config) -> None:
        self.config = config
        self.clock = Clock()
        self.metrics = Metrics()
        self.start_times = StartTimes(
            self.clock.now_us(), self.clock.from_wall_us, tolerated_age_error_us(config.settings.rules)
        )
        self.lifecycle = Lifecycle(plan_shutdown(config.settings.classes))
        self.audit = Audit(self.metrics)
        self.membership = Membership()
        # Whether lists of engines now come from the command channel, no longer from the configuration.
        self.is_started = False
        timers = Timers()
        self.loop_monitor = LoopMonitor(self.clock, self.metrics)
        self.engine_pools = EnginePools(
            config,
            self.clock,
            timers.call_later,
            self.metrics,
            self.loop_monitor,
            self.lifecycle,
            self.membership,
            self.audit,
        )
        # The channel is always followed, so the controller need not subscribe to the list of engines.
        settings = dataclasses.replace(config.settings, subscribes_to_list=False)
        self.gateway = Gateway(
            settings, config.seed, self.engine_pools, timers.call_later, self.clock, self.metrics
        )
        self.engine_pools.gateway = self.gateway
        self.frontend = Frontend(config, self.gateway, self.loop_monitor, self.lifecycle, self.audit)
        self.channel = ChannelClient(config.cursor, self.apply, self.metrics, config.seed)
        self.console: Console | None = None
        if config.console is not None:
            self.console = Console(config.console, self, config.callers_most, self.metrics, self.clock)
        self.stop_requested = Event()

    def apply(self, command: Command) -> None:
        """Apply a command: from the configuration at the start, then from the command channel."""
        if command.engines is not None:
            engines = self.start_times.translate(command.engines, self.clock.now_us(), self.is_started)
            self._update_engines(self.membership.apply(engines, command.addresses))

    def _update_engines(self, update: ListUpdate) -> None:
        """Pass a change on, first to the pools: each engine that the controller knows needs a pool."""
        self.engine_pools.update_engines(update.engines, update.addresses)
        self.gateway.update_engines(update.engines)

    # Operations of the console, see `console.routes.Operations`

    def ready(self) -> bool:
        """Return whether the process is ready to serve and has an engine."""
        return self.frontend.ready()

    def drain(self) -> bool:
        """Ask clients to leave. Return True: a process that is stopping does so anyway."""
        return self._change_state(LifecycleEvent.DRAIN)

    def undrain(self) -> bool:
        """Accept clients again; return False if the process is stopping."""
        return self._change_state(LifecycleEvent.UNDRAIN)

    def disable(self, engine: str) -> bool:
        """Send no more queries to an engine; return False if no list of engines has named its id."""
        return self._change_engine("disabled", engine, self.membership.disable(engine, self.clock.now_us()))

    def enable(self, engine: str) -> bool:
        """Use an engine again; return False if no list of engines has named its id."""
        return self._change_engine("enabled", engine, self.membership.enable(engine, self.clock.now_us()))

    def _change_engine(self, change: str, engine: str, update: ListUpdate | None) -> bool:
        if update is None:
            return False
        log.event("membership", change, engine=engine)
        self._update_engines(update)
        return True

    def _change_state(self, event: LifecycleEvent) -> bool:
        previous = self.lifecycle.state
        accepted = self.lifecycle.handle(event, time.monotonic())
        log.event(
            "lifecycle",
            event.value,
            accepted=accepted,
            was=previous.value,
            state=self.lifecycle.state.value,
            open=self.gateway.unanswered_count,
            connections=len(self.frontend.connections),
        )
        self.frontend.on_lifecycle_change()
        return accepted

    def start(self) -> None:
        """Apply the commands in the configuration, follow the command channel and listen.

        Raise ConfigError if an address cannot be bound.
        """
        if self.config.unread:
            log.event("configuration", "unknown keys ignored", keys=",".join(self.config.unread))
        self._listen("console", self.console)
        # The first list counts as cached, since it was not received from the command channel.
        is_first_list = True
        for command in self.config.known:
            if is_first_list and command.engines is not None:
                is_first_list = False
                cached = dataclasses.replace(command.engines, kind=ListKind.CACHED)
                command = dataclasses.replace(command, engines=cached)
            self.apply(command)
        self.is_started = True
        self.channel.follow(self.config.channel)
        gevent.spawn(self.engine_pools.run_sweeper)
        self.loop_monitor.start()
        self._listen("listen", self.frontend)
        host, port = self.frontend.address
        log.event("proxy", "listening", name=self.config.name, address=f"{host}:{port}")
        self._change_state(LifecycleEvent.STARTED)

    def _listen(self, key: str, server: Console | Frontend | None) -> None:
        if server is None:
            return
        try:
            server.start()
        except OSError as e:
            raise configuration.ConfigError(f"{key}: {e}") from None

    def reload_config(self, env: Mapping[str, str]) -> None:
        """Read the configuration file again and follow the command channel that it names.

        Its other changes take effect at the next start. A file that cannot be used changes nothing.
        """
        try:
            config = configuration.load(env)
        except configuration.ConfigError as e:
            log.event("configuration", "reload failed, keeping the previous configuration", error=e)
            return
        compared = {f.name for f in dataclasses.fields(config)} - set(RELOADED_FIELDS + UNCOMPARED_FIELDS)
        changed = sorted(n for n in compared if getattr(config, n) != getattr(self.config, n))
        log.event(
            "configuration",
            "configuration reloaded",
            channel=config.channel,
            from_next_start=",".join(changed),
        )
        self.channel.follow(config.channel)

    def run(self) -> int:
        """Serve until a signal stops the process; return its exit code."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.stop)
        gevent.signal_handler(signal.SIGHUP, self.reload_config, os.environ)
        gevent.signal_handler(signal.SIGUSR1, self.write_metrics)
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 20)
        self.start()
        if early_sighups:
            self.reload_config(os.environ)
        self.stop_requested.wait()
        self.shut_down()
        return 0

    def stop(self) -> None:
        """Begin the shutdown, which cannot be undone."""
        self._change_state(LifecycleEvent.STOP)
        self.stop_requested.set()

    def shut_down(self) -> None:
        """Answer all requests and close all connections, within the time that the settings allow."""
        started_at_s = time.monotonic()
        if self.lifecycle.state is not State.STOPPING:
            self.stop()
        self.gateway.begin_shutdown(int(self.lifecycle.serving_time_after_stop_s * US_PER_S))
        gevent.sleep(max(self.lifecycle.accepts_until_s - time.monotonic(), 0.0))
        self._log_stage("stopped accepting connections and requests", started_at_s)
        self.frontend.stop_accepting()
        gevent.sleep(LAST_ACCEPTED_START_S)
        self.frontend.wait_until_all_closed(self.lifecycle.answers_by_s - time.monotonic())
        self._log_stage("terminating open requests", started_at_s)
        self.gateway.terminate_all_queries()
        self.frontend.wait_until_all_closed(self.lifecycle.exits_by_s - time.monotonic())
        self._log_stage("all connections closed or time is up", started_at_s)
        if self.gateway.unanswered_count:
            self.audit.record_violation(Rule.OPEN_AT_EXIT, open=self.gateway.unanswered_count)
        self.frontend.close_all_connections()
        if self.console is not None:
            self.console.close()
        self._change_state(LifecycleEvent.EXITED)
        self.write_metrics()

    def _log_stage(self, stage: str, started_at_s: float) -> None:
        log.event(
            "shutdown",
            stage,
            after_ms=round((time.monotonic() - started_at_s) * 1000),
            open=self.gateway.unanswered_count,
            connections=len(self.frontend.connections),
        )

    def write_metrics(self) -> None:
        """Write all metrics to standard error in the Prometheus text format."""
        self.metrics.cpu_seconds.value = time.process_time()
        self.metrics.memory_bytes.value = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
        sys.stderr.write(self.metrics.text())
        sys.stderr.flush()


def main() -> int:
    """Run the proxy; return the exit code, 2 for an invalid configuration."""
    log.configure()
    try:
        return Proxy(configuration.load(os.environ)).run()
    except configuration.ConfigError as e:
        print(f"hollowhitch: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    code = main()
    sys.stderr.flush()
    os._exit(code)  # skips the interpreter's cleanup, whose time would count as part of the shutdown
