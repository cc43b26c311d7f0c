"""Rules that the process checks on itself where it acts. A violation is counted and logged with its ids."""

from __future__ import annotations

import enum

from hollowhitch import log
from hollowhitch.metrics import Metrics


class Rule(enum.Enum):
    """What must never be seen."""

    HELD_WHILE_DRAINED = "a drained process held an idle or busy connection past its time"
    CLOSED_UNANSWERED = "a connection was closed by us over an open request"
    SENT_TO_DISABLED = "a request was about to be written to a disabled engine"
    SENT_WHILE_STOPPING = "a request was about to be written after the last answers of a stopping process"
    OPEN_AT_EXIT = "requests were open as the process ended"


class Audit:
    """Counts violations."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def violated(self, rule: Rule, **ids: object) -> None:
        """Record that a rule was broken; `ids` say by what."""
        self._metrics.violations.add(rule.name.lower())
        log.event("violation", rule.value, **ids)
