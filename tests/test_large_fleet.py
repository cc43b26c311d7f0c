"""Tests with hundreds of gateways, where a gateway's part of an engine is less than a slot."""

from __future__ import annotations

import pytest

from hollowhitch.policy import interface as api
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_engine,
    make_query_class,
    make_report,
    of_type,
)

Outcome = api.Outcome


def large_fleet_driver(*engines: api.Engine, **changes) -> ControllerDriver:
    """Return a driver of one of 290 gateways, with 30 engines of 8 cores if none are given."""
    base = {"gateway_count": 290, "gateway_index": 7}
    return ControllerDriver(
        *(engines or [make_engine(f"e{i}") for i in range(30)]),
        settings=make_controller_settings(**(base | changes)),
    )


def report_load(driver: ControllerDriver, name: str, **shares: float) -> None:
    """Answer a probe of an engine with a report of these shares."""
    driver.handle(api.ProbeEnded(name, Outcome.OK, 1_000, make_report(**shares)))


def fill_bins(driver: ControllerDriver) -> None:
    """Submit and answer queries with a range of estimates, so that all bins are filled."""
    for i in range(64):
        driver.submit(f"t{i}", cost_us=50_000 * (1 + i % 8), memory_mb=50.0 * (1 + i % 8))
        driver.end_attempt(f"t{i}", Outcome.OK, elapsed_us=50_000 * (1 + i % 8))


def test_a_heavy_query_is_charged_more_against_an_engine_wide_limit():
    driver = large_fleet_driver()
    fill_bins(driver)
    engine = driver.controller.engines["e1"]
    # An even part of the engine would be one slot.
    assert engine.has_engine_wide_limit and engine.limit == pytest.approx(12.0)
    engine.large_query_limit = 4.0
    driver.submit("heavy", cost_us=4_000_000, memory_mb=4000.0)
    driver.submit("light", cost_us=1_000, memory_mb=1.0)
    heavy, light = (
        driver.controller._slot_charge(
            driver.controller.queries[name], engine.limit, engine.large_query_limit
        )
        for name in ("heavy", "light")
    )
    assert heavy == pytest.approx(3.0) and light == pytest.approx(1.0)


def test_slots_of_other_gateways_come_from_the_report_or_the_average_of_the_reports():
    driver = large_fleet_driver()
    report_load(driver, "e1", cpu_share=0.5)
    assert driver.controller._slots_in_use(driver.controller.engines["e1"]) == pytest.approx(4.0)
    assert driver.controller._slots_in_use(driver.controller.engines["e2"]) == pytest.approx(
        driver.controller.mean_threads_per_core * 8
    )
    for _ in range(200):
        report_load(driver, "e1", cpu_share=0.5)
    assert driver.controller._slots_in_use(driver.controller.engines["e2"]) == pytest.approx(4.0, rel=0.05)
    driver.now_us += 10 * SECOND_US
    driver.handle(api.TimerFired(99))
    assert driver.controller._slots_in_use(driver.controller.engines["e2"]) == 0.0  # no fresh report


def test_a_congested_engine_is_avoided_and_one_with_headroom_is_used():
    driver = large_fleet_driver(make_engine("e1"), make_engine("e2"))
    engine = driver.controller.engines["e1"]
    engine.latency_ratio_log = 1.0
    report_load(driver, "e1", cpu_share=1.0)
    report_load(driver, "e2", cpu_share=0.2)
    assert {of_type(api.Send, driver.submit())[0].engine for _ in range(5)} == {"e2"}
    report_load(driver, "e2", cpu_share=1.0)
    driver.controller.engines["e2"].latency_ratio_log = 1.0
    assert not of_type(api.Send, driver.submit("held"))


@pytest.mark.parametrize("cpu_share,memory_share,sign", [(1.0, 1.0, -1), (0.1, 0.1, 1)])
def test_feedback_moves_the_large_query_limit_both_ways(cpu_share, memory_share, sign):
    driver = large_fleet_driver()
    engine = driver.controller.engines["e1"]
    driver.submit("a")
    engine.large_query_limit = before = 6.0
    driver.controller.mean_large_query_limit_share = 0.5
    for _ in range(10):
        report_load(driver, "e1", cpu_share=cpu_share, memory_share=memory_share)
        driver.controller.cluster_rates.hold_count, driver.controller.cluster_rates.send_count = 3, 3
        driver.advance(100_000)
    assert (engine.large_query_limit - before) * sign > 0


