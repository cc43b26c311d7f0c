"""Tests of the rules that the controller keeps, by the actions that it returns."""

from __future__ import annotations

import pytest

from hollowhitch.policy import interface as api
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_engine,
    make_query_class,
    of_type,
)

RetrySafety, Outcome = api.RetrySafety, api.Outcome


def test_every_query_is_answered_before_it_expires():
    driver = ControllerDriver(
        settings=make_controller_settings(
            make_query_class(deadline_us=60 * SECOND_US, target_us=50 * SECOND_US)
        )
    )
    driver.submit("a", expires_in_us=700_000)
    actions = driver.advance(SECOND_US)
    assert of_type(api.Refuse, actions) and not of_type(api.Fail, actions)
    assert next(t for t, a in driver.actions if isinstance(a, api.Refuse)) < 10 * SECOND_US + 700_000


def test_query_that_expires_within_a_tick_is_answered_at_once():
    driver = ControllerDriver(make_engine("e1"))
    assert of_type(api.Refuse, driver.submit("a", expires_in_us=1_000))


def test_query_without_a_permitted_engine_is_held_then_refused():
    driver = ControllerDriver(
        make_engine("e1"), settings=make_controller_settings(make_query_class(only_kinds=("k4",)))
    )
    assert not of_type(api.Send, driver.submit("a"))
    assert not of_type(api.Send, driver.advance(3 * SECOND_US))
    assert (
        len(of_type(api.Refuse, [a for _, a in driver.actions]))
        + len(of_type(api.Refuse, driver.advance(4 * SECOND_US)))
        >= 1
    )
    assert not of_type(api.Send, [a for _, a in driver.actions])


def test_nothing_is_answered_or_sent_after_the_client_has_left():
    driver = ControllerDriver(make_engine("e1"), make_engine("e2"))
    driver.submit("a")
    driver.handle(api.ClientLeft("a"))
    actions = driver.end_attempt("a", Outcome.CANCELLED, is_final=True) + driver.advance(8 * SECOND_US)
    assert (
        not of_type(api.Send, actions) and not of_type(api.Refuse, actions) and not of_type(api.Fail, actions)
    )


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.UNKNOWN]
)
def test_unsafe_query_that_may_have_run_fails_and_is_not_retried(outcome):
    driver = ControllerDriver(
        make_engine("e1"),
        make_engine("e2"),
        settings=make_controller_settings(make_query_class(retry_safety=RetrySafety.UNSAFE)),
    )
    driver.submit("a")
    actions = driver.end_attempt("a", outcome)
    assert of_type(api.Fail, actions) == [api.Fail("a", api.EndReason.NO_ATTEMPT_LEFT)]
    assert not of_type(api.Send, actions) and not of_type(api.Refuse, actions)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT])
def test_unsafe_query_that_never_ran_is_retried(outcome):
    driver = ControllerDriver(
        make_engine("e1"),
        make_engine("e2"),
        settings=make_controller_settings(make_query_class(retry_safety=RetrySafety.UNSAFE)),
    )
    first = of_type(api.Send, driver.submit("a"))[0]
    second = of_type(api.Send, driver.end_attempt("a", outcome))
    assert second and second[0].engine != first.engine


def test_unsafe_query_still_in_flight_when_it_expires_fails():
    driver = ControllerDriver(
        make_engine("e1"),
        settings=make_controller_settings(make_query_class(retry_safety=RetrySafety.UNSAFE)),
    )
    driver.submit("a", expires_in_us=SECOND_US)
    actions = driver.advance(2 * SECOND_US)
    assert of_type(api.Fail, actions) and not of_type(api.Refuse, actions)


