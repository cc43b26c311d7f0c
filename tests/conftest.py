"""Builders and a controller driver for all tests, and the options of the test run."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Container, Iterator
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from faults import shim
from faults.known_failures import KnownFailure, read_known_failures
from hollowhitch import Controller
from hollowhitch.policy import interface as api
from tests.fault_fixtures import NO_COMPILER_REASON, fault_library, make_harness, new_harness

__all__ = ["fault_library", "make_harness", "new_harness"]  # fixtures

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
hypothesis_settings.load_profile("ci")

SECOND_US = 1_000_000
DESELECTED_TEST_IDS = pytest.StashKey[set[str]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="run the known failures too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt names."""
    if config.getoption("--known-red"):
        return
    known_test_ids = {failure.check for failure in read_known_failures() if failure.is_test}
    deselected = [item for item in items if item.nodeid in known_test_ids]
    config.stash[DESELECTED_TEST_IDS] = {item.nodeid for item in deselected}
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in known_test_ids]


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    """Name the tests that were left out, and why."""
    if not shim.find_compiler():
        terminalreporter.write_line(f"fault tests on real processes skipped: {NO_COMPILER_REASON}")
    deselected_test_ids = config.stash.get(DESELECTED_TEST_IDS, set())
    for line in known_failure_lines(read_known_failures(), deselected_test_ids):
        terminalreporter.write_line(line)


def known_failure_lines(failures: list[KnownFailure], deselected_test_ids: Container[str]) -> list[str]:
    """Return a line for each known failure that the suite passed over or that is not part of its run.

    Entries of the fault soak get none, since the soak runs and prints them.
    """
    lines = []
    for failure in failures:
        if failure.is_test:
            reason = "not run" if failure.check in deselected_test_ids else None
        else:
            reason = None if failure.is_soak else "not part of this run"
        if reason is not None:
            lines.append(f"known failure, {reason}: {failure.check} ({failure.observed}; {failure.issue})")
    return lines


def make_query_class(name: str = "q", **changes: Any) -> api.QueryClass:
    """Return a query class with a latency target of 1 s and a deadline of 6 s, with changes."""
    base = api.QueryClass(
        name=name,
        target_us=SECOND_US,
        target_work_factor=2.0,
        deadline_us=6 * SECOND_US,
        worth=1.0,
        late_worth_share=0.0,
        retry_safety=api.RetrySafety.SAFE,
        dedup_scope=api.DedupScope.ALL,
        dedup_window_us=5 * SECOND_US,
        in_order=False,
        threads=1,
        is_bulk_load=False,
        waits_for_bulk_loads=False,
        only_zones=None,
        only_kinds=None,
    )
    return dataclasses.replace(base, **changes)


def make_controller_settings(
    *classes: api.QueryClass, rules: dict | None = None, limits: dict | None = None, **changes: Any
):
    """Return settings of one of two gateways, with changes; `rules` and `limits` change single fields."""
    base_rules = api.Rules(
        answer_slack_us=20_000,
        drain_grace_us=SECOND_US,
        list_max_age_us=10 * SECOND_US,
        start_capacity_share=0.34,
        slow_start_us=14 * SECOND_US,
        slow_start_multiple=2.5,
        slow_start_window_us=1_500_000,
        key_delay_us=SECOND_US,
        retry_budget_share=None,
        retry_budget_free=3.0,
        retry_budget_window_us=5 * SECOND_US,
    )
    base_limits = api.Limits(
        max_attempts=4, cancel=True, second_copies=True, probes=False, messages=False, retry_after_us=500_000
    )
    base = api.Settings(
        gateway_index=0,
        gateway_count=2,
        zone="z1",
        zones=("z1", "z2"),
        kinds=(api.EngineKind("k8", 8.0, 16384.0), api.EngineKind("k4", 4.0, 8192.0)),
        classes=classes or (make_query_class(),),
        tenants=(),
        over_share_worth=0.1,
        limits=dataclasses.replace(base_limits, **(limits or {})),
        rules=dataclasses.replace(base_rules, **(rules or {})),
        prices=api.Prices(0.0, 0.05, 0.01, 0.03, 0.0),
        subscribes_to_list=False,
        reports_with_answers=True,
        reports_with_probes=True,
        weight_is_size=False,
        tick_us=5_000,
        engines_take_grants=False,
        engines_take_priorities=False,
        max_grant_share=0.4,
        engines_report_usage=False,
        progress_us=SECOND_US,
        memory_shortage_policy=api.MemoryShortagePolicy.WAIT,
    )
    return dataclasses.replace(base, **changes)