def test_under_congestion_heavy_queries_are_held_where_light_ones_are_sent():
    driver = large_fleet_driver(make_engine("e1"), make_engine("e2"))
    fill_bins(driver)
    for engine in driver.controller.engines.values():
        engine.large_query_limit = 2.0
    sent = {"heavy": 0, "light": 0}
    for i in range(60):
        for name in ("e1", "e2"):
            report_load(driver, name, cpu_share=0.95, memory_share=0.2)
        size, scale = ("heavy", 20) if i % 2 else ("light", 1)
        actions = driver.submit(f"{size}{i}", cost_us=40_000 * scale, memory_mb=40.0 * scale)
        sent[size] += len(of_type(api.Send, actions))
        for _, a in driver.actions:
            if (
                isinstance(a, api.Send)
                and a.id in driver.controller.queries
                and driver.controller.queries[a.id].attempts_in_flight()
            ):
                driver.end_attempt(a.id, Outcome.OK, elapsed_us=40_000)
        driver.now_us += 20_000
    assert sent["light"] > 1.25 * sent["heavy"]


def test_limit_over_all_engines_applies_only_under_congestion():
    driver = large_fleet_driver()
    assert all(of_type(api.Send, driver.submit()) for _ in range(20))
    driver.controller.congested_share = driver.controller.cluster_latency_ratio_log = 1.0
    assert not of_type(api.Send, driver.submit())
    idle_driver = large_fleet_driver()
    idle_driver.controller.congested_share = idle_driver.controller.cluster_latency_ratio_log = 1.0
    assert of_type(api.Send, idle_driver.submit())  # one query is always admitted


def test_light_queries_pass_held_heavy_ones_up_to_a_higher_limit():
    driver = large_fleet_driver()
    fill_bins(driver)
    driver.controller.congested_share = 1.0
    driver.submit("first", cost_us=900_000, memory_mb=900.0)
    assert not of_type(api.Send, driver.submit("heavy", cost_us=900_000, memory_mb=900.0))
    assert of_type(api.Send, driver.submit("light", cost_us=1_000, memory_mb=1.0))
    driver.controller.cluster_slots = (
        2 * driver.controller._cluster_limit_and_charge(driver.controller.queries["light"])[0]
    )
    assert not of_type(api.Send, driver.submit("lighter", cost_us=1_000, memory_mb=1.0))


def test_an_engine_without_a_fresh_report_gets_only_queries_with_little_memory():
    driver = large_fleet_driver()
    fill_bins(driver)
    driver.controller.mean_memory_share = 0.7
    engine = driver.controller.engines["e1"]
    needs = {"light": (1_000, 1.0), "heavy": (900_000, 3000.0)}
    queries = {
        n: (driver.submit(n, cost_us=c, memory_mb=m), driver.controller.queries[n])[1]
        for n, (c, m) in needs.items()
    }
    report_load(driver, "e1", cpu_share=0.3, memory_share=0.5)
    assert driver.controller._memory_fits(engine, queries["heavy"]) and driver.controller._memory_fits(
        engine, queries["light"]
    )
    report_load(driver, "e1", cpu_share=0.3, memory_share=0.9)
    assert not driver.controller._memory_fits(engine, queries["heavy"])
    driver.now_us += 3 * SECOND_US
    driver.handle(api.TimerFired(99))
    assert not driver.controller._memory_fits(engine, queries["heavy"]) and driver.controller._memory_fits(
        engine, queries["light"]
    )


