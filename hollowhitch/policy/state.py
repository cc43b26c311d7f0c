"""State of the controller: its clock, queries, engines and timers, and the checks of the configured rules.

The choice of engines and queries is left to the subclasses. The comments of this package cite the rules by
these numbers:

2. A query is refused or repeated only where that can't make it run twice.
3. No attempt is sent to an engine once a list has reported it as draining or gone.
4. Engines in slow start get a limited amount of work.
5. Queries with the same order key run one after the other.
6. Queries of a class are sent only to the engines that the settings of the class permit.
7. Retries stay within a budget.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import NEXT_TRY_MARGIN_US
from hollowhitch.policy.containers import EqualSumBins, RollingSum, Schedule, TokenBucket
from hollowhitch.policy.engine_sets import IndexedSet
from hollowhitch.policy.fleet import CoreCount, Fleet
from hollowhitch.policy.key_order import KeyOrder
from hollowhitch.policy.queues import HeldQueries
from hollowhitch.policy.records import Attempt, EngineRecord, HoldSendRates, Query

# Longest delay of one timer in microseconds (one hour), since the caller limits the delay too. A longer wait
# takes several timers.
MAX_TIMER_US = 3_600_000_000


class ControllerState:
    """Base of the controller: dispatches events and tracks queries, engines and timers.

    Subclasses implement the hooks that decide what to do (`on_arrival`, `place_or_hold` and so on).

    In names, "cluster" means all engines together. Shares are fractions of 1, logs are natural, work is in
    microseconds of one core.
    """

    def __init__(
        self, settings: api.Settings, seed: int, bin_sample_size: int, bin_update_interval: int
    ) -> None:
        self.settings, self.rng, self.now_us = settings, random.Random(seed), 0
        self.actions: list[api.Action] = []
        self.kinds_by_name = {k.name: k for k in settings.kinds}
        self.class_index = {c.name: i for i, c in enumerate(settings.classes)}
        self.fleet = Fleet(settings.classes)
        self.engines = self.fleet.engines  # by id
        self.engines_for_class = self.fleet.engines_for_class  # engines open to each class, by class index
        self.active_engines: IndexedSet[EngineRecord] = IndexedSet()  # the engines that the feedback updates
        self.queries: dict[str, Query] = {}
        self.held_queries, self.key_order, self.schedule = HeldQueries(), KeyOrder(), Schedule()
        self.arrivals, self.retries = (RollingSum(settings.rules.retry_budget_window_us) for _ in range(2))
        self.cost_bins, self.memory_bins = (
            EqualSumBins(bin_sample_size, bin_update_interval),
            EqualSumBins(bin_sample_size, bin_update_interval),
        )
        self.gateway_count = max(settings.gateway_count, settings.gateway_index + 1)
        # This gateway's share of the work of all gateways: of the answered work; if the work were split
        # evenly; of the offered work.
        self.answered_share = self.even_share = self.offered_share = 1 / self.gateway_count
        tenant_quotas = [(t.name, t.quota_per_s) for t in settings.tenants]
        self.quotas = {name: TokenBucket(per_s, self.even_share) for name, per_s in tenant_quotas if per_s}
        self.cluster_rates = HoldSendRates()
        self.any_engine_wide_limit = False  # whether any engine's limit is engine-wide
        self.slow_start_cores = CoreCount()  # of the ready engines that are in slow start
        self.served_work_us = self.offered_work_us = 0.0  # answered and new work in this feedback period
        # The share of each engine's slots that this gateway may use; None: still its even share.
        self.limit_share: float | None = None
        self.service_rate = 1e6  # work answered per second, smoothed
        # `unloaded_latency_ratio_log` is the mean of the log of latency over the best latency at engines with
        # headroom; the other latency ratios are relative to it. `cluster_slots` is what the attempts in
        # flight are charged against the limit over all engines. The means are over the engines that report.
        self.cluster_slots = self.cluster_latency_ratio_log = self.congested_share = (
            self.unloaded_latency_ratio_log
        ) = self.mean_threads_per_core = self.mean_memory_share = 0.0
        # `mean_large_query_limit_share` is the mean of the large query limit over the engine's limit.
        self.averages_updated_at_us, self.mean_busy_share, self.mean_large_query_limit_share = (
            -(10**9),
            0.1,
            1.0,
        )
        self.measure_from_us = 0  # latencies measured before this time are ignored
        # The label of the last timer and when it is due (0: it has fired); whether ejected engines are used.
        self.timer_label, self.timer_due_at_us, self.ejections_ignored = 0, 0, False
        self.closes_at_us = math.inf  # when the gateway shuts down
        # Whether the list of engines is kept up to date; when it was last known to be so (None: no list yet).
        self.subscribed = not settings.subscribes_to_list
        self.listed_at_us: int | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.TimerFired: self._handle_timer_fired,
            api.StreamBegan: self._handle_stream_began,
            api.ClientLeft: self._handle_client_left,
            api.Closing: self._handle_closing,
            api.GiveUp: self._handle_give_up,
            api.QueryArrived: self._handle_query_arrived,
            api.AttemptEnded: self._handle_attempt_ended,
            api.AnswerDelivered: self._handle_answer_delivered,
            api.Note: self._handle_note,
            api.ProbeEnded: self._handle_probe_ended,
            api.EngineList: self._handle_engine_list,
        }

    # Hooks for the subclasses

    def on_arrival(self, query: Query, event: api.QueryArrived) -> None:
        """Estimate a new query's needs and decide on it."""
        raise NotImplementedError

    def place_or_hold(self, query: Query) -> None:
        """Send a query that may be sent now, or hold or end it."""
        raise NotImplementedError

    def retry_or_end(self, query: Query) -> None:
        """Send a query again, or end it, after its last attempt has ended without an answer."""
        raise NotImplementedError

    def on_attempt_ended(self, query: Query, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the estimates and the engine's record from the end of an attempt."""
        raise NotImplementedError

    def on_note(self, query: Query, attempt: Attempt, event: api.Note) -> None:
        """Update the estimates from an engine's note on a running attempt."""
        raise NotImplementedError

    def on_probe_ended(self, engine: EngineRecord, event: api.ProbeEnded) -> None:
        """Update an engine's record from the result of a probe."""
        raise NotImplementedError

    def on_engine_list(self, event: api.EngineList, is_first: bool) -> None:
        """Apply a list of engines; `is_first` is whether it is the first one."""
        raise NotImplementedError

    def on_engine_changed(self, engine: EngineRecord) -> None:
        """Update what depends on an engine that was added, removed, or has a new entry in the list."""
        raise NotImplementedError

    def new_engine_record(
        self, info: api.Engine, cores: float | None, memory_mb: float | None
    ) -> EngineRecord:
        """Return the record of a new engine. A size is None if the engine's kind does not state it."""
        raise NotImplementedError

    def send_held(self, only_engine: EngineRecord | None = None) -> None:
        """Try to send held queries, to one engine or to any."""
        raise NotImplementedError

    # Averages over the engines that report

    def update_averages(
        self, weight: float, report: api.LoadReport, threads_per_core: float, congested: bool
    ) -> None:
        """Update the exponential moving averages that stand for engines without a recent report."""
        self.mean_threads_per_core += weight * (threads_per_core - self.mean_threads_per_core)
        self.mean_busy_share += weight * (report.busiest_share - self.mean_busy_share)
        self.mean_memory_share += weight * ((report.memory_share or 0.0) - self.mean_memory_share)
        self.congested_share += weight * (congested - self.congested_share)
        self.averages_updated_at_us = self.now_us

    # Checks of the configured rules

    def may_refuse(self, query: Query) -> bool:
        """Return whether a query may be refused: it never ran, or running it again does no harm (rule 2).

        After a refusal the client may send the query again. So where engines drop repeats, they still have to
        do so when its next try reaches them.
        """
        query_class = query.query_class
        first = query.first_possible_run or next(iter(query.attempts_in_flight()), None)
        if first is None or query_class.retry_safety is api.RetrySafety.SAFE:
            return True
        if (
            query_class.retry_safety is not api.RetrySafety.DEDUPLICATED
            or query_class.dedup_scope is not api.DedupScope.ALL
        ):
            return False
        next_try_at_us = self.now_us + (self.settings.limits.retry_after_us or 0) + NEXT_TRY_MARGIN_US
        return next_try_at_us <= first.sent_at_us + query_class.dedup_window_us

    def may_attempt(self, query: Query, at_any_time: bool = False) -> bool:
        """Return whether a query may be sent now, or with `at_any_time` whether it may be sent now or later.

        Checks rules 2, 3, 5 and 7. A list of engines that is out of date counts as a drain of all engines.
        """
        if (
            query.closed
            or len(query.attempts) >= self.settings.limits.max_attempts
            or query.attempts_in_flight()
        ):
            return False
        repeat_within_us = self.repeat_within_us(query)
        if repeat_within_us is not None and repeat_within_us <= 0:
            return False
        return at_any_time or (
            not self._is_list_out_of_date()
            and self.key_order.may_start(query.id, self.now_us)
            and (not query.attempts or self.has_retry_budget())
        )

    def _is_list_out_of_date(self) -> bool:
        """Return whether the last list is too old to send anything, since nothing keeps it up to date."""
        max_age_us = self.settings.rules.list_max_age_us
        if self.subscribed or max_age_us is None:
            return False
        return self.now_us - (self.listed_at_us or 0) > max_age_us

    def repeat_within_us(self, query: Query) -> int | None:
        """Return within which time a query that may have run must be sent again, or not at all (rule 2).

        None means that there is no such limit. The time may be over, and is not positive then.
        """
        first = query.first_possible_run
        query_class = query.query_class
        if first is None or query_class.retry_safety is api.RetrySafety.SAFE:
            return None
        is_deduplicated = query_class.retry_safety is api.RetrySafety.DEDUPLICATED
        window_us = query_class.dedup_window_us if is_deduplicated else 0
        return first.sent_at_us + window_us - self.now_us

    def may_cancel_to_retry(self, query: Query) -> bool:
        """Return whether the attempts in flight may be cancelled in favour of another one."""
        attempts_left = not query.closed and len(query.attempts) < self.settings.limits.max_attempts
        return (
            attempts_left
            and query.query_class.retry_safety is api.RetrySafety.SAFE
            and self.has_retry_budget()
        )

    def in_slow_start(self, engine: EngineRecord) -> bool:
        """Return whether an engine started, or may have started, too recently for full load (rule 4)."""
        started_at_us = max(engine.info.started_at_us, engine.info.latest_start_at_us)
        return self.settings.rules.slow_start_multiple > 0 and started_at_us > max(
            self.now_us - self.settings.rules.slow_start_us, 0
        )

    @property
    def cluster_cores(self) -> float:
        """Cores of all engines; 1 if there is none."""
        return self.fleet.cores.total or 1.0

    @property
    def warmed_up_cores(self) -> float:
        """Cores of the ready engines that are not in slow start; the limit over all engines counts these."""
        return self.fleet.ready_cores.total - self.slow_start_cores.total

    def has_retry_budget(self) -> bool:
        """Return whether the retry budget allows one more retry (rule 7).

        The budget for the rolling window is a fixed number of retries plus a share of the arrivals.
        """
        rules = self.settings.rules
        if rules.retry_budget_share is None:
            return True
        window_start_us = self.now_us - rules.retry_budget_window_us
        allowed = rules.retry_budget_free + rules.retry_budget_share * self.arrivals.sum_since(
            window_start_us + 1
        )
        return self.retries.sum_since(window_start_us) + 1 <= allowed + 1e-9

    # Events, and the records that they change

    def _handle_query_arrived(self, event: api.QueryArrived) -> None:
        class_index = self.class_index[event.class_name]
        self.queries[event.id] = query = Query(
            event, class_index, self.settings.classes[class_index], self.now_us
        )
        self.arrivals.add(self.now_us)
        self.key_order.query_arrived(query.id, query.order_key, event.awaits_delivery)
        self.on_arrival(query, event)

    def _handle_attempt_ended(self, event: api.AttemptEnded) -> None:
        query, attempt = self.find_attempt(event)
        if query is None or attempt is None:
            return
        attempt.in_flight = False
        self.cluster_slots = (
            max(0.0, self.cluster_slots - attempt.cluster_charge) if len(self.queries) > 1 else 0.0
        )
        query.first_possible_run = query.first_possible_run or (None if event.outcome.never_ran else attempt)
        may_run_until_us = (
            self.now_us + self.settings.rules.key_delay_us if event.outcome.may_still_run else None
        )
        self.key_order.attempt_ended(query.id, may_run_until_us)
        attempt.engine.attempt_ended(query, attempt)
        self.on_attempt_ended(query, attempt, event)
        if event.outcome not in (api.Outcome.TIMEOUT, api.Outcome.CANCELLED, api.Outcome.NEVER_SENT):
            attempt.engine.last_response_at_us = self.now_us
        if event.is_final:
            self.close_query(query)
        elif not query.closed and not query.attempts_in_flight():
            self.retry_or_end(query)
        self.forget_if_finished(query)
        self.send_held(attempt.engine)

    def _handle_note(self, event: api.Note) -> None:
        query, attempt = self.find_attempt(event)
        if query is not None and attempt is not None:
            attempt.engine.last_response_at_us = self.now_us
            self.on_note(query, attempt, event)

    def _handle_probe_ended(self, event: api.ProbeEnded) -> None:
        engine = self.engines.get(event.engine)
        if engine is None:
            return
        self.on_probe_ended(engine, event)
        waiters, engine.probe_waiters = engine.probe_waiters, []
        for query in waiters:
            query.pending_probes -= query.pending_probes > 0
            if not query.pending_probes and not query.closed and not query.held and not query.attempts:
                self.place_or_hold(query)

    def _handle_engine_list(self, event: api.EngineList) -> None:
        is_first = self.listed_at_us is None
        if is_first:
            self.listed_at_us = self.now_us
        self.on_engine_list(event, is_first)

    def probe_for(self, query: Query, engine: EngineRecord) -> None:
        """Make a query wait for a probe of an engine, which is sent now unless one is in flight."""
        if not engine.probe_waiters:
            engine.probed_at_us = self.now_us
            self.actions.append(api.Probe(engine.info.id))
        engine.probe_waiters.append(query)
        query.pending_probes += 1

    def stop_waiting_for_probes(self, query: Query) -> None:
        """Place a query although probes that it waits for have not ended."""
        if query.pending_probes and not query.closed:
            query.pending_probes = 0
            self.place_or_hold(query)

    def record_attempt(self, query: Query, attempt: Attempt) -> Attempt:
        """Record an attempt that is being sent, and return it."""
        self.cluster_slots += attempt.cluster_charge
        self.cluster_rates.send_count += 1
        if query.attempts:
            self.retries.add(self.now_us)
        self.key_order.attempt_sent(query.id)
        attempt.engine.attempt_sent(query, attempt, query.slow_start_work_us)
        return attempt

    def count_hold(self, engine: EngineRecord) -> None:
        """Count, for the feedback, a query that is held because an engine lacks capacity."""
        if not engine.has_engine_wide_limit:
            self.active_engines.add(engine)
        engine.hold_count += 1
        self.cluster_rates.hold_count += 1

    def end_unserved(self, query: Query, reason: api.EndReason) -> None:
        """End a query without a result: refuse it if it may be refused, else fail it (rule 2)."""
        refusal = api.Refuse(query.id, self.settings.limits.retry_after_us or 0, reason)
        self.actions.append(refusal if self.may_refuse(query) else api.Fail(query.id, reason))
        self.close_query(query)

    def cancel_attempt(self, query: Query, attempt: Attempt) -> None:
        """Cancel an attempt once, unless its answer already streams or the settings forbid cancelling."""
        if self.settings.limits.cancel and not attempt.cancelled and not query.streaming:
            attempt.cancelled = True
            self.actions.append(api.CancelAttempt(query.id, attempt.number))

    def close_query(self, query: Query) -> None:
        """Mark a query as answered, and cancel its attempts in flight: nobody waits for them any more."""
        query.closed = True
        self.key_order.query_closed(query.id)
        self.held_queries.remove(query)
        for call in query.scheduled_calls:
            call.cancel()
        query.scheduled_calls = []
        for attempt in query.attempts_in_flight():
            self.cancel_attempt(query, attempt)
        self.forget_if_finished(query)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle an event that happens at `now_us`, and return the actions to carry out, in order."""
        self.now_us, self.actions = now_us, []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        self.schedule.run_due(now_us)
        due_at_us = self.schedule.next_due_at()
        if not math.isinf(due_at_us) and (not self.timer_due_at_us or due_at_us < self.timer_due_at_us):
            self.timer_label, self.timer_due_at_us = self.timer_label + 1, int(due_at_us)
            self.actions.append(api.SetTimer(self.timer_label, min(int(due_at_us) - now_us, MAX_TIMER_US)))
        return self.actions

    def schedule_for(self, query: Query, due_at_us: float, call: Callable[[Any], None], arg: Any) -> None:
        """Schedule a call that has no effect once the query is closed, and is dropped then."""
        query.scheduled_calls = [c for c in query.scheduled_calls if c.callback is not None]
        query.scheduled_calls.append(self.schedule.schedule(due_at_us, call, arg))

    def add_action(self, action: api.Action) -> None:
        """Add an action to those of the current event, as a call that can be scheduled."""
        self.actions.append(action)

    def _handle_timer_fired(self, event: api.TimerFired) -> None:
        self.timer_due_at_us = 0 if event.label == self.timer_label else self.timer_due_at_us

    def _handle_stream_began(self, event: api.StreamBegan) -> None:
        if event.id in self.queries:
            self.queries[event.id].streaming = True

    def _handle_client_left(self, event: api.ClientLeft) -> None:
        if event.id in self.queries:
            self.close_query(self.queries[event.id])

    def _handle_answer_delivered(self, event: api.AnswerDelivered) -> None:
        key = self.key_order.key_of(event.id)
        if self.key_order.answer_delivered(event.id):
            self.schedule_next_of_key(key)

    def _handle_closing(self, event: api.Closing) -> None:
        """Refuse the held queries that can't be done in time, while their clients can still ask elsewhere."""
        self.closes_at_us = self.now_us + event.ends_in_us
        for query in list(self.queries.values()):
            if query.held:
                self.check_shutdown(query)

    def check_shutdown(self, query: Query) -> None:
        """Refuse a held query once it can't be done before the gateway shuts down.

        Does nothing before the shutdown begins; from then on, the query is checked again when its time is up.
        """
        if math.isinf(self.closes_at_us) or not query.held or query.closed:
            return
        if self.would_outlast_shutdown(query):
            return self.end_unserved(query, api.EndReason.CLOSING)
        latest_start_at_us = math.floor(self.closes_at_us - query.work_us / query.query_class.threads)
        if latest_start_at_us > self.now_us:
            self.schedule_for(query, latest_start_at_us, self.check_shutdown, query)

    def would_outlast_shutdown(self, query: Query) -> bool:
        """Return whether a query may be refused and can't be done before the gateway shuts down."""
        return (
            self.may_refuse(query)
            and self.now_us + query.work_us / query.query_class.threads >= self.closes_at_us
        )

    def _handle_give_up(self, event: api.GiveUp) -> None:
        query = self.queries.get(event.id)
        if query is not None and not query.closed:
            self.end_unserved(query, api.EndReason.GIVEN_UP)

    def find_attempt(self, event: api.Note | api.AttemptEnded) -> tuple[Query, Attempt] | tuple[None, None]:
        """Return the query and the attempt of an event, or a pair of None if the attempt isn't in flight."""
        query = self.queries.get(event.id)
        if (
            query is None
            or not 0 <= event.attempt < len(query.attempts)
            or not query.attempts[event.attempt].in_flight
        ):
            return None, None
        return query, query.attempts[event.attempt]

    def forget_if_finished(self, query: Query) -> None:
        """Drop a closed query without attempts in flight, and schedule the next query of its order key."""
        if query.closed and not query.attempts_in_flight():
            self.queries.pop(query.id, None)
            # The query and its attempts refer to each other, and would otherwise wait for a collection.
            query.attempts.clear()
            query.first_possible_run = None
            self.schedule_next_of_key(query.order_key)

    def schedule_next_of_key(self, key: int | None) -> None:
        """Schedule the placement of the first query of an order key, for when the key's delay is over."""
        if key is not None:
            self.schedule.schedule(
                self.key_order.next_start_us(key, self.now_us), self._place_next_of_key, key
            )

    def _place_next_of_key(self, key: int) -> None:
        """Place the held query that is next of an order key, or forget the key's delay if that is over."""
        self.key_order.forget_delay(key, self.now_us)
        query = self.queries.get(self.key_order.next_query_id(key) or "")
        if (
            query is not None
            and query.held
            and not query.attempts
            and self.key_order.may_start(query.id, self.now_us)
        ):
            self.held_queries.remove(query)
            self.place_or_hold(query)

    def apply_list(self, event: api.EngineList) -> list[EngineRecord]:
        """Apply a list to the records of the engines; return those that have become ready to be used."""
        failed = event.kind is api.ListKind.FAILED
        if not failed or self.subscribed:
            self.listed_at_us = self.now_us
        # A cached list is the one that a gateway starts with, not the answer to a subscription.
        if self.settings.subscribes_to_list:
            self.subscribed = not failed and event.kind is not api.ListKind.CACHED
        if failed:
            return []
        if event.kind is not api.ListKind.DELTA:
            listed_ids = {info.id for info in event.engines}
            for engine in [e for i, e in self.engines.items() if i not in listed_ids]:
                self._remove_engine(engine)
        opened = [engine for info in event.engines if (engine := self._apply_engine(info)) is not None]
        self.any_engine_wide_limit = self.fleet.engine_wide_limit_count > 0
        return opened

    def _apply_engine(self, info: api.Engine) -> EngineRecord | None:
        """Apply an engine's entry in a list; return its record if the engine has become ready.

        An engine that has restarted gets a new record, which keeps the work sent in slow start.
        """
        old_record = self.engines.get(info.id)
        if info.state is api.EngineState.GONE:
            if old_record is not None:
                self._remove_engine(old_record)
            return None
        if old_record is not None and old_record.info.started_at_us == info.started_at_us:
            return self._update_engine(old_record, info)
        engine_kind = self.kinds_by_name.get(info.kind)
        size = (engine_kind.cores, engine_kind.memory_mb) if engine_kind else (None, None)
        engine = self.new_engine_record(info, *size)
        if old_record is not None:
            engine.slow_start_sent = old_record.slow_start_sent
            self._remove_engine(old_record)
        self.fleet.add(engine)
        self.on_engine_changed(engine)
        return engine if info.state is api.EngineState.READY else None

    def _update_engine(self, engine: EngineRecord, info: api.Engine) -> EngineRecord | None:
        if engine.info == info:
            return None
        was_ready = engine.info.state is api.EngineState.READY
        self.fleet.update(engine, info)
        self.on_engine_changed(engine)
        return engine if info.state is api.EngineState.READY and not was_ready else None

    def _remove_engine(self, engine: EngineRecord) -> None:
        self.fleet.remove(engine)
        self.active_engines.discard(engine)
        self.on_engine_changed(engine)