def make_engine(name: str, **changes: Any) -> api.Engine:
    """Return a ready engine of 8 cores that started long ago, with changes."""
    base = api.Engine(name, "z1", "k8", 0, api.EngineState.READY, 1.0, 0)
    return dataclasses.replace(base, **changes)


def make_report(**values: float) -> api.LoadReport:
    """Return a load report that has the given values only."""
    empty = api.LoadReport(None, None, None, None, None, None, None, None)
    return dataclasses.replace(empty, **values)


def random_chunks(data: Any, content: bytes) -> Iterator[bytes]:
    """Split bytes at random places, as reads from a socket do."""
    while content:
        chunk_size = data.draw(st.integers(1, len(content)))
        yield content[:chunk_size]
        content = content[chunk_size:]


class ControllerDriver:
    """Driver of one controller, on a clock of its own.

    Records the controller's actions and its timers. `on_actions`, if set, is called with the actions of each
    event.
    """

    def __init__(self, *engines: api.Engine, settings: api.Settings | None = None, seed: int = 1) -> None:
        self.controller = Controller(settings or make_controller_settings(), seed)
        self.now_us, self.serial = 10 * SECOND_US, itertools.count()
        self.actions: list[tuple[int, api.Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.on_actions: Callable[[list[api.Action]], None] | None = None
        self.apply_list(api.ListKind.CACHED, *engines)

    def handle(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the controller, and return its actions."""
        actions = self.controller.handle(self.now_us, event)
        self.actions += [(self.now_us, a) for a in actions]
        if self.on_actions is not None:
            self.on_actions(actions)
        self.timers += [(self.now_us + a.delay_us, a.label) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def apply_list(self, kind: api.ListKind, *engines: api.Engine) -> list[api.Action]:
        """Apply a list of engines, and return the actions."""
        return self.handle(api.EngineList(kind, engines))

    def submit(self, query_id: str | None = None, **changes: Any) -> list[api.Action]:
        """Submit a query of 0.2 s of work and 100 MB with 6 s to go, with changes, and return the actions."""
        query_id = query_id or f"r{next(self.serial)}"
        base = api.QueryArrived(query_id, "q", None, None, 6 * SECOND_US, 200_000, 100.0, 1, False)
        return self.handle(dataclasses.replace(base, **changes))

    def end_attempt(
        self, query_id: str, outcome: api.Outcome, attempt: int = 0, **changes: Any
    ) -> list[api.Action]:
        """End an attempt after 0.2 s, with changes, and return the actions; an OK outcome is final."""
        engine = [a.engine for _, a in self.actions if isinstance(a, api.Send) and a.id == query_id][attempt]
        is_final = outcome is api.Outcome.OK
        base = api.AttemptEnded(query_id, attempt, engine, outcome, 200_000, is_final, 0, 0.0, None)
        return self.handle(dataclasses.replace(base, **changes))

    def advance(self, for_us: int) -> list[api.Action]:
        """Advance the clock by `for_us`, fire the timers that become due, and return the actions."""
        actions: list[api.Action] = []
        end_us = self.now_us + for_us
        while due_timers := sorted(t for t in self.timers if t[0] <= end_us):
            self.timers.remove(due_timers[0])
            self.now_us = max(self.now_us, due_timers[0][0])
            actions += self.handle(api.TimerFired(due_timers[0][1]))
        self.now_us = end_us
        return actions


def of_type(expected_type: type, actions: list[api.Action]) -> list[Any]:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, expected_type)]
