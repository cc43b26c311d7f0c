"""Structured log lines (logfmt) on standard error, rate-limited by topic."""

from __future__ import annotations

import logging
import sys
import time

from logfmter import Logfmter

from hollowhitch.clock import US_PER_S, wall_time_us

# Rate limit of each topic: lines per second on average, and lines in one burst.
LINES_PER_S, MAX_BURST_LINES = 2.0, 10.0
MAX_TOPICS = 200  # topics whose rate is tracked

_logger = logging.getLogger("hollowhitch")


def configure() -> None:
    """Send log lines to standard error; lines that cannot be written are dropped without an error."""
    logging.raiseExceptions = False
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(Logfmter(keys=[]))
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(logging.INFO)


class RateLimit:
    """Token bucket for each topic; suppressed lines are counted and reported with the topic's next line."""

    def __init__(self) -> None:
        # By topic: tokens, the time at which they were counted (monotonic seconds), and the number of lines
        # suppressed since the topic's last line.
        self._buckets: dict[str, tuple[float, float, int]] = {}

    def admit(self, topic: str, now_s: float) -> int | None:
        """Return how many lines of a topic were suppressed since its last one, or None to suppress this one.

        `now_s` is the current time in monotonic seconds.
        """
        tokens, counted_at_s, suppressed = self._buckets.get(topic, (MAX_BURST_LINES, now_s, 0))
        tokens = min(MAX_BURST_LINES, tokens + (now_s - counted_at_s) * LINES_PER_S)
        if tokens < 1:
            self._buckets[topic] = (tokens, now_s, suppressed + 1)
            return None
        if len(self._buckets) > MAX_TOPICS:  # bounds memory if a topic is derived from a peer's input
            self._buckets.clear()
        self._buckets[topic] = (tokens - 1, now_s, 0)
        return suppressed


_rate_limit = RateLimit()
_started_at_s = time.monotonic()


def event(topic: str, description: str, **fields: object) -> None:
    """Log an event, with ids, reasons and amounts as `fields`.

    Each line has the wall time (`at`, Unix seconds) and the time since the process started (`up`, monotonic
    seconds), so that a step of the wall clock shows as a change of their difference.
    """
    now_s = time.monotonic()
    suppressed = _rate_limit.admit(topic, now_s)
    if suppressed is None:
        return
    line: dict[str, object] = {
        "at": f"{wall_time_us() / US_PER_S:.3f}",
        "up": f"{now_s - _started_at_s:.3f}",
        "topic": topic,
        "event": description,
        **fields,
    }
    if suppressed:
        line["left_out"] = suppressed
    _logger.info(line)