def test_candidates_are_engines_that_answered_last_and_other_engines_are_explored():
    driver = large_fleet_driver()
    fill_bins(driver)
    driver.now_us += 10 * SECOND_US
    driver.handle(api.TimerFired(99))
    e1, e2 = driver.controller.engines["e1"], driver.controller.engines["e2"]
    for engine in (e1, e2):
        report_load(driver, engine.info.id, cpu_share=0.3, memory_share=0.3)
    actions = driver.submit("a", cost_us=1_000, memory_mb=1.0)
    query = driver.controller.queries["a"]
    drawn = [{engine.info.id for engine in driver.controller._sample_candidates(query)} for _ in range(400)]
    explored_count = sum(not names <= {"e1", "e2"} for names in drawn)
    assert of_type(api.Send, actions) and 0 < explored_count < 100  # about a tenth of them explore
    query.bins = (1, 0)  # queries above the smallest cost bin do not explore
    assert all(
        {engine.info.id for engine in driver.controller._sample_candidates(query)} <= {"e1", "e2"}
        for _ in range(100)
    )
    driver.controller.recent_answers.add(driver.now_us, driver.controller.engines["e3"])
    assert all(
        driver.controller._sample_candidates(query) == [driver.controller.engines["e3"]] for _ in range(20)
    )


@pytest.mark.parametrize("gateways,threads_per_core", [(40, 1.8), (290, 2.2)])
def test_limits_of_all_gateways_together_stay_near_the_capacity_of_the_engines(gateways, threads_per_core):
    driver = large_fleet_driver(gateway_count=gateways)
    driver.controller.offered_share = 1 / gateways
    driver.submit("a")
    limit, _ = driver.controller._cluster_limit_and_charge(driver.controller.queries["a"])
    assert gateways * limit <= threads_per_core * 8 * 30  # 30 engines of 8 cores


def test_the_number_of_probes_is_bounded_by_the_number_of_queries():
    driver = large_fleet_driver(limits={"probes": True})
    sent = probes = 0
    for i in range(200):
        actions = driver.submit(f"q{i}", cost_us=20_000 * (1 + i % 20), memory_mb=10.0 * (1 + i % 20))
        actions += driver.advance(100_000)
        probes += len(of_type(api.Probe, actions))
        sent += len(of_type(api.Send, actions))
    assert 0 < probes <= 2 * 200
    assert not of_type(api.Probe, driver.advance(5 * SECOND_US))  # an idle gateway sends no probes


def test_only_engines_in_use_take_part_in_the_feedback():
    driver = large_fleet_driver(*[make_engine(f"e{i}") for i in range(300)])
    driver.submit("a")
    driver.advance(SECOND_US)
    assert len(driver.controller.active_engines) == 1
    driver.end_attempt("a", Outcome.OK)
    driver.advance(5 * SECOND_US)
    assert not driver.controller.active_engines


def test_a_tenant_with_few_queries_may_send_them_in_short_bursts():
    driver = large_fleet_driver(tenants=(api.Tenant("t", 290.0, 1.0),))  # our part: one query per second
    for i in range(8):
        driver.submit(f"a{i}", tenant="t")
        driver.now_us += 100_000
    assert not any(query.over_quota for query in driver.controller.queries.values())
    for i in range(200):
        driver.submit(f"b{i}", tenant="t")
    assert any(query.over_quota for query in driver.controller.queries.values())


def test_grants_follow_reported_spills_and_stop_once_queries_fit():
    driver = large_fleet_driver(engines_take_grants=True)
    assert not of_type(api.SetTerms, driver.submit("a", memory_mb=100.0))
    for _ in range(5):
        driver.handle(api.Note("a", 0, api.NoteKind.SPILLED, 125.0))
    terms = of_type(api.SetTerms, driver.submit("b", memory_mb=100.0))
    assert terms and 125.0 < terms[0].memory_mb <= 375.0
    for i in range(200):
        driver.submit(f"c{i}", memory_mb=100.0)
        driver.end_attempt(f"c{i}", Outcome.OK)
    assert not of_type(api.SetTerms, driver.submit("d", memory_mb=100.0))


def test_a_query_with_a_short_deadline_is_refused_before_it_expires():
    driver = large_fleet_driver(make_engine("e1"))
    driver.controller.engines["e1"].reported_full_at_us = driver.now_us  # no query is admitted
    actions = driver.submit("a", expires_in_us=300_000, cost_us=200_000)
    assert not of_type(api.Send, actions)
    driver.controller.engines["e1"].reported_full_at_us = driver.now_us + 10 * SECOND_US
    assert of_type(api.Refuse, actions + driver.advance(250_000))


