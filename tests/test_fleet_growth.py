"""Tests that the work for one event does not grow with the number of engines.

The work is counted in lines of the project's code that run, since a duration would depend on the machine. A
loop over all engines runs its lines once for each.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path

import gevent
import pytest

import hollowhitch
from hollowhitch import config as configuration
from hollowhitch import metrics
from hollowhitch.__main__ import Proxy
from hollowhitch.net import channel
from hollowhitch.net.channel import ChannelClient
from hollowhitch.policy import interface as api
from hollowhitch.policy import membership
from hollowhitch.protocol.channel import ServerEvent, decode_event
from tests import sample_config
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_query_class,
    make_report,
)
from tests.conftest import make_engine as make_default_engine

Outcome = api.Outcome
SOURCE_FOLDER = str(Path(hollowhitch.__file__).parent)
# Both are larger than what a decision may look at, which in a small fleet is every engine.
SMALLER, LARGER = 400, 3200
# A day in a fleet of 3,200 engines may cost 1.4 times the processor time of that day in a usual one.
MAX_GROWTH = 1.4
EVENTS = 40  # of each kind that are counted, since the work for one depends on random choices
# Number of proxies, and cores of all engines together. A single proxy has slots of its own at each engine.
SHARED, OWN = (200, 3200.0), (1, 25_600.0)


def count_lines(action: Callable[[], object]) -> int:
    """Return the number of lines of the project's code that an action runs."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        if not frame.f_code.co_filename.startswith(SOURCE_FOLDER):
            return None
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return count


def count_mean_lines(action: Callable[[int], object], before: Callable[[int], object] | None = None) -> float:
    """Return the mean number of lines that an action runs; `before` it is run each time, uncounted."""
    total = 0
    for number in range(EVENTS):
        if before is not None:
            before(number)
        total += count_lines(lambda n=number: action(n))
    return total / EVENTS


def assert_no_loop_over_all_engines(lines: dict[int, float]) -> None:
    """Fail if the work has grown with the fleet, apart from samples that may be larger in a larger fleet.

    A loop over all engines runs one line or more for each of the additional ones.
    """
    assert lines[LARGER] <= MAX_GROWTH * lines[SMALLER] + (LARGER - SMALLER) / 2, lines


def make_engine(number: int, **changes) -> api.Engine:
    return make_default_engine(f"e-{number:08x}", kind="k", **changes)


class LargeFleet:
    """A controller that sees a fleet, of which a third is in slow start."""

    def __init__(self, size: int, proxies: int, total_cores: float) -> None:
        settings = make_controller_settings(
            make_query_class("look-up", waits_for_bulk_loads=True),
            make_query_class("load", is_bulk_load=True),
            gateway_count=proxies,
            kinds=(api.EngineKind("k", total_cores / size, 16384.0),),
            rules={"list_max_age_us": None},
        )
        started_at_us = [9 * SECOND_US if n % 3 == 0 else 0 for n in range(size)]
        self.engines = [make_engine(n, started_at_us=at_us) for n, at_us in enumerate(started_at_us)]
        self.driver = ControllerDriver(*self.engines, settings=settings)

    def submit(self, number: int, class_name: str = "look-up", data_set: int = 1) -> None:
        self.driver.now_us += 20_000
        self.driver.submit(
            f"{class_name}{number}", class_name=class_name, data_set=data_set, cost_us=20_000, memory_mb=1.0
        )

    def end(self, number: int, outcome: Outcome, class_name: str = "look-up", report=None) -> None:
        """End the attempts of a query that are in flight."""
        query = self.driver.controller.queries.get(f"{class_name}{number}")
        for attempt in query.attempts_in_flight() if query is not None else ():
            event = api.AttemptEnded(
                query.id,
                attempt.number,
                attempt.engine.info.id,
                outcome,
                20_000,
                outcome is Outcome.OK,
                0,
                0.0,
                report,
            )
            self.driver.handle(event)

    def answer(self, number: int, class_name: str = "look-up") -> None:
        self.end(number, Outcome.OK, class_name, make_report(cpu_share=0.2, memory_share=0.2))

    def leave(self, number: int, class_name: str = "look-up") -> None:
        self.driver.handle(api.ClientLeft(f"{class_name}{number}"))

    def replace_engine(self, number: int) -> None:
        """Announce a new engine, and that an old one leaves and has left."""
        at_us, old, new = self.driver.now_us, self.engines[number], len(self.engines) + number
        self.driver.apply_list(api.ListKind.DELTA, make_engine(new, started_at_us=at_us))
        for state in (api.EngineState.DRAINING, api.EngineState.GONE):
            self.driver.apply_list(
                api.ListKind.DELTA, make_engine(number, started_at_us=old.started_at_us, state=state)
            )


