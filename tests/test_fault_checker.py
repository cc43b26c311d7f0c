"""The checker of the fault tests: for each rule a recorded break that it must find, and its lawful twin."""

from __future__ import annotations

import pytest

from faults.checker import Checker
from faults.records import (
    Answer,
    AttemptEnd,
    AttemptRecord,
    Code,
    ConnectionRecord,
    OrderRecord,
    ProxyLife,
    ReadinessRecord,
    RequestRecord,
    Run,
    ServerState,
)
from faults.settings import make_settings

SETTINGS = make_settings(deadline_s=3.0, repeat_window_s=1.0, drain_grace_s=1.0, cold_s=4.0, tip_after_s=1.0)
GRACE_S = 3.7


def request(ref: str = "r", name: str = "safe", sent: float = 10.0, **more) -> RequestRecord:
    return RequestRecord(ref, "n0", 1, name, sent, 3.0, **more)


def attempt(
    at: float = 10.01,
    ended: float | None = 10.5,
    end: AttemptEnd = AttemptEnd.SERVED,
    ref: str = "r",
    server: str = "s0",
    name: str = "safe",
    wait: float = 1.0,
) -> AttemptRecord:
    return AttemptRecord(ref, server, "", name, at, at, wait, None, ended, end)


def served(at: float = 10.6) -> Answer:
    return Answer(at, Code.SERVED)


def life(**more) -> ProxyLife:
    return ProxyLife("n0", 1.0, 2.0, **more)


def rules(run: Run) -> set[str]:
    run.lives = run.lives or [life()]
    return {b.rule for b in Checker(run, SETTINGS).check()}


def test_a_served_request_breaks_nothing():
    assert rules(Run([request(answers=[served()])], [attempt()])) == set()


@pytest.mark.parametrize(
    ("answers", "found"),
    [
        ([], {"lost"}),
        ([served(13.06)], set()),
        ([served(13.2)], {"lost"}),
        ([served(), Answer(10.7, Code.FAILED)], {"second answer"}),
    ],
)
def test_one_final_answer_in_time(answers, found):
    assert rules(Run([request(answers=answers)], [attempt()])) == found


def test_served_what_no_server_made():
    assert rules(Run([request(answers=[served()])], [attempt(end=AttemptEnd.FAILED)])) == {"lost"}


@pytest.mark.parametrize(("begun", "found"), [(11.05, set()), (11.2, {"lost"})])
def test_an_attempt_after_the_client_has_gone(begun, found):
    assert rules(Run([request(cancelled_at=11.0)], [attempt(begun, begun + 0.1)])) == found


@pytest.mark.parametrize(
    ("ended", "arrived", "found"), [(12.0, False, set()), (12.0, True, {"lost"}), (12.2, False, {"lost"})]
)
def test_a_request_that_crosses_a_close(ended, arrived, found):
    run = Run([request(sent=12.02, connection_ended_at=ended)], [attempt(12.03)] if arrived else [])
    if ended > 12.02:
        run.requests[0].sent_at = 12.02
    assert rules(run) == found


@pytest.mark.parametrize(
    ("name", "end", "again_at", "found"),
    [
        ("unsafe", AttemptEnd.FULL, 11.0, set()),
        ("unsafe", AttemptEnd.RESET, 11.0, {"duplicate"}),
        ("unsafe", AttemptEnd.FAILED, 11.0, {"duplicate"}),
        ("keyed", AttemptEnd.RESET, 10.9, set()),
        ("keyed", AttemptEnd.RESET, 11.2, {"duplicate"}),
        ("safe", AttemptEnd.RESET, 12.0, set()),
    ],
)
def test_a_repeat_outside_effect_and_window(name, end, again_at, found):
    attempts = [attempt(end=end, name=name), attempt(again_at, again_at + 0.1, name=name)]
    assert rules(Run([request(name=name, answers=[served(again_at + 0.2)])], attempts)) == found


def test_two_attempts_out_at_once():
    attempts = [attempt(ended=11.0, end=AttemptEnd.GIVEN_UP), attempt(10.5, 10.8, server="s1")]
    assert rules(Run([request(answers=[served(10.9)])], attempts)) == {"duplicate"}


