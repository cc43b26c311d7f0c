"""Admission by slots and memory: CASA's charge against an engine's limit, and a limit over all engines."""

from __future__ import annotations

import math

from hollowhitch.policy.constants import (
    CLUSTER_CONGESTED_LATENCY_RATIO_LOG,
    CLUSTER_CONGESTED_SHARE,
    CLUSTER_LIMIT_DEVIATIONS,
    LIGHT_QUERY_LIMIT_FACTOR,
    MAX_MEMORY_SHARE,
    THREADS_PER_CORE,
    UNCONTENDED_BUSY_SHARE,
    UNREPORTED_MEMORY_SHARE,
)
from hollowhitch.policy.records import EngineRecord, Query
from hollowhitch.policy.reports import Reports


class Admission(Reports):
    """Checks whether an engine, and the cluster as a whole, can admit a query."""

    def apply_limit_share(self, engine: EngineRecord) -> None:
        """Set an engine's limit to this gateway's present share of it, unless limits are engine-wide.

        Nothing visits all engines when the share changes, so this is done before a limit is used.
        """
        if self.limit_share is None or self.any_engine_wide_limit:
            return
        scale = max(1.0, THREADS_PER_CORE * engine.cores * self.limit_share) / engine.limit
        if scale != 1.0:
            engine.limit, engine.large_query_limit = engine.limit * scale, engine.large_query_limit * scale

    def _slot_charge(self, query: Query, limit: float, large_query_limit: float) -> float:
        """Return CASA's charge in slots, which is at least 1.

        It is 1 + alpha * (c + m) / 2, where c and m are the lower bounds of the query's cost and memory bins,
        each divided by the lower bound of the top bin, and alpha is `limit` / `large_query_limit` - 1.
        """
        bins_and_bounds = zip(query.bins, (self.cost_bins.bounds, self.memory_bins.bounds), strict=True)
        return (limit / large_query_limit - 1) * sum(
            b[k - 1] / b[2] for k, b in bins_and_bounds if k and b[2] > 0
        ) / 2 + 1

    def _cluster_limit_and_charge(self, query: Query) -> tuple[float, float]:
        """Return this gateway's limit over all engines, and the query's charge against it, in threads.

        This departs from CASA: where this gateway's part of a single engine is too small to be limited, its
        part of the cluster is.
        """
        slowdown_factor = min(1.0, THREADS_PER_CORE / math.exp(max(self.cluster_latency_ratio_log, 0.0)))
        # If more work is offered, for instance by retries, the engines do not answer more. So the offered
        # share counts only up to the answered share, or the even share if that is larger.
        share = min(self.offered_share, max(self.answered_share, self.even_share))
        mean = THREADS_PER_CORE * self.warmed_up_cores * share * slowdown_factor * slowdown_factor
        # A whole standard deviation would be too much: under congestion all gateways have bursts at once.
        limit = max(1.0, mean + CLUSTER_LIMIT_DEVIATIONS * math.sqrt(mean))
        return limit, self._slot_charge(
            query, limit, max(1.0, self.mean_large_query_limit_share * limit)
        ) + query.query_class.threads - 1

    def _cluster_fits(self, query: Query) -> bool:
        """Return whether this gateway's limit over all engines admits a query.

        The limit applies only while the cluster shows signs of congestion.
        """
        # Half of the bound, since some engines are twice as busy as the average.
        cluster_is_busy = self.mean_busy_share >= UNCONTENDED_BUSY_SHARE / 2
        congestion_signs = (
            (self.congested_share >= CLUSTER_CONGESTED_SHARE)
            + (self.cluster_latency_ratio_log >= CLUSTER_CONGESTED_LATENCY_RATIO_LOG)
            + cluster_is_busy
        )
        # Without probes, reports come late, so one sign is enough. One query is always admitted.
        if (
            not self.any_engine_wide_limit
            or not self.cluster_slots
            or congestion_signs < (2 if self.settings.limits.probes else 1)
        ):
            return True
        limit, charge = self._cluster_limit_and_charge(query)
        return self.cluster_slots + charge <= limit * (1.0 if query.bins[0] else LIGHT_QUERY_LIMIT_FACTOR)

    def _admits(self, engine: EngineRecord, query: Query) -> bool:
        """Return whether an engine has slots and memory for a query.

        The slot limit applies only to congested engines, which also admit no queries of tenants over quota.
        """
        self.apply_limit_share(engine)
        charge, report = (
            self._slot_charge(query, engine.limit, engine.large_query_limit),
            self._fresh_report(engine),
        )
        if self._is_congested(engine, charge) and (
            query.over_quota or self._slots_in_use(engine) + charge > engine.limit + 1e-9
        ):
            return False
        if engine.has_engine_wide_limit:
            return self._memory_fits(engine, query)
        if (
            report is None
            or report.memory_share is None
            or not engine.memory_mb
            or query.grant_mb <= 0
            or not engine.queries_in_flight
        ):
            return True
        # This departs from CASA: memory is a limit even without congestion. Reports are late, so what this
        # gateway has granted since the report, less what has ended, is added. The other gateways are each
        # assumed to have granted as much.
        return (
            report.memory_share * engine.memory_mb
            + engine.granted_since_report_mb / self.even_share
            + query.grant_mb
            <= MAX_MEMORY_SHARE * engine.memory_mb
        )

    def _memory_fits(self, engine: EngineRecord, query: Query) -> bool:
        """Return whether an engine's reported memory admits a query, where limits are engine-wide.

        This departs from CASA: one of many gateways rarely has a query in flight at an engine, so the report
        limits grants even where this gateway has none. An engine without a fresh report may be paging and
        therefore answer nothing. It gets only queries with little memory, whose answers bring a report.
        """
        # One query is always admitted.
        if not engine.memory_mb or query.grant_mb <= 0 or len(self.queries) == self.held_queries.count:
            return True
        report = self._fresh_report(engine)
        granted_share = (
            report.memory_share or 0.0
            if report
            else 0.0
            if self.in_slow_start(engine)
            else self.mean_memory_share
        )
        free_mb = (MAX_MEMORY_SHARE - granted_share) * engine.memory_mb - engine.granted_since_report_mb
        return (
            query.grant_mb <= free_mb
            if report
            else not query.bins[1] or query.grant_mb <= UNREPORTED_MEMORY_SHARE * free_mb
        )