def lines_of_channel_events(fleet: LargeFleet) -> float:
    return count_mean_lines(fleet.replace_engine)


def lines_of_channel_events_while_queries_are_held(fleet: LargeFleet) -> float:
    for engine in fleet.driver.controller.engines.values():
        engine.reported_full_at_us = fleet.driver.now_us
        engine.used_slots = 4 * engine.limit
    for number in range(20):
        fleet.submit(number, data_set=number)
    assert fleet.driver.controller.held_queries.count
    return count_mean_lines(fleet.replace_engine)


def lines_of_look_ups(fleet: LargeFleet) -> float:
    return count_mean_lines(fleet.submit, before=lambda n: fleet.answer(n - 1))


def lines_of_look_ups_in_new_data_sets(fleet: LargeFleet) -> float:
    return count_mean_lines(lambda n: fleet.submit(n, data_set=100 + n), before=lambda n: fleet.answer(n - 1))


def lines_of_look_ups_during_a_release(fleet: LargeFleet) -> float:
    def answer_and_replace(number: int) -> None:
        fleet.answer(number - 1)
        fleet.replace_engine(number)

    return count_mean_lines(fleet.submit, before=answer_and_replace)


def lines_of_look_ups_while_no_engine_may_be_used(fleet: LargeFleet) -> float:
    for engine in fleet.driver.controller.engines.values():
        engine.ejected_until_us = fleet.driver.now_us + 60 * SECOND_US
    return count_mean_lines(fleet.submit, before=lambda n: fleet.leave(n - 1))


def lines_of_bulk_loads(fleet: LargeFleet) -> float:
    return count_mean_lines(lambda n: fleet.submit(n, "load"), before=lambda n: fleet.answer(n - 1, "load"))


def lines_of_answers_with_reports(fleet: LargeFleet) -> float:
    return count_mean_lines(fleet.answer, before=fleet.submit)


def lines_of_broken_connections(fleet: LargeFleet) -> float:
    return count_mean_lines(lambda n: fleet.end(n, Outcome.CONNECT_FAILED), before=fleet.submit)


def lines_of_feedback_periods(fleet: LargeFleet) -> float:
    for number in range(20):
        fleet.submit(number)
        fleet.answer(number)
    return count_mean_lines(lambda n: fleet.driver.advance(100_000))


@pytest.mark.parametrize("proxies_and_cores", [SHARED, OWN], ids=["shared", "own"])
@pytest.mark.parametrize(
    "count",
    [
        lines_of_channel_events,
        lines_of_channel_events_while_queries_are_held,
        lines_of_look_ups,
        lines_of_look_ups_in_new_data_sets,
        lines_of_look_ups_during_a_release,
        lines_of_look_ups_while_no_engine_may_be_used,
        lines_of_bulk_loads,
        lines_of_answers_with_reports,
        lines_of_broken_connections,
        lines_of_feedback_periods,
    ],
)
def test_the_work_for_a_decision_does_not_grow_with_the_fleet(count, proxies_and_cores):
    """Guards against a release in a large fleet that stalls the process: each event cost 10 ms there."""
    lines = {size: count(LargeFleet(size, *proxies_and_cores)) for size in (SMALLER, LARGER)}
    assert_no_loop_over_all_engines(lines)


