"""Held queries: which of them are sent first, and which are refused early."""

from __future__ import annotations

import math

from hollowhitch.policy.constants import HELD_WORK_SHARE, HELD_WORK_SHARE_ENGINE_WIDE
from hollowhitch.policy.interface import EndReason
from hollowhitch.policy.records import EngineRecord, Query
from hollowhitch.policy.routing import Routing


class Holding(Routing):
    """Holds queries, and sends or refuses them later."""

    def place_or_hold(self, query: Query) -> None:
        """Send a query if possible, else hold it, or end it if it cannot meet its target."""
        if self.would_outlast_shutdown(query):
            return self.end_unserved(query, EndReason.CLOSING)
        lockable_data_set = (
            query.data_set
            if query.query_class.is_bulk_load or query.query_class.waits_for_bulk_loads
            else None
        )
        possible_run_engine = query.first_possible_run and query.first_possible_run.engine.info
        group = (
            query.class_index,
            lockable_data_set,
            query.bins,
            query.over_quota,
            possible_run_engine and possible_run_engine.zone,
            possible_run_engine and possible_run_engine.cell,
        )
        older_query = self.held_queries.head(group)  # a similar query that was not admitted either
        is_next = self.key_order.may_start(query.id, self.now_us)
        if older_query is None and is_next and self._try_send(query):
            return
        # The expected latency over the best latency.
        latency_ratio = (
            math.exp(max(self.cluster_latency_ratio_log + self.unloaded_latency_ratio_log, 0.0))
            if self.any_engine_wide_limit
            else 1.0
        )
        latest_start_at_us = (
            min(query.target_at_us, query.expires_at_us)
            - query.work_us / query.query_class.threads * latency_ratio
        )
        if (
            self.may_refuse(query)
            and self.engines_for_class[query.class_index]
            and (latest_start_at_us <= self.now_us or query.over_quota)
        ):
            return self.end_unserved(
                query, EndReason.OVER_QUOTA if query.over_quota else EndReason.MISSES_TARGET
            )
        self.schedule_for(query, max(latest_start_at_us, self.now_us + 1), self._check_deadlines, query)
        repeat_within_us = self.repeat_within_us(query)
        if repeat_within_us is not None:
            self.schedule_for(query, self.now_us + max(repeat_within_us, 1), self._check_deadlines, query)
        self.held_queries.add(group, query, query.query_class.worth / max(query.work_us, 1), is_next=is_next)
        self.check_shutdown(query)
        if query.closed:
            return
        if not is_next:
            self.schedule_next_of_key(query.order_key)
        elif self.engines_for_class[query.class_index]:
            # Every query that is held counts, also one behind an older query of its group.
            self.count_hold(self.engines_for_class[query.class_index].choose(self.rng))
        # Under lasting overload all held queries would age together and be answered late. So those with the
        # least worth per work are refused, which does harm if the estimates rank them wrongly. Where limits
        # are engine-wide, one query always stays held.
        held_share = HELD_WORK_SHARE_ENGINE_WIDE if self.any_engine_wide_limit else HELD_WORK_SHARE
        max_held_work_us = self.service_rate * held_share * max(latest_start_at_us - self.now_us, 0) / 1e6
        while (
            self.held_queries.work_us > max_held_work_us
            and self.held_queries.count > self.any_engine_wide_limit
        ):
            if (least_worth := self.held_queries.pop_least_worth(self.may_refuse)) is None:
                break
            self.end_unserved(least_worth, EndReason.LEAST_WORTH)

    def _check_deadlines(self, query: Query) -> None:
        """End a query whose time has run out, or a held one that can no longer be sent or meet its target."""
        if query.closed or query.streaming:
            return
        if self.now_us >= query.answer_by_us:
            self.end_unserved(query, EndReason.NO_TIME)
        elif query.held and not self.may_attempt(query, at_any_time=True):
            self.end_unserved(query, EndReason.NO_ATTEMPT_LEFT)
        elif query.held and self.may_refuse(query):
            self.end_unserved(query, EndReason.MISSES_TARGET)

    def send_held(self, only_engine: EngineRecord | None = None) -> None:
        """Try to send held queries, oldest first, to one engine or to any."""
        if (
            only_engine is None
            or not self._is_congested(only_engine)
            or only_engine.used_slots + 1 <= only_engine.limit
        ):
            self.held_queries.offer_oldest_first(lambda query: self._try_send(query, only_engine))