@pytest.mark.parametrize("scope,key", [(api.DedupScope.ZONE, "zone"), (api.DedupScope.CELL, "cell")])
def test_deduplicated_query_is_retried_only_inside_its_dedup_scope(scope, key):
    engines = [make_engine(f"e{i}", zone=f"z{1 + i % 2}", cell=i % 2) for i in range(6)]
    for seed in range(12):
        driver = ControllerDriver(
            *engines,
            settings=make_controller_settings(
                make_query_class(retry_safety=RetrySafety.DEDUPLICATED, dedup_scope=scope)
            ),
            seed=seed,
        )
        first = of_type(api.Send, driver.submit("a"))[0].engine
        retries = of_type(api.Send, driver.end_attempt("a", Outcome.ERROR))
        assert retries and retries[0].engine != first
        assert int(retries[0].engine[1]) % 2 == int(first[1]) % 2


def test_deduplicated_query_is_not_retried_after_its_window_and_fails_if_its_scope_is_partial():
    query_class = make_query_class(
        retry_safety=RetrySafety.DEDUPLICATED, dedup_scope=api.DedupScope.ZONE, dedup_window_us=SECOND_US
    )
    driver = ControllerDriver(
        make_engine("e1"), make_engine("e2"), settings=make_controller_settings(query_class)
    )
    driver.submit("a")
    driver.now_us += 1_200_000
    actions = driver.end_attempt("a", Outcome.ERROR)
    assert not of_type(api.Send, actions) and of_type(api.Fail, actions)


def deduplicated_driver(window_us: int, *engines: api.Engine) -> ControllerDriver:
    """Return a driver whose queries are deduplicated for a window by all engines."""
    query_class = make_query_class(
        retry_safety=RetrySafety.DEDUPLICATED, dedup_scope=api.DedupScope.ALL, dedup_window_us=window_us
    )
    return ControllerDriver(*engines, settings=make_controller_settings(query_class))


@pytest.mark.parametrize("ended_after_us,refused", [(2 * SECOND_US, True), (4 * SECOND_US, False)])
def test_a_query_that_may_have_run_is_refused_only_while_a_further_try_would_be_dropped(
    ended_after_us, refused
):
    """Guards against a refusal after which the client sends a load again, and engines run it twice."""
    driver = deduplicated_driver(5 * SECOND_US, make_engine("e1"))
    driver.submit("a", expires_in_us=ended_after_us)
    actions = driver.advance(ended_after_us)
    assert [len(of_type(kind, actions)) for kind in (api.Refuse, api.Fail)] == [refused, not refused]


def test_a_held_query_that_may_have_run_fails_once_it_may_not_be_sent_any_more():
    """Guards against clients that wait for their deadline although the query is given up."""
    driver = deduplicated_driver(3 * SECOND_US, make_engine("e1"), make_engine("e2"))
    driver.submit("a", expires_in_us=6 * SECOND_US)
    for engine in driver.controller.engines.values():
        engine.ejected_until_us = driver.now_us + 60 * SECOND_US
    driver.now_us += 2_500_000
    assert not of_type(api.Fail, driver.end_attempt("a", Outcome.RESET))
    assert driver.controller.queries["a"].held
    assert of_type(api.Fail, driver.advance(600_000))


@pytest.mark.parametrize("state", [api.EngineState.DRAINING, api.EngineState.GONE])
def test_an_engine_listed_as_draining_or_gone_is_sent_nothing_more(state):
    driver = ControllerDriver(make_engine("e1"), make_engine("e2"))
    driver.apply_list(api.ListKind.DELTA, make_engine("e1", state=state))
    assert {of_type(api.Send, driver.submit())[0].engine for _ in range(4)} == {"e2"}


def test_full_list_removes_engines_that_it_does_not_contain():
    driver = ControllerDriver(make_engine("e1"), make_engine("e2"))
    driver.apply_list(api.ListKind.FULL, make_engine("e2"))
    assert {of_type(api.Send, driver.submit())[0].engine for _ in range(4)} == {"e2"}


def test_a_failed_list_is_requested_again_and_an_old_list_is_not_used():
    driver = ControllerDriver(make_engine("e1"), settings=make_controller_settings(subscribes_to_list=True))
    assert of_type(api.Subscribe, [a for _, a in driver.actions])
    assert of_type(api.Send, driver.submit())
    driver.apply_list(api.ListKind.FAILED)
    assert of_type(api.Subscribe, driver.advance(SECOND_US))
    driver.advance(12 * SECOND_US)
    assert not of_type(api.Send, driver.submit("late"))
    assert of_type(api.Send, driver.apply_list(api.ListKind.FULL, make_engine("e1")))


