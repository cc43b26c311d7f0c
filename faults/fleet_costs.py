"""Processor time of a proxy for each kind of event, by the number of engines in its list.

One proxy runs in this process with a stub in place of its connections to the engines, so that the figures
cover decisions, the list of engines and timers, and no sockets.
"""

from __future__ import annotations

import dataclasses
import itertools
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from faults.settings import make_settings
from hollowhitch import config as configuration
from hollowhitch.__main__ import Proxy
from hollowhitch.gateway import Answer, Attempt, Query
from hollowhitch.policy.interface import LoadReport, Outcome, QueryArrived
from hollowhitch.protocol.channel import ServerEvent, decode_event

REPETITIONS = 200  # events of each kind that are measured
WARM_UP = 20  # events of each kind before them
REPORTS_AGE_S = 2.5  # seconds after which load reports are too old to be used
IDLE_S = 2.0  # seconds for which a process without traffic is measured
LOOK_UP, BULK_LOAD = "look-up", "bulk load"  # the query classes
DEADLINE_US = 2_000_000
DATA_SETS = 16


@dataclass(frozen=True)
class Fleet:
    """The fleet that a proxy sees."""

    engines: int
    proxies: int
    cores: float  # of each engine


class StubEngines:
    """Engines that take every attempt and answer none, until the caller ends it."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        """Take an attempt."""
        self.attempts.append(attempt)

    def cancel(self, attempt: Attempt, on_stopped: Callable[[], None]) -> bool:
        """Drop an attempt, as if it had not been sent."""
        self.attempts = [other for other in self.attempts if other is not attempt]
        return False

    def probe(self, engine: str) -> None:
        """Answer no probe."""


def make_member(number: int, phase: str = "active", started_ms: int = 0) -> dict[str, Any]:
    """Return an engine as a list on the command channel describes it."""
    port = 1024 + number % 60_000
    return {
        "id": f"e-{number:08x}",
        "host_port": f"127.{number // 60_000}.0.1:{port}",
        "locality": "z",
        "flavor": "k",
        "cell": 0,
        "phase": phase,
        "size": 1,
        "up_since_ms": started_ms,
    }


class Measurement:
    """One proxy, and the processor time of what happens to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._cursor = 1
        self._request_numbers = itertools.count()
        self._engine_numbers = itertools.count(fleet.engines)
        members = [make_member(number) for number in range(fleet.engines)]
        known = {"cursor": 1, "cmds": [self._make_event(members, complete=True)]}
        self._listed = list(range(fleet.engines))
        raw = {
            "name": "costs",
            "listen": "127.0.0.1:0",
            "limits": {"sockets": 256, "memory_mb": 192},
            "known": known,
            "settings": self._make_settings(),
        }
        self.proxy = Proxy(configuration.parse_config(raw, {}))
        self.engines = StubEngines()
        self.proxy.gateway.backend = self.engines
        self.proxy.start()

    def _make_settings(self) -> dict[str, Any]:
        settings = make_settings(proxies=self.fleet.proxies, slow_start_s=14.0, slow_start_window_s=3.0)
        base = settings["classes"][0]
        settings["classes"] = [{**base, "name": name} for name in (LOOK_UP, BULK_LOAD)]
        settings["extra"] = {
            "kindCores": [self.fleet.cores],
            "sizeMb": [16384],
            "parallelism": [1, 1],
            "holdsTables": [False, True],
            "yieldsToLoads": [True, False],
        }
        return settings

    def _make_event(self, members: list[dict[str, Any]], complete: bool = False) -> dict[str, Any]:
        nodes = {"revision": self._cursor, "complete": complete, "members": members}
        return {"cursor": self._cursor, "nodes": nodes}

    def _announce(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        self._cursor += 1
        data = json.dumps(self._make_event(members, complete))
        self.proxy.apply(decode_event(ServerEvent(str(self._cursor), data)))

    # What is measured

    def replace_engine(self) -> None:
        """Announce a new engine, and that the one listed for longest leaves and has left: three events."""
        started_ms, old, new = int(time.time() * 1000), self._listed.pop(0), next(self._engine_numbers)
        self._listed.append(new)
        self._announce([make_member(new, "active", started_ms)])
        self._announce([make_member(old, "leaving")])
        self._announce([make_member(old, "left")])

    def announce_all(self) -> None:
        """Announce a complete list, in which nothing has changed."""
        self._announce([make_member(number) for number in self._listed], complete=True)

    def submit(self, class_name: str, data_set: int) -> None:
        """Submit a query."""
        arrival = QueryArrived("", class_name, None, None, DEADLINE_US, 20_000, 8.0, data_set, False)
        query = Query(f"{next(self._request_numbers):016x}", arrival, None, b"select", _ignore_answer)
        self.proxy.gateway.submit(query, self.proxy.clock.now_us())

    def end_attempts(self, outcome: Outcome, report: LoadReport | None) -> None:
        """End the attempts that are in flight, without those that are started meanwhile."""
        attempts, self.engines.attempts = self.engines.attempts, []
        for attempt in attempts:
            self.proxy.gateway.attempt_ended(attempt, outcome, report)

    def look_up(self) -> None:
        """Submit a look-up in one of a few data sets."""
        self.submit(LOOK_UP, next(self._request_numbers) % DATA_SETS)

    def look_up_in_new_data_set(self) -> None:
        """Submit a look-up in a data set that no query has named before."""
        self.submit(LOOK_UP, 1_000 + next(self._request_numbers))

    def bulk_load(self) -> None:
        """Submit a bulk load into one of a few data sets."""
        self.submit(BULK_LOAD, next(self._request_numbers) % DATA_SETS)

    def restart_look_up(self) -> None:
        """Give up all queries and submit a look-up."""
        self.give_up_all()
        self.look_up()

    def answer(self) -> None:
        """Answer what is in flight, with load reports."""
        self.end_attempts(Outcome.OK, make_report(0.3))

    def give_up_all(self) -> None:
        """End all queries, so that none is held or in flight."""
        self.proxy.gateway.terminate_all_queries()
        self.engines.attempts = []

    def fail(self) -> None:
        """Break the connections of what is in flight."""
        self.end_attempts(Outcome.RESET, None)


def make_report(cpu_share: float) -> LoadReport:
    """Return a load report of an engine with this share of busy cores."""
    empty = LoadReport(*(None for _ in dataclasses.fields(LoadReport)))
    return dataclasses.replace(empty, cpu_share=cpu_share, memory_share=0.2, waiting=0.0)


def _ignore_answer(answer: Answer) -> None:
    """Stand for a client that reads nothing."""


def cpu_us(action: Callable[[], None], before: Callable[[], None] = lambda: None) -> float:
    """Return the mean processor time of an action in microseconds, without that of `before` it."""
    total_s = 0.0
    for number in range(WARM_UP + REPETITIONS):
        before()
        began_at_s = time.process_time()
        action()
        if number >= WARM_UP:
            total_s += time.process_time() - began_at_s
    return total_s / REPETITIONS * 1e6


def measure(fleet: Fleet) -> dict[str, float]:
    """Return the processor time of each kind of event in microseconds, and of a second without any."""
    run = Measurement(fleet)
    costs = {
        "look-up": cpu_us(run.look_up, before=run.answer),
        "look-up, new data set": cpu_us(run.look_up_in_new_data_set, before=run.answer),
        "bulk load": cpu_us(run.bulk_load, before=run.answer),
        "answer with load report": cpu_us(run.answer, before=run.look_up),
        "broken connection": cpu_us(run.fail, before=run.restart_look_up),
    }
    run.give_up_all()
    gevent.sleep(REPORTS_AGE_S)
    began_at_s = time.process_time()
    gevent.sleep(IDLE_S)
    costs["second without traffic"] = (time.process_time() - began_at_s) / IDLE_S * 1e6
    costs["channel event"] = cpu_us(run.replace_engine) / 3
    run.answer()
    costs["look-up during a release"] = cpu_us(run.look_up, before=run.replace_engine)
    run.answer()
    began_at_s = time.process_time()
    gevent.sleep(IDLE_S)
    costs["second of slow start"] = (time.process_time() - began_at_s) / IDLE_S * 1e6
    costs["complete list, per engine"] = cpu_us(run.announce_all) / fleet.engines
    return costs


def as_table(columns: list[tuple[Fleet, dict[str, float]]]) -> str:
    """Return the figures as a Markdown table with one column for each fleet."""
    heads = [f"{f.engines} engines of {f.cores:g}, {f.proxies} proxies" for f, _ in columns]
    lines = ["| us | " + " | ".join(heads) + " |", "| --- |" + " --- |" * len(columns)]
    for name in columns[0][1]:
        lines.append(f"| {name} | " + " | ".join(f"{costs[name]:.0f}" for _, costs in columns) + " |")
    return "\n".join(lines)