def start_proxy(size: int) -> Proxy:
    members = [sample_config.make_member(f"e{n}", 1024 + n) for n in range(size)]
    return Proxy(configuration.parse_config(sample_config.make_config(*members), {}))


def test_the_work_for_a_channel_event_does_not_grow_with_the_fleet_outside_the_decisions_either():
    """Guards against the same stall by the list of engines, by the pools or by their sweep."""
    lines = {}
    for size in (SMALLER, LARGER):
        proxy = start_proxy(size)
        for command in proxy.config.known:
            proxy.apply(command)

        def replace_engine(number: int, proxy: Proxy = proxy, size: int = size) -> None:
            for cursor, (name, phase) in enumerate(
                [(f"e{size + number}", "active"), (f"e{number}", "leaving"), (f"e{number}", "left")]
            ):
                row = sample_config.make_member(name, 1024 + number) | {"phase": phase}
                raw = sample_config.make_command(10 + 3 * number + cursor, row)
                proxy.apply(decode_event(ServerEvent("", configuration.ujson.dumps(raw))))
            proxy.engine_pools.sweep(1_000_000)

        lines[size] = count_mean_lines(replace_engine)
    assert_no_loop_over_all_engines(lines)


def test_the_work_for_a_list_does_not_grow_with_the_engines_that_have_gone_before(monkeypatch):
    """Guards against a process that has seen many engines, and looks at all of them with each change."""
    lines = {}
    for maximum in (SMALLER, LARGER):
        monkeypatch.setattr(membership, "MAX_ENGINES", maximum)
        members = membership.Membership()

        def replace_engine(number: int, members: membership.Membership = members) -> None:
            for state in (api.EngineState.READY, api.EngineState.GONE):
                engines = (make_engine(number, state=state),)
                members.apply(api.EngineList(api.ListKind.DELTA, engines), {})

        for number in range(2 * maximum):
            replace_engine(number)
        lines[maximum] = count_mean_lines(lambda n: replace_engine(100_000 + n))
    assert_no_loop_over_all_engines(lines)


def test_everything_else_runs_between_the_events_of_one_read_of_the_channel(monkeypatch):
    """Guards against a loop that stands still while all events of a read are handled, 64 KB of them."""
    monkeypatch.setattr(channel, "dial", lambda *arguments: FakeChannel(event_count=200))
    monkeypatch.setattr("hollowhitch.net.turns.TURN_S", 0.0)
    applied: list[int] = []
    client = ChannelClient(0, lambda command: applied.append(command.cursor), metrics.Metrics())
    seen_counts: list[int] = []

    def watch() -> None:
        while len(applied) < 200:
            seen_counts.append(len(applied))
            gevent.sleep(0)

    client.follow(("127.0.0.1", 1))
    gevent.spawn(watch).join(timeout=10)
    client.follow(None)
    assert applied == list(range(1, 201))
    assert len(set(seen_counts)) > 100


class FakeChannel:
    """A connection to the command channel on which all events arrive with one read."""

    def __init__(self, event_count: int) -> None:
        events = (f'id: {n}\ndata: {{"cursor": {n}}}\n\n' for n in range(1, event_count + 1))
        self._content = b"HTTP/1.1 200 OK\r\n\r\n" + "".join(events).encode()

    def __enter__(self) -> FakeChannel:
        return self

    def __exit__(self, *exception: object) -> None:
        pass

    def settimeout(self, timeout_s: float | None) -> None:
        pass

    def sendall(self, content: bytes) -> None:
        pass

    def recv_into(self, space: memoryview) -> int:
        count = min(len(space), len(self._content))
        space[:count] = self._content[:count]
        self._content = self._content[count:]
        return count
