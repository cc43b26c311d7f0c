"""Structured log lines (logfmt) on standard error, at a bounded rate for each topic."""

from __future__ import annotations

import logging
import sys
import time

from logfmter import Logfmter

from hollowhitch.clock import US_PER_S, wall_time_us

LINES_PER_S, BURST = 2.0, 10.0  # for each topic
TOPICS_MOST = 200

_logger = logging.getLogger("hollowhitch")


def configure() -> None:
    """Write lines to standard error. A line that cannot be written is dropped."""
    logging.raiseExceptions = False
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(Logfmter(keys=[]))
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(logging.INFO)


class RateLimit:
    """A token bucket for each topic; lines left out are counted and told with the topic's next line."""

    def __init__(self) -> None:
        self._topics: dict[str, tuple[float, float, int]] = {}  # tokens, at (monotonic s), lines left out

    def admit(self, topic: str, now: float) -> int | None:
        """How many lines of this topic were left out before this one; None to leave this one out too."""
        tokens, at, left_out = self._topics.get(topic, (BURST, now, 0))
        tokens = min(BURST, tokens + (now - at) * LINES_PER_S)
        if tokens < 1:
            self._topics[topic] = (tokens, now, left_out + 1)
            return None
        if len(self._topics) > TOPICS_MOST:  # topics made from what a peer sends
            self._topics.clear()
        self._topics[topic] = (tokens - 1, now, 0)
        return left_out


_limit = RateLimit()
_started_at = time.monotonic()


def event(topic: str, what: str, **fields: object) -> None:
    """Log that something happened: `what` names it, `fields` give ids, reasons and amounts.

    Each line carries the wall time (`at`, Unix seconds) and the monotonic time since the process started
    (`up`, seconds): a step of the wall clock shows as a change of their difference.
    """
    now = time.monotonic()
    left_out = _limit.admit(topic, now)
    if left_out is None:
        return
    line: dict[str, object] = {
        "at": f"{wall_time_us() / US_PER_S:.3f}",
        "up": f"{now - _started_at:.3f}",
        "topic": topic,
        "event": what,
        **fields,
    }
    if left_out:
        line["left_out"] = left_out
    _logger.info(line)
