"""Ejection of engines that fail or stop responding, and the trial after which one is used again."""

from __future__ import annotations

from hollowhitch.policy import interface as api
from hollowhitch.policy.constants import (
    EJECTION_FAILURE_SHARE,
    EJECTION_OTHERS_FACTOR,
    EJECTION_US,
    FAILURE_WEIGHT,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_US,
)
from hollowhitch.policy.interface import RetrySafety
from hollowhitch.policy.records import EngineRecord, Query
from hollowhitch.policy.slow_start import SlowStart


class Health(SlowStart):
    """Decides which engines may be used."""

    def _may_use(self, engine: EngineRecord, query: Query) -> bool:
        """Return whether an attempt of a query may go to an engine.

        A retry goes to another engine if there is one. An ejected engine may only be used for its trial.
        """
        if (
            query.attempts
            and query.attempts[-1].engine is engine
            and len(self.engines_for_class[query.class_index]) > 1
        ):
            return False
        is_trial = (
            self.now_us >= engine.ejected_until_us
            and engine.trial_attempt is None
            and query.query_class.retry_safety is RetrySafety.SAFE
        )
        usable = not engine.ejected_until_us or is_trial or self.ejections_ignored
        return usable and query.in_dedup_scope(engine.info) and self._slow_start_fits(engine, query)

    def _eject(self, engine: EngineRecord, reason: str) -> None:
        """Eject an engine until its next trial, for twice as long after each failed trial."""
        if (engine.ejected_until_us and engine.trial_attempt is None) or not self.fleet.is_listed(engine):
            return
        self.actions.append(api.HealthChanged(engine.info.id, "ejected", reason))
        engine.failed_trials += engine.trial_attempt is not None
        engine.ejected_until_us, engine.trial_attempt = (
            self.now_us + min(EJECTION_US * 2**engine.failed_trials, MAX_EJECTION_US),
            None,
        )
        self.fleet.ejected.add(engine)
        self._update_ejections_ignored()

    def _reinstate(self, engine: EngineRecord) -> None:
        """Use an ejected engine again, as if it had never failed."""
        engine.ejected_until_us, engine.trial_attempt, engine.failed_trials = 0, None, 0
        self.fleet.set_failure_share(engine, 0.0)
        self.fleet.ejected.discard(engine)
        self.actions.append(api.HealthChanged(engine.info.id, "reinstated", "answered"))
        self._update_ejections_ignored()

    def _update_ejections_ignored(self) -> None:
        """Use all engines if too many are ejected, since the failures probably have a common cause then."""
        self.ejections_ignored = len(self.fleet.ejected) > MAX_EJECTED_SHARE * len(self.engines)

    def _count_failure(self, engine: EngineRecord) -> None:
        """Count a failure, and eject the engine if it fails clearly more often than the others.

        The comparison guards against ejections because of answers that are lost or corrupted on the network,
        which affects all engines alike.
        """
        if not self.fleet.is_listed(engine):
            return
        self.fleet.set_failure_share(
            engine, engine.failure_share + FAILURE_WEIGHT * (1 - engine.failure_share)
        )
        others_share = self.fleet.mean_failure_share_of_others(engine)
        if engine.failure_share > EJECTION_FAILURE_SHARE + EJECTION_OTHERS_FACTOR * others_share:
            self._eject(engine, "failures")