# Guards against a gateway that sends nothing at all where the settings state no age for lists.
def test_without_a_configured_age_a_list_does_not_go_out_of_date():
    settings = make_controller_settings(subscribes_to_list=True, rules={"list_max_age_us": None})
    driver = ControllerDriver(make_engine("e1"), settings=settings)
    driver.apply_list(api.ListKind.FAILED)
    driver.advance(60 * SECOND_US)
    assert of_type(api.Send, driver.submit("late"))


def test_engine_in_slow_start_gets_no_more_than_this_gateways_part_of_the_budget():
    driver = ControllerDriver(make_engine("e1", started_at_us=10 * SECOND_US - 100_000))
    sent_count = sum(len(of_type(api.Send, driver.submit())) for _ in range(200))
    # Multiple, capacity share at the start, cores, busy share at capacity, window; for one of two gateways.
    budget_us = 2.5 * 0.34 * 8 * 0.85 * 1.5 * SECOND_US / 2
    assert 0 < sent_count * 200_000 <= budget_us


def test_a_restart_does_not_renew_the_slow_start_budget():
    driver = ControllerDriver(make_engine("e1", started_at_us=10 * SECOND_US - 100_000))
    for _ in range(100):
        driver.submit()
    driver.apply_list(api.ListKind.DELTA, make_engine("e1", started_at_us=10 * SECOND_US - 1))
    for _ in range(100):
        driver.submit()
    sent_count = len([a for _, a in driver.actions if isinstance(a, api.Send)])
    assert sent_count * 200_000 <= 2.5 * 0.34 * 8 * 0.85 * 1.5 * SECOND_US / 2


def test_queries_of_a_key_are_sent_in_order_and_with_a_delay_after_a_cancelled_attempt():
    driver = ControllerDriver(
        make_engine("e1"),
        make_engine("e2"),
        settings=make_controller_settings(make_query_class(in_order=True)),
    )
    assert of_type(api.Send, driver.submit("a", key=7))
    assert not of_type(api.Send, driver.submit("b", key=7))
    assert of_type(api.Send, driver.submit("other", key=8))
    driver.handle(api.ClientLeft("a"))
    assert not of_type(api.Send, driver.end_attempt("a", Outcome.CANCELLED, is_final=True))
    assert not of_type(api.Send, driver.advance(900_000))
    sent = of_type(api.Send, driver.advance(200_000))
    assert [a.id for a in sent] == ["b"]


def test_next_query_of_a_key_is_sent_at_once_after_an_answer():
    driver = ControllerDriver(
        make_engine("e1"), settings=make_controller_settings(make_query_class(in_order=True))
    )
    driver.submit("a", key=7)
    driver.submit("b", key=7)
    assert [a.id for a in of_type(api.Send, driver.end_attempt("a", Outcome.OK))] == ["b"]


def test_a_query_is_sent_only_to_permitted_engines_on_every_attempt():
    query_class = make_query_class(only_zones=("z2",))
    driver = ControllerDriver(
        make_engine("e1"), make_engine("e2", zone="z2"), settings=make_controller_settings(query_class)
    )
    assert of_type(api.Send, driver.submit("a"))[0].engine == "e2"
    driver.end_attempt("a", Outcome.FULL)
    driver.advance(5 * SECOND_US)
    assert {a.engine for _, a in driver.actions if isinstance(a, api.Send)} == {"e2"}


def test_retries_stay_within_the_rolling_budget():
    rules = {"retry_budget_share": 0.1, "retry_budget_free": 3.0}
    driver = ControllerDriver(
        *(make_engine(f"e{i}") for i in range(6)), settings=make_controller_settings(rules=rules)
    )
    for i in range(40):
        driver.submit(f"a{i}")
    sent = [a for _, a in driver.actions if isinstance(a, api.Send)]
    for a in sent:
        driver.end_attempt(a.id, Outcome.ERROR)
    retry_count = len([a for _, a in driver.actions if isinstance(a, api.Send)]) - len({a.id for a in sent})
    assert 0 < retry_count <= 3 + 0.1 * 40


