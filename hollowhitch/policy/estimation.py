"""Estimates of a query's work and memory, corrected by the measured needs of its class."""

from __future__ import annotations

import math

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    BEST_LATENCY_SLACK_SHARE,
    CORRECTION_WEIGHT,
    FIT_DECREMENT,
    HEADROOM_BUSY_SHARE,
    LATENCY_RATIO_WEIGHT,
    MAX_COST_RATIO_LOG,
    MAX_LATENCY_RATIO_LOG,
    UNCONTENDED_BUSY_SHARE,
    UNDISTURBED_QUANTILE,
)
from hollowhitch.policy.records import EngineRecord, Query
from hollowhitch.policy.reports import Reports


class Estimation(Reports):
    """Correction of the estimates of each class."""

    def _correct_estimates(self, query: Query, event: api.AttemptEnded, engine: EngineRecord) -> None:
        """Correct the estimates of the query's class by the outcome of a successful attempt.

        Where engines report no usage, the log of the cost ratio follows a low quantile of the latencies at
        engines with headroom, which are the least disturbed ones.
        """
        class_record, (cost, memory), has_usage = (
            self.class_records[query.class_index],
            query.client_estimates,
            self.settings.engines_report_usage and event.work_us > 0,
        )
        if has_usage and not cost:
            class_record.mean_work_us += CORRECTION_WEIGHT * (event.work_us - class_record.mean_work_us)
        elif has_usage:
            class_record.cost_ratio_log += CORRECTION_WEIGHT * (
                math.log(event.work_us / cost) - class_record.cost_ratio_log
            )
        elif cost > 0 and self._has_headroom(engine, UNCONTENDED_BUSY_SHARE):
            below = (
                math.log(max(event.elapsed_us * query.query_class.threads, 1) / cost)
                < class_record.cost_ratio_log
            )
            class_record.cost_ratio_log = min(
                max(
                    class_record.cost_ratio_log + CORRECTION_WEIGHT * (UNDISTURBED_QUANTILE - below),
                    -MAX_COST_RATIO_LOG,
                ),
                MAX_COST_RATIO_LOG,
            )
        if has_usage and memory > 0 and event.memory_mb > 0:
            class_record.memory_ratio_log += CORRECTION_WEIGHT * (
                math.log(event.memory_mb / memory) - class_record.memory_ratio_log
            )
        class_record.memory_shortage_log = max(0.0, class_record.memory_shortage_log - FIT_DECREMENT)
        class_record.typical_latency_us += CORRECTION_WEIGHT * (
            event.elapsed_us - class_record.typical_latency_us
        )
        # At an engine with headroom a high latency ratio comes from spills and locks, not from congestion.
        if (
            self.any_engine_wide_limit
            and (report := self._fresh_report(engine))
            and report.busiest_share < HEADROOM_BUSY_SHARE
        ):
            self.unloaded_latency_ratio_log += CORRECTION_WEIGHT * (
                min(
                    query.latency_ratio_log(event.elapsed_us, BEST_LATENCY_SLACK_SHARE), MAX_LATENCY_RATIO_LOG
                )
                - self.unloaded_latency_ratio_log
            )
        self._update_latency_ratio(query, event, engine)

    def _update_latency_ratio(self, query: Query, event: api.AttemptEnded, engine: EngineRecord) -> None:
        """Apply an attempt's latency to the latency ratios of its engine and of the cluster."""
        ratio_log = (
            min(query.latency_ratio_log(event.elapsed_us, BEST_LATENCY_SLACK_SHARE), MAX_LATENCY_RATIO_LOG)
            - self.unloaded_latency_ratio_log
        )
        engine.latency_ratio_log += LATENCY_RATIO_WEIGHT * (ratio_log - engine.latency_ratio_log)
        self.cluster_latency_ratio_log += LATENCY_RATIO_WEIGHT * (ratio_log - self.cluster_latency_ratio_log)
