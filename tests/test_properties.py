"""Property tests of the controller with random but legal events; rules are checked by its actions alone."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.policy import interface as api
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_engine,
    make_query_class,
)

RetrySafety, Outcome = api.RetrySafety, api.Outcome
FAILURES = [
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.UNKNOWN,
]


@pytest.mark.parametrize("retry_safety", list(RetrySafety))
@given(
    seed=st.integers(0, 10**6),
    cancel=st.booleans(),
    in_order=st.booleans(),
    dedup_scope=st.sampled_from(api.DedupScope),
)
def test_rules_hold_in_any_order_of_events(retry_safety, seed, cancel, in_order, dedup_scope):
    rng = random.Random(seed)
    query_class = make_query_class(
        retry_safety=retry_safety,
        in_order=in_order,
        dedup_scope=dedup_scope,
        dedup_window_us=2 * SECOND_US,
        only_kinds=("k8",),
    )
    rules = {"retry_budget_share": 0.2, "retry_budget_free": 2.0}
    engines = [
        make_engine(f"e{i}", zone=f"z{1 + i % 2}", cell=i % 3, kind="k8" if i else "k4") for i in range(6)
    ]
    engines_by_id = {e.id: e for e in engines}
    driver = ControllerDriver(
        *engines,
        settings=make_controller_settings(query_class, rules=rules, limits={"cancel": cancel}),
        seed=seed,
    )
    arrivals: dict[str, tuple[int, int, int]] = {}  # time in us, number and order key, by query id
    ended_at_us: dict[str, int] = {}
    expires_at_us: dict[str, int] = {}
    # Engine and time of the end in us of the first attempt that may have run, by query id.
    first_runs: dict[str, tuple[str, int]] = {}
    in_flight: dict[tuple[str, int], str] = {}  # engine, by query id and number of the attempt
    send_counts: dict[str, int] = {}
    retried_at_us: list[int] = []
    left_ids, drained_at_us, key_delayed_until_us, arrival_count = set(), {}, {}, 0

    def check(actions: list[api.Action]) -> None:
        """Check the rules for the actions of one event, and record what they change."""
        for action in actions:
            if isinstance(action, api.Send):
                assert action.id not in ended_at_us and action.id not in left_ids
                assert engines_by_id[action.engine].kind == "k8" and action.engine not in drained_at_us
                number = send_counts.get(action.id, 0)
                assert not [attempt for attempt in in_flight if attempt[0] == action.id]
                if action.id in first_runs:
                    engine_id, run_ended_at_us = first_runs[action.id]
                    assert retry_safety is not RetrySafety.UNSAFE
                    if retry_safety is RetrySafety.DEDUPLICATED:
                        assert driver.now_us - run_ended_at_us <= 2 * SECOND_US
                        if dedup_scope is not api.DedupScope.ALL:
                            group = "zone" if dedup_scope is api.DedupScope.ZONE else "cell"
                            assert getattr(engines_by_id[action.engine], group) == getattr(
                                engines_by_id[engine_id], group
                            )
                if in_order:
                    key = arrivals[action.id][2]
                    for other, (_, arrival_number, other_key) in arrivals.items():
                        if other_key == key and arrival_number < arrivals[action.id][1]:
                            assert other in ended_at_us or other in left_ids
                            assert not [earlier for earlier in in_flight if earlier[0] == other]
                    assert number or driver.now_us >= key_delayed_until_us.get(key, 0)
                if number:
                    retried_at_us.append(driver.now_us)
                    recent_retries = [t for t in retried_at_us if t >= driver.now_us - 5 * SECOND_US]
                    recent_arrivals = [
                        t for t, _, _ in arrivals.values() if t > driver.now_us - 5 * SECOND_US
                    ]
                    assert len(recent_retries) <= 2 + 0.2 * len(recent_arrivals) + 1e-6
                send_counts[action.id] = number + 1
                in_flight[action.id, number] = action.engine
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.id not in ended_at_us and action.id not in left_ids
                if isinstance(action, api.Refuse):
                    may_have_run = action.id in first_runs or [
                        attempt for attempt in in_flight if attempt[0] == action.id
                    ]
                    assert (
                        not may_have_run
                        or retry_safety is RetrySafety.SAFE
                        or (retry_safety is RetrySafety.DEDUPLICATED and dedup_scope is api.DedupScope.ALL)
                    )
                ended_at_us[action.id] = driver.now_us

    driver.on_actions = check
    for _ in range(120):
        driver.advance(rng.choice([0, 1_000, 50_000, 400_000]))
        choice = rng.random()
        if choice < 0.45:
            query_id, key = f"r{arrival_count}", rng.randrange(3)
            arrivals[query_id] = (driver.now_us, arrival_count, key)
            arrival_count += 1
            expires_at_us[query_id] = driver.now_us + (
                expires_in_us := rng.choice([1, 300_000, 2 * SECOND_US, 6 * SECOND_US])
            )
            driver.submit(
                query_id,
                key=key,
                expires_in_us=expires_in_us,
                cost_us=rng.choice([0, 10_000, 900_000]),
                memory_mb=rng.choice([0.0, 50.0]),
            )
        elif choice < 0.85 and in_flight:
            (query_id, number), engine_id = rng.choice(sorted(in_flight.items()))
            outcome = Outcome.OK if rng.random() < 0.5 else rng.choice(FAILURES)
            del in_flight[query_id, number]
            if not outcome.never_ran:
                first_runs.setdefault(query_id, (engine_id, driver.now_us))
            if outcome.may_still_run and in_order:
                key_delayed_until_us[arrivals[query_id][2]] = driver.now_us + SECOND_US
            is_final = outcome is Outcome.OK or query_id in ended_at_us or query_id in left_ids
            if is_final and query_id not in left_ids:
                ended_at_us.setdefault(query_id, driver.now_us)
            driver.handle(
                api.AttemptEnded(query_id, number, engine_id, outcome, 50_000, is_final, 0, 0.0, None)
            )
        elif choice < 0.9 and arrivals:
            query_id = rng.choice(sorted(arrivals))
            if query_id not in ended_at_us:
                left_ids.add(query_id)
            driver.handle(api.ClientLeft(query_id))
        elif choice < 0.95:
            engine_id = f"e{rng.randrange(6)}"
            if engine_id in drained_at_us:
                del drained_at_us[engine_id]
                driver.apply_list(api.ListKind.DELTA, engines_by_id[engine_id])
            else:
                drained_at_us[engine_id] = driver.now_us
                listed = engines_by_id[engine_id]
                draining = api.EngineState.DRAINING
                drained_engine = make_engine(
                    engine_id, zone=listed.zone, kind=listed.kind, cell=listed.cell, state=draining
                )
                driver.apply_list(api.ListKind.DELTA, drained_engine)
        else:
            driver.handle(api.Note(f"r{max(arrival_count - 1, 0)}", 0, api.NoteKind.PROGRESS, 0.01))
    driver.advance(10 * SECOND_US)
    assert all(name in ended_at_us or name in left_ids for name in arrivals)
    assert all(
        ended_at_us[name] <= expires_at_us[name] + 20_000 for name in ended_at_us if name not in left_ids
    )


def test_no_records_of_ended_queries_are_kept():
    """Guards against memory leaks in a long-running proxy that gets ever new ids, keys and data sets."""
    keyed = make_query_class(retry_safety=api.RetrySafety.DEDUPLICATED, in_order=True)
    driver = ControllerDriver(
        make_engine("e1"), make_engine("e2"), settings=make_controller_settings(keyed, make_query_class("s"))
    )
    for n in range(2000):
        name, key = ("q", n) if n % 2 else ("s", None)
        driver.actions.clear()
        driver.submit(f"r{n}", class_name=name, key=key, data_set=n)
        if n % 3:
            driver.handle(api.ClientLeft(f"r{n}"))
        for attempt in range(4):
            if len([a for _, a in driver.actions if isinstance(a, api.Send) and a.id == f"r{n}"]) > attempt:
                driver.end_attempt(f"r{n}", Outcome.CANCELLED if n % 5 == 0 else Outcome.OK, attempt)
        driver.now_us += 20_000
    driver.advance(60 * SECOND_US)
    controller = driver.controller
    containers = [
        controller.queries,
        controller.key_order.queues,
        controller.key_order.delayed_until_us,
        controller.arrivals.entries,
        controller.retries.entries,
        controller.held_queries.queues,
    ]
    containers += [
        container
        for engine in controller.engines.values()
        for container in (engine.queries_in_flight, engine.slow_start_sent.entries)
    ]
    assert (
        all(len(entries) < 300 for entries in containers)
        and not controller.queries
        and not controller.key_order.delayed_until_us
    )
    assert (
        max(len(controller.held_queries.by_worth), len(controller.schedule), len(controller.partitions)) < 600
    )