def test_a_refusal_of_what_may_have_run():
    refused = [Answer(10.7, Code.REFUSED)]
    reset = [attempt(end=AttemptEnd.RESET, name="unsafe")]
    assert rules(Run([request(name="unsafe", answers=refused)], reset)) == {"duplicate"}
    full = [attempt(end=AttemptEnd.FULL, name="unsafe")]
    assert rules(Run([request(name="unsafe", answers=refused)], full)) == set()


@pytest.mark.parametrize(("wait", "found"), [(3.1, set()), (3.2, {"deadline"})])
def test_more_time_given_than_the_client_has(wait, found):
    assert rules(Run([request(answers=[served()])], [attempt(wait=wait)])) == found


@pytest.mark.parametrize(("told", "found"), [(9.5, set()), (8.9, {"drain"})])
def test_a_request_to_a_draining_server(told, found):
    run = Run([request(answers=[served()])], [attempt()], [ServerState("s0", "leaving", told)])
    assert rules(run) == found


@pytest.mark.parametrize(("told", "found"), [(2.5, set()), (1.9, {"drain"})])
def test_a_drain_told_while_the_channel_is_in_trouble_counts_after_7_s(told, found):
    run = Run([request(answers=[served()])], [attempt()], [ServerState("s0", "leaving", told)])
    run.channel_troubles = [told + 1.0]
    assert rules(run) == found


@pytest.mark.parametrize(("count", "found"), [(400, set()), (700, {"failback"})])
def test_a_cold_server_that_gets_too_much(count, found):
    attempts = [attempt(10.0 + i / 1000, 10.9, ref=f"r{i}") for i in range(count)]
    run = Run([], attempts, [ServerState("s0", "active", 9.9, started_at=9.9)])
    assert rules(run) == found


@pytest.mark.parametrize(("begun", "found"), [(10.7, set()), (10.3, {"order"})])
def test_the_order_of_a_key(begun, found):
    first = request("a", "keyed", 10.0, key="k", answers=[served(10.6)])
    second = request("b", "keyed", 10.1, key="k", answers=[served(11.0)])
    attempts = [attempt(ref="a", name="keyed"), attempt(begun, 10.9, ref="b", name="keyed")]
    assert rules(Run([first, second], attempts)) == found


@pytest.mark.parametrize(
    ("more", "found"),
    [
        ({"terminated_at": 20.0, "ended_at": 23.6, "code": 0}, set()),
        ({"terminated_at": 20.0, "ended_at": 23.8, "code": 0}, {"end"}),
        ({"terminated_at": 20.0, "killed_at": 23.7, "ended_at": 23.71, "code": -9}, {"end"}),
        ({"terminated_at": 20.0, "ended_at": 21.0, "code": 1}, {"crash"}),
        ({"ended_at": 21.0, "code": 1}, {"crash"}),
        ({"killed_at": 20.0, "ended_at": 20.1, "code": -9}, set()),
        ({"stderr": "Traceback (most recent call last)"}, {"crash"}),
    ],
)
def test_the_end_of_a_process(more, found):
    assert rules(Run(lives=[life(**more)])) == found


@pytest.mark.parametrize(("sent", "found"), [(20.5, {"end"}), (21.0, {"end", "lost"})])
def test_what_the_kill_after_a_shutdown_finds_unanswered(sent, found):
    ended = life(terminated_at=20.0, killed_at=20.0 + GRACE_S, ended_at=20.01 + GRACE_S, code=-9)
    run = Run([request(sent=sent, connection_ended_at=23.7)], [attempt(sent + 0.01, 23.7, AttemptEnd.CLOSED)])
    run.lives = [ended]
    assert rules(run) == found


def order(
    path: str = "/drain", at: float = 10.0, status: int | None = 200, took: float = 0.01, subject: str = ""
) -> OrderRecord:
    answered_at = None if status is None else at + took
    return OrderRecord("n0", path, subject, at, True, answered_at, status)


def connected(opened: float = 5.0, ended: float | None = None) -> ConnectionRecord:
    return ConnectionRecord(1, "n0", opened, ended)


@pytest.mark.parametrize(
    ("given", "found"),
    [
        (order(), set()),
        (order(took=1.1), {"order"}),
        (order(status=None), {"order"}),
        (order(status=500), {"order"}),
    ],
)
def test_an_order_is_answered_in_time(given, found):
    assert rules(Run(orders=[given])) == found


