"""The lifecycle's decisions: every pair of state and event, and draining against a small model."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hollowhitch.lifecycle import (
    DRAIN_LIMIT_S,
    NEW_CONNECTION_S,
    RECENT_S,
    ConnectionFacts,
    Event,
    Lifecycle,
    Refusal,
    Stage,
    State,
)
from hollowhitch.shutdown import ShutdownPlan

PLAN = ShutdownPlan(accept_until_s=0.9, answer_by_s=3.35, exit_by_s=3.55)
PATHS = {
    State.STARTING: (),
    State.SERVING: (Event.STARTED,),
    State.DRAINING: (Event.STARTED, Event.DRAIN),
    State.STOPPING: (Event.STARTED, Event.STOP),
    State.STOPPED: (Event.STARTED, Event.STOP, Event.EXITED),
}
NEXT = {
    (State.STARTING, Event.STARTED): State.SERVING,
    (State.STARTING, Event.STOP): State.STOPPING,
    (State.SERVING, Event.DRAIN): State.DRAINING,
    (State.SERVING, Event.STOP): State.STOPPING,
    (State.DRAINING, Event.UNDRAIN): State.SERVING,
    (State.DRAINING, Event.STOP): State.STOPPING,
}
REFUSED = {(State.STOPPING, Event.UNDRAIN), (State.STOPPED, Event.UNDRAIN)}


def lifecycle(state: State = State.SERVING, at_s: float = 100.0) -> Lifecycle:
    made = Lifecycle(PLAN)
    for event in PATHS[state]:
        made.handle(event, at_s)
    assert made.state is state
    return made


def connection(
    opened_s: float = 0.0,
    asked_s: float | None = None,
    answered_s: float | None = None,
    open_requests: int = 0,
) -> ConnectionFacts:
    return ConnectionFacts(opened_s, asked_s, answered_s, open_requests)


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("event", Event)
def test_each_event_in_each_state(state, event):
    made = lifecycle(state)
    assert made.handle(event, 101.0) is ((state, event) not in REFUSED)
    expected = State.STOPPED if event is Event.EXITED else NEXT.get((state, event), state)
    assert made.state is expected
    assert made.ready is (expected is State.SERVING)
    assert made.sends_clients_away is (expected in (State.DRAINING, State.STOPPING, State.STOPPED))


def test_an_order_to_drain_while_starting_counts_once_it_has_started():
    made = lifecycle(State.STARTING)
    made.handle(Event.DRAIN, 99.0)
    made.handle(Event.STARTED, 100.0)
    assert made.state is State.DRAINING


@pytest.mark.parametrize(
    ("after_s", "refusal", "accepts"),
    [(0.0, None, True), (1.7, None, True), (1.9, Refusal.DRAINING, True), (60.0, Refusal.DRAINING, True)],
)
def test_requests_are_refused_in_time_to_be_no_recent_ones_at_the_limit(after_s, refusal, accepts):
    made = lifecycle(State.DRAINING)
    assert (made.refusal(100.0 + after_s), made.accepts(100.0 + after_s)) == (refusal, accepts)
    made.handle(Event.UNDRAIN, 100.0 + after_s)
    assert made.refusal(100.0 + after_s) is None


@pytest.mark.parametrize(
    ("after_s", "facts", "stage"),
    [
        (0.1, connection(), Stage.SERVE),
        (0.6, connection(), Stage.END_WHEN_IDLE),
        (0.6, connection(opened_s=100.5), Stage.SERVE),  # its first request is on its way
        (0.6, connection(opened_s=100.5, asked_s=100.55, open_requests=1), Stage.END_WHEN_IDLE),
        (3.1, connection(asked_s=103.0, open_requests=9), Stage.END_WHEN_IDLE),
        (3.3, connection(asked_s=103.2, open_requests=9), Stage.ANSWER_AND_END),
        (3.3, connection(asked_s=101.9, open_requests=1), Stage.ANSWER_AND_END),
        (3.3, connection(asked_s=101.7, open_requests=1), Stage.END_WHEN_IDLE),  # its client only waits
        (3.6, connection(asked_s=103.5), Stage.CLOSE),
        (3.6, connection(asked_s=103.5, answered_s=103.5), Stage.ANSWER_AND_END),
        (3.9, connection(asked_s=103.5, answered_s=103.6), Stage.CLOSE),
        (30.0, connection(asked_s=101.0, open_requests=1), Stage.END_WHEN_IDLE),
        (30.0, connection(asked_s=129.9, open_requests=2), Stage.ANSWER_AND_END),
        (30.0, connection(asked_s=101.0, answered_s=129.9), Stage.ANSWER_AND_END),
        (30.0, connection(asked_s=101.0, answered_s=129.0), Stage.CLOSE),
        (30.0, connection(opened_s=129.9), Stage.SERVE),
    ],
)
def test_what_becomes_of_a_connection_while_draining(after_s, facts, stage):
    assert lifecycle(State.DRAINING).stage(facts, 100.0 + after_s) is stage


@pytest.mark.parametrize(
    ("after_s", "stage", "may_send"),
    [
        (0.5, Stage.SERVE, True),
        (1.0, Stage.END_WHEN_IDLE, True),
        (3.4, Stage.ANSWER_AND_END, False),
        (3.6, Stage.CLOSE, False),
    ],
)
def test_what_becomes_of_connections_while_stopping(after_s, stage, may_send):
    made = lifecycle(State.STOPPING)
    assert made.stage(connection(asked_s=100.0, open_requests=1), 100.0 + after_s) is stage
    assert made.may_send(100.0 + after_s) is may_send


@pytest.mark.parametrize("stop_after_s", [0.1, 1.0, 3.9])
def test_a_signal_in_a_drain_binds_by_its_own_budget_and_undoes_nothing(stop_after_s):
    made = lifecycle(State.DRAINING)
    stopped_s = 100.0 + stop_after_s
    made.handle(Event.STOP, stopped_s)
    busy = connection(asked_s=101.0, open_requests=1)
    assert made.stage(busy, stopped_s + PLAN.exit_by_s + 0.01) is Stage.CLOSE
    assert made.stage(connection(), 104.0) is Stage.CLOSE
    assert not made.handle(Event.UNDRAIN, stopped_s) and not made.ready


class Draining(RuleBasedStateMachine):
    """One connection under any series of orders, requests and answers, looked at every 20 ms.

    It ends as the stage says: when nothing is open, or at once. The rule is the page's.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.lifecycle = Lifecycle(PLAN)
        self.lifecycle.handle(Event.STARTED, self.now)
        self.drained_s: float | None = None
        self.open_s: list[float] = []  # when each open request came
        self.asked_s: float | None = None
        self.answered_s: float | None = None
        self.opened_s, self.alive = self.now, True

    @rule(order=st.sampled_from([Event.DRAIN, Event.UNDRAIN]))
    def order(self, order):
        self.lifecycle.handle(order, self.now)
        if order is Event.UNDRAIN:
            self.drained_s = None
        elif self.drained_s is None:
            self.drained_s = self.now

    @rule()
    def ask(self):
        if not self.alive:
            return
        self.asked_s = self.now
        if self.lifecycle.refusal(self.now) is None:
            self.open_s.append(self.now)
        else:
            self.answered_s = self.now

    @rule()
    def answer(self):
        if self.alive and self.open_s:
            self.open_s.pop(0)
            self.answered_s = self.now

    @rule()
    def connect(self):
        if not self.alive:
            self.opened_s, self.alive, self.asked_s, self.answered_s, self.open_s = (
                self.now,
                True,
                None,
                None,
                [],
            )

    @rule(steps=st.integers(1, 120))
    def pass_time(self, steps):
        for _ in range(steps):
            self.now += 0.02
            self.follow()
            self.check()

    def follow(self):
        if not self.alive:
            return
        facts = ConnectionFacts(self.opened_s, self.asked_s, self.answered_s, len(self.open_s))
        stage = self.lifecycle.stage(facts, self.now)
        if stage >= Stage.ANSWER_AND_END and self.open_s:
            self.open_s, self.answered_s = [], self.now
        elif stage is not Stage.SERVE and not self.open_s:
            self.alive = False

    def check(self):
        if not self.alive or self.drained_s is None or self.now < self.drained_s + DRAIN_LIMIT_S:
            return
        new = self.now - self.opened_s <= NEW_CONNECTION_S + 0.02
        just_answered = self.answered_s is not None and self.now - self.answered_s <= 0.04
        recent = self.asked_s is not None and self.asked_s > self.now - RECENT_S
        just_asked = self.asked_s is not None and self.now - self.asked_s <= 0.04
        assert new or just_answered or just_asked or (self.open_s and not recent)

    @invariant()
    def ready_is_what_was_ordered(self):
        assert self.lifecycle.ready is (self.drained_s is None)


TestDraining = Draining.TestCase
