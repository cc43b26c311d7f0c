"""Log lines: plain print to standard error, so many a second for each topic and no more."""

from __future__ import annotations

import sys
import time

LINES_PER_S, BURST = 2.0, 10.0  # for each topic
TOPICS_MOST = 200


class Log:
    def __init__(self) -> None:
        self._topics: dict[str, tuple[float, float, int]] = {}  # level, at, lines left out

    def say(self, topic: str, text: object) -> None:
        """Print a line, unless its topic has had its share; what was left out is counted in the next."""
        now = time.monotonic()
        level, at, left_out = self._topics.get(topic, (BURST, now, 0))
        level = min(BURST, level + (now - at) * LINES_PER_S)
        if level < 1:
            self._topics[topic] = (level, now, left_out + 1)
            return
        if len(self._topics) > TOPICS_MOST:  # guards against topics made from what a peer sends
            self._topics.clear()
        self._topics[topic] = (level - 1, now, 0)
        more = f" ({left_out} such lines left out)" if left_out else ""
        print(f"{time.time():.3f} {topic}: {text}{more}", file=sys.stderr, flush=True)


LOG = Log()
say = LOG.say