def test_queries_of_clients_that_leave_are_released():
    driver = large_fleet_driver(make_engine("e1"))
    for i in range(50):
        driver.submit(f"q{i}")
    for i in range(50):
        driver.handle(api.ClientLeft(f"q{i}"))
    assert driver.controller.held_queries.work_us == 0 and driver.controller.held_queries.count == 0
    in_flight = [query for query in driver.controller.queries.values() if query.attempts_in_flight()]
    for query in in_flight:
        driver.end_attempt(query.id, Outcome.CANCELLED, is_final=True)
    assert not driver.controller.queries and driver.controller.cluster_slots == 0


def test_thousands_of_queries_after_a_pause_while_the_list_shrinks_and_grows():
    driver = large_fleet_driver(*[make_engine(f"e{i}") for i in range(400)])
    driver.apply_list(api.ListKind.FULL, *[make_engine(f"e{i}") for i in range(200)])
    driver.now_us += 7 * SECOND_US
    for i in range(3000):
        driver.submit(f"q{i}", expires_in_us=[1, 2 * SECOND_US, 0][i % 3])
    driver.apply_list(api.ListKind.FULL, *[make_engine(f"e{i}") for i in range(600)])
    known = {f"e{i}" for i in range(200)}
    engines_sent_to = [a.engine for t, a in driver.actions if isinstance(a, api.Send)]
    assert set(engines_sent_to) <= known | {f"e{i}" for i in range(600)}
    driver.advance(8 * SECOND_US)
    answered = {a.id for _, a in driver.actions if isinstance(a, api.Refuse | api.Fail | api.Send)}
    assert answered == {f"q{i}" for i in range(3000)}


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 256, b"{}", b"old old old"])
def test_messages_change_nothing_and_raise_no_error(data):
    driver = large_fleet_driver(limits={"messages": True})
    assert driver.handle(api.MessageReceived(3, data)) == []
    assert driver.handle(api.MessageReceived(10**6, data)) == []
    assert of_type(api.Send, driver.submit())


def test_queries_are_sent_only_to_permitted_engines_with_many_gateways():
    driver = large_fleet_driver(
        *[make_engine(f"e{i}", kind="k8" if i % 2 else "k4") for i in range(40)],
        classes=(make_query_class(only_kinds=("k4",)),),
    )
    sent = [of_type(api.Send, driver.submit())[0].engine for _ in range(60)]
    assert all(int(name[1:]) % 2 == 0 for name in sent)


def test_one_slow_engine_does_not_hold_back_the_cluster():
    driver = large_fleet_driver(
        make_engine("slow"), *[make_engine(f"e{i}") for i in range(9)], limits={"probes": True}
    )
    for name in list(driver.controller.engines):
        report_load(driver, name, cpu_share=0.3)
    while not driver.controller.engines["slow"].queries_in_flight:
        driver.submit()
    for _, a in list(driver.actions):
        if isinstance(a, api.Send) and a.engine != "slow":
            driver.end_attempt(a.id, Outcome.OK)
    driver.advance(900_000)
    assert (
        driver.controller.engines["slow"].latency_ratio_log
        > driver.controller.engines["e1"].latency_ratio_log
        and driver.controller.cluster_latency_ratio_log < 0.2
    )


def test_an_engine_that_was_full_is_avoided_until_a_late_list_can_show_its_drain():
    driver = large_fleet_driver(make_engine("e1"), make_engine("e2"))
    refused = of_type(api.Send, driver.submit("a"))[0].engine
    driver.end_attempt("a", Outcome.FULL)
    driver.now_us += 3 * SECOND_US
    assert {of_type(api.Send, driver.submit())[0].engine for _ in range(5)} == {"e1", "e2"} - {refused}
    driver.now_us += 2 * SECOND_US
    assert refused in {a.engine for _ in range(20) for a in of_type(api.Send, driver.submit())}


