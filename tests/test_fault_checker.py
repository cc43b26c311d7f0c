"""Tests of the rule checker: for each rule, a record that violates it and a similar one that does not."""

from __future__ import annotations

import pytest

from faults.checker import Checker
from faults.records import (
    Answer,
    AnswerCode,
    AttemptEnd,
    AttemptRecord,
    ConnectionRecord,
    EngineAnnouncement,
    OrderRecord,
    ProcessRecord,
    ReadinessRecord,
    RequestRecord,
    RunRecord,
)
from faults.settings import make_settings

SETTINGS = make_settings(
    deadline_s=3.0, repeat_window_s=1.0, drain_grace_s=1.0, slow_start_s=4.0, slow_start_window_s=1.0
)
SHUTDOWN_GRACE_S = 3.7  # the deadline of SETTINGS plus 0.7 s


def request(ref: str = "r", name: str = "safe", sent_at: float = 10.0, **changes) -> RequestRecord:
    return RequestRecord(ref, "n0", 1, name, sent_at, 3.0, **changes)


def attempt(
    arrived_at: float = 10.01,
    ended_at: float | None = 10.5,
    end: AttemptEnd = AttemptEnd.SERVED,
    ref: str = "r",
    engine: str = "s0",
    name: str = "safe",
    wait_s: float = 1.0,
) -> AttemptRecord:
    return AttemptRecord(ref, engine, name, arrived_at, arrived_at, wait_s, None, ended_at, end)


def served(received_at: float = 10.6) -> Answer:
    return Answer(received_at, AnswerCode.SERVED)


def process(**changes) -> ProcessRecord:
    return ProcessRecord("n0", 1.0, 2.0, **changes)


def broken_rules(run: RunRecord) -> set[str]:
    """Return the rules that the checker reports as violated; the run gets a process if it has none."""
    run.processes = run.processes or [process()]
    return {violation.rule for violation in Checker(run, SETTINGS).check()}


def test_a_served_request_violates_no_rule():
    assert broken_rules(RunRecord([request(answers=[served()])], [attempt()])) == set()


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([], {"lost"}),
        ([served(13.06)], set()),
        ([served(13.2)], {"lost"}),
        ([served(), Answer(10.7, AnswerCode.FAILED)], {"second answer"}),
    ],
)
def test_each_request_gets_one_final_answer_in_time(answers, expected):
    assert broken_rules(RunRecord([request(answers=answers)], [attempt()])) == expected


def test_a_served_answer_needs_an_engine_that_served_it():
    assert broken_rules(RunRecord([request(answers=[served()])], [attempt(end=AttemptEnd.FAILED)])) == {
        "lost"
    }


@pytest.mark.parametrize(("began_at", "expected"), [(11.05, set()), (11.2, {"lost"})])
def test_no_attempt_may_start_after_its_client_cancelled(began_at, expected):
    assert (
        broken_rules(RunRecord([request(cancelled_at=11.0)], [attempt(began_at, began_at + 0.1)])) == expected
    )


@pytest.mark.parametrize(
    ("ended_at", "arrived", "expected"),
    [(12.0, False, set()), (12.0, True, {"lost"}), (12.2, False, {"lost"})],
)
def test_a_request_that_crosses_the_close_of_its_connection_may_go_unanswered(ended_at, arrived, expected):
    run = RunRecord(
        [request(sent_at=12.02, connection_ended_at=ended_at)], [attempt(12.03)] if arrived else []
    )
    if ended_at > 12.02:
        run.requests[0].sent_at = 12.02
    assert broken_rules(run) == expected


@pytest.mark.parametrize(
    ("name", "end", "repeated_at", "expected"),
    [
        ("unsafe", AttemptEnd.FULL, 11.0, set()),
        ("unsafe", AttemptEnd.RESET, 11.0, {"duplicate"}),
        ("unsafe", AttemptEnd.FAILED, 11.0, {"duplicate"}),
        ("keyed", AttemptEnd.RESET, 10.9, set()),
        ("keyed", AttemptEnd.RESET, 11.2, {"duplicate"}),
        ("safe", AttemptEnd.RESET, 12.0, set()),
    ],
)
def test_the_class_and_its_repeat_window_limit_repeats(name, end, repeated_at, expected):
    attempts = [attempt(end=end, name=name), attempt(repeated_at, repeated_at + 0.1, name=name)]
    assert (
        broken_rules(RunRecord([request(name=name, answers=[served(repeated_at + 0.2)])], attempts))
        == expected
    )


