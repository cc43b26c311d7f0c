"""Load of the engines: what they report, and what their latencies show where they report nothing."""

from __future__ import annotations

import math

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    CONGESTED_BUSY_SHARE,
    CONGESTED_LATENCY_RATIO_LOG,
    CONGESTED_SLOTS_FACTOR,
    CONGESTED_SLOTS_FACTOR_WITH_HEADROOM,
    CORRECTION_WEIGHT,
    FEEDBACK_PERIOD_US,
    FULL_STATE_ENGINE_WIDE_US,
    FULL_STATE_US,
    HEADROOM_BUSY_SHARE,
    LATENCY_RATIO_DECAY,
    MAX_REPORT_AGE_US,
    SILENCE_US,
    UNCONTENDED_BUSY_SHARE,
)
from hollowhitch.policy.records import EngineRecord
from hollowhitch.policy.state import ControllerState


class Reports(ControllerState):
    """Layer of the controller that estimates the load of the engines."""

    def _fresh_report(self, engine: EngineRecord) -> api.LoadReport | None:
        """Return the engine's last load report, or None if there is none or it is too old."""
        return engine.report if self.now_us - engine.reported_at_us < MAX_REPORT_AGE_US else None

    def _receive_report(self, engine: EngineRecord, report: api.LoadReport | None) -> None:
        """Apply a load report to the engine's record and to the averages over all engines."""
        engine.update_report(report, self.now_us)
        if report is not None:
            self._activate(engine)
        # The averages stand in for the reports of engines without a fresh one.
        if report is not None and engine.has_engine_wide_limit and not self.in_slow_start(engine):
            self.update_averages(
                CORRECTION_WEIGHT, report, self._threads_per_core(engine, report), self._is_congested(engine)
            )

    def _has_headroom(self, engine: EngineRecord, busy_share_bound: float) -> bool:
        """Return whether an engine is responsive, and its busy share is below `busy_share_bound`.

        Without a fresh report, this gateway's threads at the engine must be below half of the limit.
        """
        report = self._fresh_report(engine)
        is_lightly_loaded = (
            engine.threads_in_flight < engine.limit / 2
            if report is None
            else report.busiest_share < busy_share_bound
        )
        return is_lightly_loaded and self.now_us - engine.last_response_at_us < SILENCE_US

    def _is_full(self, engine: EngineRecord) -> bool:
        """Return whether an engine has recently refused a query because it was full."""
        return engine.reported_full_at_us is not None and self.now_us - engine.reported_full_at_us < (
            FULL_STATE_ENGINE_WIDE_US if engine.has_engine_wide_limit else FULL_STATE_US
        )

    def _slots_in_use(self, engine: EngineRecord) -> float:
        """Return the slots in use by this gateway, or by all gateways if the limit is engine-wide.

        Infinity for an engine with an engine-wide limit that was recently full.
        """
        report = self._fresh_report(engine)
        if not engine.has_engine_wide_limit:
            return engine.used_slots
        if self._is_full(engine):
            return math.inf
        if report is None:  # the average of the reports stands in for a fresh one
            return engine.used_slots + self.mean_threads_per_core * engine.cores * (
                self.now_us - self.averages_updated_at_us < MAX_REPORT_AGE_US
                and not self.in_slow_start(engine)
            )
        return max(
            self._threads_per_core(engine, report) * engine.cores + engine.charge_since_report,
            engine.used_slots,
        )

    def _threads_per_core(self, engine: EngineRecord, report: api.LoadReport) -> float:
        """Return the running threads of all gateways per core.

        If the report lacks them, the share of busy cores stands in. That share cannot exceed 1, so the
        latency ratio is used at congested engines.
        """
        cpu_share = report.cpu_share or 0.0
        estimated_threads_per_core = (
            max(cpu_share, math.exp(engine.latency_ratio_log))
            if cpu_share > CONGESTED_BUSY_SHARE
            else cpu_share
        )
        return estimated_threads_per_core if report.running is None else report.running / engine.cores

    def _is_congested(self, engine: EngineRecord, charge: float = 0.0) -> bool:
        """Return whether an engine is congested, or would be with another `charge` slots in use."""
        report = self._fresh_report(engine)
        if report is not None and (report.busiest_share > CONGESTED_BUSY_SHARE or (report.waiting or 0) > 0):
            return True
        # A report without the share of the memory does not show the whole load, so the bound is lower.
        reports_memory = report is not None and report.memory_share is not None
        headroom_bound = HEADROOM_BUSY_SHARE if reports_memory else UNCONTENDED_BUSY_SHARE
        slots_factor = (
            CONGESTED_SLOTS_FACTOR_WITH_HEADROOM
            if self._has_headroom(engine, headroom_bound)
            else CONGESTED_SLOTS_FACTOR
        )
        over_limit = engine.used_slots + charge > slots_factor * engine.limit
        over_limit = over_limit or (
            engine.has_engine_wide_limit and self._slots_in_use(engine) + charge > engine.limit
        )
        return over_limit or engine.latency_ratio_log > CONGESTED_LATENCY_RATIO_LOG or self._is_full(engine)

    def _activate(self, engine: EngineRecord) -> None:
        """Add an engine to the active ones, the only ones that the feedback visits.

        The engine's latency ratio decays towards the average for the time that the engine was inactive. After
        more than MAX_REPORT_AGE_US, an engine-wide limit for large queries is set to the average too.
        """
        if engine in self.active_engines or not self.fleet.is_listed(engine):
            return
        self.active_engines.add(engine)
        inactive_us = self.now_us - engine.last_feedback_at_us
        engine.latency_ratio_log = self._decayed_latency_ratio_log(engine, inactive_us / FEEDBACK_PERIOD_US)
        if engine.has_engine_wide_limit and inactive_us > MAX_REPORT_AGE_US:
            engine.large_query_limit = max(1.0, self.mean_large_query_limit_share * engine.limit)

    def _decayed_latency_ratio_log(self, engine: EngineRecord, periods: float) -> float:
        """Return the log of an engine's latency ratio after it has decayed for `periods` feedback periods."""
        # Where limits are engine-wide, engines without a fresh report count as average.
        average = self.cluster_latency_ratio_log if engine.has_engine_wide_limit else 0.0
        return average + (engine.latency_ratio_log - average) * LATENCY_RATIO_DECAY**periods
