"""CASA's feedback: the error of each period changes how much large queries are charged."""

from __future__ import annotations

import math

from hollowhitch.policy.constants import (
    ANSWERED_SHARE_WEIGHT,
    BUSY_SHARE_AT_CAPACITY,
    CORRECTION_WEIGHT,
    ERROR_SMOOTHING_WEIGHT,
    FEEDBACK_GAIN,
    FEEDBACK_PERIOD_US,
    IDLE_FEEDBACK_ERROR,
    MAX_DEVIATION_AT_REST,
    MEMORY_SHARE_SOFT_LIMIT,
    MIN_SERVICE_RATE_SHARE,
    OFFERED_SHARE_WEIGHT,
    QUOTA_FACTOR,
    SERVICE_RATE_WEIGHT,
)
from hollowhitch.policy.records import EngineRecord
from hollowhitch.policy.retries import Retries


class Feedback(Retries):
    """Periodic update of shares, limits and large query limits."""

    def _run_feedback(self, _: None) -> None:
        """Run one period of the feedback, and schedule the next."""
        # The next period is scheduled first, so that an exception in this one does not end the feedback.
        self.schedule.schedule(self.now_us + FEEDBACK_PERIOD_US, self._run_feedback, None)
        self._update_shares()
        for engine in list(self.active_engines):
            self._update_large_query_limit(engine)
            self._check_silence(engine)
            if self._is_at_rest(engine):
                self.active_engines.discard(engine)
        self.send_held()

    def _is_at_rest(self, engine: EngineRecord) -> bool:
        """Return whether further periods of the feedback would change nothing at an engine."""
        if engine.queries_in_flight or self._fresh_report(engine) is not None:
            return False
        if self.any_engine_wide_limit:
            return True
        deviation = max(
            engine.holds_per_s,
            engine.sends_per_s,
            abs(engine.latency_ratio_log),
            abs(engine.feedback_error - IDLE_FEEDBACK_ERROR),
        )
        return deviation < MAX_DEVIATION_AT_REST and not engine.used_slots

    def _update_shares(self) -> None:
        """Update this gateway's shares of the answered and the offered work, and the limits based on them.

        The answered share is the answered work over the reported busy cores, so that work which overloaded
        engines waste lowers the limits.
        """
        reports = [
            (engine, report)
            for engine in self.active_engines
            if (report := self._fresh_report(engine)) is not None
        ]
        busy_cores, reporting_cores = (
            sum((report.cpu_share or 0.0) * engine.cores for engine, report in reports),
            sum(engine.cores for engine, _ in reports),
        )
        answered_cores = self.served_work_us / FEEDBACK_PERIOD_US
        offered_cores_share = self.offered_work_us / (
            FEEDBACK_PERIOD_US * BUSY_SHARE_AT_CAPACITY * self.cluster_cores
        )
        if busy_cores > 0:
            self.answered_share += ANSWERED_SHARE_WEIGHT * (
                min(answered_cores * reporting_cores / (busy_cores * self.cluster_cores), 1.0)
                - self.answered_share
            )
        min_service_rate = (
            (1.0 if self.any_engine_wide_limit else MIN_SERVICE_RATE_SHARE)
            * 1e6
            * self.even_share
            * self.cluster_cores
        )
        self.service_rate = max(
            self.service_rate + SERVICE_RATE_WEIGHT * (answered_cores * 1e6 - self.service_rate),
            min_service_rate,
            1.0,
        )
        self.offered_share += OFFERED_SHARE_WEIGHT * (min(offered_cores_share, 1.0) - self.offered_share)
        self.served_work_us = self.offered_work_us = 0.0
        share = max(
            self.answered_share, self.even_share, self.offered_share if self.any_engine_wide_limit else 0.0
        )
        for bucket in self.quotas.values():
            # A gateway with a larger share of the load also has a larger share of each quota.
            bucket.share = min(1.0, QUOTA_FACTOR * share)
        self._update_turns()
        self.cluster_rates.smooth(ERROR_SMOOTHING_WEIGHT, FEEDBACK_PERIOD_US)
        self.limit_share = share
        for engine in self.active_engines:
            self.apply_limit_share(engine)

    def _update_large_query_limit(self, engine: EngineRecord) -> None:
        """Move an engine's limit for large queries by the smoothed error of the feedback.

        The error is the engine's load, scaled so that it is 2 at capacity, minus 2, plus the memory error.
        """
        engine.smooth(ERROR_SMOOTHING_WEIGHT, FEEDBACK_PERIOD_US)
        report, engine.last_feedback_at_us = self._fresh_report(engine), self.now_us
        reported_load = (
            2 * report.cpu_share / BUSY_SHARE_AT_CAPACITY if report and report.cpu_share is not None else 0.0
        )
        load = (
            max(reported_load, math.exp(engine.latency_ratio_log))
            if not reported_load or self._is_congested(engine)
            else reported_load
        )
        # Memory in use has a limit of its own. So the memory error is that of the queries that wait for
        # memory: this gateway's part of them, per query that it has in flight.
        waiting_per_running = (
            (report.waiting or 0) * self.even_share / max(len(engine.queries_in_flight), 1) if report else 0.0
        )
        engine.feedback_error += ERROR_SMOOTHING_WEIGHT * (
            load - 2 + _memory_error(min(waiting_per_running, 1.0)) - engine.feedback_error
        )
        # Where the limit is engine-wide, this gateway has few queries at one engine. So the rates are those
        # over all engines, scaled to all gateways and one engine.
        rates, scale = (
            (self.cluster_rates, 1 / (self.even_share * len(self.engines)))
            if engine.has_engine_wide_limit
            else (engine, 1.0)
        )
        holds_per_s, sends_per_s = rates.holds_per_s * scale, rates.sends_per_s * scale
        engine.large_query_limit = min(
            max(
                engine.large_query_limit
                - engine.feedback_error * holds_per_s / (holds_per_s + sends_per_s + 1) * FEEDBACK_GAIN,
                1.0,
            ),
            engine.limit,
        )
        self.mean_large_query_limit_share += CORRECTION_WEIGHT * (
            engine.large_query_limit / engine.limit - self.mean_large_query_limit_share
        )


def _memory_error(memory_share: float) -> float:
    """Return the memory error as defined in the CASA paper.

    It rises from 0 at a quarter of the soft limit to 2 at the soft limit, then to 4 at capacity.
    """
    error_below_limit = max(0.0, memory_share / MEMORY_SHARE_SOFT_LIMIT - 0.25) / 0.75 * 2
    return (
        error_below_limit
        if memory_share <= MEMORY_SHARE_SOFT_LIMIT
        else 2 + 2 * (memory_share - MEMORY_SHARE_SOFT_LIMIT) / (1 - MEMORY_SHARE_SOFT_LIMIT)
    )