def test_reported_memory_limits_engines_where_nothing_of_ours_is_in_flight():
    """Guards against overcommitted memory: a gateway of hundreds has no query in flight at most engines."""
    driver = large_fleet_driver(make_engine("e1"), make_engine("e2"))
    driver.controller.engines["e2"].ejected_until_us = driver.now_us + 60 * SECOND_US
    assert of_type(api.Send, driver.submit("first", memory_mb=100.0))[0].engine == "e1"
    driver.controller.engines["e2"].ejected_until_us, driver.controller.engines["e1"].ejected_until_us = (
        0,
        driver.now_us + 60 * SECOND_US,
    )
    report_load(driver, "e2", cpu_share=0.2, memory_share=0.9)
    assert not driver.controller.engines["e2"].queries_in_flight and not of_type(
        api.Send, driver.submit("held", memory_mb=4000.0)
    )
    report_load(driver, "e2", cpu_share=0.2, memory_share=0.5)
    assert of_type(api.Send, [a for _, a in driver.actions])[-1] == api.Send("held", "e2", 0)


def test_grants_of_other_gateways_are_not_extrapolated_from_one_of_ours():
    """Guards against exclusion of every engine in use: 290 times 1,000 MB is more than any engine has."""
    driver = large_fleet_driver(make_engine("e1"))
    report_load(driver, "e1", cpu_share=0.2, memory_share=0.2)
    assert of_type(api.Send, driver.submit("first", memory_mb=1000.0))
    assert of_type(api.Send, driver.submit("second", memory_mb=1000.0))


def submit_and_answer(driver: ControllerDriver, name: str, **shares: float) -> str:
    """Submit a query, answer it with a report of these shares, and return the id of its engine."""
    engine = of_type(api.Send, driver.submit(name))[0].engine
    driver.end_attempt(name, Outcome.OK, report=make_report(**shares))
    return engine


def test_the_next_query_goes_to_an_engine_that_has_just_answered():
    """Of 30 engines, only those that have answered are candidates, and each answer counts for one attempt."""
    driver = large_fleet_driver()
    for i in range(20):
        submit_and_answer(driver, f"a{i}", cpu_share=0.1, memory_share=0.1)
    before = driver.controller.recent_answers.engines_since(0)
    sent = of_type(api.Send, driver.submit("next"))[0].engine
    assert sent in {engine.info.id for engine in before}
    assert len(driver.controller.recent_answers.engines_since(0)) == len(before) - 1


def test_an_answer_of_a_busy_engine_or_an_old_answer_is_not_a_recent_answer():
    driver = large_fleet_driver()
    busy = submit_and_answer(driver, "busy", cpu_share=0.9, memory_share=0.2)
    assert not [
        engine for engine in driver.controller.recent_answers.engines_since(0) if engine.info.id == busy
    ]
    calm = submit_and_answer(driver, "calm", cpu_share=0.2, memory_share=0.2)
    assert [engine.info.id for engine in driver.controller.recent_answers.engines_since(0)] == [calm]
    driver.now_us += 5 * SECOND_US
    # The answer is too old.
    assert not driver.controller.recent_answers.engines_since(driver.now_us - 4 * SECOND_US)


def test_a_burst_is_held_back_if_the_cluster_is_busy():
    """The bursts of 290 gateways add up, so each may exceed the mean by only half a standard deviation."""
    driver = large_fleet_driver()
    for _ in range(100):
        report_load(driver, "e1", cpu_share=0.5)
    sent = sum(bool(of_type(api.Send, driver.submit())) for _ in range(20))
    limit = 1.5 * 240 / 290
    assert sent == max(1, int(limit + 0.5 * limit**0.5))


def test_number_of_recent_answers_stays_bounded():
    driver = large_fleet_driver()
    for i in range(300):
        submit_and_answer(driver, f"a{i}", cpu_share=0.1, memory_share=0.1)
        driver.now_us += 50_000
    assert len(driver.controller.recent_answers.entries) <= 80 + 1  # one each 50 ms, kept for 4 s


def turn_work_us(age_us: int) -> float:
    """Return the work of one turn: half of what an engine of this age may be sent in a window."""
    capacity_share = 0.34 + 0.66 / 2 * age_us / (14 * SECOND_US)
    return 0.6 * 2.5 * capacity_share * 8 * 0.85 * 1_500_000 / 2


