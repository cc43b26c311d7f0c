"""The controller, which decides on each event. Its types are in `interface`, its constants in `constants`."""

from __future__ import annotations

import math

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    ANSWER_MARGIN_TICKS,
    BIN_SAMPLE_SIZE,
    BIN_UPDATE_INTERVAL,
    CORRECTION_WEIGHT,
    DEFAULT_CORES,
    EJECTION_FAILURE_SHARE,
    FAILURE_WEIGHT,
    FEEDBACK_PERIOD_US,
    GRANT_OVER_ESTIMATE,
    HEADROOM_BUSY_SHARE,
    INITIAL_WORK_TARGET_SHARE,
    LIST_RETRY_US,
    MAX_ENGINES_OFFERED,
    MAX_WARM_DATA_SETS,
    MIN_OWN_SLOTS,
    PROBE_REPORT_AGE_US,
    PROBE_WAIT_US,
    QUOTA_BURST_ENGINE_WIDE_US,
    QUOTA_BURST_US,
    STALL_US,
    THREADS_PER_CORE,
)
from hollowhitch.policy.engine_sets import IndexedSet
from hollowhitch.policy.feedback import Feedback
from hollowhitch.policy.holding import Holding
from hollowhitch.policy.interface import EndReason, Outcome
from hollowhitch.policy.recent_answers import RecentAnswers
from hollowhitch.policy.records import Attempt, ClassRecord, EngineRecord, Query