def test_a_query_is_refused_after_the_maximum_number_of_attempts():
    driver = ControllerDriver(
        *(make_engine(f"e{i}") for i in range(6)),
        settings=make_controller_settings(limits={"max_attempts": 2}),
    )
    driver.submit("a")
    driver.end_attempt("a", Outcome.FULL)
    actions = driver.end_attempt("a", Outcome.FULL, attempt=1)
    assert not of_type(api.Send, actions) and of_type(api.Refuse, actions)


def test_events_for_unknown_queries_and_engines_change_nothing():
    driver = ControllerDriver(make_engine("e1"))
    events = [
        api.AttemptEnded("x", 0, "e1", Outcome.OK, 1, True, 0, 0.0, None),
        api.Note("x", 3, api.NoteKind.PROGRESS, 0.5),
        api.ClientLeft("x"),
        api.StreamBegan("x", 0),
        api.ProbeEnded("gone", Outcome.OK, 1, None),
        api.MessageReceived(1, b"hi"),
        api.TimerFired(99),
    ]
    assert all(driver.handle(event) == [] for event in events)


@pytest.mark.parametrize("loaded_share", [0.0, 0.1])
def test_hundreds_of_gateways_together_keep_the_budget_of_an_engine_in_slow_start(loaded_share):
    fleet = [
        ControllerDriver(
            make_engine("cold", started_at_us=10 * SECOND_US),
            settings=make_controller_settings(gateway_index=i, gateway_count=290),
            seed=i,
        )
        for i in range(290)
    ]
    sent: list[tuple[int, int]] = []  # time and work of each attempt, in microseconds
    for step in range(140):  # 14 s in steps of 100 ms
        for i, driver in enumerate(fleet):
            driver.now_us = 10 * SECOND_US + step * 100_000
            is_loaded = i < 290 * loaded_share
            for n in range(3 if is_loaded else (i + step) % 5 == 0):
                actions = driver.submit(f"{i}-{step}-{n}", cost_us=200_000)
                sent += [(driver.now_us, 200_000)] * len(of_type(api.Send, actions))
    window_us, budget_us = 1_500_000, 2.5 * 0.34 * 8 * 0.85 * 1.5 * SECOND_US
    max_work_us = max(
        sum(work_us for sent_at_us, work_us in sent if start_us <= sent_at_us <= start_us + window_us)
        for start_us, _ in sent
    )
    assert max_work_us <= budget_us
    assert len(sent) > 20  # the engine still gets useful work


def test_a_closing_gateway_refuses_queries_that_would_outlast_it_and_serves_others():
    driver = ControllerDriver(make_engine("e1"))
    driver.handle(api.Closing(2 * SECOND_US))
    assert of_type(api.Refuse, driver.submit("long", cost_us=3 * SECOND_US)) == [
        api.Refuse("long", 500_000, api.EndReason.CLOSING)
    ]
    assert of_type(api.Send, driver.submit("short", cost_us=SECOND_US))


def test_a_closing_gateway_refuses_held_queries_at_once_but_none_that_may_have_run():
    unsafe = make_query_class("u", retry_safety=api.RetrySafety.UNSAFE)
    driver = ControllerDriver(settings=make_controller_settings(make_query_class(), unsafe))
    driver.submit("short", cost_us=100_000)
    driver.submit("held", cost_us=800_000)
    assert [a.id for a in of_type(api.Refuse, driver.handle(api.Closing(SECOND_US // 2)))] == ["held"]
    driver = ControllerDriver(
        make_engine("e1"), settings=make_controller_settings(make_query_class(), unsafe)
    )
    driver.submit("in-flight", class_name="u", cost_us=3 * SECOND_US)
    assert driver.handle(api.Closing(2 * SECOND_US)) == []
    assert of_type(api.Fail, driver.handle(api.GiveUp("in-flight"))) == [
        api.Fail("in-flight", api.EndReason.GIVEN_UP)
    ]
