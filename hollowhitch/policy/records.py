"""Records that the controller keeps of attempts, queries, classes of queries and engines.

Times are microseconds on the caller's clock, work is in microseconds of one core, logs are natural.
"""

from __future__ import annotations

import math
import zlib
from collections import deque

from hollowhitch.call_heap import DueCall
from hollowhitch.policy import interface as api
from hollowhitch.policy.containers import RollingSum


class Attempt:
    """One sending of a query to an engine."""

    __slots__ = (
        "query",
        "number",
        "engine",
        "sent_at_us",
        "charge",
        "work_us",
        "in_flight",
        "cancelled",
        "cluster_charge",
    )

    def __init__(
        self,
        query: Query,
        number: int,
        engine: EngineRecord,
        sent_at_us: int,
        charge: float,
        cluster_charge: float,
        work_us: float,
    ) -> None:
        self.query, self.number, self.engine, self.sent_at_us, self.work_us = (
            query,
            number,
            engine,
            sent_at_us,
            work_us,
        )
        # In slots: the charge against the engine's limit, and the charge against the limit over all engines.
        self.charge, self.cluster_charge = charge, cluster_charge
        self.in_flight, self.cancelled = True, False


class Query:
    """A query; its record is kept until the query is closed and its last attempt has ended."""

    __slots__ = (
        "id",
        "class_index",
        "query_class",
        "order_key",
        "arrived_at_us",
        "expires_at_us",
        "target_at_us",
        "answer_by_us",
        "client_estimates",
        "work_us",
        "memory_mb",
        "bins",
        "data_set",
        "over_quota",
        "attempts",
        "first_possible_run",
        "closed",
        "held",
        "streaming",
        "grant_mb",
        "slow_start_work_us",
        "priority",
        "candidates",
        "pending_probes",
        "failed_engines",
        "scheduled_calls",
    )

    def __init__(
        self, event: api.QueryArrived, class_index: int, query_class: api.QueryClass, now_us: int
    ) -> None:
        self.id, self.class_index, self.query_class = event.id, class_index, query_class
        self.order_key = event.key if query_class.in_order else None
        self.arrived_at_us, self.expires_at_us, self.data_set = (
            now_us,
            now_us + event.expires_in_us,
            event.data_set,
        )
        self.client_estimates = (event.cost_us, event.memory_mb)
        # `target_at_us`: when the latency target is over. `answer_by_us`: when the query is ended without a
        # result. `bins`: the cost bin and the memory bin, each from 0 (least) to 3.
        self.target_at_us, self.answer_by_us, self.work_us, self.memory_mb, self.bins = (
            0.0,
            0.0,
            0.0,
            0.0,
            (0, 0),
        )
        self.attempts: list[Attempt] = []
        self.first_possible_run: Attempt | None = None  # the first attempt that may have run
        # `closed`: the query has its final answer, or its client no longer waits.
        self.over_quota = self.closed = self.held = self.streaming = False
        # `slow_start_work_us`: the work that counts against the budget of an engine in slow start.
        # `priority`: the one chosen with the last `SetTerms`; -1: none was sent yet.
        self.grant_mb, self.slow_start_work_us, self.priority = 0.0, 0.0, -1
        self.candidates: list[EngineRecord] = []  # up to two engines that are tried before the others
        # Engines that answered an attempt with an error or broke its connection.
        self.failed_engines: list[EngineRecord] = []
        self.scheduled_calls: list[DueCall] = []  # calls that have no effect once the query is closed
        self.pending_probes = 0  # probes that the first attempt waits for

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts that were sent and have not ended, in the order of sending."""
        return [a for a in self.attempts if a.in_flight]

    def latency_ratio_log(self, elapsed_us: int, slack: float) -> float:
        """Return the log of `elapsed_us` over the best latency, which the query would have on an idle engine.

        `slack`, a share of the latency target, is added to both latencies. Otherwise tiny queries would
        dominate, since a short delay gives them a large ratio.
        """
        slack *= self.query_class.target_us
        return math.log((elapsed_us + slack) / (self.work_us / self.query_class.threads + slack))

    def in_dedup_scope(self, engine: api.Engine) -> bool:
        """Return whether an engine belongs to the group of engines that drop repeats of the query.

        True for any engine if the query can't have run yet, or if its class has no such group.
        """
        earlier = self.first_possible_run or next(iter(self.attempts_in_flight()), None)
        if (
            earlier is None
            or self.query_class.retry_safety is not api.RetrySafety.DEDUPLICATED
            or self.query_class.dedup_scope is api.DedupScope.ALL
        ):
            return True
        earlier_engine = earlier.engine.info
        return (
            engine.zone == earlier_engine.zone
            if self.query_class.dedup_scope is api.DedupScope.ZONE
            else engine.cell == earlier_engine.cell
        )


class ClassRecord:
    """Averages of one class of queries, and corrections of its estimates, learned from its outcomes."""

    def __init__(self, initial_us: float) -> None:
        # Logs of measured over estimated cost, and of measured over estimated memory.
        self.cost_ratio_log = self.memory_ratio_log = 0.0
        self.mean_work_us = self.typical_latency_us = initial_us
        self.memory_shortage_log = 0.0  # log of the needed memory over the default grant


class HoldSendRates:
    """Rates of held and of sent queries per second, exponentially smoothed."""

    def __init__(self) -> None:
        self.holds_per_s = self.sends_per_s = 0.0
        self.hold_count = self.send_count = 0

    def smooth(self, weight: float, period_us: int) -> None:
        """Update the rates from the counts of the last period, and reset the counts.

        `weight` is the EWMA weight of the last period.
        """
        self.holds_per_s += weight * (self.hold_count * 1e6 / period_us - self.holds_per_s)
        self.sends_per_s += weight * (self.send_count * 1e6 / period_us - self.sends_per_s)
        self.hold_count = self.send_count = 0


class EngineRecord(HoldSendRates):
    """State that a gateway keeps of one engine: limits, load, health, cached data sets, slow start."""

    def __init__(
        self,
        info: api.Engine,
        cores: float,
        memory_mb: float,
        limit: float,
        max_warm_data_sets: int,
        now_us: int,
        has_engine_wide_limit: bool,
        slow_start_window_us: int,
    ) -> None:
        super().__init__()
        self.info, self.cores, self.limit, self.large_query_limit = info, cores, limit, limit
        # An engine-wide limit counts the slots of the whole engine, not only this gateway's part of them.
        # `charge_since_report`: charge of the attempts sent since the last new load report.
        # `last_feedback_at_us`: when the feedback last updated the engine's limit for large queries.
        self.has_engine_wide_limit, self.charge_since_report, self.last_feedback_at_us = (
            has_engine_wide_limit,
            0.0,
            now_us,
        )
        # `memory_mb`: the configured memory; 0: unknown. `granted_since_report_mb`: memory that this gateway
        # has granted since the last new load report, less the grants of attempts that have ended since then.
        self.memory_mb, self.granted_since_report_mb = memory_mb, 0.0
        # Charge and work of this gateway's attempts; the smoothed error of the feedback.
        self.used_slots = self.own_work_us = self.feedback_error = 0.0
        self.queries_in_flight: dict[tuple[str, int], Query] = {}
        # `latency_ratio_log`: mean log of latency over the best latency, less the mean at engines with
        # headroom. `reported_full_at_us`: when the engine last refused a query as full; None: never.
        self.latency_ratio_log, self.last_response_at_us, self.reported_full_at_us = 0.0, now_us, None
        self.report: api.LoadReport | None = None
        self.reported_at_us = self.probed_at_us = 0
        self.probe_waiters: list[Query] = []  # queries that wait for the result of the probe in flight
        # `ejected_until_us`: time of the trial; 0: the engine is not ejected.
        self.failure_share, self.failed_trials, self.ejected_until_us = 0.0, 0, 0
        self.trial_attempt: Attempt | None = None
        self.warm_data_sets: deque[int] = deque(maxlen=max_warm_data_sets)
        # By data set, the time until which a bulk load of another gateway is expected to lock it.
        self.locked_until_us: dict[int, float] = {}
        # `slow_start_sent`: work sent within the window of the slow start.
        self.threads_in_flight, self.slow_start_sent = 0, RollingSum(slow_start_window_us)
        # Arguments and result of the last call of `least_turn_draw`.
        self.drawn_turns, self.turn_draw = range(0), math.inf

    def least_turn_draw(self, turns: range, gateway_count: int, gateway_index: int) -> float:
        """Return a gateway's least draw in a range of turns, below 1; infinity if it has no turn in it.

        A hash of the turn's number and the engine's id gives the draw, and assigns the turn to one of
        `gateway_count` gateways. So all gateways agree without communicating.
        """
        if turns != self.drawn_turns:
            draws = [turn_hash(n, self.info.id) for n in turns]
            self.drawn_turns = turns
            self.turn_draw = min(
                (d / 2**32 for d in draws if d % gateway_count == gateway_index), default=math.inf
            )
        return self.turn_draw

    def own_draws(self, turns: range, gateway_count: int, gateway_index: int) -> list[int]:
        """Return the numbers of those turns that are assigned to a gateway, see `least_turn_draw`."""
        engine_id = self.info.id
        return [n for n in turns if turn_hash(n, engine_id) % gateway_count == gateway_index]

    def attempt_sent(self, query: Query, attempt: Attempt, slow_start_work_us: float) -> None:
        """Record an attempt that is being sent; `slow_start_work_us` counts against the slow-start budget."""
        query.attempts.append(attempt)
        self.queries_in_flight[query.id, attempt.number] = query
        self.used_slots += attempt.charge
        self.charge_since_report += attempt.charge
        self.own_work_us += attempt.work_us
        self.send_count += 1
        self.threads_in_flight += query.query_class.threads
        self.granted_since_report_mb += query.grant_mb
        self.slow_start_sent.add(attempt.sent_at_us, slow_start_work_us)
        if query.data_set in self.warm_data_sets:
            self.warm_data_sets.remove(query.data_set)
        self.warm_data_sets.append(query.data_set)

    def attempt_ended(self, query: Query, attempt: Attempt) -> None:
        """Record the end of an attempt; its charge and work count until `release`."""
        del self.queries_in_flight[query.id, attempt.number]
        self.threads_in_flight -= query.query_class.threads
        # The result may be negative, which corrects a report from before the end: it includes the grant.
        self.granted_since_report_mb -= query.grant_mb

    def update_report(self, report: api.LoadReport | None, now_us: int) -> None:
        """Store a load report, if there is one.

        A report that differs from the last one resets the charge and the grants since the last report.
        """
        if report is None:
            return
        if report != self.report:
            self.granted_since_report_mb = self.charge_since_report = 0.0
        self.report, self.reported_at_us = report, now_us

    def release(self, attempt: Attempt) -> None:
        """Subtract the charge and the work of an attempt that has ended."""
        self.used_slots = max(0.0, self.used_slots - attempt.charge)
        self.own_work_us = max(0.0, self.own_work_us - attempt.work_us)


def turn_hash(turn_number: int, engine_id: str) -> int:
    """Return a number below 2**32, which all gateways compute alike."""
    return zlib.crc32(f"{turn_number} {engine_id}".encode())
