"""Choice of an engine for a query: of two candidates, the one with less estimated work of this gateway."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable, Iterator

from hollowhitch.policy import interface as api
from hollowhitch.policy.admission import Admission
from hollowhitch.policy.constants import (
    CANDIDATE_SAMPLE_SIZE,
    CROSS_ZONE_FACTOR,
    EXPLORATION_SHARE,
    FALLBACK_SAMPLE_SIZE,
    MAX_ANSWER_AGE_US,
    MAX_PARTITIONS,
    MIN_PARTITIONED_ENGINES,
    RECENT_ANSWERS_SAMPLED,
    SMALL_FLEET_ENGINES,
    WARM_WORK_SHARE,
)
from hollowhitch.policy.engine_sets import EngineChoices, HashedHalf, IndexedSet, data_set_hash
from hollowhitch.policy.health import Health
from hollowhitch.policy.interface import RetrySafety
from hollowhitch.policy.records import Attempt, EngineRecord, Query


class Routing(Admission, Health):
    """Chooses an engine for a query and sends an attempt."""

    def _score(self, engine: EngineRecord, query: Query) -> float:
        """Return the score of an engine for a query; the engine with the lowest score is the best."""
        own_work_us = engine.own_work_us + query.work_us * (
            WARM_WORK_SHARE if query.data_set in engine.warm_data_sets else 1.0
        )
        score = own_work_us / engine.cores * math.exp(max(engine.latency_ratio_log, 0.0))
        report, in_other_zone = self._fresh_report(engine), engine.info.zone != self.settings.zone
        # The average of the reports stands in for a fresh one.
        busy_share = report.busiest_share if report else self.mean_busy_share
        return (
            score
            * (1 + CROSS_ZONE_FACTOR * self.settings.prices.cross_zone * in_other_zone)
            / max(0.1, 1.1 - busy_share)
        )

    def _is_blocked(self, engine: EngineRecord, query: Query) -> bool:
        """Return whether a bulk load would block the query at this engine.

        This covers bulk loads of this gateway, and those of others that have blocked one of its attempts.
        """
        if not (query.query_class.waits_for_bulk_loads or query.query_class.is_bulk_load):
            return False
        has_own_bulk_load = any(
            other.query_class.is_bulk_load and other.data_set == query.data_set
            for other in engine.queries_in_flight.values()
        )
        return has_own_bulk_load or engine.locked_until_us.get(query.data_set, 0) > self.now_us

    def _try_send(self, query: Query, only_engine: EngineRecord | None = None) -> bool:
        """Send a query if an engine (or `only_engine`) admits it, and return whether it was sent."""
        if not self.may_attempt(query):
            return False
        permitted = self.engines_for_class[query.class_index]
        if not self._cluster_fits(query):  # the limit does not count engines in slow start
            permitted = self._on_our_turn(permitted)
        for engines in self._engines_to_try(query, permitted, only_engine):
            # A query that would be blocked is held instead, and takes the first engine that becomes free.
            eligible = [
                engine
                for engine in engines
                if engine in permitted
                and self._may_use(engine, query)
                and self._admits(engine, query)
                and not self._is_blocked(engine, query)
            ]
            if eligible:
                # Many gateways would all send to the least busy engine at once, so only two are compared.
                compared = eligible[:2] if self.any_engine_wide_limit else eligible
                return self._send_attempt(query, min(compared, key=lambda engine: self._score(engine, query)))
        return False

    def _engines_to_try(
        self, query: Query, permitted: IndexedSet[EngineRecord], only_engine: EngineRecord | None
    ) -> Iterator[Iterable[EngineRecord]]:
        """Yield groups of engines, of which the first with an eligible engine is used."""
        partition = self._partition(query)
        if only_engine is not None:
            yield [only_engine] if only_engine in partition else []
            return
        yield query.candidates
        yield partition.scan(self.rng, FALLBACK_SAMPLE_SIZE)
        yield permitted.scan(self.rng, FALLBACK_SAMPLE_SIZE)

    def _on_our_turn(self, engines: IndexedSet[EngineRecord]) -> IndexedSet[EngineRecord]:
        """Return those engines with which this gateway has a turn, in a large fleet not all of them."""
        on_our_turn = self.engines_on_our_turn.scan(self.rng, SMALL_FLEET_ENGINES)
        return IndexedSet(engine for engine in on_our_turn if engine in engines)

    def _partition(self, query: Query) -> EngineChoices:
        """Return the engines that a query may use if it is a bulk load or waits for bulk loads.

        This departs from CASA: queries that a bulk load blocks miss their targets, and the bulk loads of
        other gateways are unknown. So all gateways send the bulk loads of a data set to the same half of the
        engines, and the queries that wait for bulk loads to the other half. In a large fleet the halves are
        only about equal: to rank all engines would take too long for a query in a new data set.
        """
        permitted = self.engines_for_class[query.class_index]
        is_bulk_load = query.query_class.is_bulk_load
        if len(permitted) < MIN_PARTITIONED_ENGINES or not (
            is_bulk_load or query.query_class.waits_for_bulk_loads
        ):
            return permitted
        if len(permitted) > SMALL_FLEET_ENGINES:
            return HashedHalf(permitted, query.data_set, is_low_half=is_bulk_load)
        key = query.class_index, query.data_set
        if key not in self.partitions:
            if len(self.partitions) >= MAX_PARTITIONS:
                self.partitions.clear()
            self.partitions[key] = self._ranked_half(permitted, query.data_set, is_bulk_load)
        return self.partitions[key]

    def _ranked_half(
        self, engines: IndexedSet[EngineRecord], data_set: int, is_low_half: bool
    ) -> IndexedSet[EngineRecord]:
        """Return half of the engines, those whose hash with a data set is low or high."""
        ranked = sorted(engines, key=lambda engine: data_set_hash(data_set, engine))
        half = len(ranked) // 2
        if not is_low_half:
            return IndexedSet(ranked[half:])
        # Gateways start at different engines, so that their bulk loads rarely meet.
        start = self.settings.gateway_index % half
        return IndexedSet(ranked[start:half] + ranked[:start])

    def _sample_candidates(self, query: Query) -> list[EngineRecord]:
        """Return up to two engines to try first for a query."""
        partition = self._partition(query)
        if self.any_engine_wide_limit:
            candidates = self._sample_known_engines(query, partition)
            if candidates:
                return candidates
        elif query.query_class.is_bulk_load:
            return self._bulk_load_candidates(query, partition)
        sample = partition.in_random_order(self.rng, CANDIDATE_SAMPLE_SIZE)
        candidates = self._first_two(engine for engine in sample if self._may_use(engine, query))
        if len(candidates) == 2:
            return candidates
        scanned = partition.scan(self.rng, SMALL_FLEET_ENGINES)
        return self._first_two(engine for engine in scanned if self._may_use(engine, query))

    def _sample_known_engines(self, query: Query, partition: EngineChoices) -> list[EngineRecord]:
        """Return up to two of the engines whose load this gateway knows, where limits are engine-wide.

        This departs from CASA: this gateway has no work at most engines, and all gateways would choose an
        engine whose report shows headroom. So it samples from engines that have answered and that it has sent
        nothing to since: an engine that stalls gets no more. Engines in slow start come first. Without
        exploration, engines that have recovered would not be found.
        """
        explores = not query.bins[0] and self.rng.random() < EXPLORATION_SHARE
        answered = self.recent_answers.engines_since(self.now_us - MAX_ANSWER_AGE_US)
        answered = answered[:RECENT_ANSWERS_SAMPLED]
        self.rng.shuffle(answered)
        for engines in (
            self.engines_on_our_turn.in_random_order(self.rng, SMALL_FLEET_ENGINES),
            answered,
            () if explores else self._reporting_engines(),
        ):
            candidates = self._first_two(
                engine for engine in engines if engine in partition and self._may_use(engine, query)
            )
            if candidates:
                return candidates
        return []

    def _reporting_engines(self) -> Iterator[EngineRecord]:
        """Yield engines with a fresh report in random order, in a large fleet not all of them."""
        active = self.active_engines.in_random_order(self.rng, SMALL_FLEET_ENGINES)
        return (engine for engine in active if self._fresh_report(engine))

    def _bulk_load_candidates(self, query: Query, partition: EngineChoices) -> list[EngineRecord]:
        """Return up to two engines to try first for a bulk load.

        Another bulk load of this gateway would block this one. So engines without one are preferred, even to
        engines of the partition.
        """
        permitted = self.engines_for_class[query.class_index]
        for engines, may_be_blocked in ((partition, False), (permitted, False), (partition, True)):
            candidates = self._first_two(
                engine
                for engine in engines.scan(self.rng, SMALL_FLEET_ENGINES)
                if self._may_use(engine, query) and (may_be_blocked or not self._is_blocked(engine, query))
            )
            if candidates:
                return candidates
        return []

    @staticmethod
    def _first_two(engines: Iterable[EngineRecord]) -> list[EngineRecord]:
        return list(itertools.islice(engines, 2))

    def _send_attempt(self, query: Query, engine: EngineRecord) -> bool:
        """Send an attempt of a query to an engine; always return True, the result of `_try_send`."""
        charges = (
            self._slot_charge(query, engine.limit, engine.large_query_limit),
            0.0 if self.in_slow_start(engine) else self._cluster_limit_and_charge(query)[1],
        )
        attempt = self.record_attempt(
            query, Attempt(query, len(query.attempts), engine, self.now_us, *charges, query.work_us)
        )
        self._activate(engine)
        self.recent_answers.consume(engine)
        timeout_us = 0
        if engine.ejected_until_us:  # a trial, with a timeout if it cannot be cancelled
            engine.trial_attempt, timeout_us = (
                attempt,
                0 if self.settings.limits.cancel else int(self._overdue_after_us(query)),
            )
        grant_mb = (
            query.grant_mb
            if self.settings.engines_take_grants
            and self.class_records[query.class_index].memory_shortage_log > 0
            else 0.0
        )
        # Light queries earn more worth per unit of work. Queries over quota or past their target come last.
        priority = 0 if query.over_quota or self.now_us > query.target_at_us else (3, 2, 2, 1)[query.bins[0]]
        if grant_mb or (self.settings.engines_take_priorities and priority != query.priority):
            query.priority = priority
            self.actions.append(
                api.SetTerms(query.id, grant_mb, priority if self.settings.engines_take_priorities else 1)
            )
        self.actions.append(api.Send(query.id, engine.info.id, timeout_us, self.repeat_within_us(query)))
        if query.query_class.retry_safety is RetrySafety.SAFE:
            stuck_at_us = self.now_us + self._stuck_after_us(query, engine)
            self.schedule_for(query, stuck_at_us, self._check_stuck, attempt)
        return True