def test_an_order_that_has_to_be_refused_is():
    nonsense = order("/databases/disable", subject="nobody")
    nonsense.expect_yes = False
    assert rules(Run(orders=[nonsense])) == {"order"}
    nonsense.status = 404
    assert rules(Run(orders=[nonsense])) == set()


@pytest.mark.parametrize(
    ("told", "troubles", "found"),
    [(9.9, [], set()), (9.5, [], {"order"}), (9.5, [4.0], set()), (2.0, [4.0], {"order"})],
)
def test_a_database_that_the_proxy_may_not_have_heard_of(told, troubles, found):
    unheard = order("/databases/disable", subject="s9", status=404)
    states = [ServerState("s9", "active", told)]
    assert rules(Run(orders=[unheard], states=states, channel_troubles=troubles)) == found


def test_an_order_to_a_process_that_ends_may_go_unanswered():
    run = Run(orders=[order(status=None)], lives=[life(terminated_at=10.5, ended_at=11.0, code=0)])
    assert rules(run) == set()


@pytest.mark.parametrize("way", ["frame", "console"])
@pytest.mark.parametrize(
    ("asked", "ready", "found"),
    [
        (9.9, True, set()),
        (10.1, True, {"lost"}),
        (10.1, False, set()),
        (19.98, True, {"lost"}),
        (19.995, True, set()),  # answered once the order to undrain was on its way
        (20.5, True, set()),
    ],
)
def test_a_drained_process_says_that_it_is_ready(way, asked, ready, found):
    answers = [ReadinessRecord("n0", way, asked, asked + 0.01, ready)]
    assert rules(Run(orders=[order(), order("/undrain", 20.0)], readiness=answers)) == found


@pytest.mark.parametrize(("asked", "found"), [(21.9, set()), (22.1, {"undrain"})])
def test_a_process_that_is_taken_back_says_that_it_is_not_ready(asked, found):
    answers = [ReadinessRecord("n0", "frame", asked, asked + 0.01, False)]
    assert rules(Run(orders=[order(), order("/undrain", 20.0)], readiness=answers)) == found


@pytest.mark.parametrize(
    ("held", "asked", "answered", "found"),
    [
        (connected(ended=13.9), (), (), set()),
        (connected(), (), (), {"lost"}),  # idle
        (connected(), (10.1,), (10.2,), {"lost"}),
        (connected(), (11.9,), (None,), set()),  # its client only waits
        (connected(ended=14.5), (12.5,), (14.4,), {"lost"}),
        (connected(), (11.9, 13.0), (None, 13.1), {"lost"}),  # waits, and goes on sending
        (connected(opened=13.8, ended=14.1), (), (), set()),
    ],
)
def test_a_drained_process_holds_a_connection(held, asked, answered, found):
    requests = []
    for n, (at, end) in enumerate(zip(asked, answered, strict=True)):
        record = RequestRecord(f"r{n}", "n0", 1, "safe", at, 30.0)
        if end is not None:
            record.answers = [Answer(end, Code.REFUSED)]
        else:
            record.cancelled_at = 15.0
        requests.append(record)
    ends = [life(terminated_at=14.8, ended_at=15.0, code=0)]
    assert rules(Run(requests, orders=[order()], connections=[held], lives=ends)) == found


@pytest.mark.parametrize(
    ("sent", "found"), [(10.05, set()), (10.2, {"drain"}), (14.9, {"drain"}), (15.1, set())]
)
def test_a_request_to_a_database_out_by_hand(sent, found):
    orders = [order("/databases/disable", subject="s0"), order("/databases/enable", 15.0, subject="s0")]
    run = Run([request(sent=sent, answers=[served(sent + 0.5)])], [attempt(sent, sent + 0.4)], orders=orders)
    assert rules(run) == found


def test_a_second_call_does_not_shorten_the_first():
    orders = [order("/databases/disable", subject="s0"), order("/databases/disable", 12.0, subject="s0")]
    run = Run([request(sent=11.0, answers=[served(11.5)])], [attempt(11.0, 11.4)], orders=orders)
    assert rules(run) == {"drain"}


@pytest.mark.parametrize(
    "line", ["topic=violation event=x", 'hollowhitch_violations_total{rule="open_at_exit"} 1']
)
def test_a_violation_that_the_process_found_itself(line):
    assert rules(Run(lives=[life(stderr=f"a line\n{line}\n")])) == {"violation"}
