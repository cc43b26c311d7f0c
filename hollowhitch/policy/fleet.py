"""The engines of the list, and the totals over them, which are updated with each change of one engine.

So neither a change nor a decision takes time that grows with the number of engines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from hollowhitch.policy import interface as api
from hollowhitch.policy.engine_sets import IndexedSet
from hollowhitch.policy.records import EngineRecord


class CoreCount:
    """Number of cores of some engines. It is exact: changes accumulate no rounding errors."""

    def __init__(self) -> None:
        self._engines_by_cores: Counter[float] = Counter()

    @property
    def total(self) -> float:
        """Cores of all engines that are counted."""
        return sum(size * number for size, number in self._engines_by_cores.items())

    def add(self, engine: EngineRecord) -> None:
        """Count an engine."""
        self._change(engine.cores, 1)

    def remove(self, engine: EngineRecord) -> None:
        """Count an engine no longer."""
        self._change(engine.cores, -1)

    def _change(self, cores: float, count: int) -> None:
        self._engines_by_cores[cores] += count
        if not self._engines_by_cores[cores]:
            del self._engines_by_cores[cores]


class Fleet:
    """Records of the listed engines by id, which of them are open to each class, and totals over them."""

    def __init__(self, classes: Sequence[api.QueryClass]) -> None:
        self._classes = classes
        self.engines: dict[str, EngineRecord] = {}
        self.engines_for_class: list[IndexedSet[EngineRecord]] = [IndexedSet() for _ in classes]
        self.cores, self.ready_cores = CoreCount(), CoreCount()
        self.engine_wide_limit_count = 0  # engines with an engine-wide limit
        self.ejected: set[EngineRecord] = set()
        self._failing: dict[EngineRecord, float] = {}  # shares of failures above 0
        self._failure_share_sum = 0.0

    def is_listed(self, engine: EngineRecord) -> bool:
        """Return whether a record is that of a listed engine, not that of one that has gone or restarted."""
        return self.engines.get(engine.info.id) is engine

    def add(self, engine: EngineRecord) -> None:
        """Add the record of an engine whose id is not in use."""
        self.engines[engine.info.id] = engine
        self.cores.add(engine)
        self.engine_wide_limit_count += engine.has_engine_wide_limit
        self._open(engine)

    def update(self, engine: EngineRecord, info: api.Engine) -> None:
        """Apply a new entry in the list to an engine that has not restarted."""
        is_open_as_before = _openness(engine.info) == _openness(info)
        if not is_open_as_before:
            self._shut(engine)
        engine.info = info
        if not is_open_as_before:
            self._open(engine)

    def remove(self, engine: EngineRecord) -> None:
        """Remove a listed engine."""
        self._shut(engine)
        del self.engines[engine.info.id]
        self.cores.remove(engine)
        self.engine_wide_limit_count -= engine.has_engine_wide_limit
        self.ejected.discard(engine)
        self._count_failure_share(engine, 0.0)

    def _open(self, engine: EngineRecord) -> None:
        """Open an engine to the classes that may use it, if it is ready."""
        if engine.info.state is not api.EngineState.READY:
            return
        self.ready_cores.add(engine)
        for query_class, engines in zip(self._classes, self.engines_for_class, strict=True):
            if allows(query_class, engine.info):
                engines.add(engine)

    def _shut(self, engine: EngineRecord) -> None:
        if engine.info.state is not api.EngineState.READY:
            return
        self.ready_cores.remove(engine)
        for engines in self.engines_for_class:
            engines.discard(engine)

    # Health

    def set_failure_share(self, engine: EngineRecord, share: float) -> None:
        """Set an engine's smoothed share of failures."""
        engine.failure_share = share
        if self.is_listed(engine):
            self._count_failure_share(engine, share)

    def _count_failure_share(self, engine: EngineRecord, share: float) -> None:
        self._failure_share_sum += share - self._failing.pop(engine, 0.0)
        if share:
            self._failing[engine] = share
        elif not self._failing:
            self._failure_share_sum = 0.0  # drops rounding errors

    def mean_failure_share_of_others(self, engine: EngineRecord) -> float:
        """Return the mean share of failures of all listed engines but one; 0 if there is no other."""
        others_sum = self._failure_share_sum - self._failing.get(engine, 0.0)
        others_count = len(self.engines) - self.is_listed(engine)
        return max(others_sum, 0.0) / max(others_count, 1)


def _openness(engine: api.Engine) -> tuple[api.EngineState, str, str]:
    """Return what decides to which classes an engine is open."""
    return engine.state, engine.zone, engine.kind


def allows(query_class: api.QueryClass, engine: api.Engine) -> bool:
    """Return whether a class's settings let its queries run on an engine."""
    in_zone = query_class.only_zones is None or engine.zone in query_class.only_zones
    return in_zone and (query_class.only_kinds is None or engine.kind in query_class.only_kinds)