def test_a_query_may_not_have_two_attempts_in_flight():
    attempts = [attempt(ended_at=11.0, end=AttemptEnd.CANCELLED), attempt(10.5, 10.8, engine="s1")]
    assert broken_rules(RunRecord([request(answers=[served(10.9)])], attempts)) == {"duplicate"}


def test_a_query_that_may_have_run_may_not_be_refused():
    refused = [Answer(10.7, AnswerCode.REFUSED)]
    reset = [attempt(end=AttemptEnd.RESET, name="unsafe")]
    assert broken_rules(RunRecord([request(name="unsafe", answers=refused)], reset)) == {"duplicate"}
    full = [attempt(end=AttemptEnd.FULL, name="unsafe")]
    assert broken_rules(RunRecord([request(name="unsafe", answers=refused)], full)) == set()


@pytest.mark.parametrize(("wait_s", "expected"), [(3.1, set()), (3.2, {"deadline"})])
def test_an_engine_may_not_be_given_more_time_than_the_client_has_left(wait_s, expected):
    assert broken_rules(RunRecord([request(answers=[served()])], [attempt(wait_s=wait_s)])) == expected


@pytest.mark.parametrize(("announced_at", "expected"), [(9.5, set()), (8.9, {"drain"})])
def test_a_draining_engine_may_get_no_request_after_the_grace_time(announced_at, expected):
    run = RunRecord(
        [request(answers=[served()])], [attempt()], [EngineAnnouncement("s0", "leaving", announced_at)]
    )
    assert broken_rules(run) == expected


@pytest.mark.parametrize(("announced_at", "expected"), [(2.5, set()), (1.9, {"drain"})])
def test_a_drain_announced_near_a_channel_outage_binds_after_7_s(announced_at, expected):
    run = RunRecord(
        [request(answers=[served()])], [attempt()], [EngineAnnouncement("s0", "leaving", announced_at)]
    )
    run.channel_outages = [announced_at + 1.0]
    assert broken_rules(run) == expected


@pytest.mark.parametrize(("count", "expected"), [(400, set()), (700, {"failback"})])
def test_an_engine_in_slow_start_may_not_get_too_many_requests(count, expected):
    attempts = [attempt(10.0 + i / 1000, 10.9, ref=f"r{i}") for i in range(count)]
    run = RunRecord([], attempts, [EngineAnnouncement("s0", "active", 9.9, slow_start_began_at=9.9)])
    assert broken_rules(run) == expected


@pytest.mark.parametrize(
    ("began_at", "expected"),
    [(10.7, set()), (10.6, set()), (10.5999, {"order"}), (10.55, {"order"}), (10.3, {"order"})],
)
def test_requests_with_the_same_key_run_one_after_another(began_at, expected):
    first = request("a", "keyed", 10.0, key="k", answers=[served(10.6)])
    second = request("b", "keyed", 10.1, key="k", answers=[served(11.0)])
    attempts = [attempt(ref="a", name="keyed"), attempt(began_at, 10.9, ref="b", name="keyed")]
    assert broken_rules(RunRecord([first, second], attempts)) == expected


@pytest.mark.parametrize(
    ("dating_error_s", "earliest_at", "is_read", "expected"),
    [
        (0.0, 10.6, True, {"order"}),
        (0.004, 10.6, True, {"order"}),  # twice the error is less than the 0.01 s
        (0.006, 10.6, True, set()),
        (0.0, 10.591, True, {"order"}),  # the client may have had the answer at 10.591
        (0.0, 10.59, True, set()),
        (0.0, 10.6, False, set()),  # the answer may have waited in the client's socket
    ],
)
def test_the_order_of_a_key_is_judged_as_exactly_as_the_records_are_dated(
    dating_error_s, earliest_at, is_read, expected
):
    answer = Answer(10.6, AnswerCode.SERVED, earliest_at=earliest_at)
    first = request("a", "keyed", 10.0, key="k", answers=[answer], is_read=is_read)
    second = request("b", "keyed", 10.1, key="k", answers=[served(11.0)])
    attempts = [attempt(ref="a", name="keyed"), attempt(10.59, 10.9, ref="b", name="keyed")]
    run = RunRecord([first, second], attempts, dating_error_s=dating_error_s)
    assert broken_rules(run) == expected


@pytest.mark.parametrize(("earliest_end", "expected"), [(10.49, set()), (10.501, {"duplicate"})])
def test_an_end_that_was_read_late_is_judged_by_its_earliest_time(earliest_end, expected):
    first = attempt(ended_at=10.9, end=AttemptEnd.CLOSED)
    first.ended_earliest_at = earliest_end
    attempts = [first, attempt(10.5, 10.8, engine="s1")]
    assert broken_rules(RunRecord([request(answers=[served(10.9)])], attempts)) == expected


