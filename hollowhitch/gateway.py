"""Driver of one Controller: passes it queries and outcomes, and executes its actions. It makes no decisions.

A front-end protocol submits a `Query` and gets exactly one answer through `Query.send_answer`. A `Backend`,
which stands for the engines, is told to start and cancel attempts, and reports how each attempt ended.
"""

from __future__ import annotations

import dataclasses
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hollowhitch import log
from hollowhitch.clock import Clock
from hollowhitch.metrics import Metrics
from hollowhitch.policy import interface as api
from hollowhitch.policy.control import Controller

# Timer event with a label that the controller never sets. The controller does the work that is due, and sets
# its next timer.
WAKE_UP = api.TimerFired(-1)
# A query expires here before its client stops waiting, by this many microseconds or by this share of the time
# that the client allows, whichever is less. The controller's own margin of two ticks of the simulator's clock
# is too short for a real answer when the machine gives this process no core for a while.
ANSWER_MARGIN_US, ANSWER_MARGIN_SHARE = 100_000, 0.1
# Microseconds that an answer gets to leave the process before the next query of its key may start, even if it
# is given when its client has stopped waiting.
MIN_DELIVERY_US = 200_000
# Microseconds after a query's expiry at which the gateway fails it if the controller has not ended it.
WATCHDOG_DELAY_US = 5_000


class Timer(Protocol):
    """Handle of a delayed call. `cancel` prevents the call; it has no effect once the call was made."""

    def cancel(self) -> None: ...


CallLater = Callable[[float, Callable[[], None]], Timer]  # the delay is in seconds


@dataclass(frozen=True, slots=True)
class Served:
    """The query's result."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The query was not served, and the client may send it again without harm."""

    retry_after_us: int  # 0: no advice on when to retry


@dataclass(frozen=True, slots=True)
class Failed:
    """The query has no result, and may have run."""


Answer = Served | Refused | Failed


@dataclass(slots=True)
class Query:
    """A query as received from a client, and its progress.

    `ref` is the id by which engines know the query; the controller knows it by `arrival.id`. Times are
    microseconds on the gateway's clock.
    """

    ref: str
    arrival: api.QueryArrived
    idempotency_key: str | None
    statement: bytes
    send_answer: Callable[[Answer], None]
    # Ends the query if its client may have left without the process's knowledge. Called before each write.
    check_client: Callable[[], None] = lambda: None
    expires_at_us: int = 0
    client_gives_up_at_us: int = 0  # when the client stops waiting, a little after `expires_at_us`
    received_at_us: int = 0
    submitted_at_us: int = 0
    finished: bool = False  # it was answered, or its client no longer waits
    # Whether the controller has still to be told that the answer has left the process.
    awaits_delivery: bool = False
    delivery_timeout: Timer | None = None
    attempts: list[Attempt] = field(default_factory=list)
    memory_grant_mb: float = 0.0  # 0: the engine chooses
    watchdog: Timer | None = None
    has_lost_connection: bool = False  # a connection broke while carrying the query, perhaps because of it
    was_sent: bool = False  # an attempt was written to an engine, so the query may have run

    @property
    def estimated_work_us(self) -> int:
        """Core time that the client estimated, or 0 without an estimate.

        A run of the query may take this long on an engine that runs little else.
        """
        return self.arrival.cost_us


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a query on an engine. Times are microseconds on the gateway's clock."""

    query: Query
    number: int  # index in the query's `attempts`
    engine: str
    sent_at_us: int
    expires_at_us: int
    memory_grant_mb: float
    send_by_us: float = math.inf  # when it must not be written any more, since it could run twice then
    ended: bool = False
    outcome: api.Outcome | None = None  # None until it is reported to the controller
    backend_handle: object = None  # for the backend's own use
    timeout: Timer | None = None


