"""Cancellation of attempts, and retries of queries."""

from __future__ import annotations

import math

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    BAD_PLAN_FACTOR,
    BAD_PLAN_MARGIN_US,
    BEST_LATENCY_SLACK_SHARE,
    LATENCY_RATIO_WEIGHT,
    LOCK_REMAINING_SHARE,
    MAX_LATENCY_RATIO_LOG,
    MAX_SHORTAGE_LOG,
    OVERDUE_FACTOR,
    SILENCE_US,
    SMALL_FLEET_ENGINES,
    SPILL_WEIGHT,
    STUCK_FACTOR,
    STUCK_TARGET_SHARE,
)
from hollowhitch.policy.estimation import Estimation
from hollowhitch.policy.interface import EndReason
from hollowhitch.policy.records import Attempt, EngineRecord, Query
from hollowhitch.policy.routing import Routing


class Retries(Routing, Estimation):
    """Cancels attempts and retries queries."""

    def _overdue_after_us(self, query: Query) -> float:
        """Return the time in flight from which an attempt shows that a silent engine does not respond."""
        return SILENCE_US + OVERDUE_FACTOR * max(
            query.work_us / query.query_class.threads,
            self.class_records[query.class_index].typical_latency_us,
        )

    def _stuck_after_us(self, query: Query, engine: EngineRecord) -> float:
        """Return the time in flight from which an attempt at this engine counts as stuck."""
        expected_us = query.work_us / query.query_class.threads * math.exp(max(engine.latency_ratio_log, 0.0))
        return STUCK_FACTOR * expected_us + STUCK_TARGET_SHARE * query.query_class.target_us

    def _check_stuck(self, attempt: Attempt) -> None:
        """Cancel an attempt that takes far longer than expected if another engine would admit the query.

        The cause may be a bad plan, the lock of a bulk load or a lost answer. If estimates are too low, this
        cancels attempts that are not stuck.
        """
        query = attempt.query
        if query.closed or not attempt.in_flight or attempt.cancelled or self.now_us < self.measure_from_us:
            return
        until_stuck_us = attempt.sent_at_us + self._stuck_after_us(query, attempt.engine) - self.now_us
        retry_done_at_us = self.now_us + query.work_us / query.query_class.threads * math.exp(
            max(self.cluster_latency_ratio_log, 0.0)
        )
        if until_stuck_us > STUCK_TARGET_SHARE * query.query_class.target_us:
            # The engine has slowed down since the attempt was sent, so the attempt gets more time.
            return self.schedule_for(query, self.now_us + until_stuck_us, self._check_stuck, attempt)
        if query.query_class.waits_for_bulk_loads:
            self._mark_locked(attempt.engine, query.data_set)
        due_at_us = (
            query.expires_at_us
            if self.now_us > query.target_at_us and query.query_class.late_worth_share
            else query.target_at_us
        )
        other_engines = (
            engine
            for engine in self._partition(query).scan(self.rng, SMALL_FLEET_ENGINES)
            if engine is not attempt.engine and self._may_use(engine, query)
        )
        if retry_done_at_us < due_at_us and any(
            self._admits(engine, query) and not self._is_blocked(engine, query) for engine in other_engines
        ):
            self._cancel_to_retry(query, attempt.number)

    def _mark_locked(self, engine: EngineRecord, data_set: int) -> None:
        """Record that another gateway's bulk load may lock a data set at this engine.

        Blocked attempts are the only information about the bulk loads of other gateways.
        """
        engine.locked_until_us = {
            locked: until_us for locked, until_us in engine.locked_until_us.items() if until_us > self.now_us
        }
        typical_times_us = (
            record.typical_latency_us
            for record, query_class in zip(self.class_records, self.settings.classes, strict=True)
            if query_class.is_bulk_load
        )
        engine.locked_until_us[data_set] = self.now_us + LOCK_REMAINING_SHARE * max(
            typical_times_us, default=0
        )

    def _cancel_to_retry(self, query: Query, number: int) -> None:
        """Cancel an attempt, by its number, if the query may be retried."""
        if self.may_cancel_to_retry(query):
            self.cancel_attempt(query, query.attempts[number])

    def _check_silence(self, engine: EngineRecord) -> None:
        """Eject an engine that accepts work and answers nothing, and cancel its attempts.

        This covers any cause of silence, for instance a broken network. The engine's latency ratio is raised
        by long attempts in flight.
        """
        engine.latency_ratio_log = self._decayed_latency_ratio_log(engine, 1)
        if not engine.queries_in_flight or self.now_us < self.measure_from_us:
            return
        # The attempt of median age shows a slowdown earlier than outcomes do.
        (_, number), query = list(engine.queries_in_flight.items())[len(engine.queries_in_flight) // 2]
        ratio_log = (
            min(
                query.latency_ratio_log(
                    self.now_us - query.attempts[number].sent_at_us, BEST_LATENCY_SLACK_SHARE
                ),
                MAX_LATENCY_RATIO_LOG,
            )
            - self.unloaded_latency_ratio_log
        )
        engine.latency_ratio_log += LATENCY_RATIO_WEIGHT * max(ratio_log - engine.latency_ratio_log, 0)
        # Without probes, reports come with answers only, so old attempts are the first sign of congestion.
        if not self.settings.limits.probes:
            self.cluster_latency_ratio_log += (
                LATENCY_RATIO_WEIGHT
                * max(ratio_log - self.cluster_latency_ratio_log, 0)
                / len(self.active_engines if self.any_engine_wide_limit else self.engines)
            )
        (_, number), query = next(iter(engine.queries_in_flight.items()))
        if self.now_us - engine.last_response_at_us >= SILENCE_US and self.now_us - query.attempts[
            number
        ].sent_at_us >= self._overdue_after_us(query):
            self._eject(engine, "silence")
            for (_, number), query in (
                () if self.ejections_ignored else list(engine.queries_in_flight.items())
            ):
                self._cancel_to_retry(query, number)

    def on_note(self, query: Query, attempt: Attempt, event: api.Note) -> None:
        """Apply an engine's note on a spill or on the progress of an attempt."""
        class_record = self.class_records[query.class_index]
        if event.kind is api.NoteKind.SPILLED and event.value > 0 and query.grant_mb > 0:
            # Memory estimates that are too low make queries spill, which multiplies their work.
            class_record.memory_shortage_log = min(
                class_record.memory_shortage_log + SPILL_WEIGHT * math.log(1 + event.value / query.grant_mb),
                MAX_SHORTAGE_LOG,
            )
        if event.kind is api.NoteKind.PROGRESS and event.value > 0:
            # A bad plan makes an attempt far slower than a new one would be. If estimates are too low, this
            # cancels attempts with good plans.
            remaining_us = (self.now_us - attempt.sent_at_us) * (1 - event.value) / event.value
            retry_latency_us = (
                query.work_us
                / query.query_class.threads
                * math.exp(max(attempt.engine.latency_ratio_log, 0.0))
            )
            if (
                remaining_us > BAD_PLAN_FACTOR * retry_latency_us + BAD_PLAN_MARGIN_US
                and self.now_us + retry_latency_us < query.expires_at_us
            ):
                self._cancel_to_retry(query, attempt.number)

    def retry_or_end(self, query: Query) -> None:
        """Retry a query if allowed, unless most engines seem to fail and its work might be lost again."""
        may_retry = self.may_attempt(query, at_any_time=True) and not (
            self.ejections_ignored and query.first_possible_run
        )
        query.candidates = self._sample_candidates(query)
        self.place_or_hold(query) if may_retry else self.end_unserved(query, EndReason.NO_ATTEMPT_LEFT)
