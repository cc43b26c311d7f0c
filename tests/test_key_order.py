"""Tests of the order of a key: random events against a model, and the end of a process."""

from __future__ import annotations

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hollowhitch.policy import interface as api
from hollowhitch.policy.key_order import KeyOrder
from tests.conftest import (
    SECOND_US,
    ControllerDriver,
    make_controller_settings,
    make_engine,
    make_query_class,
    of_type,
)

KEYS = (1, 2)
DELAY_US = 500


class ModelQuery:
    """A query as the model knows it."""

    def __init__(self, name: str, key: int, awaits_delivery: bool) -> None:
        self.name, self.key = name, key
        self.in_flight, self.was_sent, self.is_closed = 0, False, False
        self.is_delivered = not awaits_delivery

    @property
    def is_over(self) -> bool:
        return self.is_closed and self.is_delivered and not self.in_flight


class KeyOrderMachine(RuleBasedStateMachine):
    """Arrivals, attempts, answers, cancellations and retries in any order, on several keys."""

    def __init__(self) -> None:
        super().__init__()
        self.order, self.now_us = KeyOrder(), 0
        self.queries: list[ModelQuery] = []  # all queries that are not over, in order of arrival
        self.delayed_until_us = dict.fromkeys(KEYS, 0)
        self.names = (f"q{n}" for n in itertools.count())

    def head(self, key: int) -> ModelQuery | None:
        return next((q for q in self.queries if q.key == key), None)

    def check_end(self, query: ModelQuery, reported: bool) -> None:
        assert reported == (query.is_over and self.head(query.key) is query)
        if query.is_over:
            self.queries.remove(query)

    @rule(key=st.sampled_from(KEYS), awaits_delivery=st.booleans())
    def arrive(self, key: int, awaits_delivery: bool) -> None:
        query = ModelQuery(next(self.names), key, awaits_delivery)
        self.queries.append(query)
        self.order.query_arrived(query.name, key, awaits_delivery)

    @rule()
    def arrive_without_key(self) -> None:
        name = next(self.names)
        self.order.query_arrived(name, None, True)
        assert self.order.may_start(name, self.now_us)
        assert not self.order.query_closed(name) and not self.order.answer_delivered(name)

    @rule(data=st.data())
    @precondition(lambda self: self.queries)
    def send(self, data: st.DataObject) -> None:
        query = data.draw(st.sampled_from(self.queries))
        if not query.is_closed and self.order.may_start(query.name, self.now_us):
            query.in_flight, query.was_sent = query.in_flight + 1, True
            self.order.attempt_sent(query.name)

    @rule(data=st.data(), may_run=st.booleans())
    @precondition(lambda self: any(q.in_flight for q in self.queries))
    def end_attempt(self, data: st.DataObject, may_run: bool) -> None:
        query = data.draw(st.sampled_from([q for q in self.queries if q.in_flight]))
        query.in_flight -= 1
        until_us = self.now_us + DELAY_US if may_run else None
        if until_us is not None:
            self.delayed_until_us[query.key] = until_us
        self.check_end(query, self.order.attempt_ended(query.name, until_us))

    @rule(data=st.data())
    @precondition(lambda self: self.queries)
    def close(self, data: st.DataObject) -> None:
        query = data.draw(st.sampled_from(self.queries))
        query.is_closed = True
        self.check_end(query, self.order.query_closed(query.name))

    @rule(data=st.data())
    @precondition(lambda self: self.queries)
    def deliver(self, data: st.DataObject) -> None:
        query = data.draw(st.sampled_from(self.queries))
        query.is_delivered = True
        self.check_end(query, self.order.answer_delivered(query.name))

    @rule(elapsed_us=st.integers(0, 2 * DELAY_US))
    def wait(self, elapsed_us: int) -> None:
        self.now_us += elapsed_us

    @invariant()
    def only_the_oldest_query_that_is_not_over_may_start(self) -> None:
        for query in self.queries:
            has_turn = self.head(query.key) is query
            is_due = query.was_sent or self.now_us >= self.delayed_until_us[query.key]
            assert self.order.may_start(query.name, self.now_us) == (has_turn and is_due)

    @invariant()
    def nothing_is_kept_of_queries_that_are_over(self) -> None:
        assert set(self.order.queries) == {q.name for q in self.queries}
        assert set(self.order.queues) == {q.key for q in self.queries}
        for key in KEYS:
            head = self.head(key)
            assert self.order.next_query_id(key) == (head.name if head else None)