class Backend(Protocol):
    """The engines, as the gateway uses them.

    `probe` starts a health probe of an engine; `Gateway.probe_ended` is called with its result.
    """

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine.

        Call `Gateway.attempt_ended` once the attempt has ended, unless it was cancelled before.
        """

    def cancel(self, attempt: Attempt, on_stopped: Callable[[], None]) -> bool:
        """Drop an attempt whose result is no longer wanted, and return whether it was sent.

        If it was sent, `on_stopped` is called once its engine can be assumed to know of the cancellation.
        """

    def probe(self, engine: str) -> None: ...


class Gateway:
    """The open queries of one process, and the controller that decides on them."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        backend: Backend,
        call_later: CallLater,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings, self.backend, self.clock, self.metrics = settings, backend, clock, metrics
        self.controller = Controller(settings, seed)
        # By controller id: queries that are not finished, or have an attempt in flight.
        self.queries: dict[str, Query] = {}
        self.unanswered_count = 0
        self._call_later = call_later
        self._last_query_number = 0
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self._controller_timer: Timer | None = None

    # Events from clients, engines and the process

    def submit(self, query: Query, received_at_us: int) -> None:
        """Accept a query whose `arrival` is complete except for its id, which is assigned here.

        The query's time limit counts from its arrival at `received_at_us`, not from this call.
        """
        self._last_query_number += 1
        query_id = f"q{self._last_query_number}"
        allowed_us = query.arrival.expires_in_us
        query.expires_at_us = _expiry_us(received_at_us, allowed_us)
        query.submitted_at_us = self.clock.now_us()
        remaining_us = max(0, query.expires_at_us - query.submitted_at_us)
        query.awaits_delivery = query.arrival.key is not None
        query.arrival = dataclasses.replace(
            query.arrival, id=query_id, expires_in_us=remaining_us, awaits_delivery=query.awaits_delivery
        )
        query.client_gives_up_at_us = received_at_us + allowed_us
        query.received_at_us = received_at_us
        self.queries[query_id] = query
        self.unanswered_count += 1
        self.metrics.requests.add(query.arrival.class_name)
        query.watchdog = self.watch(received_at_us, allowed_us, lambda: self._end_overdue(query))
        self.post(query.arrival)

    def watch(self, received_at_us: int, allowed_us: int, end_overdue: Callable[[], None]) -> Timer:
        """Call `end_overdue` when a request needs its answer, and return a handle that prevents the call.

        A request is watched from its read on: until it is submitted by whoever has read it, then by `submit`.
        """
        remaining_us = max(0, _expiry_us(received_at_us, allowed_us) - self.clock.now_us())
        return self._call_later((remaining_us + WATCHDOG_DELAY_US) / 1e6, end_overdue)

    def client_left(self, query: Query) -> None:
        """End a query whose client no longer waits for the answer, if it is not finished."""
        if not query.finished:
            self.metrics.answers.add("client_left")
            self._finish(query)
            self.post(api.ClientLeft(query.arrival.id))
            self.answer_delivered(query)

    def answer_delivered(self, query: Query) -> None:
        """Note that the kernel has taken the query's answer, or that nobody waits for it any more.

        Only the first call for a query has an effect.
        """
        if not query.awaits_delivery:
            return
        query.awaits_delivery = False
        if query.delivery_timeout is not None:
            query.delivery_timeout.cancel()
            query.delivery_timeout = None
        self.post(api.AnswerDelivered(query.arrival.id))

    def begin_shutdown(self, ends_in_us: int) -> None:
        """Tell the controller that the process shuts down, and can serve queries for `ends_in_us` more."""
        self.post(api.Closing(ends_in_us))

    def terminate_query(self, query: Query) -> None:
        """Give the query its final answer now, without waiting for a result."""
        self.post(api.GiveUp(query.arrival.id))
        if not query.finished:  # the controller does not know the query
            self._answer(query, Failed())

    def terminate_all_queries(self) -> None:
        """Give every open query its final answer now, without waiting for results."""
        for query in list(self.queries.values()):
            if not query.finished:
                self.terminate_query(query)

    def attempt_ended(
        self, attempt: Attempt, outcome: api.Outcome, report: api.LoadReport | None = None, body: bytes = b""
    ) -> None:
        """Record how an attempt ended, and answer its query with `body` if the outcome is OK.

        Only the first call for an attempt has an effect.
        """
        if attempt.ended:
            return
        self._mark_ended(attempt)
        query = attempt.query
        if outcome is api.Outcome.OK and not query.finished:
            self._answer(query, Served(body))
        self._report(attempt, outcome, report)

    def update_engines(self, engines: api.EngineList) -> None:
        """Pass a list of engines, or a change to it, to the controller."""
        self.post(engines)

    def probe_ended(self, result: api.ProbeEnded) -> None:
        """Pass the result of a health probe to the controller."""
        self.post(result)

    def post(self, event: api.Event) -> None:
        """Pass an event to the controller.

        Events are handled one at a time and in order. An event that is posted while the actions of another
        one are executed is handled after them.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    # The controller and its actions

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.controller.handle(self.clock.now_us(), event)
        except Exception as e:
            # A bug in the controller fails only the query of this event. The controller's state already
            # includes the actions that it decided on before the exception, so these are still executed.
            log.event("fault", "the controller raised an exception", on=type(event).__name__, error=repr(e))
            actions = self.controller.actions
            if event != WAKE_UP:  # the controller may not have set its next timer
                self._events.append(WAKE_UP)
            self._fail_query(getattr(event, "id", None), event)
        for action in actions:
            try:
                self._execute(action)
            except Exception as e:  # a failed action must not prevent the actions after it
                log.event("fault", "executing an action failed", action=action, error=repr(e))
        if isinstance(event, api.AttemptEnded | api.ClientLeft):
            self._forget(event.id)

    def _fail_query(self, query_id: str | None, event: api.Event) -> None:
        query = self.queries.get(query_id or "")
        if query is not None and not query.finished:
            self._answer(query, Failed())
            if not isinstance(event, api.ClientLeft):
                self._events.append(api.ClientLeft(query.arrival.id))
            for attempt in list(query.attempts):
                self._cancel_attempt(attempt, api.Outcome.CANCELLED)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._set_timer(action)
            case api.Refuse():
                if (query := self.queries.get(action.id)) is not None and not query.finished:
                    self._record_unserved(query, "refused", action.reason)
                    self._answer(query, Refused(action.retry_after_us))
            case api.Fail():
                if (query := self.queries.get(action.id)) is not None and not query.finished:
                    self._record_unserved(query, "failed", action.reason)
                    self._answer(query, Failed())
            case api.CancelAttempt():
                query = self.queries.get(action.id)
                if query is not None and action.attempt < len(query.attempts):
                    self._cancel_attempt(query.attempts[action.attempt], api.Outcome.CANCELLED)
            case api.SetTerms():
                if (query := self.queries.get(action.id)) is not None:
                    query.memory_grant_mb = action.memory_mb
            case api.Probe():
                if self.settings.limits.probes:
                    self.backend.probe(action.engine)
            case api.Log():
                log.event("decisions", action.text)
            case api.HealthChanged():
                self.metrics.ejections.add(action.reason)
                log.event("health", action.change, engine=action.engine, reason=action.reason)
            case _:  # engine lists arrive here without a subscription, and gateways exchange no messages
                log.event("fault", "action not supported by this gateway", action=type(action).__name__)

    def _set_timer(self, action: api.SetTimer) -> None:
        """Set the controller's timer. The controller sets another one only if that is due earlier."""
        if self._controller_timer is not None:
            self._controller_timer.cancel()
        fired = api.TimerFired(action.label)
        self._controller_timer = self._call_later(action.delay_us / 1e6, lambda: self.post(fired))

    def _send(self, action: api.Send) -> None:
        query = self.queries.get(action.id)
        if query is None:
            return
        now_us = self.clock.now_us()
        expires_at_us = (
            min(now_us + action.timeout_us, query.expires_at_us) if action.timeout_us else query.expires_at_us
        )
        attempt = Attempt(
            query, len(query.attempts), action.engine, now_us, expires_at_us, query.memory_grant_mb
        )
        if action.send_within_us is not None:
            attempt.send_by_us = now_us + action.send_within_us
        if query.attempts:
            self._record_retry(query, attempt)
        else:
            self.metrics.held_time.observe((now_us - query.submitted_at_us) / 1e6)
        query.attempts.append(attempt)
        if query.finished or expires_at_us <= now_us:  # the client has left, or no time remains
            self.attempt_ended(attempt, api.Outcome.NEVER_SENT)
            return
        timeout_s = (expires_at_us - now_us) / 1e6
        attempt.timeout = self._call_later(
            timeout_s, lambda: self._cancel_attempt(attempt, api.Outcome.TIMEOUT)
        )
        try:
            self.backend.start(attempt)
        except Exception as e:  # the controller expects exactly one outcome for each attempt
            log.event("fault", "starting an attempt failed", ref=query.ref, error=repr(e))
            self.attempt_ended(attempt, api.Outcome.CONNECT_FAILED)

    def _cancel_attempt(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Cancel an attempt, and report its outcome once its engine can be assumed to know of this."""
        if attempt.ended:
            return
        self._mark_ended(attempt)
        if self.backend.cancel(attempt, lambda: self._report(attempt, outcome, None)):
            return
        # No connection was free in time, so an attempt that timed out never ran.
        timed_out = outcome is api.Outcome.TIMEOUT
        self._report(attempt, api.Outcome.CONNECT_FAILED if timed_out else outcome, None)

    def _report(self, attempt: Attempt, outcome: api.Outcome, report: api.LoadReport | None) -> None:
        """Count and log the end of an attempt, and tell the controller."""
        query, elapsed_us = attempt.query, self.clock.now_us() - attempt.sent_at_us
        attempt.outcome = outcome
        self.metrics.attempts.add(outcome.value)
        self.metrics.attempt_time.observe(elapsed_us / 1e6)
        if outcome is not api.Outcome.OK:
            log.event(
                "attempt",
                "attempt ended without a result",
                ref=query.ref,
                number=attempt.number,
                engine=attempt.engine,
                outcome=outcome.value,
                after_ms=elapsed_us // 1000,
            )
        query_id = query.arrival.id
        self.post(
            api.AttemptEnded(
                query_id, attempt.number, attempt.engine, outcome, elapsed_us, query.finished, 0, 0.0, report
            )
        )

    # The end of an attempt and of a query

    def _mark_ended(self, attempt: Attempt) -> None:
        attempt.ended = True
        if attempt.timeout is not None:
            attempt.timeout.cancel()
            attempt.timeout = None

    def _record_retry(self, query: Query, attempt: Attempt) -> None:
        last_outcome = query.attempts[-1].outcome
        after = last_outcome.value if last_outcome is not None else "out"
        self.metrics.retries.add(after)
        log.event(
            "retry",
            "query sent again",
            ref=query.ref,
            number=attempt.number,
            engine=attempt.engine,
            after=after,
        )

    def _record_unserved(self, query: Query, topic: str, reason: api.EndReason) -> None:
        self.metrics.unserved.add(reason.value)
        log.event(
            topic,
            "query ended without a result",
            ref=query.ref,
            service=query.arrival.class_name,
            reason=reason.value,
            attempts=len(query.attempts),
            left_ms=(query.expires_at_us - self.clock.now_us()) // 1000,
        )

    def _answer(self, query: Query, answer: Answer) -> None:
        self.metrics.answers.add(type(answer).__name__.lower())
        self.metrics.latency.observe((self.clock.now_us() - query.received_at_us) / 1e6)
        late_us = self.clock.now_us() - query.expires_at_us
        if late_us > ANSWER_MARGIN_US:
            # The client's time limit has passed, though perhaps not the `answer_slack_us` after it.
            code = type(answer).__name__.lower()
            log.event("late", "query answered late", ref=query.ref, answer=code, late_ms=late_us // 1000)
        self._finish(query)
        if query.awaits_delivery:
            # A client that does not read delays its key until it stops waiting, but no longer.
            delay_us = max(query.client_gives_up_at_us - self.clock.now_us(), MIN_DELIVERY_US)
            query.delivery_timeout = self._call_later(delay_us / 1e6, lambda: self.answer_delivered(query))
        query.send_answer(answer)

    def _finish(self, query: Query) -> None:
        query.finished = True
        query.statement = b""  # no attempt is written from now on
        self.unanswered_count -= 1
        if query.watchdog is not None:
            query.watchdog.cancel()
            query.watchdog = None
        self._forget(query.arrival.id)

    def _forget(self, query_id: str) -> None:
        """Remove the query if it is finished and has no attempt in flight."""
        query = self.queries.get(query_id)
        if query is not None and query.finished and all(a.ended for a in query.attempts):
            del self.queries[query_id]
            # The query and its attempts refer to each other, and would otherwise wait for a collection.
            query.attempts.clear()

    def _end_overdue(self, query: Query) -> None:
        """Fail a query that the controller has lost track of, so that its client still gets an answer."""
        if query.finished:
            return
        self.metrics.unserved.add("overdue")
        log.event(
            "overdue",
            "query not answered by its deadline",
            ref=query.ref,
            service=query.arrival.class_name,
        )
        self._answer(query, Failed())
        self.post(api.ClientLeft(query.arrival.id))
        for attempt in list(query.attempts):
            self._cancel_attempt(attempt, api.Outcome.TIMEOUT)


def _expiry_us(received_at_us: int, allowed_us: int) -> int:
    """Return when a query expires here, which is before its client stops waiting."""
    return received_at_us + allowed_us - min(ANSWER_MARGIN_US, int(allowed_us * ANSWER_MARGIN_SHARE))
