"""Start times of engines on the proxy's clock, from lists that give them in wall time.

The proxy's wall clock may differ from the clock behind the lists. It may have been wrong when the process
started, by an unknown amount that stays the same for the life of the process (`Clock.from_wall_us` ignores
later steps). The apparent age of an engine is its true age plus that error. So the least apparent age is an
upper bound of an error that makes engines look too old. In addition, an engine that was first listed while
the process ran can't be much older than the process.

Nothing here does I/O; the time is an argument.
"""

from __future__ import annotations

import dataclasses
import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from hollowhitch.policy.interface import Engine, EngineList

# Longest time from the start of an engine to the list that names it. The proxy counts as informed of any
# change on the channel after 7 s.
MAX_LISTING_DELAY_US = 10_000_000
MAX_ENGINES = 16_384  # number of engines whose start times are kept


@dataclass(frozen=True, slots=True)
class EngineStart:
    """The start of an engine. Times are on the proxy's clock unless a comment says otherwise."""

    wall_clock_start_us: int  # as listed, in Unix microseconds
    started_at_us: int  # if the proxy's wall clock was right when the process started
    latest_start_at_us: int  # time by which the engine had started, whatever the wall clock's error


class StartTimes:
    """Converter of the start times in lists to the proxy's clock."""

    def __init__(
        self, process_started_at_us: int, to_clock: Callable[[int], int], tolerated_age_error_us: float
    ) -> None:
        """Create a converter that knows no engine yet.

        `to_clock` converts Unix microseconds to the proxy's clock. An engine's age may be overestimated by
        `tolerated_age_error_us` without harm.
        """
        self._process_started_at_us = process_started_at_us
        self._to_clock = to_clock
        self._tolerated_age_error_us = tolerated_age_error_us
        self._starts: OrderedDict[str, EngineStart] = OrderedDict()  # the one listed first first
        self._min_apparent_age_us = math.inf

    def translate(self, engines: EngineList, now_us: int, received_live: bool) -> EngineList:
        """Return a list with its start times on the proxy's clock.

        `received_live` is False for the lists that the process starts with.
        """
        dated = [e for e in engines.engines if e.started_at_us]
        for engine in dated:
            self._update_min_apparent_age(engine, now_us, received_live)
        translated = tuple(
            self._with_start_times(e, now_us, received_live) if e.started_at_us else e
            for e in engines.engines
        )
        return dataclasses.replace(engines, engines=translated)

    def _find_start(self, engine: Engine) -> EngineStart | None:
        """Return the known start of an engine, or None for a new engine or one that has started again."""
        start = self._starts.get(engine.id)
        return start if start is not None and start.wall_clock_start_us == engine.started_at_us else None

    def _update_min_apparent_age(self, engine: Engine, now_us: int, received_live: bool) -> None:
        age_us = now_us - self._to_clock(engine.started_at_us)
        if self._find_start(engine) is None and self._is_possible_age(age_us, now_us, received_live):
            self._min_apparent_age_us = min(self._min_apparent_age_us, max(age_us, 0))

    def _is_possible_age(self, age_us: int, now_us: int, received_live: bool) -> bool:
        """Return whether an age is possible: an engine listed live can't be much older than the process."""
        return not received_live or age_us <= now_us - self._process_started_at_us + MAX_LISTING_DELAY_US

    def _with_start_times(self, engine: Engine, now_us: int, received_live: bool) -> Engine:
        """Return an engine with its start times on the proxy's clock, and remember them."""
        start = self._find_start(engine)
        if start is None:
            start = self._estimate_start(engine, now_us, received_live)
            self._starts.pop(engine.id, None)
            self._starts[engine.id] = start
            if len(self._starts) > MAX_ENGINES:
                self._starts.popitem(last=False)
        return dataclasses.replace(
            engine, started_at_us=start.started_at_us, latest_start_at_us=start.latest_start_at_us
        )

    def _estimate_start(self, engine: Engine, now_us: int, received_live: bool) -> EngineStart:
        age_us = now_us - self._to_clock(engine.started_at_us)
        if age_us < 0 or not self._is_possible_age(age_us, now_us, received_live):
            # The wall clock is wrong, and the engine may have started just now.
            return EngineStart(engine.started_at_us, now_us, now_us)
        started_at_us = max(now_us - age_us, 1)
        age_error_us = int(max(self._min_apparent_age_us - self._tolerated_age_error_us, 0))
        return EngineStart(engine.started_at_us, started_at_us, min(started_at_us + age_error_us, now_us))
