"""The work budget of engines in slow start, which have recently started."""

from __future__ import annotations

import math

from hollowhitch.call_heap import CallHeap, DueCall
from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    BUSY_SHARE_AT_CAPACITY,
    FEEDBACK_PERIOD_US,
    MAX_AGE_ERROR_SHARE,
    MAX_TURN_UPDATES,
    MAX_TURNS_AHEAD,
    SLOW_START_BUDGET_SHARE,
    SLOW_START_TURNS,
)
from hollowhitch.policy.engine_sets import IndexedSet
from hollowhitch.policy.records import EngineRecord, Query
from hollowhitch.policy.state import ControllerState


class SlowStart(ControllerState):
    """Limit on the work that engines in slow start are sent."""

    def __init__(
        self, settings: api.Settings, seed: int, bin_sample_size: int, bin_update_interval: int
    ) -> None:
        super().__init__(settings, seed, bin_sample_size, bin_update_interval)
        self._slow_start_engines: set[EngineRecord] = set()  # the ready engines that are in slow start
        # Those of them with which this gateway has a turn (see `_least_turn_draw`).
        self.engines_on_our_turn: IndexedSet[EngineRecord] = IndexedSet()
        # When a turn or the slow start of an engine ends, and the call for it by engine.
        self._slow_start_calls = CallHeap()
        self._slow_start_call_of: dict[EngineRecord, DueCall] = {}

    def _slow_start_fits(self, engine: EngineRecord, query: Query) -> bool:
        """Return whether the budget of an engine in slow start admits a query (rule 4).

        In any window this gateway sends at most its part of the configured budget, times a safety factor.
        """
        if not self.in_slow_start(engine):
            return True
        own_budget_us = self._slow_start_budget_core_us(engine) * (
            1 / SLOW_START_TURNS if engine.has_engine_wide_limit else self.even_share
        )
        window_us = self.settings.rules.slow_start_window_us
        sent_us, turn_draw = (
            engine.slow_start_sent.sum_since(self.now_us - window_us),
            self._least_turn_draw(engine) if engine.has_engine_wide_limit else 1.0,
        )
        return (
            turn_draw <= 1
            and sent_us + query.slow_start_work_us * (1 if sent_us else max(turn_draw, 0.5)) <= own_budget_us
        )

    def _slow_start_budget_core_us(self, engine: EngineRecord) -> float:
        """Return the work in core microseconds that all gateways may send to an engine in one window."""
        rules = self.settings.rules
        age_us = self.now_us - max(engine.info.latest_start_at_us, engine.info.started_at_us)
        # How the capacity grows is unknown, so half of a linear increase is assumed.
        capacity_share = rules.start_capacity_share + (1 - rules.start_capacity_share) / 2 * min(
            age_us / rules.slow_start_us, 1.0
        )
        return (
            SLOW_START_BUDGET_SHARE
            * rules.slow_start_multiple
            * capacity_share
            * engine.cores
            * BUSY_SHARE_AT_CAPACITY
            * rules.slow_start_window_us
        )

    def _turn_number(self, engine: EngineRecord) -> int:
        """Return the number of turns with an engine that have ended since its start."""
        window_us = max(self.settings.rules.slow_start_window_us, 1)
        return int((self.now_us - engine.info.started_at_us) * SLOW_START_TURNS / window_us)

    def _least_turn_draw(self, engine: EngineRecord) -> float:
        """Return this gateway's least draw in the current turns with an engine; above 1 if it has none.

        This departs from CASA: where an even part of the budget is less than a query, a few gateways at a
        time have a turn, which lasts as long as a window. All gateways compute the same draws. The first
        query in a window may need up to twice the part of one turn, if the draw is correspondingly low.
        """
        turn_number = self._turn_number(engine)
        return engine.least_turn_draw(
            range(turn_number - SLOW_START_TURNS, turn_number),
            self.gateway_count,
            self.settings.gateway_index,
        )

    def _update_turns(self) -> None:
        """Update which engines are in slow start, and with which of them this gateway has a turn.

        If thousands have started together, only some of them are looked at, and the others the next time.
        """
        for _ in range(MAX_TURN_UPDATES):
            if (follow := self._slow_start_calls.pop_due(self.now_us)) is None:
                return
            follow()

    def _follow_slow_start(self, engine: EngineRecord) -> None:
        """Update whether an engine is in slow start and on our turn, and when to look again."""
        if (call := self._slow_start_call_of.pop(engine, None)) is not None:
            call.cancel()
        is_ready = engine.info.state is api.EngineState.READY and self.fleet.is_listed(engine)
        is_in_slow_start = is_ready and self.in_slow_start(engine)
        self._count_slow_start_cores(engine, is_in_slow_start)
        if not is_in_slow_start:
            self.engines_on_our_turn.discard(engine)
            return
        look_again_at_us = self._slow_start_ends_at_us(engine)
        if engine.has_engine_wide_limit:
            look_again_at_us = min(look_again_at_us, self._next_turn_change_at_us(engine))
            if self._least_turn_draw(engine) <= 1:
                self.engines_on_our_turn.add(engine)
            else:
                self.engines_on_our_turn.discard(engine)
        self._slow_start_call_of[engine] = self._slow_start_calls.add(
            # Turns are updated once in a feedback period, however short they are.
            max(look_again_at_us, self.now_us + FEEDBACK_PERIOD_US),
            lambda: self._follow_slow_start(engine),
        )

    def _count_slow_start_cores(self, engine: EngineRecord, is_in_slow_start: bool) -> None:
        if is_in_slow_start and engine not in self._slow_start_engines:
            self._slow_start_engines.add(engine)
            self.slow_start_cores.add(engine)
        elif not is_in_slow_start and engine in self._slow_start_engines:
            self._slow_start_engines.remove(engine)
            self.slow_start_cores.remove(engine)

    def _slow_start_ends_at_us(self, engine: EngineRecord) -> int:
        started_at_us = max(engine.info.started_at_us, engine.info.latest_start_at_us)
        return started_at_us + self.settings.rules.slow_start_us

    def _next_turn_change_at_us(self, engine: EngineRecord) -> int:
        """Return when this gateway's turn with an engine begins or ends, or an earlier time to look again."""
        turn_number = self._turn_number(engine)
        last_number = turn_number + MAX_TURNS_AHEAD
        own_draws = engine.own_draws(
            range(turn_number - SLOW_START_TURNS, last_number),
            self.gateway_count,
            self.settings.gateway_index,
        )
        # A draw counts for the SLOW_START_TURNS turns after it.
        own_turns = {draw + n for draw in own_draws for n in range(1, SLOW_START_TURNS + 1)}
        has_turn = turn_number in own_turns
        following = range(turn_number + 1, last_number)
        change = next((n for n in following if (n in own_turns) != has_turn), last_number)
        window_us = max(self.settings.rules.slow_start_window_us, 1)
        return engine.info.started_at_us + math.ceil(change * window_us / SLOW_START_TURNS)


def tolerated_age_error_us(rules: api.Rules) -> float:
    """Return by how many microseconds the age of an engine in slow start may be overestimated.

    The safety factor of the budget covers an error of that size.
    """
    covered_share = (
        (1 / SLOW_START_BUDGET_SHARE - 1)
        * rules.start_capacity_share
        * 2
        / max(1 - rules.start_capacity_share, 1e-9)
    )
    return rules.slow_start_us * min(covered_share, MAX_AGE_ERROR_SHARE)