@pytest.mark.parametrize(("earliest_at", "expected"), [(10.04, set()), (10.16, {"deadline"})])
def test_a_request_that_was_read_late_is_judged_by_its_earliest_arrival(earliest_at, expected):
    late = attempt(arrived_at=10.4, wait_s=3.0)
    late.earliest_at = earliest_at
    assert broken_rules(RunRecord([request(answers=[served()])], [late])) == expected


@pytest.mark.parametrize(("earliest_at", "expected"), [(11.09, set()), (11.11, {"lost"})])
def test_an_attempt_after_a_cancellation_is_judged_by_its_earliest_arrival(earliest_at, expected):
    late = attempt(arrived_at=11.4, ended_at=11.5)
    late.earliest_at = earliest_at
    assert broken_rules(RunRecord([request(cancelled_at=11.0)], [late])) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"terminated_at": 20.0, "ended_at": 23.6, "exit_code": 0}, set()),
        ({"terminated_at": 20.0, "ended_at": 23.8, "exit_code": 0}, {"end"}),
        ({"terminated_at": 20.0, "killed_at": 23.7, "ended_at": 23.71, "exit_code": -9}, {"end"}),
        ({"terminated_at": 20.0, "ended_at": 21.0, "exit_code": 1}, {"crash"}),
        ({"ended_at": 21.0, "exit_code": 1}, {"crash"}),
        ({"killed_at": 20.0, "ended_at": 20.1, "exit_code": -9}, set()),
        ({"output": "Traceback (most recent call last)"}, {"crash"}),
    ],
)
def test_a_process_has_to_exit_in_time_and_without_an_error(changes, expected):
    assert broken_rules(RunRecord(processes=[process(**changes)])) == expected


@pytest.mark.parametrize(("sent_at", "expected"), [(20.5, {"end"}), (21.0, {"end", "lost"})])
def test_a_kill_during_shutdown_excuses_only_requests_sent_soon_after_sigterm(sent_at, expected):
    killed_process = process(
        terminated_at=20.0, killed_at=20.0 + SHUTDOWN_GRACE_S, ended_at=20.01 + SHUTDOWN_GRACE_S, exit_code=-9
    )
    run = RunRecord(
        [request(sent_at=sent_at, connection_ended_at=23.7)],
        [attempt(sent_at + 0.01, 23.7, AttemptEnd.CLOSED)],
    )
    run.processes = [killed_process]
    assert broken_rules(run) == expected


def order(
    path: str = "/drain",
    sent_at: float = 10.0,
    status: int | None = 200,
    took_s: float = 0.01,
    engine_name: str = "",
) -> OrderRecord:
    answered_at = None if status is None else sent_at + took_s
    return OrderRecord("n0", path, engine_name, sent_at, True, answered_at, status)


def client_connection(opened_at: float = 5.0, ended_at: float | None = None) -> ConnectionRecord:
    return ConnectionRecord(1, "n0", opened_at, ended_at)


@pytest.mark.parametrize(
    ("order_record", "expected"),
    [
        (order(), set()),
        (order(took_s=1.1), {"order"}),
        (order(status=None), {"order"}),
        (order(status=500), {"order"}),
    ],
)
def test_an_order_is_answered_in_time(order_record, expected):
    assert broken_rules(RunRecord(orders=[order_record])) == expected


def test_an_invalid_order_has_to_be_rejected():
    invalid = order("/databases/disable", engine_name="nobody")
    invalid.expects_success = False
    assert broken_rules(RunRecord(orders=[invalid])) == {"order"}
    invalid.status = 404
    assert broken_rules(RunRecord(orders=[invalid])) == set()


@pytest.mark.parametrize(
    ("announced_at", "outages", "expected"),
    [(9.9, [], set()), (9.5, [], {"order"}), (9.5, [4.0], set()), (2.0, [4.0], {"order"})],
)
def test_an_order_may_fail_while_the_proxy_may_not_know_the_engine_yet(announced_at, outages, expected):
    unlisted = order("/databases/disable", engine_name="s9", status=404)
    announcements = [EngineAnnouncement("s9", "active", announced_at)]
    assert (
        broken_rules(RunRecord(orders=[unlisted], announcements=announcements, channel_outages=outages))
        == expected
    )


def test_an_order_to_a_process_that_stops_may_go_unanswered():
    run = RunRecord(
        orders=[order(status=None)], processes=[process(terminated_at=10.5, ended_at=11.0, exit_code=0)]
    )
    assert broken_rules(run) == set()