def test_an_engine_in_slow_start_gets_queries_larger_than_an_even_part_of_its_budget():
    """An even part is 11 ms of work, so two of 290 gateways at a time get half of the budget each."""
    slow_start_engine, window_us = make_engine("cold", started_at_us=10 * SECOND_US), 1_500_000
    turn_counts = [0] * 36  # gateways with a turn, at each time
    for i in range(290):
        driver = ControllerDriver(
            slow_start_engine,
            make_engine("warm"),
            settings=make_controller_settings(gateway_index=i, gateway_count=290),
            seed=i,
        )
        engine = driver.controller.engines["cold"]
        driver.submit("q", cost_us=100_000)
        query = driver.controller.queries["q"]
        engine.slow_start_sent.sum_since(driver.now_us + 1)  # forgets what was sent
        for n in range(36):
            driver.controller.now_us = 10 * SECOND_US + n * window_us // 4
            query.slow_start_work_us = turn_work_us(n * window_us // 4) * 0.999
            turn_counts[n] += driver.controller._slow_start_fits(engine, query)
            query.slow_start_work_us *= 2.01
            assert not driver.controller._slow_start_fits(engine, query)
    assert all(1 <= count <= 2 for count in turn_counts)  # one gateway may have both turns
    assert sum(turn_counts) > 1.9 * len(turn_counts)


def test_a_turn_with_an_engine_in_slow_start_is_limited_to_its_work():
    engine, work_per_turn_us, sent_us = (
        make_engine("cold", started_at_us=10 * SECOND_US),
        turn_work_us(SECOND_US),
        0.0,
    )
    for i in range(290):
        driver = ControllerDriver(
            engine, settings=make_controller_settings(gateway_index=i, gateway_count=290), seed=i
        )
        driver.now_us = 11 * SECOND_US
        for _ in range(12):
            driver.submit(cost_us=work_per_turn_us / 4)
        work_us = sum(
            a.work_us for query in driver.controller.queries.values() for a in query.attempts_in_flight()
        )
        assert work_us <= 2 * work_per_turn_us * 1.001
        sent_us += work_us
    assert work_per_turn_us <= sent_us <= 4 * work_per_turn_us


def test_averages_for_engines_without_a_report_come_from_those_past_slow_start():
    driver = large_fleet_driver(
        make_engine("cold", started_at_us=9 * SECOND_US),
        make_engine("cold2", started_at_us=9 * SECOND_US),
        make_engine("e1"),
        make_engine("e2"),
    )
    for _ in range(100):
        report_load(driver, "e1", cpu_share=0.8, memory_share=0.9)
        report_load(driver, "cold", cpu_share=0.1, memory_share=0.1)
    assert driver.controller.mean_busy_share == pytest.approx(0.9, rel=0.1)
    assert driver.controller.mean_memory_share == pytest.approx(0.9, rel=0.1)
    assert driver.controller._slots_in_use(driver.controller.engines["e2"]) > 5
    # The average does not stand in for an engine in slow start, whose work is limited by turns.
    assert driver.controller._slots_in_use(driver.controller.engines["cold2"]) == 0.0


def test_cancelled_attempts_count_as_slow():
    """Guards against unseen congestion: if slow attempts are cancelled, answers show only fast ones."""
    driver = large_fleet_driver()
    driver.submit("a", cost_us=100_000)
    driver.advance(200_000)
    before = driver.controller.cluster_latency_ratio_log
    driver.end_attempt("a", Outcome.CANCELLED, elapsed_us=900_000)
    assert driver.controller.cluster_latency_ratio_log > before + 0.05


def test_an_engine_in_slow_start_on_our_turn_goes_before_others():
    driver = large_fleet_driver(
        make_engine("cold", started_at_us=9 * SECOND_US), *(make_engine(f"e{i}") for i in range(20))
    )
    for i in range(5):
        submit_and_answer(driver, f"a{i}", cpu_share=0.1, memory_share=0.1)
    slow_start_engine = driver.controller.engines["cold"]
    slow_start_engine.slow_start_sent.sum_since(driver.now_us + 60 * SECOND_US)  # forgets what was sent
    engine_before = of_type(api.Send, driver.submit())[0].engine
    slow_start_engine.turn_draw = 0.0  # gives this gateway a turn
    driver.controller._follow_slow_start(slow_start_engine)
    assert (
        engine_before != "cold"
        and of_type(api.Send, driver.submit(cost_us=0.9 * turn_work_us(SECOND_US)))[0].engine == "cold"
    )
    assert of_type(api.Send, driver.submit(cost_us=0.9 * turn_work_us(SECOND_US)))[0].engine != "cold"


def test_attempts_at_engines_in_slow_start_do_not_count_against_the_limit_over_all_engines():
    driver = large_fleet_driver(
        make_engine("cold", started_at_us=9 * SECOND_US), *(make_engine(f"e{i}") for i in range(20))
    )
    assert of_type(api.Send, driver.submit())
    driver.controller.congested_share = driver.controller.cluster_latency_ratio_log = (
        driver.controller.mean_busy_share
    ) = 1.0
    before = driver.controller.cluster_slots
    driver.controller.engines["cold"].turn_draw = 0.0
    driver.controller._follow_slow_start(driver.controller.engines["cold"])
    assert of_type(api.Send, driver.submit(cost_us=0.9 * turn_work_us(SECOND_US)))[0].engine == "cold"
    assert driver.controller.cluster_slots == before
    assert not of_type(api.Send, driver.submit(cost_us=0.9 * turn_work_us(SECOND_US)))


def test_the_limit_over_all_engines_does_not_grow_with_work_offered_by_retries():
    """Guards against overload by retries: the engines do not answer more, and all gateways offer more."""
    driver = large_fleet_driver()
    driver.submit("a")
    driver.controller.offered_share = driver.controller.even_share
    calm = driver.controller._cluster_limit_and_charge(driver.controller.queries["a"])[0]
    driver.controller.offered_share = 3 * driver.controller.even_share
    assert driver.controller._cluster_limit_and_charge(driver.controller.queries["a"])[0] == pytest.approx(
        calm
    )
    # A larger share of the answered work raises the limit.
    driver.controller.answered_share = 3 * driver.controller.even_share
    assert driver.controller._cluster_limit_and_charge(driver.controller.queries["a"])[0] > 1.5 * calm


def test_engines_in_slow_start_do_not_raise_the_limit_over_all_engines():
    """Guards against overload of the warm engines: heavy queries can't be sent to engines in slow start."""
    driver = large_fleet_driver(
        *(make_engine(f"e{i}", started_at_us=9 * SECOND_US if i % 2 else 0) for i in range(30))
    )
    driver.apply_list(api.ListKind.DELTA, make_engine("e0", state=api.EngineState.DRAINING))
    driver.submit("a")
    driver.advance(200_000)
    assert driver.controller.warmed_up_cores == 14 * 8
    driver.now_us += 15 * SECOND_US
    driver.handle(api.TimerFired(99))
    driver.advance(200_000)
    assert driver.controller.warmed_up_cores == 29 * 8


def test_turns_and_slow_start_are_followed_as_time_passes():
    """Guards against engines in slow start that are used out of turn, or not at all."""
    engines = [make_engine(f"n{i}", started_at_us=9 * SECOND_US - i * 137_000) for i in range(60)]
    driver = large_fleet_driver(*engines, gateway_count=20)
    controller, earlier, seen = driver.controller, [], set()

    def expected() -> tuple[set[str], float]:
        in_slow_start = [e for e in controller.engines.values() if controller.in_slow_start(e)]
        on_our_turn = {e.info.id for e in in_slow_start if controller._least_turn_draw(e) <= 1}
        return on_our_turn, sum(e.cores for e in in_slow_start)

    for _ in range(180):
        driver.advance(100_000)
        earlier = [*earlier[-2:], expected()]
        on_our_turn = {engine.info.id for engine in controller.engines_on_our_turn}
        seen |= on_our_turn
        # An update may be as late as a feedback period or two.
        assert set.intersection(*(turn for turn, _ in earlier)) <= on_our_turn
        assert on_our_turn <= set.union(*(turn for turn, _ in earlier))
        assert controller.slow_start_cores.total in [cores for _, cores in earlier]
    assert len(seen) > 20 and not on_our_turn and not controller.slow_start_cores.total
