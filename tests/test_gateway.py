"""The gateway gives each query exactly one answer, also after errors of the controller and the engines."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace

import pytest

from hollowhitch import gateway as gw
from hollowhitch.clock import Clock
from hollowhitch.metrics import Metrics
from hollowhitch.policy import interface as api
from tests.conftest import make_controller_settings, make_engine, make_query_class

Outcome = api.Outcome


class RecordingBackend:
    """Backend that only records the attempts that are started and cancelled."""

    def __init__(self) -> None:
        self.started: list[gw.Attempt] = []
        self.cancelled: list[gw.Attempt] = []
        self.stopped_calls: list[Callable[[], None]] = []

    def start(self, attempt: gw.Attempt) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: gw.Attempt, on_stopped: Callable[[], None]) -> bool:
        self.cancelled.append(attempt)
        self.stopped_calls.append(on_stopped)
        return True

    def confirm_stops(self) -> None:
        """Let the engines know of all cancellations."""
        calls, self.stopped_calls = self.stopped_calls, []
        for on_stopped in calls:
            on_stopped()

    def probe(self, engine: str) -> None:
        raise AssertionError("the settings do not allow probes")


class OffsetClock(Clock):
    """Clock that tests move forward by `offset_us`."""

    offset_us = 0

    def now_us(self) -> int:
        return super().now_us() + self.offset_us


class GatewayFixture:
    """A gateway with two engines, whose answers are recorded and whose timers run only in `run_timers`."""

    def __init__(self, *classes: api.QueryClass) -> None:
        self.timers: list[SimpleNamespace] = []
        self.backend, self.clock = RecordingBackend(), OffsetClock()
        self.gateway = gw.Gateway(
            make_controller_settings(*classes), 1, self.backend, self.call_later, self.clock, Metrics()
        )
        self.answers: list[gw.Answer] = []
        self.gateway.update_engines(api.EngineList(api.ListKind.CACHED, (make_engine("a"), make_engine("b"))))

    def call_later(self, delay_s: float, callback) -> SimpleNamespace:
        timer = SimpleNamespace(delay_s=delay_s, callback=callback)
        timer.cancel = lambda: self.timers.remove(timer) if timer in self.timers else None
        self.timers.append(timer)
        return timer

    def submit(self, age_us: int = 0) -> gw.Query:
        """Submit a query that arrived `age_us` ago and whose client waits 6 s in all."""
        arrival = api.QueryArrived("", "q", None, 7, 6_000_000, 200_000, 100.0, 1, False)
        query = gw.Query("00aa", arrival, None, b"select 1", self.answers.append)
        self.gateway.submit(query, self.clock.now_us() - age_us)
        return query

    def run_timers(self, max_delay_s: float) -> None:
        """Run the timers that were set with a delay of at most `max_delay_s`."""
        due = [t for t in self.timers if t.delay_s <= max_delay_s]
        self.timers = [t for t in self.timers if t.delay_s > max_delay_s]
        for timer in due:
            timer.callback()


def test_a_result_is_the_answer_and_no_state_is_left():
    fixture = GatewayFixture()
    fixture.submit()
    fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.OK, None, b"rows")
    # Only the first outcome of an attempt counts.
    fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.RESET)
    assert (
        fixture.answers == [gw.Served(b"rows")]
        and not fixture.gateway.queries
        and fixture.gateway.unanswered_count == 0
    )


def test_the_attempt_of_a_client_that_left_is_cancelled_and_no_answer_is_sent():
    fixture = GatewayFixture()
    query = fixture.submit()
    fixture.gateway.client_left(query)
    fixture.gateway.client_left(query)
    assert fixture.backend.cancelled == fixture.backend.started and fixture.answers == []
    fixture.backend.confirm_stops()
    assert not fixture.gateway.queries


def test_the_next_attempt_waits_until_the_engine_was_told_to_stop_the_last_one():
    """A query may have only one attempt at a time, so the STOP has to be sent before the next REQ."""
    fixture = GatewayFixture()
    fixture.submit()
    fixture.gateway._cancel_attempt(fixture.backend.started[0], Outcome.TIMEOUT)
    assert len(fixture.backend.cancelled) == 1 and len(fixture.backend.started) == 1
    fixture.backend.confirm_stops()
    assert len(fixture.backend.started) == 2 and fixture.backend.started[0] is not fixture.backend.started[1]
    # The result of the old attempt is ignored.
    fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.OK, None, b"late")
    assert fixture.answers == []


def test_a_timeout_of_an_attempt_that_was_never_sent_is_reported_as_a_failed_connect(monkeypatch):
    """Otherwise the controller would assume that the query may still run."""
    fixture = GatewayFixture()
    events = []
    monkeypatch.setattr(fixture.backend, "cancel", lambda attempt, on_stopped: False)
    fixture.submit()
    monkeypatch.setattr(fixture.gateway, "post", events.append)
    fixture.gateway._cancel_attempt(fixture.backend.started[0], Outcome.TIMEOUT)
    assert [e.outcome for e in events] == [Outcome.CONNECT_FAILED]


@pytest.mark.parametrize("event_type", [api.QueryArrived, api.AttemptEnded])
def test_an_exception_in_the_controller_fails_only_one_query(monkeypatch, event_type):
    fixture = GatewayFixture()
    handle = fixture.gateway.controller.handle

    def handle_and_raise(now_us, event):
        actions = handle(now_us, event)
        if type(event) is event_type:
            raise ZeroDivisionError
        return actions

    monkeypatch.setattr(fixture.gateway.controller, "handle", handle_and_raise)
    fixture.submit()
    if event_type is api.AttemptEnded:
        fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.ERROR)
    fixture.backend.confirm_stops()
    assert fixture.answers == [gw.Failed()] and fixture.gateway.unanswered_count == 0
    monkeypatch.setattr(fixture.gateway.controller, "handle", handle)
    fixture.submit()
    fixture.gateway.attempt_ended(fixture.backend.started[-1], Outcome.OK, None, b"rows")
    assert fixture.answers[1:] == [gw.Served(b"rows")]


def test_an_exception_in_one_feedback_period_does_not_stop_the_feedback(monkeypatch):
    fixture = GatewayFixture()
    fixture.submit()
    monkeypatch.setattr(fixture.gateway.controller, "_update_shares", lambda: 1 / 0)
    for _ in range(3):
        fixture.clock.offset_us += 200_000
        fixture.run_timers(0.1)
    periods = []
    monkeypatch.setattr(fixture.gateway.controller, "_update_shares", lambda: periods.append(1))
    fixture.clock.offset_us += 200_000
    fixture.run_timers(0.1)
    assert periods


def test_a_query_that_the_controller_lost_is_ended_when_it_expires(monkeypatch):
    fixture = GatewayFixture()
    monkeypatch.setattr(fixture.gateway.controller, "handle", lambda now_us, event: [])
    fixture.submit()
    fixture.run_timers(7.0)
    assert fixture.answers == [gw.Failed()] and fixture.gateway.unanswered_count == 0


def test_an_event_is_handled_only_after_the_actions_of_the_last_one(monkeypatch):
    fixture = GatewayFixture()
    running, outer_calls = [], []

    def watch(owner: object, name: str) -> None:
        method = getattr(owner, name)

        def watched(*args):
            outer_calls.append(list(running))
            running.append(name)
            try:
                return method(*args)
            finally:
                running.pop()

        monkeypatch.setattr(owner, name, watched)

    watch(fixture.gateway.controller, "handle")
    watch(fixture.gateway, "_execute")
    started: list[gw.Attempt] = []

    def fail_at_once(attempt: gw.Attempt) -> None:
        started.append(attempt)
        fixture.gateway.attempt_ended(attempt, Outcome.CONNECT_FAILED)

    monkeypatch.setattr(fixture.backend, "start", fail_at_once)
    fixture.submit()  # each attempt fails at once, inside the action that starts it
    assert len(started) > 1 and all(a.ended for a in started)
    assert outer_calls and not any(outer_calls)


def test_time_that_a_query_waited_in_the_kernel_counts_towards_its_time_limit():
    fixture = GatewayFixture()
    fixture.submit(age_us=7_000_000)
    assert fixture.answers and not fixture.backend.started


def test_an_answer_is_due_some_time_before_the_client_stops_waiting():
    """Without this margin, a stall of the process just before the time limit makes the answer late.

    That happened to a request in a fault run with many proxies.
    """
    fixture = GatewayFixture()
    query = fixture.submit()
    assert query.arrival.expires_in_us <= 6_000_000 - gw.ANSWER_MARGIN_US


def test_a_query_with_an_order_key_waits_for_the_previous_one():
    fixture = GatewayFixture(make_query_class("q", retry_safety=api.RetrySafety.DEDUPLICATED, in_order=True))
    first, _ = fixture.submit(), fixture.submit()
    assert len(fixture.backend.started) == 1
    fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.OK, None, b"one")
    assert first.finished and len(fixture.backend.started) == 1
    fixture.gateway.answer_delivered(first)
    fixture.gateway.answer_delivered(first)
    assert len(fixture.backend.started) == 2


def test_an_answer_that_is_never_delivered_delays_its_key_only_until_the_client_gives_up():
    fixture = GatewayFixture(make_query_class("q", retry_safety=api.RetrySafety.DEDUPLICATED, in_order=True))
    fixture.submit(), fixture.submit()
    fixture.gateway.attempt_ended(fixture.backend.started[0], Outcome.OK, None, b"one")
    timeouts = [t for t in fixture.timers if 5.95 < t.delay_s <= 6.0]
    assert timeouts and len(fixture.backend.started) == 1
    for timeout in timeouts:
        timeout.callback()
    assert len(fixture.backend.started) == 2


def test_an_answer_given_after_the_client_gave_up_still_precedes_the_next_query_of_its_key():
    fixture = GatewayFixture(make_query_class("q", retry_safety=api.RetrySafety.DEDUPLICATED, in_order=True))
    first = fixture.submit()
    fixture.clock.offset_us += 6_100_000
    fixture.submit()
    assert first.finished
    fixture.run_timers(0.1)
    fixture.backend.confirm_stops()
    assert fixture.gateway.controller.key_order.next_query_id(7) == "q1"
    fixture.gateway.answer_delivered(first)
    assert fixture.gateway.controller.key_order.next_query_id(7) == "q2"


def test_a_client_that_leaves_before_its_answer_is_taken_does_not_delay_its_key():
    fixture = GatewayFixture(make_query_class("q", retry_safety=api.RetrySafety.DEDUPLICATED, in_order=True))
    first, _ = fixture.submit(), fixture.submit()
    fixture.gateway.client_left(first)
    fixture.backend.confirm_stops()
    assert fixture.gateway.controller.key_order.next_query_id(7) == "q2"