@pytest.mark.parametrize("source", ["frame", "console"])
@pytest.mark.parametrize(
    ("asked_at", "ready", "expected"),
    [
        (9.9, True, set()),
        (10.1, True, {"lost"}),
        (10.1, False, set()),
        (19.98, True, {"lost"}),
        (19.995, True, set()),  # answered after the order to undrain was sent
        (20.5, True, set()),
    ],
)
def test_a_drained_process_may_not_report_ready(source, asked_at, ready, expected):
    answers = [ReadinessRecord("n0", source, asked_at, asked_at + 0.01, ready)]
    assert broken_rules(RunRecord(orders=[order(), order("/undrain", 20.0)], readiness=answers)) == expected


@pytest.mark.parametrize(("asked_at", "expected"), [(21.9, set()), (22.1, {"undrain"})])
def test_an_undrained_process_has_to_report_ready_in_time(asked_at, expected):
    answers = [ReadinessRecord("n0", "frame", asked_at, asked_at + 0.01, False)]
    assert broken_rules(RunRecord(orders=[order(), order("/undrain", 20.0)], readiness=answers)) == expected


@pytest.mark.parametrize(("answered_at", "expected"), [(22.59, {"undrain"}), (22.61, set())])
def test_a_process_that_stops_may_report_that_it_is_not_ready(answered_at, expected):
    """A readiness check that is asked before SIGTERM and answered after it."""
    run = RunRecord(
        orders=[order(), order("/undrain", 20.0)],
        readiness=[ReadinessRecord("n0", "frame", 22.58, answered_at, False)],
        processes=[process(terminated_at=22.6, ended_at=23.0, exit_code=0)],
    )
    assert broken_rules(run) == expected


@pytest.mark.parametrize(
    ("connection", "request_times", "answer_times", "expected"),
    [
        (client_connection(ended_at=13.9), (), (), set()),
        (client_connection(), (), (), {"lost"}),  # the connection is idle
        (client_connection(), (10.1,), (10.2,), {"lost"}),
        (client_connection(), (11.9,), (None,), set()),  # the client only waits for an answer
        (client_connection(ended_at=14.5), (12.5,), (14.4,), {"lost"}),
        (client_connection(), (11.9, 13.0), (None, 13.1), {"lost"}),  # the client waits and goes on sending
        (client_connection(opened_at=13.8, ended_at=14.1), (), (), set()),
    ],
)
def test_a_drained_process_may_not_hold_idle_or_busy_connections(
    connection, request_times, answer_times, expected
):
    requests = []
    for n, (sent_at, answered_at) in enumerate(zip(request_times, answer_times, strict=True)):
        record = RequestRecord(f"r{n}", "n0", 1, "safe", sent_at, 30.0)
        if answered_at is not None:
            record.answers = [Answer(answered_at, AnswerCode.REFUSED)]
        else:
            record.cancelled_at = 15.0
        requests.append(record)
    processes = [process(terminated_at=14.8, ended_at=15.0, exit_code=0)]
    assert (
        broken_rules(RunRecord(requests, orders=[order()], connections=[connection], processes=processes))
        == expected
    )


@pytest.mark.parametrize(
    ("sent_at", "expected"), [(10.05, set()), (10.2, {"drain"}), (14.9, {"drain"}), (15.1, set())]
)
def test_a_disabled_engine_may_get_no_request(sent_at, expected):
    orders = [
        order("/databases/disable", engine_name="s0"),
        order("/databases/enable", 15.0, engine_name="s0"),
    ]
    run = RunRecord(
        [request(sent_at=sent_at, answers=[served(sent_at + 0.5)])],
        [attempt(sent_at, sent_at + 0.4)],
        orders=orders,
    )
    assert broken_rules(run) == expected


def test_a_repeated_order_does_not_end_the_first():
    orders = [
        order("/databases/disable", engine_name="s0"),
        order("/databases/disable", 12.0, engine_name="s0"),
    ]
    run = RunRecord([request(sent_at=11.0, answers=[served(11.5)])], [attempt(11.0, 11.4)], orders=orders)
    assert broken_rules(run) == {"drain"}


@pytest.mark.parametrize(
    "line", ["topic=violation event=x", 'hollowhitch_violations_total{rule="open_at_exit"} 1']
)
def test_a_violation_that_a_process_logs_or_counts_itself_is_reported(line):
    assert broken_rules(RunRecord(processes=[process(output=f"a line\n{line}\n")])) == {"violation"}