TestKeyOrder = KeyOrderMachine.TestCase


class KeyFixture:
    """A controller with one class of queries in order, and one engine."""

    def __init__(self) -> None:
        query_class = make_query_class(
            retry_safety=api.RetrySafety.DEDUPLICATED,
            in_order=True,
            target_us=20 * SECOND_US,
            deadline_us=20 * SECOND_US,
        )
        self.driver = ControllerDriver(make_engine("e1"), settings=make_controller_settings(query_class))

    def submit(self, name: str, cost_us: int = 200_000) -> list[api.Action]:
        return self.driver.submit(
            name, key=7, expires_in_us=20 * SECOND_US, cost_us=cost_us, awaits_delivery=True
        )

    def deliver(self, name: str) -> list[api.Action]:
        return self.driver.handle(api.AnswerDelivered(name))


def sent_ids(actions: list[api.Action]) -> list[str]:
    return [a.id for a in of_type(api.Send, actions)]


def test_the_next_query_of_a_key_waits_until_the_answer_before_it_is_delivered():
    fixture = KeyFixture()
    assert sent_ids(fixture.submit("a")) == ["a"] and sent_ids(fixture.submit("b")) == []
    assert sent_ids(fixture.driver.end_attempt("a", api.Outcome.OK)) == []
    assert sent_ids(fixture.driver.advance(SECOND_US)) == []
    assert sent_ids(fixture.deliver("a")) == ["b"]


def test_a_refused_query_delays_its_key_until_the_refusal_is_delivered():
    fixture = KeyFixture()
    for name in "abc":
        fixture.submit(name)
    fixture.driver.handle(api.GiveUp("b"))
    fixture.driver.end_attempt("a", api.Outcome.OK)
    assert sent_ids(fixture.deliver("a")) == []
    assert sent_ids(fixture.deliver("b")) == ["c"]


def test_a_stopping_process_starts_no_query_of_a_key_that_it_cannot_finish():
    fixture = KeyFixture()
    fixture.submit("a")
    fixture.submit("b", cost_us=600_000)
    fixture.driver.handle(api.Closing(SECOND_US))
    fixture.driver.now_us += 500_000
    actions = fixture.driver.end_attempt("a", api.Outcome.OK) + fixture.deliver("a")
    assert sent_ids(actions) == []
    assert [(a.id, a.reason) for a in of_type(api.Refuse, actions)] == [("b", api.EndReason.CLOSING)]


def test_a_stopping_process_refuses_a_held_query_as_soon_as_it_cannot_finish_it():
    fixture = KeyFixture()
    fixture.submit("a")
    fixture.submit("b", cost_us=600_000)
    fixture.driver.handle(api.Closing(SECOND_US))
    assert of_type(api.Refuse, fixture.driver.advance(390_000)) == []
    assert [a.id for a in of_type(api.Refuse, fixture.driver.advance(20_000))] == ["b"]


def test_a_stopping_process_still_serves_what_it_can_finish():
    fixture = KeyFixture()
    fixture.submit("a")
    fixture.submit("b", cost_us=300_000)
    fixture.driver.handle(api.Closing(SECOND_US))
    fixture.driver.now_us += 500_000
    fixture.driver.end_attempt("a", api.Outcome.OK)
    assert sent_ids(fixture.deliver("a")) == ["b"]