class Controller(Feedback, Holding):
    """Decision logic of one gateway: takes events, returns actions.

    Its base classes are layers, from the bottom up: state, reports, estimation, admission, slow start,
    health, routing, retries, holding, feedback.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed, BIN_SAMPLE_SIZE, BIN_UPDATE_INTERVAL)
        self.class_records = [ClassRecord(c.target_us * INITIAL_WORK_TARGET_SHARE) for c in settings.classes]
        self.recent_answers = RecentAnswers()
        # Cached results of `_partition` in a small fleet, by class index and data set.
        self.partitions: dict[tuple[int, int], IndexedSet[EngineRecord]] = {}

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle an event that happens at `now_us`, and return the actions to carry out, in order."""
        # After a stall of this process, the events that came during the stall are handled at once, and their
        # latencies would look too long. So latencies are ignored for one feedback period.
        if self.timer_due_at_us and now_us - self.timer_due_at_us > STALL_US:
            self.measure_from_us = now_us + FEEDBACK_PERIOD_US
        return super().handle(now_us, event)

    def on_arrival(self, query: Query, event: api.QueryArrived) -> None:
        """Estimate the needs of a new query, and end it, place it or hold it."""
        class_record = self.class_records[query.class_index]
        query.work_us = (
            event.cost_us * math.exp(class_record.cost_ratio_log)
            if event.cost_us > 0
            else class_record.mean_work_us
        )
        query.memory_mb = event.memory_mb * math.exp(class_record.memory_ratio_log)
        class_record.mean_work_us += CORRECTION_WEIGHT * (query.work_us - class_record.mean_work_us)
        query.grant_mb = GRANT_OVER_ESTIMATE * event.memory_mb * math.exp(class_record.memory_shortage_log)
        query.slow_start_work_us = max(query.work_us, class_record.mean_work_us)
        query.target_at_us = self.now_us + min(
            query.query_class.target_us
            + query.query_class.target_work_factor * query.work_us / query.query_class.threads,
            query.query_class.deadline_us,
        )
        query.bins = (self.cost_bins.add(query.work_us), self.memory_bins.add(query.memory_mb))
        self.offered_work_us += query.work_us
        # Where limits are engine-wide, a tenant's few queries a second arrive in bursts.
        burst_us = QUOTA_BURST_ENGINE_WIDE_US if self.any_engine_wide_limit else QUOTA_BURST_US
        query.over_quota = event.tenant in self.quotas and not self.quotas[event.tenant].try_take(
            self.now_us, burst_us / 1e6
        )
        query.answer_by_us = query.expires_at_us - ANSWER_MARGIN_TICKS * self.settings.tick_us
        if query.answer_by_us <= self.now_us:
            return self.end_unserved(query, EndReason.NO_TIME)
        if self.would_outlast_shutdown(query):
            return self.end_unserved(query, EndReason.CLOSING)
        self.schedule_for(query, query.answer_by_us, self._check_deadlines, query)
        query.candidates = self._sample_candidates(query)
        self._probe_then_place(query)

    def _probe_then_place(self, query: Query) -> None:
        """Probe the candidates of a query if their reports are old, then place it.

        Probes are sent only for queries of this gateway. Where limits are engine-wide, the lightest queries
        do not wait for probes.
        """
        max_age_us = PROBE_REPORT_AGE_US * max(1.0, self.settings.prices.probe * 100)
        is_light = self.any_engine_wide_limit and not any(query.bins)
        for engine in (
            query.candidates
            if self.settings.limits.probes and self.settings.reports_with_probes and not is_light
            else ()
        ):
            if (
                engine.probe_waiters
                or self.now_us - max(engine.probed_at_us, engine.reported_at_us) >= max_age_us
            ):
                self.probe_for(query, engine)
        if query.pending_probes:
            return self.schedule_for(query, self.now_us + PROBE_WAIT_US, self.stop_waiting_for_probes, query)
        self.place_or_hold(query)

    def on_probe_ended(self, engine: EngineRecord, event: api.ProbeEnded) -> None:
        """Apply a probe's report and send held queries, or count a failed probe as the engine's failure."""
        self._receive_report(engine, event.report)
        self.send_held(engine) if event.outcome is Outcome.OK else self._count_failure(engine)

    def on_attempt_ended(self, query: Query, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the state of the engine and of the query's class.

        A failed attempt keeps its charge for the typical latency of its class, so that an engine that fails
        fast does not look lightly loaded.
        """
        engine, outcome = attempt.engine, event.outcome
        self._receive_report(engine, event.report)
        if outcome is Outcome.OK:
            engine.release(attempt)
            engine.locked_until_us.pop(query.data_set, None)
            self.fleet.set_failure_share(engine, (1 - FAILURE_WEIGHT) * engine.failure_share)
            for failed_engine in query.failed_engines:
                self._count_failure(failed_engine)
            self.served_work_us += attempt.work_us
            if (
                engine.has_engine_wide_limit
                and (report := self._fresh_report(engine)) is not None
                and report.busiest_share < HEADROOM_BUSY_SHARE
            ):
                self.recent_answers.add(self.now_us, engine)
            if self.now_us >= self.measure_from_us:
                self._correct_estimates(query, event, engine)
            if engine.ejected_until_us and (
                engine.trial_attempt is attempt or engine.failure_share < EJECTION_FAILURE_SHARE
            ):
                self._reinstate(engine)
            return
        charge_kept_for_us = (
            0
            if outcome is Outcome.NEVER_SENT
            else attempt.sent_at_us + self.class_records[query.class_index].typical_latency_us - self.now_us
        )
        self.schedule.schedule(self.now_us + max(charge_kept_for_us, 0), engine.release, attempt)
        if (
            outcome is Outcome.CANCELLED
            and self.any_engine_wide_limit
            and not query.closed
            and self.now_us >= self.measure_from_us
        ):
            # Answers are few, so without cancelled attempts the latency ratios would show fast ones only.
            self._update_latency_ratio(query, event, engine)
        if outcome is Outcome.FULL:
            engine.reported_full_at_us = self.now_us
            self.congested_share += CORRECTION_WEIGHT * (1 - self.congested_share)
        elif outcome is Outcome.CONNECT_FAILED and not (
            engine.queries_in_flight and self._fresh_report(engine)
        ):
            # An engine with a fresh report and queries in flight works, and only lacks free connections.
            self._count_failure(engine)
        elif outcome in (Outcome.ERROR, Outcome.RESET) and engine not in query.failed_engines:
            # The query itself may have caused the error, so it counts as a failure of this engine only if the
            # query succeeds at another one.
            query.failed_engines.append(engine)
        if engine.trial_attempt is attempt:
            self._eject(engine, "trial failed")

    def on_engine_list(self, event: api.EngineList, is_first: bool) -> None:
        """Apply a list of engines.

        A drain takes effect at once (rule 3), and the engines open to each class are updated (rule 6).
        """
        if is_first:
            self.schedule.schedule(self.now_us + FEEDBACK_PERIOD_US, self._run_feedback, None)
        if self.settings.subscribes_to_list and (is_first or event.kind is api.ListKind.FAILED):
            self.schedule.schedule(
                self.now_us + (0 if is_first else LIST_RETRY_US), self.add_action, api.Subscribe()
            )
        opened = self.apply_list(event)
        self._update_ejections_ignored()
        if event.kind is not api.ListKind.DELTA or len(opened) > MAX_ENGINES_OFFERED:
            self.send_held()
            return
        for engine in opened:
            self.send_held(engine)

    def on_engine_changed(self, engine: EngineRecord) -> None:
        """Update the partitions and the slow start."""
        self.partitions.clear()
        self._follow_slow_start(engine)

    def new_engine_record(
        self, info: api.Engine, cores: float | None, memory_mb: float | None
    ) -> EngineRecord:
        """Return the record of a new engine, with this gateway's part of its slots as the limit.

        Where that part is too small, the limit is engine-wide.
        """
        cores = cores or DEFAULT_CORES
        own_slots = THREADS_PER_CORE * cores * self.even_share
        limit = THREADS_PER_CORE * cores if own_slots < MIN_OWN_SLOTS else own_slots
        return EngineRecord(
            info,
            cores,
            memory_mb or 0.0,
            max(1.0, limit),
            MAX_WARM_DATA_SETS,
            self.now_us,
            own_slots < MIN_OWN_SLOTS,
            self.settings.rules.slow_start_window_us,
        )
